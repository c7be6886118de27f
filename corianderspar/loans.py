"""Tokens that VMs lend each other, account by account, for seconds."""

import collections
from typing import NamedTuple

from corianderspar import account_buckets
from corianderspar import kernel
from corianderspar import lease_tiers
from corianderspar import membership
from corianderspar import peers

ASK_SECONDS = 0.15
ASKS = 16
SILENT_SECONDS = 15.0
LENDER_SECONDS = 60.0
NUMBER_BITS = 48


class LoanRequest(NamedTuple):
    """Ask a VM to lend tokens of an account."""

    account: str
    tokens: float


class LoanReply(NamedTuple):
    """What a VM has lent.

    Attributes
    ----------
    number : int
        Identifies the loan at the lender.
    tokens : float
        How many; 0 for nothing.
    left : float
        What the lender has left.
    """

    number: int
    tokens: float
    left: float = 0.0


class LoanReturn(NamedTuple):
    """Tokens of a loan that were not spent and will not be.

    Attributes
    ----------
    account, number : str, int
        Whose tokens, and which loan of the receiver.
    unused : float
        How many.
    is_spent : bool
        Whether nothing of the loan can be spent any more.
    """

    account: str
    number: int
    unused: float
    is_spent: bool = False


class Lender(NamedTuple):
    """What a VM had left of an account when it was asked."""

    left: float
    at: float


class BorrowedTokens(NamedTuple):
    """Tokens lent to this VM.

    Attributes
    ----------
    vm : str
        The lender.
    number : int
        Of the loan, at the lender.
    tokens : float
        What is left.
    until : float
        Monotonic seconds after which they must not be spent.
    """

    vm: str
    number: int
    tokens: float
    until: float


