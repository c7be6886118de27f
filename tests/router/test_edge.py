import asyncio
import re

import pytest

from corianderspar import clock
from corianderspar.router import event_stream
from corianderspar.router import fakes
from corianderspar.router import model
from corianderspar.router import upstreams
from tests.router import system


def run_fleet(main, count=3, **bounds):
    async def run():
        fleet = system.System()
        await fleet.start_all(count, **bounds)
        await asyncio.sleep(3.0)
        await main(fleet)

    clock.run_virtual(run())


SIZES = '3000,1000'


def test_plain_answer_is_passed_on_unchanged():
    async def main(fleet):
        answer = await fleet.request('vm1', '/look/x')
        assert answer.status == 200 and answer.ended
        assert answer.body.endswith(b' /look/x')
        assert fleet.upstreams.calls[-1].options.account == 'parish'

    run_fleet(main)


def test_answers_are_bounded_by_limits_or_tokens():
    async def main(fleet):
        await fleet.request('vm1', '/look/x')
        options = fleet.upstreams.calls[-1].options
        assert options.max_answer_bytes == model.MIN_ANSWER_BYTES
        await fleet.request('vm1', '/chat/x', sizes=SIZES)
        options = fleet.upstreams.calls[-1].options
        assert options.max_answer_bytes == event_stream.max_stream_bytes(1000)
        body_bytes = 2 * model.MIN_ANSWER_BYTES
        limits = model.CallerLimits(body_bytes=body_bytes)
        fleet.store.publish(system.configuration(2)._replace(limits=limits))
        await asyncio.sleep(0.1)
        await fleet.request('vm1', '/look/x')
        options = fleet.upstreams.calls[-1].options
        assert options.max_answer_bytes == body_bytes

    run_fleet(main)


def open_route(name):
    return system.route(name, 'shop', model.RetryPolicy.ALWAYS, public=True)


def test_old_state_denies_nothing_for_good():
    """Guards against callers that give up on a route or key that was added."""

    async def main(fleet):
        fleet.store.publish(system.configuration(2, [open_route('look')]))
        await asyncio.sleep(0.5)
        fleet.store.down = True
        fleet.store.publish(
            system.configuration(
                3, [open_route('look'), open_route('new')], {'new': ('k9',)}
            )
        )
        for staleness in (2.0, 6.0, 30.0):
            await asyncio.sleep(staleness)
            answer = await fleet.request('vm1', '/new/x')
            assert answer.status == 503
            assert answer.body == b'routes_unproved'
            assert answer.headers_by_name['ran'] == 'no'
            assert float(answer.headers_by_name['retry-after']) > 0.0
            assert (await fleet.request('vm1', '/look/x')).status == 200
        fleet.store.down = False
        await asyncio.sleep(1.0)
        assert (await fleet.request('vm1', '/new/x')).status == 200
        assert (await fleet.request('vm1', '/none/x')).status == 404

    run_fleet(main)


def test_old_state_denies_no_key_for_good():
    """Guards against callers that give up on a key that was added."""

    async def main(fleet):
        fleet.store.down = True
        await asyncio.sleep(2.5)
        answer = await fleet.request('vm1', '/look/x', 'k9')
        assert (answer.status, answer.body) == (503, b'keys_unproved')
        # A key that is known counts up to the bound of its own.
        assert (await fleet.request('vm1', '/look/x')).status == 200
        # What follows the store is late, but a call of its own is not.
        fleet.store.down = False
        fleet.store.publish(
            system.configuration(2, keys_by_account={'new': ('k9',)})
        )
        answer = await fleet.request('vm1', '/look/x', 'k9')
        assert answer.status == 200

    run_fleet(main)


def test_denials_in_a_large_fleet_make_few_calls():
    """Guards against a storm of calls by wrong paths."""

    async def main(fleet):
        calls = {
            vm: fleet.store_view(vm).store_calls for vm in fleet.apps_by_vm
        }
        total = fleet.store.call_count
        for _ in range(40):
            await asyncio.sleep(0.25)
            answers = await asyncio.gather(
                *(
                    fleet.request(vm, '/none/x')
                    for vm in fleet.apps_by_vm
                    for _request in range(3)
                )
            )
            assert {answer.status for answer in answers} == {404}
        for vm, before in calls.items():
            assert fleet.store_view(vm).store_calls - before <= 10
        assert fleet.store.call_count - total < 2 * 14

    run_fleet(main, 30)


