"""Tests of keys, their rotation and their withdrawal."""

import asyncio
import random

from corianderspar import catalogue
from corianderspar import channel
from corianderspar import clock
from corianderspar import configuration
from corianderspar import digests
from corianderspar import kernel
from corianderspar import keys
from corianderspar import membership
from corianderspar import peers
from corianderspar import platform_seam as platform

FIRST = keys.NewKey('csk_first', digests.digest_of('csk_first'))
SECOND = keys.NewKey('csk_second', digests.digest_of('csk_second'))
PLACES_BY_VM = {'vm1': 'szeged', 'vm2': 'szeged', 'vm3': 'baja', 'vm4': 'baja'}


def version(number, *digests, **others):
    accounts = {'parish': catalogue.Account(10, 10, {}, digests)}
    for name, held in others.items():
        accounts[name] = catalogue.Account(10, 10, {}, held)
    return catalogue.Catalogue(number, {}, accounts, {})


async def fleet(network):
    lines = tuple(
        platform.ListedVm(vm, place, 'r1', f'{vm}:1')
        for vm, place in PLACES_BY_VM.items()
    )
    apps = []
    for number, (vm, place) in enumerate(PLACES_BY_VM.items()):
        app = kernel.Application(
            kernel.Identity(vm, place, 'r1'),
            clock.VirtualClock(),
            random.Random(number),
        )
        app.add(peers.Peers(channel.MemoryChannel(network, vm, f'{vm}:1')))
        app.add(membership.Membership(f'{vm}:1'))
        app.add(configuration.Configuration())
        app.add(keys.Authenticator())
        await app.start()
        view = app.find('membership', membership.Membership)
        view.adopt_list(platform.VmList(1, lines))
        apps.append(app)
    return apps


def adopt(app, found):
    app.find('configuration', configuration.Configuration).adopt(found)


def ring(app):
    return app.find('keys', keys.Authenticator)


def run(steps):
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        return await steps(await fleet(network))

    return clock.run_virtual(main())


def test_two_keys_overlap_for_rotation():
    async def steps(apps):
        adopt(apps[0], version(1, FIRST.digest, SECOND.digest))
        keyring = ring(apps[0])
        return [keyring.authenticate(made.key) for made in (FIRST, SECOND)]

    assert [result.ok for result in run(steps)] == ['parish', 'parish']


def test_no_key_and_unknown_keys_are_refused():
    async def steps(apps):
        adopt(apps[0], version(1, FIRST.digest))
        keyring = ring(apps[0])
        return [
            keyring.authenticate(key)
            for key in (None, '', SECOND.key, 'é\udcff')
        ]

    codes = [result.error.code for result in run(steps)]
    assert codes == ['key_missing'] + ['key_unknown'] * 3


def test_a_digest_of_two_accounts_is_valid_for_neither():
    async def steps(apps):
        adopt(apps[0], version(1, FIRST.digest, club=(FIRST.digest,)))
        return ring(apps[0]).authenticate(FIRST.key)

    assert run(steps).error.code == 'key_unknown'


def test_a_withdrawal_reaches_those_that_read_no_catalogue():
    async def steps(apps):
        heard = []
        for app in apps:
            adopt(app, version(1, FIRST.digest, SECOND.digest))
            ring(app).on_revoked.append(
                lambda *args, vm=app.identity.vm: heard.append((vm, *args))
            )
        await asyncio.sleep(3)
        adopt(apps[0], version(2, SECOND.digest))
        await asyncio.sleep(5)
        results = [ring(app).authenticate(FIRST.key) for app in apps]
        return heard, results, ring(apps[3]).authenticate(SECOND.key)

    heard, results, other = run(steps)
    assert sorted(heard) == [
        (vm, 'parish', FIRST.digest) for vm in sorted(PLACES_BY_VM)
    ]
    assert [result.is_error() for result in results] == [True] * 4
    assert other.ok == 'parish'


def test_only_a_newer_version_brings_a_digest_back():
    async def steps(apps):
        adopt(apps[0], version(1, FIRST.digest))
        adopt(apps[1], version(1, FIRST.digest))
        adopt(apps[0], version(5))
        await asyncio.sleep(3)
        adopt(apps[1], version(4, FIRST.digest))
        older = ring(apps[1]).authenticate(FIRST.key)
        adopt(apps[1], version(6, FIRST.digest))
        return older, ring(apps[1]).authenticate(FIRST.key)

    older, newer = run(steps)
    assert older.is_error()
    assert newer.ok == 'parish'


def test_a_key_that_moves_is_withdrawn_from_the_first_account():
    async def steps(apps):
        heard = []
        adopt(apps[0], version(1, FIRST.digest))
        ring(apps[0]).on_revoked.append(lambda *args: heard.append(args))
        adopt(apps[0], version(2, club=(FIRST.digest,)))
        return heard, ring(apps[0]).authenticate(FIRST.key)

    heard, result = run(steps)
    assert heard == [('parish', FIRST.digest)]
    assert result.ok == 'club'


def test_nonsense_in_the_section_is_counted():
    async def steps(apps):
        keyring = ring(apps[0])
        sender = peers.Sender('vm2', 'vm2/1/a')
        keyring._accept(sender, b'\xc1')
        keyring._accept(sender, keys.msgspec.msgpack.encode([9, [[9, b'x']]]))
        return keyring.counts['malformed']

    assert run(steps) == 2


def test_no_key_stands_in_a_peer_message_or_an_event():
    async def steps(apps):
        adopt(apps[0], version(1, FIRST.digest))
        ring(apps[0]).authenticate(FIRST.key)
        adopt(apps[0], version(2))
        events = apps[0].events.events()
        return ring(apps[0])._provide('vm2'), str(events)

    section, events = run(steps)
    assert FIRST.key.encode() not in section
    assert FIRST.key not in events
    assert FIRST.digest not in events
