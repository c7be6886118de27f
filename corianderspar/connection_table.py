"""Bounds on what the callers' connections of a server hold together.

A caller may send anything, at any pace, and read nothing. Each connection
reports what it holds. If there are too many connections, or they hold too
many bytes, those are closed first that hold most for longest without
letting go of it. A connection whose request is being served is closed last.
"""

import asyncio
import collections
from collections.abc import Callable
import enum
import heapq
from typing import NamedTuple
from typing import Protocol

CHECK_SECONDS = 0.2  # between checks of connections that wait for callers
# Closed together when there are too many, as a search for the worst reads the
# whole table.
CLOSED_SHARE = 1 / 32
# Of the bytes; when there are too many, connections close until so few are
# left.
KEPT_SHARE = 15 / 16
# Closing one that holds less releases too little to matter.
MIN_SHED_BYTES = 8 * 1024
# Added to the age of a state, so that those of the same moment differ by size.
MIN_AGE_SECONDS = 0.1

__all__ = [
    'ConnectionLimits',
    'ConnectionTable',
    'Held',
    'Shed',
    'State',
]


class ConnectionLimits(NamedTuple):
    """Limits of all connections of a server together.

    Attributes
    ----------
    connections : int
        Open at a time.
    held_bytes : int
        Held for callers: what was received and not used up, requests in
        flight, and answers that were not read.
    read_seconds : float
        For a caller to read what was written to it.
    """

    connections: int = 8192
    held_bytes: int = 256 * 1024 * 1024
    read_seconds: float = 30.0


class State(enum.Enum):
    """What a connection is doing."""

    UNUSED = 'unused'  # nothing was received yet
    RECEIVING = 'receiving'  # a request arrives
    SERVED = 'served'  # a request is being served
    AHEAD = 'ahead'  # the same, and more was sent than is read ahead
    UNREAD = 'unread'  # the caller does not read what was written
    IDLE = 'idle'  # since the last answer


# How early a connection is closed to make room for others; 0 is never.
_WEIGHTS_BY_STATE = {
    State.UNREAD: 4.0,
    State.RECEIVING: 2.0,
    State.UNUSED: 1.5,
    State.IDLE: 1.0,
    State.AHEAD: 0.01,
    State.SERVED: 0.0,
}


class Held(Protocol):
    """A connection, as the table sees it.

    Attributes
    ----------
    state : State
        What it is doing.
    since : float
        Seconds of the event loop at which the state began.
    held_bytes : int
        What it holds; set by the table.
    """

    state: State
    since: float
    held_bytes: int

    def shed(self, reason: str) -> None:
        """Refuse what arrives, or close the connection at once."""
        ...

    def check(self, now: float) -> None:
        """Close the connection if its caller left, or never reads."""
        ...


class Shed(NamedTuple):
    """A connection or request that was refused or cut off.

    Attributes
    ----------
    reason : str
        One of a few words, for a counter.
    state : str
        What the connection was doing.
    held_bytes : int
        What it held.
    seconds : float
        How long its state had lasted.
    """

    reason: str
    state: str = ''
    held_bytes: int = 0
    seconds: float = 0.0


class ConnectionTable:
    """The open connections of a server, and what they hold.

    Parameters
    ----------
    limits : ConnectionLimits
        Limits of all connections together.

    Attributes
    ----------
    limits : ConnectionLimits
        As the parameter; may be replaced.
    held_bytes : int
        Sum over all connections.
    counts_by_reason : dict of str to int
        What was shed.
    on_shed : list of callable
        Hooks that are called with each `Shed`.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.counts_by_reason: collections.Counter[str] = collections.Counter()
        self.on_shed: list[Callable[[Shed], None]] = []
        self._connections: set[Held] = set()
        self._expected = 0
        self._watched: set[Held] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_releasing = False

    def __len__(self) -> int:
        """Return the number of connections, with those being set up."""
        return len(self._connections) + self._expected

    @property
    def has_room(self) -> bool:
        """Whether one more connection may be accepted."""
        return len(self) < self.limits.connections

    @property
    def is_full(self) -> bool:
        """Whether the connections hold too many bytes, whatever is closed."""
        return self.held_bytes > self.limits.held_bytes

    def expect(self) -> None:
        """Count a connection that was accepted and will be added."""
        self._expected += 1

    def add(self, connection: Held) -> None:
        """Add a connection that was set up."""
        self._expected = max(self._expected - 1, 0)
        self._connections.add(connection)

    def discard(self, connection: Held) -> None:
        """Forget a connection that was closed, and what it held."""
        self._connections.discard(connection)
        self._watched.discard(connection)
        self._set(connection, 0)

    def set_held(self, connection: Held, held_bytes: int) -> None:
        """Record what a connection holds; close the worst if it's too much."""
        self._set(connection, held_bytes)
        if self.is_full and not self._is_releasing:
            self._is_releasing = True
            try:
                self._release_bytes()
            finally:
                self._is_releasing = False

    def make_room(self) -> bool:
        """Close connections, so that others can be accepted in a moment.

        Returns
        -------
        bool
            False if all of them are being served.
        """
        count = max(int(self.limits.connections * CLOSED_SHARE), 1)
        worst = self._worst(count, lambda _connection: 1.0)
        for connection in worst:
            self._shed(connection, 'connections')
        return bool(worst)

    def refuse(self, reason: str) -> None:
        """Record a connection or request that is refused."""
        self._record(Shed(reason))

    def cut_off(self, connection: Held, reason: str) -> None:
        """Record a connection that closes itself."""
        self._record(self._describe(connection, reason))

    def watch(self, connection: Held) -> None:
        """Check a connection now and then, until `unwatch`."""
        self._watched.add(connection)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                CHECK_SECONDS, self._check
            )

    def unwatch(self, connection: Held) -> None:
        """Stop checking a connection."""
        self._watched.discard(connection)

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self._watched):
            connection.check(now)
        self._timer = None
        if self._watched:
            self._timer = loop.call_later(CHECK_SECONDS, self._check)

    def _release_bytes(self) -> None:
        target = self.limits.held_bytes * KEPT_SHARE
        while self.held_bytes > target:
            worst = self._worst(
                max(int(len(self._connections) * CLOSED_SHARE), 1),
                lambda connection: (
                    connection.held_bytes
                    if connection.held_bytes >= MIN_SHED_BYTES
                    else 0
                ),
            )
            if not worst:
                return
            for connection in worst:
                if self.held_bytes <= target:
                    return
                self._shed(connection, 'memory')

    def _worst(self, count: int, weigh: Callable[[Held], float]) -> list[Held]:
        """Return the connections to close first."""
        now = asyncio.get_running_loop().time()
        weighed = (
            (
                _WEIGHTS_BY_STATE[connection.state]
                * weigh(connection)
                * (now - connection.since + MIN_AGE_SECONDS),
                id(connection),
                connection,
            )
            for connection in self._connections
        )
        worst = heapq.nlargest(count, (w for w in weighed if w[0] > 0.0))
        return [connection for _weight, _id, connection in worst]

    def _shed(self, connection: Held, reason: str) -> None:
        self._record(self._describe(connection, reason))
        self._set(connection, 0)
        connection.shed(reason)

    def _describe(self, connection: Held, reason: str) -> Shed:
        now = asyncio.get_running_loop().time()
        return Shed(
            reason,
            connection.state.value,
            connection.held_bytes,
            now - connection.since,
        )

    def _record(self, shed: Shed) -> None:
        self.counts_by_reason[shed.reason] += 1
        for hook in self.on_shed:
            hook(shed)

    def _set(self, connection: Held, held_bytes: int) -> None:
        self.held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
