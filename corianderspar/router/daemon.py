"""A router daemon: an application with its servers on real sockets."""

import asyncio
from collections.abc import Callable
import functools
import random
import signal
import traceback
from typing import Any
from typing import NamedTuple

from corianderspar import channel
from corianderspar import clock
from corianderspar import connection_table
from corianderspar import http_io
from corianderspar import http_server
from corianderspar import kernel
from corianderspar import logs
from corianderspar.router import assembly  # noqa: H306
from corianderspar.router import caller_limits
from corianderspar.router import connections
from corianderspar.router import edge
from corianderspar.router import log_writer
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import placement
from corianderspar.router import store
from corianderspar.router import store_view
from corianderspar.router import telemetry
from corianderspar.router import upstream_permits
from corianderspar.router import upstreams

# More than two health check intervals of the load balancer, which still sends
# requests in that time.
ACCEPT_AFTER_SIGTERM_SECONDS = 2.6
# After that, for requests that were sent before their caller could see that
# its connection closes; several delays between data centres.
CLOSING_WAIT_SECONDS = 0.4
EXIT_SHARE = 0.06  # of the grace period, for closing what still runs
FINAL_ANSWER_SECONDS = 0.25  # before that, to send the last error answers
SWEEP_INTERVAL_SECONDS = 1.0  # between searches for idle connections
GAUGE_RANKS = 10  # ranks that engines tell apart


class RouterSettings(NamedTuple):
    """Settings of one daemon.

    Attributes
    ----------
    identity : Identity
        The VM, its data centre and its region.
    callers, readiness, peers, metrics : str
        Addresses to listen on, ip:port.
    seeds : tuple of str
        Addresses of peers to contact first; some may be down.
    bounds : Bounds
        Guarantees and tolerances.
    limits : CallerLimits
        Of what is held for callers, upstreams and peers.
    """

    identity: kernel.Identity
    callers: str
    readiness: str
    peers: str
    metrics: str
    seeds: tuple[str, ...]
    bounds: assembly.Bounds
    limits: caller_limits.CallerLimits


class PlatformAdapters(NamedTuple):
    """Adapters to the store, the upstreams and the callers' format."""

    store: store.StoreClient
    calls: upstreams.UpstreamCalls
    caller_format: edge.CallerFormat


