"""Tests of the scheduler of a pool."""

import asyncio
import random

from corianderspar import catalogue
from corianderspar import clock
from corianderspar import engine
from corianderspar import pool
from corianderspar import pool_ledger

DECODE = catalogue.Upstream(
    'szeged', '10.0.0.1:80', 'engine', 'm', 'decode', 1e10, slots=2, pieces=10
)
PREFILL = DECODE._replace(role='prefill', pieces=32)
JOB = pool.Job('r1', 'a', 1.0, 'ordinary', 'r', 1000, (1, 2, 3), 800, 1.0)
LOAD = engine.EngineLoad('decode', 'm', 2, 10, 0, ())


def run(check, **upstreams):
    upstreams = upstreams or {'p1': PREFILL, 'd1': DECODE}

    async def main():
        events = []
        scheduler = pool.PoolScheduler(
            clock.VirtualClock(),
            random.Random(1),
            lambda name, **fields: events.append((name, fields)),
        )
        scheduler.set_engines(upstreams)
        scheduler.events = events
        return await check(scheduler)

    return clock.run_virtual(main())


async def grant_job(scheduler, request_id='r1', **fields):
    job = JOB._replace(request_id=request_id, **fields)
    result = await scheduler.submit(job)
    assert result.is_ok(), result
    return result.ok


async def start_decoding(scheduler, request_id, **fields):
    grant = await grant_job(scheduler, request_id, **fields)
    scheduler.note_prefill_started(request_id)
    scheduler.note_prefilled(request_id, 1000, 0)
    scheduler.note_decoding(request_id)
    return grant


def submit_task(scheduler, request_id, **fields):
    job = JOB._replace(request_id=request_id, **fields)
    return asyncio.create_task(scheduler.submit(job))


def test_a_decode_slot_is_reserved_before_the_prefill_and_released():
    async def check(scheduler):
        assert scheduler.summary().free_slots == 2
        grant = await grant_job(scheduler)
        assert (grant.prefill, grant.decode) == ('p1', 'd1')
        assert scheduler.summary().free_slots == 1
        scheduler.release('r1', 0, 'gone')
        scheduler.release('r1', 0, 'gone')
        assert scheduler.summary().free_slots == 2

    run(check)


def test_jobs_wait_in_a_full_pool_until_a_release():
    async def check(scheduler):
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
        task = submit_task(scheduler, 'r3', max_wait=5.0)
        await asyncio.sleep(0.5)
        assert not task.done()
        scheduler.release('r1', 80, 'done')
        assert (await task).is_ok()

    run(check)


def test_a_job_refused_at_its_deadline_is_reported_as_not_run():
    async def check(scheduler):
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
        result = await submit_task(scheduler, 'r3', max_wait=1.0)
        problem = result.error
        assert (problem.code, problem.ran) == ('overloaded', 'no')
        assert problem.retry_after > 0
        assert 1.0 <= asyncio.get_running_loop().time() < 1.1
        assert scheduler.summary().backlog == 0

    run(check)


def test_a_long_backlog_refuses_at_once_except_patient_jobs():
    async def check(scheduler):
        loop = asyncio.get_running_loop()
        tasks = [
            submit_task(scheduler, f'q{number}', max_wait=60.0, blocks=())
            for number in range(60)
        ]
        for _ in range(12):
            await asyncio.sleep(1.0)
            for reservation in scheduler.reservations():
                scheduler.release(reservation.job.request_id, 80, 'done')
        before = loop.time()
        refused = await scheduler.submit(JOB._replace(max_wait=0.5))
        assert refused.error.code == 'overloaded'
        assert refused.error.retry_after > 0.5
        assert loop.time() == before
        patient = submit_task(
            scheduler, 'p', service_class='patient', max_wait=300.0, blocks=()
        )
        other = submit_task(scheduler, 'o', account='other', max_wait=1.5)
        await asyncio.sleep(0.1)
        assert not patient.done()
        for _ in range(60):
            for reservation in scheduler.reservations():
                scheduler.release(reservation.job.request_id, 80, 'done')
            await asyncio.sleep(0.5)
        assert (await patient).is_ok()
        assert (await other).is_ok()
        assert all(task.done() for task in tasks)

    run(check)


