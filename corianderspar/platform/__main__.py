"""Run one router daemon on the platform."""

import asyncio
import os
from pathlib import Path
import signal
import sys

from corianderspar import platform
from corianderspar.platform import protocol
from corianderspar.platform import settings
from corianderspar.router import connections
from corianderspar.router import daemon
from corianderspar.router import log_writer
from corianderspar.router import settings_watch

EXIT_INVALID_SETTINGS = 2
STANDARD_OUTPUT = 1


async def run(initial: settings.Settings, path: Path) -> None:
    """Run the daemon until a signal stops it."""
    pool = connections.ConnectionPool(
        initial.router.limits.upstream_connections
    )
    store_client = platform.HttpStoreClient(
        initial.store_host,
        initial.store_port,
        # Answers of upstreams don't break off those of the store.
        connections.ConnectionPool(),
    )
    adapters = daemon.PlatformAdapters(
        store_client,
        platform.HttpUpstreamCalls(pool),
        platform.HttpCallerFormat(),
    )
    router_daemon = daemon.Daemon(initial.router, adapters, pool)

    def reload() -> None:
        loaded = platform.load(path)
        if loaded.is_error():
            for finding in loaded.error:
                router_daemon.app.events.add(
                    'settings.invalid', finding=finding
                )
            return
        router_daemon.reload(loaded.ok.router.seeds)
        address = loaded.ok.store_host, loaded.ok.store_port
        if address != store_client.address:
            store_client.address = address
            router_daemon.app.events.add(
                'store.moved', address='{}:{}'.format(*address)
            )

    watch = settings_watch.SettingsWatch(path, reload)
    router_daemon.app.add(watch)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, watch.reload_now)
    await daemon.serve(router_daemon, log_writer.LogWriter(STANDARD_OUTPUT))


def main() -> int:
    """Read the settings and run the daemon; return the exit status."""
    path = Path(os.environ.get(protocol.SETTINGS_VARIABLE, ''))
    loaded = platform.load(path)
    if loaded.is_error():
        for finding in loaded.error:
            print(finding, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    asyncio.run(run(loaded.ok, path))
    return 0


if __name__ == '__main__':
    sys.exit(main())
