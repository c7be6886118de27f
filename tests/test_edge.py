"""Tests of the edge as callers see it, with in-memory daemons."""

import asyncio

import msgspec
import pytest

from corianderspar import catalogue
from corianderspar import clock
from corianderspar import drain
from corianderspar import fake_engine
from corianderspar import fake_system
from corianderspar import keys
from corianderspar import rate_limiter
from corianderspar import settings
from corianderspar import standins

KEY = keys.new_key()
OTHER_KEY = keys.new_key()
COMPLETIONS_PATH = '/blurbs/v1/completions'
AUTH = (('authorization', f'Bearer {KEY.key}'),)
DATA_CENTRES_BY_VM = {'ev1': 'szeged', 'ev2': 'szeged', 'ev3': 'baja'}


def engine_upstream(data_centre, number, role):
    address = f'10.0.0.{number}:9'
    return catalogue.Upstream(
        data_centre, address, 'engine', standins.MODEL, role, 1e10
    )


def accounts(digests=(KEY.digest,)):
    shares = {'szeged': 0.6, 'baja': 0.4}
    return {
        'naptar': catalogue.Account(1e5, 1e6, shares, digests),
        'rally': catalogue.Account(1e5, 1e6, shares, (OTHER_KEY.digest,)),
    }


def make_catalogue(version=1, digests=(KEY.digest,)):
    return catalogue.Catalogue(
        version,
        standins.entries(),
        accounts(digests),
        {
            'p1': engine_upstream('szeged', 1, 'prefill'),
            'd1': engine_upstream('szeged', 2, 'decode'),
            'p2': engine_upstream('baja', 3, 'prefill'),
            'd2': engine_upstream('baja', 4, 'decode'),
            'shop1': catalogue.Upstream(
                'szeged', '10.0.0.9:9', 'plain', 'shop'
            ),
        },
    )


async def start_system(limits=None):
    system = fake_system.FakeSystem(bounds=limits)
    system.publish(make_catalogue())
    system.list_vms(DATA_CENTRES_BY_VM)
    await system.start_all()
    # Rate limits grant nothing while tokens may still be leased to daemons
    # of an earlier start.
    await asyncio.sleep(70)
    return system


def run(scenario, limits=None):
    async def main():
        system = await start_system(limits)
        try:
            return await scenario(system)
        finally:
            await system.close()

    return clock.run_virtual(main())


def completion_body(prompt, tokens=50, **more):
    fields = {'prompt': prompt, 'max_tokens': tokens, **more}
    return msgspec.json.encode(fields)


def expected_text(prompt, tokens=50):
    length = min(tokens, fake_engine.answer_length(prompt))
    return ''.join(
        fake_engine.answer_token(prompt, position)
        for position in range(length)
    )


@pytest.mark.parametrize('stream', [False, True])
def test_answer_is_complete(stream):
    prompt = 'A blurb for Pentecost answer=40'

    async def scenario(system):
        body = completion_body(prompt, stream=stream)
        return await system.send('ev1', 'POST', COMPLETIONS_PATH, AUTH, body)

    answer = run(scenario)
    assert answer.whole
    assert answer.text == expected_text(prompt)


def test_streamed_answer_begins_before_it_is_complete():
    async def scenario(system):
        exchange = system.exchange('ev1')
        body = completion_body('A blurb answer=40', stream=True)
        task = asyncio.create_task(
            exchange.run('POST', COMPLETIONS_PATH, AUTH, body)
        )
        await exchange.first_part.wait()
        partial = exchange.answer
        return partial, await task

    partial, answer = run(scenario)
    assert not partial.ended
    assert answer.whole


@pytest.mark.parametrize(
    ('headers', 'code'),
    [
        ((), 'key_missing'),
        ((('authorization', 'Bearer csk_nonsense'),), 'key_unknown'),
        ((*AUTH, *AUTH), 'key_doubled'),
    ],
)
def test_request_without_valid_key_reaches_no_upstream(headers, code):
    async def scenario(system):
        answer = await system.send('ev1', 'POST', '/bookings', headers, b'{}')
        return answer, system.ledger.calls

    answer, upstream_calls = run(scenario)
    assert (answer.code, answer.ran, upstream_calls) == (code, 'no', 0)


