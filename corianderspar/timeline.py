"""Events of one process in a bounded ring, and their merge."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

MAX_EVENTS = 4096


class _Clock(Protocol):
    def wall(self) -> float: ...


class Event(NamedTuple):
    """Something that happened in one process.

    Attributes
    ----------
    process : str
        Incarnation of the daemon.
    counter : int
        Lamport counter; a cause has a smaller one than its effect.
    wall : float
        Seconds since the epoch by the process's own clock.
    name : str
        Dotted name such as ``request.admitted``.
    fields : dict of str to str
        Request, account, upstream and the like; never a key or a text.
    """

    process: str
    counter: int
    wall: float
    name: str
    fields: dict[str, str]


class EventBuffer:
    """The latest events of one process, and its Lamport counter.

    Parameters
    ----------
    process : str
        Incarnation, written on each event.
    clock : object
        Has ``wall()``, seconds since the epoch.
    size : int
        How many events are kept.

    Attributes
    ----------
    sinks : list of callable
        Each gets every event, such as the log.
    """

    def __init__(
        self, process: str, clock: _Clock, size: int = MAX_EVENTS
    ) -> None:
        self.process = process
        self.counter = 0
        self.sinks: list[Callable[[Event], None]] = []
        self._clock = clock
        self._events: collections.deque[Event] = collections.deque(maxlen=size)

    def add(self, name: str, **fields: object) -> Event:
        """Record an event and return it."""
        self.counter += 1
        event = Event(
            self.process,
            self.counter,
            self._clock.wall(),
            name,
            {key: str(value) for key, value in fields.items()},
        )
        self._events.append(event)
        for sink in self.sinks:
            sink(event)
        return event

    def advance_counter(self, counter: int) -> None:
        """Take note of a counter that came with a peer's message."""
        self.counter = max(self.counter, counter)

    def events(self) -> list[Event]:
        """Return what is kept, oldest first."""
        return list(self._events)


def merge(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of many processes in causal order.

    Examples
    --------
    >>> a = Event('vm1/1/a', 1, 9.0, 'sent', {})
    >>> b = Event('vm2/1/b', 2, 8.0, 'received', {})
    >>> [event.name for event in merge([[b], [a]])]
    ['sent', 'received']
    """
    events = [event for ring in rings for event in ring]
    return sorted(events, key=lambda event: (event.counter, event.process))
