"""A store that returns from an older copy of its data."""

import asyncio
import random

from expression import Error
from expression import Ok
import pytest

from corianderspar import clock
from corianderspar.router import store
from corianderspar.router import store_view
from corianderspar.router import verification
from tests.router import system
from tests.router import test_relays

SETTLED_SECONDS = 5.0  # after a return, with the repair of all that was lost


def run_fleet(main, daemons=3, **bounds):
    async def run():
        fleet = system.System()
        await fleet.start_all(daemons, **bounds)
        await asyncio.sleep(6.0)
        await main(fleet)

    clock.run_virtual(run())


async def return_from_copy(fleet, age, away=0.5):
    """Take the store away for a moment; return what its copy lacks."""
    fleet.store.down = True
    await asyncio.sleep(away)
    lost = fleet.store.return_from_copy(age + away)
    fleet.store.down = False
    return lost


def versions(fleet):
    return {
        fleet.store_view(vm).configuration.version for vm in fleet.apps_by_vm
    }


def ready(fleet, vm, service='shop'):
    return {u.instance for u in fleet.store_view(vm).ready_upstreams(service)}


def all_ready(fleet, service='shop'):
    return [ready(fleet, vm, service) for vm in fleet.apps_by_vm]


@pytest.mark.parametrize('daemons', [3, test_relays.DAEMONS])
def test_configuration_at_a_lower_revision_is_followed(daemons):
    async def main(fleet):
        for number in range(10):
            fleet.store.remove(f'x{number}')
        await asyncio.sleep(1.0)
        await return_from_copy(fleet, 2.0)
        await asyncio.sleep(1.0)
        fleet.store.publish(system.configuration(7))
        await asyncio.sleep(0.5)
        assert versions(fleet) == {7}

    run_fleet(main, daemons)


@pytest.mark.parametrize('daemons', [3, test_relays.DAEMONS])
def test_upstream_that_the_copy_lacked_serves_once_it_registers(daemons):
    async def main(fleet):
        for number in range(10):
            fleet.store.remove(f'x{number}')
        fleet.store.register(system.upstream('s9'))
        await asyncio.sleep(1.0)
        await return_from_copy(fleet, 2.0)
        await asyncio.sleep(SETTLED_SECONDS)
        assert all('s9' not in found for found in all_ready(fleet))
        fleet.store.register(system.upstream('s9'))
        await asyncio.sleep(0.5)
        assert all('s9' in found for found in all_ready(fleet))

    run_fleet(main, daemons)


@pytest.mark.parametrize('daemons', [3, test_relays.DAEMONS])
def test_upstream_registered_after_a_second_return_serves(daemons):
    async def main(fleet):
        for number in range(10):
            fleet.store.remove(f'x{number}')
        await asyncio.sleep(1.0)
        await return_from_copy(fleet, 2.0)
        await asyncio.sleep(0.2)
        await return_from_copy(fleet, 4.0, away=0.2)
        fleet.store.register(system.upstream('s9'))
        await asyncio.sleep(1.5)
        assert all('s9' in found for found in all_ready(fleet))

    run_fleet(main, daemons)


def test_watch_across_the_return_misses_nothing():
    # The copy is at a lower revision, which new changes pass before the
    # daemon's next call.
    async def main(fleet):
        fleet.store.remove('s1')
        await asyncio.sleep(0.5)
        fleet.store.return_from_copy(1.0)
        for number in range(20):
            fleet.store.register(system.upstream(f'n{number}'))
        await asyncio.sleep(1.0)
        expected = {f'n{number}' for number in range(20)}
        assert all(expected <= found for found in all_ready(fleet))

    run_fleet(main)


def test_live_upstream_that_the_copy_lacks_keeps_serving():
    async def main(fleet):
        fleet.store.register(system.upstream('s9'))
        await asyncio.sleep(0.5)
        lost = await return_from_copy(fleet, 1.0)
        for _ in range(19):
            await asyncio.sleep(0.1)
            assert all('s9' in found for found in all_ready(fleet))
        fleet.store.write_again(lost[-1])
        for _ in range(40):
            await asyncio.sleep(0.1)
            assert all('s9' in found for found in all_ready(fleet))

    run_fleet(main, test_relays.DAEMONS)


