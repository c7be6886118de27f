"""Upstreams that announce that they leave or ask for a pause."""

import asyncio

import pytest

from corianderspar.router import fakes
from corianderspar.router import model
from corianderspar.router import upstream_pauses
from corianderspar.router import upstreams
from tests.router import system
from tests.router import test_store_era

SIZES = '3000,1000'
BURST = 40  # requests at once, so many that a slow upstream is used as well
LEAVING = fakes.Behaviour(notice=upstreams.Notice(is_leaving=True))
run_fleet = test_store_era.run_fleet


def refusing(pause):
    return fakes.Behaviour(
        delay=0.001,
        fault=upstreams.Fault.REFUSED,
        notice=upstreams.Notice(pause=pause),
    )


def calls_to(fleet, instance, vm=None):
    return [
        call
        for call in fleet.upstreams.calls
        if call.instance == instance and vm in (None, call.vm)
    ]


async def send(fleet, vm, path, count, **headers):
    return await asyncio.gather(
        *(fleet.request(vm, f'{path}{n}', **headers) for n in range(count))
    )


def test_leaving_plain_upstream_gets_no_more_from_that_daemon():
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance['s1'] = LEAVING
        await send(fleet, 'vm1', '/look/', 4)
        assert calls_to(fleet, 's1')
        fleet.upstreams.calls.clear()
        answers = await send(fleet, 'vm1', '/look/', 20)
        assert {answer.status for answer in answers} == {200}
        assert not calls_to(fleet, 's1')
        assert fleet.events('vm1', 'upstream.leaving')

    run_fleet(main)


@pytest.mark.parametrize('engine', ['d1', 'p1'])
def test_home_places_nothing_on_an_engine_that_announced_it_to_another(
    engine,
):
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance[engine] = LEAVING
        home = fleet.placement('vm1').home('llm')
        first, second = (vm for vm in fleet.apps_by_vm if vm != home)
        await send(fleet, first, '/chat/', 4, sizes=SIZES)
        assert calls_to(fleet, engine)
        await asyncio.sleep(0.1)
        fleet.upstreams.calls.clear()
        for vm in (home, second):
            answers = await send(fleet, vm, '/chat/', 6, sizes=SIZES)
            assert all(answer.ended for answer in answers)
        assert not calls_to(fleet, engine)

    run_fleet(main)


def test_leaving_is_known_after_the_home_changed_and_the_store_went_back():
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance['d1'] = LEAVING
        home = fleet.placement('vm1').home('llm')
        sender = next(vm for vm in fleet.apps_by_vm if vm != home)
        await send(fleet, sender, '/chat/', 4, sizes=SIZES)
        await fleet.kill(home)
        await test_store_era.return_from_copy(fleet, 1.0)
        await asyncio.sleep(5.0)
        fleet.upstreams.calls.clear()
        answers = await send(fleet, sender, '/chat/', 6, sizes=SIZES)
        assert all(answer.ended for answer in answers)
        assert not calls_to(fleet, 'd1', sender)

    run_fleet(main)


def test_new_process_of_the_same_instance_serves():
    async def main(fleet):
        old = system.upstream('s1')._replace(started_ms=1000)
        fleet.store.register(old)
        fleet.upstreams.behaviours_by_instance['s1'] = LEAVING
        await asyncio.sleep(0.1)
        await send(fleet, 'vm1', '/look/', 4)
        del fleet.upstreams.behaviours_by_instance['s1']
        fleet.store.register(old._replace(started_ms=2000))
        await asyncio.sleep(0.1)
        fleet.upstreams.calls.clear()
        await send(fleet, 'vm1', '/look/', 20)
        assert calls_to(fleet, 's1')

    run_fleet(main)


def test_address_that_another_instance_has_is_not_called_again():
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance['s1'] = fakes.Behaviour(
            fault=upstreams.Fault.REFUSED,
            misdirected=True,
            notice=upstreams.Notice(is_replaced=True),
        )
        await send(fleet, 'vm1', '/look/', 4)
        fleet.upstreams.calls.clear()
        await send(fleet, 'vm1', '/look/', BURST)
        assert not calls_to(fleet, 's1')

    run_fleet(main)


@pytest.mark.parametrize('pause', [0.6, 2.5])
def test_upstream_that_asks_for_a_pause_gets_nothing_until_its_end(pause):
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance['s1'] = refusing(pause)
        while not calls_to(fleet, 's1'):
            await send(fleet, 'vm1', '/look/', 2)
        await asyncio.sleep(0.01)
        del fleet.upstreams.behaviours_by_instance['s1']
        fleet.upstreams.calls.clear()
        for _ in range(round(pause / 0.1) - 1):
            answers = await send(fleet, 'vm1', '/look/', BURST)
            assert {answer.status for answer in answers} == {200}
            await asyncio.sleep(0.05)
        assert not calls_to(fleet, 's1')
        await asyncio.sleep(0.2)
        await send(fleet, 'vm1', '/look/', BURST)
        assert calls_to(fleet, 's1')

    run_fleet(main)


