"""Tests of versions: how they spread, and that they never go back."""

import asyncio

from corianderspar import clock
from corianderspar import configuration
from corianderspar import fake_fleet
from corianderspar import shards
from corianderspar import version_store
from tests import catalogues

NINE = {
    f'vm{number}': place
    for number, place in enumerate(['szeged', 'baja', 'mako'] * 3, 1)
}


async def nine(version=1, seed=1):
    fleet = fake_fleet.FakeFleet(seed)
    fleet.list_vms(NINE)
    if version:
        fleet.publish(catalogues.valid(version))
    await fleet.start_all()
    await asyncio.sleep(6)
    return fleet


def run(main):
    async def closed():
        fleet, result = await main()
        await fleet.close()
        assert fleet.failures == []
        return result

    return clock.run_virtual(closed())


def everywhere(fleet, version):
    return lambda: {*fleet.versions().values()} == {version}


def test_a_version_is_in_force_everywhere_within_seconds():
    async def main():
        fleet = await nine()
        fleet.publish(catalogues.valid(2))
        return fleet, await fleet.until(everywhere(fleet, 2), 5)

    assert run(main) < 2


def test_only_relays_read_the_service():
    async def main():
        fleet = await nine()
        fleet.platform.calls_by_reader.clear()
        await asyncio.sleep(60)
        relays = {vm for vm in NINE if fleet.configuration(vm).is_relay()}
        return fleet, (relays, fleet.platform.calls_by_reader)

    relays, calls = run(main)
    assert len(relays) == 6
    assert relays == {*calls}
    assert sum(calls.values()) / 60 < 9


def test_a_new_daemon_does_not_serve_what_a_stale_service_gives():
    async def main():
        fleet = await nine(1)
        old = asyncio.get_running_loop().time()
        await asyncio.sleep(1)
        fleet.publish(catalogues.valid(2))
        await fleet.until(everywhere(fleet, 2), 5)
        fleet.platform.stale_at = old
        await fleet.kill('vm1')
        await fleet.start('vm1')
        fresh = fleet.configuration('vm1')
        seen = []
        fresh.on_catalogue.append(lambda new, _: seen.append(new.version))
        await asyncio.wait_for(fresh.ready.wait(), 5)
        return fleet, seen

    assert run(main) == [2]


def test_a_fleet_that_starts_on_a_stale_service_serves_it():
    async def main():
        fleet = await nine(1)
        return fleet, [
            fleet.configuration(vm).ready.is_set() for vm in fleet.apps_by_vm
        ]

    assert run(main) == [True] * 9


def test_nobody_is_ready_without_a_catalogue():
    async def main():
        fleet = fake_fleet.FakeFleet()
        fleet.list_vms(NINE)
        fleet.platform.down = True
        await fleet.start_all()
        await asyncio.sleep(60)
        return fleet, fleet.configuration('vm1').ready.is_set()

    assert run(main) is False


def test_a_daemon_alone_serves_what_the_service_gives():
    async def main():
        fleet = await nine(1)
        fleet.network.partition({'vm1'}, {*NINE} - {'vm1'})
        await fleet.kill('vm1')
        await fleet.start('vm1')
        fresh = fleet.configuration('vm1')
        await asyncio.wait_for(fresh.ready.wait(), 6)
        return fleet, fresh.version

    assert run(main) == 1


def test_an_invalid_version_is_refused_with_the_same_findings_everywhere():
    async def main():
        fleet = await nine(1)
        fleet.publish(catalogues.invalid(2))
        await asyncio.sleep(5)
        findings = [
            [
                (refused.key.number, refused.findings)
                for refused in fleet.configuration(
                    vm
                ).versions.rejected_by_key.values()
            ]
            for vm in fleet.apps_by_vm
        ]
        fleet.publish(catalogues.valid(3))
        return fleet, (
            findings,
            {*fleet.versions().values()},
            await fleet.until(everywhere(fleet, 3), 5),
        )

    findings, before, seconds = run(main)
    assert [len(one) for one in findings] == [1] * 9
    assert all(one == findings[0] for one in findings)
    assert before == {1}
    assert seconds is not None