def test_upstream_that_does_not_register_again_is_gone():
    async def main(fleet):
        fleet.store.register(system.upstream('s9'))
        await asyncio.sleep(0.5)
        await return_from_copy(fleet, 1.0)
        await asyncio.sleep(3.0)
        assert all('s9' not in found for found in all_ready(fleet))

    run_fleet(main, test_relays.DAEMONS)


@pytest.mark.parametrize('daemons', [3, test_relays.DAEMONS])
def test_leaving_upstream_gets_nothing_though_the_copy_shows_it_active(
    daemons,
):
    async def main(fleet):
        leaving = system.upstream('s1')._replace(ready=False)
        fleet.store.register(leaving)
        await asyncio.sleep(0.5)
        await return_from_copy(fleet, 1.0)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert all('s1' not in found for found in all_ready(fleet))

    run_fleet(main, daemons)


def test_version_in_force_does_not_go_back():
    async def main(fleet):
        fleet.store.publish(system.configuration(7))
        await asyncio.sleep(0.5)
        await return_from_copy(fleet, 1.0)
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert versions(fleet) == {7}
        assert fleet.events('vm1', 'configuration.older')
        fleet.store.publish(system.configuration(8))
        await asyncio.sleep(0.2)
        assert versions(fleet) == {8}

    run_fleet(main)


@pytest.mark.parametrize('daemons', [3, test_relays.DAEMONS])
def test_same_version_written_again_with_other_content_is_followed(daemons):
    async def main(fleet):
        fleet.store.publish(system.configuration(7))
        await asyncio.sleep(0.5)
        await return_from_copy(fleet, 1.0)
        await asyncio.sleep(0.5)
        other = system.configuration(7, keys_by_account={'parish': ('k9',)})
        fleet.store.publish(other)
        await asyncio.sleep(1.0)
        for vm in fleet.apps_by_vm:
            assert fleet.store_view(vm).configuration == other
        assert fleet.events('vm1', 'configuration.replaced')

    run_fleet(main, daemons)


@pytest.mark.parametrize('daemons', [3, test_relays.DAEMONS])
def test_daemon_started_after_the_return_gets_the_version_of_its_peers(
    daemons,
):
    async def main(fleet):
        fleet.store.publish(system.configuration(7))
        await asyncio.sleep(0.5)
        await return_from_copy(fleet, 1.0)
        await fleet.start('late')
        await asyncio.sleep(3.0)
        assert fleet.store_view('late').configuration.version == 7

    run_fleet(main, daemons)


@pytest.mark.parametrize('daemons', [3, test_relays.DAEMONS])
def test_withdrawn_key_that_nobody_read_stops_working_in_time(daemons):
    # Acknowledged just before the store is lost, and read by no daemon.
    async def main(fleet):
        withdrawn = system.configuration(7, keys_by_account={'a': ('k9',)})
        fleet.store.down = True
        fleet.store.publish(withdrawn)
        acknowledged = asyncio.get_running_loop().time()
        lost = await return_from_copy(fleet, 0.1)
        await asyncio.sleep(1.9)
        fleet.store.write_again(lost[-1])
        accepted_at = acknowledged
        for _ in range(80):
            await asyncio.sleep(0.1)
            exchange = await fleet.request('vm2', '/look/1')
            now = asyncio.get_running_loop().time()
            if exchange.status == 200:
                accepted_at = now
        assert accepted_at - acknowledged < 5.0
        assert versions(fleet) == {7}

    run_fleet(main, daemons)


def test_state_is_not_verified_before_the_operator_could_write_again():
    async def main(fleet):
        await return_from_copy(fleet, 1.0)
        returned = asyncio.get_running_loop().time()
        await asyncio.sleep(1.5)
        for vm in fleet.apps_by_vm:
            assert fleet.store_view(vm).verified_at < returned
        await asyncio.sleep(1.2)
        for vm in fleet.apps_by_vm:
            verified_at = fleet.store_view(vm).verified_at
            assert verified_at >= returned + verification.REWRITE_SECONDS

    run_fleet(main)


