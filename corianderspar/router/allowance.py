"""The service that charges client accounts, exactly where it matters.

An account far from its limit is charged by the daemon that has the
request, from totals that peers told with their heartbeats. Near the limit
the account's home is asked, so that one bucket sees all requests in their
order. A home that does not answer is passed over: the limit then holds by
the totals, within the races that `quota` allows for.
"""

from typing import NamedTuple

import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import fleet
from corianderspar.router import homes
from corianderspar.router import model
from corianderspar.router import quota

ASK_SECONDS = 0.12  # for a home's answer; 40 times the way


class WantTokens(NamedTuple):
    """Asks an account's home for tokens; the limits are the asker's."""

    account: str
    rate: float
    burst: float
    tokens: int


class TokensAnswer(NamedTuple):
    """What the home says; see `quota.Grant`."""

    granted: bool
    level: float
    wait: float


class Allowance:
    """The service ``allowance``.

    Parameters
    ----------
    slack : float
        As in `quota.Quota`.
    """

    name = 'allowance'
    requires: tuple[str, ...] = ('peers', 'fleet')

    def __init__(self, slack: float) -> None:
        self._quota = quota.Quota(slack)

    async def start(self, app: kernel.Application) -> None:
        """Begin to tell and hear totals, and to answer as a home."""
        self._app = app
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want_tokens', WantTokens, self._answer)
        self._peers.reply_type('tokens', TokensAnswer)
        self._fleet = app.find('fleet', fleet.Fleet)
        self._homes = homes.Homes(app, self._fleet)
        self._fleet.section('quota', self._provide, self._accept)
        self._fleet.on_ended.append(self._quota.forget)

    async def stop(self) -> None:
        """Nothing to hand on."""

    async def take(self, account: model.Account, tokens: int) -> quota.Grant:
        """Charge an account, or refuse."""
        now = self._app.clock.monotonic()
        self._quota.set_share(self._fleet.heard_share())
        limits = account.name, account.rate, account.burst, tokens
        if self._quota.is_near_limit(*limits, now):
            answer = await self._ask(WantTokens(*limits))
            if answer is not None:
                return quota.Grant(*answer)
        return self._quota.take(*limits, self._app.clock.monotonic())

    def give_back(self, account: model.Account, tokens: int) -> None:
        """Return tokens of a request that surely did not run.

        The total of this daemon falls, also if the home had granted them:
        only the sum over all daemons counts.
        """
        self._quota.give_back(account.name, tokens)

    async def _ask(self, want: WantTokens) -> TokensAnswer | None:
        """Ask the home; None if that is this daemon, or it is silent."""
        key = f'account/{want.account}'
        home = self._homes.of(key)
        if home == self._app.identity.vm:
            return None
        reply = await self._peers.ask(home, want, ASK_SECONDS)
        if reply.is_error():
            self._homes.note_silent(home, key, reply.error.code)
            return None
        answer: TokensAnswer = reply.ok
        return answer

    async def _answer(
        self, _sender: peers.Sender, want: WantTokens
    ) -> TokensAnswer:
        self._quota.set_share(self._fleet.heard_share())
        grant = self._quota.take(*want, self._app.clock.monotonic())
        return TokensAnswer(*grant)

    def _provide(self, _vm: str) -> bytes | None:
        return msgspec.msgpack.encode(self._quota.granted_by_account)

    def _accept(self, sender: peers.Sender, content: bytes) -> None:
        try:
            totals = msgspec.msgpack.decode(content, type=dict[str, int])
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._quota.hear(sender.incarnation, totals)
