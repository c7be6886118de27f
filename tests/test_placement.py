"""Tests of placement over several daemons, with faults of engines and VMs."""

import asyncio

import pytest

from tests import placement_fleet

PROMPT = 'Summarise the feast of Saint Stephen for the calendar. answer=40'
LONG = 'word ' * 4000 + 'answer=60'
# Bytes per second. A prefill of LONG takes 0.5 s, its transfer 0.4 s.
SLOW_LINK_RATE = 4001 * 131072 / 0.4
# Seconds after its start at which a request for LONG is in each stage.
STAGES = {
    'prefilling': 0.3,
    'transferring': 0.7,
    'decoding': 0.91,
    'answering': 1.5,
}


def test_one_daemon_returns_the_complete_answer():
    async def main():
        fleet = placement_fleet.Fleet(
            [('vm1', 'szeged')], placement_fleet.engine_pool()
        )
        await fleet.start()
        text = await fleet.ask('vm1', 1, PROMPT)
        await asyncio.sleep(1)
        return text, fleet.used_pieces(), fleet.service('vm1').running_count()

    text, used, running = placement_fleet.run(main)
    assert text == placement_fleet.expected_answer(PROMPT)
    assert (used, running) == (0, 0)


def test_each_daemon_returns_complete_answers_through_the_home():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        prompts = [f'Feast {number}. answer=30' for number in range(24)]
        texts = await asyncio.gather(
            *(
                fleet.ask(f'vm{1 + n % 3}', n, prompt)
                for n, prompt in enumerate(prompts)
            )
        )
        await asyncio.sleep(1.5)
        return prompts, texts, fleet.held_requests()

    prompts, texts, held = placement_fleet.run(main)
    assert texts == [
        placement_fleet.expected_answer(prompt) for prompt in prompts
    ]
    assert held == []


@pytest.mark.parametrize('stage', STAGES)
def test_a_cancelled_request_holds_no_kv_memory_after_one_second(stage):
    async def main():
        fleet = await placement_fleet.three_vms(
            link_rate=SLOW_LINK_RATE
        ).start()
        task = fleet.start_request(fleet.vm_other_than_home(), 1, LONG)
        await asyncio.sleep(STAGES[stage])
        before = fleet.held_requests()
        task.cancel()
        await asyncio.sleep(1.0)
        shard = fleet.service(fleet.home()).shard(placement_fleet.MODEL)
        return before, fleet.held_requests(), shard.scheduler.reservations()

    before, after, reserved = placement_fleet.run(main)
    assert len(before) >= 1
    assert after == []
    assert reserved == ()


def test_a_cancelled_job_leaves_the_backlog():
    async def main():
        fleet = await placement_fleet.three_vms(slots=1, decodes=1).start()
        edge = fleet.vm_other_than_home()
        first = fleet.start_request(edge, 1, 'One. answer=200')
        await asyncio.sleep(0.5)
        second = fleet.start_request(edge, 2, 'Two. answer=200')
        await asyncio.sleep(1)
        shard = fleet.service(fleet.home()).shard(placement_fleet.MODEL)
        backlog = shard.scheduler.summary().backlog
        second.cancel()
        await asyncio.sleep(0.1)
        left = shard.scheduler.summary().backlog
        text = await first
        await asyncio.sleep(1)
        runs = {run.digest for run in fleet.engine_network.records.runs}
        return backlog, left, text, len(runs - {0})

    backlog, left, text, ran = placement_fleet.run(main)
    assert (backlog, left, ran) == (1, 0, 1)
    assert text == placement_fleet.expected_answer('One. answer=200')


def test_a_cancel_is_repeated_until_the_engine_confirms():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        task = fleet.start_request('vm1', 1, 'Long. answer=300')
        await asyncio.sleep(1)
        for engine in fleet.engines_by_name.values():
            engine.faults = engine.faults._replace(stalled=('cancel',))
        task.cancel()
        await asyncio.sleep(1)
        during = fleet.held_requests()
        for engine in fleet.engines_by_name.values():
            engine.faults = engine.faults._replace(stalled=())
        await asyncio.sleep(0.5)
        return during, fleet.held_requests()

    during, after = placement_fleet.run(main)
    assert len(during) == 1
    assert after == []