@pytest.mark.parametrize(
    ('body', 'code', 'status'),
    [
        (b'{', 'bad_request', 400),
        (b'[]', 'bad_request', 400),
        (b'{"prompt": ""}', 'bad_request', 400),
        (b'{"prompt": "a", "max_tokens": true}', 'bad_request', 400),
        (b'{"prompt": "a", "model": "other"}', 'bad_request', 400),
        (b'[' * 100_000, 'bad_request', 400),
        (b'x' * (2 << 20), 'body_too_large', 413),
    ],
)
def test_invalid_body_is_refused_with_its_code(body, code, status):
    async def scenario(system):
        return await system.send('ev1', 'POST', COMPLETIONS_PATH, AUTH, body)

    answer = run(scenario)
    assert (answer.code, answer.status, answer.ran) == (code, status, 'no')


def test_unknown_path_gives_no_route():
    async def scenario(system):
        return await system.send('ev1', 'GET', '/none')

    assert run(scenario).code == 'no_route'


@pytest.mark.parametrize(
    'path',
    ['/catalogue/../bookings', '/catalogue/%2e%2e/bookings', '//bookings'],
)
def test_path_tricks_reach_no_keyed_route_without_key(path):
    async def scenario(system):
        answer = await system.send('ev1', 'POST', path, (), b'{}')
        return answer, system.ledger.calls

    answer, upstream_calls = run(scenario)
    assert answer.status in (400, 401)
    assert upstream_calls == 0


def test_open_route_needs_no_key():
    async def scenario(system):
        return await system.send('ev1', 'GET', '/catalogue/purim')

    assert run(scenario).whole


def test_disconnect_of_caller_frees_the_engines():
    async def scenario(system):
        exchange = system.exchange('ev1')
        body = completion_body('A long text answer=900', 900, stream=True)
        task = asyncio.create_task(
            exchange.run('POST', COMPLETIONS_PATH, AUTH, body)
        )
        await exchange.first_part.wait()
        exchange.leave()
        await task
        await asyncio.sleep(1)
        reports = [
            await engine.load() for engine in system.engines_by_name.values()
        ]
        return [report.ok.requests for report in reports]

    assert run(scenario) == [(), (), (), ()]


def test_revoked_key_ends_running_requests():
    async def scenario(system):
        exchange = system.exchange('ev3')
        body = completion_body('A long text answer=900', 900, stream=True)
        task = asyncio.create_task(
            exchange.run('POST', COMPLETIONS_PATH, AUTH, body)
        )
        await exchange.first_part.wait()
        system.publish(make_catalogue(2, ()))
        began = asyncio.get_running_loop().time()
        answer = await task
        seconds = asyncio.get_running_loop().time() - began
        later = await system.send('ev2', 'POST', COMPLETIONS_PATH, AUTH, body)
        return answer, seconds, later

    answer, seconds, later = run(scenario)
    assert answer.code == 'key_withdrawn'
    assert not answer.whole
    assert seconds <= 5.0
    assert later.code == 'key_unknown'


def test_request_with_ticket_runs_once_across_vms():
    async def scenario(system):
        ticket_answer = await system.send(
            'ev1', 'POST', '/-/tickets/print/orders', AUTH
        )
        ticket = msgspec.json.decode(ticket_answer.body)['ticket']
        headers = (*AUTH, ('corianderspar-ticket', ticket))
        answers = [
            await system.send(vm, 'POST', '/print/orders', headers, b'{"n":1}')
            for vm in ('ev1', 'ev2', 'ev3')
        ]
        return answers, system.ledger.runs(b'{"n":1}')

    answers, runs = run(scenario)
    assert runs == 1
    assert {answer.body for answer in answers} == {answers[0].body}
    assert all(answer.whole for answer in answers)


def test_ticket_of_another_account_is_refused():
    async def scenario(system):
        ticket_answer = await system.send(
            'ev1', 'POST', '/-/tickets/print/orders', AUTH
        )
        ticket = msgspec.json.decode(ticket_answer.body)['ticket']
        headers = (
            ('x-api-key', OTHER_KEY.key),
            ('corianderspar-ticket', ticket),
        )
        answer = await system.send(
            'ev1', 'POST', '/print/orders', headers, b'{"n":2}'
        )
        return answer, system.ledger.runs(b'{"n":2}')

    answer, runs = run(scenario)
    # It may have run for the account to which the ticket was issued.
    assert answer.code == 'ticket_mismatch'
    assert (answer.ran, runs) == ('unknown', 0)


def test_key_reaches_no_upstream_and_no_log():
    async def scenario(system):
        body = msgspec.json.encode({'api_key': KEY.key, 'n': 3})
        headers = (
            *AUTH,
            ('cookie', f'api_key={KEY.key}; shop=1'),
            ('content-type', 'application/json'),
        )
        await system.send('ev1', 'POST', '/bookings', headers, body)
        await system.send(
            'ev1',
            'POST',
            COMPLETIONS_PATH,
            AUTH,
            completion_body('Purim answer=20'),
        )
        events = [
            event
            for app in system.apps_by_vm.values()
            for event in app.events.events()
        ]
        seen = system.ledger.executions, system.headers_seen
        assert system.headers_seen
        return str(seen), str(events)

    for seen in run(scenario):
        assert KEY.key not in seen
        assert KEY.key.removeprefix('csk_') not in seen


