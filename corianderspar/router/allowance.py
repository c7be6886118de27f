"""The service that charges client accounts at their homes.

One daemon, the home of an account, is asked for the tokens of each of its
requests, so that one bucket sees all of them in their order. A home that
does not answer is passed over: the limit then holds by the totals that peers
told with their heartbeats, within the races that `quota` allows for.
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
HOMES_ASKED = 2  # then this daemon's own bucket decides


class WantTokens(NamedTuple):
    """Asks an account's home for tokens; the limits are the asker's.

    Attributes
    ----------
    account : str
        Whose tokens.
    rate, burst, tokens, has_returned : float, float, int, bool
        As in `quota.Quota.take`.
    """

    account: str
    rate: float
    burst: float
    tokens: int
    has_returned: bool


class TokensAnswer(NamedTuple):
    """What the home says; see `quota.Grant`."""

    granted: bool
    level: float
    wait: float


class TokensBack(NamedTuple):
    """Tells an account's home of tokens that were not used."""

    account: str
    tokens: int


class Allowance:
    """The service ``allowance``.

    Parameters
    ----------
    allowed : Allowed
        As in `quota.Quota`.
    """

    name = 'allowance'
    requires: tuple[str, ...] = ('peers', 'fleet')

    def __init__(self, allowed: quota.Allowed) -> None:
        self._quota = quota.Quota(allowed)

    async def start(self, app: kernel.Application) -> None:
        """Begin to tell and hear totals, and to answer as a home."""
        self._app = app
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want_tokens', WantTokens, self._answer)
        self._peers.reply_type('tokens', TokensAnswer)
        self._peers.handle('tokens_back', TokensBack, self._take_back)
        self._fleet = app.find('fleet', fleet.Fleet)
        self._homes = homes.Homes(app, self._fleet)
        self._fleet.section('quota', self._provide, self._accept)
        self._fleet.on_ended.append(self._quota.forget)

    async def stop(self) -> None:
        """Nothing to hand on."""

    async def take(
        self, account: model.Account, tokens: int, has_returned: bool = False
    ) -> quota.Grant:
        """Charge an account, or refuse.

        Parameters
        ----------
        account : Account
            Its name and limits.
        tokens : int
            What the request counts for.
        has_returned : bool
            Whether the caller was refused before.
        """
        want = WantTokens(
            account.name, account.rate, account.burst, tokens, has_returned
        )
        if account.rate > 0:
            # The next home is the same one for all daemons; were each to
            # decide for itself, each would have a burst to give.
            for _home in range(HOMES_ASKED):
                home = self._homes.home(_key(account.name))
                if home == self._app.identity.vm:
                    break
                reply = await self._peers.ask(home, want, ASK_SECONDS)
                if reply.is_ok():
                    return quota.Grant(*reply.ok)
                self._homes.mark_unresponsive(
                    home, _key(account.name), reply.error.code
                )
        return self._charge(want)

    def give_back(self, account: model.Account, tokens: int) -> None:
        """Return tokens of a request that surely did not run.

        They go to the present home, whoever granted them: only the sum over
        all daemons counts.
        """
        home = self._homes.home(_key(account.name))
        if account.rate <= 0 or home == self._app.identity.vm:
            self._quota.give_back(account.name, tokens)
        else:
            self._peers.tell(home, TokensBack(account.name, tokens))

    def _charge(self, want: WantTokens) -> quota.Grant:
        self._quota.set_share(self._fleet.heard_share())
        return self._quota.take(
            want.account,
            want.rate,
            want.burst,
            want.tokens,
            self._app.clock.monotonic(),
            want.has_returned,
        )

    async def _answer(
        self, _sender: peers.Sender, want: WantTokens
    ) -> TokensAnswer:
        return TokensAnswer(*self._charge(want))

    async def _take_back(
        self, _sender: peers.Sender, back: TokensBack
    ) -> None:
        self._quota.give_back(back.account, back.tokens)

    def _provide(self, _vm: str) -> bytes | None:
        return msgspec.msgpack.encode(self._quota.granted_by_account)

    def _accept(self, sender: peers.Sender, content: bytes) -> None:
        try:
            totals = msgspec.msgpack.decode(content, type=dict[str, int])
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._quota.hear(sender.incarnation, totals)


def _key(account: str) -> str:
    return f'account/{account}'