def test_a_withdrawn_key_ends_the_answer_with_a_problem():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        task = fleet.start_request('vm1', 1, 'Long. answer=300')
        await asyncio.sleep(1)
        found = fleet.service('vm1').cancel('r1')
        problem = await task
        await asyncio.sleep(1)
        return found, problem, fleet.held_requests()

    found, problem, held = placement_fleet.run(main)
    assert found
    assert (problem.code, problem.ran) == ('withdrawn', 'yes')
    assert held == []


@pytest.mark.parametrize('stage', STAGES)
def test_engines_hold_nothing_of_a_killed_edge_after_its_restart(stage):
    async def main():
        fleet = await placement_fleet.three_vms(
            link_rate=SLOW_LINK_RATE
        ).start()
        edge = fleet.vm_other_than_home()
        other_edge = next(vm for vm in fleet.apps_by_vm if vm != edge)
        task = fleet.start_request(edge, 1, 'word ' * 4000 + 'answer=390')
        other_task = fleet.start_request(other_edge, 2, LONG)
        await asyncio.sleep(STAGES[stage])
        await fleet.kill(edge)
        task.cancel()
        await fleet.boot(edge)
        await asyncio.sleep(5.5)
        return fleet.held_requests(), await other_task

    held, text = placement_fleet.run(main)
    assert held == []
    assert text == placement_fleet.expected_answer(LONG)


