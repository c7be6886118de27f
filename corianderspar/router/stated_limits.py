"""Rates of requests that upstreams state in their answers.

An upstream in need states in each of its answers how many requests per second
it accepts from all daemons together. A limit ends with an answer that states
none, and with the process. Daemons tell each other the newest statement of
each process that ever stated a limit; the newest one holds.

Times are in monotonic seconds of this daemon. They are exchanged as ages.
"""

import math
from typing import NamedTuple

import xxhash

from corianderspar.router import model

MAX_STATEMENTS = 256  # those stated least lately are dropped
MAX_TOLD_STATEMENTS = 32  # in one message: about 1.3 KB
AGE_UNIT_SECONDS = 0.1  # ages are sent as whole multiples of it


class Statement(NamedTuple):
    """What a process stated last.

    Attributes
    ----------
    started_ms : int
        Tells apart processes of the same instance, as in `model.Upstream`.
    rate : float or None
        Requests per second; None since it states no limit any more.
    at : float
        When the answer arrived at a daemon.
    """

    started_ms: int
    rate: float | None
    at: float


class Change(NamedTuple):
    """A change of a limit, in requests/s; None stands for no limit."""

    before: float | None
    after: float | None

    @property
    def is_lifted(self) -> bool:
        """Whether more requests are accepted than before."""
        return self.before is not None and (
            self.after is None or self.after > self.before
        )

    @property
    def begins_or_ends(self) -> bool:
        """Whether a limit begins or ends."""
        return (self.before is None) != (self.after is None)


class StatementMessage(NamedTuple):
    """A statement in a message between daemons.

    Attributes
    ----------
    started_ms : int
        As in `Statement`.
    rate : float or None
        As in `Statement`.
    age : int
        Time since the answer arrived, in units of `AGE_UNIT_SECONDS`.
    """

    started_ms: int
    rate: float | None
    age: int


class Message(NamedTuple):
    """What a daemon tells a peer.

    Attributes
    ----------
    digest : int
        Equal for daemons that know the same limits.
    statements_by_instance : dict of str to StatementMessage
        The newest statement of each process; empty for a peer that knows
        them.
    """

    digest: int
    statements_by_instance: dict[str, StatementMessage] = {}


class StatedLimits:
    """The newest statements, by instance."""

    def __init__(self) -> None:
        self._statements_by_instance: dict[str, Statement] = {}
        self._digest: int | None = None

    def record(
        self, upstream: model.Upstream, rate: float | None, now: float
    ) -> Change | None:
        """Note what an answer states; return the change of the limit, if any.

        Parameters
        ----------
        upstream : Upstream
            Whose answer it is.
        rate : float or None
            Requests per second; None if it states no limit.
        now : float
            Monotonic seconds.
        """
        if rate is None and self.rate(upstream) is None:
            return None
        return self._set(
            upstream.instance, Statement(upstream.started_ms, rate, now)
        )

    def rate(self, upstream: model.Upstream) -> float | None:
        """Return the limit of an upstream in requests/s; None for none."""
        known = self._statements_by_instance.get(upstream.instance)
        if known is None or known.started_ms != upstream.started_ms:
            return None
        return known.rate

    def retain(self, instances: set[str]) -> None:
        """Drop the statements of all other instances."""
        for instance in self._statements_by_instance.keys() - instances:
            del self._statements_by_instance[instance]
            self._digest = None

    def digest(self) -> int:
        """Return a number that is equal for daemons that know the same."""
        if self._digest is None:
            content = sorted(
                (instance, known.started_ms, known.rate)
                for instance, known in self._statements_by_instance.items()
                if known.rate is not None
            )
            self._digest = xxhash.xxh64_intdigest(repr(content).encode())
        return self._digest

    def statement(self, instance: str, now: float) -> StatementMessage | None:
        """Return what is known of an instance, to tell it to a peer."""
        known = self._statements_by_instance.get(instance)
        if known is None:
            return None
        # Rounded up, so that a statement does not become newer on its way.
        age = math.ceil((now - known.at) / AGE_UNIT_SECONDS)
        return StatementMessage(known.started_ms, known.rate, age)

    def message(self, now: float, known_digest: int | None) -> Message | None:
        """Return what a peer is told; None if there is nothing to tell.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        known_digest : int or None
            The digest that the peer told last.
        """
        if not self._statements_by_instance:
            return None
        if known_digest == self.digest():
            return Message(known_digest)
        newest = list(self._statements_by_instance)[-MAX_TOLD_STATEMENTS:]
        return Message(
            self.digest(),
            {
                instance: told
                for instance in newest
                if (told := self.statement(instance, now)) is not None
            },
        )

    def merge(
        self, instance: str, told: StatementMessage, now: float
    ) -> Change | None:
        """Add what a peer knows; return the change of the limit, if any."""
        statement = Statement(
            told.started_ms, told.rate, now - told.age * AGE_UNIT_SECONDS
        )
        known = self._statements_by_instance.get(instance)
        if known is not None and (
            known.started_ms > statement.started_ms
            or (
                known.started_ms == statement.started_ms
                and known.at >= statement.at
            )
        ):
            return None
        return self._set(instance, statement)

    def _set(self, instance: str, statement: Statement) -> Change | None:
        known = self._statements_by_instance.pop(instance, None)
        self._statements_by_instance[instance] = statement
        if len(self._statements_by_instance) > MAX_STATEMENTS:
            del self._statements_by_instance[
                next(iter(self._statements_by_instance))
            ]
        before = None
        if known is not None and known.started_ms == statement.started_ms:
            before = known.rate
            if before == statement.rate:
                return None
        self._digest = None
        return Change(before, statement.rate)
