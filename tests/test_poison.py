"""Tests that poison requests crash few engines in a fleet of nine daemons."""

import asyncio

from corianderspar import poison
from tests import placement_fleet as fleets

POISON = 'A POISON prompt. answer=50'
DATA_CENTRES = ('szeged', 'baja', 'eger')


def nine_daemons():
    vms = [
        (f'{data_centre}{n}', data_centre)
        for data_centre in DATA_CENTRES
        for n in range(3)
    ]
    upstreams = {}
    for data_centre in DATA_CENTRES:
        upstreams |= fleets.engine_pool(data_centre, prefills=2, decodes=3)
    return fleets.Fleet(vms, upstreams)


def set_poison(fleet, text='POISON'):
    for engine in fleet.engines_by_name.values():
        engine.faults = engine.faults._replace(deadly=text)


def crashed_engines(fleet):
    return [
        name for name, one in fleet.engines_by_name.items() if not one.alive
    ]


async def resend(fleet, times, prompt=POISON):
    """Send a prompt several times, each to another VM and after the last."""
    problems = []
    for number in range(times):
        vm = list(fleet.apps_by_vm)[number * 4 % 9]
        problems.append(await fleet.ask(vm, 1000 + number, prompt))
    return problems


def test_a_resent_poison_prompt_crashes_only_two_engines():
    async def main():
        fleet = await nine_daemons().start()
        set_poison(fleet)
        others = [
            fleet.start_request(
                f'szeged{n % 3}', n, f'Neighbour {n}. answer=80'
            )
            for n in range(12)
        ]
        await asyncio.sleep(0.5)
        problems = await resend(fleet, 30)
        return problems, crashed_engines(fleet), await asyncio.gather(*others)

    problems, crashed, texts = fleets.run(main)
    assert len(crashed) == 2
    assert {problem.code for problem in problems} == {'quarantined'}
    assert {problem.ran for problem in problems[1:]} == {'no'}
    assert all(problem.retry_after > 0 for problem in problems)
    assert texts == [
        fleets.expected_answer(f'Neighbour {n}. answer=80') for n in range(12)
    ]


def test_a_prompt_that_crashes_decode_engines_is_found_among_others():
    async def main():
        fleet = await nine_daemons().start()
        for name, engine in fleet.engines_by_name.items():
            if '-d' in name:
                engine.faults = engine.faults._replace(deadly='POISON')
        others = [
            fleet.start_request(
                f'szeged{n % 3}', n, f'Neighbour {n}. answer=80'
            )
            for n in range(9)
        ]
        await asyncio.sleep(0.5)
        poisoned = fleet.start_request('szeged0', 99, POISON)
        texts = await asyncio.gather(*others)
        problem = await poisoned
        again = await resend(fleet, 6)
        levels = {
            fleet.service('szeged1')._parts.quarantine.level(
                poison.request_fingerprint(
                    fleets.MODEL, f'Neighbour {n}. answer=80'
                )
            )
            for n in range(9)
        }
        return problem, again, texts, crashed_engines(fleet), levels

    problem, again, texts, crashed, levels = fleets.run(main)
    assert problem.code == 'quarantined'
    assert {one.ran for one in again} == {'no'}
    assert texts == [
        fleets.expected_answer(f'Neighbour {n}. answer=80') for n in range(9)
    ]
    assert len(crashed) == 2
    assert levels == {'clear'}


def test_a_quarantine_expires():
    async def main():
        fleet = await fleets.three_vms(prefills=3).start()
        set_poison(fleet)
        first = await fleet.ask('vm1', 1, POISON)
        set_poison(fleet, '')
        for engine in fleet.engines_by_name.values():
            engine.restart()
        refused = await fleet.ask('vm2', 2, POISON)
        await asyncio.sleep(poison.QUARANTINE_SECONDS + 2)
        return first, refused, await fleet.ask('vm2', 3, POISON)

    first, refused, text = fleets.run(main)
    assert first.code == refused.code == 'quarantined'
    assert text == fleets.expected_answer(POISON)


def test_a_broken_connection_is_not_a_crash():
    async def main():
        fleet = await fleets.three_vms().start()
        request = fleet.start_request('vm1', 1, 'Long. answer=200')
        await asyncio.sleep(1)
        busy_engine = next(
            e for e in fleet.engines_by_name.values() if e.batch.requests()
        )
        held = busy_engine.batch._held_by_id[busy_engine.batch.requests()[0]]
        held.queue.put_nowait(fleets.engine_died())
        text = await request
        await asyncio.sleep(1)
        names = {
            event.name
            for app in fleet.apps_by_vm.values()
            for event in app.events.events()
        }
        return text, names, fleet.held_requests()

    text, names, held = fleets.run(main)
    assert text == fleets.expected_answer('Long. answer=200')
    assert 'request.run_ended' in names
    assert 'engine.crashed' not in names
    assert held == []


def test_records_merge_alike_in_any_order():
    now = 5.0
    crash = poison.FingerprintRecord('f', 0, ('x',), 100.0, False)
    second = poison.FingerprintRecord('f', 0, ('x', 'y'), 100.0, True)
    cleared = poison.FingerprintRecord('f', 1, (), 100.0, False)
    results = set()
    for order in ((crash, second, cleared), (cleared, crash, second)):
        record = None
        for item in order:
            record = poison._merged(record, item, now)
        results.add(record)
    assert len(results) == 1