def test_body_of_an_unsigned_answer_is_not_read():
    async def main(fleet):
        unsigned = fakes.Behaviour(is_genuine=False)
        fleet.upstreams.behaviours_by_instance['s1'] = unsigned
        for _ in range(4):
            assert (await fleet.request('vm1', '/look/x')).status == 200
        assert ('run', 's1') in fleet.upstreams.kinds_and_instances()
        assert fleet.upstreams.read_answers == 4
        assert not fleet.upstreams.open_answers
        fleet.upstreams.behaviours_by_instance['s2'] = unsigned
        assert (await fleet.request('vm1', '/order/x')).status == 502

    run_fleet(main, retry_slack=40.0)


def test_unknown_keys_and_routes_are_refused():
    async def main(fleet):
        assert (await fleet.request('vm1', '/look/x', key='bad')).status == 401
        assert (await fleet.request('vm1', '/none/x')).status == 404
        assert not fleet.upstreams.calls

    run_fleet(main)


def test_withdrawn_key_is_refused_by_all_daemons():
    async def main(fleet):
        fleet.store.publish(
            system.configuration(2, keys_by_account={'parish': ('k2',)})
        )
        await asyncio.sleep(0.1)
        for vm in fleet.apps_by_vm:
            assert (await fleet.request(vm, '/look/x')).status == 401
            assert (await fleet.request(vm, '/look/x', key='k2')).status == 200

    run_fleet(main)


def test_keys_are_refused_while_configuration_is_stale():
    async def main(fleet):
        fleet.store.down = True
        await asyncio.sleep(6.0)
        assert not fleet.edge('vm1').is_ready
        answer = await fleet.request('vm1', '/look/x')
        assert answer.status == 503
        assert answer.headers_by_name['ran'] == 'no'
        assert float(answer.headers_by_name['retry-after']) > 0
        assert not fleet.upstreams.calls

    run_fleet(main)


def test_paused_daemon_notices_its_stale_configuration():
    async def main(fleet):
        app = fleet.apps_by_vm['vm1']
        app.clock.pause()
        fleet.store.down = True
        await asyncio.sleep(6.0)
        app.clock.resume()
        answer = await fleet.request('vm1', '/look/x')
        assert answer.status == 503

    run_fleet(main)


def test_failed_idempotent_request_is_retried_once():
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance['s1'] = fakes.Behaviour(
            status=500
        )
        for _ in range(5):
            answer = await fleet.request('vm1', '/look/x')
            assert answer.status == 200
        assert len(fleet.upstreams.calls) <= 10

    run_fleet(main, retry_slack=40.0)


def test_non_idempotent_request_is_not_retried_if_it_may_have_run():
    async def main(fleet):
        broken = fakes.Behaviour(fault=upstreams.Fault.BROKEN)
        for name in ('s1', 's2'):
            fleet.upstreams.behaviours_by_instance[name] = broken
        answer = await fleet.request('vm1', '/order/x')
        assert answer.status == 502
        assert answer.headers_by_name['ran'] == 'unknown'
        assert len(fleet.upstreams.calls) == 1

    run_fleet(main, retry_slack=40.0)


def test_non_idempotent_request_is_retried_after_a_refusal():
    async def main(fleet):
        refused = fakes.Behaviour(fault=upstreams.Fault.REFUSED)
        fleet.upstreams.behaviours_by_instance['s1'] = refused
        statuses = [
            (await fleet.request('vm1', '/order/x')).status for _ in range(4)
        ]
        assert statuses == [200] * 4
        fleet.upstreams.behaviours_by_instance['s2'] = refused
        answer = await fleet.request('vm1', '/order/x')
        assert answer.status == 503
        assert answer.headers_by_name['ran'] == 'no'

    run_fleet(main, retry_slack=40.0)


def test_idempotent_request_is_retried_if_an_upstream_hangs():
    async def main(fleet):
        hanging = fakes.Behaviour(delay=60.0)
        fleet.upstreams.behaviours_by_instance['s1'] = hanging
        for _ in range(3):
            assert (await fleet.request('vm1', '/look/x')).status == 200

    run_fleet(main, retry_slack=40.0)


