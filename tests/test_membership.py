"""Tests of the membership view."""

import asyncio
import random

from corianderspar import channel
from corianderspar import clock
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import platform_seam as platform


def listing(revision, names):
    return platform.VmList(
        revision,
        tuple(
            platform.ListedVm(name, place, 'r1', f'{name}:1')
            for name, place in names
        ),
    )


async def fleet(network, names):
    apps_by_vm = {}
    for number, (name, place) in enumerate(names):
        vm_clock = clock.VirtualClock()
        app = kernel.Application(
            kernel.Identity(name, place, 'r1'), vm_clock, random.Random(number)
        )
        link = channel.MemoryChannel(network, name, f'{name}:1', vm_clock)
        app.add(peers.Peers(link))
        app.add(membership.Membership(f'{name}:1'))
        await app.start()
        view = app.find('membership', membership.Membership)
        view.adopt_list(listing(1, names))
        apps_by_vm[name] = app
    return apps_by_vm


NAMES = [('vm1', 'szeged'), ('vm2', 'szeged'), ('vm3', 'baja')]


def view_of(app):
    return app.find('membership', membership.Membership)


def test_members_hear_each_other():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        await asyncio.sleep(2)
        view = view_of(apps['vm1'])
        return view.live(), view.live('baja')

    assert clock.run_virtual(main()) == (['vm1', 'vm2'], ['vm3'])


def test_a_killed_member_is_not_live():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        await asyncio.sleep(2)
        await apps['vm2'].abort()
        await asyncio.sleep(5)
        return view_of(apps['vm1']).live()

    assert clock.run_virtual(main()) == ['vm1']


def test_a_leaving_member_is_not_live_at_once():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        await asyncio.sleep(2)
        await apps['vm2'].stop()
        await asyncio.sleep(0.01)
        return view_of(apps['vm1']).live()

    assert clock.run_virtual(main()) == ['vm1']


def test_an_older_list_is_ignored():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        view = view_of(apps['vm1'])
        view.adopt_list(listing(3, NAMES))
        view.adopt_list(listing(2, NAMES[:1]))
        return view.members()['vm2'].listed

    assert clock.run_virtual(main()) is True


def hear(app, sender, beat):
    return view_of(app)._hear(sender, beat)


def beat(place='szeged', address='vm2:1', leaving=False, interval=1.0):
    return membership.Heartbeat(
        place, 'r1', address, '', leaving, {}, interval
    )


def test_nonsense_and_old_incarnations_are_counted_and_ignored():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        await asyncio.sleep(2)
        app = apps['vm1']
        before = view_of(app).members()['vm2']
        for text in ['', 'vm2', 'vm2/x/y', 'vm3/1/y', 'vm2/1/2/3']:
            await hear(app, peers.Sender('vm2', text), beat())
        for interval in [0.0, -1.0, float('nan'), 1e9]:
            sender = peers.Sender('vm2', before.incarnation)
            await hear(app, sender, beat(interval=interval))
        await hear(app, peers.Sender('vm2', 'vm2/1/old'), beat())
        return view_of(app).counts, before == view_of(app).members()['vm2']

    counts, is_same = clock.run_virtual(main())
    assert (counts['malformed'], counts['older_incarnation']) == (9, 1)
    assert is_same


def test_a_newer_process_of_the_same_name_is_told():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        told = []
        view_of(apps['vm1']).on_superseded.append(lambda: told.append(1))
        late = f'vm1/{2 * 10**12}/aa'
        await hear(apps['vm1'], peers.Sender('vm1', 'vm1/1/aa'), beat())
        await hear(apps['vm1'], peers.Sender('vm1', late), beat())
        return told, 'vm1' in view_of(apps['vm1']).members()

    assert clock.run_virtual(main()) == ([1], False)


def test_a_pause_is_noticed():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        seen = []
        view_of(apps['vm1']).on_paused.append(seen.append)
        await asyncio.sleep(2)
        apps['vm1'].clock.pause()
        await asyncio.sleep(60)
        apps['vm1'].clock.resume()
        await asyncio.sleep(1)
        return seen

    (seconds,) = clock.run_virtual(main())
    assert 59 < seconds < 62


def test_vms_that_are_gone_are_forgotten():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        await asyncio.sleep(2)
        await apps['vm2'].abort()
        view_of(apps['vm1']).adopt_list(listing(2, [NAMES[0], NAMES[2]]))
        await asyncio.sleep(200)
        soon = 'vm2' in view_of(apps['vm1']).members()
        await asyncio.sleep(200)
        return soon, 'vm2' in view_of(apps['vm1']).members()

    assert clock.run_virtual(main()) == (True, False)


def test_a_flood_of_names_takes_no_more_room(monkeypatch):
    monkeypatch.setattr(membership, 'MAX_MEMBERS', 10)

    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        for number in range(50):
            name = f'x{number}'
            sender = peers.Sender(name, f'{name}/1/a')
            await hear(apps['vm1'], sender, beat(address=f'{name}:1'))
        return len(view_of(apps['vm1']).members())

    assert clock.run_virtual(main()) == 10


def test_a_partition_heals_between_data_centres():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        await asyncio.sleep(2)
        network.partition({'vm3'})
        await asyncio.sleep(10)
        apart = view_of(apps['vm1']).live('baja')
        network.heal()
        await asyncio.sleep(3)
        return apart, view_of(apps['vm1']).live('baja')

    assert clock.run_virtual(main()) == ([], ['vm3'])


def test_a_vm_that_comes_back_elsewhere_is_reached_there():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, NAMES)
        await asyncio.sleep(2)
        sender = peers.Sender('vm2', f'vm2/{2 * 10**12}/aa')
        await hear(apps['vm1'], sender, beat(address='vm9:1'))
        link = apps['vm1'].find('peers', peers.Peers)._channel
        return link._addresses_by_vm['vm2']

    assert clock.run_virtual(main()) == 'vm9:1'


def test_many_peers_hear_less_often():
    async def main():
        names = [(f'vm{number}', 'szeged') for number in range(31)]
        network = channel.MemoryNetwork(random.Random(1))
        apps = await fleet(network, names)
        await asyncio.sleep(20)
        before = network.messages
        await asyncio.sleep(60)
        alive = len(view_of(apps['vm1']).live())
        return (network.messages - before) / 60 / 31, alive

    messages, alive = clock.run_virtual(main())
    assert messages < membership.PEERS_PER_SECOND + 1
    assert alive == 31