def test_garbage_in_place_of_the_manifest_changes_nothing():
    async def main():
        fleet = await nine(1)
        fleet.platform.put(shards.MANIFEST_KEY, b'{nonsense')
        await asyncio.sleep(5)
        before = {*fleet.versions().values()}
        fleet.publish(catalogues.valid(2))
        return fleet, (before, await fleet.until(everywhere(fleet, 2), 5))

    before, seconds = run(main)
    assert before == {1}
    assert seconds is not None


def test_two_contents_of_one_version_end_the_same_everywhere():
    async def main():
        fleet = await nine(1)
        fleet.network.partition(
            {vm for vm in NINE if NINE[vm] == 'szeged'},
            {vm for vm in NINE if NINE[vm] != 'szeged'},
        )
        fleet.platform.cut_readers = {
            vm for vm in NINE if NINE[vm] == 'szeged'
        }
        fleet.publish(catalogues.valid(2, account_count=2))
        await asyncio.sleep(2)
        fleet.platform.cut_readers = {*NINE} - fleet.platform.cut_readers
        fleet.publish(catalogues.valid(2, account_count=4))
        await asyncio.sleep(5)
        apart = {fleet.configuration(vm).key for vm in NINE}
        fleet.network.heal()
        await asyncio.sleep(5)
        return fleet, (apart, {fleet.configuration(vm).key for vm in NINE})

    apart, together = run(main)
    assert len(apart) == 2
    assert together == {max(apart)}


def test_a_data_centre_cut_off_from_the_platform_hears_from_others():
    async def main():
        fleet = await nine(1)
        fleet.platform.cut_readers = {
            vm for vm in NINE if NINE[vm] == 'szeged'
        }
        fleet.publish(catalogues.valid(2))
        return fleet, await fleet.until(everywhere(fleet, 2), 5)

    assert run(main) is not None


def test_shards_that_come_after_their_manifest_are_waited_for():
    async def main():
        fleet = await nine(1)
        values = shards.split(catalogues.valid(2, account_count=5))
        manifest = values.pop(shards.MANIFEST_KEY)
        fleet.platform.put(shards.MANIFEST_KEY, manifest)
        await asyncio.sleep(3)
        before = {*fleet.versions().values()}
        fleet.platform.publish(values)
        return fleet, (before, await fleet.until(everywhere(fleet, 2), 5))

    before, seconds = run(main)
    assert before == {1}
    assert seconds is not None


def test_a_hung_service_does_not_hold_up_peers():
    async def main():
        fleet = await nine(1)
        fleet.platform.hung = True
        fleet.configuration('vm1').adopt(catalogues.valid(2))
        return fleet, await fleet.until(everywhere(fleet, 2), 5)

    assert run(main) is not None


def test_a_list_read_long_ago_is_not_taken_for_fresh_after_a_pause():
    async def main():
        fleet = await nine(1)
        loop = asyncio.get_running_loop()
        before = fleet.configuration('vm7').list_verified_at
        fleet.pause('vm7')
        await asyncio.sleep(20)
        fleet.platform.down = True
        down_since = loop.time()
        await asyncio.sleep(5)
        fleet.resume('vm7')
        await asyncio.sleep(5)
        ages = [
            fleet.configuration(vm).list_verified_at - down_since
            for vm in fleet.apps_by_vm
        ]
        return fleet, (before, max(ages), min(ages))

    before, newest, oldest = run(main)
    assert before > 3
    assert newest <= 0
    assert oldest > -3


def test_the_list_reaches_those_that_do_not_read_it():
    async def main():
        fleet = await nine(1)
        fleet.list_vms({**NINE, 'vm10': 'baja'})
        await asyncio.sleep(4)
        return fleet, {
            'vm10' in fleet.configuration(vm)._membership.members()
            for vm in NINE
        }

    assert run(main) == {True}


