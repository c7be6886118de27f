"""One daemon of the router: an application on real sockets."""

import asyncio
from collections.abc import Callable
import random
import signal
from typing import Any
from typing import NamedTuple

from corianderspar import channel
from corianderspar import clock
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import logs
from corianderspar import server
from corianderspar.router import assembly  # noqa: H306
from corianderspar.router import connections
from corianderspar.router import edge
from corianderspar.router import log_writer
from corianderspar.router import membership
from corianderspar.router import store
from corianderspar.router import store_view
from corianderspar.router import telemetry
from corianderspar.router import upstreams

STILL_TAKING_SECONDS = 2.6  # after SIGTERM: two looks of the balancer and more
LEFT_FOR_EXIT = 0.06  # of the grace, for closing what still runs
SWEEP_SECONDS = 1.0  # between looks at idle connections


class RouterSettings(NamedTuple):
    """What one daemon needs to know.

    Attributes
    ----------
    identity : Identity
        The VM and where it stands.
    callers, readiness, peers, metrics : str
        Addresses to listen on, ip:port.
    seeds : tuple of str
        Addresses of daemons that may be alive.
    bounds : Bounds
        What must be kept.
    """

    identity: kernel.Identity
    callers: str
    readiness: str
    peers: str
    metrics: str
    seeds: tuple[str, ...]
    bounds: assembly.Bounds


class PlatformAdapters(NamedTuple):
    """What speaks to the outside."""

    store: store.StoreClient
    calls: upstreams.UpstreamCalls
    caller_format: edge.CallerFormat


class Daemon:
    """An application of the router with its servers.

    Parameters
    ----------
    settings : RouterSettings
        Checked settings.
    adapters : PlatformAdapters
        What speaks to the outside.
    pool : ConnectionPool
        What the adapters call upstreams through.
    """

    def __init__(
        self,
        settings: RouterSettings,
        adapters: PlatformAdapters,
        pool: connections.ConnectionPool,
    ) -> None:
        self.settings = settings
        self._pool = pool
        self.app = kernel.Application(
            settings.identity, clock.SystemClock(), random.Random()
        )
        outside = assembly.Adapters(
            channel.NngChannel(settings.peers),
            adapters.store,
            adapters.calls,
            adapters.caller_format,
        )
        self._edge = assembly.add_services(
            self.app,
            outside,
            settings.bounds,
            settings.peers,
            list(settings.seeds),
        )
        self._membership = self.app.find('fleet', membership.Membership)
        self._store_view = self.app.find('beliefs', store_view.StoreView)
        self._telemetry = self.app.find('telemetry', telemetry.Telemetry)
        self._add_gauges()
        self._callers = server.HttpServer(self._edge, settings.callers)
        self._small = [
            server.HttpServer(_Page(self._readiness), settings.readiness),
            server.HttpServer(_Page(self._metrics), settings.metrics),
        ]

    async def start(self) -> None:
        """Start all services, then listen."""
        await self.app.start()
        for small in self._small:
            await small.start()
        await self._callers.start()
        self.app.spawn('pool', 'sweep', self._sweep())
        self.app.events.add(
            'daemon.started',
            callers=self.settings.callers,
            seeds=','.join(self.settings.seeds),
        )

    async def stop(self) -> None:
        """Finish every request within the grace, then close."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + self.settings.bounds.grace_seconds * (
            1 - LEFT_FOR_EXIT
        )
        self.app.events.add('daemon.stopping', running=self._edge.running)
        self._edge.stopping = True
        self._membership.leaving = True
        self._membership.send_now()
        # The balancer sends callers here until it has looked twice.
        await asyncio.sleep(STILL_TAKING_SECONDS)
        # Idle connections are closed now, the others after their answer: a
        # request that came later could not be finished.
        try:
            async with asyncio.timeout_at(ends):
                await self._callers.stop()
        except TimeoutError:
            self.app.events.add('daemon.cutting', running=self._edge.running)
            await self._callers.abort()
        self.app.events.add('daemon.stopped')
        for small in self._small:
            await small.abort()
        await self.app.stop()
        self._pool.close()

    def reload(self, seeds: tuple[str, ...]) -> None:
        """Take new seeds."""
        if list(seeds) != self._membership.seeds:
            self._membership.seeds = list(seeds)
            self.app.events.add('daemon.reloaded', seeds=','.join(seeds))

    def _add_gauges(self) -> None:
        def version() -> float:
            found = self._store_view.configuration
            return found.version if found else 0

        for name, text, read in (
            ('configuration_version', 'Version in force; 0: none.', version),
            (
                'proof_age_seconds',
                'Age of its proof.',
                self._store_view.staleness,
            ),
            ('daemons_heard', 'Share, 0 to 1.', self._membership.live_share),
            ('daemons_known', 'With this one.', self._membership.size),
            (
                'store_calls',
                'Calls made.',
                lambda: self._store_view.store_calls,
            ),
            (
                'upstream_connections',
                'Connections opened.',
                lambda: self._pool.opened,
            ),
        ):
            self._telemetry.add_gauge(
                f'corianderspar_router_{name}', text, read
            )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self._pool.close_idle()
            config = self._store_view.configuration
            if config is not None:
                self._callers.set_idle_seconds(config.limits.idle_seconds)

    def _readiness(self) -> tuple[int, bytes]:
        return (200 if self._edge.is_ready else 503), b''

    def _metrics(self) -> tuple[int, bytes]:
        return 200, self._telemetry.page()


class _Page:
    """An ASGI application with one page.

    Parameters
    ----------
    read : callable
        Returns its status and text.
    """

    def __init__(self, read: Callable[[], tuple[int, bytes]]) -> None:
        self._read = read

    async def __call__(
        self,
        _scope: dict[str, Any],
        _receive: http_io.Receive,
        send: http_io.Send,
    ) -> None:
        """Answer with the page."""
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


async def serve(node: Daemon, writer: log_writer.LogWriter) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    ending = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    writer.attach()
    node.app.events.sinks.append(logs.log_event)
    writing = asyncio.create_task(writer.run())
    await node.start()
    await ending.wait()
    await node.stop()
    writing.cancel()
    writer.flush()
