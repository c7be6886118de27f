"""Daemon ``corianderspard``: one application on real sockets."""

import asyncio
from pathlib import Path
import random
import signal
import sys
from typing import Annotated

import httpx
import httpx_aiohttp
import typer

from corianderspar import admin
from corianderspar import assembly
from corianderspar import channel
from corianderspar import clock
from corianderspar import drain
from corianderspar import edge
from corianderspar import engine_http
from corianderspar import http_server
from corianderspar import kernel
from corianderspar import logs
from corianderspar import plain_http
from corianderspar import platform_http
from corianderspar import settings

EXIT_INVALID_SETTINGS = 2
MAX_UPSTREAM_CONNECTIONS = 4096

program = typer.Typer(add_completion=False)


class Daemon:
    """An application with its HTTP servers and clients.

    Parameters
    ----------
    daemon_settings : Settings
        Validated settings.
    """

    def __init__(self, daemon_settings: settings.Settings) -> None:
        self._settings = daemon_settings
        connection_limits = httpx.Limits(
            max_connections=MAX_UPSTREAM_CONNECTIONS,
            max_keepalive_connections=MAX_UPSTREAM_CONNECTIONS,
        )
        # aiohttp parses chunked streams in C, which takes a fraction of the
        # processor time per token of httpx's own transport.
        transport = httpx_aiohttp.AiohttpTransport(
            limits=connection_limits, trust_env=False
        )
        self._client = httpx.AsyncClient(transport=transport, trust_env=False)
        self.app = self._assemble()
        self._caller_server = http_server.HttpServer(
            self.app.find('edge', edge.Edge), daemon_settings.listen.callers
        )
        self._admin_server = http_server.HttpServer(
            admin.make_app(self.app), daemon_settings.listen.admin
        )

    @property
    def callers_address(self) -> str:
        """Address that serves callers, ip:port."""
        return self._caller_server.address

    @property
    def peers_address(self) -> str:
        """Address that receives messages of other daemons, ip:port."""
        return self._settings.listen.peers

    @property
    def is_ready(self) -> bool:
        """Whether the daemon accepts requests."""
        return self.app.find('edge', edge.Edge).is_ready

    @property
    def admin_address(self) -> str:
        """Address that serves operators, ip:port."""
        return self._admin_server.address

    async def start(self) -> None:
        """Start all services, then listen for callers and operators."""
        await self.app.start()
        await self._caller_server.start()
        await self._admin_server.start()

    async def stop(self) -> None:
        """Drain: finish every request, hand off, then close."""
        await self.app.find('drain', drain.Drain).drain()
        await self._caller_server.stop()
        await self.app.stop()
        await self._admin_server.stop()
        await self._client.aclose()

    async def abort(self) -> None:
        """Stop without draining, as if the process was killed."""
        await self.app.abort()
        await self._caller_server.abort()
        await self._admin_server.abort()
        await self._client.aclose()

    def report_running(self) -> None:
        """Log what the drain is waiting for."""
        for line in self.app.find('drain', drain.Drain).report():
            self.app.events.add('drain.waiting', what=line)

    def _assemble(self) -> kernel.Application:
        daemon_settings = self._settings
        tls = daemon_settings.tls
        tls_files = None if tls is None else channel.TlsFiles(*tls)
        adapters = assembly.Adapters(
            channel=channel.NngChannel(
                daemon_settings.listen.peers, tls_files
            ),
            platform=platform_http.HttpPlatformClient(
                daemon_settings.platform.addresses, self._client
            ),
            engines=lambda _name, upstream: engine_http.HttpEngine(
                upstream.address, self._client
            ),
            services=lambda _name, upstream: plain_http.HttpPlainClient(
                upstream.address
            ),
            clock=clock.SystemClock(),
            rng=random.Random(),
        )
        return assembly.assemble(
            kernel.Identity(*daemon_settings.vm),
            assembly.Addresses(
                daemon_settings.listen.peers, daemon_settings.listen.callers
            ),
            adapters,
            daemon_settings.limits,
            daemon_settings.shares,
        )


async def serve(daemon_settings: settings.Settings) -> None:
    """Run a daemon until it has drained after SIGTERM or SIGINT."""
    daemon = Daemon(daemon_settings)
    shutdown_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def request_shutdown() -> None:
        if shutdown_requested.is_set():
            daemon.report_running()
        shutdown_requested.set()

    daemon.app.events.sinks.append(logs.log_event)
    await daemon.start()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_shutdown)
    daemon.app.events.add(
        'daemon.started',
        callers=daemon.callers_address,
        admin=daemon.admin_address,
    )
    await shutdown_requested.wait()
    await daemon.stop()
    daemon.app.events.add('daemon.stopped')


@program.command()
def run(
    path: Annotated[
        Path, typer.Argument(metavar='SETTINGS', help='The TOML settings.')
    ],
) -> None:
    """Run one daemon of the fleet until it is told to end.

    SIGTERM drains: nothing is cut. A second one logs what still runs.
    """
    loaded = settings.load(path)
    if loaded.is_error():
        for finding in loaded.error:
            print(finding, file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS)
    logs.write_to(sys.stderr)
    asyncio.run(serve(loaded.ok))


def main() -> None:
    """Run the command line program."""
    program()


if __name__ == '__main__':
    main()
