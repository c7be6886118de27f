"""A token bucket with exact refunds and loans."""

from typing import NamedTuple

MAX_ENTRIES = 1024
REFUND_WINDOW_SECONDS = 600.0


class Entry:
    """A change of a bucket: a refill since the entry before, then a debit.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    rate, capacity : float
        Tokens per second, and the most tokens in the bucket, since the
        previous entry.
    tokens : float
        Tokens taken at that moment; negative if they were added, and lower
        after a refund.
    is_open : bool
        Whether ``tokens`` may still be lowered.
    """

    __slots__ = ('at', 'capacity', 'is_open', 'rate', 'tokens')

    def __init__(
        self,
        at: float,
        rate: float,
        capacity: float,
        tokens: float,
        is_open: bool,
    ) -> None:
        self.at = at
        self.rate = rate
        self.capacity = capacity
        self.tokens = tokens
        self.is_open = is_open


class Loan(NamedTuple):
    """Tokens that another VM may spend until the loan ends.

    Attributes
    ----------
    number : int
        Identifies the loan in its bucket.
    tokens : float
        Tokens lent and not yet returned.
    until : float
        The end of the loan, in the lender's monotonic seconds.
    """

    number: int
    tokens: float
    until: float


class _EndedLoan(NamedTuple):
    """A loan that has ended.

    Attributes
    ----------
    tokens : float
        Tokens lent and not yet returned.
    entry : Entry
        The entry of its end, which returned tokens lower.
    """

    tokens: float
    entry: Entry


