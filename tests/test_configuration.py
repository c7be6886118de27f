"""Tests of how versions of the catalogue and VM lists spread.

The version in force must never go back in any daemon.
"""

import asyncio

from corianderspar import clock
from corianderspar import configuration
from corianderspar import fake_fleet
from corianderspar import shards
from corianderspar import version_store
from tests import catalogues

DATA_CENTRES_BY_VM = {
    f'vm{number}': data_centre
    for number, data_centre in enumerate(['szeged', 'baja', 'mako'] * 3, 1)
}


async def start_fleet(version=1, seed=1):
    fleet = fake_fleet.FakeFleet(seed)
    fleet.list_vms(DATA_CENTRES_BY_VM)
    if version:
        fleet.publish(catalogues.valid(version))
    await fleet.start_all()
    await asyncio.sleep(6)
    return fleet


def run(main):
    async def run_and_close():
        fleet, result = await main()
        await fleet.close()
        assert fleet.failures == []
        return result

    return clock.run_virtual(run_and_close())


def is_in_force_everywhere(fleet, version):
    return lambda: {*fleet.versions().values()} == {version}


def test_new_version_reaches_all_daemons_within_two_seconds():
    async def main():
        fleet = await start_fleet()
        fleet.publish(catalogues.valid(2))
        return fleet, await fleet.until(is_in_force_everywhere(fleet, 2), 5)

    assert run(main) < 2


def test_only_relays_read_the_platform():
    async def main():
        fleet = await start_fleet()
        fleet.platform.calls_by_reader.clear()
        await asyncio.sleep(60)
        relays = {
            vm
            for vm in DATA_CENTRES_BY_VM
            if fleet.configuration(vm).is_relay()
        }
        return fleet, (relays, fleet.platform.calls_by_reader)

    relays, calls = run(main)
    assert len(relays) == 6
    assert relays == {*calls}
    assert sum(calls.values()) / 60 < 9


def test_new_daemon_prefers_version_of_peers_to_stale_platform():
    async def main():
        fleet = await start_fleet(1)
        stale_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1)
        fleet.publish(catalogues.valid(2))
        await fleet.until(is_in_force_everywhere(fleet, 2), 5)
        fleet.platform.stale_at = stale_at
        await fleet.kill('vm1')
        await fleet.start('vm1')
        restarted = fleet.configuration('vm1')
        versions = []
        restarted.on_catalogue.append(
            lambda new, _: versions.append(new.version)
        )
        await asyncio.wait_for(restarted.ready.wait(), 5)
        return fleet, versions

    assert run(main) == [2]


def test_fleet_that_starts_together_serves_version_of_platform():
    async def main():
        fleet = await start_fleet(1)
        return fleet, [
            fleet.configuration(vm).ready.is_set() for vm in fleet.apps_by_vm
        ]

    assert run(main) == [True] * 9


def test_not_ready_without_catalogue():
    async def main():
        fleet = fake_fleet.FakeFleet()
        fleet.list_vms(DATA_CENTRES_BY_VM)
        fleet.platform.down = True
        await fleet.start_all()
        await asyncio.sleep(60)
        return fleet, fleet.configuration('vm1').ready.is_set()

    assert run(main) is False


def test_isolated_daemon_serves_version_of_platform():
    async def main():
        fleet = await start_fleet(1)
        fleet.network.partition({'vm1'}, {*DATA_CENTRES_BY_VM} - {'vm1'})
        await fleet.kill('vm1')
        await fleet.start('vm1')
        restarted = fleet.configuration('vm1')
        await asyncio.wait_for(restarted.ready.wait(), 6)
        return fleet, restarted.version

    assert run(main) == 1


def test_invalid_version_is_rejected_with_same_findings_everywhere():
    async def main():
        fleet = await start_fleet(1)
        fleet.publish(catalogues.invalid(2))
        await asyncio.sleep(5)
        findings = [
            [
                (rejection.key.number, rejection.findings)
                for rejection in fleet.configuration(
                    vm
                ).versions.rejected_by_key.values()
            ]
            for vm in fleet.apps_by_vm
        ]
        fleet.publish(catalogues.valid(3))
        return fleet, (
            findings,
            {*fleet.versions().values()},
            await fleet.until(is_in_force_everywhere(fleet, 3), 5),
        )

    findings, before, seconds = run(main)
    assert [len(found) for found in findings] == [1] * 9
    assert all(found == findings[0] for found in findings)
    assert before == {1}
    assert seconds is not None


def test_malformed_manifest_is_ignored():
    async def main():
        fleet = await start_fleet(1)
        fleet.platform.put(shards.MANIFEST_KEY, b'{nonsense')
        await asyncio.sleep(5)
        before = {*fleet.versions().values()}
        fleet.publish(catalogues.valid(2))
        return fleet, (
            before,
            await fleet.until(is_in_force_everywhere(fleet, 2), 5),
        )

    before, seconds = run(main)
    assert before == {1}
    assert seconds is not None


def test_conflicting_contents_of_one_version_converge():
    async def main():
        fleet = await start_fleet(1)
        fleet.network.partition(
            {
                vm
                for vm in DATA_CENTRES_BY_VM
                if DATA_CENTRES_BY_VM[vm] == 'szeged'
            },
            {
                vm
                for vm in DATA_CENTRES_BY_VM
                if DATA_CENTRES_BY_VM[vm] != 'szeged'
            },
        )
        fleet.platform.cut_readers = {
            vm
            for vm in DATA_CENTRES_BY_VM
            if DATA_CENTRES_BY_VM[vm] == 'szeged'
        }
        fleet.publish(catalogues.valid(2, account_count=2))
        await asyncio.sleep(2)
        fleet.platform.cut_readers = {
            *DATA_CENTRES_BY_VM
        } - fleet.platform.cut_readers
        fleet.publish(catalogues.valid(2, account_count=4))
        await asyncio.sleep(5)
        divided = {fleet.configuration(vm).key for vm in DATA_CENTRES_BY_VM}
        fleet.network.heal()
        await asyncio.sleep(5)
        return fleet, (
            divided,
            {fleet.configuration(vm).key for vm in DATA_CENTRES_BY_VM},
        )

    divided, healed = run(main)
    assert len(divided) == 2
    assert healed == {max(divided)}