@pytest.mark.parametrize('fault', ['kill', 'pause', 'partition'])
def test_no_request_is_lost_or_truncated_when_the_home_fails(fault):
    async def main():
        fleet = await placement_fleet.three_vms(slots=4).start()
        home = fleet.home()
        edges = [vm for vm in fleet.apps_by_vm if vm != home]
        prompts = [f'Feast {n}. answer=120' for n in range(24)]
        tasks = [
            fleet.start_request(edges[n % 2], n, prompt)
            for n, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(1.5)
        if fault == 'kill':
            await fleet.kill(home)
        elif fault == 'pause':
            fleet.clocks_by_vm[home].pause()
        else:
            fleet.network.partition({home}, set(edges))
        await asyncio.sleep(60)
        fleet.network.heal()
        fleet.clocks_by_vm[home].resume()
        await asyncio.sleep(3)
        texts = [await task for task in tasks]
        after = await fleet.ask(edges[0], 99, PROMPT)
        await asyncio.sleep(1.5)
        return prompts, texts, after, fleet.held_requests()

    prompts, texts, after, held = placement_fleet.run(main)
    assert texts == [
        placement_fleet.expected_answer(prompt) for prompt in prompts
    ]
    assert after == placement_fleet.expected_answer(PROMPT)
    assert held == []


def test_concurrent_homes_share_engines_and_truncate_no_answer():
    async def main():
        fleet = await placement_fleet.three_vms(slots=4).start()
        fleet.network.partition({'vm1'}, {'vm2'}, {'vm3'})
        await asyncio.sleep(5)
        prompts = [f'Feast {n}. answer=60' for n in range(36)]
        tasks = [
            fleet.start_request(f'vm{1 + n % 3}', n, prompt)
            for n, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(1)
        homes = [
            vm
            for vm in fleet.apps_by_vm
            if fleet.service(vm).shard(placement_fleet.MODEL) is not None
        ]
        fleet.network.heal()
        texts = [await task for task in tasks]
        await asyncio.sleep(1.5)
        return homes, prompts, texts, fleet.held_requests()

    homes, prompts, texts, held = placement_fleet.run(main)
    assert len(homes) == 3
    assert texts == [
        placement_fleet.expected_answer(prompt) for prompt in prompts
    ]
    assert held == []


def test_an_answer_resumes_at_the_exact_token_after_an_engine_crash():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        pieces = []
        prompt = 'Resume me. answer=100'
        task = fleet.start_request('vm1', 1, prompt, pieces)
        await asyncio.sleep(1.5)
        busy = next(
            e for e in fleet.engines_by_name.values() if e.batch.requests()
        )
        sent = len(pieces)
        busy.die()
        text = await task
        await asyncio.sleep(1)
        doubled = fleet.service('vm1').counts['doubled']
        return prompt, text, pieces, sent, fleet.held_requests(), doubled

    prompt, text, pieces, sent, held, doubled = placement_fleet.run(main)
    assert doubled == 0
    assert 0 < sent < 100
    assert text == placement_fleet.expected_answer(prompt)
    assert [piece.position for piece in pieces] == list(range(100))
    assert {piece.request_id for piece in pieces} == {'r1'}
    assert held == []


def test_misrouted_and_duplicate_pieces_and_early_ends_are_filtered():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        for engine in fleet.engines_by_name.values():
            engine.faults = engine.faults._replace(crossed=5, duplicated=5)
        decodes = [e for n, e in fleet.engines_by_name.items() if '-d' in n]
        decodes[0].faults = decodes[0].faults._replace(cut_after=20)
        prompts = [f'Feast {n}. answer=50' for n in range(8)]
        texts = await asyncio.gather(
            *(fleet.ask('vm1', n, prompt) for n, prompt in enumerate(prompts))
        )
        return prompts, texts, fleet.service('vm1').counts

    prompts, texts, counts = placement_fleet.run(main)
    assert texts == [
        placement_fleet.expected_answer(prompt) for prompt in prompts
    ]
    assert counts['crossed'] > 0
    assert counts['doubled'] > 0
    assert counts['wrong_end'] > 0


def test_an_answer_that_always_ends_early_is_an_error():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        for engine in fleet.engines_by_name.values():
            engine.faults = engine.faults._replace(cut_after=20)
        problem = await fleet.ask('vm1', 1, PROMPT)
        await asyncio.sleep(1)
        return problem, fleet.held_requests()

    problem, held = placement_fleet.run(main)
    assert (problem.code, problem.ran) == ('engine_failed', 'yes')
    assert held == []


def test_a_request_that_is_not_idempotent_is_never_resent():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        prompt = 'Once only. answer=100'
        task = fleet.start_request('vm1', 1, prompt, repeatable=False)
        await asyncio.sleep(1.5)
        busy = next(
            e for e in fleet.engines_by_name.values() if e.batch.requests()
        )
        busy.die()
        problem = await task
        await asyncio.sleep(3)
        runs = fleet.engine_network.records.runs
        return problem, [run.kind for run in runs]

    problem, kinds = placement_fleet.run(main)
    assert (problem.code, problem.ran) == ('engine_failed', 'yes')
    assert kinds == ['prefill', 'transfer', 'decode']


def test_an_engine_gets_no_new_work_after_it_reports_leaving():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        name = 'szeged-d0'
        leaving = fleet.engines_by_name[name]
        leaving.faults = leaving.faults._replace(refuse='leaving')
        started = asyncio.get_running_loop().time()
        texts = await asyncio.gather(
            *(fleet.ask('vm1', n, f'Feast {n}. answer=20') for n in range(12))
        )
        runs = fleet.engine_network.records.runs
        late = [
            run for run in runs if run.engine == name and run.at > started + 3
        ]
        return texts, late

    texts, late = placement_fleet.run(main)
    assert texts == [
        placement_fleet.expected_answer(f'Feast {n}. answer=20')
        for n in range(12)
    ]
    assert late == []


def test_a_stopping_daemon_completes_answers_and_hands_off_its_shard():
    async def main():
        fleet = await placement_fleet.three_vms(slots=4).start()
        home = fleet.home()
        prompts = [f'Feast {n}. answer=60' for n in range(18)]
        tasks = [
            fleet.start_request(f'vm{1 + n % 3}', n, prompt)
            for n, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(1)
        await fleet.apps_by_vm[home].stop()
        texts = [await task for task in tasks]
        await asyncio.sleep(1.5)
        return prompts, texts, fleet.held_requests()

    prompts, texts, held = placement_fleet.run(main)
    assert texts == [
        placement_fleet.expected_answer(prompt) for prompt in prompts
    ]
    assert held == []


def test_no_request_is_lost_when_messages_are_lost():
    async def main():
        fleet = await placement_fleet.three_vms(slots=4).start()
        fleet.network.loss_rate = 0.1
        prompts = [f'Feast {n}. answer=40' for n in range(40)]
        texts = await asyncio.gather(
            *(
                fleet.ask(f'vm{1 + n % 3}', n, prompt)
                for n, prompt in enumerate(prompts)
            )
        )
        fleet.network.loss_rate = 0.0
        await asyncio.sleep(10)
        reservations = [
            fleet.service(vm)
            .shard(placement_fleet.MODEL)
            .scheduler.reservations()
            for vm in fleet.apps_by_vm
            if fleet.service(vm).shard(placement_fleet.MODEL) is not None
        ]
        return prompts, texts, fleet.held_requests(), reservations

    prompts, texts, held, reservations = placement_fleet.run(main)
    assert texts == [
        placement_fleet.expected_answer(prompt) for prompt in prompts
    ]
    assert held == []
    assert set(reservations) == {()}


def test_a_stalled_stream_resumes_at_another_engine():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        prompt = 'Stall. answer=100'
        task = fleet.start_request('vm1', 1, prompt)
        await asyncio.sleep(1.5)
        busy = next(
            e for e in fleet.engines_by_name.values() if e.batch.requests()
        )
        busy.batch._task.cancel()
        text = await task
        await asyncio.sleep(1)
        return prompt, text, fleet.held_requests()

    prompt, text, held = placement_fleet.run(main)
    assert text == placement_fleet.expected_answer(prompt)
    assert held == []


def test_an_unresponsive_home_is_replaced_within_one_second():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        home = fleet.home()
        edge = fleet.vm_other_than_home()
        await fleet.kill(home)
        started = asyncio.get_running_loop().time()
        await fleet.ask(edge, 1, 'Short. answer=1')
        return asyncio.get_running_loop().time() - started

    assert placement_fleet.run(main) < 1.0


def test_a_lost_release_is_repaired_by_the_next_lease():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        edge = fleet.vm_other_than_home()
        long = fleet.start_request(edge, 1, 'Long. answer=300')
        short = fleet.start_request(edge, 2, 'Short. answer=20')
        await asyncio.sleep(0.5)
        fleet.network.loss_rate = 1.0
        await short
        fleet.network.loss_rate = 0.0
        shard = fleet.service(fleet.home()).shard(placement_fleet.MODEL)
        before = len(shard.scheduler.reservations())
        await asyncio.sleep(2)
        after = len(shard.scheduler.reservations())
        await long
        return before, after

    assert placement_fleet.run(main) == (2, 1)


def test_a_stalled_transfer_is_resent_while_its_prefill_result_is_held():
    async def main():
        fleet = await placement_fleet.three_vms().start()
        prompts = [f'Feast {n}. answer=10' for n in range(6)]
        for prompt in prompts:
            await fleet.ask('vm1', prompt, prompt)
        stalled = fleet.engines_by_name['szeged-d0']
        stalled.faults = stalled.faults._replace(stalled=('transfer',))
        before = len(fleet.engine_network.records.prefills)
        texts = [await fleet.ask('vm1', n, prompts[n]) for n in range(6)]
        after = len(fleet.engine_network.records.prefills)
        await asyncio.sleep(1.5)
        return prompts, texts, after - before, fleet.held_requests()

    prompts, texts, prefills, held = placement_fleet.run(main)
    assert texts == [
        placement_fleet.expected_answer(prompt) for prompt in prompts
    ]
    assert prefills == 6
    assert held == []
