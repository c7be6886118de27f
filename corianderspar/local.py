"""The whole system in one process, on stand-ins and real sockets."""

import asyncio
from pathlib import Path
import signal
import sys

import pynng

from corianderspar import daemon
from corianderspar import local_demo
from corianderspar import platform_client
from corianderspar import rate_limiter
from corianderspar import settings
from corianderspar import standins

VMS = (('ev1', 'kecskemet'), ('ev2', 'kecskemet'), ('ev3', 'szeged'))
SITES = (
    standins.Site('prefill-1', 'kecskemet', 'prefill'),
    standins.Site('decode-1', 'kecskemet', 'decode'),
    standins.Site('prefill-2', 'szeged', 'prefill'),
    standins.Site('decode-2', 'szeged', 'decode'),
)
START_ATTEMPTS = 3
READY_LOOKS = 400
LOOK_SECONDS = 0.05


class Local:
    """Stand-ins and three daemons in two data centres.

    Parameters
    ----------
    seed : int
        Seed of the stand-ins.
    """

    def __init__(self, seed: int = 1) -> None:
        self.outside = standins.Standins(SITES, seed)
        self.daemons_by_vm: dict[str, daemon.Daemon] = {}

    @property
    def callers_address(self) -> str:
        """Where the first daemon serves callers, ip:port."""
        return next(iter(self.daemons_by_vm.values())).callers_address

    async def start(self) -> None:
        """Start everything, and return when all daemons are ready."""
        await self.outside.start()
        for _attempt in range(START_ATTEMPTS - 1):
            try:
                await self._start_daemons()
                break
            except (OSError, pynng.NNGException):
                # Somebody took a port between its choice and its use.
                await self._stop_daemons()
        else:
            await self._start_daemons()
        await self._wait_ready()

    async def _start_daemons(self) -> None:
        peers_by_vm = {vm: standins.free_address() for vm, _place in VMS}
        self.outside.list_vms(
            tuple(
                platform_client.ListedVm(vm, place, 'default', peers_by_vm[vm])
                for vm, place in VMS
            )
        )
        for vm, place in VMS:
            one = daemon.Daemon(self._settings(vm, place, peers_by_vm[vm]))
            await one.start()
            self.daemons_by_vm[vm] = one

    async def _stop_daemons(self) -> None:
        for one in self.daemons_by_vm.values():
            await one.abort()
        self.daemons_by_vm.clear()

    async def stop(self) -> None:
        """Drain the daemons, then stop the stand-ins."""
        running = self.daemons_by_vm.values()
        await asyncio.gather(*(one.stop() for one in running))
        await self.outside.stop()

    def _settings(self, vm: str, place: str, peers: str) -> settings.Settings:
        return settings.Settings(
            settings.VmSettings(vm, place),
            settings.ListenSettings('127.0.0.1:0', peers),
            settings.PlatformSettings((self.outside.platform_address,)),
            settings.LimitSettings(drain_seconds=0.0, replay_seconds=0.0),
            # No daemon ran here before, so none need be waited for.
            settings.ShareSettings(0.1, 3.0, 3.0, 0.1),
        )

    def _serves(self, one: daemon.Daemon) -> bool:
        view = one.app.find('limits', rate_limiter.RateLimiter).view(
            standins.ACCOUNT
        )
        return one.is_ready and view is not None and view.tokens > 0

    async def _wait_ready(self) -> None:
        for _look in range(READY_LOOKS):
            if all(self._serves(one) for one in self.daemons_by_vm.values()):
                return
            await asyncio.sleep(LOOK_SECONDS)
        raise TimeoutError('the daemons are not ready')


async def run() -> None:
    """Run until SIGINT or SIGTERM."""
    system = Local()
    await system.start()
    print('daemons (callers, admin):')
    for vm, one in system.daemons_by_vm.items():
        print(f'  {vm}: {one.callers_address} {one.admin_address}')
    print('try:')
    print(
        f"  curl -N -H 'Authorization: Bearer {system.outside.key.key}'"
        f' http://{system.callers_address}/blurbs/v1/completions -d'
        ' \'{"prompt": "Write a blurb for Pentecost.", "stream": true}\''
    )
    print('ctrl-c ends it', flush=True)
    ending = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ending.set)
    await ending.wait()
    await system.stop()


async def demo() -> int:
    """Send real input through the system; return the exit code."""
    system = Local()
    await system.start()
    examples = Path(__file__).parent.parent / 'examples'
    try:
        return await local_demo.show(system, examples)
    finally:
        await system.stop()


def main() -> None:
    """Start from the command line: ``run`` or ``demo``."""
    if sys.argv[1:] == ['demo']:
        sys.exit(asyncio.run(demo()))
    asyncio.run(run())


if __name__ == '__main__':
    main()