def test_a_change_of_one_account_moves_one_shard():
    async def main():
        fleet = fake_fleet.FakeFleet()
        fleet.list_vms(NINE)
        whole = catalogues.valid(1, account_count=2000)
        fleet.publish(whole)
        await fleet.start_all()
        await fleet.until(everywhere(fleet, 1), 60)
        await asyncio.sleep(10)
        fleet.network.byte_count = 0
        await asyncio.sleep(20)
        idle = fleet.network.byte_count
        account = whole.accounts_by_name['account7']._replace(rate=7.0)
        accounts = {**whole.accounts_by_name, 'account7': account}
        fleet.network.byte_count = 0
        fleet.publish(whole._replace(version=2, accounts_by_name=accounts))
        await asyncio.sleep(20)
        assert everywhere(fleet, 2)()
        return fleet, fleet.network.byte_count - idle

    assert run(main) < 60_000


def test_news_that_is_nonsense_is_ignored():
    async def main():
        fleet = await nine(1)
        service = fleet.configuration('vm1')
        sender = configuration.peers.Sender('vm2', 'vm2/1/x')
        service._hear(sender, b'\xc1')
        return fleet, service.version

    assert run(main) == 1


def test_a_lower_version_that_is_published_is_ignored():
    async def main():
        fleet = await nine(3)
        fleet.publish(catalogues.valid(2))
        lower = shards.parse_manifest(
            shards.split(catalogues.valid(2))[shards.MANIFEST_KEY]
        ).ok
        await asyncio.sleep(10)
        fleet.configuration('vm1').adopt_or_reject(lower)
        events = [
            event.name
            for app in fleet.apps_by_vm.values()
            for event in app.events.events()
        ]
        return fleet, (
            {*fleet.versions().values()},
            events.count('configuration.lower'),
        )

    assert run(main) == ({3}, 6)


def test_the_content_that_is_dropped_is_reported():
    async def main():
        fleet = await nine(1)
        fleet.publish(catalogues.valid(2, account_count=1))
        await asyncio.sleep(5)
        fleet.publish(catalogues.valid(2, account_count=2))
        await asyncio.sleep(5)
        conflicts = [
            (event.fields['kept'], event.fields['dropped'])
            for app in fleet.apps_by_vm.values()
            for event in app.events.events()
            if event.name == 'configuration.conflict'
        ]
        return fleet, ({*conflicts}, fleet.configuration('vm1').key)

    conflicts, key = run(main)
    ((kept, dropped),) = conflicts
    assert kept == key.digest.hex() > dropped


def test_refusals_are_bounded_and_the_highest_stay():
    known = version_store.VersionStore()
    for number in range(1, 20):
        key = shards.VersionKey(number, b'')
        known.add_rejection(version_store.Rejection(key, []))
    assert len(known.rejected_by_key) == version_store.KEPT_REFUSED
    assert max(known.rejected_by_key).number == 19


def test_peers_that_are_gone_are_forgotten():
    async def main():
        fleet = await nine(1)
        await fleet.kill('vm2')
        await asyncio.sleep(70)
        fleet.list_vms({**NINE, 'vm10': 'szeged'})
        await fleet.start('vm10')
        await asyncio.sleep(5)
        known = fleet.configuration('vm1')._heard_by_vm
        return fleet, ('vm2' in known, 'vm10' in known)

    # vm1 and vm10 stand in one data centre, vm2 in another: only a relay
    # heard it.
    assert run(main) == (False, True)


def test_shards_are_checked_and_kept_while_a_version_needs_them():
    known = version_store.VersionStore()
    values = shards.split(catalogues.valid(1))
    manifest = shards.parse_manifest(values[shards.MANIFEST_KEY]).ok
    digest = known.missing(manifest)[0]
    assert not known.add_shard(digest, b'other')
    assert not known.add_blob(digest, b'no zlib')
    for missing in known.missing(manifest):
        assert known.add_shard(missing, values[shards.shard_key(missing)])
    assert known.assemble(manifest).is_ok()
    known.prune([manifest.key()])
    assert known.missing(manifest) == []
    known.prune([])
    assert digest in known.missing(manifest)
