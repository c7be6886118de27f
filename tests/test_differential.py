"""The same workloads through us and the naive router, without faults."""

import asyncio
import collections
import random
import re

import msgspec
import pytest

from corianderspar import clock
from corianderspar import fake_system
from corianderspar import keys
from corianderspar import naive_router
from tests import test_edge

REQUESTS = 60
RUN_NUMBER = re.compile(r'(?<= ran as )\d+')
BLURBS = '/blurbs/v1/completions'
BAD_BODIES = (b'', b'{"prompt": 7}', b'{"max_tokens": 3}', b'nonsense')
ENDINGS = ('feast', 'route', 'entry')


def one_request(rng, number):
    """Return method, path, headers and body of a random request."""
    headers = test_edge.AUTH if rng.random() < 0.85 else ()
    if rng.random() < 0.05:
        headers = (('authorization', f'Bearer {keys.new_key().key}'),)
    kind = rng.choice(('stream', 'whole', 'order', 'lookup', 'bad', 'none'))
    if kind in ('stream', 'whole'):
        prompt = f'{number} {rng.choice(ENDINGS)} ' * rng.randrange(1, 400)
        body = {
            'prompt': f'{prompt} answer={rng.randrange(1, 90)}',
            'max_tokens': rng.randrange(1, 120),
            'stream': kind == 'stream',
        }
        return 'POST', BLURBS, headers, msgspec.json.encode(body)
    if kind == 'order':
        body = msgspec.json.encode({'order': number})
        return 'POST', '/print/orders', headers, body
    if kind == 'lookup':
        return 'GET', f'/catalogue/{number}', headers, str(number).encode()
    if kind == 'bad':
        return 'POST', BLURBS, headers, rng.choice(BAD_BODIES)
    return 'GET', f'/nowhere/{number}', headers, b''


def seen_of(answer):
    """Return what a caller of ours saw, as the naive router tells it."""
    if answer.status >= 400:
        return naive_router.Seen(answer.status, '')
    if answer.body.startswith((b'data: ', b'{"id"')):
        return naive_router.Seen(answer.status, answer.text)
    return naive_router.Seen(answer.status, answer.body.decode())


def unnumbered(seen):
    """Return an answer without the place of its run among all runs."""
    return seen._replace(content=RUN_NUMBER.sub('', seen.content))


async def through_us(requests, rng):
    system = await test_edge.start_system()
    sent = []
    for request in requests:
        await asyncio.sleep(rng.random())
        sent.append(
            system.sending(
                rng.choice(list(test_edge.DATA_CENTRES_BY_VM)), *request
            )
        )
    answers = await asyncio.gather(*sent)
    ran = collections.Counter(run.body for run in system.ledger.executions)
    await system.close()
    assert all(answer.ended for answer in answers)
    return [seen_of(answer) for answer in answers], ran


async def through_naive(requests):
    system = fake_system.FakeSystem()
    whole = test_edge.make_catalogue()
    system.add_upstreams(whole.upstreams_by_name)
    services = {
        name: service.client(clock.VirtualClock())
        for name, service in system.services_by_name.items()
    }
    router = naive_router.NaiveRouter(whole, system.engines_by_name, services)
    seen = [await router.send(*request) for request in requests]
    ran = collections.Counter(run.body for run in system.ledger.executions)
    return seen, ran


@pytest.mark.parametrize('seed', range(4))
def test_callers_get_what_the_naive_router_gives(seed):
    rng = random.Random(seed)
    requests = [one_request(rng, number) for number in range(REQUESTS)]
    ours, ours_ran = clock.run_virtual(through_us(requests, rng))
    naive, naive_ran = clock.run_virtual(through_naive(requests))
    assert list(map(unnumbered, ours)) == list(map(unnumbered, naive))
    assert ours_ran == naive_ran
    assert {seen.status for seen in naive} >= {200, 400, 401, 404}
