import asyncio

from corianderspar import clock
from corianderspar import peers
from corianderspar.router import membership
from tests.router import system


def test_daemons_find_each_other_through_one_seed():
    async def main():
        world = system.System()
        await world.start_all(6)
        await asyncio.sleep(3.0)
        for vm in world.apps_by_vm:
            assert len(world.membership(vm).live()) == 6

    clock.run_virtual(main())


def test_a_seed_that_is_down_at_first_is_found_later():
    async def main():
        world = system.System()
        await world.start('vm2')
        await world.start('vm3')
        await asyncio.sleep(3.0)
        assert world.membership('vm2').live() == ['vm2']
        await world.start('vm1')
        await asyncio.sleep(3.0)
        assert world.membership('vm2').live() == ['vm1', 'vm2', 'vm3']

    clock.run_virtual(main())


def test_a_killed_daemon_is_silent_and_its_next_run_is_heard():
    async def main():
        world = system.System()
        await world.start_all(3)
        await asyncio.sleep(3.0)
        ended = []
        world.membership('vm1').on_ended.append(ended.append)
        old = str(world.apps_by_vm['vm3'].incarnation)
        await world.kill('vm3')
        await asyncio.sleep(2.0)
        assert world.membership('vm1').live() == ['vm1', 'vm2']
        assert world.membership('vm1').live_share() == 2 / 3
        await world.start('vm3')
        await asyncio.sleep(2.0)
        assert world.membership('vm1').live() == ['vm1', 'vm2', 'vm3']
        assert ended == [old]

    clock.run_virtual(main())


def test_parted_daemons_hear_each_other_again():
    async def main():
        world = system.System()
        await world.start_all(4)
        await asyncio.sleep(3.0)
        world.network.partition({'vm1', 'vm2'}, {'vm3', 'vm4'})
        await asyncio.sleep(6.0)
        assert world.membership('vm1').live() == ['vm1', 'vm2']
        world.network.heal()
        await asyncio.sleep(3.0)
        assert len(world.membership('vm1').live()) == 4

    clock.run_virtual(main())


def test_a_daemon_silent_for_long_is_forgotten():
    async def main():
        world = system.System()
        await world.start_all(2)
        await asyncio.sleep(3.0)
        await world.kill('vm2')
        await asyncio.sleep(membership.FORGET_SECONDS + 5.0)
        assert world.membership('vm1').members() == {}
        assert world.membership('vm1').live_share() == 1.0

    clock.run_virtual(main())


def test_a_daemon_that_leaves_is_no_home():
    async def main():
        world = system.System()
        await world.start_all(2)
        await asyncio.sleep(3.0)
        world.membership('vm2').leaving = True
        world.membership('vm2').send_now()
        await asyncio.sleep(0.1)
        assert world.membership('vm1').live() == ['vm1']
        assert world.membership('vm2').live() == ['vm1']

    clock.run_virtual(main())


def test_a_late_beat_of_an_earlier_run_changes_nothing():
    async def main():
        world = system.System()
        await world.start_all(2)
        await asyncio.sleep(3.0)
        held = world.membership('vm2')._beat('vm1')
        old = peers.Sender('vm2', str(world.apps_by_vm['vm2'].incarnation))
        await world.kill('vm2')
        await world.start('vm2')
        await asyncio.sleep(2.0)
        ended = []
        world.membership('vm1').on_ended.append(ended.append)
        await world.membership('vm1')._on_heartbeat(old, held)
        new = str(world.apps_by_vm['vm2'].incarnation)
        assert world.membership('vm1').members()['vm2'].incarnation == new
        assert ended == []

    clock.run_virtual(main())


def test_a_daemon_that_was_forgotten_may_come_back():
    async def main():
        world = system.System()
        await world.start_all(2)
        await asyncio.sleep(3.0)
        world.network.partition({'vm1'}, {'vm2'})
        await asyncio.sleep(membership.FORGET_SECONDS + 5.0)
        assert world.membership('vm1').members() == {}
        world.network.heal()
        await asyncio.sleep(3.0)
        assert world.membership('vm1').live() == ['vm1', 'vm2']

    clock.run_virtual(main())