def test_a_cancelled_job_leaves_the_queue():
    async def check(scheduler):
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
        task = submit_task(scheduler, 'r3', max_wait=5.0)
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert scheduler.summary().backlog == 0
        scheduler.release('r1', 0, 'gone')
        assert scheduler.summary().free_slots == 1

    run(check)


def test_a_job_cancelled_as_it_is_granted_is_released():
    async def check(scheduler):
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
        task = submit_task(scheduler, 'r3', max_wait=5.0)
        await asyncio.sleep(0.1)
        scheduler.release('r1', 80, 'done')
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()
        assert scheduler.summary().free_slots == 1

    run(check)


def test_a_slot_freed_right_after_a_cancel_goes_to_another_job():
    async def check(scheduler):
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
        cancelled = submit_task(scheduler, 'r3', max_wait=5.0)
        other = submit_task(scheduler, 'r4', max_wait=5.0)
        await asyncio.sleep(0.1)
        cancelled.cancel()
        scheduler.release('r1', 80, 'done')
        assert (await other).is_ok()
        assert cancelled.cancelled()
        assert scheduler.summary().backlog == 0

    run(check)


def test_a_resubmitted_job_gets_the_same_grant_and_one_reservation():
    async def check(scheduler):
        decode = scheduler._placement.decodes_by_name['d1']
        free = decode.free_pieces()
        first = await grant_job(scheduler)
        assert await grant_job(scheduler) == first
        assert scheduler.summary().free_slots == 1
        scheduler.release('r1', 0, 'gone')
        assert decode.free_pieces() == free
        await grant_job(scheduler)
        scheduler.note_engine_died('d1')
        assert await grant_job(scheduler) == first

    run(check)


def test_a_job_that_waits_twice_gets_one_reservation():
    async def check(scheduler):
        decode = scheduler._placement.decodes_by_name['d1']
        free = decode.free_pieces()
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
        twice = [submit_task(scheduler, 'r3', max_wait=5.0) for _ in range(2)]
        await asyncio.sleep(0.1)
        scheduler.release('r1', 80, 'done')
        scheduler.release('r2', 80, 'done')
        first, second = await asyncio.gather(*twice)
        assert first == second
        scheduler.release('r3', 80, 'done')
        assert scheduler.summary() == pool.ShardSummary(2, 0, 0.0)
        assert decode.free_pieces() == free

    run(check)


def test_a_transfer_is_rescheduled_though_its_source_was_removed():
    async def check(scheduler):
        await grant_job(scheduler)
        scheduler.note_prefill_started('r1')
        scheduler.note_prefilled('r1', 1000, 0)
        scheduler.set_engines({'d1': DECODE, 'd2': DECODE})
        assert scheduler.reschedule_transfer('r1').prefill == 'p1'

    run(check, p1=PREFILL, d1=DECODE, d2=DECODE)


def test_no_new_work_for_engines_that_leave_died_or_changed():
    async def check(scheduler):
        for change in (
            LOAD._replace(leaving=True),
            LOAD._replace(role='prefill'),
            LOAD._replace(model='other'),
        ):
            scheduler.note_load('d1', change)
            for _ in range(3):
                assert (await grant_job(scheduler)).decode == 'd2'
                scheduler.release('r1', 0, 'gone')
            scheduler.note_load('d1', LOAD)
        scheduler.note_engine_died('d2')
        assert (await grant_job(scheduler)).decode == 'd1'
        scheduler.release('r1', 0, 'gone')
        scheduler.set_engines({'p1': PREFILL, 'd2': DECODE})
        refused = await scheduler.submit(JOB)
        assert (refused.error.code, refused.error.ran) == ('no_engine', 'no')

    run(check, p1=PREFILL, d1=DECODE, d2=DECODE)


