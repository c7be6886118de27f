"""One bad input does not leave a daemon deaf, or deaf and ready."""

import asyncio

import msgspec
import pytest

from corianderspar import clock
from corianderspar import kernel
from corianderspar import wire
from corianderspar.router import membership  # noqa: H306
from tests.router import system

FAILED = 'service.failed'
NESTED = b'\x91' * 5000 + b'\x01'  # arrays of one entry, nested 5,000 deep


def run_fleet(main, count=3):
    async def run():
        fleet = system.System()
        await fleet.start_all(count)
        await asyncio.sleep(3.0)
        await main(fleet)

    clock.run_virtual(run())


def fail(*_arguments, **_keywords):
    raise RuntimeError('bad input')


def cancel():
    raise asyncio.CancelledError  # as an awaited future does that is cancelled


def failing_once(method, end=fail):
    failures = []

    async def fail_once(*arguments, **keywords):
        if not failures:
            failures.append(1)
            end()
        return await method(*arguments, **keywords)

    return fail_once


def store_client(fleet, vm):
    return fleet.store_view(vm)._client


@pytest.mark.parametrize('end', [fail, cancel])
@pytest.mark.parametrize('vms', [('vm1',), ('vm1', 'vm2', 'vm3')])
def test_store_is_followed_again_after_a_failure(vms, end):
    """Guards against daemons that keep an old configuration for good."""

    async def main(fleet):
        for vm in vms:
            client = store_client(fleet, vm)
            client.watch = failing_once(client.watch, end)
        await asyncio.sleep(2.0)
        fleet.store.publish(
            system.configuration(2, keys_by_account={'parish': ('k2',)})
        )
        await asyncio.sleep(1.0)
        for vm in fleet.apps_by_vm:
            assert (await fleet.request(vm, '/look/x', 'k2')).status == 200
            assert (await fleet.request(vm, '/look/x', 'k1')).status == 401
            assert fleet.edge(vm).is_ready
        for vm in vms:
            (failed,) = fleet.events(vm, 'service.failed')
            assert failed.fields['place'].startswith('test_task_failures.py:')
            assert len(fleet.events(vm, 'service.restarted')) == 1

    run_fleet(main)


def test_daemon_whose_task_fails_again_and_again_is_not_ready():
    """Guards against callers that are sent to a deaf daemon."""

    async def main(fleet):
        members = fleet.membership('vm1')
        forget = members._forget_silent
        members._forget_silent = fail
        await asyncio.sleep(4.0)
        assert not fleet.edge('vm1').is_ready
        assert fleet.edge('vm2').is_ready
        # What still arrives is served.
        assert (await fleet.request('vm1', '/look/x')).status == 200
        members._forget_silent = forget
        await asyncio.sleep(kernel.SOUND_SECONDS + 1.0)
        assert fleet.edge('vm1').is_ready
        assert fleet.membership('vm2').is_alive('vm1')

    run_fleet(main)


def test_hook_that_raises_keeps_nothing_from_following_the_store():
    """Guards against a daemon that fails at the same change for ever."""

    async def main(fleet):
        view = fleet.store_view('vm1')
        configurations, hooks, heard = [], [], []

        def adopt(configuration):
            if hooks:
                fail()
            configurations.append(configuration.version)

        def notice():
            if hooks:
                fail()

        view.on_configuration_adopted.insert(0, adopt)
        view.on_upstreams_change.insert(0, notice)
        view.on_upstreams_change.append(lambda: heard.append(1))
        hooks.append(1)
        fleet.store.publish(
            system.configuration(2, keys_by_account={'parish': ('k2',)})
        )
        fleet.store.remove('s1')
        await asyncio.sleep(6.0)
        assert (await fleet.request('vm1', '/look/x', 'k2')).status == 200
        assert 's1' not in view.upstreams_by_instance
        assert heard
        assert not fleet.edge('vm1').is_ready
        assert fleet.edge('vm2').is_ready
        tasks = {e.fields['task'] for e in fleet.events('vm1', FAILED)}
        assert tasks == {
            'on_configuration_adopted[0]',
            'on_upstreams_change[0]',
        }
        hooks.clear()
        await asyncio.sleep(1.0)
        assert configurations == [2]
        assert fleet.edge('vm1').is_ready

    run_fleet(main)


