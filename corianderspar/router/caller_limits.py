"""Shares of a VM's memory and descriptors that callers may use."""

from typing import NamedTuple

from corianderspar import connection_table

DEFAULT_MEMORY_BYTES = 128_000_000
# Of the memory, for what callers sent and have not read. The rest is for the
# state of the daemon and for answers that are read from upstreams.
HELD_SHARE = 0.3
READ_SECONDS = 30.0  # no request lasts longer
# Of the servers for the load balancer and for metrics.
STATUS_LIMITS = connection_table.ConnectionLimits(
    held_bytes=4 * 1024 * 1024, read_seconds=5.0
)

__all__ = ['CallerLimits', 'Machine', 'derive']


class Machine(NamedTuple):
    """What a process may use; 0 if that isn't stated.

    Attributes
    ----------
    memory_bytes : int
        Memory.
    """

    memory_bytes: int = 0


class CallerLimits(NamedTuple):
    """Limits of what is held for others.

    Attributes
    ----------
    callers : ConnectionLimits
        Of the connections of callers.
    """

    callers: connection_table.ConnectionLimits


def derive(
    machine: Machine,
    held_bytes: int | None = None,
    read_seconds: float | None = None,
) -> CallerLimits:
    """Return the limits for a machine.

    Parameters
    ----------
    machine : Machine
        What the process may use.
    held_bytes, read_seconds : int, float or None
        As in `connection_table.ConnectionLimits`; None for the shares of
        the machine.

    Examples
    --------
    >>> derive(Machine(150_000_000)).callers.held_bytes
    45000000
    """
    memory_bytes = machine.memory_bytes or DEFAULT_MEMORY_BYTES
    return CallerLimits(
        connection_table.ConnectionLimits(
            held_bytes or int(memory_bytes * HELD_SHARE),
            read_seconds or READ_SECONDS,
        ),
    )
