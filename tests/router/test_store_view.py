import asyncio
import itertools

from expression import Error
from expression import Ok
import pytest

from corianderspar import clock
from corianderspar.router import store
from corianderspar.router import store_view
from tests.router import system


def run_fleet(main):
    async def run():
        fleet = system.System()
        await fleet.start_all(3)
        await asyncio.sleep(3.0)
        await main(fleet)

    clock.run_virtual(run())


def test_new_configuration_reaches_every_daemon_within_50_ms():
    async def main(fleet):
        fleet.store.publish(system.configuration(7))
        await asyncio.sleep(0.05)
        for vm in fleet.apps_by_vm:
            assert fleet.store_view(vm).configuration.version == 7

    run_fleet(main)


@pytest.mark.parametrize('page_count', [10, 60])
def test_slow_but_sound_store_gives_the_first_state(page_count):
    """A large fleet is read in some 70 pages."""

    async def run():
        fleet = system.System()
        client = fleet.store.client('vm1')
        read = client.read

        async def read_slowly(on_progress):
            for _page in range(page_count):
                await asyncio.sleep(0.4)
                on_progress()
            return await read()

        client.read = read_slowly
        fleet.store.client = lambda _vm: client
        await fleet.start('vm1')
        await asyncio.sleep(page_count * 0.4 + 1.0)
        assert fleet.store_view('vm1').configuration is not None

    clock.run_virtual(run())


def test_older_configuration_version_is_ignored():
    async def main(fleet):
        fleet.store.publish(system.configuration(7))
        await asyncio.sleep(0.1)
        fleet.store.publish(system.configuration(6))
        await asyncio.sleep(0.1)
        assert fleet.store_view('vm1').configuration.version == 7

    run_fleet(main)


def test_staleness_stays_below_two_long_polls():
    async def main(fleet):
        for _ in range(100):
            await asyncio.sleep(0.1)
            staleness = fleet.store_view('vm1').staleness()
            assert 0.0 <= staleness <= 2 * store_view.WATCH_SECONDS

    run_fleet(main)


def test_daemon_refused_by_the_store_follows_its_peers():
    async def main(fleet):
        fleet.store.refused_vms.add('vm2')
        await asyncio.sleep(10.0)
        fleet.store.publish(system.configuration(9))
        fleet.store.remove('s1')
        await asyncio.sleep(2.0)
        view = fleet.store_view('vm2')
        assert view.configuration.version == 9
        assert 's1' not in view.upstreams_by_instance
        assert view.staleness() < 3.0
        fleet.store.refused_vms.clear()
        await asyncio.sleep(2.0)
        assert fleet.events('vm2', 'store.regained')

    run_fleet(main)


def test_staleness_grows_while_the_store_is_down():
    async def main(fleet):
        fleet.store.down = True
        await asyncio.sleep(6.0)
        staleness = [
            fleet.store_view(vm).staleness() for vm in fleet.apps_by_vm
        ]
        assert min(staleness) > 5.0
        assert fleet.events('vm1', 'store.lost')
        fleet.store.down = False
        await asyncio.sleep(1.0)
        (ended,) = fleet.events('vm1', 'state.verified_again')
        assert 5.0 < float(ended.fields['seconds']) < 8.0

    run_fleet(main)


def test_state_from_a_peer_is_verified_no_later_than_the_peers_own():
    async def main(fleet):
        fleet.store.down = True
        await asyncio.sleep(4.0)
        fleet.network.latency = 0.3
        oldest = min(
            fleet.store_view(vm).verified_at for vm in fleet.apps_by_vm
        )
        newest = max(
            fleet.store_view(vm).verified_at for vm in fleet.apps_by_vm
        )
        await asyncio.sleep(3.0)
        for vm in fleet.apps_by_vm:
            assert oldest <= fleet.store_view(vm).verified_at <= newest

    run_fleet(main)


def test_snapshot_is_read_after_the_store_compacts():
    async def main(fleet):
        fleet.store.remove('s2')
        fleet.store.compact()
        await asyncio.sleep(2.0)
        assert 's2' not in fleet.store_view('vm1').upstreams_by_instance
        fleet.store.register(system.upstream('s9'))
        await asyncio.sleep(0.1)
        assert 's9' in fleet.store_view('vm1').upstreams_by_instance

    run_fleet(main)


def answer_behind(client):
    # They go back, so that they aren't taken as a return of the store.
    revisions = itertools.cycle((2, 1))

    async def answer(*_arguments):
        return Ok(store.Changes(next(revisions), (), 1))

    client.watch = client.read = answer


def hang(client):
    async def answer(*_arguments):
        await asyncio.Event().wait()

    client.watch = client.read = answer


def raise_error(client):
    async def answer(*_arguments):
        raise RuntimeError('bad input')

    client.watch = client.read = answer