def test_stalled_caller_is_disconnected():
    limits = settings.LimitSettings(write_seconds=2.0, drain_seconds=0.0)

    async def scenario(system):
        exchange = system.exchange('ev1')

        async def never_return(_message):
            await asyncio.Event().wait()

        exchange._take = never_return
        body = completion_body('A long text answer=900', 900, stream=True)
        await exchange.run('POST', COMPLETIONS_PATH, AUTH, body)
        await asyncio.sleep(1)
        reports = [
            await engine.load() for engine in system.engines_by_name.values()
        ]
        return [report.ok.requests for report in reports]

    assert run(scenario, limits) == [(), (), (), ()]


def test_daemon_at_its_limit_refuses_as_not_run():
    limits = settings.LimitSettings(requests=4, drain_seconds=0.0)

    async def scenario(system):
        body = completion_body('A long text answer=300', 300)
        tasks = [
            system.sending('ev1', 'POST', COMPLETIONS_PATH, AUTH, body)
            for _ in range(6)
        ]
        return await asyncio.gather(*tasks)

    answers = run(scenario, limits)
    refused = [answer for answer in answers if answer.code == 'overloaded']
    assert len(refused) == 4
    assert {answer.ran for answer in refused} == {'no'}
    assert all(answer.whole for answer in answers if answer not in refused)


def test_early_refusal_with_ticket_is_not_said_to_be_not_run():
    async def scenario(system):
        headers = (('corianderspar-ticket', 'x'),)
        return await system.send('ev1', 'POST', '/print/orders', headers)

    assert run(scenario).ran == 'unknown'


def test_revoked_key_ends_the_request_of_a_stalled_caller():
    limits = settings.LimitSettings(write_seconds=20.0, drain_seconds=0.0)

    async def scenario(system):
        exchange = system.exchange('ev1')

        async def never_return(_message):
            await asyncio.Event().wait()

        exchange._take = never_return
        body = completion_body('A long text answer=900', 900, stream=True)
        task = asyncio.create_task(
            exchange.run('POST', COMPLETIONS_PATH, AUTH, body)
        )
        await asyncio.sleep(2)
        system.publish(make_catalogue(2, ()))
        await asyncio.sleep(30)
        return task.done()

    assert run(scenario, limits)


def test_paused_daemon_sends_the_rest_after_it_resumes():
    async def scenario(system):
        exchange = system.exchange('ev1')
        body = completion_body('A long text answer=400', 400, stream=True)
        task = asyncio.create_task(
            exchange.run('POST', COMPLETIONS_PATH, AUTH, body)
        )
        await exchange.first_part.wait()
        system.pause('ev1')
        await asyncio.sleep(0.1)
        before = exchange.answer.body
        await asyncio.sleep(8)
        after = exchange.answer.body
        system.resume('ev1')
        return before, after, await task

    before, after, answer = run(scenario)
    assert before == after
    assert answer.whole
    assert answer.text == expected_text('A long text answer=400', 400)


def test_draining_daemon_answers_and_closes_connections():
    async def scenario(system):
        drain_service = system.apps_by_vm['ev1'].find('drain', drain.Drain)
        drain_service.request_shutdown()
        await asyncio.sleep(0.01)
        ready = await system.send('ev1', 'GET', '/-/ready')
        answer = await system.send('ev1', 'GET', '/catalogue/purim')
        return ready, answer

    ready, answer = run(scenario, settings.LimitSettings())
    assert ready.status == 503
    assert answer.whole
    assert answer.headers_by_name['connection'] == 'close'


def test_no_token_is_sent_before_it_is_charged(monkeypatch):
    extend = rate_limiter.Charge.extend
    delivered = []

    async def scenario(system):
        exchange = system.exchange('ev1')

        async def record_delivered(charge, tokens):
            text = exchange.answer.text if exchange.answer.body else ''
            delivered.append(len(text.split()))
            await extend(charge, tokens)

        monkeypatch.setattr(rate_limiter.Charge, 'extend', record_delivered)
        body = completion_body('A long text answer=300', 300, stream=True)
        return await exchange.run('POST', COMPLETIONS_PATH, AUTH, body)

    assert run(scenario).whole
    assert delivered == [64, 128, 192, 256]