def test_a_report_from_before_its_death_does_not_revive_an_engine():
    async def check(scheduler):
        scheduler.note_engine_died('d1')
        scheduler.note_load('d1', LOAD)
        assert scheduler.summary().free_slots == 0
        await asyncio.sleep(pool_ledger.DEATH_LAG_SECONDS)
        scheduler.note_load('d1', LOAD)
        assert scheduler.summary().free_slots == 2

    run(check)


def test_reported_external_requests_take_slots():
    async def check(scheduler):
        held = LOAD._replace(requests=('x', 'y'), used_pieces=9)
        scheduler.note_load('d1', held)
        assert scheduler.summary().free_slots == 0
        scheduler.note_load('d1', LOAD)
        await grant_job(scheduler)
        scheduler.release('r1', 0, 'gone')
        scheduler.note_load('d1', LOAD._replace(requests=('r1',)))
        assert scheduler.summary().free_slots == 2

    run(check)


def test_decode_slots_are_granted_early_and_transfers_wait_for_them():
    async def check(scheduler):
        for number in range(40):
            scheduler.predictor.observe('a', 'r', 100 + number % 3)
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
            scheduler.note_progress(request_id, 20)
        task = submit_task(scheduler, 'r3', max_wait=9.0)
        await asyncio.sleep(0.2)
        assert not task.done()
        for request_id in ('r1', 'r2'):
            scheduler.note_progress(request_id, 100)
        assert (await task).is_ok()
        scheduler.note_prefill_started('r3')
        scheduler.note_prefilled('r3', 1000, 0)
        again = scheduler.reschedule_transfer('r3')
        assert again.decode == 'd1'
        assert 0 < again.delay < 0.2
        await asyncio.sleep(pool.RESULT_LIFETIME_SECONDS + 0.01)
        assert scheduler.reschedule_transfer('r3') is None
        assert len(scheduler.reservations()) == 2

    run(check)


def test_a_failed_transfer_goes_to_another_engine():
    async def check(scheduler):
        grant = await grant_job(scheduler)
        scheduler.note_prefill_started('r1')
        scheduler.note_prefilled('r1', 1000, 0)
        scheduler.note_engine_died(grant.decode)
        again = scheduler.reschedule_transfer('r1')
        assert again.decode != grant.decode
        assert again.prefill == grant.prefill

    run(check, p1=PREFILL, d1=DECODE, d2=DECODE)


def test_a_transfer_from_a_dead_engine_is_not_rescheduled():
    async def check(scheduler):
        grant = await grant_job(scheduler)
        scheduler.note_prefill_started('r1')
        scheduler.note_prefilled('r1', 1000, 0)
        scheduler.note_engine_died(grant.prefill)
        assert scheduler.reschedule_transfer('r1') is None
        assert scheduler.reservations() == ()

    run(check)


def test_only_the_first_rescheduled_transfer_starts_at_once():
    async def check(scheduler):
        await grant_job(scheduler)
        scheduler.note_prefill_started('r1')
        scheduler.note_prefilled('r1', 1000, 0)
        assert scheduler.reschedule_transfer('r1').delay < 1e-6
        for _ in range(5):
            assert scheduler.reschedule_transfer('r1').delay > 0.02

    run(check, p1=PREFILL, d1=DECODE, d2=DECODE)


def test_a_cached_prefix_attracts_jobs_until_its_queue_costs_more():
    async def check(scheduler):
        warm = await grant_job(scheduler)
        scheduler.note_prefilled('r1', 1000, 0)
        scheduler.release('r1', 10, 'done')
        assert (await grant_job(scheduler)).prefill == warm.prefill
        scheduler.release('r1', 10, 'done')
        await grant_job(scheduler, 'b1', prompt_tokens=20_000, blocks=(7, 8))
        await grant_job(scheduler, 'b2', prompt_tokens=20_000, blocks=(5, 6))
        for _ in range(2):
            scheduler._placement.prefills_by_name[
                warm.prefill
            ].busy_until += 3.0
        cold = await grant_job(scheduler, max_wait=9.0)
        assert cold.prefill != warm.prefill

    decode = DECODE._replace(slots=9, pieces=90)
    run(check, p1=PREFILL, p2=PREFILL, p3=PREFILL, d1=decode)


