"""Slow start of upstreams that are new or have come back.

An upstream that has just started may be slow at first, and fail under full
load. It gets a window: the requests that may be in flight there. The window
grows with each answer in the usual time and shrinks with slow answers,
refusals and failures. Answers arrive sooner from an upstream that is quick, so
that it sets the pace itself. Windows are hints and may be lost.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

from corianderspar.router import model

INITIAL_WINDOW = 2.0
MIN_WINDOW = 1.0  # an upstream without requests would never be known better
GROWTH = 1.0  # with each answer: the window doubles in the time of an answer
SLOW_SHARE = 0.7  # of a window that is left after a slow answer
REFUSED_SHARE = 0.5
SLOW_FACTOR = 2.0  # times the usual time
# Of slow answers, against the average of the upstream itself.
WORSE_FACTOR = 1.25
BETTER_FACTOR = 1.05
WINDOW_SMOOTHING = 0.3  # weight of the newest answer in that average
USUAL_SMOOTHING = 0.02  # weight of the newest answer
# Answers in the usual time, one after another, after which a window has no
# effect. It has grown by as many requests until then.
OPEN_ANSWERS = 20
# From the begin of a window until the upstream is chosen by what is known of
# it, as it may be slow for good.
MAX_SECONDS = 30.0
# For which a service is in use until an upstream that registers is new. The
# upstreams of a fleet that starts register within a few seconds.
ESTABLISHED_SECONDS = 5.0
# For which an upstream that is not in use is still known: the store may come
# back without it.
REMEMBER_SECONDS = 60.0


class _Window(NamedTuple):
    """The window of one process.

    Attributes
    ----------
    size : float
        Requests in flight.
    usual_answers : int
        Answers in the usual time since the last other one.
    began_at : float
        Monotonic seconds.
    is_new : bool
        Whether the upstream is new; if not, it has come back.
    log_seconds : float or None
        Moving average of the logarithm of its response time.
    """

    size: float
    usual_answers: int
    began_at: float
    is_new: bool
    log_seconds: float | None = None


class _Known(NamedTuple):
    """A process that was in use, and when it was last."""

    started_ms: int
    seen_at: float


class PaceWindows:
    """Windows of upstreams; times are monotonic seconds.

    Parameters
    ----------
    log : callable
        Called with the name and the fields of each event.
    is_enabled : bool
        Whether upstreams get windows.
    """

    def __init__(
        self, log: Callable[..., object], is_enabled: bool = True
    ) -> None:
        self._log = log
        self._is_enabled = is_enabled
        self._windows_by_process: dict[tuple[str, int], _Window] = {}
        self._known_by_instance: dict[str, _Known] = {}
        self._used_since_by_service: dict[str, float] = {}
        self._log_usual_by_kind: dict[tuple[str, model.Phase], float] = {}

    @property
    def instances(self) -> frozenset[str]:
        """The instances of processes that have a window."""
        return frozenset(instance for instance, _ in self._windows_by_process)

    def limit(self, upstream: model.Upstream, now: float) -> float | None:
        """Return the requests that may be in flight; None for no window."""
        window = self._windows_by_process.get(_process(upstream))
        if window is None:
            return None
        if now - window.began_at > MAX_SECONDS:
            self._open(upstream, window, now)
            return None
        return window.size

    def with_room(
        self,
        candidates: list[model.Upstream],
        in_flight: Callable[[str], int],
        now: float,
    ) -> list[model.Upstream]:
        """Return the upstreams that may get one more request.

        If all have windows, and these are full, there is no other way to
        serve the request, so it returns all.

        Parameters
        ----------
        candidates : list of Upstream
            To choose from.
        in_flight : callable
            Returns the requests in flight at an instance.
        now : float
            The present time.
        """
        if not self._windows_by_process:
            return candidates
        found = []
        is_any_open = False
        for upstream in candidates:
            limit = self.limit(upstream, now)
            is_any_open = is_any_open or limit is None
            if limit is None or in_flight(upstream.instance) + 1 <= limit:
                found.append(upstream)
        return found if found or is_any_open else candidates

    def note_upstreams(
        self, upstreams: Iterable[model.Upstream], now: float
    ) -> None:
        """Begin cautiously with upstreams that are new.

        An upstream is new if its service has been in use for some time. At
        the first start of a fleet none is.
        """
        for upstream in upstreams:
            instance = upstream.instance
            known = self._known_by_instance.get(instance)
            self._known_by_instance[instance] = _Known(
                upstream.started_ms, now
            )
            used_since = self._used_since_by_service.get(upstream.service, now)
            is_known = (
                known is not None and known.started_ms == upstream.started_ms
            )
            if not is_known and now - used_since >= ESTABLISHED_SECONDS:
                self._begin(upstream, now, is_new=True)
        for instance, known in list(self._known_by_instance.items()):
            if known.seen_at < now - REMEMBER_SECONDS:
                del self._known_by_instance[instance]

    def begin_cautiously(self, upstream: model.Upstream, now: float) -> None:
        """Give an upstream a window, as it is new or has come back."""
        self._begin(upstream, now, is_new=False)

    def lift(self, upstream: model.Upstream) -> None:
        """Drop the window of an upstream that was suspected wrongly."""
        window = self._windows_by_process.get(_process(upstream))
        if window is not None and not window.is_new:
            del self._windows_by_process[_process(upstream)]

    def record_answer(
        self, upstream: model.Upstream, seconds: float, now: float
    ) -> None:
        """Record an answer.

        Parameters
        ----------
        upstream : Upstream
            Whose answer it is.
        seconds : float
            Its response time, or any other measure of it that is the same
            for all upstreams of the service and phase.
        now : float
            The present time.
        """
        self._used_since_by_service.setdefault(upstream.service, now)
        kind = upstream.service, upstream.phase
        log_seconds = math.log(max(seconds, 1e-6))
        usual = self._log_usual_by_kind.get(kind)
        window = self._windows_by_process.get(_process(upstream))
        if window is None:
            if usual is None:
                usual = log_seconds
            usual += USUAL_SMOOTHING * (log_seconds - usual)
            self._log_usual_by_kind[kind] = usual
            return
        average = window.log_seconds
        if average is None:
            average = log_seconds
        change = log_seconds - average
        window = window._replace(
            log_seconds=average + WINDOW_SMOOTHING * change
        )
        self._windows_by_process[_process(upstream)] = window
        if usual is not None and log_seconds > usual + math.log(SLOW_FACTOR):
            # It may warm up. It is loaded too much if it becomes slower.
            if change > math.log(WORSE_FACTOR):
                self._shrink(upstream, SLOW_SHARE)
            elif change < -math.log(BETTER_FACTOR):
                self._windows_by_process[_process(upstream)] = window._replace(
                    size=window.size + GROWTH, usual_answers=0
                )
            return
        size = window.size + GROWTH
        usual_answers = window.usual_answers + 1
        if usual_answers >= OPEN_ANSWERS:
            self._open(upstream, window, now)
            return
        self._windows_by_process[_process(upstream)] = window._replace(
            size=size, usual_answers=usual_answers
        )

    def record_refusal(self, upstream: model.Upstream, now: float) -> None:
        """Record that an upstream refused a request."""
        del now
        self._shrink(upstream, REFUSED_SHARE)

    def record_failure(self, upstream: model.Upstream, now: float) -> None:
        """Record that an upstream failed a request."""
        del now
        self._shrink(upstream, 0.0)

    def retain(self, instances: set[str]) -> None:
        """Drop the windows of all other instances."""
        for process in list(self._windows_by_process):
            if process[0] not in instances:
                del self._windows_by_process[process]

    def _begin(
        self, upstream: model.Upstream, now: float, *, is_new: bool
    ) -> None:
        if not self._is_enabled:
            return
        known = self._windows_by_process.get(_process(upstream))
        self._windows_by_process[_process(upstream)] = _Window(
            INITIAL_WINDOW,
            0,
            now,
            is_new or (known is not None and known.is_new),
        )
        if known is None:
            self._log(
                'pace.cautious',
                instance=upstream.instance,
                service=upstream.service,
                why='new' if is_new else 'back',
                window=INITIAL_WINDOW,
            )

    def _open(
        self, upstream: model.Upstream, window: _Window, now: float
    ) -> None:
        del self._windows_by_process[_process(upstream)]
        self._log(
            'pace.open',
            instance=upstream.instance,
            window=f'{window.size:.1f}',
            seconds=f'{now - window.began_at:.1f}',
            usual_answers=window.usual_answers,
        )

    def _shrink(self, upstream: model.Upstream, share: float) -> None:
        window = self._windows_by_process.get(_process(upstream))
        if window is not None:
            self._windows_by_process[_process(upstream)] = window._replace(
                size=max(window.size * share, MIN_WINDOW), usual_answers=0
            )


def _process(upstream: model.Upstream) -> tuple[str, int]:
    return upstream.instance, upstream.started_ms
