"""Order and refusals of requests that wait for the capacity of a service.

A request is refused as soon as it is known that it can't be served before
its caller gives up: the work that goes before it lasts longer than that. All
others wait. Its caller's time and the work that is left are all that counts,
so a caller that comes for the first time and one that was refused before are
alike.

Ranks go first, but of each rank that waits one request is served at a time,
so that the others still come. Within a rank, client accounts share by the
tokens that they have in service, divided by their weight, so an account that
sends more than its share waits behind itself. Within an account, the caller
that has the least time left goes first. A new request is refused rather than
one of the same account that waits already.

The policy knows nothing of upstreams, does no networking and has no state.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import heapq
import itertools
import math
from typing import NamedTuple

# Tokens in service by rank and client account.
Served = Mapping[tuple[int, str], int]


class Entry(NamedTuple):
    """A request that waits, or is about to.

    Attributes
    ----------
    entry_id : str
        Unique among the entries that wait.
    rank : int
        0 is the most urgent.
    account : str
        Client account; empty if unknown.
    weight : float
        Of the account; 0 for the mean of the accounts that state one.
    tokens : int
        Capacity that it needs; 1 where requests are counted.
    latest_start : float
        When it has to be placed for its caller to get an answer before it
        gives up; seconds on one clock.
    """

    entry_id: str
    rank: int
    account: str
    weight: float
    tokens: int
    latest_start: float


class Supply:
    """When capacity becomes free for those that wait.

    Parameters
    ----------
    seconds : sequence of float
        When the requests in service end, seconds from now, ascending.
    tokens : sequence of float
        Capacity that each of them frees then.
    service_seconds : float
        For which a request is served.
    """

    def __init__(
        self,
        seconds: Sequence[float],
        tokens: Sequence[float],
        service_seconds: float,
    ) -> None:
        self._seconds = seconds
        self._cumulative = list(itertools.accumulate(tokens))
        self._service_seconds = service_seconds

    @property
    def rate(self) -> float:
        """Tokens per second that become free."""
        return self._cumulative[-1] / self._service_seconds

    def wait(self, tokens: float) -> float:
        """Return the seconds until so many tokens have become free."""
        total = self._cumulative[-1]
        rounds = max(math.ceil(tokens / total) - 1, 0)
        index = bisect.bisect_left(self._cumulative, tokens - rounds * total)
        index = min(index, len(self._seconds) - 1)
        return rounds * self._service_seconds + self._seconds[index]


class Ahead(NamedTuple):
    """What is served before an entry.

    Attributes
    ----------
    requests, tokens : int
        Number of entries, and the capacity that they need.
    """

    requests: int
    tokens: int


def _weights_by_account(entries: Iterable[Entry]) -> dict[str, float]:
    """Return the weights of accounts, the mean for those that state none."""
    weights = {entry.account: entry.weight for entry in entries}
    stated = [weight for weight in weights.values() if weight > 0.0]
    mean = sum(stated) / len(stated) if stated else 1.0
    return {
        account: weight if weight > 0.0 else mean
        for account, weight in weights.items()
    }


class _AccountQueue:
    """The entries of one account in one rank, in their order."""

    def __init__(self, served: float, weight: float) -> None:
        self.served = served
        self.waiting = 0.0
        self.weight = weight
        self._heap: list[tuple[float, int, Entry]] = []

    def add(self, number: int, entry: Entry) -> None:
        self._heap.append((entry.latest_start, number, entry))
        self.waiting += entry.tokens

    def build(self) -> None:
        heapq.heapify(self._heap)

    def __bool__(self) -> bool:
        return bool(self._heap)

    def head(self) -> tuple[float, int, Entry]:
        return self._heap[0]

    def pop(self) -> Entry:
        entry = heapq.heappop(self._heap)[2]
        self.served += entry.tokens
        return entry


class _RankQueue:
    """The entries of one rank, in the order of the shares of accounts.

    Accounts that have not had their share of what was and is to be served are
    alike, so that the time left decides among them.
    """

    def __init__(self, queues: Sequence[_AccountQueue]) -> None:
        self._share = sum(
            queue.served + queue.waiting for queue in queues
        ) / sum(queue.weight for queue in queues)
        self._heap: list[tuple[float, float, int, _AccountQueue]] = []
        for queue in queues:
            queue.build()
            self._heap.append(self._item(queue))
        heapq.heapify(self._heap)

    def __bool__(self) -> bool:
        return bool(self._heap)

    def pop(self) -> Entry:
        queue = self._heap[0][3]
        entry = queue.pop()
        if queue:
            heapq.heapreplace(self._heap, self._item(queue))
        else:
            heapq.heappop(self._heap)
        return entry

    def _item(
        self, queue: _AccountQueue
    ) -> tuple[float, float, int, _AccountQueue]:
        latest_start, number, _entry = queue.head()
        cost = max(queue.served / queue.weight, self._share)
        return cost, latest_start, number, queue


def order(entries: Sequence[Entry], served: Served) -> list[Entry]:
    """Return entries in the order in which they are to be served."""
    entries_by_rank: dict[int, list[Entry]] = {}
    for entry in entries:
        entries_by_rank.setdefault(entry.rank, []).append(entry)
    ranks_served = {rank for (rank, _account), n in served.items() if n > 0}
    first: list[Entry] = []
    ordered: list[Entry] = []
    for rank in sorted(entries_by_rank):
        queue = _order_rank(entries_by_rank[rank], served)
        if ordered and rank not in ranks_served:
            first.append(queue.pop(0))
        ordered += queue
    return first + ordered


def is_preceded(
    entry: Entry, entries: Sequence[Entry], served: Served
) -> bool:
    """Return whether another entry is to be served before this one."""
    if not entries:
        return False
    shares = {(other.rank, other.account) for other in entries}
    if shares == {(entry.rank, entry.account)}:
        return any(
            other.latest_start <= entry.latest_start for other in entries
        )
    return order([*entries, entry], served)[0] != entry


def ahead(entry: Entry, entries: Sequence[Entry], served: Served) -> Ahead:
    """Return what is served before an entry."""
    others = [other for other in entries if other.entry_id != entry.entry_id]
    count = tokens = 0
    for other in order([*others, entry], served):
        if other == entry:
            break
        count += 1
        tokens += other.tokens
    return Ahead(count, tokens)


def must_refuse(
    entry: Entry,
    ordered: Sequence[Entry],
    served: Served,
    supply: Supply,
    now: float,
) -> bool:
    """Return whether a new entry that cannot be placed now is refused.

    That is if it can't be served in time, or if one of its account and rank
    that waits already could not be because of it.

    Parameters
    ----------
    entry : Entry
        The new entry.
    ordered : sequence of Entry
        The entries that wait, in their order.
    served : mapping
        Tokens in service, by rank and account.
    supply : Supply
        What becomes free for them.
    now : float
        Seconds on the clock of the entries.
    """
    lost = lost_entries(order([*ordered, entry], served), supply, now)
    if entry.entry_id in lost:
        return True
    lost -= lost_entries(ordered, supply, now)
    return any(
        other.entry_id in lost
        and (other.rank, other.account) == (entry.rank, entry.account)
        for other in ordered
    )


def lost_entries(
    ordered: Sequence[Entry], supply: Supply, now: float
) -> set[str]:
    """Return the identifiers of entries that can't be served in time.

    An entry is lost only if it would be by the time left alone, too.

    Parameters
    ----------
    ordered : sequence of Entry
        All entries that wait, in the order in which they are served.
    supply : Supply
        What becomes free for them.
    now : float
        Seconds on the clock of the entries.
    """
    lost = _lost_entries(ordered, supply, now)
    if lost:
        # Shares change as requests in service end.
        by_time = sorted(ordered, key=lambda e: (e.rank, e.latest_start))
        if by_time != ordered:
            lost &= _lost_entries(by_time, supply, now)
    return lost


def _lost_entries(
    ordered: Sequence[Entry], supply: Supply, now: float
) -> set[str]:
    lost: set[str] = set()
    tokens = 0
    for entry in ordered:
        if now + supply.wait(tokens + entry.tokens) > entry.latest_start:
            lost.add(entry.entry_id)
        else:
            tokens += entry.tokens
    return lost


def _order_rank(entries: Sequence[Entry], served: Served) -> list[Entry]:
    """Return the entries of one rank in the order of accounts' shares."""
    if len({entry.account for entry in entries}) == 1:
        return sorted(entries, key=lambda entry: entry.latest_start)
    weights = _weights_by_account(entries)
    queues_by_account: dict[str, _AccountQueue] = {}
    for number, entry in enumerate(entries):
        queue = queues_by_account.get(entry.account)
        if queue is None:
            queue = queues_by_account[entry.account] = _AccountQueue(
                served.get((entry.rank, entry.account), 0),
                weights[entry.account],
            )
        queue.add(number, entry)
    rank_queue = _RankQueue(list(queues_by_account.values()))
    ordered: list[Entry] = []
    while rank_queue:
        ordered.append(rank_queue.pop())
    return ordered