def test_route_timeout_ends_a_request_with_an_error_answer():
    async def main(fleet):
        routes = (
            system.route(
                'order', 'shop', model.RetryPolicy.NEVER, timeout=0.5
            ),
        )
        fleet.store.publish(system.configuration(2, routes))
        hanging = fakes.Behaviour(delay=60.0)
        for name in ('s1', 's2'):
            fleet.upstreams.behaviours_by_instance[name] = hanging
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await fleet.request('vm1', '/order/x')
        assert answer.status == 504
        assert 0.4 <= loop.time() - began <= 0.5

    run_fleet(main)


def test_stream_uses_a_prefill_and_a_decode_engine():
    async def main(fleet):
        answer = await fleet.request('vm1', '/chat/x', sizes=SIZES)
        assert answer.status == 200 and answer.ended
        assert answer.body.count(b'id: ') == 5
        (first, prefill), (second, decode) = (
            fleet.upstreams.kinds_and_instances()
        )
        assert (first, second) == ('prefill', 'decode')
        assert prefill[0] == 'p' and decode[0] == 'd'

    run_fleet(main)


def test_broken_stream_resumes_after_its_last_whole_event():
    async def main(fleet):
        breaking = fakes.Behaviour(breaks_after=2)
        fleet.upstreams.behaviours_by_instance['d1'] = breaking
        fleet.upstreams.behaviours_by_instance['d2'] = breaking
        task = asyncio.create_task(
            fleet.request('vm1', '/chat/x', sizes=SIZES)
        )
        await asyncio.sleep(0.17)
        fleet.upstreams.behaviours_by_instance.clear()
        answer = await task
        assert answer.ended
        numbers = [
            int(line[4:])
            for line in answer.body.split(b'\n')
            if line.startswith(b'id: ')
        ]
        assert numbers == [1, 2, 3, 4, 5]
        decodes = [s for s in fleet.upstreams.calls if s.kind == 'decode']
        assert decodes[1].options.after_event == 2
        assert decodes[0].instance != decodes[1].instance

    run_fleet(main, retry_slack=40.0)


def test_broken_stream_that_may_not_resume_is_truncated():
    async def main(fleet):
        breaking = fakes.Behaviour(breaks_after=2)
        for name in ('d1', 'd2'):
            fleet.upstreams.behaviours_by_instance[name] = breaking
        answer = await fleet.request('vm1', '/once/x', sizes=SIZES)
        assert answer.status == 200 and not answer.ended
        assert (
            len([s for s in fleet.upstreams.calls if s.kind == 'decode']) == 1
        )

    run_fleet(main, retry_slack=40.0)


def test_no_prefill_for_an_unreachable_decode_engine():
    async def main(fleet):
        unreachable = fakes.Behaviour(fault=upstreams.Fault.NOT_SENT)
        for engine in ('d1', 'd2'):
            fleet.upstreams.behaviours_by_instance[engine] = unreachable
        answer = await fleet.request('vm1', '/once/x', sizes=SIZES, time='2')
        assert answer.status == 503
        assert answer.headers_by_name['ran'] == 'no'
        assert not fleet.upstreams.calls
        del fleet.upstreams.behaviours_by_instance['d2']
        await asyncio.sleep(2.0)
        assert (await fleet.request('vm1', '/once/x', sizes=SIZES)).ended
        kinds = [kind for kind, _ in fleet.upstreams.kinds_and_instances()]
        assert kinds == ['prefill', 'decode']

    run_fleet(main, retry_slack=40.0)


def test_prefill_is_reused_if_the_decode_engine_is_gone():
    async def main(fleet):
        unreachable = fakes.Behaviour(
            fault=upstreams.Fault.NOT_SENT, accepts_connections=True
        )
        fleet.upstreams.behaviours_by_instance['d1'] = unreachable
        for _ in range(2):
            answer = await fleet.request('vm1', '/once/x', sizes=SIZES)
            assert answer.ended
        kinds = [kind for kind, _ in fleet.upstreams.kinds_and_instances()]
        assert kinds.count('prefill') == 2
        assert kinds.count('decode') <= 3

    run_fleet(main, retry_slack=40.0)


