"""Tests of placement over several daemons and engines with faults."""

import asyncio

import pytest

from tests import placement_fleet as fleets

PROMPT = 'Summarise the feast of Saint Stephen for the calendar. answer=40'
LONG = 'word ' * 4000 + 'answer=60'
# A prefill of LONG takes 0.5 s, its transfer 0.4 s at this rate.
SLOW_LINK = 4001 * 131072 / 0.4
STAGES = {
    'prefilling': 0.3,
    'transferring': 0.7,
    'decoding': 0.91,
    'answering': 1.5,
}


def test_one_daemon_gives_the_whole_answer():
    async def main():
        fleet = fleets.Fleet([('vm1', 'szeged')], fleets.engine_pool())
        await fleet.start()
        text = await fleet.ask('vm1', 1, PROMPT)
        await asyncio.sleep(1)
        return text, fleet.used_pieces(), fleet.service('vm1').running_count()

    text, used, running = fleets.run(main)
    assert text == fleets.expected_answer(PROMPT)
    assert (used, running) == (0, 0)


def test_each_daemon_gives_whole_answers_through_the_home():
    async def main():
        fleet = await fleets.three_vms().start()
        prompts = [f'Feast {number}. answer=30' for number in range(24)]
        texts = await asyncio.gather(
            *(
                fleet.ask(f'vm{1 + n % 3}', n, prompt)
                for n, prompt in enumerate(prompts)
            )
        )
        await asyncio.sleep(1.5)
        return prompts, texts, fleet.held_requests()

    prompts, texts, held = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert held == []


@pytest.mark.parametrize('stage', STAGES)
def test_a_gone_caller_holds_no_memory_after_a_second(stage):
    async def main():
        fleet = await fleets.three_vms(link_rate=SLOW_LINK).start()
        asking = fleet.start_request(fleet.vm_other_than_home(), 1, LONG)
        await asyncio.sleep(STAGES[stage])
        before = fleet.held_requests()
        asking.cancel()
        await asyncio.sleep(1.0)
        shard = fleet.service(fleet.home()).shard(fleets.MODEL)
        return before, fleet.held_requests(), shard.scheduler.reservations()

    before, after, reserved = fleets.run(main)
    assert len(before) >= 1
    assert after == []
    assert reserved == ()


def test_a_gone_caller_leaves_the_queue():
    async def main():
        fleet = await fleets.three_vms(slots=1, decodes=1).start()
        edge = fleet.vm_other_than_home()
        first = fleet.start_request(edge, 1, 'One. answer=200')
        await asyncio.sleep(0.5)
        second = fleet.start_request(edge, 2, 'Two. answer=200')
        await asyncio.sleep(1)
        shard = fleet.service(fleet.home()).shard(fleets.MODEL)
        queued = shard.scheduler.summary().backlog
        second.cancel()
        await asyncio.sleep(0.1)
        left = shard.scheduler.summary().backlog
        text = await first
        await asyncio.sleep(1)
        runs = {run.digest for run in fleet.engine_network.records.runs}
        return queued, left, text, len(runs - {0})

    queued, left, text, ran = fleets.run(main)
    assert (queued, left, ran) == (1, 0, 1)
    assert text == fleets.expected_answer('One. answer=200')


def test_a_cancel_is_repeated_until_the_engine_confirms():
    async def main():
        fleet = await fleets.three_vms().start()
        asking = fleet.start_request('vm1', 1, 'Long. answer=300')
        await asyncio.sleep(1)
        for engine in fleet.engines.values():
            engine.faults = engine.faults._replace(stalled=('cancel',))
        asking.cancel()
        await asyncio.sleep(1)
        during = fleet.held_requests()
        for engine in fleet.engines.values():
            engine.faults = engine.faults._replace(stalled=())
        await asyncio.sleep(0.5)
        return during, fleet.held_requests()

    during, after = fleets.run(main)
    assert len(during) == 1
    assert after == []


def test_a_withdrawn_key_ends_the_answer_with_a_problem():
    async def main():
        fleet = await fleets.three_vms().start()
        asking = fleet.start_request('vm1', 1, 'Long. answer=300')
        await asyncio.sleep(1)
        found = fleet.service('vm1').cancel('r1')
        problem = await asking
        await asyncio.sleep(1)
        return found, problem, fleet.held_requests()

    found, problem, held = fleets.run(main)
    assert found
    assert (problem.code, problem.ran) == ('withdrawn', 'yes')
    assert held == []


@pytest.mark.parametrize('stage', STAGES)
def test_a_killed_edge_leaves_nothing_once_it_is_back(stage):
    async def main():
        fleet = await fleets.three_vms(link_rate=SLOW_LINK).start()
        edge = fleet.vm_other_than_home()
        other = next(vm for vm in fleet.apps if vm != edge)
        asking = fleet.start_request(edge, 1, 'word ' * 4000 + 'answer=390')
        neighbour = fleet.start_request(other, 2, LONG)
        await asyncio.sleep(STAGES[stage])
        await fleet.kill(edge)
        asking.cancel()
        await fleet.boot(edge)
        await asyncio.sleep(5.5)
        return fleet.held_requests(), await neighbour

    held, text = fleets.run(main)
    assert held == []
    assert text == fleets.expected_answer(LONG)


