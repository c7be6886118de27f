"""Finds tasks that hang.

A task that an application depends on may await something that never comes.
It reports its progress, and is cancelled once it is silent for too long.

Silence is measured in the time in which the process runs. All watched tasks
check each other when they report, so a gap between two checks that is longer
than `MAX_GAP_SECONDS` is one in which none of them ran: the process was
stopped, or its VM suspended.
"""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from corianderspar import clock as clocks

MAX_GAP_SECONDS = 1.0


class _Watched(NamedTuple):
    """A task.

    Attributes
    ----------
    max_silence : float
        Seconds.
    reported_at : float
        Seconds in which the process ran, at the last report.
    is_silent : bool
        Whether it has not reported since it was found silent.
    is_cancelled : bool
        Whether it was cancelled for that.
    """

    max_silence: float
    reported_at: float
    is_silent: bool = False
    is_cancelled: bool = False


class Watchdog:
    """Cancels tasks that are silent.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_silent : callable
        Called with a task, before it is cancelled, and the seconds for which
        it was silent.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        on_silent: Callable[[asyncio.Task[Any], float], None],
    ) -> None:
        self._clock = clock
        self._on_silent = on_silent
        self._watched_by_task: dict[asyncio.Task[Any], _Watched] = {}
        self._ran_seconds = 0.0
        self._checked_at: float | None = None

    def watch(self, task: asyncio.Task[Any], max_silence: float) -> None:
        """Watch a task; it may be silent for ``max_silence`` seconds."""
        self._watched_by_task[task] = _Watched(max_silence, self._ran_seconds)
        task.add_done_callback(
            lambda done: self._watched_by_task.pop(done, None)
        )

    def report(self) -> None:
        """Record that the current task makes progress; check the others."""
        task = asyncio.current_task()
        watched = self._watched_by_task.get(task) if task else None
        if task is None or watched is None:
            return
        if watched.is_cancelled:
            task.uncancel()  # it went on all the same
        self._watched_by_task[task] = _Watched(
            watched.max_silence, self._ran_seconds
        )
        self.check()

    def end_run(self) -> bool:
        """Begin the silence of the current task anew, as its run has ended.

        Returns
        -------
        bool
            Whether the run was cancelled by the watchdog.
        """
        task = asyncio.current_task()
        watched = self._watched_by_task.get(task) if task else None
        if task is None or watched is None:
            return False
        if watched.is_cancelled:
            task.uncancel()
        self._watched_by_task[task] = watched._replace(
            reported_at=self._ran_seconds, is_cancelled=False
        )
        return watched.is_cancelled

    def check(self) -> None:
        """Cancel the tasks that are silent for too long."""
        now = self._clock.monotonic()
        if self._checked_at is not None:
            self._ran_seconds += min(now - self._checked_at, MAX_GAP_SECONDS)
        self._checked_at = now
        for task, watched in list(self._watched_by_task.items()):
            silence = self._ran_seconds - watched.reported_at
            if silence <= watched.max_silence:
                continue
            self._on_silent(task, silence)
            if not watched.is_cancelled:
                task.cancel()
            else:
                # It did not end upon the first cancellation.
                task.uncancel()
                task.cancel()
            self._watched_by_task[task] = _Watched(
                watched.max_silence, self._ran_seconds, True, True
            )

    @property
    def has_silent(self) -> bool:
        """Whether a task was found silent and has not reported since."""
        return any(w.is_silent for w in self._watched_by_task.values())
