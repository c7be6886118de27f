"""Short loans of an account's tokens between VMs."""

import collections
from typing import NamedTuple

from corianderspar import account_buckets
from corianderspar import kernel
from corianderspar import lease_tiers
from corianderspar import membership
from corianderspar import peers

LOAN_TIMEOUT_SECONDS = 0.15
MAX_LENDERS_ASKED = 16
UNRESPONSIVE_SECONDS = 15.0
LENDER_BALANCE_SECONDS = 60.0
LOAN_NUMBER_BITS = 48


class LoanRequest(NamedTuple):
    """Asks a VM to lend tokens of an account."""

    account: str
    tokens: float


class LoanReply(NamedTuple):
    """The loan that a VM grants.

    Attributes
    ----------
    number : int
        Identifies the loan at the lender.
    tokens : float
        Tokens lent; 0 for no loan.
    balance : float
        Tokens that the lender has after the loan.
    """

    number: int
    tokens: float
    balance: float = 0.0


class LoanReturn(NamedTuple):
    """Returns tokens of a loan that will not be spent.

    Attributes
    ----------
    account : str
        The account of the tokens.
    number : int
        Identifies the loan at its lender, the receiver.
    unused : float
        Tokens returned.
    is_spent : bool
        Whether nothing of the loan is left to spend, so that the lender can
        end it.
    """

    account: str
    number: int
    unused: float
    is_spent: bool = False


class LenderBalance(NamedTuple):
    """Tokens of an account that a VM had by its last reply.

    Attributes
    ----------
    tokens : float
        Tokens left after the loan.
    at : float
        Monotonic seconds at which the reply came.
    """

    tokens: float
    at: float


class BorrowedTokens(NamedTuple):
    """Tokens lent to this VM.

    Attributes
    ----------
    vm : str
        The lender.
    number : int
        Identifies the loan at the lender.
    tokens : float
        Tokens left of the loan; in a charge, those that it took.
    until : float
        Monotonic seconds from which they must not be spent.
    """

    vm: str
    number: int
    tokens: float
    until: float