@pytest.mark.parametrize('fault', ['kill', 'pause', 'partition'])
def test_a_lost_home_loses_and_cuts_no_request(fault):
    async def main():
        fleet = await fleets.three_vms(slots=4).start()
        home = fleet.home()
        edges = [vm for vm in fleet.apps if vm != home]
        prompts = [f'Feast {n}. answer=120' for n in range(24)]
        asking = [
            fleet.start_request(edges[n % 2], n, prompt)
            for n, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(1.5)
        if fault == 'kill':
            await fleet.kill(home)
        elif fault == 'pause':
            fleet.clocks[home].pause()
        else:
            fleet.network.partition({home}, set(edges))
        await asyncio.sleep(60)
        fleet.network.heal()
        fleet.clocks[home].resume()
        await asyncio.sleep(3)
        texts = [await work for work in asking]
        after = await fleet.ask(edges[0], 99, PROMPT)
        await asyncio.sleep(1.5)
        return prompts, texts, after, fleet.held_requests()

    prompts, texts, after, held = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert after == fleets.expected_answer(PROMPT)
    assert held == []


def test_two_homes_share_engines_and_cut_nothing():
    async def main():
        fleet = await fleets.three_vms(slots=4).start()
        fleet.network.partition({'vm1'}, {'vm2'}, {'vm3'})
        await asyncio.sleep(5)
        prompts = [f'Feast {n}. answer=60' for n in range(36)]
        asking = [
            fleet.start_request(f'vm{1 + n % 3}', n, prompt)
            for n, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(1)
        homes = [
            vm
            for vm in fleet.apps
            if fleet.service(vm).shard(fleets.MODEL) is not None
        ]
        fleet.network.heal()
        texts = [await work for work in asking]
        await asyncio.sleep(1.5)
        return homes, prompts, texts, fleet.held_requests()

    homes, prompts, texts, held = fleets.run(main)
    assert len(homes) == 3
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert held == []


def test_an_answer_resumes_at_the_exact_token_when_its_engine_dies():
    async def main():
        fleet = await fleets.three_vms().start()
        pieces = []
        prompt = 'Resume me. answer=100'
        asking = fleet.start_request('vm1', 1, prompt, pieces)
        await asyncio.sleep(1.5)
        busy = next(e for e in fleet.engines.values() if e.batch.requests())
        sent = len(pieces)
        busy.die()
        text = await asking
        await asyncio.sleep(1)
        doubled = fleet.service('vm1').counts['doubled']
        return prompt, text, pieces, sent, fleet.held_requests(), doubled

    prompt, text, pieces, sent, held, doubled = fleets.run(main)
    assert doubled == 0
    assert 0 < sent < 100
    assert text == fleets.expected_answer(prompt)
    assert [piece.position for piece in pieces] == list(range(100))
    assert {piece.request_id for piece in pieces} == {'r1'}
    assert held == []


def test_crossed_and_doubled_pieces_and_a_wrong_end_are_not_seen():
    async def main():
        fleet = await fleets.three_vms().start()
        for engine in fleet.engines.values():
            engine.faults = engine.faults._replace(crossed=5, duplicated=5)
        decodes = [e for n, e in fleet.engines.items() if '-d' in n]
        decodes[0].faults = decodes[0].faults._replace(cut_after=20)
        prompts = [f'Feast {n}. answer=50' for n in range(8)]
        texts = await asyncio.gather(
            *(fleet.ask('vm1', n, prompt) for n, prompt in enumerate(prompts))
        )
        return prompts, texts, fleet.service('vm1').counts

    prompts, texts, counts = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert counts['crossed'] > 0
    assert counts['doubled'] > 0
    assert counts['wrong_end'] > 0


def test_an_answer_that_never_ends_right_is_an_error():
    async def main():
        fleet = await fleets.three_vms().start()
        for engine in fleet.engines.values():
            engine.faults = engine.faults._replace(cut_after=20)
        problem = await fleet.ask('vm1', 1, PROMPT)
        await asyncio.sleep(1)
        return problem, fleet.held_requests()

    problem, held = fleets.run(main)
    assert (problem.code, problem.ran) == ('engine_failed', 'yes')
    assert held == []


def test_a_request_that_is_not_repeatable_goes_to_one_engine_only():
    async def main():
        fleet = await fleets.three_vms().start()
        prompt = 'Once only. answer=100'
        asking = fleet.start_request('vm1', 1, prompt, repeatable=False)
        await asyncio.sleep(1.5)
        busy = next(e for e in fleet.engines.values() if e.batch.requests())
        busy.die()
        problem = await asking
        await asyncio.sleep(3)
        runs = fleet.engine_network.records.runs
        return problem, [run.kind for run in runs]

    problem, kinds = fleets.run(main)
    assert (problem.code, problem.ran) == ('engine_failed', 'yes')
    assert kinds == ['prefill', 'transfer', 'decode']


def test_a_leaving_engine_gets_no_new_work_after_its_first_word():
    async def main():
        fleet = await fleets.three_vms().start()
        name = 'szeged-d0'
        leaving = fleet.engines[name]
        leaving.faults = leaving.faults._replace(refuse='leaving')
        began = asyncio.get_running_loop().time()
        texts = await asyncio.gather(
            *(fleet.ask('vm1', n, f'Feast {n}. answer=20') for n in range(12))
        )
        runs = fleet.engine_network.records.runs
        late = [
            run for run in runs if run.engine == name and run.at > began + 3
        ]
        return texts, late

    texts, late = fleets.run(main)
    assert texts == [
        fleets.expected_answer(f'Feast {n}. answer=20') for n in range(12)
    ]
    assert late == []


def test_a_stopping_daemon_finishes_its_answers_and_hands_on_its_shard():
    async def main():
        fleet = await fleets.three_vms(slots=4).start()
        home = fleet.home()
        prompts = [f'Feast {n}. answer=60' for n in range(18)]
        asking = [
            fleet.start_request(f'vm{1 + n % 3}', n, prompt)
            for n, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(1)
        await fleet.apps[home].stop()
        texts = [await work for work in asking]
        await asyncio.sleep(1.5)
        return prompts, texts, fleet.held_requests()

    prompts, texts, held = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert held == []


def test_lost_messages_lose_no_request():
    async def main():
        fleet = await fleets.three_vms(slots=4).start()
        fleet.network.loss = 0.1
        prompts = [f'Feast {n}. answer=40' for n in range(40)]
        texts = await asyncio.gather(
            *(
                fleet.ask(f'vm{1 + n % 3}', n, prompt)
                for n, prompt in enumerate(prompts)
            )
        )
        fleet.network.loss = 0.0
        await asyncio.sleep(10)
        left = [
            fleet.service(vm).shard(fleets.MODEL).scheduler.reservations()
            for vm in fleet.apps
            if fleet.service(vm).shard(fleets.MODEL) is not None
        ]
        return prompts, texts, fleet.held_requests(), left

    prompts, texts, held, left = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert held == []
    assert set(left) == {()}


def test_a_stream_that_stalls_goes_on_at_another_engine():
    async def main():
        fleet = await fleets.three_vms().start()
        prompt = 'Stall. answer=100'
        asking = fleet.start_request('vm1', 1, prompt)
        await asyncio.sleep(1.5)
        busy = next(e for e in fleet.engines.values() if e.batch.requests())
        busy.batch._task.cancel()
        text = await asking
        await asyncio.sleep(1)
        return prompt, text, fleet.held_requests()

    prompt, text, held = fleets.run(main)
    assert text == fleets.expected_answer(prompt)
    assert held == []


def test_a_silent_home_is_passed_over_within_a_second():
    async def main():
        fleet = await fleets.three_vms().start()
        home = fleet.home()
        edge = fleet.vm_other_than_home()
        await fleet.kill(home)
        began = asyncio.get_running_loop().time()
        await fleet.ask(edge, 1, 'Short. answer=1')
        return asyncio.get_running_loop().time() - began

    assert fleets.run(main) < 1.0


def test_a_lost_release_is_made_good_by_the_next_lease():
    async def main():
        fleet = await fleets.three_vms().start()
        edge = fleet.vm_other_than_home()
        other = fleet.start_request(edge, 1, 'Long. answer=300')
        short = fleet.start_request(edge, 2, 'Short. answer=20')
        await asyncio.sleep(0.5)
        fleet.network.loss = 1.0
        await short
        fleet.network.loss = 0.0
        shard = fleet.service(fleet.home()).shard(fleets.MODEL)
        before = len(shard.scheduler.reservations())
        await asyncio.sleep(2)
        after = len(shard.scheduler.reservations())
        await other
        return before, after

    assert fleets.run(main) == (2, 1)


def test_a_stalled_transfer_is_sent_again_while_its_result_lives():
    async def main():
        fleet = await fleets.three_vms().start()
        prompts = [f'Feast {n}. answer=10' for n in range(6)]
        for prompt in prompts:
            await fleet.ask('vm1', prompt, prompt)
        stalled = fleet.engines['szeged-d0']
        stalled.faults = stalled.faults._replace(stalled=('transfer',))
        before = len(fleet.engine_network.records.prefills)
        texts = [await fleet.ask('vm1', n, prompts[n]) for n in range(6)]
        after = len(fleet.engine_network.records.prefills)
        await asyncio.sleep(1.5)
        return prompts, texts, after - before, fleet.held_requests()

    prompts, texts, prefills, held = fleets.run(main)
    assert texts == [fleets.expected_answer(prompt) for prompt in prompts]
    assert prefills == 6
    assert held == []
