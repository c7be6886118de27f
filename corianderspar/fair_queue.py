"""A queue that is fair among client accounts by the tokens they used."""

from collections.abc import Iterator
import heapq
import itertools
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

T = TypeVar('T')

CLASS_RANKS = {'guarded': 0, 'ordinary': 1, 'patient': 2}
URGENT_SECONDS = 3.0  # before the deadline of a patient entry
MAX_CREDIT_TOKENS = 50_000.0  # of an account of weight 1
MIN_PURGE_ACCOUNTS = 256  # known before idle accounts are purged


class Entry(NamedTuple, Generic[T]):
    """An item that waits in the queue.

    Attributes
    ----------
    account : str
        The client account that is charged for it.
    service_class : str
        A key of `CLASS_RANKS`.
    deadline : float
        Monotonic seconds at which the entry expires.
    tokens : float
        Tokens that the account is charged when the entry is dequeued.
    item : object
        What waits.
    """

    account: str
    service_class: str
    deadline: float
    tokens: float
    item: T


class _Account(Generic[T]):
    """The virtual time and the waiting entries of one account."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual_time = 0.0
        self.waiting_tokens = 0.0
        self.heap: list[tuple[int, float, int, Entry[T]]] = []
        self.patient_heap: list[tuple[float, int, Entry[T]]] = []

    def __len__(self) -> int:
        return len(self.heap) + len(self.patient_heap)


class FairQueue(Generic[T]):
    """Start-time fair queueing among accounts, then class and deadline.

    The virtual time of an account grows by the tokens it is charged over
    its weight, and the account with the lowest virtual time is next. Within
    an account, entries are ordered by class and then by deadline. However,
    a patient entry whose deadline is less than `URGENT_SECONDS` away goes
    before all other entries of its account.

    An account that becomes active starts at most `MAX_CREDIT_TOKENS` times
    its weight behind the queue. An account that stays below its share can
    thus send a burst that goes first, but the credit that it accumulates is
    bounded. `charge` corrects a charge once the actual tokens are known.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for name in ('large', 'large', 'small'):
    ...     queue.enqueue(Entry(name, 'ordinary', 9.0, 10.0, name), 1.0)
    >>> order = []
    >>> while entry := next(queue.heads(0.0), None):
    ...     queue.dequeue(entry)
    ...     order.append(entry.item)
    >>> order
    ['large', 'small', 'large']
    """

    def __init__(self) -> None:
        self._accounts_by_name: dict[str, _Account[T]] = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._entry_count = 0
        self._purge_size = MIN_PURGE_ACCOUNTS

    def __len__(self) -> int:
        """Return the number of waiting entries."""
        return self._entry_count

    def enqueue(self, entry: Entry[T], weight: float) -> None:
        """Add an entry and set the weight of its account."""
        account = self._account(entry.account)
        account.weight = weight
        if not len(account):
            account.virtual_time = max(
                account.virtual_time, self._earliest_start()
            )
        number = next(self._sequence)
        if entry.service_class == 'patient':
            heapq.heappush(
                account.patient_heap, (entry.deadline, number, entry)
            )
        else:
            rank = CLASS_RANKS[entry.service_class]
            heapq.heappush(account.heap, (rank, entry.deadline, number, entry))
        account.waiting_tokens += entry.tokens
        self._entry_count += 1

    def heads(self, now: float) -> Iterator[Entry[T]]:
        """Yield the next entry of each account, in the order of accounts.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        waiting = [
            (account.virtual_time, name)
            for name, account in self._accounts_by_name.items()
            if len(account)
        ]
        waiting.sort()
        for _virtual_time, name in waiting:
            yield self._head(self._accounts_by_name[name], now)

    def dequeue(self, entry: Entry[T]) -> None:
        """Remove an entry that is served and charge its account."""
        account = self._accounts_by_name[entry.account]
        least = min(
            waiting.virtual_time
            for waiting in self._accounts_by_name.values()
            if len(waiting)
        )
        self._virtual_time = max(self._virtual_time, least)
        self.remove(entry)
        account.virtual_time += entry.tokens / account.weight

    def remove(self, entry: Entry[T]) -> None:
        """Remove an entry without charge; do nothing if it is not queued."""
        account = self._accounts_by_name[entry.account]
        heap = account.heap
        found = next((i for i, row in enumerate(heap) if row[3] is entry), -1)
        if found >= 0:
            heap[found] = heap[-1]
            heap.pop()
            heapq.heapify(heap)
        else:
            kept = [row for row in account.patient_heap if row[2] is not entry]
            if len(kept) == len(account.patient_heap):
                return
            account.patient_heap = kept
            heapq.heapify(account.patient_heap)
        account.waiting_tokens -= entry.tokens
        self._entry_count -= 1

    def charge(self, name: str, tokens: float) -> None:
        """Charge an account more tokens; refund it if they are negative."""
        account = self._accounts_by_name.get(name)
        if account is not None:
            account.virtual_time += tokens / account.weight

    def tokens_ahead(
        self, name: str, weight: float, service_class: str
    ) -> float:
        """Return the tokens that go before a new entry of an account.

        They are the account's own entries that go first and, for each other
        account, its waiting tokens, limited to what its weight entitles it
        to before those entries have been served.
        """
        account = self._accounts_by_name.get(name)
        start, total = self._earliest_start(), 0.0
        if account is not None:
            start = max(account.virtual_time, start)
            total = account.waiting_tokens
            if service_class != 'patient':
                total -= sum(row[2].tokens for row in account.patient_heap)
        finish = start + total / weight
        for other, account in self._accounts_by_name.items():
            if other != name and len(account):
                due = max(0.0, finish - account.virtual_time) * account.weight
                total += min(account.waiting_tokens, due)
        return total

    def expired(self, now: float) -> list[Entry[T]]:
        """Return the entries whose deadline has passed."""
        return [entry for entry in self if entry.deadline <= now]

    def __iter__(self) -> Iterator[Entry[T]]:
        """Yield all entries, account by account."""
        for account in self._accounts_by_name.values():
            for row in account.heap:
                yield row[3]
            for patient_row in account.patient_heap:
                yield patient_row[2]

    def _account(self, name: str) -> _Account[T]:
        account = self._accounts_by_name.get(name)
        if account is None:
            if len(self._accounts_by_name) >= self._purge_size:
                self._purge()
            account = self._accounts_by_name[name] = _Account(1.0)
            account.virtual_time = self._earliest_start()
        return account

    def _purge(self) -> None:
        """Remove idle accounts that a new account would be equal to."""
        start = self._earliest_start()
        self._accounts_by_name = {
            name: account
            for name, account in self._accounts_by_name.items()
            if len(account) or account.virtual_time > start
        }
        self._purge_size = 2 * len(self._accounts_by_name) + MIN_PURGE_ACCOUNTS

    def _earliest_start(self) -> float:
        """Return the lowest virtual time at which an account may start."""
        return self._virtual_time - MAX_CREDIT_TOKENS

    def _head(self, account: _Account[T], now: float) -> Entry[T]:
        patient = account.patient_heap[0][2] if account.patient_heap else None
        if patient and patient.deadline - now < URGENT_SECONDS:
            return patient
        if account.heap:
            return account.heap[0][3]
        assert patient is not None
        return patient
