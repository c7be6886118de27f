"""Tests of the authentication, rotation and revocation of keys."""

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
from corianderspar import platform_client

FIRST = keys.NewKey('csk_first', digests.digest_of('csk_first'))
SECOND = keys.NewKey('csk_second', digests.digest_of('csk_second'))
DATA_CENTRES_BY_VM = {
    'vm1': 'szeged',
    'vm2': 'szeged',
    'vm3': 'baja',
    'vm4': 'baja',
}


def catalogue_of(version, *digests, **others):
    accounts = {'parish': catalogue.Account(10, 10, {}, digests)}
    for name, other_digests in others.items():
        accounts[name] = catalogue.Account(10, 10, {}, other_digests)
    return catalogue.Catalogue(version, {}, accounts, {})


async def start_fleet(network):
    listed = tuple(
        platform_client.ListedVm(vm, data_centre, 'r1', f'{vm}:1')
        for vm, data_centre in DATA_CENTRES_BY_VM.items()
    )
    apps = []
    for number, (vm, data_centre) in enumerate(DATA_CENTRES_BY_VM.items()):
        app = kernel.Application(
            kernel.Identity(vm, data_centre, 'r1'),
            clock.VirtualClock(),
            random.Random(number),
        )
        app.add(peers.Peers(channel.MemoryChannel(network, vm, f'{vm}:1')))
        app.add(membership.Membership(f'{vm}:1'))
        app.add(configuration.Configuration())
        app.add(keys.Authenticator())
        await app.start()
        view = app.find('membership', membership.Membership)
        view.adopt_list(platform_client.VmList(1, listed))
        apps.append(app)
    return apps


def adopt(app, new):
    app.find('configuration', configuration.Configuration).adopt(new)


def authenticator_of(app):
    return app.find('keys', keys.Authenticator)


def run(scenario):
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        return await scenario(await start_fleet(network))

    return clock.run_virtual(main())


def test_two_keys_of_an_account_are_valid_during_rotation():
    async def scenario(apps):
        adopt(apps[0], catalogue_of(1, FIRST.digest, SECOND.digest))
        authenticator = authenticator_of(apps[0])
        return [
            authenticator.authenticate(made.key) for made in (FIRST, SECOND)
        ]

    assert [result.ok for result in run(scenario)] == ['parish', 'parish']


def test_missing_and_unknown_keys_are_refused():
    async def scenario(apps):
        adopt(apps[0], catalogue_of(1, FIRST.digest))
        authenticator = authenticator_of(apps[0])
        return [
            authenticator.authenticate(key)
            for key in (None, '', SECOND.key, 'é\udcff')
        ]

    codes = [result.error.code for result in run(scenario)]
    assert codes == ['key_missing'] + ['key_unknown'] * 3


def test_a_digest_listed_for_two_accounts_is_valid_for_neither():
    async def scenario(apps):
        adopt(apps[0], catalogue_of(1, FIRST.digest, club=(FIRST.digest,)))
        return authenticator_of(apps[0]).authenticate(FIRST.key)

    assert run(scenario).error.code == 'key_unknown'


def test_a_revocation_reaches_daemons_that_have_the_old_catalogue():
    async def scenario(apps):
        revoked = []
        for app in apps:
            adopt(app, catalogue_of(1, FIRST.digest, SECOND.digest))
            authenticator_of(app).on_revoked.append(
                lambda *args, vm=app.identity.vm: revoked.append((vm, *args))
            )
        await asyncio.sleep(3)
        adopt(apps[0], catalogue_of(2, SECOND.digest))
        await asyncio.sleep(5)
        results = [
            authenticator_of(app).authenticate(FIRST.key) for app in apps
        ]
        return (
            revoked,
            results,
            authenticator_of(apps[3]).authenticate(SECOND.key),
        )

    revoked, results, other = run(scenario)
    assert sorted(revoked) == [
        (vm, 'parish', FIRST.digest) for vm in sorted(DATA_CENTRES_BY_VM)
    ]
    assert [result.is_error() for result in results] == [True] * 4
    assert other.ok == 'parish'


def test_only_a_newer_version_makes_a_revoked_digest_valid_again():
    async def scenario(apps):
        adopt(apps[0], catalogue_of(1, FIRST.digest))
        adopt(apps[1], catalogue_of(1, FIRST.digest))
        adopt(apps[0], catalogue_of(5))
        await asyncio.sleep(3)
        adopt(apps[1], catalogue_of(4, FIRST.digest))
        older = authenticator_of(apps[1]).authenticate(FIRST.key)
        adopt(apps[1], catalogue_of(6, FIRST.digest))
        return older, authenticator_of(apps[1]).authenticate(FIRST.key)

    older, newer = run(scenario)
    assert older.is_error()
    assert newer.ok == 'parish'


def test_a_key_moved_to_another_account_is_revoked_for_the_first():
    async def scenario(apps):
        revoked = []
        adopt(apps[0], catalogue_of(1, FIRST.digest))
        authenticator_of(apps[0]).on_revoked.append(
            lambda *args: revoked.append(args)
        )
        adopt(apps[0], catalogue_of(2, club=(FIRST.digest,)))
        return revoked, authenticator_of(apps[0]).authenticate(FIRST.key)

    revoked, result = run(scenario)
    assert revoked == [('parish', FIRST.digest)]
    assert result.ok == 'club'


def test_malformed_sections_are_counted():
    async def scenario(apps):
        authenticator = authenticator_of(apps[0])
        sender = peers.Sender('vm2', 'vm2/1/a')
        authenticator._accept_section(sender, b'\xc1')
        authenticator._accept_section(
            sender, keys.msgspec.msgpack.encode([9, [[9, b'x']]])
        )
        return authenticator.counts['malformed']

    assert run(scenario) == 2


def test_peer_messages_and_events_contain_no_key():
    async def scenario(apps):
        adopt(apps[0], catalogue_of(1, FIRST.digest))
        authenticator_of(apps[0]).authenticate(FIRST.key)
        adopt(apps[0], catalogue_of(2))
        events = apps[0].events.events()
        return authenticator_of(apps[0])._provide_section('vm2'), str(events)

    section, events = run(scenario)
    assert FIRST.key.encode() not in section
    assert FIRST.key not in events
    assert FIRST.digest not in events
