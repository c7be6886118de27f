import asyncio

from corianderspar import clock
from corianderspar.router import fakes
from corianderspar.router import model
from corianderspar.router import upstreams
from tests.router import system


def play(main, count=3, **bounds):
    async def run():
        world = system.System()
        await world.start_all(count, **bounds)
        await asyncio.sleep(3.0)
        await main(world)

    clock.run_virtual(run())


SIZES = '3000,1000'


def test_a_lookup_is_answered_unchanged():
    async def main(world):
        answer = await world.request('vm1', '/look/x')
        assert answer.status == 200 and answer.ended
        assert answer.body.endswith(b' /look/x')
        assert world.upstreams.calls[-1].options.account == 'parish'

    play(main)


def test_unknown_keys_and_routes_are_refused():
    async def main(world):
        assert (await world.request('vm1', '/look/x', key='bad')).status == 401
        assert (await world.request('vm1', '/none/x')).status == 404
        assert not world.upstreams.calls

    play(main)


def test_a_withdrawn_key_stops_working_everywhere():
    async def main(world):
        world.store.publish(
            system.configuration(2, keys_by_account={'parish': ('k2',)})
        )
        await asyncio.sleep(0.1)
        for vm in world.apps_by_vm:
            assert (await world.request(vm, '/look/x')).status == 401
            assert (await world.request(vm, '/look/x', key='k2')).status == 200

    play(main)


def test_without_proof_keys_are_refused_and_callers_sent_elsewhere():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(6.0)
        assert not world.edge('vm1').is_ready
        answer = await world.request('vm1', '/look/x')
        assert answer.status == 503
        assert answer.headers_by_name['ran'] == 'no'
        assert float(answer.headers_by_name['retry-after']) > 0
        assert not world.upstreams.calls

    play(main)


def test_a_frozen_daemon_knows_that_its_proof_is_old():
    async def main(world):
        app = world.apps_by_vm['vm1']
        app.clock.pause()
        world.store.down = True
        await asyncio.sleep(6.0)
        app.clock.resume()
        answer = await world.request('vm1', '/look/x')
        assert answer.status == 503

    play(main)


def test_a_lookup_that_fails_is_sent_to_another_upstream_once():
    async def main(world):
        world.upstreams.behaviours_by_instance['s1'] = fakes.Behaviour(
            status=500
        )
        for _ in range(5):
            answer = await world.request('vm1', '/look/x')
            assert answer.status == 200
        assert len(world.upstreams.calls) <= 10

    play(main, retry_slack=40.0)


def test_an_order_is_never_sent_twice_once_it_may_have_run():
    async def main(world):
        broken = fakes.Behaviour(fault=upstreams.Fault.BROKEN)
        for name in ('s1', 's2'):
            world.upstreams.behaviours_by_instance[name] = broken
        answer = await world.request('vm1', '/order/x')
        assert answer.status == 502
        assert answer.headers_by_name['ran'] == 'unknown'
        assert len(world.upstreams.calls) == 1

    play(main, retry_slack=40.0)


def test_an_order_that_was_refused_goes_to_another_upstream():
    async def main(world):
        refused = fakes.Behaviour(fault=upstreams.Fault.REFUSED)
        world.upstreams.behaviours_by_instance['s1'] = refused
        statuses = [
            (await world.request('vm1', '/order/x')).status for _ in range(4)
        ]
        assert statuses == [200] * 4
        world.upstreams.behaviours_by_instance['s2'] = refused
        answer = await world.request('vm1', '/order/x')
        assert answer.status == 503
        assert answer.headers_by_name['ran'] == 'no'

    play(main, retry_slack=40.0)


def test_a_silent_upstream_is_given_up_for_a_lookup():
    async def main(world):
        mute = fakes.Behaviour(delay=60.0)
        world.upstreams.behaviours_by_instance['s1'] = mute
        for _ in range(3):
            assert (await world.request('vm1', '/look/x')).status == 200

    play(main, retry_slack=40.0)


