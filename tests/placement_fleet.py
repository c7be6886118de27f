"""A fleet of daemons and in-memory engines on virtual time, for tests."""

import asyncio
import random

import expression

from corianderspar import catalogue
from corianderspar import channel
from corianderspar import clock
from corianderspar import configuration
from corianderspar import engine
from corianderspar import fake_answers
from corianderspar import fake_engine
from corianderspar import fake_system
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import placement
from corianderspar import platform_client

MODEL = 'blurb'


def upstream(name, role, data_centre='szeged', **overrides):
    settings = {'slots': 8, 'pieces': 64, 'link_rate': 1e11, **overrides}
    return catalogue.Upstream(
        data_centre, f'{name}:1', 'engine', MODEL, role, **settings
    )


def engine_pool(data_centre='szeged', prefills=2, decodes=2, **overrides):
    names = [(f'{data_centre}-p{n}', 'prefill') for n in range(prefills)]
    names += [(f'{data_centre}-d{n}', 'decode') for n in range(decodes)]
    return {
        name: upstream(name, role, data_centre, **overrides)
        for name, role in names
    }


class Fleet:
    """Daemons by VM and engines by name, with methods that inject faults."""

    def __init__(self, vms, upstreams, seed=1):
        self.data_centres_by_vm = dict(vms)
        self.upstreams = upstreams
        self.seed = seed
        self.network = channel.MemoryNetwork(random.Random(seed))
        self.engine_network = fake_engine.FakeNetwork()
        engine_clock = clock.VirtualClock()
        self.engines_by_name = {
            name: fake_engine.FakeEngine(
                engine_clock,
                random.Random(seed),
                name,
                entry,
                self.engine_network,
            )
            for name, entry in upstreams.items()
        }
        self.apps_by_vm = {}
        self.clocks_by_vm = {}
        self.revision = 0
        self.version = 0
        self.start_count = 0
        self.failures = []

    async def start(self):
        for vm in self.data_centres_by_vm:
            await self.boot(vm)
        await asyncio.sleep(2.5)
        return self

    async def boot(self, vm):
        self.start_count += 1
        vm_clock = clock.VirtualClock()
        data_centre = self.data_centres_by_vm[vm]
        app = kernel.Application(
            kernel.Identity(vm, data_centre, 'r1'),
            vm_clock,
            random.Random(self.seed * 100 + self.start_count),
        )
        link = channel.MemoryChannel(self.network, vm, f'{vm}:1', vm_clock)
        app.add(peers.Peers(link))
        app.add(membership.Membership(f'{vm}:1'))
        app.add(configuration.Configuration())
        app.add(
            placement.Placement(
                lambda name, _entry: fake_system.HeldEngine(
                    self.engines_by_name[name], vm_clock
                )
            )
        )
        app.on_failure.append(self.failures.append)
        self.apps_by_vm[vm] = app
        self.clocks_by_vm[vm] = vm_clock
        await app.start()
        self.list_vms()
        self.publish()

    def list_vms(self, without=()):
        self.revision += 1
        vms = tuple(
            platform_client.ListedVm(vm, data_centre, 'r1', f'{vm}:1')
            for vm, data_centre in self.data_centres_by_vm.items()
            if vm not in without
        )
        for app in self.apps_by_vm.values():
            members = app.find('membership', membership.Membership)
            members.adopt_list(platform_client.VmList(self.revision, vms))

    def publish(self, upstreams=None):
        self.upstreams = upstreams or self.upstreams
        self.version += 1
        new = catalogue.Catalogue(self.version, {}, {}, self.upstreams)
        for app in self.apps_by_vm.values():
            service = app.find('configuration', configuration.Configuration)
            service.adopt(new)

    def service(self, vm):
        return self.apps_by_vm[vm].find('placement', placement.Placement)

    async def kill(self, vm):
        link = self.apps_by_vm[vm].find('peers', peers.Peers)._channel
        self.network.detach(link)
        await self.apps_by_vm[vm].abort()

    def request(self, number, prompt, **overrides):
        settings = {
            'request_id': f'r{number}',
            'account': 'parish',
            'weight': 1.0,
            'route': 'draft',
            'service_class': 'ordinary',
            'model': MODEL,
            'prompt': prompt,
            'max_tokens': 400,
            'timeout': 60.0,
            **overrides,
        }
        return placement.EngineRequest(**settings)

    async def ask(self, vm, number, prompt, pieces=None, **overrides):
        """Return the text of a request's answer, or its problem."""
        texts = []
        request = self.request(number, prompt, **overrides)
        try:
            async for piece in self.service(vm).run(request):
                texts.append(piece.text)
                if pieces is not None:
                    pieces.append(piece)
        except placement.EngineRequestError as raised:
            return raised.problem
        finally:
            assert self.failures == []
        return ''.join(texts)

    def start_request(self, vm, number, prompt, pieces=None, **overrides):
        request = self.ask(vm, number, prompt, pieces, **overrides)
        return asyncio.create_task(request)

    def home(self):
        """Return the VM that acts as home of the shard in szeged."""
        homes = [
            vm
            for vm, app in self.apps_by_vm.items()
            if not app.aborted
            and self.service(vm).shard(MODEL) is not None
            and self.service(vm).home(MODEL) == vm
        ]
        assert len(homes) == 1, homes
        return homes[0]

    def vm_other_than_home(self):
        """Return a VM that is not the home."""
        home = self.home()
        return next(vm for vm in self.apps_by_vm if vm != home)

    def held_requests(self):
        """Return the ids of all requests held by engines."""
        return [
            request
            for fake in self.engines_by_name.values()
            for request in fake.batch.requests() + fake.prefills.requests()
        ]

    def used_pieces(self):
        """Return the memory pieces in use at all engines."""
        return sum(
            fake.batch.used_pieces() for fake in self.engines_by_name.values()
        )


def three_vms(**overrides):
    return Fleet(
        [('vm1', 'szeged'), ('vm2', 'szeged'), ('vm3', 'szeged')],
        engine_pool(**overrides),
    )


def expected_answer(prompt):
    return fake_answers.answer(prompt, 400)


def run(main):
    return clock.run_virtual(main())


def engine_died():
    return engine.EngineError('died', True)


def order_accepted():
    return expression.Ok(None)