def test_refused_request_is_served_by_another_upstream():
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance['s1'] = refusing(3.0)
        answers = await send(fleet, 'vm1', '/order/', 6)
        assert {answer.status for answer in answers} == {200}

    run_fleet(main, retry_slack=100.0)


def test_request_is_refused_at_once_if_all_upstreams_asked_for_a_pause():
    async def main(fleet):
        for instance in ('s1', 's2'):
            fleet.upstreams.behaviours_by_instance[instance] = refusing(3.0)
        await fleet.request('vm1', '/order/1')
        await asyncio.sleep(0.5)
        fleet.upstreams.calls.clear()
        began = asyncio.get_running_loop().time()
        answer = await fleet.request('vm1', '/order/2')
        assert asyncio.get_running_loop().time() - began < 0.01
        assert answer.status == 503
        assert answer.headers_by_name['ran'] == 'no'
        retry_after = float(answer.headers_by_name['retry-after'])
        assert 2.4 < retry_after <= 2.5
        assert not fleet.upstreams.calls

    run_fleet(main, retry_slack=100.0)


@pytest.mark.parametrize('engine', ['d1', 'p1'])
def test_engine_that_asks_for_a_pause_is_spared_by_that_daemon_alone(engine):
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance[engine] = refusing(4.0)
        home = fleet.placement('vm1').home('llm')
        first, second = (vm for vm in fleet.apps_by_vm if vm != home)
        while not calls_to(fleet, engine, first):
            await send(fleet, first, '/chat/', 4, sizes=SIZES)
        del fleet.upstreams.behaviours_by_instance[engine]
        await asyncio.sleep(0.5)
        fleet.upstreams.calls.clear()
        answers = await send(fleet, first, '/chat/', 6, sizes=SIZES)
        assert all(answer.ended for answer in answers)
        assert not calls_to(fleet, engine, first)
        await send(fleet, second, '/chat/', 6, sizes=SIZES)
        assert calls_to(fleet, engine, second)

    run_fleet(main, retry_slack=100.0)


def test_caller_learns_when_the_decode_engines_accept_requests_again():
    async def main(fleet):
        for instance in ('p1', 'p2', 'd1', 'd2'):
            fleet.upstreams.behaviours_by_instance[instance] = refusing(4.0)
        for _ in range(3):
            await send(fleet, 'vm1', '/chat/', 2, sizes=SIZES)
        fleet.upstreams.calls.clear()
        answer = await fleet.request('vm1', '/chat/9', sizes=SIZES)
        assert answer.status == 503
        assert float(answer.headers_by_name['retry-after']) > 3.0
        assert not fleet.upstreams.calls

    run_fleet(main, retry_slack=100.0)


def test_grant_made_before_the_pause_is_not_used():
    async def main(fleet):
        chat = asyncio.create_task(
            fleet.request('vm1', '/chat/1', sizes=SIZES)
        )
        # While the prompt is prefilled, the granted decode engine asks
        # another request for a pause.
        await asyncio.sleep(0.02)
        reservations = fleet.placement('vm1').reservations_by_id
        granted = next(iter(reservations.values())).grant.decode
        notices = fleet.apps_by_vm['vm1'].find('notices', object)
        notices._on_notice(
            system.upstream(granted, model.Phase.DECODE),
            upstreams.Notice(pause=5.0),
        )
        assert (await chat).ended
        assert not calls_to(fleet, granted)
        assert fleet.events('vm1', 'request.not_sent')

    run_fleet(main, retry_slack=100.0)


def test_unreadable_pause_is_logged_and_changes_nothing():
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance['s1'] = fakes.Behaviour(
            notice=upstreams.Notice(unreadable_pause='soon')
        )
        await send(fleet, 'vm1', '/look/', 4)
        fleet.upstreams.calls.clear()
        await send(fleet, 'vm1', '/look/', 20)
        assert calls_to(fleet, 's1')
        assert fleet.events('vm1', 'upstream.unreadable_pause')

    run_fleet(main)


@pytest.mark.parametrize(
    ('seconds', 'kept'),
    [
        (0.25, 0.25),
        (-1.0, 0.0),
        (1e12, upstream_pauses.MAX_PAUSE_SECONDS),
        (float('inf'), upstream_pauses.MAX_PAUSE_SECONDS),
        (float('nan'), upstream_pauses.MAX_PAUSE_SECONDS),
    ],
)
def test_pause_is_bounded(seconds, kept):
    pauses = upstream_pauses.UpstreamPauses()
    upstream = system.upstream('s1')
    assert pauses.add(upstream, seconds, 100.0) == pytest.approx(kept)
    assert pauses.is_paused(upstream, 100.0) == (kept > 0)
    assert not pauses.is_paused(upstream, 100.1 + kept)
    pauses.drop_ended(100.1 + kept)


def test_shorter_pause_does_not_end_a_longer_one():
    pauses = upstream_pauses.UpstreamPauses()
    upstream = system.upstream('s1')._replace(started_ms=1)
    pauses.add(upstream, 5.0, 100.0)
    pauses.add(upstream, 0.1, 101.0)
    assert pauses.ends_at(upstream) == 105.0
    assert not pauses.is_paused(upstream._replace(started_ms=2), 101.0)