def test_the_route_time_ends_a_request_with_a_final_answer():
    async def main(world):
        routes = (
            system.route(
                'order', 'shop', model.RetryPolicy.NEVER, timeout=0.5
            ),
        )
        world.store.publish(system.configuration(2, routes))
        mute = fakes.Behaviour(delay=60.0)
        for name in ('s1', 's2'):
            world.upstreams.behaviours_by_instance[name] = mute
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await world.request('vm1', '/order/x')
        assert answer.status == 504
        assert 0.4 <= loop.time() - began <= 0.5

    play(main)


def test_a_stream_comes_from_prefill_and_decode():
    async def main(world):
        answer = await world.request('vm1', '/chat/x', sizes=SIZES)
        assert answer.status == 200 and answer.ended
        assert answer.body.count(b'id: ') == 5
        (first, reader), (second, writer) = (
            world.upstreams.kinds_and_instances()
        )
        assert (first, second) == ('prefill', 'decode')
        assert reader[0] == 'p' and writer[0] == 'd'

    play(main)


def test_a_stream_goes_on_elsewhere_after_its_last_whole_event():
    async def main(world):
        breaking = fakes.Behaviour(breaks_after=2)
        world.upstreams.behaviours_by_instance['d1'] = breaking
        world.upstreams.behaviours_by_instance['d2'] = breaking
        task = asyncio.create_task(
            world.request('vm1', '/chat/x', sizes=SIZES)
        )
        await asyncio.sleep(0.17)
        world.upstreams.behaviours_by_instance.clear()
        answer = await task
        assert answer.ended
        numbers = [
            int(line[4:])
            for line in answer.body.split(b'\n')
            if line.startswith(b'id: ')
        ]
        assert numbers == [1, 2, 3, 4, 5]
        decodes = [s for s in world.upstreams.calls if s.kind == 'decode']
        assert decodes[1].options.after_event == 2
        assert decodes[0].instance != decodes[1].instance

    play(main, retry_slack=40.0)


def test_a_stream_that_may_not_be_repeated_looks_broken():
    async def main(world):
        breaking = fakes.Behaviour(breaks_after=2)
        for name in ('d1', 'd2'):
            world.upstreams.behaviours_by_instance[name] = breaking
        answer = await world.request('vm1', '/once/x', sizes=SIZES)
        assert answer.status == 200 and not answer.ended
        assert (
            len([s for s in world.upstreams.calls if s.kind == 'decode']) == 1
        )

    play(main, retry_slack=40.0)


def test_no_prompt_is_read_for_a_decode_engine_that_is_not_reached():
    async def main(world):
        gone = fakes.Behaviour(fault=upstreams.Fault.NOT_SENT)
        for engine in ('d1', 'd2'):
            world.upstreams.behaviours_by_instance[engine] = gone
        answer = await world.request('vm1', '/once/x', sizes=SIZES, time='2')
        assert answer.status == 503
        assert answer.headers_by_name['ran'] == 'no'
        assert not world.upstreams.calls
        del world.upstreams.behaviours_by_instance['d2']
        await asyncio.sleep(2.0)
        assert (await world.request('vm1', '/once/x', sizes=SIZES)).ended
        kinds = [kind for kind, _ in world.upstreams.kinds_and_instances()]
        assert kinds == ['prefill', 'decode']

    play(main, retry_slack=40.0)


def test_a_decode_engine_that_is_gone_costs_no_second_prefill():
    async def main(world):
        gone = fakes.Behaviour(
            fault=upstreams.Fault.NOT_SENT, accepts_connections=True
        )
        world.upstreams.behaviours_by_instance['d1'] = gone
        for _ in range(2):
            answer = await world.request('vm1', '/once/x', sizes=SIZES)
            assert answer.ended
        kinds = [kind for kind, _ in world.upstreams.kinds_and_instances()]
        assert kinds.count('prefill') == 2
        assert kinds.count('decode') <= 3

    play(main, retry_slack=40.0)


def test_a_caller_that_leaves_frees_everything():
    async def main(world):
        exchange = world.exchange('vm1')
        task = asyncio.create_task(
            world.run_exchange(exchange, '/chat/x', sizes=SIZES)
        )
        await asyncio.sleep(0.17)
        assert world.upstreams.open_answers == 1
        exchange.leave()
        await asyncio.sleep(0.05)
        assert task.done() and world.upstreams.open_answers == 0
        for vm in world.apps_by_vm:
            scheduler = world.placement(vm).scheduler_for('llm')
            assert not scheduler.reservations_by_id
            assert not world.placement(vm).reservations_by_id

    play(main)