def test_data_centre_cut_off_from_platform_gets_version_from_peers():
    async def main():
        fleet = await start_fleet(1)
        fleet.platform.cut_readers = {
            vm
            for vm in DATA_CENTRES_BY_VM
            if DATA_CENTRES_BY_VM[vm] == 'szeged'
        }
        fleet.publish(catalogues.valid(2))
        return fleet, await fleet.until(is_in_force_everywhere(fleet, 2), 5)

    assert run(main) is not None


def test_manifest_published_before_its_shards_is_retried():
    async def main():
        fleet = await start_fleet(1)
        values = shards.split(catalogues.valid(2, account_count=5))
        manifest = values.pop(shards.MANIFEST_KEY)
        fleet.platform.put(shards.MANIFEST_KEY, manifest)
        await asyncio.sleep(3)
        before = {*fleet.versions().values()}
        fleet.platform.publish(values)
        return fleet, (
            before,
            await fleet.until(is_in_force_everywhere(fleet, 2), 5),
        )

    before, seconds = run(main)
    assert before == {1}
    assert seconds is not None


def test_hung_platform_does_not_delay_versions_from_peers():
    async def main():
        fleet = await start_fleet(1)
        fleet.platform.hung = True
        fleet.configuration('vm1').adopt(catalogues.valid(2))
        return fleet, await fleet.until(is_in_force_everywhere(fleet, 2), 5)

    assert run(main) is not None


def test_paused_daemon_does_not_take_old_vm_list_for_fresh():
    async def main():
        fleet = await start_fleet(1)
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


def test_vm_list_reaches_daemons_that_do_not_read_it():
    async def main():
        fleet = await start_fleet(1)
        fleet.list_vms({**DATA_CENTRES_BY_VM, 'vm10': 'baja'})
        await asyncio.sleep(4)
        return fleet, {
            'vm10' in fleet.configuration(vm)._membership.members()
            for vm in DATA_CENTRES_BY_VM
        }

    assert run(main) == {True}


def test_change_of_one_account_transfers_few_bytes():
    async def main():
        fleet = fake_fleet.FakeFleet()
        fleet.list_vms(DATA_CENTRES_BY_VM)
        whole = catalogues.valid(1, account_count=2000)
        fleet.publish(whole)
        await fleet.start_all()
        await fleet.until(is_in_force_everywhere(fleet, 1), 60)
        await asyncio.sleep(10)
        fleet.network.byte_count = 0
        await asyncio.sleep(20)
        idle = fleet.network.byte_count
        account = whole.accounts_by_name['account7']._replace(rate=7.0)
        accounts = {**whole.accounts_by_name, 'account7': account}
        fleet.network.byte_count = 0
        fleet.publish(whole._replace(version=2, accounts_by_name=accounts))
        await asyncio.sleep(20)
        assert is_in_force_everywhere(fleet, 2)()
        return fleet, fleet.network.byte_count - idle

    assert run(main) < 60_000


def test_malformed_section_is_ignored():
    async def main():
        fleet = await start_fleet(1)
        service = fleet.configuration('vm1')
        sender = configuration.peers.Sender('vm2', 'vm2/1/x')
        service._accept_section(sender, b'\xc1')
        return fleet, service.version

    assert run(main) == 1


def test_lower_version_is_ignored_and_reported():
    async def main():
        fleet = await start_fleet(3)
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


def test_dropped_content_of_conflicting_version_is_reported():
    async def main():
        fleet = await start_fleet(1)
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


def test_number_of_rejections_is_limited_and_highest_stay():
    versions = version_store.VersionStore()
    for number in range(1, 20):
        key = shards.VersionKey(number, b'')
        versions.add_rejection(version_store.Rejection(key, []))
    assert len(versions.rejected_by_key) == version_store.MAX_REJECTIONS
    assert max(versions.rejected_by_key).number == 19


def test_sections_of_silent_peers_are_dropped():
    async def main():
        fleet = await start_fleet(1)
        await fleet.kill('vm2')
        await asyncio.sleep(70)
        fleet.list_vms({**DATA_CENTRES_BY_VM, 'vm10': 'szeged'})
        await fleet.start('vm10')
        await asyncio.sleep(5)
        sections = fleet.configuration('vm1')._sections_by_vm
        return fleet, ('vm2' in sections, 'vm10' in sections)

    # vm1 and vm10 are in one data centre. vm2 is in another, so at most the
    # relays got its heartbeats.
    assert run(main) == (False, True)


def test_shards_are_verified_and_kept_while_a_version_needs_them():
    versions = version_store.VersionStore()
    values = shards.split(catalogues.valid(1))
    manifest = shards.parse_manifest(values[shards.MANIFEST_KEY]).ok
    digest = versions.missing_digests(manifest)[0]
    assert not versions.add_shard(digest, b'other')
    assert not versions.add_compressed_shard(digest, b'no zlib')
    for missing in versions.missing_digests(manifest):
        assert versions.add_shard(missing, values[shards.shard_key(missing)])
    assert versions.assemble(manifest).is_ok()
    versions.prune([manifest.key()])
    assert versions.missing_digests(manifest) == []
    versions.prune([])
    assert digest in versions.missing_digests(manifest)