class Loans:
    """Lends this VM's tokens and borrows those of others.

    The lender subtracts before it answers, and keeps room for what it lent
    until the loan has surely ended. The borrower counts the loan's time
    from when it asked, which is sooner.

    Parameters
    ----------
    app : Application
        Has the services ``peers`` and ``membership``.
    ledgers : Books
        Where the lent tokens come from.
    bounds : TimingBounds
        For how long tokens are lent.

    Attributes
    ----------
    counts : Counter
        Questions, loans given and loans taken back.
    """

    def __init__(
        self,
        app: kernel.Application,
        ledgers: account_buckets.AccountBuckets,
        bounds: lease_tiers.TimingBounds,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._books = ledgers
        self._bounds = bounds
        self._view = app.find('membership', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self._borrowed_by_account: dict[str, list[BorrowedTokens]] = {}
        self._silent_until_by_vm: dict[str, float] = {}
        self._lenders_by_key: dict[tuple[str, str], Lender] = {}
        self._number = app.rng.getrandbits(NUMBER_BITS)
        self._peers.handle('loan.ask', LoanRequest, self._lend)
        self._peers.handle('loan.back', LoanReturn, self._take_back)
        self._peers.reply_type('loan.given', LoanReply)

    def borrowed(self, account: str) -> float:
        """Return tokens of others that may be spent here now."""
        now = self._app.clock.monotonic()
        return sum(
            loan.tokens
            for loan in self._borrowed_by_account.get(account, ())
            if loan.until > now
        )

    def spend(self, account: str, tokens: float) -> list[BorrowedTokens]:
        """Spend borrowed tokens, those first that end first.

        Returns
        -------
        list of BorrowedTokens
            Together no more than asked for.
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
                # The lender need not keep room for it any longer.
                message = LoanReturn(account, loan.number, 0.0, True)
                self._peers.tell(loan.vm, message)
            else:
                kept.append(loan._replace(tokens=loan.tokens - taken))
        if kept:
            self._borrowed_by_account[account] = kept
        return spent

    def give_back(
        self, account: str, loan: BorrowedTokens, unused: float
    ) -> None:
        """Return tokens of a loan that were not used."""
        if unused > 0:
            message = LoanReturn(account, loan.number, unused)
            self._peers.tell(loan.vm, message)

    def give_back_all(self, account: str) -> None:
        """Return all that is borrowed of an account."""
        for loan in self._borrowed_by_account.pop(account, ()):
            self.give_back(account, loan, loan.tokens)

    def step(self) -> None:
        """Return loans that have ended; to be called every second."""
        now = self._app.clock.monotonic()
        for account, loans in list(self._borrowed_by_account.items()):
            if any(loan.until <= now for loan in loans):
                kept = [loan for loan in loans if loan.until > now]
                for loan in loans:
                    if loan.until <= now:
                        self.give_back(account, loan, loan.tokens)
                self._borrowed_by_account[account] = kept
                if not kept:
                    del self._borrowed_by_account[account]
        for vm, until in list(self._silent_until_by_vm.items()):
            if until <= now:
                del self._silent_until_by_vm[vm]
        for key, lender in list(self._lenders_by_key.items()):
            if lender.at < now - LENDER_SECONDS:
                del self._lenders_by_key[key]

    async def borrow(self, account: str, tokens: float) -> int:
        """Borrow up to some tokens, near VMs first.

        Returns
        -------
        int
            How many VMs answered.
        """
        answers = 0
        for vm in self._lenders(account)[:ASKS]:
            if tokens <= 0:
                break
            given = await self._ask(vm, account, tokens)
            if given is not None:
                answers += 1
                tokens -= given
        return answers

    def _lenders(self, account: str) -> list[str]:
        now = self._app.clock.monotonic()
        own = self._app.identity.data_centre
        near = set(self._view.live()) - {self._app.identity.vm}
        members = self._view.members()
        reachable = [
            vm
            for vm, member in members.items()
            if (vm in near or (member.listed and member.data_centre != own))
            and now >= self._silent_until_by_vm.get(vm, now)
        ]
        self._app.rng.shuffle(reachable)
        rate = self._books.rate(account)
        # The fullest first: a full bucket accrues nothing. Near ones come
        # first among those of which nothing is known.
        return sorted(
            reachable,
            key=lambda vm: (-self._guess(account, vm, rate), vm not in near),
        )

    def _guess(self, account: str, vm: str, rate: float) -> float:
        """Return about how much a lender has, from its last answer."""
        last = self._lenders_by_key.get((account, vm))
        if last is None:
            return float('inf')
        return last.left + rate * (self._app.clock.monotonic() - last.at)

    async def _ask(self, vm: str, account: str, tokens: float) -> float | None:
        asked = self._app.clock.monotonic()
        self.counts['asked'] += 1
        message = LoanRequest(account, tokens)
        reply = await self._peers.ask(vm, message, ASK_SECONDS)
        if reply.is_error() or not isinstance(reply.ok, LoanReply):
            until = self._app.clock.monotonic() + SILENT_SECONDS
            self._silent_until_by_vm[vm] = until
            return None
        now = self._app.clock.monotonic()
        self._lenders_by_key[account, vm] = Lender(reply.ok.left, now)
        given = min(max(0.0, reply.ok.tokens), tokens)
        if given > 0:
            until = asked + self._bounds.loan * (1 - self._bounds.drift)
            loan = BorrowedTokens(vm, reply.ok.number, given, until)
            self._borrowed_by_account.setdefault(account, []).append(loan)
        return given

    async def _lend(self, sender: peers.Sender, ask: LoanRequest) -> LoanReply:
        self._number += 1
        if not self._books.knows(ask.account) or not ask.tokens > 0:
            return LoanReply(self._number, 0.0)
        book = self._books.find(ask.account)
        now = self._app.clock.monotonic()
        until = now + self._bounds.loan
        given = book.lend(now, self._number, ask.tokens, until)
        self.counts['lent'] += given > 0
        return LoanReply(self._number, given, book.balance(now))

    async def _take_back(self, sender: peers.Sender, back: LoanReturn) -> None:
        if not self._books.knows(back.account):
            return
        book = self._books.find(back.account)
        now = self._app.clock.monotonic()
        book.take_back(now, back.number, back.unused)
        if back.is_spent:
            book.end_loan(now, back.number)