def test_disconnect_ends_the_run_and_frees_its_grant():
    async def main(fleet):
        exchange = fleet.exchange('vm1')
        task = asyncio.create_task(
            fleet.run_exchange(exchange, '/chat/x', sizes=SIZES)
        )
        await asyncio.sleep(0.17)
        assert fleet.upstreams.open_answers == 1
        exchange.leave()
        await asyncio.sleep(0.05)
        assert task.done() and fleet.upstreams.open_answers == 0
        for vm in fleet.apps_by_vm:
            scheduler = fleet.placement(vm).scheduler_for('llm')
            assert not scheduler.reservations_by_id
            assert not fleet.placement(vm).reservations_by_id

    run_fleet(main)


def test_disconnect_before_the_first_event_releases_the_prompt():
    async def main(fleet):
        slow = fakes.Behaviour(delay=0.3)
        for name in ('d1', 'd2'):
            fleet.upstreams.behaviours_by_instance[name] = slow
        exchange = fleet.exchange('vm1')
        task = asyncio.create_task(
            fleet.run_exchange(exchange, '/chat/x', sizes=SIZES)
        )
        await asyncio.sleep(0.2)
        exchange.leave()
        await asyncio.sleep(0.05)
        assert task.done()
        assert len(fleet.upstreams.released_handles) == 1

    run_fleet(main)


def test_poison_request_is_quarantined_by_all_daemons():
    async def main(fleet):
        for port, name in enumerate(('p1', 'p2', 'd1', 'd2'), 1000):
            found = fleet.store_view('vm1').upstreams_by_instance[name]
            fleet.store.register(found._replace(port=port))
        await asyncio.sleep(1.0)
        fleet.upstreams.poison_targets.add('/once/x')
        for _ in range(3):
            for vm in ('vm1', 'vm2', 'vm3'):
                await fleet.request(vm, '/once/x', sizes=SIZES)
                await asyncio.sleep(2.5)
        decodes = [s for s in fleet.upstreams.calls if s.kind == 'decode']
        assert len(decodes) == 2
        assert fleet.events('vm3', 'request.refused')[-1].fields['code'] == (
            'quarantined'
        )

    run_fleet(main, retry_slack=40.0)


@pytest.mark.parametrize(
    'behaviour',
    [
        fakes.Behaviour(fault=upstreams.Fault.BROKEN),
        fakes.Behaviour(breaks_after=2),
    ],
    ids=['head', 'stream'],
)
def test_endless_answer_is_no_crash_of_its_engine(behaviour):
    async def main(fleet):
        for name in ('d1', 'd2'):
            fleet.upstreams.behaviours_by_instance[name] = behaviour._replace(
                is_alive=True
            )
        for _ in range(3):
            answer = await fleet.request('vm1', '/once/x', sizes=SIZES)
            assert not answer.ended or answer.status == 502
            await asyncio.sleep(1.0)
        decodes = [s for s in fleet.upstreams.calls if s.kind == 'decode']
        assert len(decodes) == 3
        assert not fleet.events('vm1', 'engine.broke_off')
        assert not fleet.events('vm1', 'request.at_crash')
        for name in ('d1', 'd2'):
            fleet.upstreams.behaviours_by_instance[name] = behaviour
        await fleet.request('vm1', '/once/x', sizes=SIZES)
        await asyncio.sleep(0.2)
        assert fleet.events('vm1', 'engine.broke_off')
        for name in ('d1', 'd2'):
            fleet.store.remove(name)
        await asyncio.sleep(2.0)
        assert fleet.events('vm1', 'request.at_crash')

    run_fleet(main, retry_slack=40.0)


@pytest.mark.parametrize(
    'stray', [b'x', b'id: 1\n\n', b': ping\n\n', b'\r\n\r\n']
)
def test_stream_resumes_while_bytes_come_but_no_event(stray):
    async def main(fleet):
        endless = fakes.Behaviour(
            breaks_after=2, stray=stray, event_interval=0.5
        )
        loop = asyncio.get_running_loop()
        for name in ('d1', 'd2'):
            for other in ('d1', 'd2'):
                fleet.upstreams.behaviours_by_instance[other] = (
                    endless if other == name else fakes.Behaviour()
                )
            began = loop.time()
            answer = await fleet.request('vm1', '/chat/x', sizes=SIZES)
            assert answer.status == 200 and answer.ended
            numbers = re.findall(rb'^id: (\d+)$', answer.body, re.MULTILINE)
            assert numbers == [b'1', b'2', b'3', b'4', b'5']
            assert loop.time() - began < 4.0
        results = {
            event.fields['result']
            for event in fleet.events('vm1', 'request.streamed')
        }
        assert results == {'whole', 'no event for 1.2 s'}

    run_fleet(main, retry_slack=40.0)


