"""Service that charges client accounts at their home daemons.

The home of an account is asked for the tokens of each of the account's
requests, so that a single bucket sees all of them in order. A home that does
not answer is skipped. The limit is then enforced by the totals that peers
send in heartbeats, subject to the races described in `token_buckets`.
"""

from typing import NamedTuple

import msgspec

from corianderspar import decoding
from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import homes
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import token_buckets

ASK_TIMEOUT_SECONDS = 0.12  # 40 times the network delay
MAX_HOMES_ASKED = 2  # after that this daemon's own bucket decides


class TokensRequest(NamedTuple):
    """Asks an account's home for tokens, with the limits the sender knows.

    Attributes
    ----------
    account : str
        Name of the account.
    rate, burst, tokens : float, float, int
        As in `token_buckets.TokenBuckets.charge`.
    unused : bool
        Expected by homes of older builds.
    """

    account: str
    rate: float
    burst: float
    tokens: int
    unused: bool = False


class TokensReply(NamedTuple):
    """The home's reply; fields as in `token_buckets.ChargeResult`."""

    granted: bool
    level: float
    retry_after: float


class TokensRefund(NamedTuple):
    """Returns tokens that were not used to an account's home."""

    account: str
    tokens: int


class RateLimiter:
    """The service ``allowance``: charges accounts at their homes.

    Parameters
    ----------
    tolerance : LimitTolerance
        As in `token_buckets.TokenBuckets`.
    """

    name = 'allowance'
    requires: tuple[str, ...] = ('peers', 'fleet')

    def __init__(self, tolerance: token_buckets.LimitTolerance) -> None:
        self._buckets = token_buckets.TokenBuckets(tolerance)

    async def start(self, app: kernel.Application) -> None:
        """Begin to exchange totals with peers and to answer as a home."""
        self._app = app
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle(
            'want_tokens', TokensRequest, self._on_tokens_request
        )
        self._peers.add_reply_type('tokens', TokensReply)
        self._peers.handle('tokens_back', TokensRefund, self._on_tokens_refund)
        self._membership = app.find('fleet', membership.Membership)
        self._homes = homes.Homes(app, self._membership)
        self._membership.add_section(
            'quota', self._provide_totals, self._accept_totals
        )
        self._membership.on_ended.append(self._buckets.forget_peer)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    async def charge(
        self, account: model.Account, tokens: int
    ) -> token_buckets.ChargeResult:
        """Charge an account, or refuse.

        Parameters
        ----------
        account : Account
            Its name and limits.
        tokens : int
            Cost of the request.
        """
        request = TokensRequest(
            account.name, account.rate, account.burst, tokens
        )
        if account.rate > 0:
            # The next home is the same for all daemons. If each daemon
            # decided on its own instead, each could grant a whole burst.
            for _home in range(MAX_HOMES_ASKED):
                home = self._homes.home(_key(account.name))
                if home == self._app.identity.vm:
                    break
                reply = await self._peers.ask(
                    home, request, ASK_TIMEOUT_SECONDS
                )
                if reply.is_ok():
                    return token_buckets.ChargeResult(*reply.ok)
                self._homes.mark_unresponsive(
                    home, _key(account.name), reply.error.code
                )
        return self._charge_locally(request)

    def refund(self, account: model.Account, tokens: int) -> None:
        """Return the tokens of a request that certainly did not run.

        They go to the current home, whichever daemon granted them, because
        only the sum over all daemons counts.
        """
        home = self._homes.home(_key(account.name))
        if account.rate <= 0 or home == self._app.identity.vm:
            self._buckets.refund(account.name, tokens)
        else:
            self._peers.tell(home, TokensRefund(account.name, tokens))

    def _charge_locally(
        self, request: TokensRequest
    ) -> token_buckets.ChargeResult:
        self._buckets.set_live_share(self._membership.live_share())
        return self._buckets.charge(
            request.account,
            request.rate,
            request.burst,
            request.tokens,
            self._app.clock.monotonic(),
        )

    async def _on_tokens_request(
        self, _sender: peers.Sender, request: TokensRequest
    ) -> TokensReply:
        return TokensReply(*self._charge_locally(request))

    async def _on_tokens_refund(
        self, _sender: peers.Sender, refund: TokensRefund
    ) -> None:
        self._buckets.refund(refund.account, refund.tokens)

    def _provide_totals(self, _vm: str) -> bytes | None:
        return msgspec.msgpack.encode(self._buckets.charged_by_account)

    def _accept_totals(self, sender: peers.Sender, content: bytes) -> None:
        try:
            totals = msgspec.msgpack.decode(content, type=dict[str, int])
        except decoding.ERRORS as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._buckets.update_peer_totals(sender.incarnation, totals)


def _key(account: str) -> str:
    return f'account/{account}'
