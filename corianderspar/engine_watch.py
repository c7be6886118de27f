"""Watches the engines of a shard: load, cache events, orphaned work."""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Protocol

from corianderspar import catalogue
from corianderspar import engine
from corianderspar import failure_detector
from corianderspar import kernel
from corianderspar import pool_shards

LOAD_INTERVAL_SECONDS = 1.0
LOAD_TIMEOUT_SECONDS = 0.5
DEAD_AFTER_MISSES = 2  # consecutive failed reads of the load
MIN_REFRESH_SECONDS = 0.05  # between reads of the load of one engine
EVENT_RETRY_SECONDS = 1.0


class LoadReportHandler(Protocol):
    """Interface of what reacts to the load that engines report."""

    async def on_load_report(
        self, name: str, upstream: catalogue.Upstream, load: engine.EngineLoad
    ) -> None:
        """Send the engine a command if its load report calls for one."""
        ...


FindClient = Callable[[str], engine.EngineClient | None]
CancelAtEngines = Callable[[tuple[str, ...], str], None]
ReportUntracked = Callable[[kernel.Incarnation, str, tuple[int, ...]], None]


class EngineWatch:
    """Watches the engines of one shard.

    Parameters
    ----------
    app : Application
        Provides the clock, and runs the tasks for each engine.
    shard : Shard
        Receives load reports and cache events.
    find_client : callable
        Returns the client of an engine.
    detector : FailureDetector
        Tells whether an incarnation of a daemon is dead.
    cancel : callable
        Cancels a request at engines until they confirm it.
    report_untracked : callable
        Tells a live incarnation which of its requests an engine holds
        without a grant of this shard, in two load reports in a row.
    load_report_handler : LoadReportHandler
        Reacts to load reports.
    """

    def __init__(
        self,
        app: kernel.Application,
        shard: pool_shards.Shard,
        find_client: FindClient,
        detector: failure_detector.FailureDetector,
        cancel: CancelAtEngines,
        report_untracked: ReportUntracked,
        load_report_handler: LoadReportHandler,
    ) -> None:
        self._app = app
        self._shard = shard
        self._find_client = find_client
        self._detector = detector
        self._cancel = cancel
        self._report_untracked = report_untracked
        self._load_report_handler = load_report_handler
        self._upstreams_by_name: dict[str, catalogue.Upstream] = {}
        self._tasks_by_name: dict[str, list[asyncio.Task[None]]] = {}
        self._untracked_by_name: dict[str, set[str]] = {}
        self._misses_by_name: dict[str, int] = {}
        self._read_at_by_name: dict[str, float] = {}
        self._loads_by_name: dict[str, engine.EngineLoad] = {}

    def set_engines(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Watch these engines and no others."""
        self._upstreams_by_name = upstreams_by_name
        self._shard.scheduler.set_engines(upstreams_by_name)
        self._shard.decode_slots = sum(
            upstream.slots
            for upstream in upstreams_by_name.values()
            if upstream.role == 'decode'
        )
        for name in list(self._tasks_by_name):
            if name not in upstreams_by_name:
                self._stop_watching(name)
        for name in upstreams_by_name:
            if name not in self._tasks_by_name:
                self._tasks_by_name[name] = [
                    self._app.spawn(
                        'placement', 'load', self._poll_load(name)
                    ),
                    self._app.spawn(
                        'placement', 'events', self._follow_cache_events(name)
                    ),
                ]

    def has_usable_engines(self) -> bool:
        """Return whether a prefill and a decode engine are usable."""
        roles = {
            load.role
            for name, load in self._loads_by_name.items()
            if self._is_usable(name, load)
        }
        return roles >= {'prefill', 'decode'}

    def close(self) -> None:
        """Stop watching all engines."""
        for name in list(self._tasks_by_name):
            self._stop_watching(name)

    async def read_all_loads(self) -> None:
        """Read the load of every engine once."""
        names = list(self._upstreams_by_name)
        await asyncio.gather(*(self._read_load(name) for name in names))

    async def refresh_load(self, name: str) -> None:
        """Read the load of an engine, unless it was read just before."""
        now = self._app.clock.monotonic()
        if now - self._read_at_by_name.get(name, 0.0) >= MIN_REFRESH_SECONDS:
            await self._read_load(name)

    def _is_usable(self, name: str, load: engine.EngineLoad) -> bool:
        upstream = self._upstreams_by_name.get(name)
        if upstream is None or name in self._misses_by_name:
            return False
        if upstream.leaving or load.leaving:
            return False
        return (load.model, load.role) == (upstream.pool, upstream.role)

    def _stop_watching(self, name: str) -> None:
        for task in self._tasks_by_name.pop(name):
            task.cancel()
        self._untracked_by_name.pop(name, None)
        self._misses_by_name.pop(name, None)
        self._loads_by_name.pop(name, None)

    async def _poll_load(self, name: str) -> None:
        while True:
            await self._app.clock.sleep(LOAD_INTERVAL_SECONDS)
            load = await self._read_load(name)
            if load is not None:
                await self._reconcile_requests(name, load)
                upstream = self._upstreams_by_name[name]
                await self._load_report_handler.on_load_report(
                    name, upstream, load
                )

    async def _read_load(self, name: str) -> engine.EngineLoad | None:
        client = self._find_client(name)
        if client is None or name not in self._upstreams_by_name:
            return None
        self._read_at_by_name[name] = self._app.clock.monotonic()
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_SECONDS):
                read = await client.load()
        except TimeoutError:
            self._count_miss(name)
            return None
        if read.is_error():
            self._count_miss(name)
            return None
        self._misses_by_name.pop(name, None)
        self._loads_by_name[name] = read.ok
        self._shard.scheduler.note_load(name, read.ok)
        return read.ok

    def _count_miss(self, name: str) -> None:
        misses = self._misses_by_name.get(name, 0) + 1
        self._misses_by_name[name] = misses
        if misses == DEAD_AFTER_MISSES:
            self._shard.scheduler.note_engine_died(name)

    async def _reconcile_requests(
        self, name: str, load: engine.EngineLoad
    ) -> None:
        """Cancel work of dead daemons, and report untracked work to live ones.

        A request is reported if it is untracked in two load reports in a
        row, since a single report may be out of date.
        """
        untracked = {
            request
            for request in load.requests
            if not self._shard.has_grant(request)
        }
        untracked_twice = untracked & self._untracked_by_name.get(name, set())
        self._untracked_by_name[name] = untracked
        requests_by_incarnation: dict[kernel.Incarnation, list[str]] = {}
        for request in load.requests:
            incarnation = failure_detector.incarnation_of(request)
            if incarnation is not None:
                held_requests = requests_by_incarnation.setdefault(
                    incarnation, []
                )
                held_requests.append(request)
        for incarnation, requests in requests_by_incarnation.items():
            if await self._detector.is_dead(incarnation):
                self._cancel_orphans(name, requests)
                continue
            confirmed = [
                request for request in requests if request in untracked_twice
            ]
            if confirmed:
                numbers = tuple(
                    pool_shards.request_number(one) for one in confirmed
                )
                self._report_untracked(incarnation, name, numbers)

    def _cancel_orphans(self, name: str, requests: list[str]) -> None:
        for request in requests:
            self._app.events.add(
                'engine.reaped', upstream=name, request=request
            )
            self._shard.counts['reaped'] += 1
            self._shard.release(request, 0, 'gone')
            self._cancel((name,), request)

    async def _follow_cache_events(self, name: str) -> None:
        while True:
            client = self._find_client(name)
            if client is None:
                return
            with contextlib.suppress(engine.EngineFailure):
                async for event in client.events():
                    self._shard.scheduler.note_cache_event(name, event)
            await self._app.clock.sleep(EVENT_RETRY_SECONDS)