class Loans:
    """Lends this VM's tokens and borrows those of others.

    The lender debits its bucket before it replies, and reserves capacity for
    the lent tokens until its loan ends. The borrower's loan surely ends
    before that: it counts from the request, which precedes the debit, and is
    shortened by the drift of the clocks.

    Parameters
    ----------
    app : Application
        Has the services ``peers`` and ``membership``.
    buckets : AccountBuckets
        Buckets that lent tokens are taken from.
    bounds : TimingBounds
        Seconds for which tokens are lent, and the drift of clocks.

    Attributes
    ----------
    counts : Counter
        Requests sent for loans, and loans granted.
    """

    def __init__(
        self,
        app: kernel.Application,
        buckets: account_buckets.AccountBuckets,
        bounds: lease_tiers.TimingBounds,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._buckets = buckets
        self._bounds = bounds
        self._membership = app.find('membership', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self._borrowed_by_account: dict[str, list[BorrowedTokens]] = {}
        self._unresponsive_until_by_vm: dict[str, float] = {}
        self._balance_by_lender: dict[tuple[str, str], LenderBalance] = {}
        self._number = app.rng.getrandbits(LOAN_NUMBER_BITS)
        self._peers.handle('loan.ask', LoanRequest, self._on_loan_request)
        self._peers.handle('loan.back', LoanReturn, self._on_loan_return)
        self._peers.add_reply_type('loan.given', LoanReply)

    def borrowed(self, account: str) -> float:
        """Return the borrowed tokens that may be spent now."""
        now = self._app.clock.monotonic()
        return sum(
            loan.tokens
            for loan in self._borrowed_by_account.get(account, ())
            if loan.until > now
        )

    def spend(self, account: str, tokens: float) -> list[BorrowedTokens]:
        """Spend borrowed tokens, starting with those that expire first.

        Parameters
        ----------
        account : str
            The account of the tokens.
        tokens : float
            The most tokens to spend.

        Returns
        -------
        list of BorrowedTokens
            What was spent of each loan.
        """
        now = self._app.clock.monotonic()
        kept = []
        spent = []
        loans = self._borrowed_by_account.pop(account, [])
        for loan in sorted(loans, key=lambda loan: loan.until):
            taken = min(tokens, loan.tokens) if loan.until > now else 0.0
            if taken > 0:
                tokens -= taken
                spent.append(loan._replace(tokens=taken))
            if loan.tokens == taken:
                # The lender need not reserve capacity for it any longer.
                message = LoanReturn(account, loan.number, 0.0, True)
                self._peers.tell(loan.vm, message)
            else:
                kept.append(loan._replace(tokens=loan.tokens - taken))
        if kept:
            self._borrowed_by_account[account] = kept
        return spent

    def return_unused(
        self, account: str, loan: BorrowedTokens, unused: float
    ) -> None:
        """Return unused tokens of a loan to its lender."""
        if unused > 0:
            message = LoanReturn(account, loan.number, unused)
            self._peers.tell(loan.vm, message)

    def return_all(self, account: str) -> None:
        """Return all borrowed tokens of an account to their lenders."""
        for loan in self._borrowed_by_account.pop(account, ()):
            self.return_unused(account, loan, loan.tokens)

    def expire(self) -> None:
        """Return the tokens of expired loans; to be called every second."""
        now = self._app.clock.monotonic()
        for account, loans in list(self._borrowed_by_account.items()):
            if any(loan.until <= now for loan in loans):
                kept = [loan for loan in loans if loan.until > now]
                for loan in loans:
                    if loan.until <= now:
                        self.return_unused(account, loan, loan.tokens)
                self._borrowed_by_account[account] = kept
                if not kept:
                    del self._borrowed_by_account[account]
        for vm, until in list(self._unresponsive_until_by_vm.items()):
            if until <= now:
                del self._unresponsive_until_by_vm[vm]
        for key, balance in list(self._balance_by_lender.items()):
            if balance.at < now - LENDER_BALANCE_SECONDS:
                del self._balance_by_lender[key]

    async def borrow(self, account: str, tokens: float) -> int:
        """Borrow tokens from other VMs, one after another.

        Parameters
        ----------
        account : str
            The account of the tokens.
        tokens : float
            The most tokens to borrow.

        Returns
        -------
        int
            Number of VMs that replied.
        """
        replies = 0
        for vm in self._lenders(account)[:MAX_LENDERS_ASKED]:
            if tokens <= 0:
                break
            lent = await self._request_loan(vm, account, tokens)
            if lent is not None:
                replies += 1
                tokens -= lent
        return replies

    def _lenders(self, account: str) -> list[str]:
        now = self._app.clock.monotonic()
        own = self._app.identity.data_centre
        local_vms = set(self._membership.live()) - {self._app.identity.vm}
        members = self._membership.members()
        reachable = [
            vm
            for vm, member in members.items()
            if (
                vm in local_vms
                or (member.listed and member.data_centre != own)
            )
            and now >= self._unresponsive_until_by_vm.get(vm, now)
        ]
        self._app.rng.shuffle(reachable)
        rate = self._buckets.rate(account)
        # The fullest buckets come first, because a full one is not refilled.
        # VMs whose balance is unknown count as full, and among them those of
        # this data centre come first.
        return sorted(
            reachable,
            key=lambda vm: (
                -self._estimate_balance(account, vm, rate),
                vm not in local_vms,
            ),
        )

    def _estimate_balance(self, account: str, vm: str, rate: float) -> float:
        """Estimate a lender's balance from its last reply.

        Returns
        -------
        float
            Tokens; infinity if there was no reply lately.
        """
        last = self._balance_by_lender.get((account, vm))
        if last is None:
            return float('inf')
        return last.tokens + rate * (self._app.clock.monotonic() - last.at)

    async def _request_loan(
        self, vm: str, account: str, tokens: float
    ) -> float | None:
        requested_at = self._app.clock.monotonic()
        self.counts['asked'] += 1
        message = LoanRequest(account, tokens)
        reply = await self._peers.ask(vm, message, LOAN_TIMEOUT_SECONDS)
        if reply.is_error() or not isinstance(reply.ok, LoanReply):
            until = self._app.clock.monotonic() + UNRESPONSIVE_SECONDS
            self._unresponsive_until_by_vm[vm] = until
            return None
        now = self._app.clock.monotonic()
        self._balance_by_lender[account, vm] = LenderBalance(
            reply.ok.balance, now
        )
        lent = min(max(0.0, reply.ok.tokens), tokens)
        if lent > 0:
            until = requested_at + self._bounds.loan * (1 - self._bounds.drift)
            loan = BorrowedTokens(vm, reply.ok.number, lent, until)
            self._borrowed_by_account.setdefault(account, []).append(loan)
        return lent

    async def _on_loan_request(
        self, sender: peers.Sender, request: LoanRequest
    ) -> LoanReply:
        self._number += 1
        # Written with `not` so that NaN is refused too.
        if not self._buckets.has_share(request.account) or not (
            request.tokens > 0
        ):
            return LoanReply(self._number, 0.0)
        bucket = self._buckets.find(request.account)
        now = self._app.clock.monotonic()
        until = now + self._bounds.loan
        lent = bucket.lend(now, self._number, request.tokens, until)
        self.counts['lent'] += lent > 0
        return LoanReply(self._number, lent, bucket.balance(now))

    async def _on_loan_return(
        self, sender: peers.Sender, message: LoanReturn
    ) -> None:
        if not self._buckets.has_share(message.account):
            return
        bucket = self._buckets.find(message.account)
        now = self._app.clock.monotonic()
        bucket.accept_return(now, message.number, message.unused)
        if message.is_spent:
            bucket.end_loan(now, message.number)
