"""Which upstream of a plain service gets a request.

Load it answers: some upstreams slow down or fail part of what they get
while they say that they are well. Answers are judged, never health: the
cost of an upstream is what it would take for its present work, plus one,
at the pace and the share of failures lately seen. None is left out for
good, since its cost decays towards that of the others.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from corianderspar.router import model

USUAL_SECONDS = 0.06  # of an upstream that was not measured yet
SMOOTHING = 0.15  # weight of the newest answer
FAILURE_SECONDS = 1.0  # cost of a failed answer, one more try and its wait
DECAY_SECONDS = 6.0  # in which a bad impression falls to a third
FAR_SECONDS = 0.004  # cost of another data centre
SUSPECT_SECONDS = 1.5  # an upstream that could not be reached rests


class _Seen(NamedTuple):
    seconds: float
    failures: float
    at: float
    running: int
    suspect_until: float


_NEW = _Seen(USUAL_SECONDS, 0.0, 0.0, 0, 0.0)


class UpstreamSelector:
    """Running counts and impressions by instance.

    Parameters
    ----------
    data_centre : str
        Where this daemon stands.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._seen_by_instance: dict[str, _Seen] = {}

    def choose(
        self,
        upstreams: Iterable[model.Upstream],
        excluded: Iterable[str],
        now: float,
    ) -> model.Upstream | None:
        """Return the upstream of the least cost, or None.

        Those that were unreachable lately are used only if there is no
        other.
        """
        left_out = set(excluded)
        return min(
            (u for u in upstreams if u.instance not in left_out),
            key=lambda u: (self._is_suspect(u, now), self._cost(u, now)),
            default=None,
        )

    def begin(self, upstream: model.Upstream) -> None:
        """Count a request that is sent."""
        seen = self._seen_by_instance.get(upstream.instance, _NEW)
        self._seen_by_instance[upstream.instance] = seen._replace(
            running=seen.running + 1
        )

    def end(
        self, upstream: model.Upstream, seconds: float, ok: bool, now: float
    ) -> None:
        """Take note of how a request ended."""
        seen = self._seen_by_instance.get(upstream.instance, _NEW)
        failures = self._failures(seen, now)
        failures += SMOOTHING * ((0.0 if ok else 1.0) - failures)
        pace = seen.seconds
        if ok:
            pace += SMOOTHING * (seconds - pace)
        self._seen_by_instance[upstream.instance] = _Seen(
            pace, failures, now, max(seen.running - 1, 0), seen.suspect_until
        )

    def mark_unreachable(self, upstream: model.Upstream, now: float) -> None:
        """Let an upstream rest that could not be reached."""
        seen = self._seen_by_instance.get(upstream.instance, _NEW)
        self._seen_by_instance[upstream.instance] = seen._replace(
            suspect_until=now + SUSPECT_SECONDS
        )

    def retain(self, instances: set[str]) -> None:
        """Forget all others."""
        for instance in list(self._seen_by_instance):
            if instance not in instances:
                del self._seen_by_instance[instance]

    def _is_suspect(self, upstream: model.Upstream, now: float) -> bool:
        seen = self._seen_by_instance.get(upstream.instance, _NEW)
        return seen.suspect_until > now

    def _failures(self, seen: _Seen, now: float) -> float:
        return seen.failures * math.exp(-(now - seen.at) / DECAY_SECONDS)

    def _cost(self, upstream: model.Upstream, now: float) -> float:
        seen = self._seen_by_instance.get(upstream.instance, _NEW)
        queue = seen.running // max(upstream.slots, 1)
        cost = seen.seconds * (1 + queue) + seen.running * 0.001
        cost += self._failures(seen, now) * FAILURE_SECONDS
        if upstream.data_centre != self._data_centre:
            cost += FAR_SECONDS
        return cost
