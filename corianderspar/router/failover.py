"""Replacement of a run whose upstream has fallen silent.

Silence does not tell an upstream that has died from one that pauses, and a
run that is given up may be the only one that its caller can get. The run is
therefore followed until another upstream has taken the request over.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import types
from typing import Generic
from typing import Self
from typing import TypeVar

T = TypeVar('T')


class _ReplacedError(Exception):
    """Something arrived after a replacement had been found."""


class Failover(Generic[T]):
    """Interrupts a run once a replacement for it was found.

    It is an asynchronous context manager around the code that follows the
    run. That code reports when it begins to wait for its upstream and when
    something arrived. If it has waited for long, a search runs beside it,
    which is cancelled as soon as something arrives. A search that finds
    nothing is repeated if the silence goes on.

    Parameters
    ----------
    silence : float
        Seconds of waiting after which a search begins.
    search : callable
        Returns a replacement, or None if there is none. If it is cancelled,
        it has to clean up itself.
    discard : callable
        Called with a replacement that is not used, as the run ended by
        itself before it was interrupted.
    max_searches : int
        Searches for the run in all.

    Attributes
    ----------
    found : T or None
        The replacement, if the run was interrupted for one.
    """

    def __init__(
        self,
        silence: float,
        search: Callable[[], Awaitable[T | None]],
        discard: Callable[[T], None],
        max_searches: int,
    ) -> None:
        self.found: T | None = None
        self._silence = silence
        self._search = search
        self._discard = discard
        self._max_searches = max_searches
        self._searches = 0
        self._interruption = asyncio.timeout(None)
        self._waiting_since: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._search_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Begin to wait for the upstream."""
        await self._interruption.__aenter__()
        self.begin_wait()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool:
        """End the search; suppress the interruption for a replacement."""
        self._waiting_since = None
        if self._timer is not None:
            self._timer.cancel()
        if self._search_task is not None:
            self._search_task.cancel()
        is_interrupted = kind is _ReplacedError
        try:
            await self._interruption.__aexit__(kind, error, traceback)
        except TimeoutError:
            is_interrupted = True
        if not is_interrupted and self.found is not None:
            self._discard(self.found)
            self.found = None
        return is_interrupted

    def begin_wait(self) -> None:
        """Report that the run waits for its upstream from now on."""
        loop = asyncio.get_running_loop()
        self._waiting_since = loop.time()
        if self._timer is None:
            self._timer = loop.call_later(self._silence, self._check)

    def check(self) -> None:
        """End the block if a replacement was found.

        The replacement goes on after what had arrived by then, so what
        arrives later is not to be passed on.
        """
        if self.found is not None:
            raise _ReplacedError

    def end_wait(self) -> None:
        """Report that what the run waits for has arrived."""
        self.check()
        self._waiting_since = None
        if self._search_task is not None:
            self._search_task.cancel()
            self._search_task = None

    async def finish(self) -> None:
        """Wait for a search that is under way, as the run has failed.

        Ends the block if it finds a replacement.
        """
        if self._search_task is not None:
            await asyncio.wait((self._search_task,))
        self.check()

    def _check(self) -> None:
        # The timer is not moved at each event, as there are many of them.
        self._timer = None
        if (
            self._waiting_since is None
            or self._search_task is not None
            or self._searches >= self._max_searches
        ):
            return
        loop = asyncio.get_running_loop()
        due = self._waiting_since + self._silence
        if loop.time() < due:
            self._timer = loop.call_at(due, self._check)
            return
        self._searches += 1
        self._search_task = asyncio.create_task(self._run_search())

    async def _run_search(self) -> None:
        found: T | None = None
        try:
            found = await self._search()
        finally:
            # Else something has arrived, and the search was cancelled.
            if self._search_task is asyncio.current_task():
                self._search_task = None
                self._conclude(found)

    def _conclude(self, found: T | None) -> None:
        loop = asyncio.get_running_loop()
        if found is not None:
            self.found = found
            self._interruption.reschedule(loop.time())
        elif self._waiting_since is not None:
            self.begin_wait()
