"""The daemon ``corianderspard``: one application on real sockets."""

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

EXIT_SETTINGS = 2
UPSTREAM_CONNECTIONS = 4096

program = typer.Typer(add_completion=False)


class Daemon:
    """An application with its HTTP servers and clients.

    Parameters
    ----------
    found : Settings
        Checked settings.
    """

    def __init__(self, found: settings.Settings) -> None:
        self._settings = found
        bounds = httpx.Limits(
            max_connections=UPSTREAM_CONNECTIONS,
            max_keepalive_connections=UPSTREAM_CONNECTIONS,
        )
        # aiohttp reads the chunks of a stream in C, for a fraction of the
        # processor time that httpx's own transport takes for a token.
        transport = httpx_aiohttp.AiohttpTransport(
            limits=bounds, trust_env=False
        )
        self._client = httpx.AsyncClient(transport=transport, trust_env=False)
        self.app = self._assemble()
        self._callers = http_server.HttpServer(
            self.app.find('edge', edge.Edge), found.listen.callers
        )
        self._admin = http_server.HttpServer(
            admin.make_app(self.app), found.listen.admin
        )

    @property
    def callers_address(self) -> str:
        """Where callers reach the daemon, ip:port."""
        return self._callers.address

    @property
    def peers_address(self) -> str:
        """Where the other daemons reach it, ip:port."""
        return self._settings.listen.peers

    @property
    def is_ready(self) -> bool:
        """Whether it may be sent requests."""
        return self.app.find('edge', edge.Edge).is_ready

    @property
    def admin_address(self) -> str:
        """Where operators reach the daemon, ip:port."""
        return self._admin.address

    async def start(self) -> None:
        """Start all services, then listen."""
        await self.app.start()
        await self._callers.start()
        await self._admin.start()

    async def stop(self) -> None:
        """Drain: finish every request, hand back, then close."""
        await self.app.find('drain', drain.Drain).drain()
        await self._callers.stop()
        await self.app.stop()
        await self._admin.stop()
        await self._client.aclose()

    async def abort(self) -> None:
        """End at once, as a killed process would."""
        await self.app.abort()
        await self._callers.abort()
        await self._admin.abort()
        await self._client.aclose()

    def report_running(self) -> None:
        """Log what keeps the drain from ending."""
        for line in self.app.find('drain', drain.Drain).report():
            self.app.events.add('drain.waiting', what=line)

    def _assemble(self) -> kernel.Application:
        found = self._settings
        tls = found.tls
        files = None if tls is None else channel.TlsFiles(*tls)
        adapters = assembly.Adapters(
            channel=channel.NngChannel(found.listen.peers, files),
            platform=platform_http.HttpPlatformClient(
                found.platform.addresses, self._client
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
            kernel.Identity(*found.vm),
            assembly.Addresses(found.listen.peers, found.listen.callers),
            adapters,
            found.limits,
            found.shares,
        )


async def serve(found: settings.Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT has drained it."""
    daemon = Daemon(found)
    ending = asyncio.Event()
    loop = asyncio.get_running_loop()

    def ask_to_end() -> None:
        if ending.is_set():
            daemon.report_running()
        ending.set()

    daemon.app.events.sinks.append(logs.log_event)
    await daemon.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ask_to_end)
    daemon.app.events.add(
        'daemon.started',
        callers=daemon.callers_address,
        admin=daemon.admin_address,
    )
    await ending.wait()
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
        raise typer.Exit(EXIT_SETTINGS)
    logs.write_to(sys.stderr)
    asyncio.run(serve(loaded.ok))


def main() -> None:
    """Start from the command line."""
    program()


if __name__ == '__main__':
    main()
