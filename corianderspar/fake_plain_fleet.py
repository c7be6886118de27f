"""Several applications in one process before fake plain services."""

import asyncio
from collections.abc import Callable
import random
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import channel
from corianderspar import clock
from corianderspar import configuration
from corianderspar import dispatch
from corianderspar import drain
from corianderspar import fake_plain
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import plain_client
from corianderspar import plain_requests
from corianderspar import platform_client
from corianderspar import retries
from corianderspar import ticket_records

POOL = 'desk'
ROUTE = 'orders'
ACCOUNT = 'parish'


class Shape(NamedTuple):
    """How large a fleet is and how its daemons are set.

    Attributes
    ----------
    vms, upstreams : int
        How many, spread evenly over the data centres.
    data_centres : int
        How many.
    limits, policy, shutdown
        Settings of the daemons' services.
    """

    vms: int = 4
    upstreams: int = 4
    data_centres: int = 2
    limits: ticket_records.Limits | None = None
    policy: retries.Policy | None = None
    shutdown: drain.Settings | None = None


class Fleet:
    """Applications by VM; VMs can be killed, paused and started again.

    Parameters
    ----------
    seed : int
        Of all randomness.
    shape : Shape
        How large it is.
    """

    def __init__(self, seed: int, shape: Shape | None = None) -> None:
        self.shape = shape or Shape()
        self.rng = random.Random(seed)  # noqa: S311
        self.network = channel.MemoryNetwork(self.rng)
        self.ledger = fake_plain.Ledger()
        self.services_by_name = {
            f'desk{number}': fake_plain.FakePlain(f'desk{number}', self.ledger)
            for number in range(self.shape.upstreams)
        }
        self.vms = [f'vm{number}' for number in range(self.shape.vms)]
        self.apps_by_vm: dict[str, kernel.Application] = {}
        self.clocks_by_vm: dict[str, clock.VirtualClock] = {}
        self._channels_by_vm: dict[str, channel.MemoryChannel] = {}
        self._requests = 0

    def catalogue(
        self, version: int = 1, leaving: tuple[str, ...] = ()
    ) -> catalogue.Catalogue:
        """Return a catalogue of the fleet's upstreams."""
        upstreams = {
            name: catalogue.Upstream(
                self.data_centre(number),
                f'{name}:80',
                'plain',
                POOL,
                leaving=name in leaving,
            )
            for number, name in enumerate(self.services_by_name)
        }
        return catalogue.Catalogue(version, {}, {}, upstreams)

    def data_centre(self, number: int) -> str:
        """Return the data centre of the VM or upstream of a number."""
        return f'dc{number % self.shape.data_centres}'

    async def start(self) -> None:
        """Start all VMs and let them hear each other."""
        for vm in self.vms:
            await self.start_vm(vm)
        await asyncio.sleep(1.5)

    async def start_vm(self, vm: str) -> kernel.Application:
        """Start a VM's daemon, as a new incarnation at its address."""
        place = self.data_centre(self.vms.index(vm))
        vm_clock = clock.VirtualClock()
        rng = random.Random(self.rng.getrandbits(32))  # noqa: S311
        app = kernel.Application(
            kernel.Identity(vm, place, 'r1'), vm_clock, rng
        )
        link = channel.MemoryChannel(self.network, vm, f'{vm}:1', vm_clock)

        def service(
            name: str, _entry: catalogue.Upstream
        ) -> plain_client.PlainClient:
            return self.services_by_name[name].client(vm_clock)

        app.add(peers.Peers(link))
        app.add(membership.Membership(f'{vm}:1'))
        app.add(configuration.Configuration())
        app.add(
            dispatch.Dispatch(service, self.shape.limits, self.shape.policy)
        )
        app.add(drain.Drain(self.shape.shutdown))
        await app.start()
        app.find('membership', membership.Membership).adopt_list(self._list())
        found = app.find('configuration', configuration.Configuration)
        found.adopt(self.catalogue())
        self.apps_by_vm[vm] = app
        self.clocks_by_vm[vm] = vm_clock
        self._channels_by_vm[vm] = link
        return app

    async def kill(self, vm: str) -> None:
        """End a VM's process at once; its callers lose their connection."""
        app = self.apps_by_vm.pop(vm, None)
        if app is not None:
            await self._channels_by_vm[vm].close()
            await app.abort()

    async def restart(self, vm: str) -> None:
        """Drain a VM's daemon, stop it and start it anew."""
        app = self.apps_by_vm[vm]
        drained = app.find('drain', drain.Drain)
        drained.request_shutdown()
        await drained.wait()
        await app.stop()
        await self.start_vm(vm)

    async def stop(self) -> None:
        """Stop all VMs that run."""
        for vm in list(self.apps_by_vm):
            self.clocks_by_vm[vm].resume()
            await self.apps_by_vm.pop(vm).stop()

    def ready(self) -> list[str]:
        """Return the VMs that the balancer would choose from."""
        return [
            vm
            for vm, app in self.apps_by_vm.items()
            if app.find('drain', drain.Drain).ready
        ]

    def dispatch(self, vm: str) -> dispatch.Dispatch:
        """Return a VM's dispatch."""
        return self.apps_by_vm[vm].find('dispatch', dispatch.Dispatch)

    async def call(
        self, vm: str, request: plain_requests.PlainRequest
    ) -> plain_requests.Outcome | None:
        """Send as a caller connected to a VM; None if that was lost."""
        app = self.apps_by_vm.get(vm)
        if app is None:
            return None
        task = app.spawn('dispatch', 'edge', self._tracked(app, request))
        try:
            await asyncio.wait([task])
        finally:
            task.cancel()
        return None if task.cancelled() else task.result()

    async def serve(
        self, app: kernel.Application, request: plain_requests.PlainRequest
    ) -> plain_requests.Outcome:
        """Answer a request in a daemon; the naive version differs here."""
        return await app.find('dispatch', dispatch.Dispatch).send(request)

    async def _tracked(
        self, app: kernel.Application, request: plain_requests.PlainRequest
    ) -> plain_requests.Outcome:
        inflight = app.find('drain', drain.Drain).inflight
        with inflight.track(request.request_id, request.route):
            return await self.serve(app, request)

    async def ticket(self, vm: str) -> str:
        """Take a ticket as a caller connected to a VM; empty if lost."""
        app = self.apps_by_vm.get(vm)
        if app is None:
            return ''
        asked = self.dispatch(vm).issue_ticket(ACCOUNT, ROUTE)
        task = app.spawn('dispatch', 'edge', asked)
        await asyncio.wait([task])
        if task.cancelled() or task.result().is_error():
            return ''
        return task.result().ok

    def request(
        self,
        body: bytes,
        repeatable: bool = False,
        ticket: str = '',
        timeout: float = 5.0,
    ) -> plain_requests.PlainRequest:
        """Return a request whose body tells it from all others."""
        self._requests += 1
        return plain_requests.PlainRequest(
            f'r{self._requests}',
            ACCOUNT,
            ROUTE,
            POOL,
            'POST',
            '/orders',
            '',
            (('content-type', 'text/plain'),),
            body,
            timeout,
            repeatable,
            ticket,
        )

    def set_fault(
        self, fault: Callable[[plain_client.PlainCall], fake_plain.Fault]
    ) -> None:
        """Have all upstreams decide on faults alike."""
        for service in self.services_by_name.values():
            service.fault = fault

    def _list(self) -> platform_client.VmList:
        return platform_client.VmList(
            1,
            tuple(
                platform_client.ListedVm(
                    vm, self.data_centre(number), 'r1', f'{vm}:1'
                )
                for number, vm in enumerate(self.vms)
            ),
        )
