"""The callers' connections of a server that wait for their callers."""

import asyncio
import collections
from typing import NamedTuple
from typing import Protocol

CHECK_SECONDS = 0.2  # between checks of connections that wait for callers

__all__ = ['ConnectionLimits', 'ConnectionTable', 'Watched']


class ConnectionLimits(NamedTuple):
    """Limits of the connections of a server.

    Attributes
    ----------
    read_seconds : float
        For a caller to read what was written to it.
    """

    read_seconds: float = 30.0


class Watched(Protocol):
    """A connection that waits for its caller."""

    def check(self, now: float) -> None:
        """Close the connection if its caller left, or never reads."""
        ...


class ConnectionTable:
    """The connections of a server that wait for their callers.

    Parameters
    ----------
    limits : ConnectionLimits
        Limits of the connections.

    Attributes
    ----------
    limits : ConnectionLimits
        As the parameter; may be replaced.
    counts_by_reason : dict of str to int
        Connections that were cut off.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.counts_by_reason: collections.Counter[str] = collections.Counter()
        self._watched: set[Watched] = set()
        self._timer: asyncio.TimerHandle | None = None

    def discard(self, connection: Watched) -> None:
        """Forget a connection that was closed."""
        self._watched.discard(connection)

    def cut_off(self, _connection: Watched, reason: str) -> None:
        """Record a connection that closes itself."""
        self.counts_by_reason[reason] += 1

    def watch(self, connection: Watched) -> None:
        """Check a connection now and then, until `unwatch`."""
        self._watched.add(connection)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                CHECK_SECONDS, self._check
            )

    def unwatch(self, connection: Watched) -> None:
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