def test_short_return_refuses_no_keys():
    async def main(fleet):
        await return_from_copy(fleet, 3.0, away=0.4)
        for _ in range(60):
            await asyncio.sleep(0.1)
            assert max(test_relays.staleness(fleet)) < 4.7

    run_fleet(main, test_relays.DAEMONS)


def test_relays_alone_read_the_store_after_the_return():
    async def main(fleet):
        before = fleet.store.call_count
        await return_from_copy(fleet, 2.0, away=0.4)
        await asyncio.sleep(SETTLED_SECONDS)
        # Two relays: calls while the store is away, the new state, and the
        # long polls since; the others none.
        assert fleet.store.call_count - before <= 2 * 14
        for vm in fleet.apps_by_vm:
            assert fleet.store_view(vm).position.era == 2

    run_fleet(main, test_relays.DAEMONS)


def test_relay_that_the_store_turns_away_does_not_hold_an_older_era():
    async def main(fleet):
        for number in range(10):
            fleet.store.remove(f'x{number}')
        await asyncio.sleep(0.5)
        fleet.store.refused_vms.add(test_relays.relay_vms(fleet)[0])
        await return_from_copy(fleet, 2.0)
        await asyncio.sleep(2.0)
        fleet.store.register(system.upstream('s9'))
        await asyncio.sleep(2.5)
        assert all('s9' in found for found in all_ready(fleet))

    run_fleet(main, test_relays.DAEMONS)


def test_daemons_killed_during_the_return_start_from_the_copy():
    async def main(fleet):
        fleet.store.publish(system.configuration(7))
        await asyncio.sleep(0.5)
        for vm in list(fleet.apps_by_vm):
            await fleet.kill(vm)
        lost = await return_from_copy(fleet, 1.0)
        await fleet.start_all(3)
        await asyncio.sleep(0.5)
        assert versions(fleet) == {1}
        fleet.store.write_again(lost[-1])
        await asyncio.sleep(0.5)
        assert versions(fleet) == {7}

    run_fleet(main)


def test_answer_behind_the_known_position_is_logged_and_not_believed():
    async def main(fleet):
        fleet.store.publish(system.configuration(7))
        await asyncio.sleep(0.5)
        client = fleet.store_view('vm1')._client

        async def answer_behind(_revision, _wait, _on_progress):
            return store_view.Result.Ok(store.Changes(1, (), 1))

        client.watch = answer_behind
        await asyncio.sleep(6.0)
        assert fleet.events('vm1', 'store.behind')
        assert fleet.store_view('vm1').position.revision > 1

    run_fleet(main)


def lose_without_an_era(fleet):
    fleet.store.return_from_copy(0.7)
    fleet.store.era -= 1


def answer_once(fleet, answer):
    """Give a wrong answer to the first call of a watch."""
    watches_by_vm = {
        vm: fleet.store_view(vm)._client.watch for vm in fleet.apps_by_vm
    }

    async def answer_wrong(*_arguments):
        for vm, watch in watches_by_vm.items():
            fleet.store_view(vm)._client.watch = watch
        return answer

    for vm in watches_by_vm:
        fleet.store_view(vm)._client.watch = answer_wrong


def state_wrong_revision(fleet):
    changes = store.Changes(1_000_000, (), fleet.store.era)
    answer_once(fleet, Ok(changes))


def state_wrong_era(fleet):
    answer_once(fleet, Error(store.StoreError('refused', era=9)))


@pytest.mark.parametrize('daemons', [3, 30])
@pytest.mark.parametrize(
    'trouble', [lose_without_an_era, state_wrong_revision, state_wrong_era]
)
def test_store_that_stays_behind_is_followed_again(trouble, daemons):
    """Guards against daemons that refuse each answer for ever."""

    async def main(fleet):
        fleet.store.publish(
            system.configuration(5, keys_by_account={'parish': ('k5',)})
        )
        for number in range(20):
            fleet.store.register(system.upstream(f'lost{number}'))
        await asyncio.sleep(0.5)
        trouble(fleet)
        seen = set()
        for _ in range(200):
            await asyncio.sleep(0.1)
            seen |= set(versions(fleet))
        assert min(seen) >= 5  # no withdrawn key comes back
        fleet.store.publish(
            system.configuration(6, keys_by_account={'parish': ('k6',)})
        )
        fleet.store.register(system.upstream('s9'))
        await asyncio.sleep(3.0)
        for vm in fleet.apps_by_vm:
            view = fleet.store_view(vm)
            assert view.configuration.version == 6
            assert 's9' in view.upstreams_by_instance
            assert fleet.edge(vm).is_ready
        assert (await fleet.request('vm1', '/look/x', 'k5')).status == 401
        assert (await fleet.request('vm1', '/look/x', 'k6')).status == 200
        calls = fleet.store.call_count
        await asyncio.sleep(10.0)
        assert fleet.store.call_count - calls <= 3 * 10.0

    run_fleet(main, daemons)


