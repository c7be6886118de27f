"""Several applications in one process, on virtual time, with faults."""

import asyncio
from collections.abc import Callable
import random

from corianderspar import catalogue
from corianderspar import channel
from corianderspar import clock
from corianderspar import configuration
from corianderspar import fake_platform
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import platform_client
from corianderspar import shards

REGION = 'r1'

Build = Callable[['FakeFleet', kernel.Application], None]


def build_coordination(fleet: 'FakeFleet', app: kernel.Application) -> None:
    """Add the services that every daemon needs."""
    vm = app.identity.vm
    vm_clock = fleet.clocks_by_vm[vm]
    link = channel.MemoryChannel(fleet.network, vm, address(vm), vm_clock)
    app.add(peers.Peers(link))
    app.add(membership.Membership(address(vm)))
    app.add(configuration.Configuration(fleet.platform.client(vm, vm_clock)))


class FakeFleet:
    """VMs, the network between them and the platform before them.

    Parameters
    ----------
    seed : int
        Of all randomness.
    build : callable
        Adds the services to a new application.

    Attributes
    ----------
    apps_by_vm : dict of str to Application
        Those that run or are paused.
    places_by_vm : dict of str to str
        Data centre of each listed VM.
    """

    def __init__(
        self, seed: int = 1, build: Build = build_coordination
    ) -> None:
        self.rng = random.Random(seed)  # noqa: S311
        self.network = channel.MemoryNetwork(self.rng)
        self.platform = fake_platform.FakePlatform()
        self.apps_by_vm: dict[str, kernel.Application] = {}
        self.clocks_by_vm: dict[str, clock.VirtualClock] = {}
        self.places_by_vm: dict[str, str] = {}
        self.failures: list[kernel.Failure] = []
        self._leaving: set[str] = set()
        self._build = build

    def list_vms(self, places_by_vm: dict[str, str]) -> None:
        """Have the platform list these VMs, by name with data centre."""
        self.places_by_vm = dict(places_by_vm)
        self._publish_list()

    def mark_leaving(self, vm: str) -> None:
        """Have the platform list a VM as leaving."""
        self._leaving.add(vm)
        self._publish_list()

    async def start(self, vm: str) -> kernel.Application:
        """Start the daemon of a listed VM; a new incarnation each time."""
        if vm in self.apps_by_vm:
            raise ValueError(f'{vm} runs already')
        self._leaving.discard(vm)
        vm_clock = clock.VirtualClock()
        self.clocks_by_vm[vm] = vm_clock
        rng = random.Random(self.rng.getrandbits(64))  # noqa: S311
        identity = kernel.Identity(vm, self.places_by_vm[vm], REGION)
        app = kernel.Application(identity, vm_clock, rng)
        app.on_failure.append(self.failures.append)
        self._build(self, app)
        self.apps_by_vm[vm] = app
        await app.start()
        return app

    async def start_all(self) -> None:
        """Start every listed VM that does not run."""
        for vm in self.places_by_vm:
            if vm not in self.apps_by_vm:
                await self.start(vm)

    async def kill(self, vm: str) -> None:
        """End a daemon at once."""
        app = self.apps_by_vm.pop(vm)
        link = app.find('peers', peers.Peers)._channel
        await app.abort()
        await link.close()

    async def stop(self, vm: str) -> None:
        """Shut a daemon down gracefully."""
        await self.apps_by_vm[vm].stop()
        del self.apps_by_vm[vm]

    async def close(self) -> None:
        """End all daemons."""
        for vm in list(self.apps_by_vm):
            self.clocks_by_vm[vm].resume()
            await self.kill(vm)

    def pause(self, vm: str) -> None:
        """Stop a daemon's process for a while."""
        self.clocks_by_vm[vm].pause()

    def resume(self, vm: str) -> None:
        """Let a paused process go on."""
        self.clocks_by_vm[vm].resume()

    def publish(self, whole: catalogue.Catalogue) -> None:
        """Publish a catalogue, checked or not, as operators do."""
        self.platform.publish(shards.split(whole))

    def configuration(self, vm: str) -> configuration.Configuration:
        """Return the configuration service of a daemon."""
        return self.apps_by_vm[vm].find(
            'configuration', configuration.Configuration
        )

    def versions(self) -> dict[str, int]:
        """Return the version in force of each running daemon."""
        return {vm: self.configuration(vm).version for vm in self.apps_by_vm}

    async def until(
        self, true: Callable[[], bool], seconds: float, step: float = 0.05
    ) -> float | None:
        """Wait for a condition.

        Parameters
        ----------
        true : callable
            The condition.
        seconds, step : float
            How long to wait at most, and how often to look.

        Returns
        -------
        float or None
            Seconds that it took; None if it did not come true.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not true():
            if loop.time() - start >= seconds:
                return None
            await asyncio.sleep(step)
        return loop.time() - start

    def _publish_list(self) -> None:
        self.platform.list_vms(
            tuple(
                platform_client.ListedVm(
                    vm, place, REGION, address(vm), '', vm in self._leaving
                )
                for vm, place in self.places_by_vm.items()
            )
        )


def address(vm: str) -> str:
    """Return the peer address of a VM."""
    return f'{vm}:1'