@pytest.mark.parametrize(
    ('trouble', 'outcome', 'seen'),
    [
        (hang, 'unreachable', 'no answer in time'),
        (answer_behind, 'behind', 'is below'),
        (raise_error, '', 'ok'),
    ],
)
def test_log_tells_why_the_state_is_old(trouble, outcome, seen):
    """Guards against an outage of which one line is all that is known."""

    async def main(fleet):
        for vm in fleet.apps_by_vm:
            trouble(fleet.store_view(vm)._client)
        await asyncio.sleep(40.0)
        lines = fleet.events('vm1', 'state.unverified')
        assert 7 <= len(lines) <= 8
        for line in lines[1:]:
            assert seen in line.fields['store_last']
            assert (f'{outcome}=' in line.fields['store']) == bool(outcome)
            assert line.fields['follow'] == 'runs'
            assert line.fields['waits_at'] != '-'
        app = fleet.apps_by_vm['vm1']
        assert (app.failure_count > 20) == (trouble is raise_error)
        answer = await fleet.request('vm1', '/look/x')
        assert answer.status == 503
        (refused,) = fleet.events('vm1', 'request.refused')
        assert seen in refused.fields['store_last']

    run_fleet(main)


def test_removed_upstream_is_dropped_within_50_ms():
    async def main(fleet):
        fleet.store.remove('s1')
        await asyncio.sleep(0.05)
        assert 's1' not in fleet.store_view('vm1').upstreams_by_instance

    run_fleet(main)


def test_removal_during_an_outage_is_put_off():
    async def main(fleet):
        fleet.store.down = True
        await asyncio.sleep(4.0)
        fleet.store.remove('s1')
        fleet.store.remove('s2')
        fleet.store.down = False
        await asyncio.sleep(1.0)
        upstreams = fleet.store_view('vm1').upstreams_by_instance
        assert 's1' in upstreams and 's2' in upstreams
        fleet.store.register(system.upstream('s1'))
        await asyncio.sleep(2.5)
        assert 's1' in upstreams and 's2' not in upstreams

    run_fleet(main)


def test_daemon_started_during_an_outage_asks_its_peers():
    async def main(fleet):
        fleet.store.down = True
        await fleet.start('vm4')
        await asyncio.sleep(2.0)
        view = fleet.store_view('vm4')
        assert view.configuration.version == 1
        assert len(view.upstreams_by_instance) == len(system.UPSTREAMS)

    run_fleet(main)


def test_changes_that_stay_unusable_are_passed_over_by_a_read():
    """Guards against asking for the same changes again for ever."""

    async def run():
        fleet = system.System()
        client = fleet.store.client('vm1')
        watch = client.watch

        async def watch_in_vain(*arguments):
            found = (await watch(*arguments)).ok
            if found.changes:
                return Error(store.StoreError('unusable', 'large'))
            return Ok(found)

        client.watch = watch_in_vain
        fleet.store.client = lambda _vm: client
        await fleet.start('vm1')
        await asyncio.sleep(3.0)
        fleet.store.publish(system.configuration(9))
        view = fleet.store_view('vm1')
        calls = view.store_calls
        await asyncio.sleep(2.5)
        assert view.configuration.version == 9
        assert view.staleness() < 2.0
        assert view.store_calls - calls < 6

    clock.run_virtual(run())


@pytest.mark.parametrize('is_started', [True, False])
def test_configuration_that_could_not_be_read_is_read_again(is_started):
    """Guards against withdrawn keys that count in a state taken as newest."""

    async def run():
        fleet = system.System()
        client = fleet.store.client('vm1')
        spoilt = []

        def spoiling(call):
            async def spoil_once(*arguments):
                found = (await call(*arguments)).ok
                if spoilt or not any(c.configuration for c in found.changes):
                    return Ok(found)
                spoilt.append(1)
                changes = [
                    c._replace(
                        configuration=None,
                        fault='null',
                        hides_configuration=True,
                    )
                    if c.configuration
                    else c
                    for c in found.changes
                ]
                return Ok(found._replace(changes=tuple(changes)))

            return spoil_once

        client.watch = spoiling(client.watch)
        fleet.store.client = lambda _vm: client
        if is_started:
            await fleet.start('vm1')
            await asyncio.sleep(3.0)
        else:
            client.read = spoiling(client.read)
        fleet.store.publish(
            system.configuration(9, keys_by_account={'parish': ('k2',)})
        )
        if not is_started:
            await fleet.start('vm1')
        await asyncio.sleep(1.5)
        assert spoilt
        assert fleet.store_view('vm1').staleness() < 2.0
        assert (await fleet.request('vm1', '/look/x', 'k2')).status == 200
        assert (await fleet.request('vm1', '/look/x', 'k1')).status == 401

    clock.run_virtual(run())
