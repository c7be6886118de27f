"""A few daemons and in-memory engines on virtual time, for tests."""

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
from corianderspar import platform_seam as platform

MODEL = 'blurb'


def upstream(name, role, place='szeged', **more):
    settings = {'slots': 8, 'pieces': 64, 'link_rate': 1e11, **more}
    return catalogue.Upstream(
        place, f'{name}:1', 'engine', MODEL, role, **settings
    )


def engine_pool(place='szeged', prefills=2, decodes=2, **more):
    names = [(f'{place}-p{n}', 'prefill') for n in range(prefills)]
    names += [(f'{place}-d{n}', 'decode') for n in range(decodes)]
    return {name: upstream(name, role, place, **more) for name, role in names}


class Fleet:
    """Applications by VM; engines by name; all faults are methods."""

    def __init__(self, vms, upstreams, seed=1):
        self.data_centres_by_vm = dict(vms)
        self.upstreams = upstreams
        self.seed = seed
        self.network = channel.MemoryNetwork(random.Random(seed))
        self.engine_network = fake_engine.FakeNetwork()
        engine_clock = clock.VirtualClock()
        self.engines = {
            name: fake_engine.FakeEngine(
                engine_clock,
                random.Random(seed),
                name,
                entry,
                self.engine_network,
            )
            for name, entry in upstreams.items()
        }
        self.apps = {}
        self.clocks = {}
        self.revision = 0
        self.version = 0
        self.starts = 0
        self.failures = []

    async def start(self):
        for vm in self.data_centres_by_vm:
            await self.boot(vm)
        await asyncio.sleep(2.5)
        return self

    async def boot(self, vm):
        self.starts += 1
        vm_clock = clock.VirtualClock()
        place = self.data_centres_by_vm[vm]
        app = kernel.Application(
            kernel.Identity(vm, place, 'r1'),
            vm_clock,
            random.Random(self.seed * 100 + self.starts),
        )
        link = channel.MemoryChannel(self.network, vm, f'{vm}:1', vm_clock)
        app.add(peers.Peers(link))
        app.add(membership.Membership(f'{vm}:1'))
        app.add(configuration.Configuration())
        app.add(
            placement.Placement(
                lambda name, _entry: fake_system.HeldEngine(
                    self.engines[name], vm_clock
                )
            )
        )
        app.on_failure.append(self.failures.append)
        self.apps[vm] = app
        self.clocks[vm] = vm_clock
        await app.start()
        self.list_vms()
        self.publish()

    def list_vms(self, without=()):
        self.revision += 1
        vms = tuple(
            platform.ListedVm(vm, place, 'r1', f'{vm}:1')
            for vm, place in self.data_centres_by_vm.items()
            if vm not in without
        )
        for app in self.apps.values():
            view = app.find('membership', membership.Membership)
            view.adopt_list(platform.VmList(self.revision, vms))

    def publish(self, upstreams=None):
        self.upstreams = upstreams or self.upstreams
        self.version += 1
        found = catalogue.Catalogue(self.version, {}, {}, self.upstreams)
        for app in self.apps.values():
            service = app.find('configuration', configuration.Configuration)
            service.adopt(found)

    def service(self, vm):
        return self.apps[vm].find('placement', placement.Placement)

    async def kill(self, vm):
        link = self.apps[vm].find('peers', peers.Peers)._channel
        self.network.detach(link)
        await self.apps[vm].abort()

    def request(self, number, prompt, **more):
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
            **more,
        }
        return placement.EngineRequest(**settings)

    async def ask(self, vm, number, prompt, pieces=None, **more):
        """Return the answer's text, or the problem."""
        texts = []
        request = self.request(number, prompt, **more)
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

    def start_request(self, vm, number, prompt, pieces=None, **more):
        work = self.ask(vm, number, prompt, pieces, **more)
        return asyncio.create_task(work)

    def home(self):
        """Return the VM that acts as home of the shard in szeged."""
        found = [
            vm
            for vm, app in self.apps.items()
            if not app.aborted
            and self.service(vm).shard(MODEL) is not None
            and self.service(vm).home(MODEL) == vm
        ]
        assert len(found) == 1, found
        return found[0]

    def vm_other_than_home(self):
        """Return a VM that is not the home."""
        home = self.home()
        return next(vm for vm in self.apps if vm != home)

    def held_requests(self):
        """Return the ids of all requests that engines hold."""
        return [
            request
            for one in self.engines.values()
            for request in one.batch.requests() + one.prefills.requests()
        ]

    def used_pieces(self):
        """Return the memory pieces in use at all engines."""
        return sum(one.batch.used_pieces() for one in self.engines.values())


def three_vms(**more):
    return Fleet(
        [('vm1', 'szeged'), ('vm2', 'szeged'), ('vm3', 'szeged')],
        engine_pool(**more),
    )


def expected_answer(prompt):
    return fake_answers.answer(prompt, 400)


def run(main):
    return clock.run_virtual(main())


def engine_died():
    return engine.EngineError('died', True)


def order_accepted():
    return expression.Ok(None)