class History:
    """A random history of writes, returns, cuts and restarts.

    It keeps a model of what the operator and the upstreams have written.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.version = 1
        self.alive = {'s1', 's2'}
        self.leaving = set()
        self.next_number = 0
        self.highest_by_vm = {}

    async def play(self, steps):
        actions = (
            self.publish,
            self.register,
            self.leave,
            self.end,
            self.return_from_copy,
            self.turn_away,
            self.restart,
        )
        for _ in range(steps):
            await self.rng.choice(actions)()
            await self.wait(self.rng.choice((0.05, 0.3, 1.0, 2.5)))
        self.fleet.store.refused_vms.clear()
        await self.wait(10.0)

    async def wait(self, seconds):
        """Wait and check what must hold at any time."""
        for _ in range(max(round(seconds / 0.05), 1)):
            await asyncio.sleep(0.05)
            for vm, app in self.fleet.apps_by_vm.items():
                view = self.fleet.store_view(vm)
                if view.configuration is None:
                    continue
                key = vm, app.incarnation
                version = view.configuration.version
                assert version >= self.highest_by_vm.get(key, 0)
                self.highest_by_vm[key] = version

    async def publish(self):
        self.version += self.rng.randint(1, 3)
        self.fleet.store.publish(system.configuration(self.version))

    async def register(self):
        name = f'n{self.next_number}'
        self.next_number += 1
        self.alive.add(name)
        self.fleet.store.register(system.upstream(name))

    async def leave(self):
        staying = sorted(self.alive - self.leaving)
        if len(staying) > 1:
            name = self.rng.choice(staying)
            self.leaving.add(name)
            self.fleet.store.register(
                system.upstream(name)._replace(ready=False)
            )

    async def end(self):
        if len(self.alive) > 1:
            name = self.rng.choice(sorted(self.alive))
            self.alive.discard(name)
            self.fleet.store.remove(name)

    async def return_from_copy(self):
        lost = await return_from_copy(
            self.fleet, self.rng.choice((0.2, 1.0, 4.0)), away=0.2
        )
        await self.wait(self.rng.choice((0.05, 0.5, 1.5)))
        for name in {change.instance for change in lost if change.instance}:
            if name in self.alive:
                ready = name not in self.leaving
                self.fleet.store.register(
                    system.upstream(name)._replace(ready=ready)
                )
            else:
                # The store removes it as nobody renews it.
                self.fleet.store.remove(name)
        if any(change.configuration for change in lost):
            self.fleet.store.publish(system.configuration(self.version))

    async def turn_away(self):
        refused = self.fleet.store.refused_vms
        refused.clear()
        refused.add(self.rng.choice(sorted(self.fleet.apps_by_vm)))

    async def restart(self):
        vm = self.rng.choice(sorted(self.fleet.apps_by_vm))
        await self.fleet.kill(vm)
        await self.fleet.start(vm, seeds=('vm1:1', 'vm2:1', 'vm3:1'))


@pytest.mark.parametrize('daemons', [3, 15])
@pytest.mark.parametrize('seed', range(12))
def test_random_histories_end_in_the_state_that_was_written(seed, daemons):
    async def main(fleet):
        history = History(fleet, seed)
        await history.play(12)
        expected = history.alive - history.leaving
        for vm in fleet.apps_by_vm:
            assert ready(fleet, vm) == expected, vm
            view = fleet.store_view(vm)
            assert view.configuration.version == history.version
            assert view.staleness() < store_view.STALE_SECONDS

    run_fleet(main, daemons)
