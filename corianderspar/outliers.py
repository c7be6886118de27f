"""Outlier ejection: fewer requests to upstreams that fail in a row."""

from typing import NamedTuple

from corianderspar import clock as clocks

FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
PROBE_SECONDS = 2.0  # between the starts of two probes
# After an ejection only idempotent requests are sent at first, as probes. A
# pool without idempotent requests is used again after this time.
PROBE_ONLY_SECONDS = 30.0


class _Health(NamedTuple):
    """State of an upstream that failed since its last success.

    Attributes
    ----------
    failures : int
        In a row, since the last success or ejection.
    ejections : int
        In a row, since the last success.
    ejected_until : float
        End of the ejection, monotonic seconds.
    probe_until : float
        Monotonic seconds until which no further probe is sent, since one
        may be in flight.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = float('-inf')
    probe_until: float = float('-inf')


class OutlierDetector:
    """Ejects upstreams after failures in a row, at most half of a pool.

    The duration of an ejection doubles with each further ejection without
    a success in between. After it, idempotent requests are sent one at a
    time as probes; the first success readmits the upstream for all requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._health_by_name: dict[str, _Health] = {}

    def record(self, name: str, succeeded: bool) -> None:
        """Record the result of an attempt."""
        if succeeded:
            self._health_by_name.pop(name, None)
            return
        health = self._health_by_name.get(name, _Health())
        failures = health.failures + 1
        if failures < FAILURES_TO_EJECT and not health.ejections:
            self._health_by_name[name] = health._replace(failures=failures)
            return
        duration = min(
            EJECTION_SECONDS * 2**health.ejections, MAX_EJECTION_SECONDS
        )
        self._health_by_name[name] = _Health(
            0,
            min(health.ejections + 1, 10),
            self._clock.monotonic() + duration,
        )

    def forget(self, names: list[str]) -> None:
        """Drop the state of upstreams that left the catalogue."""
        for name in names:
            self._health_by_name.pop(name, None)

    def is_ejected(self, name: str, repeatable: bool) -> bool:
        """Return whether a request should avoid an upstream.

        Parameters
        ----------
        name : str
            The upstream.
        repeatable : bool
            Whether the request is idempotent and thus may be a probe.
        """
        health = self._health_by_name.get(name)
        if health is None or not health.ejections:
            return False
        now = self._clock.monotonic()
        if now < health.ejected_until:
            return True
        if not repeatable:
            return now < health.ejected_until + PROBE_ONLY_SECONDS
        return now < health.probe_until

    def usable(self, names: list[str], repeatable: bool) -> list[str]:
        """Return the upstreams that may get a request.

        Parameters
        ----------
        names : list of str
            Upstreams of one pool that are not leaving.
        repeatable : bool
            Whether the request is idempotent and thus may be a probe.

        Returns
        -------
        list of str
            At least half of `names`, in the same order. If more are ejected,
            those whose ejection ends first are included.
        """
        kept = [
            name for name in names if not self.is_ejected(name, repeatable)
        ]
        min_count = (len(names) + 1) // 2
        if len(kept) >= min_count:
            return kept
        ejected = [name for name in names if name not in kept]
        ejected.sort(key=lambda name: self._health_by_name[name].ejected_until)
        readmitted = ejected[: min_count - len(kept)]
        return [name for name in names if name in kept or name in readmitted]

    def begin(self, name: str) -> None:
        """Record that a request is being sent to an upstream."""
        health = self._health_by_name.get(name)
        if health is not None and health.ejections:
            self._health_by_name[name] = health._replace(
                probe_until=self._clock.monotonic() + PROBE_SECONDS
            )
