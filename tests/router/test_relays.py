"""A large fleet follows the store through a few of its daemons."""

import asyncio

from corianderspar import clock
from corianderspar import rendezvous
from corianderspar.router import membership
from corianderspar.router import relays
from corianderspar.router import state_messages
from corianderspar.router import store_view
from tests.router import system

DAEMONS = 20


def play(main, daemons=DAEMONS):
    async def run():
        world = system.System()
        await world.start_all(daemons)
        await asyncio.sleep(6.0)
        await main(world)

    clock.run_virtual(run())


def relays_of(world):
    ranked = rendezvous.rank('store', world.apps_by_vm)
    return ranked[: relays.RELAYS_PER_DATA_CENTRE]


def ages(world):
    return [world.store_view(vm).staleness() for vm in world.apps_by_vm]


def test_changes_cost_the_calls_of_a_few_daemons():
    async def main(world):
        before = world.store.call_count
        for number in range(10):
            world.store.register(system.upstream(f'n{number}'))
            await asyncio.sleep(0.3)
            for vm in world.apps_by_vm:
                found = world.store_view(vm).upstreams_by_instance
                assert f'n{number}' in found
        world.store.remove('n3')
        await asyncio.sleep(0.3)
        for vm in world.apps_by_vm:
            assert 'n3' not in world.store_view(vm).upstreams_by_instance
        # Two daemons, a call for each change and some that time out.
        assert world.store.call_count - before <= 2 * (11 + 4)

    play(main)


def test_every_daemon_of_a_small_fleet_reads_the_store():
    async def main(world):
        for vm in world.apps_by_vm:
            before = world.store_view(vm).store_calls
            await asyncio.sleep(2 * store_view.WATCH_SECONDS)
            assert world.store_view(vm).store_calls > before

    play(main, membership.SMALL_FLEET_DAEMONS)


def test_the_proof_stays_young_enough_for_keys():
    async def main(world):
        for _ in range(60):
            await asyncio.sleep(0.1)
            assert max(ages(world)) <= store_view.STALE_SECONDS

    play(main)


def test_a_relay_that_dies_delays_a_change_by_little():
    async def main(world):
        for vm in relays_of(world):
            await world.kill(vm)
        world.store.publish(system.configuration(7))
        await asyncio.sleep(3.0)
        for vm in world.apps_by_vm:
            assert world.store_view(vm).configuration.version == 7
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert max(ages(world)) < 4.0

    play(main)


def test_a_relay_that_the_store_turns_away_is_no_hindrance():
    async def main(world):
        world.store.refused_vms.update(relays_of(world))
        await asyncio.sleep(5.0)
        world.store.publish(system.configuration(8))
        await asyncio.sleep(3.0)
        for vm in world.apps_by_vm:
            assert world.store_view(vm).configuration.version == 8
            assert world.store_view(vm).staleness() < 4.0

    play(main)


def test_a_long_configuration_is_read_from_the_store():
    async def main(world):
        routes = [
            system.route(f'r{number}', 'shop', system.model.RetryPolicy.ALWAYS)
            for number in range(600)
        ]
        config = system.configuration(9, routes)
        assert state_messages.is_large(config)
        before = world.store.call_count
        world.store.publish(config)
        await asyncio.sleep(0.5)
        for vm in world.apps_by_vm:
            assert world.store_view(vm).configuration.version == 9
        assert world.store.call_count - before >= DAEMONS - 2

    play(main)


def test_a_daemon_turned_away_gets_a_long_configuration_from_peers():
    async def main(world):
        away = next(v for v in world.apps_by_vm if v not in relays_of(world))
        world.store.refused_vms.add(away)
        routes = [
            system.route(f'r{number}', 'shop', system.model.RetryPolicy.ALWAYS)
            for number in range(600)
        ]
        world.store.publish(system.configuration(9, routes))
        await asyncio.sleep(2.0)
        assert world.store_view(away).configuration.version == 9

    play(main)


def test_lapses_beside_an_outage_are_kept_by_followers_too():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(4.0)
        world.store.remove('s1')
        world.store.remove('s2')
        world.store.down = False
        await asyncio.sleep(0.8)
        world.store.register(system.upstream('s1'))
        for vm in world.apps_by_vm:
            assert 's1' in world.store_view(vm).upstreams_by_instance
        await asyncio.sleep(4.0)
        for vm in world.apps_by_vm:
            held = world.store_view(vm).upstreams_by_instance
            assert 's1' in held and 's2' not in held

    play(main)


def test_an_outage_of_the_store_costs_few_calls():
    async def main(world):
        before = world.store.call_count
        world.store.down = True
        await asyncio.sleep(10.0)
        # Two relays at four a second, all others at less than one.
        assert world.store.call_count - before < 2 * 40 + 18 * 10
        assert min(ages(world)) > 9.0
        world.store.down = False
        await asyncio.sleep(2.0)
        assert max(ages(world)) < store_view.STALE_SECONDS

    play(main)
