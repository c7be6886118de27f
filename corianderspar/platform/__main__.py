"""Runs one daemon of the router on the users' platform."""

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

EXIT_SETTINGS = 2
STANDARD_OUTPUT = 1


async def run(found: settings.Settings, path: Path) -> None:
    """Run until the daemon is told to end."""
    pool = connections.ConnectionPool()
    adapters = daemon.PlatformAdapters(
        platform.HttpStoreClient(found.store_host, found.store_port, pool),
        platform.HttpUpstreamCalls(pool),
        platform.HttpCallerFormat(),
    )
    node = daemon.Daemon(found.router, adapters, pool)

    def reload() -> None:
        loaded = platform.load(path)
        if loaded.is_error():
            for finding in loaded.error:
                node.app.events.add('settings.invalid', finding=finding)
            return
        node.reload(loaded.ok.router.seeds)

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.serve(node, log_writer.LogWriter(STANDARD_OUTPUT))


def main() -> int:
    """Read the settings and run; the exit status says how it went."""
    path = Path(os.environ.get(protocol.SETTINGS_VARIABLE, ''))
    loaded = platform.load(path)
    if loaded.is_error():
        for finding in loaded.error:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    asyncio.run(run(loaded.ok, path))
    return 0


if __name__ == '__main__':
    sys.exit(main())
