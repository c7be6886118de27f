"""A state machine that injects faults and checks that no limit is exceeded."""

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
DATA_CENTRES_BY_VM = {
    'a1': 'szeged',
    'a2': 'szeged',
    'a3': 'szeged',
    'b1': 'baja',
    'b2': 'baja',
}
INITIAL_VMS = {'a1': 'szeged', 'a2': 'szeged', 'b1': 'baja'}
vms = strategies.sampled_from(sorted(DATA_CENTRES_BY_VM))
groups = strategies.sets(vms, max_size=3)


def catalogue_of(version, share):
    shares = {'szeged': share, 'baja': 1 - share}
    account = limit_trials.account(RATE, BURST, shares)
    return limit_trials.whole(version, {'club': account})


class LimitMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=clock.VirtualLoop)
        self.version = 1
        self.run(self.start_fleet())

    def run(self, coroutine):
        return self.runner.run(coroutine)

    async def start_fleet(self):
        self.trial = limit_trials.Trial(1, BOUNDS)
        self.fleet = self.trial.fleet
        self.fleet.list_vms(INITIAL_VMS)
        self.fleet.publish(catalogue_of(1, 0.5))
        await self.fleet.start_all()
        await asyncio.sleep(35)
        await self.trial.drain('club')

    async def advance(self, seconds):
        for _ in range(int(seconds * 4)):
            await asyncio.sleep(0.25)
            await self.trial.drain('club')

    @stateful.rule(vm=vms, tokens=strategies.sampled_from([10, 50]))
    def request(self, vm, tokens):
        self.run(self.trial.call(vm, 'club', tokens, tokens / 2, 1.0))

    @stateful.rule(seconds=strategies.sampled_from([2, 8, 16]))
    def advance_time(self, seconds):
        self.run(self.advance(seconds))

    @stateful.rule(vm=vms)
    def isolate_and_remove(self, vm):
        self.fleet.network.partition({vm})
        self.fleet.platform.cut_readers = {vm}
        self.remove_from_list(vm)
        self.run(self.advance(3))

    @stateful.rule(vm=vms, share=strategies.sampled_from([0.1, 0.9]))
    def isolate_and_publish(self, vm, share):
        self.fleet.network.partition({vm})
        self.fleet.platform.cut_readers = {vm}
        self.publish(share)
        self.run(self.advance(8))

    @stateful.rule(vm=vms)
    def isolate_and_restart_others(self, vm):
        self.isolate_and_remove(vm)
        self.run(self.restart_others(vm))

    async def restart_others(self, vm):
        for other in list(self.fleet.apps_by_vm):
            if (
                other != vm
                and DATA_CENTRES_BY_VM[other] == DATA_CENTRES_BY_VM[vm]
            ):
                await self.fleet.kill(other)
                if other in self.fleet.places_by_vm:
                    await self.fleet.start(other)
        await self.advance(12)

    @stateful.rule()
    def restore(self):
        self.fleet.network.heal()
        self.fleet.platform.cut_readers = set()
        for vm in self.fleet.apps_by_vm:
            self.fleet.resume(vm)
        self.run(self.list_vms({**self.fleet.places_by_vm, **INITIAL_VMS}))
        self.run(self.start_all())

    async def start_all(self):
        await self.fleet.start_all()
        await self.advance(16)

    @stateful.rule(vm=vms)
    def kill(self, vm):
        if vm in self.fleet.apps_by_vm:
            self.run(self.fleet.kill(vm))

    @stateful.rule(vm=vms)
    def stop(self, vm):
        running = vm in self.fleet.apps_by_vm
        if running and not self.fleet.clocks_by_vm[vm].is_paused:
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
    def partition(self, group):
        self.fleet.network.partition(group)

    @stateful.rule()
    def heal(self):
        self.fleet.network.heal()

    @stateful.rule(readers=groups)
    def disconnect_from_platform(self, readers):
        self.fleet.platform.cut_readers = readers

    @stateful.rule(lag=strategies.sampled_from([0.0, 1.0, 3.0]))
    def set_list_lag(self, lag):
        self.fleet.platform.list_lag = lag

    @stateful.rule(vm=vms)
    def add_to_list(self, vm):
        listed = {**self.fleet.places_by_vm, vm: DATA_CENTRES_BY_VM[vm]}
        self.run(self.list_vms(listed))

    @stateful.rule(vm=vms)
    def remove_from_list(self, vm):
        listed = dict(self.fleet.places_by_vm)
        data_centre = listed.pop(vm, None)
        # The limits are not guaranteed when all VMs of a data centre leave the
        # list at once while they run, so the rule leaves that out.
        if data_centre in listed.values() or vm not in self.fleet.apps_by_vm:
            self.run(self.list_vms(listed))

    async def list_vms(self, listed):
        self.fleet.list_vms(listed)

    @stateful.rule(share=strategies.sampled_from([0.1, 0.5, 0.9]))
    def publish(self, share):
        self.version += 1
        self.run(self.publish_version(share))

    async def publish_version(self, share):
        self.fleet.publish(catalogue_of(self.version, share))

    @stateful.invariant()
    def some_time_passes(self):
        self.run(self.advance(0.5))

    @stateful.invariant()
    def no_limit_is_exceeded(self):
        tally = self.trial.tally('club')
        assert tally.overrun(RATE, BURST) == 0
        assert self.fleet.failures == []

    def teardown(self):
        self.run(self.advance(4))
        self.no_limit_is_exceeded()
        self.run(self.trial.close())
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
