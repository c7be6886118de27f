"""The home's eyes on its engines: reports, cache events, stray work."""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Protocol

from corianderspar import catalogue
from corianderspar import engine
from corianderspar import kernel
from corianderspar import pool_shards
from corianderspar import reaper as reapers

LOAD_SECONDS = 1.0
LOAD_TIMEOUT_SECONDS = 0.5
DEATH_MISSES = 2
FRESH_SECONDS = 0.05
EVENT_RETRY_SECONDS = 1.0


class LoadReportHandler(Protocol):
    """What acts on what an engine reports."""

    async def on_load_report(
        self, name: str, upstream: catalogue.Upstream, load: engine.EngineLoad
    ) -> None:
        """Give the engine an order, if it needs one."""
        ...


Client = Callable[[str], engine.EngineClient | None]
Cancel = Callable[[tuple[str, ...], str], None]
Remind = Callable[[kernel.Incarnation, str, tuple[int, ...]], None]


class EngineWatch:
    """Follows the engines of one shard.

    Parameters
    ----------
    app : Application
        Gives time, and runs a task for each engine.
    shard : Shard
        Takes reports and events.
    client : callable
        Returns the client of an engine.
    reaper : Reaper
        Says whose work is an orphan.
    cancel : callable
        Cancels at engines until confirmed.
    remind : callable
        Tells a live incarnation what an engine holds of it that the
        ledger does not know, twice in a row.
    steward : LoadReportHandler
        Gives orders.
    """

    def __init__(
        self,
        app: kernel.Application,
        shard: pool_shards.Shard,
        client: Client,
        reaper: reapers.Reaper,
        cancel: Cancel,
        remind: Remind,
        steward: LoadReportHandler,
    ) -> None:
        self._app = app
        self._shard = shard
        self._client = client
        self._reaper = reaper
        self._cancel = cancel
        self._remind = remind
        self._steward = steward
        self._upstreams_by_name: dict[str, catalogue.Upstream] = {}
        self._tasks_by_name: dict[str, list[asyncio.Task[None]]] = {}
        self._strays_by_name: dict[str, set[str]] = {}
        self._misses_by_name: dict[str, int] = {}
        self._read_by_name: dict[str, float] = {}
        self._loads_by_name: dict[str, engine.EngineLoad] = {}

    def set_engines(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Follow these engines and no others."""
        self._upstreams_by_name = upstreams_by_name
        self._shard.scheduler.set_engines(upstreams_by_name)
        self._shard.decode_slots = sum(
            upstream.slots
            for upstream in upstreams_by_name.values()
            if upstream.role == 'decode'
        )
        for name in list(self._tasks_by_name):
            if name not in upstreams_by_name:
                self._stop(name)
        for name in upstreams_by_name:
            if name not in self._tasks_by_name:
                self._tasks_by_name[name] = [
                    self._app.spawn('placement', 'load', self._poll(name)),
                    self._app.spawn('placement', 'events', self._follow(name)),
                ]

    def has_usable_engines(self) -> bool:
        """Return whether a prefill and a decode engine report for work."""
        roles = {
            load.role
            for name, load in self._loads_by_name.items()
            if self._serves(name, load)
        }
        return roles >= {'prefill', 'decode'}

    def close(self) -> None:
        """Follow none."""
        for name in list(self._tasks_by_name):
            self._stop(name)

    async def read_all_loads(self) -> None:
        """Read every engine's report once."""
        names = list(self._upstreams_by_name)
        await asyncio.gather(*(self._read(name) for name in names))

    async def refresh_load(self, name: str) -> None:
        """Read an engine's report now, unless it was read just before."""
        now = self._app.clock.monotonic()
        if now - self._read_by_name.get(name, 0.0) >= FRESH_SECONDS:
            await self._read(name)

    def _serves(self, name: str, load: engine.EngineLoad) -> bool:
        upstream = self._upstreams_by_name.get(name)
        if upstream is None or name in self._misses_by_name:
            return False
        if upstream.leaving or load.leaving:
            return False
        return (load.model, load.role) == (upstream.pool, upstream.role)

    def _stop(self, name: str) -> None:
        for task in self._tasks_by_name.pop(name):
            task.cancel()
        self._strays_by_name.pop(name, None)
        self._misses_by_name.pop(name, None)
        self._loads_by_name.pop(name, None)

    async def _poll(self, name: str) -> None:
        while True:
            await self._app.clock.sleep(LOAD_SECONDS)
            load = await self._read(name)
            if load is not None:
                await self._tidy(name, load)
                upstream = self._upstreams_by_name[name]
                await self._steward.on_load_report(name, upstream, load)

    async def _read(self, name: str) -> engine.EngineLoad | None:
        client = self._client(name)
        if client is None or name not in self._upstreams_by_name:
            return None
        self._read_by_name[name] = self._app.clock.monotonic()
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_SECONDS):
                read = await client.load()
        except TimeoutError:
            self._missed(name)
            return None
        if read.is_error():
            self._missed(name)
            return None
        self._misses_by_name.pop(name, None)
        self._loads_by_name[name] = read.ok
        self._shard.scheduler.note_load(name, read.ok)
        return read.ok

    def _missed(self, name: str) -> None:
        misses = self._misses_by_name.get(name, 0) + 1
        self._misses_by_name[name] = misses
        if misses == DEATH_MISSES:
            self._shard.scheduler.note_engine_died(name)

    async def _tidy(self, name: str, load: engine.EngineLoad) -> None:
        """Cancel what dead daemons left; remind live ones of the rest."""
        strays = {
            request
            for request in load.requests
            if not self._shard.has_grant(request)
        }
        twice = strays & self._strays_by_name.get(name, set())
        self._strays_by_name[name] = strays
        requests_by_incarnation: dict[kernel.Incarnation, list[str]] = {}
        for request in load.requests:
            incarnation = reapers.starter(request)
            if incarnation is not None:
                held = requests_by_incarnation.setdefault(incarnation, [])
                held.append(request)
        for incarnation, requests in requests_by_incarnation.items():
            if await self._reaper.dead(incarnation):
                self._reap(name, requests)
                continue
            stray = [request for request in requests if request in twice]
            if stray:
                numbers = tuple(
                    pool_shards.request_number(one) for one in stray
                )
                self._remind(incarnation, name, numbers)

    def _reap(self, name: str, requests: list[str]) -> None:
        for request in requests:
            self._app.events.add(
                'engine.reaped', upstream=name, request=request
            )
            self._shard.counts['reaped'] += 1
            self._shard.release(request, 0, 'gone')
            self._cancel((name,), request)

    async def _follow(self, name: str) -> None:
        while True:
            client = self._client(name)
            if client is None:
                return
            with contextlib.suppress(engine.EngineFailure):
                async for event in client.events():
                    self._shard.scheduler.note_cache_event(name, event)
            await self._app.clock.sleep(EVENT_RETRY_SECONDS)
