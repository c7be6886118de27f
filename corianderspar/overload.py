"""Bounds on what one daemon takes on, and refusals beyond them."""

import collections
import random
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import problems

RETRY_SECONDS = 1.0
REQUEST_BYTES = 16 << 10
CONNECTION_BYTES = 24 << 10


class AdmissionLimits(NamedTuple):
    """What a daemon takes on at most.

    Attributes
    ----------
    in_flight : int
        Requests taken and not yet answered in full.
    account_fraction : float
        Most of them that one client account may have.
    queued_bytes : int
        Bytes of bodies and answers held for them.
    connections : int
        Callers' connections, idle ones included.
    memory_bytes : int
        Ceiling of an estimate: bytes held, and a fixed cost for each
        request and each connection.
    """

    in_flight: int = 2000
    account_fraction: float = 0.5
    queued_bytes: int = 64 << 20
    connections: int = 12_000
    memory_bytes: int = 384 << 20


class Permit:
    """The right to work on one request; a context manager that ends it.

    Parameters
    ----------
    admission : Admission
        What granted it.
    account : str
        Whose request it is.
    size : int
        Bytes held for it.
    """

    def __init__(
        self, admission: 'Admission', account: str, size: int
    ) -> None:
        self.account = account
        self.size = size
        self._admission = admission
        self._ended = False

    def __enter__(self) -> 'Permit':
        return self

    def __exit__(self, *_exception: object) -> None:
        self.end()

    def resize(self, size: int) -> bool:
        """Hold another number of bytes; False if there is no room.

        A writer that gets False waits for its reader; it loses nothing.
        """
        if self._ended:
            return False
        grown = size - self.size
        if grown > 0 and not self._admission.fits(grown):
            return False
        self._admission.bytes += grown
        self.size = size
        return True

    def end(self) -> None:
        """Give everything back; more than once does no harm."""
        if not self._ended:
            self._ended = True
            self._admission.release(self)


class Admission:
    """Takes requests and connections while there is room.

    Nothing waits here: what doesn't fit is refused at once, before any of
    its work has begun.

    Parameters
    ----------
    rng : random.Random
        Spreads the times after which refused callers come back.
    limits : AdmissionLimits
        What is taken at most.
    """

    def __init__(
        self, rng: random.Random, limits: AdmissionLimits | None = None
    ) -> None:
        self.limits = limits or AdmissionLimits()
        self.in_flight = 0
        self.bytes = 0
        self.connections = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._rng = rng
        self._counts_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def memory(self) -> int:
        """Estimated bytes that requests and connections take."""
        return (
            self.bytes
            + self.in_flight * REQUEST_BYTES
            + self.connections * CONNECTION_BYTES
        )

    def fits(self, size: int) -> bool:
        """Return whether further bytes may be held."""
        return (
            self.bytes + size <= self.limits.queued_bytes
            and self.memory + size <= self.limits.memory_bytes
        )

    def connect(self) -> bool:
        """Take a connection; False if there is no room for it."""
        memory = self.memory + CONNECTION_BYTES
        if (
            self.connections >= self.limits.connections
            or memory > self.limits.memory_bytes
        ):
            self.counts['connections_refused'] += 1
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        """Give a connection back."""
        self.connections -= 1

    def admit(
        self, account: str, size: int, ticket: str = ''
    ) -> Result[Permit, problems.Problem]:
        """Take a request, or refuse it before anything was done.

        Parameters
        ----------
        account : str
            Whose request it is; empty on open routes.
        size : int
            Bytes of its body.
        ticket : str
            The ticket that came with it; empty for none.
        """
        if not self._room(account, size):
            self.counts['shed'] += 1
            return Error(self._refusal(ticket))
        self.in_flight += 1
        self.bytes += size
        self._counts_by_account[account] += 1
        return Ok(Permit(self, account, size))

    def release(self, permit: Permit) -> None:
        """Take back what a permit held."""
        self.in_flight -= 1
        self.bytes -= permit.size
        self._counts_by_account[permit.account] -= 1
        if not self._counts_by_account[permit.account]:
            del self._counts_by_account[permit.account]

    def _room(self, account: str, size: int) -> bool:
        most = self.limits.in_flight * self.limits.account_fraction
        return (
            self.in_flight < self.limits.in_flight
            and self._counts_by_account[account] < most
            and self.fits(size + REQUEST_BYTES)
        )

    def _refusal(self, ticket: str) -> problems.Problem:
        # The spread keeps refused callers from coming back all at once.
        refused = problems.Problem(
            'overloaded',
            503,
            'no',
            'this daemon is at its limit',
            RETRY_SECONDS * (0.5 + self._rng.random()),
        )
        return problems.for_ticket(refused, ticket)
