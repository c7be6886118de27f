import asyncio

from corianderspar import clock
from corianderspar.router import store_view
from tests.router import system


def play(main):
    async def run():
        world = system.System()
        await world.start_all(3)
        await asyncio.sleep(3.0)
        await main(world)

    clock.run_virtual(run())


def test_a_change_is_known_everywhere_at_once():
    async def main(world):
        world.store.publish(system.configuration(7))
        await asyncio.sleep(0.05)
        for vm in world.apps_by_vm:
            assert world.store_view(vm).configuration.version == 7

    play(main)


def test_versions_never_go_back():
    async def main(world):
        world.store.publish(system.configuration(7))
        await asyncio.sleep(0.1)
        world.store.publish(system.configuration(6))
        await asyncio.sleep(0.1)
        assert world.store_view('vm1').configuration.version == 7

    play(main)


def test_the_proof_is_never_older_than_two_waits():
    async def main(world):
        for _ in range(100):
            await asyncio.sleep(0.1)
            age = world.store_view('vm1').staleness()
            assert 0.0 <= age <= 2 * store_view.WATCH_SECONDS

    play(main)


def test_a_daemon_that_the_store_turns_away_lives_on_its_peers():
    async def main(world):
        world.store.refused_vms.add('vm2')
        await asyncio.sleep(10.0)
        world.store.publish(system.configuration(9))
        world.store.remove('s1')
        await asyncio.sleep(2.0)
        held = world.store_view('vm2')
        assert held.configuration.version == 9
        assert 's1' not in held.upstreams_by_instance
        assert held.staleness() < 3.0
        world.store.refused_vms.clear()
        await asyncio.sleep(2.0)
        assert world.events('vm2', 'store.regained')

    play(main)


def test_without_the_store_the_proof_grows_old():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(6.0)
        ages = [world.store_view(vm).staleness() for vm in world.apps_by_vm]
        assert min(ages) > 5.0
        assert world.events('vm1', 'store.lost')

    play(main)


def test_a_peers_word_is_no_younger_than_the_peers_own_proof():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(4.0)
        world.network.latency = 0.3
        before = min(
            world.store_view(vm).verified_at for vm in world.apps_by_vm
        )
        newest = max(
            world.store_view(vm).verified_at for vm in world.apps_by_vm
        )
        await asyncio.sleep(3.0)
        for vm in world.apps_by_vm:
            assert before <= world.store_view(vm).verified_at <= newest

    play(main)


def test_forgotten_history_is_read_anew():
    async def main(world):
        world.store.remove('s2')
        world.store.compact()
        await asyncio.sleep(2.0)
        assert 's2' not in world.store_view('vm1').upstreams_by_instance
        world.store.register(system.upstream('s9'))
        await asyncio.sleep(0.1)
        assert 's9' in world.store_view('vm1').upstreams_by_instance

    play(main)


def test_an_upstream_that_leaves_is_dropped_at_once():
    async def main(world):
        world.store.remove('s1')
        await asyncio.sleep(0.05)
        assert 's1' not in world.store_view('vm1').upstreams_by_instance

    play(main)


def test_upstreams_that_lapse_beside_an_outage_are_kept_for_a_while():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(4.0)
        world.store.remove('s1')
        world.store.remove('s2')
        world.store.down = False
        await asyncio.sleep(1.0)
        held = world.store_view('vm1').upstreams_by_instance
        assert 's1' in held and 's2' in held
        world.store.register(system.upstream('s1'))
        await asyncio.sleep(2.5)
        assert 's1' in held and 's2' not in held

    play(main)


def test_a_daemon_that_starts_while_the_store_is_down_asks_its_peers():
    async def main(world):
        world.store.down = True
        await world.start('vm4')
        await asyncio.sleep(2.0)
        held = world.store_view('vm4')
        assert held.configuration.version == 1
        assert len(held.upstreams_by_instance) == len(system.UPSTREAMS)

    play(main)