def test_account_rate_holds_over_all_daemons():
    async def main(fleet):
        fleet.store.publish(system.configuration(2, rate=1000.0, burst=1000.0))
        await asyncio.sleep(0.1)
        granted = 0
        refused = []

        async def send(vm):
            nonlocal granted
            answer = await fleet.request(vm, '/look/x')
            if answer.status == 200:
                granted += 200
            else:
                assert answer.status == 429
                refused.append(float(answer.headers_by_name['retry-after']))

        tasks = []
        for number in range(400):
            vm = f'vm{number % 3 + 1}'
            tasks.append(asyncio.create_task(send(vm)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        # The callers ask for 20 times the rate during 4 s.
        assert 4000 <= granted <= 1000 + 1000 * 4.2
        assert max(refused) > 1.0

    run_fleet(main)


def test_partition_grants_at_most_two_bursts_and_one_rate():
    async def main(fleet):
        fleet.store.publish(system.configuration(2, rate=1000.0, burst=1000.0))
        await asyncio.sleep(0.1)
        fleet.network.partition({'vm1'}, {'vm2', 'vm3'})
        await asyncio.sleep(2.0)
        granted = 0

        async def send(vm):
            nonlocal granted
            granted += 200 * (
                (await fleet.request(vm, '/look/x')).status == 200
            )

        tasks = []
        for number in range(400):
            vm = f'vm{number % 3 + 1}'
            tasks.append(asyncio.create_task(send(vm)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        assert granted <= 2 * 1000 + 1000 * 4.2

    run_fleet(main)


def test_requests_are_placed_after_their_home_died():
    async def main(fleet):
        home = fleet.placement('vm1').home('llm')
        other = next(vm for vm in fleet.apps_by_vm if vm != home)
        assert (await fleet.request(other, '/chat/x', sizes=SIZES)).ended
        await fleet.kill(home)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await fleet.request(other, '/chat/x', sizes=SIZES)).ended
        assert loop.time() - began < 0.9
        assert (await fleet.request(other, '/chat/x', sizes=SIZES)).ended

    run_fleet(main)


def test_new_home_counts_requests_that_already_run():
    async def main(fleet):
        long = fakes.Behaviour(events=200)
        for name in ('d1', 'd2'):
            fleet.upstreams.behaviours_by_instance[name] = long
        home = fleet.placement('vm1').home('llm')
        other = next(vm for vm in fleet.apps_by_vm if vm != home)
        tasks = [
            asyncio.create_task(fleet.request(other, '/chat/x', sizes=SIZES))
            for _ in range(4)
        ]
        await asyncio.sleep(0.5)
        await fleet.kill(home)
        await asyncio.sleep(2.5)
        assert (
            await fleet.request(other, '/once/x', sizes=SIZES)
        ).status == 200
        after = fleet.placement(other).home('llm')
        scheduler = fleet.placement(after).scheduler_for('llm')
        assert sum(map(len, scheduler._uses_by_instance(0.0).values())) >= 4
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_fleet(main)


def _limit_engines_to_one_request(fleet):
    found = system.configuration(2)
    small = model.EngineLimits(64, 5000)
    services = found.services_by_name | {'llm': model.Service('llm', small)}
    fleet.store.publish(found._replace(services_by_name=services))


async def _occupy_one_engine(fleet):
    """Keep one decode engine busy; return its task and the free engine."""
    _limit_engines_to_one_request(fleet)
    await asyncio.sleep(0.1)
    for name in ('d1', 'd2'):
        fleet.upstreams.behaviours_by_instance[name] = fakes.Behaviour(
            events=30
        )
    other = asyncio.create_task(fleet.request('vm1', '/chat/o', sizes=SIZES))
    await asyncio.sleep(0.2)
    busy = next(
        i
        for kind, i in fleet.upstreams.kinds_and_instances()
        if kind == 'decode'
    )
    return other, 'd2' if busy == 'd1' else 'd1'


def test_broken_stream_waits_for_a_free_engine():
    async def main(fleet):
        other, free = await _occupy_one_engine(fleet)
        fleet.upstreams.behaviours_by_instance[free] = fakes.Behaviour(
            events=30, breaks_after=4
        )
        answer = await fleet.request('vm1', '/chat/x', sizes=SIZES)
        assert answer.ended and answer.body.count(b'id: ') == 30
        assert (await other).ended

    run_fleet(main, retry_slack=40.0)


def test_disconnect_while_waiting_releases_the_prefilled_prompt():
    async def main(fleet):
        other, free = await _occupy_one_engine(fleet)
        fleet.upstreams.behaviours_by_instance[free] = fakes.Behaviour(
            fault=upstreams.Fault.NOT_SENT, accepts_connections=True
        )
        exchange = fleet.exchange('vm1')
        task = asyncio.create_task(
            fleet.run_exchange(
                exchange, '/once/x', sizes='1500,300', time='9.6'
            )
        )
        await asyncio.sleep(0.1)
        assert not task.done() and not fleet.upstreams.released_handles
        exchange.leave()
        await asyncio.sleep(0.05)
        assert task.done()
        assert len(fleet.upstreams.released_handles) == 1
        await other

    run_fleet(main, retry_slack=40.0)


def test_restarted_engine_is_avoided_by_all_daemons():
    async def main(fleet):
        restarted = fakes.Behaviour(
            fault=upstreams.Fault.REFUSED, misdirected=True, delay=0.01
        )
        fleet.upstreams.behaviours_by_instance['d1'] = restarted
        for number in range(8):
            vm = f'vm{number % 3 + 1}'
            answer = await fleet.request(vm, '/chat/x', sizes='300,100')
            assert answer.ended
        sends = [
            i
            for kind, i in fleet.upstreams.kinds_and_instances()
            if kind == 'decode'
        ]
        assert sends.count('d1') <= 2

    run_fleet(main, retry_slack=40.0)


def test_request_that_was_not_sent_costs_no_retry_budget():
    async def main(fleet):
        fleet.upstreams.behaviours_by_instance['d1'] = fakes.Behaviour(
            fault=upstreams.Fault.NOT_SENT, accepts_connections=True
        )
        fleet.upstreams.behaviours_by_instance['s1'] = fakes.Behaviour(
            fault=upstreams.Fault.NOT_SENT
        )
        for _ in range(3):
            answer = await fleet.request('vm1', '/once/x', sizes='300,100')
            assert answer.ended
            assert (await fleet.request('vm1', '/order/x')).status == 200
        assert not fleet.events('vm1', 'request.not_repeated')

    run_fleet(main, retry_ratio=0.0, retry_slack=0.0)


def test_request_fails_at_once_without_retry_budget():
    async def main(fleet):
        for engine in ('d1', 'd2'):
            fleet.upstreams.behaviours_by_instance[engine] = fakes.Behaviour(
                fault=upstreams.Fault.REFUSED, delay=0.01
            )
        answer = await fleet.request('vm1', '/once/x', sizes='300,100')
        assert answer.status == 503 and answer.headers_by_name['ran'] == 'no'
        assert len(fleet.events('vm1', 'request.not_repeated')) == 1
        assert len(fleet.events('vm1', 'request.placed')) == 2

    run_fleet(main, retry_ratio=0.0, retry_slack=0.0)


@pytest.mark.parametrize('path', ['/order', '/look'])
def test_request_that_had_no_connection_by_its_deadline_has_not_run(path):
    # It ended as 504, after which callers of orders may not repeat it.
    async def main(fleet):
        fleet.upstreams.default_behaviour = fakes.Behaviour(connect_delay=2.0)
        answer = await fleet.request('vm1', f'{path}/x', time='0.6')
        assert answer.status == 503
        assert answer.headers_by_name['ran'] == 'no'
        assert not fleet.upstreams.calls
        await asyncio.sleep(3.0)
        assert not fleet.upstreams.calls

    run_fleet(main)
