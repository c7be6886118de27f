"""A state machine that hurts a fleet and looks for one token too many."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderspar import clock
from corianderspar import lease_tiers
from corianderspar import limit_trials

BOUNDS = lease_tiers.TimingBounds(
    list_lag=3.0, lease=4.0, long_lease=9.0, loan=0.5, pause=2.5
)
RATE = 100.0
BURST = 50.0
PLACES = {
    'a1': 'szeged',
    'a2': 'szeged',
    'a3': 'szeged',
    'b1': 'baja',
    'b2': 'baja',
}
START = {'a1': 'szeged', 'a2': 'szeged', 'b1': 'baja'}
vms = strategies.sampled_from(sorted(PLACES))
groups = strategies.sets(vms, max_size=3)


def whole(version, share):
    shares = {'szeged': share, 'baja': 1 - share}
    account = limit_trials.account(RATE, BURST, shares)
    return limit_trials.whole(version, {'club': account})


class LimitMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=clock.VirtualLoop)
        self.version = 1
        self.run(self.begin())

    def run(self, work):
        return self.runner.run(work)

    async def begin(self):
        self.made = limit_trials.Trial(1, BOUNDS)
        self.fleet = self.made.fleet
        self.fleet.list_vms(START)
        self.fleet.publish(whole(1, 0.5))
        await self.fleet.start_all()
        await asyncio.sleep(35)
        await self.made.drain('club')

    async def advance(self, seconds):
        for _ in range(int(seconds * 4)):
            await asyncio.sleep(0.25)
            await self.made.drain('club')

    @stateful.rule(vm=vms, tokens=strategies.sampled_from([10, 50]))
    def borrow(self, vm, tokens):
        self.run(self.made.call(vm, 'club', tokens, tokens / 2, 1.0))

    @stateful.rule(seconds=strategies.sampled_from([2, 8, 16]))
    def pass_time(self, seconds):
        self.run(self.advance(seconds))

    @stateful.rule(vm=vms)
    def isolate_and_drop(self, vm):
        self.fleet.network.partition({vm})
        self.fleet.platform.cut_readers = {vm}
        self.drop(vm)
        self.run(self.advance(3))

    @stateful.rule(vm=vms, share=strategies.sampled_from([0.1, 0.9]))
    def isolate_and_publish(self, vm, share):
        self.fleet.network.partition({vm})
        self.fleet.platform.cut_readers = {vm}
        self.publish(share)
        self.run(self.advance(8))

    @stateful.rule(vm=vms)
    def isolate_and_restart_others(self, vm):
        self.isolate_and_drop(vm)
        self.run(self.restart_others(vm))

    async def restart_others(self, vm):
        for other in list(self.fleet.apps_by_vm):
            if other != vm and PLACES[other] == PLACES[vm]:
                await self.fleet.kill(other)
                if other in self.fleet.places_by_vm:
                    await self.fleet.start(other)
        await self.advance(12)

    @stateful.rule()
    def mend(self):
        self.fleet.network.heal()
        self.fleet.platform.cut_readers = set()
        for vm in self.fleet.apps_by_vm:
            self.fleet.resume(vm)
        self.run(self.list_vms({**self.fleet.places_by_vm, **START}))
        self.run(self.mended())

    async def mended(self):
        await self.fleet.start_all()
        await self.advance(16)

    @stateful.rule(vm=vms)
    def kill(self, vm):
        if vm in self.fleet.apps_by_vm:
            self.run(self.fleet.kill(vm))

    @stateful.rule(vm=vms)
    def stop(self, vm):
        running = vm in self.fleet.apps_by_vm
        if running and not self.fleet.clocks_by_vm[vm].paused:
            self.run(self.fleet.stop(vm))

    @stateful.rule(vm=vms)
    def start(self, vm):
        if vm not in self.fleet.apps_by_vm and vm in self.fleet.places_by_vm:
            self.run(self.fleet.start(vm))

    @stateful.rule(vm=vms)
    def pause(self, vm):
        if vm in self.fleet.apps_by_vm:
            self.fleet.pause(vm)

    @stateful.rule(vm=vms)
    def resume(self, vm):
        if vm in self.fleet.apps_by_vm:
            self.fleet.resume(vm)

    @stateful.rule(group=groups)
    def part(self, group):
        self.fleet.network.partition(group)

    @stateful.rule()
    def heal(self):
        self.fleet.network.heal()

    @stateful.rule(readers=groups)
    def cut_platform(self, readers):
        self.fleet.platform.cut_readers = readers

    @stateful.rule(lag=strategies.sampled_from([0.0, 1.0, 3.0]))
    def lag(self, lag):
        self.fleet.platform.list_lag = lag

    @stateful.rule(vm=vms)
    def add(self, vm):
        listed = {**self.fleet.places_by_vm, vm: PLACES[vm]}
        self.run(self.list_vms(listed))

    @stateful.rule(vm=vms)
    def drop(self, vm):
        listed = dict(self.fleet.places_by_vm)
        place = listed.pop(vm, None)
        # A data centre that loses all its VMs at once, while they run, is
        # outside what the design note promises.
        if place in listed.values() or vm not in self.fleet.apps_by_vm:
            self.run(self.list_vms(listed))

    async def list_vms(self, listed):
        self.fleet.list_vms(listed)

    @stateful.rule(share=strategies.sampled_from([0.1, 0.5, 0.9]))
    def publish(self, share):
        self.version += 1
        self.run(self.publish_next(share))

    async def publish_next(self, share):
        self.fleet.publish(whole(self.version, share))

    @stateful.invariant()
    def time_passes(self):
        self.run(self.advance(0.5))

    @stateful.invariant()
    def nothing_overruns(self):
        tally = self.made.tally('club')
        assert tally.overrun(RATE, BURST) == 0
        assert self.fleet.failures == []

    def teardown(self):
        self.run(self.advance(4))
        self.nothing_overruns()
        self.run(self.made.close())
        self.runner.close()


TestLimits = LimitMachine.TestCase
TestLimits.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
