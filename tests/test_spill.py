"""Tests of the spill of requests between data centres."""

import asyncio

from tests import placement_fleet as fleets


def two_data_centres(**options):
    vms = [
        (f'{data_centre}{n}', data_centre)
        for data_centre in ('szeged', 'baja')
        for n in range(2)
    ]
    upstreams = fleets.engine_pool('szeged', **options) | fleets.engine_pool(
        'baja', **options
    )
    return fleets.Fleet(vms, upstreams)


def runs_by_data_centre(fleet, prefix):
    runs = {}
    for run in fleet.engine_network.records.runs:
        if run.kind == 'decode' and run.request_id.startswith(prefix):
            data_centre = run.engine.split('-')[0]
            runs[data_centre] = runs.get(data_centre, 0) + 1
    return runs


async def start_requests(fleet, vm, count, start=0):
    prompts = [f'Feast {start + n}. answer=150' for n in range(count)]
    requests = [
        fleet.start_request(vm, start + n, prompt)
        for n, prompt in enumerate(prompts)
    ]
    return prompts, requests


def test_a_full_data_centre_spills_to_an_empty_one():
    async def main():
        fleet = await two_data_centres(slots=4).start()
        prompts, requests = await start_requests(fleet, 'szeged0', 40)
        await asyncio.sleep(3)
        more, later = await start_requests(fleet, 'szeged0', 10, 100)
        texts = await asyncio.gather(*requests, *later)
        await asyncio.sleep(2)
        return (
            prompts + more,
            texts,
            runs_by_data_centre(fleet, 'szeged'),
            fleet.held_requests(),
        )

    prompts, texts, runs, held = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert runs['baja'] > 0
    assert runs['szeged'] > runs['baja']
    assert held == []


def test_spilled_requests_leave_slots_for_local_ones():
    async def main():
        fleet = await two_data_centres(slots=4).start()
        _prompts, requests = await start_requests(fleet, 'szeged0', 60)
        spilled = 0
        for _ in range(40):
            await asyncio.sleep(0.25)
            held = [
                request
                for name, engine in fleet.engines_by_name.items()
                if name.startswith('baja-d')
                for request in engine.batch.requests()
            ]
            spilled = max(spilled, len(held))
        for one in requests:
            one.cancel()
        return spilled

    assert 0 < fleets.run(main) <= 6


def test_an_idle_data_centre_spills_nothing():
    async def main():
        fleet = await two_data_centres(slots=4).start()
        _prompts, requests = await start_requests(fleet, 'szeged0', 6)
        await asyncio.gather(*requests)
        return runs_by_data_centre(fleet, 'szeged')

    assert fleets.run(main) == {'szeged': 6}


def test_requests_spill_if_no_local_engine_is_live():
    async def main():
        fleet = await two_data_centres(slots=4).start()
        for name, engine in fleet.engines_by_name.items():
            if name.startswith('szeged-d'):
                engine.die()
        text = await fleet.ask('szeged0', 1, 'Feast. answer=20')
        return text, runs_by_data_centre(fleet, 'szeged')

    text, runs = fleets.run(main)
    assert text == fleets.expected_answer('Feast. answer=20')
    assert runs == {'baja': 1}


def test_a_partitioned_data_centre_serves_its_requests_alone():
    async def main():
        fleet = await two_data_centres(slots=4).start()
        fleet.network.partition({'szeged0', 'szeged1'}, {'baja0', 'baja1'})
        await asyncio.sleep(6)
        prompts, requests = await start_requests(fleet, 'szeged0', 20)
        texts = await asyncio.gather(*requests)
        return prompts, texts, runs_by_data_centre(fleet, 'szeged')

    prompts, texts, runs = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert runs == {'szeged': 20}
