"""Upstreams that want no requests from this daemon for some time.

An upstream that refuses a request may state for how long it wants no more of
them. That binds only this daemon, and only for the process that stated it: a
later one with the same instance knows nothing of it.
"""

import math
from typing import NamedTuple

from corianderspar.router import model

# Longer times are taken as this one, so that a wrong value can't take an
# upstream away for good.
MAX_PAUSE_SECONDS = 3600.0


class _Pause(NamedTuple):
    """A pause of one process, as in `model.Upstream`."""

    started_ms: int
    ends_at: float


class UpstreamPauses:
    """Pauses by instance; times are monotonic seconds."""

    def __init__(self) -> None:
        self._pauses_by_instance: dict[str, _Pause] = {}

    def add(
        self, upstream: model.Upstream, seconds: float, now: float
    ) -> float:
        """Record a pause; return the time in seconds that is kept.

        A pause that ends before a known one changes nothing. A negative time
        counts as 0, and one that is no number as `MAX_PAUSE_SECONDS`.
        """
        if math.isnan(seconds):
            seconds = MAX_PAUSE_SECONDS
        seconds = min(max(seconds, 0.0), MAX_PAUSE_SECONDS)
        ends_at = max(now + seconds, self.ends_at(upstream))
        self._pauses_by_instance[upstream.instance] = _Pause(
            upstream.started_ms, ends_at
        )
        return ends_at - now

    def ends_at(self, upstream: model.Upstream) -> float:
        """Return when the pause of an upstream ends; -inf for none."""
        pause = self._pauses_by_instance.get(upstream.instance)
        if pause is None or pause.started_ms != upstream.started_ms:
            return float('-inf')
        return pause.ends_at

    def is_paused(self, upstream: model.Upstream, now: float) -> bool:
        """Return whether an upstream wants no request now."""
        return self.ends_at(upstream) > now

    def drop_ended(self, now: float) -> None:
        """Forget pauses that have ended."""
        self._pauses_by_instance = {
            instance: pause
            for instance, pause in self._pauses_by_instance.items()
            if pause.ends_at > now
        }
