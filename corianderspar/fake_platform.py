"""The platform's in-memory twin, which can be told to fail."""

import asyncio
import collections
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import clock as clocks
from corianderspar import platform_client

LATENCY = 0.002
HANG_SECONDS = 3600.0

UNREACHABLE = platform_client.PlatformError('unreachable')
MISSING = platform_client.PlatformError('missing')


class _Change(NamedTuple):
    at: float
    value: platform_client.Value


class FakePlatform:
    """Values and a list of VMs that many readers share.

    Attributes
    ----------
    down : bool
        Whether every call fails at once.
    hung : bool
        Whether calls get no answer, as with a service that drops packets.
    stale_at : float or None
        If set, values are those of that moment, in loop seconds.
    list_lag : float
        Seconds after which a change of the list is seen.
    cut_readers : set of str
        Readers whose every call fails.
    calls_by_reader : Counter
        Calls of each reader; a waiting watch is one.
    """

    def __init__(self) -> None:
        self.down = False
        self.hung = False
        self.stale_at: float | None = None
        self.list_lag = 0.0
        self.cut_readers: set[str] = set()
        self.calls_by_reader: collections.Counter[str] = collections.Counter()
        self._changes_by_key: dict[str, list[_Change]] = {}
        self._lists: list[tuple[float, platform_client.VmList]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, data: bytes) -> None:
        """Publish a value, as an operator does.

        Raises
        ------
        ValueError
            If it is larger than the service takes.
        """
        if len(data) > platform_client.MAX_VALUE_BYTES:
            raise ValueError(f'{key}: {len(data)} bytes')
        changes = self._changes_by_key.setdefault(key, [])
        revision = changes[-1].value.revision + 1 if changes else 1
        changes.append(_Change(_now(), platform_client.Value(revision, data)))
        self.wake()

    def publish(self, values: dict[str, bytes]) -> None:
        """Publish many values in their order; same content is left."""
        for key, data in values.items():
            changes = self._changes_by_key.get(key)
            if not changes or changes[-1].value.data != data:
                self.put(key, data)

    def list_vms(self, vms: tuple[platform_client.ListedVm, ...]) -> None:
        """Change the list of VMs."""
        revision = self._lists[-1][1].revision + 1 if self._lists else 1
        self._lists.append((_now(), platform_client.VmList(revision, vms)))

    def wake(self) -> None:
        """Let waiting watches look again, after a fault ended too."""
        self._changed.set()
        self._changed = asyncio.Event()

    def value(self, key: str) -> platform_client.Value | None:
        """Return what a reader would see now."""
        seen = None
        for change in self._changes_by_key.get(key, ()):
            if self.stale_at is None or change.at <= self.stale_at:
                seen = change.value
        return seen

    def listed(self) -> platform_client.VmList:
        """Return the list a reader would see now."""
        seen = platform_client.VmList(0, ())
        for at, vms in self._lists:
            if at <= _now() - self.list_lag:
                seen = vms
        return seen

    async def change(self) -> None:
        """Wait for the next change of anything."""
        await self._changed.wait()

    def client(
        self, reader: str, clock: clocks.Clock | None = None
    ) -> 'FakePlatformClient':
        """Return a reader's own client.

        Parameters
        ----------
        reader : str
            Name of its VM.
        clock : Clock or None
            If given, a paused VM gets no answer before it goes on.
        """
        return FakePlatformClient(self, reader, clock)


class FakePlatformClient:
    """One reader of a `FakePlatform`; a `platform_client.PlatformClient`."""

    def __init__(
        self,
        shared: FakePlatform,
        reader: str,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._shared = shared
        self._reader = reader
        self._clock = clock or clocks.VirtualClock()

    async def read(
        self, key: str
    ) -> Result[platform_client.Value, platform_client.PlatformError]:
        """Read a value."""
        if not await self._call():
            return Error(UNREACHABLE)
        value = self._shared.value(key)
        return Error(MISSING) if value is None else Ok(value)

    async def watch(
        self, key: str, revision: int, wait: float
    ) -> Result[platform_client.Value | None, platform_client.PlatformError]:
        """Wait for a value above ``revision``."""
        if not await self._call():
            return Error(UNREACHABLE)
        try:
            async with asyncio.timeout(wait):
                value = await self._above(key, revision)
        except TimeoutError:
            value = None
        await self._clock.sleep(0)
        return Error(UNREACHABLE) if self._refused() else Ok(value)

    async def vms(
        self,
    ) -> Result[platform_client.VmList, platform_client.PlatformError]:
        """Read the list of VMs."""
        if not await self._call():
            return Error(UNREACHABLE)
        return Ok(self._shared.listed())

    async def _above(
        self, key: str, revision: int
    ) -> platform_client.Value | None:
        while not self._refused():
            value = self._shared.value(key)
            if value is not None and value.revision > revision:
                return value
            await self._shared.change()
        return None

    async def _call(self) -> bool:
        self._shared.calls_by_reader[self._reader] += 1
        await self._clock.sleep(LATENCY)
        if self._shared.hung:
            await self._clock.sleep(HANG_SECONDS)
        return not self._refused()

    def _refused(self) -> bool:
        return self._shared.down or self._reader in self._shared.cut_readers


def _now() -> float:
    return asyncio.get_running_loop().time()
