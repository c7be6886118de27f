"""Time behind a seam: the system's clock and a clock for tests."""

import asyncio
from collections.abc import Coroutine
import selectors
import time
from typing import Any
from typing import Protocol
from typing import TypeVar

T = TypeVar('T')


class Clock(Protocol):
    """What every decision that depends on time may ask for."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        ...

    def wall(self) -> float:
        """Return seconds since the epoch, UTC; may jump."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Return after at least ``seconds`` on the monotonic clock."""
        ...


class SystemClock:
    """The operating system's clock; it counts suspended time."""

    def monotonic(self) -> float:
        """Return seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch, UTC."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(seconds)


class _JumpSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """A selector that moves a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll; with nothing ready, jump ahead by ``timeout``."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError('deadlock: no task can ever run again')
        self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time.

    Timers fire in order, with no waiting, so a test that covers an hour
    takes milliseconds and gives the same verdict on every run.
    """

    def __init__(self) -> None:
        self._jump = _JumpSelector()
        super().__init__(self._jump)

    def time(self) -> float:
        """Return virtual seconds since the loop was made."""
        return self._jump.now


class VirtualClock:
    """The clock of one VM on a `VirtualLoop`; it can be paused.

    A paused VM's sleeps don't return before `resume`, as those of a
    stopped process would not.

    Parameters
    ----------
    epoch : float
        Wall clock at virtual time zero, seconds since the epoch.
    """

    def __init__(self, epoch: float = 1_800_000_000.0) -> None:
        self._epoch = epoch
        self._running = asyncio.Event()
        self._running.set()

    def monotonic(self) -> float:
        """Return virtual seconds; they pass in a pause too."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return virtual seconds since the epoch, UTC."""
        return self._epoch + self.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Sleep in virtual time, and on until any pause ends."""
        await asyncio.sleep(seconds)
        await self.wait_running()

    async def wait_running(self) -> None:
        """Return as soon as the VM is not paused."""
        await self._running.wait()

    @property
    def is_paused(self) -> bool:
        """Whether the VM is paused."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Stop the VM: its sleeps and receives don't return."""
        self._running.clear()

    def resume(self) -> None:
        """Let the VM go on."""
        self._running.set()


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a fresh `VirtualLoop`.

    Examples
    --------
    >>> async def an_hour():
    ...     clock = VirtualClock()
    ...     await clock.sleep(3600)
    ...     return clock.monotonic()
    >>> run_virtual(an_hour())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