class Daemon:
    """An application of the router with its servers.

    Parameters
    ----------
    settings : RouterSettings
        Validated settings.
    platform_adapters : PlatformAdapters
        Adapters to the platform on which the daemon runs.
    pool : ConnectionPool
        Connections that the adapters use.
    """

    def __init__(
        self,
        settings: RouterSettings,
        platform_adapters: PlatformAdapters,
        pool: connections.ConnectionPool,
    ) -> None:
        self.settings = settings
        self._pool = pool
        self.app = kernel.Application(
            settings.identity, clock.SystemClock(), random.Random()
        )
        adapters = assembly.Adapters(
            channel.NngChannel(
                settings.peers,
                max_connections=settings.limits.peer_connections,
            ),
            platform_adapters.store,
            platform_adapters.calls,
            platform_adapters.caller_format,
        )
        self._edge = assembly.add_services(
            self.app,
            adapters,
            settings.bounds,
            settings.peers,
            list(settings.seeds),
        )
        self._membership = self.app.find('fleet', membership.Membership)
        self._store_view = self.app.find('beliefs', store_view.StoreView)
        self._telemetry = self.app.find('telemetry', telemetry.Telemetry)
        self._permits = self.app.find(
            'permits', upstream_permits.UpstreamPermits
        )
        self._add_gauges()
        self._add_rate_gauges()
        self._edge.max_running = settings.limits.requests
        self._callers = http_server.HttpServer(
            self._edge,
            settings.callers,
            closing_wait=CLOSING_WAIT_SECONDS,
            limits=settings.limits.callers,
        )
        self._store_view.on_configuration_adopted.append(self._apply_limits)
        self._status_servers = [
            http_server.HttpServer(
                _Page(read_page),
                address,
                limits=caller_limits.STATUS_LIMITS,
            )
            for read_page, address in (
                (self._read_readiness, settings.readiness),
                (self._read_metrics, settings.metrics),
            )
        ]
        self._watch_servers()

    async def start(self) -> None:
        """Start all services, then listen."""
        await self.app.start()
        for status_server in self._status_servers:
            await status_server.start()
        await self._callers.start()
        self.app.keep_running(
            'pool', 'sweep', self._sweep, kernel.MAX_SILENCE_SECONDS
        )
        self.app.events.add(
            'daemon.started',
            callers=self.settings.callers,
            seeds=','.join(self.settings.seeds),
        )

    async def stop(self) -> None:
        """Drain: finish requests within the grace period, then close."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.bounds.grace_seconds * (
            1 - EXIT_SHARE
        )
        self.app.events.add('daemon.stopping', running=self._edge.running)
        self._edge.begin_shutdown()
        self._membership.leaving = True
        self._membership.send_now()
        # The load balancer sends requests here until it has made two health
        # checks.
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)
        # Close idle connections soon, and each other one after its response:
        # a request that arrives later could not be finished in time.
        try:
            async with asyncio.timeout_at(deadline - FINAL_ANSWER_SECONDS):
                await self._callers.stop()
        except TimeoutError:
            self.app.events.add('daemon.cutting', running=self._edge.running)
            self._edge.answer_now()
            try:
                async with asyncio.timeout_at(deadline):
                    await self._callers.stop()
            except TimeoutError:
                self.app.events.add('daemon.aborting')
                await self._callers.abort()
        self.app.events.add('daemon.stopped')
        for status_server in self._status_servers:
            await status_server.abort()
        await self.app.stop()
        self._pool.close()

    def reload(self, seeds: tuple[str, ...]) -> None:
        """Adopt new seeds."""
        if list(seeds) != self._membership.seeds:
            self._membership.seeds = list(seeds)
            self.app.events.add('daemon.reloaded', seeds=','.join(seeds))

    def log_loop_error(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an error that reached the event loop, in one line."""
        error = context.get('exception')
        frames = traceback.extract_tb(error.__traceback__) if error else []
        place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
        self.app.events.add(
            'loop.error',
            message=context['message'],
            error=repr(error),
            place=place,
        )

    def _add_gauges(self) -> None:
        def version() -> float:
            config = self._store_view.configuration
            return config.version if config else 0

        for name, help_text, read in (
            ('configuration_version', 'Version in force; 0: none.', version),
            (
                'proof_age_seconds',
                'Age of its proof.',
                self._store_view.staleness,
            ),
            (
                'store_era',
                'Rises when the store returns from an older copy.',
                lambda: self._store_view.position.era,
            ),
            (
                'evacuated_data_centres',
                'Data centres whose upstreams get no new requests.',
                lambda: len(self._store_view.evacuated_data_centres),
            ),
            ('daemons_heard', 'Share, 0 to 1.', self._membership.live_share),
            ('daemons_known', 'With this one.', self._membership.size),
            (
                'store_calls',
                'Calls made.',
                lambda: self._store_view.store_calls,
            ),
            (
                'store_revision',
                'Up to which all changes are known.',
                lambda: self._store_view.position.revision,
            ),
            (
                'store_answer_age_seconds',
                'Since the store last answered with a state; Inf: never.',
                lambda: (
                    self.app.clock.monotonic()
                    - self._store_view.store_answered_at
                ),
            ),
            (
                'failed_tasks',
                'Tasks that raised (service.failed).',
                lambda: self.app.failure_count,
            ),
            ('cold_upstreams', 'Known as cold.', self._permits.cold_count),
            (
                'upstream_connections',
                'Connections opened.',
                lambda: self._pool.opened,
            ),
        ):
            self._telemetry.add_gauge(
                f'corianderspar_router_{name}', help_text, read
            )

        for name, help_text, read_counts in (
            (
                'store_answers',
                'Calls to the store that ended.',
                lambda: self._store_view.store_outcomes.counts_by_code,
            ),
            (
                'peer_states',
                'Questions to peers for their state that ended.',
                lambda: self._store_view.peer_outcomes.counts_by_code,
            ),
        ):
            self._telemetry.add_counters(
                f'corianderspar_router_{name}',
                help_text,
                'outcome',
                read_counts,
            )
        self._telemetry.add_gauges_by_rank(
            'corianderspar_router_waiting',
            'Requests that wait for engines at this home.',
            GAUGE_RANKS,
            self.app.find('placement', placement.Placement).count_waiting,
        )

    def _watch_servers(self) -> None:
        """Log and count what the servers refuse and cut off."""
        for name, server in (
            ('callers', self._callers),
            ('readiness', self._status_servers[0]),
            ('metrics', self._status_servers[1]),
        ):
            server.table.on_shed.append(
                functools.partial(self._log_shed, name)
            )
        table = self._callers.table
        self._telemetry.add_counters(
            'corianderspar_router_shed',
            'Connections and requests of callers that were refused or cut '
            'off, by the limit.',
            'reason',
            lambda: table.counts_by_reason,
        )
        for name, help_text, read in (
            (
                'caller_connections',
                'Open connections of callers.',
                lambda: len(table),
            ),
            (
                'caller_bytes',
                'Held for callers.',
                lambda: table.held_bytes,
            ),
        ):
            self._telemetry.add_gauge(
                f'corianderspar_router_{name}', help_text, read
            )

    def _log_shed(self, server: str, shed: connection_table.Shed) -> None:
        self.app.events.add(
            'caller.shed',
            server=server,
            limit=shed.reason,
            state=shed.state,
            held=shed.held_bytes,
            seconds=f'{shed.seconds:.3f}',
        )

    def _add_rate_gauges(self) -> None:
        """Add gauges of the rates of engines whose home this daemon was."""
        placements = self.app.find('placement', placement.Placement)

        def add(phase: str, name: str, pick: Callable[..., float]) -> None:
            def read() -> float:
                ranges = placements.rate_ranges(phase)
                return pick((getattr(e, name) for e in ranges), default=0.0)

            self._telemetry.add_gauge(
                f'corianderspar_router_{name}_{phase}_rate',
                f'Tokens/s, {pick.__name__} of the services; 0: no home.',
                read,
            )

        for phase in ('prefill', 'decode'):
            add(phase, 'usual', max)
            add(phase, 'slowest', min)
            add(phase, 'fastest', max)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self.app.report_progress()
            self._pool.close_idle()

    def _apply_limits(self, configuration: model.Configuration) -> None:
        self._callers.set_idle_timeout(configuration.limits.idle_seconds)
        self._callers.set_head_timeout(configuration.limits.header_seconds)
        self._callers.set_max_header_bytes(configuration.limits.header_bytes)

    def _read_readiness(self) -> tuple[int, bytes]:
        self.app.check_progress()
        return (200 if self._edge.is_ready else 503), b''

    def _read_metrics(self) -> tuple[int, bytes]:
        return 200, self._telemetry.page()


class _Page:
    """An ASGI application that answers each request with one page.

    Parameters
    ----------
    read : callable
        Returns the status and the text of the page.
    """

    def __init__(self, read: Callable[[], tuple[int, bytes]]) -> None:
        self._read = read

    async def __call__(
        self,
        _scope: dict[str, Any],
        _receive: http_io.Receive,
        send: http_io.Send,
    ) -> None:
        """Send the page."""
        status, text = self._read()
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (b'content-type', b'text/plain; version=0.0.4'),
                    (b'content-length', b'%d' % len(text)),
                ],
            }
        )
        await send({'type': 'http.response.body', 'body': text})


async def serve(daemon: Daemon, writer: log_writer.LogWriter) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain it."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(daemon.log_loop_error)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    writer.attach()
    daemon.app.events.sinks.append(logs.log_event)
    writer_task = asyncio.create_task(writer.run())
    await daemon.start()
    await stop_requested.wait()
    await daemon.stop()
    writer_task.cancel()
    writer.flush()