def test_change_that_cannot_be_applied_keeps_nothing_back():
    """Guards against a daemon that fails at the same change for ever."""

    async def main(fleet):
        view = fleet.store_view('vm1')
        offer, apply = view._adopted.offer, view._registrations._apply

        def fail_at_version_2(configuration, *arguments, **keywords):
            if configuration.version == 2:
                fail()
            return offer(configuration, *arguments, **keywords)

        def fail_at_bad(change, *arguments, **keywords):
            if change.instance == 'bad':
                fail()
            apply(change, *arguments, **keywords)

        view._adopted.offer = fail_at_version_2
        view._registrations._apply = fail_at_bad
        fleet.store.register(system.upstream('bad'))
        fleet.store.remove('s1')
        await asyncio.sleep(8.0)
        assert 's1' not in view.upstreams_by_instance
        assert (await fleet.request('vm1', '/look/x')).status == 200
        assert fleet.edge('vm1').is_ready
        # Nothing is vouched for without the newest configuration.
        fleet.store.publish(
            system.configuration(2, keys_by_account={'parish': ('k2',)})
        )
        fleet.store.register(system.upstream('s3'))
        await asyncio.sleep(6.0)
        assert 's3' in view.upstreams_by_instance
        assert (await fleet.request('vm1', '/look/x')).status == 503
        assert not fleet.edge('vm1').is_ready
        calls = view.store_calls
        await asyncio.sleep(10.0)
        assert view.store_calls - calls < 50
        fleet.store.publish(system.configuration(3))
        await asyncio.sleep(1.0)
        assert (await fleet.request('vm1', '/look/x')).status == 200
        assert fleet.edge('vm1').is_ready

    run_fleet(main)


@pytest.mark.parametrize('task', ['follow', 'tend'])
def test_task_that_hangs_is_cancelled_and_run_again(task):
    """Guards against a daemon that waits for what never comes."""

    async def main(fleet):
        view = fleet.store_view('vm1')
        client = store_client(fleet, 'vm1')
        watch, ask = client.watch, view._ask_peer

        async def hang(*_arguments):
            client.watch, view._ask_peer = watch, ask
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                if task == 'tend':
                    raise
                await asyncio.Event().wait()  # the call's timeout is lost

        if task == 'follow':
            client.watch = hang
        else:
            view._ask_peer = hang
            fleet.store.refused_vms.add('vm1')
        ready = []
        for _ in range(100):
            await asyncio.sleep(0.1)
            ready.append(fleet.edge('vm1').is_ready)
        assert not all(ready)
        assert ready[-1]
        fleet.store.publish(system.configuration(2))
        await asyncio.sleep(2.0)
        assert view.configuration.version == 2
        assert fleet.edge('vm1').is_ready
        (line,) = fleet.events('vm1', 'service.silent')
        assert line.fields['task'] == task
        assert 'test_task_failures.py' in line.fields['waits_at']

    run_fleet(main)


def test_frozen_process_has_no_task_that_hangs():
    """Guards against work that is cancelled since its VM was suspended."""

    async def main(fleet):
        selector = asyncio.get_running_loop()._time_selector
        for seconds in (3.0, 60.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0):
            selector.now += seconds  # all that was due comes due at once
            await asyncio.sleep(0.3)
        await asyncio.sleep(3.0)
        for vm in fleet.apps_by_vm:
            assert not fleet.events(vm, 'service.silent')
            assert fleet.edge(vm).is_ready

    run_fleet(main)


@pytest.mark.parametrize('step', ['provide', 'accept'])
def test_failing_section_leaves_the_rest_of_heartbeats(step):
    """Guards against daemons that seem dead for what one service holds."""

    async def main(fleet):
        members = fleet.membership('vm1')
        sections = getattr(members, f'_{step}_by_section')
        sections[next(iter(sections))] = fail
        await asyncio.sleep(8.0)
        for vm in ('vm2', 'vm3'):
            assert fleet.membership(vm).is_alive('vm1')
            assert members.is_alive(vm)
        logged = fleet.events('vm1', 'heartbeat.section_failed')
        assert 1 <= len(logged) <= 2
        assert fleet.edge('vm1').is_ready

    run_fleet(main)


def test_message_that_is_nested_too_deep_is_malformed():
    """Guards against a daemon that receives nothing more from any peer."""
    registry = wire.Registry()
    registry.add('beat', membership.Heartbeat)
    with pytest.raises(wire.WireError):
        registry.decode_body('beat', NESTED)
    with pytest.raises(wire.WireError):
        wire.decode(NESTED)
    with pytest.raises(RecursionError):
        msgspec.msgpack.decode(NESTED)
