"""Counts that keep cold engines within the rate that they can handle.

A cold engine may get a number of requests in any one second, from all daemons
together. The home of its service counts what it grants. There may be two homes
at once, and a home that has just taken over does not know what the one before
it granted, so each grants at most half of that number.

A grant is used some time after it was made: the prompt is prefilled in
between, and the daemon that got it may be delayed. A grant is good for
`grant_seconds`. The requests that are sent in one second were therefore
granted in `count_seconds`, which is the time over which grants are counted.
"""

import collections
from typing import NamedTuple

from corianderspar.router import model

# For which a grant of a decode engine is good. Most prompts are prefilled
# within it. With 1 s, an engine would get a quarter fewer requests.
DECODE_GRANT_SECONDS = 0.5
# The same for other engines, for the home's reply to arrive.
GRANT_SECONDS = 0.15
# After which a request to an engine of a service with a cold state is checked
# although the engine was not cold: this daemon may have been frozen.
UNCOUNTED_GRANT_SECONDS = 1.0
# Shorter than the silence after which a daemon that was frozen is replaced as
# home, which is 1.2 s.
MAX_GAP_SECONDS = 1.0
# For heartbeats of all peers to arrive, which are sent every 0.4 s.
SETTLE_SECONDS = 1.0
# After an evacuation. Engines that turned cold before its end register that
# within 1.2 s, and the store is followed with a delay.
RETURN_SECONDS = 2.5
# Partitions of regions last for minutes.
SIZE_SECONDS = 1800.0
MAX_STATED_SECONDS = 60.0  # bounds a wrong value in an answer


def grant_seconds(phase: model.Phase) -> float:
    """Return for how long a grant of a cold engine is good."""
    if phase is model.Phase.DECODE:
        return DECODE_GRANT_SECONDS
    return GRANT_SECONDS


def count_seconds(phase: model.Phase) -> float:
    """Return for how long a grant counts."""
    return 1.0 + grant_seconds(phase)


class ColdBound(NamedTuple):
    """The requests that a cold engine may get in any one second.

    Attributes
    ----------
    excess : float
        Multiple of the rate that the engine can handle.
    slack : float
        Requests beyond that.
    """

    excess: float = 1.0
    slack: float = 0.0

    def home_limit(self, per_second: float, heard_share: float) -> int:
        """Return the grants that one home may make in `count_seconds`.

        Parameters
        ----------
        per_second : float
            Requests per second that the engine can handle.
        heard_share : float
            Share of the fleet that the home hears. The sides of a network
            partition share out the half of one home.
        """
        allowed = int(per_second * self.excess + self.slack)
        return int(allowed // 2 * heard_share)


class SlidingCounts:
    """Grants that still count, by instance."""

    def __init__(self) -> None:
        self._times_by_instance: dict[str, collections.deque[float]] = {}

    def count(self, upstream: model.Upstream, now: float) -> int:
        """Return the grants that still count."""
        times = self._times_by_instance.get(upstream.instance)
        if times is None:
            return 0
        since = now - count_seconds(upstream.phase)
        while times and times[0] <= since:
            times.popleft()
        return len(times)

    def add(self, upstream: model.Upstream, now: float) -> None:
        """Count a grant."""
        self.count(upstream, now)
        self._times_by_instance.setdefault(
            upstream.instance, collections.deque()
        ).append(now)

    def retain(self, instances: set[str]) -> None:
        """Drop the counts of all other instances."""
        for instance in self._times_by_instance.keys() - instances:
            del self._times_by_instance[instance]


class FleetSize:
    """The largest size of the fleet in the last `SIZE_SECONDS` or more.

    Members that are silent for a minute are forgotten, while a partition may
    last for many.
    """

    def __init__(self) -> None:
        self._began_at = float('-inf')
        self._peak = 0
        self._peak_before = 0

    def note(self, size: int, now: float) -> int:
        """Record the present size; return the largest."""
        if now - self._began_at >= SIZE_SECONDS:
            self._began_at = now
            self._peak_before = self._peak
            self._peak = 0
        self._peak = max(self._peak, size)
        return max(self._peak, self._peak_before)


class Continuity:
    """Whether this daemon has run without a break for some time.

    One that starts, or that was frozen, may take itself for the home of a
    service that has another one.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        self._seen_at = now

    def note(self, now: float) -> float:
        """Record that the daemon runs; return the break in seconds, if any."""
        gap = now - self._seen_at
        self._seen_at = now
        if gap <= MAX_GAP_SECONDS:
            return 0.0
        self._since = now
        return gap

    def is_settled(self, now: float) -> bool:
        """Return whether the daemon knows which others are alive."""
        self.note(now)
        return now - self._since >= SETTLE_SECONDS


class _Stated(NamedTuple):
    """A cold state that an answer stated."""

    started_ms: int
    until: float


class ColdStates:
    """Cold states that are known otherwise than by registrations.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._stated_by_instance: dict[str, _Stated] = {}
        self._returned_until_by_data_centre: dict[str, float] = {}
        self._evacuated: frozenset[str] = frozenset()

    def note(
        self, upstream: model.Upstream, seconds: float, now: float
    ) -> bool:
        """Record what an answer stated; return whether it was not known."""
        seconds = min(seconds, MAX_STATED_SECONDS)
        if seconds <= self.left(upstream, now):
            return False
        is_new = self.left(upstream, now) == 0.0
        self._stated_by_instance[upstream.instance] = _Stated(
            upstream.started_ms, now + seconds
        )
        return is_new

    def note_evacuated(self, data_centres: frozenset[str], now: float) -> None:
        """Record which data centres are evacuated."""
        for data_centre in self._evacuated - data_centres:
            self._returned_until_by_data_centre[data_centre] = (
                now + RETURN_SECONDS
            )
        self._evacuated = data_centres

    def left(self, upstream: model.Upstream, now: float) -> float:
        """Return the seconds for which an upstream counts as cold."""
        until = self._returned_until_by_data_centre.get(
            upstream.data_centre, now
        )
        stated = self._stated_by_instance.get(upstream.instance)
        if stated is not None and stated.started_ms == upstream.started_ms:
            until = max(until, stated.until)
        return max(until - now, 0.0)

    def retain(self, instances: set[str]) -> None:
        """Drop what other instances stated."""
        for instance in self._stated_by_instance.keys() - instances:
            del self._stated_by_instance[instance]
