"""Shares of a VM's memory and descriptors that callers may use."""

import contextlib
import resource
from typing import NamedTuple

from corianderspar import connection_table

DEFAULT_MEMORY_BYTES = 128_000_000
FILE_DESCRIPTORS = 200  # not for sockets
# Of the memory, for what callers sent and have not read. The rest is for the
# state of the daemon and for answers that are read from upstreams.
HELD_SHARE = 0.3
# Of the sockets; the rest is for peers and the store.
CALLER_SHARE = 0.4
UPSTREAM_SHARE = 0.3
PEER_SHARE = 0.25
READ_SECONDS = 30.0  # no request lasts longer
# Of the servers for the load balancer and for metrics.
STATUS_LIMITS = connection_table.ConnectionLimits(
    connections=16, held_bytes=4 * 1024 * 1024, read_seconds=5.0
)

__all__ = ['CallerLimits', 'Machine', 'derive', 'descriptor_limit']


class Machine(NamedTuple):
    """What a process may use; 0 if that isn't stated.

    Attributes
    ----------
    memory_bytes : int
        Memory.
    descriptors : int
        Descriptors, with those of files.
    """

    memory_bytes: int = 0
    descriptors: int = 0


class CallerLimits(NamedTuple):
    """Limits of what is held for others.

    Attributes
    ----------
    callers : ConnectionLimits
        Of the connections of callers.
    requests : int
        In flight at a time. Each may have a connection to an upstream.
    upstream_connections : int
        Open at a time before those without a request are closed.
    peer_connections : int
        Accepted from peers.
    """

    callers: connection_table.ConnectionLimits
    requests: int
    upstream_connections: int
    peer_connections: int


def descriptor_limit() -> int:
    """Return the descriptors that the system allows; 0 if it doesn't tell."""
    with contextlib.suppress(OSError, ValueError):
        soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != resource.RLIM_INFINITY:
            return soft
    return 0


def derive(
    machine: Machine,
    connections: int | None = None,
    held_bytes: int | None = None,
    read_seconds: float | None = None,
) -> CallerLimits:
    """Return the limits for a machine.

    Parameters
    ----------
    machine : Machine
        What the process may use.
    connections, held_bytes, read_seconds : int, int, float or None
        As in `connection_table.ConnectionLimits`; None for the shares of
        the machine.

    Examples
    --------
    >>> limits = derive(Machine(150_000_000, 4100))
    >>> limits.callers.connections, limits.callers.held_bytes
    (1560, 45000000)
    """
    stated = [n for n in (machine.descriptors, descriptor_limit()) if n]
    descriptors = min(stated, default=1024)
    sockets = max(descriptors - FILE_DESCRIPTORS, descriptors // 2)
    memory_bytes = machine.memory_bytes or DEFAULT_MEMORY_BYTES
    return CallerLimits(
        connection_table.ConnectionLimits(
            connections or int(sockets * CALLER_SHARE),
            held_bytes or int(memory_bytes * HELD_SHARE),
            read_seconds or READ_SECONDS,
        ),
        int(sockets * UPSTREAM_SHARE),
        int(sockets * UPSTREAM_SHARE),
        int(sockets * PEER_SHARE),
    )
