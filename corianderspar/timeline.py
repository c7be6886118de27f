"""Ring buffer of a process's events, and their merge in causal order."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

MAX_EVENTS = 4096
MAX_FIELD_CHARACTERS = 256  # of a value, which a caller may have sent


class _Clock(Protocol):
    def wall(self) -> float: ...


class Event(NamedTuple):
    """Something that happened in one process.

    Attributes
    ----------
    process : str
        Incarnation of the daemon.
    counter : int
        Value of the Lamport clock; smaller for a cause than for its
        effect.
    wall : float
        Seconds since the epoch on the clock of the process.
    name : str
        Dotted name such as ``request.admitted``.
    fields : dict of str to str
        Identifiers such as those of the request, account and upstream;
        never an API key, a prompt or an answer.
    """

    process: str
    counter: int
    wall: float
    name: str
    fields: dict[str, str]


class EventBuffer:
    """The latest events of one process, and its Lamport clock.

    Parameters
    ----------
    process : str
        Incarnation of the daemon, recorded with each event.
    clock : object
        Source of wall-clock time in seconds since the epoch.
    size : int
        Number of events that are kept.

    Attributes
    ----------
    counter : int
        Value of the Lamport clock.
    sinks : list of callable
        Each is called with every new event, for example
        `corianderspar.logs.log_event`.
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
            {
                key: str(value)[:MAX_FIELD_CHARACTERS]
                for key, value in fields.items()
            },
        )
        self._events.append(event)
        for sink in self.sinks:
            sink(event)
        return event

    def advance_counter(self, counter: int) -> None:
        """Advance the Lamport clock to the counter of a received message."""
        self.counter = max(self.counter, counter)

    def events(self) -> list[Event]:
        """Return the kept events, oldest first."""
        return list(self._events)


def merge(event_lists: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of several processes in one causal order.

    Examples
    --------
    >>> a = Event('vm1/1/a', 1, 9.0, 'sent', {})
    >>> b = Event('vm2/1/b', 2, 8.0, 'received', {})
    >>> [event.name for event in merge([[b], [a]])]
    ['sent', 'received']
    """
    events = [event for kept in event_lists for event in kept]
    return sorted(events, key=lambda event: (event.counter, event.process))