def test_a_caller_that_leaves_during_prefill_has_its_prompt_freed():
    async def main(world):
        slow = fakes.Behaviour(delay=0.3)
        for name in ('d1', 'd2'):
            world.upstreams.behaviours_by_instance[name] = slow
        exchange = world.exchange('vm1')
        task = asyncio.create_task(
            world.run_exchange(exchange, '/chat/x', sizes=SIZES)
        )
        await asyncio.sleep(0.2)
        exchange.leave()
        await asyncio.sleep(0.05)
        assert task.done()
        assert len(world.upstreams.released_handles) == 1

    play(main)


def test_a_request_that_crashes_engines_is_kept_away_from_the_rest():
    async def main(world):
        deadly = fakes.Behaviour(fault=upstreams.Fault.BROKEN)
        for name in ('d1', 'd2'):
            world.upstreams.behaviours_by_instance[name] = deadly
        for _ in range(3):
            for vm in ('vm1', 'vm2', 'vm3'):
                await world.request(vm, '/once/x', sizes=SIZES)
                await asyncio.sleep(1.0)
        decodes = [s for s in world.upstreams.calls if s.kind == 'decode']
        assert len(decodes) == 2
        assert world.events('vm3', 'request.refused')[-1].fields['code'] == (
            'quarantined'
        )

    play(main, retry_slack=40.0)