def test_reserved_memory_grows_with_the_answer_and_stops_new_work():
    async def check(scheduler):
        await start_decoding(scheduler, 'r1')
        scheduler.note_progress('r1', 9 * engine.MEMORY_PIECE_TOKENS)
        (held,) = scheduler.reservations()
        assert held.grant.pieces == 10
        refused = await scheduler.submit(JOB._replace(request_id='r2'))
        assert refused.error.code == 'overloaded'

    run(check)


def test_small_jobs_do_not_take_memory_that_a_large_job_waits_for():
    async def check(scheduler):
        await grant_job(scheduler, 'r0', account='b')
        scheduler.release('r0', 10, 'done')
        scheduler._queue.charge('b', 1e6)
        await start_decoding(scheduler, 'r1', prompt_tokens=5 * 2048)
        large = submit_task(
            scheduler, 'large', prompt_tokens=4 * 2048, max_wait=9.0
        )
        await asyncio.sleep(0.1)
        small = submit_task(scheduler, 'small', account='b', max_wait=9.0)
        await asyncio.sleep(0.1)
        assert not small.done()
        scheduler.release('r1', 10, 'done')
        assert (await large).is_ok()
        scheduler.release('large', 10, 'done')
        assert (await small).is_ok()

    run(check, p1=PREFILL, d1=DECODE._replace(slots=9))


def test_a_prompt_larger_than_any_engine_is_refused():
    async def check(scheduler):
        job = JOB._replace(prompt_tokens=11 * engine.MEMORY_PIECE_TOKENS)
        refused = await scheduler.submit(job)
        assert (refused.error.code, refused.error.ran) == ('too_large', 'no')

    run(check)


def test_exclusive_jobs_share_no_engine_and_excluded_engines_get_no_job():
    async def check(scheduler):
        first = await grant_job(scheduler, 's1', exclusive=True)
        second = await grant_job(scheduler, 's2', exclusive=True)
        assert first.decode != second.decode
        assert first.prefill != second.prefill
        third = submit_task(scheduler, 's3', exclusive=True)
        plain = await grant_job(scheduler, 'r1', excluded=('d1', 'p1'))
        assert (plain.prefill, plain.decode) == ('p2', 'd2')
        await asyncio.sleep(0.1)
        assert not third.done()
        scheduler.release('s1', 1, 'done')
        assert (await third).is_ok()

    run(check, p1=PREFILL, p2=PREFILL, d1=DECODE, d2=DECODE)


def test_a_new_home_rebuilds_the_ledger_from_reservations():
    async def check(scheduler):
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
        scheduler.note_progress('r1', 30)
        held = scheduler.reservations()
        fresh = pool.PoolScheduler(clock.VirtualClock(), random.Random(2))
        fresh.set_engines({'p1': PREFILL, 'd1': DECODE})
        fresh.restore(held)
        fresh.restore(held)
        assert fresh.summary().free_slots == 0
        assert [(r.tokens, r.decoding) for r in fresh.reservations()] == [
            (30, True),
            (0, True),
        ]
        fresh.note_progress('r1', 40)
        fresh.release('r1', 50, 'done')
        assert fresh.summary().free_slots == 1

    run(check)


def test_close_refuses_all_waiting_jobs():
    async def check(scheduler):
        for request_id in ('r1', 'r2'):
            await start_decoding(scheduler, request_id)
        task = submit_task(
            scheduler, 'r3', service_class='patient', max_wait=99.0
        )
        await asyncio.sleep(0.1)
        scheduler.close()
        assert (await task).error.code == 'closing'
        assert (await task).error.ran == 'no'

    run(check)


def test_events_name_requests_and_upstreams():
    async def check(scheduler):
        await grant_job(scheduler)
        scheduler.release('r1', 0, 'gone')
        names = [name for name, _fields in scheduler.events]
        assert names == ['pool.granted', 'pool.released']

    run(check)
