"""Upstreams that fail again and again get less work for a while."""

from typing import NamedTuple

from corianderspar import clock as clocks

FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
PROBE_SECONDS = 2.0
PROBE_ONLY_SECONDS = 30.0


class _Health(NamedTuple):
    """What is known of an upstream that failed lately.

    Attributes
    ----------
    failures : int
        In a row since the last success or ejection.
    ejections : int
        In a row since the last success.
    until : float
        When the ejection ends, monotonic seconds.
    probe_until : float
        While a probe may be under way, no second one starts.
    """

    failures: int = 0
    ejections: int = 0
    until: float = float('-inf')
    probe_until: float = float('-inf')


class OutlierDetector:
    """Ejects upstreams after failures in a row; never half of a pool.

    An ejection doubles with each one that follows without a success. When
    it ends, one idempotent request at a time probes the upstream; a
    success readmits it in full.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._health_by_name: dict[str, _Health] = {}

    def record(self, name: str, succeeded: bool) -> None:
        """Take note of how an attempt ended."""
        if succeeded:
            self._health_by_name.pop(name, None)
            return
        health = self._health_by_name.get(name, _Health())
        failures = health.failures + 1
        if failures < FAILURES_TO_EJECT and not health.ejections:
            self._health_by_name[name] = health._replace(failures=failures)
            return
        lasts = min(
            EJECTION_SECONDS * 2**health.ejections, MAX_EJECTION_SECONDS
        )
        self._health_by_name[name] = _Health(
            0, min(health.ejections + 1, 10), self._clock.monotonic() + lasts
        )

    def forget(self, names: list[str]) -> None:
        """Drop upstreams that are no longer catalogued."""
        for name in names:
            self._health_by_name.pop(name, None)

    def is_ejected(self, name: str, repeatable: bool) -> bool:
        """Return whether a request should avoid an upstream."""
        health = self._health_by_name.get(name)
        if health is None or not health.ejections:
            return False
        now = self._clock.monotonic()
        if now < health.until:
            return True
        if not repeatable:
            return now < health.until + PROBE_ONLY_SECONDS
        return now < health.probe_until

    def usable(self, names: list[str], repeatable: bool) -> list[str]:
        """Return the upstreams of a pool that may get a request.

        Parameters
        ----------
        names : list of str
            The pool's upstreams that are not leaving.
        repeatable : bool
            Whether the request is idempotent and so may be a probe.

        Returns
        -------
        list of str
            At least half of them, in the same order: if more are ejected,
            those whose ejection ends first stay.
        """
        kept = [
            name for name in names if not self.is_ejected(name, repeatable)
        ]
        least = (len(names) + 1) // 2
        if len(kept) >= least:
            return kept
        out = [name for name in names if name not in kept]
        out.sort(key=lambda name: self._health_by_name[name].until)
        readmitted = out[: least - len(kept)]
        return [name for name in names if name in kept or name in readmitted]

    def begin(self, name: str) -> None:
        """Take note that a request goes to an upstream now."""
        health = self._health_by_name.get(name)
        if health is not None and health.ejections:
            self._health_by_name[name] = health._replace(
                probe_until=self._clock.monotonic() + PROBE_SECONDS
            )