class TokenBucket:
    """A token bucket that starts empty and keeps its recent debits.

    A refund lowers the debit in the entry that made it, and the balance is
    recomputed from the kept entries. The entries are thus always a possible
    history of a plain token bucket, and a refund never restores tokens that
    would have overflowed in the meantime. A debit can be refunded for
    `REFUND_WINDOW_SECONDS`, and sooner becomes final if more than
    `MAX_ENTRIES` entries would be kept. Lent tokens occupy capacity of the
    bucket until the loan ends.

    The times passed to the methods must not decrease.

    Parameters
    ----------
    since : float
        Monotonic seconds from which the bucket is refilled.
    rate : float
        Refill, in tokens per second.
    burst : float
        Capacity, in tokens.

    Examples
    --------
    >>> bucket = TokenBucket(0.0, 10.0, 100.0)
    >>> bucket.balance(5.0)
    50.0
    >>> entry = bucket.spend(5.0, 50.0)
    >>> bucket.spend(5.0, 1.0) is None
    True
    >>> bucket.refund(entry, 20.0)
    >>> bucket.balance(5.0)
    20.0
    """

    def __init__(self, since: float, rate: float, burst: float) -> None:
        self._at = since
        self._balance = 0.0
        self._rate = rate
        self._burst = burst
        self._lent = 0.0
        self._base_at = since
        self._base_balance = 0.0
        self._entries: list[Entry] = []
        self._loans_by_number: dict[int, Loan] = {}
        self._ended_by_number: dict[int, _EndedLoan] = {}

    def balance(self, now: float) -> float:
        """Return the tokens that may be spent now."""
        self._expire_loans(now)
        return self._refilled(now)

    def lent(self, now: float) -> float:
        """Return the tokens that are on loan now."""
        self._expire_loans(now)
        return self._lent

    def set_limits(self, now: float, rate: float, burst: float) -> None:
        """Set the rate and the burst from a moment on."""
        if rate == self._rate and burst == self._burst:
            return
        now = max(now, self._at)
        self._expire_loans(now)
        self._append(now, 0.0, False)
        self._rate = rate
        self._burst = burst
        self._append(now, 0.0, False)

    def spend(self, now: float, tokens: float) -> Entry | None:
        """Take tokens; return None and take nothing if there are too few."""
        if self.balance(now) < tokens:
            return None
        return self._append(now, tokens, True)

    def refund(self, entry: Entry, tokens: float) -> None:
        """Return unused tokens of a debit, and close its entry."""
        if not entry.is_open:
            return
        entry.is_open = False
        if tokens > 0:
            entry.tokens -= min(tokens, entry.tokens)
            self._recompute()
        self._compact()

    def overdraw(self, now: float, tokens: float) -> None:
        """Take tokens that were used already, if need be as a debt."""
        self._expire_loans(now)
        self._append(now, tokens, False)

    def lend(
        self, now: float, number: int, tokens: float, until: float
    ) -> float:
        """Lend tokens to another VM.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        number : int
            Identifies the loan from now on.
        tokens : float
            The most tokens to lend.
        until : float
            Monotonic seconds by which the borrower's loan has ended.

        Returns
        -------
        float
            Tokens lent; 0 if the bucket has none.
        """
        given = min(tokens, self.balance(now))
        if given <= 0:
            return 0.0
        self._append(now, given, False)
        self._lent += given
        self._loans_by_number[number] = Loan(number, given, until)
        return given

    def end_loan(self, now: float, number: int) -> None:
        """End a loan that was spent, which frees its capacity."""
        self._expire_loans(now)
        loan = self._loans_by_number.get(number)
        if loan is not None:
            self._close_loan(loan, now)

    def accept_return(self, now: float, number: int, unused: float) -> None:
        """Add tokens that were lent and that the borrower will not spend.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        number : int
            Identifies the loan; an unknown one has no effect.
        unused : float
            Tokens returned; those beyond the rest of the loan are ignored.
        """
        self._expire_loans(now)
        loan = self._loans_by_number.get(number)
        if loan is not None:
            returned = min(max(0.0, unused), loan.tokens)
            rest = loan._replace(tokens=loan.tokens - returned)
            self._loans_by_number[number] = rest
            self._lent -= returned
            self._append(now, -returned, False)
            return
        ended = self._ended_by_number.get(number)
        if ended is None or not ended.entry.is_open:
            return
        returned = min(max(0.0, unused), ended.tokens)
        self._ended_by_number[number] = _EndedLoan(
            ended.tokens - returned, ended.entry
        )
        ended.entry.tokens -= returned
        self._recompute()

    def _refilled(self, now: float) -> float:
        capacity = max(0.0, self._burst - self._lent)
        return min(capacity, self._balance + self._rate * (now - self._at))

    def _append(self, at: float, tokens: float, is_open: bool) -> Entry:
        capacity = max(0.0, self._burst - self._lent)
        entry = Entry(at, self._rate, capacity, tokens, is_open)
        self._balance = self._refilled(at) - tokens
        self._at = at
        self._entries.append(entry)
        self._compact()
        return entry

    def _expire_loans(self, now: float) -> None:
        if not self._loans_by_number:
            return
        ended = [
            loan
            for loan in self._loans_by_number.values()
            if loan.until <= now
        ]
        for loan in sorted(ended, key=lambda loan: loan.until):
            self._close_loan(loan, max(loan.until, self._at))

    def _close_loan(self, loan: Loan, at: float) -> None:
        del self._loans_by_number[loan.number]
        # The loan counts as spent; `accept_return` may still lower the entry.
        entry = self._append(at, 0.0, True)
        self._ended_by_number[loan.number] = _EndedLoan(loan.tokens, entry)
        self._lent -= loan.tokens
        if not self._loans_by_number:
            self._lent = 0.0

    def _recompute(self) -> None:
        balance, at = self._base_balance, self._base_at
        for entry in self._entries:
            balance += entry.rate * (entry.at - at)
            balance = min(entry.capacity, balance) - entry.tokens
            at = entry.at
        self._balance = balance
        self._at = at

    def _compact(self) -> None:
        count = 0
        for entry in self._entries:
            if entry.is_open and self._is_refundable(entry, count):
                break
            entry.is_open = False
            self._base_balance += entry.rate * (entry.at - self._base_at)
            self._base_balance = (
                min(entry.capacity, self._base_balance) - entry.tokens
            )
            self._base_at = entry.at
            count += 1
        del self._entries[:count]
        if count:
            self._forget_final_loans()

    def _is_refundable(self, entry: Entry, compacted: int) -> bool:
        is_recent = entry.at > self._at - REFUND_WINDOW_SECONDS
        return is_recent and len(self._entries) - compacted <= MAX_ENTRIES

    def _forget_final_loans(self) -> None:
        final = [
            number
            for number, ended in self._ended_by_number.items()
            if not ended.entry.is_open
        ]
        for number in final:
            del self._ended_by_number[number]
