import asyncio

from corianderspar import clock
from corianderspar import peers
from corianderspar.router import membership
from tests.router import system


def test_daemons_discover_each_other_through_one_seed():
    async def main():
        fleet = system.System()
        await fleet.start_all(6)
        await asyncio.sleep(3.0)
        for vm in fleet.apps_by_vm:
            assert len(fleet.membership(vm).live()) == 6

    clock.run_virtual(main())


def test_seed_that_starts_late_is_discovered():
    async def main():
        fleet = system.System()
        await fleet.start('vm2')
        await fleet.start('vm3')
        await asyncio.sleep(3.0)
        assert fleet.membership('vm2').live() == ['vm2']
        await fleet.start('vm1')
        await asyncio.sleep(3.0)
        assert fleet.membership('vm2').live() == ['vm1', 'vm2', 'vm3']

    clock.run_virtual(main())


def test_killed_daemon_is_noticed_and_its_next_incarnation_joins():
    async def main():
        fleet = system.System()
        await fleet.start_all(3)
        await asyncio.sleep(3.0)
        ended = []
        fleet.membership('vm1').on_ended.append(ended.append)
        old = str(fleet.apps_by_vm['vm3'].incarnation)
        await fleet.kill('vm3')
        await asyncio.sleep(2.0)
        assert fleet.membership('vm1').live() == ['vm1', 'vm2']
        assert fleet.membership('vm1').live_share() == 2 / 3
        await fleet.start('vm3')
        await asyncio.sleep(2.0)
        assert fleet.membership('vm1').live() == ['vm1', 'vm2', 'vm3']
        assert ended == [old]

    clock.run_virtual(main())


def test_daemons_find_each_other_after_a_partition_heals():
    async def main():
        fleet = system.System()
        await fleet.start_all(4)
        await asyncio.sleep(3.0)
        fleet.network.partition({'vm1', 'vm2'}, {'vm3', 'vm4'})
        await asyncio.sleep(6.0)
        assert fleet.membership('vm1').live() == ['vm1', 'vm2']
        fleet.network.heal()
        await asyncio.sleep(3.0)
        assert len(fleet.membership('vm1').live()) == 4

    clock.run_virtual(main())


def test_daemon_that_stays_silent_is_forgotten():
    async def main():
        fleet = system.System()
        await fleet.start_all(2)
        await asyncio.sleep(3.0)
        await fleet.kill('vm2')
        await asyncio.sleep(membership.FORGET_SECONDS + 5.0)
        assert fleet.membership('vm1').members() == {}
        assert fleet.membership('vm1').live_share() == 1.0

    clock.run_virtual(main())


def test_leaving_daemon_is_not_a_candidate_for_homes():
    async def main():
        fleet = system.System()
        await fleet.start_all(2)
        await asyncio.sleep(3.0)
        fleet.membership('vm2').leaving = True
        fleet.membership('vm2').send_now()
        await asyncio.sleep(0.1)
        assert fleet.membership('vm1').live() == ['vm1']
        assert fleet.membership('vm2').live() == ['vm1']

    clock.run_virtual(main())


def test_late_heartbeat_of_an_ended_incarnation_is_ignored():
    async def main():
        fleet = system.System()
        await fleet.start_all(2)
        await asyncio.sleep(3.0)
        late = fleet.membership('vm2')._make_heartbeat('vm1')
        old = peers.Sender('vm2', str(fleet.apps_by_vm['vm2'].incarnation))
        await fleet.kill('vm2')
        await fleet.start('vm2')
        await asyncio.sleep(2.0)
        ended = []
        fleet.membership('vm1').on_ended.append(ended.append)
        await fleet.membership('vm1')._on_heartbeat(old, late)
        new = str(fleet.apps_by_vm['vm2'].incarnation)
        assert fleet.membership('vm1').members()['vm2'].incarnation == new
        assert ended == []

    clock.run_virtual(main())


def test_forgotten_daemon_may_rejoin():
    async def main():
        fleet = system.System()
        await fleet.start_all(2)
        await asyncio.sleep(3.0)
        fleet.network.partition({'vm1'}, {'vm2'})
        await asyncio.sleep(membership.FORGET_SECONDS + 5.0)
        assert fleet.membership('vm1').members() == {}
        fleet.network.heal()
        await asyncio.sleep(3.0)
        assert fleet.membership('vm1').live() == ['vm1', 'vm2']

    clock.run_virtual(main())
