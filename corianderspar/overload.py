"""Admission control: limits on what a daemon accepts at one time."""

import collections
import random
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import problems

MEAN_RETRY_SECONDS = 1.0
REQUEST_OVERHEAD_BYTES = 16 << 10  # memory, without body and answer
CONNECTION_OVERHEAD_BYTES = 24 << 10


class AdmissionLimits(NamedTuple):
    """Limits of one daemon.

    Attributes
    ----------
    in_flight : int
        Requests admitted and not yet answered in full.
    account_fraction : float
        Largest fraction of ``in_flight`` for one client account.
    queued_bytes : int
        Bytes of bodies and answers that are held for them.
    connections : int
        Connections from callers, including idle ones.
    memory_bytes : int
        Limit of the estimated memory: the bytes held, and a fixed overhead
        for each request and connection.
    """

    in_flight: int = 2000
    account_fraction: float = 0.5
    queued_bytes: int = 64 << 20
    connections: int = 12_000
    memory_bytes: int = 384 << 20


class Permit:
    """An admitted request's part of the limits.

    As a context manager, it is released at the end of the block.

    Parameters
    ----------
    admission : Admission
        What admitted the request.
    account : str
        The client account.
    size : int
        Bytes held for the request.
    """

    def __init__(
        self, admission: 'Admission', account: str, size: int
    ) -> None:
        self.account = account
        self.size = size
        self._admission = admission
        self._is_released = False

    def __enter__(self) -> 'Permit':
        return self

    def __exit__(self, *_exception: object) -> None:
        self.release()

    def resize(self, size: int) -> bool:
        """Change the bytes held, and return whether the limits allow it.

        If they don't, the size stays as it was: a writer then waits until
        its reader has taken some bytes, and loses nothing.
        """
        if self._is_released:
            return False
        growth = size - self.size
        if growth > 0 and not self._admission.fits(growth):
            return False
        self._admission.held_bytes += growth
        self.size = size
        return True

    def release(self) -> None:
        """Release the permit; further calls do nothing."""
        if not self._is_released:
            self._is_released = True
            self._admission.release(self)


class Admission:
    """Admits requests and connections within the limits.

    Nothing is queued: what exceeds a limit is refused at once, before any
    work on it.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of ``retry_after``.
    limits : AdmissionLimits or None
        The limits; None for the defaults.
    """

    def __init__(
        self, rng: random.Random, limits: AdmissionLimits | None = None
    ) -> None:
        self.limits = limits or AdmissionLimits()
        self.in_flight = 0
        self.held_bytes = 0
        self.connections = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._rng = rng
        self._counts_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def estimated_bytes(self) -> int:
        """Estimated memory of requests and connections, in bytes."""
        return (
            self.held_bytes
            + self.in_flight * REQUEST_OVERHEAD_BYTES
            + self.connections * CONNECTION_OVERHEAD_BYTES
        )

    def fits(self, size: int) -> bool:
        """Return whether the limits allow holding ``size`` more bytes."""
        return (
            self.held_bytes + size <= self.limits.queued_bytes
            and self.estimated_bytes + size <= self.limits.memory_bytes
        )

    def add_connection(self) -> bool:
        """Admit a connection, and return whether the limits allow it."""
        estimated_bytes = self.estimated_bytes + CONNECTION_OVERHEAD_BYTES
        if (
            self.connections >= self.limits.connections
            or estimated_bytes > self.limits.memory_bytes
        ):
            self.counts['connections_refused'] += 1
            return False
        self.connections += 1
        return True

    def remove_connection(self) -> None:
        """Release a connection that was admitted."""
        self.connections -= 1

    def admit(
        self, account: str, size: int, ticket: str = ''
    ) -> Result[Permit, problems.Problem]:
        """Admit a request, or refuse it before any work on it.

        Parameters
        ----------
        account : str
            The client account; empty on open routes.
        size : int
            Size of its body, in bytes.
        ticket : str
            Ticket of the request; empty if it has none.

        Returns
        -------
        Result
            A `Permit`, or the problem ``overloaded``.
        """
        if not self._has_capacity(account, size):
            self.counts['shed'] += 1
            return Error(self._refusal(ticket))
        self.in_flight += 1
        self.held_bytes += size
        self._counts_by_account[account] += 1
        return Ok(Permit(self, account, size))

    def release(self, permit: Permit) -> None:
        """Release what a permit holds; called by the permit."""
        self.in_flight -= 1
        self.held_bytes -= permit.size
        self._counts_by_account[permit.account] -= 1
        if not self._counts_by_account[permit.account]:
            del self._counts_by_account[permit.account]

    def _has_capacity(self, account: str, size: int) -> bool:
        max_account_requests = (
            self.limits.in_flight * self.limits.account_fraction
        )
        return (
            self.in_flight < self.limits.in_flight
            and self._counts_by_account[account] < max_account_requests
            and self.fits(size + REQUEST_OVERHEAD_BYTES)
        )

    def _refusal(self, ticket: str) -> problems.Problem:
        # The jitter keeps refused callers from retrying all at once.
        problem = problems.Problem(
            'overloaded',
            503,
            'no',
            'this daemon is at its limit',
            MEAN_RETRY_SECONDS * (0.5 + self._rng.random()),
        )
        return problems.for_ticket(problem, ticket)
