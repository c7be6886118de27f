"""One VM's ledger of an account: an exact token bucket with refunds."""

from typing import NamedTuple

MAX_ENTRIES = 1024
REFUND_SECONDS = 600.0


class Entry:
    """A moment in a ledger: tokens taken, after accrual on some terms.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    rate, room : float
        Tokens per second, and the most tokens, since the entry before.
    tokens : float
        What is taken at that moment; lower after a refund.
    is_open : bool
        Whether ``tokens`` may still be lowered.
    """

    __slots__ = ('at', 'is_open', 'rate', 'room', 'tokens')

    def __init__(
        self,
        at: float,
        rate: float,
        room: float,
        tokens: float,
        is_open: bool,
    ) -> None:
        self.at = at
        self.rate = rate
        self.room = room
        self.tokens = tokens
        self.is_open = is_open


class Loan(NamedTuple):
    """Tokens that another VM may spend until a moment.

    Attributes
    ----------
    number : int
        Identifies it in its ledger.
    tokens : float
        How many.
    until : float
        Monotonic seconds of the lender.
    """

    number: int
    tokens: float
    until: float


class _Ended(NamedTuple):
    """A loan that has ended: what is left of it, and where it ended."""

    tokens: float
    end: Entry


class TokenBucket:
    """A token bucket that starts empty, with its recent charges.

    The entries are at every moment a possible history of a token bucket:
    a refund lowers an entry where it stands, and the balance is computed
    anew from there. So it never gives back what would have run over
    meanwhile. Lent tokens take room in the bucket until the loan ends.

    Times that are passed must never go back.

    Parameters
    ----------
    since : float
        Monotonic seconds from which it accrues.
    rate, burst : float
        Tokens per second, and tokens.

    Examples
    --------
    >>> book = TokenBucket(0.0, 10.0, 100.0)
    >>> book.balance(5.0)
    50.0
    >>> entry = book.spend(5.0, 50.0)
    >>> book.spend(5.0, 1.0) is None
    True
    >>> book.refund(entry, 20.0)
    >>> book.balance(5.0)
    20.0
    """

    def __init__(self, since: float, rate: float, burst: float) -> None:
        self._at = since
        self._balance = 0.0
        self._rate = rate
        self._burst = burst
        self._held = 0.0
        self._base_at = since
        self._base = 0.0
        self._entries: list[Entry] = []
        self._loans_by_number: dict[int, Loan] = {}
        self._ended_by_number: dict[int, _Ended] = {}

    def balance(self, now: float) -> float:
        """Return the tokens that may be spent now."""
        self._lapse(now)
        return self._accrued(now)

    def lent(self, now: float) -> float:
        """Return the tokens that others may spend now."""
        self._lapse(now)
        return self._held

    def change(self, now: float, rate: float, burst: float) -> None:
        """Take other terms from now on."""
        if rate == self._rate and burst == self._burst:
            return
        now = max(now, self._at)
        self._lapse(now)
        self._add(now, 0.0, False)
        self._rate = rate
        self._burst = burst
        self._add(now, 0.0, False)

    def spend(self, now: float, tokens: float) -> Entry | None:
        """Take tokens; None and no change if there are too few."""
        if self.balance(now) < tokens:
            return None
        return self._add(now, tokens, True)

    def refund(self, entry: Entry, tokens: float) -> None:
        """Lower a charge by tokens that were not used, and close it."""
        if not entry.is_open:
            return
        entry.is_open = False
        if tokens > 0:
            entry.tokens -= min(tokens, entry.tokens)
            self._replay()
        self._fold()

    def overdraw(self, now: float, tokens: float) -> None:
        """Take tokens that were used already, down to a debt."""
        self._lapse(now)
        self._add(now, tokens, False)

    def lend(
        self, now: float, number: int, tokens: float, until: float
    ) -> float:
        """Hand tokens to another VM for a while.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        number : int
            Identifies the loan from now on.
        tokens : float
            The most that is wanted.
        until : float
            Monotonic seconds at which the loan has surely ended.

        Returns
        -------
        float
            Tokens lent; 0 if there are none.
        """
        given = min(tokens, self.balance(now))
        if given <= 0:
            return 0.0
        self._add(now, given, False)
        self._held += given
        self._loans_by_number[number] = Loan(number, given, until)
        return given

    def end_loan(self, now: float, number: int) -> None:
        """Free the room of a loan that has been spent."""
        self._lapse(now)
        loan = self._loans_by_number.get(number)
        if loan is not None:
            self._end(loan, now)

    def take_back(self, now: float, number: int, unused: float) -> None:
        """Take back tokens that were lent and will not be spent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        number : int
            Of the loan; one that is not known has no effect.
        unused : float
            No more than is left of the loan is taken.
        """
        self._lapse(now)
        loan = self._loans_by_number.get(number)
        if loan is not None:
            back = min(max(0.0, unused), loan.tokens)
            left = loan._replace(tokens=loan.tokens - back)
            self._loans_by_number[number] = left
            self._held -= back
            self._add(now, -back, False)
            return
        ended = self._ended_by_number.get(number)
        if ended is None or not ended.end.is_open:
            return
        back = min(max(0.0, unused), ended.tokens)
        self._ended_by_number[number] = _Ended(ended.tokens - back, ended.end)
        ended.end.tokens -= back
        self._replay()

    def _accrued(self, now: float) -> float:
        room = max(0.0, self._burst - self._held)
        return min(room, self._balance + self._rate * (now - self._at))

    def _add(self, at: float, tokens: float, is_open: bool) -> Entry:
        room = max(0.0, self._burst - self._held)
        entry = Entry(at, self._rate, room, tokens, is_open)
        self._balance = self._accrued(at) - tokens
        self._at = at
        self._entries.append(entry)
        self._fold()
        return entry

    def _lapse(self, now: float) -> None:
        if not self._loans_by_number:
            return
        ended = [
            loan
            for loan in self._loans_by_number.values()
            if loan.until <= now
        ]
        for loan in sorted(ended, key=lambda loan: loan.until):
            self._end(loan, max(loan.until, self._at))

    def _end(self, loan: Loan, at: float) -> None:
        del self._loans_by_number[loan.number]
        # Spent, as far as is known; `take_back` may still lower it.
        end = self._add(at, 0.0, True)
        self._ended_by_number[loan.number] = _Ended(loan.tokens, end)
        self._held -= loan.tokens
        if not self._loans_by_number:
            self._held = 0.0

    def _replay(self) -> None:
        balance, at = self._base, self._base_at
        for entry in self._entries:
            balance += entry.rate * (entry.at - at)
            balance = min(entry.room, balance) - entry.tokens
            at = entry.at
        self._balance = balance
        self._at = at

    def _fold(self) -> None:
        count = 0
        for entry in self._entries:
            if entry.is_open and self._is_kept(entry, count):
                break
            entry.is_open = False
            self._base += entry.rate * (entry.at - self._base_at)
            self._base = min(entry.room, self._base) - entry.tokens
            self._base_at = entry.at
            count += 1
        del self._entries[:count]
        if count:
            self._forget()

    def _is_kept(self, entry: Entry, before: int) -> bool:
        young = entry.at > self._at - REFUND_SECONDS
        return young and len(self._entries) - before <= MAX_ENTRIES

    def _forget(self) -> None:
        closed = [
            number
            for number, ended in self._ended_by_number.items()
            if not ended.end.is_open
        ]
        for number in closed:
            del self._ended_by_number[number]
