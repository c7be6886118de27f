"""The service that charges client accounts at their homes.

One daemon, the home of an account, is asked for the tokens of each of its
requests, so that one bucket sees all of them in their order. A home that
does not answer is passed over: the limit then holds by the totals that peers
told with their heartbeats, within the races that `token_buckets` allows for.
"""

from typing import NamedTuple

import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import homes
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import token_buckets

ASK_SECONDS = 0.12  # for a home's answer; 40 times the way
HOMES_ASKED = 2  # then this daemon's own bucket decides


class WantTokens(NamedTuple):
    """Asks an account's home for tokens; the limits are the asker's.

    Attributes
    ----------
    account : str
        Whose tokens.
    rate, burst, tokens, is_retry : float, float, int, bool
        As in `token_buckets.TokenBuckets.charge`.
    """

    account: str
    rate: float
    burst: float
    tokens: int
    is_retry: bool


class TokensAnswer(NamedTuple):
    """What the home says; see `token_buckets.ChargeResult`."""

    granted: bool
    level: float
    retry_after: float


class TokensBack(NamedTuple):
    """Tells an account's home of tokens that were not used."""

    account: str
    tokens: int


class RateLimiter:
    """The service ``allowance``.

    Parameters
    ----------
    allowed : LimitTolerance
        As in `token_buckets.TokenBuckets`.
    """

    name = 'allowance'
    requires: tuple[str, ...] = ('peers', 'fleet')

    def __init__(self, allowed: token_buckets.LimitTolerance) -> None:
        self._buckets = token_buckets.TokenBuckets(allowed)

    async def start(self, app: kernel.Application) -> None:
        """Begin to tell and hear totals, and to answer as a home."""
        self._app = app
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want_tokens', WantTokens, self._answer)
        self._peers.reply_type('tokens', TokensAnswer)
        self._peers.handle('tokens_back', TokensBack, self._take_back)
        self._membership = app.find('fleet', membership.Membership)
        self._homes = homes.Homes(app, self._membership)
        self._membership.add_section('quota', self._provide, self._accept)
        self._membership.on_ended.append(self._buckets.forget)

    async def stop(self) -> None:
        """Nothing to hand on."""

    async def charge(
        self, account: model.Account, tokens: int, is_retry: bool = False
    ) -> token_buckets.ChargeResult:
        """Charge an account, or refuse.

        Parameters
        ----------
        account : Account
            Its name and limits.
        tokens : int
            What the request counts for.
        is_retry : bool
            Whether the caller was refused before.
        """
        want = WantTokens(
            account.name, account.rate, account.burst, tokens, is_retry
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
                    return token_buckets.ChargeResult(*reply.ok)
                self._homes.mark_unresponsive(
                    home, _key(account.name), reply.error.code
                )
        return self._charge_locally(want)

    def refund(self, account: model.Account, tokens: int) -> None:
        """Return tokens of a request that surely did not run.

        They go to the present home, whoever granted them: only the sum over
        all daemons counts.
        """
        home = self._homes.home(_key(account.name))
        if account.rate <= 0 or home == self._app.identity.vm:
            self._buckets.refund(account.name, tokens)
        else:
            self._peers.tell(home, TokensBack(account.name, tokens))

    def _charge_locally(self, want: WantTokens) -> token_buckets.ChargeResult:
        self._buckets.set_heard_share(self._membership.live_share())
        return self._buckets.charge(
            want.account,
            want.rate,
            want.burst,
            want.tokens,
            self._app.clock.monotonic(),
            want.is_retry,
        )

    async def _answer(
        self, _sender: peers.Sender, want: WantTokens
    ) -> TokensAnswer:
        return TokensAnswer(*self._charge_locally(want))

    async def _take_back(
        self, _sender: peers.Sender, back: TokensBack
    ) -> None:
        self._buckets.refund(back.account, back.tokens)

    def _provide(self, _vm: str) -> bytes | None:
        return msgspec.msgpack.encode(self._buckets.granted_by_account)

    def _accept(self, sender: peers.Sender, content: bytes) -> None:
        try:
            totals = msgspec.msgpack.decode(content, type=dict[str, int])
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._buckets.add_peer_totals(sender.incarnation, totals)


def _key(account: str) -> str:
    return f'account/{account}'
