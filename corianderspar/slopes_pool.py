"""Processor time of a placement against engines and queue length."""

import asyncio
import random
import time
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import clock as clocks
from corianderspar import fits
from corianderspar import pool

ENGINES = (2, 4, 8, 16, 32, 64)
QUEUED = (0, 100, 1000, 5000)
SHARD_ENGINES = 16
PLACEMENTS = 400
ACCOUNTS = 50
PIECES = 20
ANSWER = 80
PIECE_TOKENS = 4
SEED = 7


class Point(NamedTuple):
    """One measured point.

    Attributes
    ----------
    engines : int
        Decode engines of the shard, with half as many prefill engines.
    queued : int
        Jobs that wait all the time, over `ACCOUNTS` accounts.
    seconds : float
        Processor time of one placement, from submission to release, with
        `PIECES` reports of progress.
    placements : int
        How many were timed.
    """

    engines: int
    queued: int
    seconds: float
    placements: int


def decision_points() -> list[Point]:
    """Measure the points, first over engines, then over the queue."""
    over_engines = [point(engines, 0) for engines in ENGINES]
    over_queue = [point(SHARD_ENGINES, queued) for queued in QUEUED]
    return over_engines + over_queue


def series() -> tuple[fits.Series, ...]:
    """Return the points as two series for straight lines."""
    unit = 'processor seconds of a placement'
    over_engines = tuple(
        fits.Point(engines, point(engines, 0).seconds) for engines in ENGINES
    )
    over_queue = tuple(
        fits.Point(queued, point(SHARD_ENGINES, queued).seconds)
        for queued in QUEUED
    )
    return (
        fits.Series('pool_engines', 'decode engines', unit, over_engines),
        fits.Series('pool_queue', 'jobs waiting', unit, over_queue),
    )


def point(engines: int, queued: int, placements: int = PLACEMENTS) -> Point:
    """Measure one point."""
    used = clocks.run_virtual(_place(engines, queued, placements))
    return Point(engines, queued, used / placements, placements)


async def _place(engines: int, queued: int, placements: int) -> float:
    clock = clocks.VirtualClock()
    rng = random.Random(SEED)  # noqa: S311
    scheduler = pool.PoolScheduler(clock, rng)
    scheduler.set_engines(_upstreams(engines))
    slots = engines * _SLOTS
    wanted = [_job(rng, number) for number in range(slots + queued)]
    tasks = [asyncio.create_task(scheduler.submit(job)) for job in wanted]
    await clock.sleep(1.0)
    running = _running(scheduler)
    began = time.process_time()
    for number in range(placements):
        running = running or _running(scheduler)
        request_id = running.pop(rng.randrange(len(running)))
        _stream(scheduler, request_id)
        scheduler.release(request_id, ANSWER, 'done')
        job = _job(rng, slots + queued + number)
        tasks.append(asyncio.create_task(scheduler.submit(job)))
        await asyncio.sleep(0.0)
    used = time.process_time() - began
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return used


def _running(scheduler: pool.PoolScheduler) -> list[str]:
    return [held.job.request_id for held in scheduler.reservations()]


def _stream(scheduler: pool.PoolScheduler, request_id: str) -> None:
    scheduler.note_prefill_started(request_id)
    scheduler.note_prefilled(request_id, 500, 1000)
    scheduler.note_decoding(request_id)
    for piece in range(PIECES):
        scheduler.note_progress(request_id, (piece + 1) * PIECE_TOKENS)


def _job(rng: random.Random, number: int) -> pool.Job:
    text = rng.randrange(100) * 1000
    return pool.Job(
        f'r{number}',
        f'a{rng.randrange(ACCOUNTS)}',
        1.0,
        'patient',
        'blurb',
        1500,
        tuple(range(text, text + 6)),
        640,
        1e6,
    )


_SLOTS = 20


def _upstreams(engines: int) -> dict[str, catalogue.Upstream]:
    base = catalogue.Upstream(
        'szeged', '', 'engine', 'm', link_rate=1e12, slots=_SLOTS
    )
    prefills = {
        f'p{number}': base._replace(role='prefill')
        for number in range(max(1, engines // 2))
    }
    decodes = {
        f'd{number}': base._replace(role='decode') for number in range(engines)
    }
    return prefills | decodes
