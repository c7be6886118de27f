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
    ) -> bool:
        """Note what an answer states; return whether the limit changed.

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
            return False
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

    def message(self, now: float) -> Message:
        """Return what a peer that does not know the same is told."""
        return Message(
            self.digest(),
            {
                instance: told
                for instance in self._statements_by_instance
                if (told := self.statement(instance, now)) is not None
            },
        )

    def merge(self, instance: str, told: StatementMessage, now: float) -> bool:
        """Add what a peer knows; return whether the limit changed."""
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
            return False
        return self._set(instance, statement)

    def _set(self, instance: str, statement: Statement) -> bool:
        known = self._statements_by_instance.pop(instance, None)
        self._statements_by_instance[instance] = statement
        if len(self._statements_by_instance) > MAX_STATEMENTS:
            del self._statements_by_instance[
                next(iter(self._statements_by_instance))
            ]
        is_changed = known is None or known[:2] != statement[:2]
        if is_changed:
            self._digest = None
        return is_changed
