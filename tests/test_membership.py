"""Tests of membership."""

import asyncio
import random

from corianderspar import channel
from corianderspar import clock
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import platform_client


def vm_list(revision, names):
    return platform_client.VmList(
        revision,
        tuple(
            platform_client.ListedVm(name, data_centre, 'r1', f'{name}:1')
            for name, data_centre in names
        ),
    )


async def start_fleet(network, names):
    apps_by_vm = {}
    for number, (name, data_centre) in enumerate(names):
        vm_clock = clock.VirtualClock()
        app = kernel.Application(
            kernel.Identity(name, data_centre, 'r1'),
            vm_clock,
            random.Random(number),
        )
        link = channel.MemoryChannel(network, name, f'{name}:1', vm_clock)
        app.add(peers.Peers(link))
        app.add(membership.Membership(f'{name}:1'))
        await app.start()
        service = app.find('membership', membership.Membership)
        service.adopt_list(vm_list(1, names))
        apps_by_vm[name] = app
    return apps_by_vm


NAMES = [('vm1', 'szeged'), ('vm2', 'szeged'), ('vm3', 'baja')]


def membership_of(app):
    return app.find('membership', membership.Membership)


def test_members_receive_heartbeats_of_each_other():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        await asyncio.sleep(2)
        service = membership_of(apps['vm1'])
        return service.live(), service.live('baja')

    assert clock.run_virtual(main()) == (['vm1', 'vm2'], ['vm3'])


def test_a_killed_member_is_not_live():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        await asyncio.sleep(2)
        await apps['vm2'].abort()
        await asyncio.sleep(5)
        return membership_of(apps['vm1']).live()

    assert clock.run_virtual(main()) == ['vm1']


def test_a_leaving_member_is_not_live_immediately_after():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        await asyncio.sleep(2)
        await apps['vm2'].stop()
        await asyncio.sleep(0.01)
        return membership_of(apps['vm1']).live()

    assert clock.run_virtual(main()) == ['vm1']


def test_an_older_list_is_ignored():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        service = membership_of(apps['vm1'])
        service.adopt_list(vm_list(3, NAMES))
        service.adopt_list(vm_list(2, NAMES[:1]))
        return service.members()['vm2'].listed

    assert clock.run_virtual(main()) is True


def receive(app, sender, heartbeat):
    return membership_of(app)._on_heartbeat(sender, heartbeat)


def make_heartbeat(
    data_centre='szeged', address='vm2:1', leaving=False, interval=1.0
):
    return membership.Heartbeat(
        data_centre, 'r1', address, '', leaving, {}, interval
    )


def test_malformed_and_outdated_heartbeats_are_counted_and_ignored():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        await asyncio.sleep(2)
        app = apps['vm1']
        before = membership_of(app).members()['vm2']
        for text in ['', 'vm2', 'vm2/x/y', 'vm3/1/y', 'vm2/1/2/3']:
            await receive(app, peers.Sender('vm2', text), make_heartbeat())
        for interval in [0.0, -1.0, float('nan'), 1e9]:
            sender = peers.Sender('vm2', before.incarnation)
            await receive(app, sender, make_heartbeat(interval=interval))
        await receive(app, peers.Sender('vm2', 'vm2/1/old'), make_heartbeat())
        return membership_of(app).counts, before == membership_of(
            app
        ).members()['vm2']

    counts, is_same = clock.run_virtual(main())
    assert (counts['malformed'], counts['older_incarnation']) == (9, 1)
    assert is_same


def test_a_newer_process_of_the_same_vm_calls_the_superseded_hooks():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        calls = []
        membership_of(apps['vm1']).on_superseded.append(
            lambda: calls.append(1)
        )
        newer = f'vm1/{2 * 10**12}/aa'
        await receive(
            apps['vm1'], peers.Sender('vm1', 'vm1/1/aa'), make_heartbeat()
        )
        await receive(
            apps['vm1'], peers.Sender('vm1', newer), make_heartbeat()
        )
        return calls, 'vm1' in membership_of(apps['vm1']).members()

    assert clock.run_virtual(main()) == ([1], False)


def test_a_pause_calls_the_hooks_with_its_length():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        seen = []
        membership_of(apps['vm1']).on_paused.append(seen.append)
        await asyncio.sleep(2)
        apps['vm1'].clock.pause()
        await asyncio.sleep(60)
        apps['vm1'].clock.resume()
        await asyncio.sleep(1)
        return seen

    (seconds,) = clock.run_virtual(main())
    assert 59 < seconds < 62


def test_unlisted_and_silent_members_are_forgotten():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        await asyncio.sleep(2)
        await apps['vm2'].abort()
        membership_of(apps['vm1']).adopt_list(vm_list(2, [NAMES[0], NAMES[2]]))
        await asyncio.sleep(200)
        is_known_early = 'vm2' in membership_of(apps['vm1']).members()
        await asyncio.sleep(200)
        return is_known_early, 'vm2' in membership_of(apps['vm1']).members()

    assert clock.run_virtual(main()) == (True, False)


def test_the_number_of_members_is_limited(monkeypatch):
    monkeypatch.setattr(membership, 'MAX_MEMBERS', 10)

    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        for number in range(50):
            name = f'x{number}'
            sender = peers.Sender(name, f'{name}/1/a')
            await receive(
                apps['vm1'], sender, make_heartbeat(address=f'{name}:1')
            )
        return len(membership_of(apps['vm1']).members())

    assert clock.run_virtual(main()) == 10


def test_members_are_live_again_after_a_partition_heals():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        await asyncio.sleep(2)
        network.partition({'vm3'})
        await asyncio.sleep(10)
        partitioned = membership_of(apps['vm1']).live('baja')
        network.heal()
        await asyncio.sleep(3)
        return partitioned, membership_of(apps['vm1']).live('baja')

    assert clock.run_virtual(main()) == ([], ['vm3'])


def test_a_vm_that_restarts_at_a_new_address_is_reached_there():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, NAMES)
        await asyncio.sleep(2)
        sender = peers.Sender('vm2', f'vm2/{2 * 10**12}/aa')
        await receive(apps['vm1'], sender, make_heartbeat(address='vm9:1'))
        link = apps['vm1'].find('peers', peers.Peers)._channel
        return link._addresses_by_vm['vm2']

    assert clock.run_virtual(main()) == 'vm9:1'


def test_heartbeats_are_less_frequent_with_many_peers():
    async def main():
        names = [(f'vm{number}', 'szeged') for number in range(31)]
        network = channel.MemoryNetwork(random.Random(1))
        apps = await start_fleet(network, names)
        await asyncio.sleep(20)
        before = network.message_count
        await asyncio.sleep(60)
        alive = len(membership_of(apps['vm1']).live())
        return (network.message_count - before) / 60 / 31, alive

    messages, alive = clock.run_virtual(main())
    assert messages < membership.PEERS_PER_SECOND + 1
    assert alive == 31
