"""Tests of spill between data centres."""

import asyncio

from tests import placement_fleet as fleets


def two_places(**more):
    vms = [(f'{p}{n}', p) for p in ('szeged', 'baja') for n in range(2)]
    upstreams = fleets.engine_pool('szeged', **more) | fleets.engine_pool(
        'baja', **more
    )
    return fleets.Fleet(vms, upstreams)


def runs_by_place(fleet, prefix):
    places = {}
    for run in fleet.engine_network.records.runs:
        if run.kind == 'decode' and run.request_id.startswith(prefix):
            place = run.engine.split('-')[0]
            places[place] = places.get(place, 0) + 1
    return places


async def load(fleet, vm, count, start=0):
    prompts = [f'Feast {start + n}. answer=150' for n in range(count)]
    asking = [
        fleet.start_request(vm, start + n, prompt)
        for n, prompt in enumerate(prompts)
    ]
    return prompts, asking


def test_a_full_data_centre_spills_to_an_empty_one():
    async def main():
        fleet = await two_places(slots=4).start()
        prompts, asking = await load(fleet, 'szeged0', 40)
        await asyncio.sleep(3)
        more, later = await load(fleet, 'szeged0', 10, 100)
        texts = await asyncio.gather(*asking, *later)
        await asyncio.sleep(2)
        return (
            prompts + more,
            texts,
            runs_by_place(fleet, 'szeged'),
            fleet.held_requests(),
        )

    prompts, texts, places, held = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert places['baja'] > 0
    assert places['szeged'] > places['baja']
    assert held == []


def test_spilled_work_leaves_a_floor_for_local_work():
    async def main():
        fleet = await two_places(slots=4).start()
        _prompts, asking = await load(fleet, 'szeged0', 60)
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
        for one in asking:
            one.cancel()
        return spilled

    assert 0 < fleets.run(main) <= 6


def test_an_idle_data_centre_spills_nothing():
    async def main():
        fleet = await two_places(slots=4).start()
        _prompts, asking = await load(fleet, 'szeged0', 6)
        await asyncio.gather(*asking)
        return runs_by_place(fleet, 'szeged')

    assert fleets.run(main) == {'szeged': 6}


def test_without_live_engines_here_work_goes_elsewhere():
    async def main():
        fleet = await two_places(slots=4).start()
        for name, engine in fleet.engines_by_name.items():
            if name.startswith('szeged-d'):
                engine.die()
        text = await fleet.ask('szeged0', 1, 'Feast. answer=20')
        return text, runs_by_place(fleet, 'szeged')

    text, places = fleets.run(main)
    assert text == fleets.expected_answer('Feast. answer=20')
    assert places == {'baja': 1}


def test_data_centres_that_are_cut_off_serve_alone():
    async def main():
        fleet = await two_places(slots=4).start()
        fleet.network.partition({'szeged0', 'szeged1'}, {'baja0', 'baja1'})
        await asyncio.sleep(6)
        prompts, asking = await load(fleet, 'szeged0', 20)
        texts = await asyncio.gather(*asking)
        return prompts, texts, runs_by_place(fleet, 'szeged')

    prompts, texts, places = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert places == {'szeged': 20}
