"""Clock interface, with a system clock and a virtual one for tests."""

import asyncio
from collections.abc import Coroutine
import selectors
import time
from typing import Any
from typing import Protocol
from typing import TypeVar

T = TypeVar('T')


class Clock(Protocol):
    """Source of time for everything that depends on time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes backwards."""
        ...

    def wall(self) -> float:
        """Return seconds since the epoch, UTC; the value may jump."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Return after at least ``seconds`` on the monotonic clock."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch, UTC."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(seconds)


class _VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll; if nothing is ready, advance the clock by ``timeout``."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError('deadlock: no timer is scheduled')
        self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time.

    Timers fire in order and without waiting, so a test of an hour takes
    milliseconds and gives the same result on every run.
    """

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return virtual seconds since the loop was created."""
        return self._time_selector.now


class VirtualClock:
    """Clock of one VM on a `VirtualLoop`; it can be paused.

    While it is paused, calls of `sleep` do not return, like those of a
    stopped process.

    Parameters
    ----------
    epoch : float
        Wall clock time at virtual time zero, seconds since the epoch.
    """

    def __init__(self, epoch: float = 1_800_000_000.0) -> None:
        self._epoch = epoch
        self._running = asyncio.Event()
        self._running.set()

    def monotonic(self) -> float:
        """Return virtual seconds; they also pass during a pause."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return virtual seconds since the epoch, UTC."""
        return self._epoch + self.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Sleep in virtual time, then until the VM is not paused."""
        await asyncio.sleep(seconds)
        await self.wait_running()

    async def wait_running(self) -> None:
        """Wait until the VM is not paused."""
        await self._running.wait()

    @property
    def is_paused(self) -> bool:
        """Whether the VM is paused."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Pause the VM: its sleeps and receives do not return."""
        self._running.clear()

    def resume(self) -> None:
        """End the pause of the VM."""
        self._running.set()


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion on a new `VirtualLoop`.

    Examples
    --------
    >>> async def sleep_an_hour():
    ...     clock = VirtualClock()
    ...     await clock.sleep(3600)
    ...     return clock.monotonic()
    >>> run_virtual(sleep_an_hour())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