def test_an_account_gets_its_rate_over_all_daemons():
    async def main(world):
        world.store.publish(system.configuration(2, rate=1000.0, burst=1000.0))
        await asyncio.sleep(0.1)
        granted = 0
        refused = []

        async def one(vm):
            nonlocal granted
            answer = await world.request(vm, '/look/x')
            if answer.status == 200:
                granted += 200
            else:
                assert answer.status == 429
                refused.append(float(answer.headers_by_name['retry-after']))

        tasks = []
        for number in range(400):
            vm = f'vm{number % 3 + 1}'
            tasks.append(asyncio.create_task(one(vm)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        # 4 s at 20 times the rate.
        assert 4000 <= granted <= 1000 + 1000 * 4.2
        assert max(refused) > 1.0

    play(main)


def test_two_homes_in_a_cut_give_at_most_one_rate_more_than_the_burst():
    async def main(world):
        world.store.publish(system.configuration(2, rate=1000.0, burst=1000.0))
        await asyncio.sleep(0.1)
        world.network.partition({'vm1'}, {'vm2', 'vm3'})
        await asyncio.sleep(2.0)
        granted = 0

        async def one(vm):
            nonlocal granted
            granted += 200 * (
                (await world.request(vm, '/look/x')).status == 200
            )

        tasks = []
        for number in range(400):
            vm = f'vm{number % 3 + 1}'
            tasks.append(asyncio.create_task(one(vm)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        assert granted <= 2 * 1000 + 1000 * 4.2

    play(main)


def test_the_home_of_a_service_may_die():
    async def main(world):
        home = world.placement('vm1').home('llm')
        other = next(vm for vm in world.apps_by_vm if vm != home)
        assert (await world.request(other, '/chat/x', sizes=SIZES)).ended
        await world.kill(home)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await world.request(other, '/chat/x', sizes=SIZES)).ended
        assert loop.time() - began < 0.9
        assert (await world.request(other, '/chat/x', sizes=SIZES)).ended

    play(main)


def test_a_new_home_knows_what_runs():
    async def main(world):
        long = fakes.Behaviour(events=200)
        for name in ('d1', 'd2'):
            world.upstreams.behaviours_by_instance[name] = long
        home = world.placement('vm1').home('llm')
        other = next(vm for vm in world.apps_by_vm if vm != home)
        tasks = [
            asyncio.create_task(world.request(other, '/chat/x', sizes=SIZES))
            for _ in range(4)
        ]
        await asyncio.sleep(0.5)
        await world.kill(home)
        await asyncio.sleep(2.5)
        assert (
            await world.request(other, '/once/x', sizes=SIZES)
        ).status == 200
        after = world.placement(other).home('llm')
        scheduler = world.placement(after).scheduler_for('llm')
        assert sum(map(len, scheduler._usages_by_engine(0.0).values())) >= 4
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    play(main)


def _one_run_an_engine(world):
    found = system.configuration(2)
    small = model.EngineLimits(64, 5000)
    services = found.services_by_name | {'llm': model.Service('llm', small)}
    world.store.publish(found._replace(services_by_name=services))


async def _occupied(world):
    """Keep one decode engine busy; return its task and the free engine."""
    _one_run_an_engine(world)
    await asyncio.sleep(0.1)
    for name in ('d1', 'd2'):
        world.upstreams.behaviours_by_instance[name] = fakes.Behaviour(
            events=30
        )
    other = asyncio.create_task(world.request('vm1', '/chat/o', sizes=SIZES))
    await asyncio.sleep(0.2)
    busy = next(
        i
        for kind, i in world.upstreams.kinds_and_instances()
        if kind == 'decode'
    )
    return other, 'd2' if busy == 'd1' else 'd1'


def test_a_stream_that_broke_waits_for_room_rather_than_end():
    async def main(world):
        other, free = await _occupied(world)
        world.upstreams.behaviours_by_instance[free] = fakes.Behaviour(
            events=30, breaks_after=4
        )
        answer = await world.request('vm1', '/chat/x', sizes=SIZES)
        assert answer.ended and answer.body.count(b'id: ') == 30
        assert (await other).ended

    play(main, retry_slack=40.0)


def test_a_caller_that_leaves_while_its_kept_prompt_waits_has_it_freed():
    async def main(world):
        other, free = await _occupied(world)
        world.upstreams.behaviours_by_instance[free] = fakes.Behaviour(
            fault=upstreams.Fault.NOT_SENT, accepts_connections=True
        )
        exchange = world.exchange('vm1')
        task = asyncio.create_task(
            world.run_exchange(
                exchange, '/once/x', sizes='1500,300', time='9.6'
            )
        )
        await asyncio.sleep(0.1)
        assert not task.done() and not world.upstreams.released_handles
        exchange.leave()
        await asyncio.sleep(0.05)
        assert task.done()
        assert len(world.upstreams.released_handles) == 1
        await other

    play(main, retry_slack=40.0)


def test_an_engine_that_started_anew_is_left_alone_by_all():
    async def main(world):
        anew = fakes.Behaviour(
            fault=upstreams.Fault.REFUSED, misdirected=True, delay=0.01
        )
        world.upstreams.behaviours_by_instance['d1'] = anew
        for number in range(8):
            vm = f'vm{number % 3 + 1}'
            answer = await world.request(vm, '/chat/x', sizes='300,100')
            assert answer.ended
        sends = [
            i
            for kind, i in world.upstreams.kinds_and_instances()
            if kind == 'decode'
        ]
        assert sends.count('d1') <= 2

    play(main, retry_slack=40.0)


def test_a_send_that_did_not_arrive_is_no_repeat():
    async def main(world):
        world.upstreams.behaviours_by_instance['d1'] = fakes.Behaviour(
            fault=upstreams.Fault.NOT_SENT, accepts_connections=True
        )
        world.upstreams.behaviours_by_instance['s1'] = fakes.Behaviour(
            fault=upstreams.Fault.NOT_SENT
        )
        for _ in range(3):
            answer = await world.request('vm1', '/once/x', sizes='300,100')
            assert answer.ended
            assert (await world.request('vm1', '/order/x')).status == 200
        assert not world.events('vm1', 'request.not_repeated')

    play(main, retry_ratio=0.0, retry_slack=0.0)


def test_without_a_budget_a_request_ends_at_once():
    async def main(world):
        for engine in ('d1', 'd2'):
            world.upstreams.behaviours_by_instance[engine] = fakes.Behaviour(
                fault=upstreams.Fault.REFUSED, delay=0.01
            )
        answer = await world.request('vm1', '/once/x', sizes='300,100')
        assert answer.status == 503 and answer.headers_by_name['ran'] == 'no'
        assert len(world.events('vm1', 'request.not_repeated')) == 1
        assert len(world.events('vm1', 'request.placed')) == 2

    play(main, retry_ratio=0.0, retry_slack=0.0)
