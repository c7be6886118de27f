"""Measures of the limits: refusals, the worst served, and overrun."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from corianderspar import clock
from corianderspar import lease_tiers
from corianderspar import limit_faults
from corianderspar import limit_load
from corianderspar import limit_trials
from corianderspar import measure
from corianderspar import naive_limits
from corianderspar import rate_limiter

BOUNDS = lease_tiers.TimingBounds(long_lease=60.0)
NINE = {
    'vm1': 'falkirk',
    'vm2': 'falkirk',
    'vm3': 'falkirk',
    'vm4': 'perth',
    'vm5': 'perth',
    'vm6': 'stirling',
    'vm7': 'stirling',
    'vm8': 'dundee',
    'vm9': 'dundee',
}
SHARES = dict.fromkeys(('falkirk', 'perth', 'stirling', 'dundee'), 0.25)
FAR = {'vm8', 'vm9'}
RATE = 1000.0
BURST = 25000.0
TIGHT_BURST = 5000.0
WARM_SECONDS = 115.0
RUN_SECONDS = 80.0
DEATH_SECONDS = 10.0
DEMAND = 0.9
SEEDS = (1, 2, 3)
KINDS = (rate_limiter.RateLimiter, naive_limits.NaiveLimits)

Script = Callable[[limit_trials.Trial, limit_load.Load], Awaitable[None]]


class Result(NamedTuple):
    """A figure, the requests behind it, and its seed."""

    value: float
    requests: int
    seed: int


async def _begin(seed: int, kind: type, burst: float) -> limit_trials.Trial:
    made = limit_trials.Trial(seed, BOUNDS, kind)
    account = limit_trials.account(RATE, burst, SHARES)
    names = ['one', 'moving', 'any', 'near', 'heavy']
    made.fleet.list_vms(NINE)
    made.fleet.publish(limit_trials.whole(1, dict.fromkeys(names, account)))
    await made.fleet.start_all()
    await asyncio.sleep(WARM_SECONDS)
    return made


def _run(
    seed: int, kind: type, script: Script, burst: float
) -> limit_load.Load:
    async def main() -> limit_load.Load:
        made = await _begin(seed, kind, burst)
        load = limit_load.Load(made, RATE, burst, seed)
        await script(made, load)
        await made.close()
        return load

    return clock.run_virtual(main())


def _begin_all(load: limit_load.Load, heavy: float = DEMAND) -> None:
    every = sorted(NINE)
    load.begin('one', DEMAND, limit_load.at_one('vm1'))
    load.begin('moving', DEMAND, limit_load.moving(every))
    load.begin('any', DEMAND, limit_load.at_any(every))
    load.begin('near', DEMAND, limit_load.at_any(every[3:5]))
    load.begin('heavy', heavy, limit_load.at_any(every))


async def _connected(made: limit_trials.Trial, load: limit_load.Load) -> None:
    _begin_all(load)
    await asyncio.sleep(RUN_SECONDS)


async def _heavy(made: limit_trials.Trial, load: limit_load.Load) -> None:
    _begin_all(load, 10.0)
    await asyncio.sleep(RUN_SECONDS / 4)


async def _deaths(made: limit_trials.Trial, load: limit_load.Load) -> None:
    _begin_all(load)
    kept = []
    for vm in ('vm2', 'vm5', 'vm7', 'vm9'):
        await asyncio.sleep(10)
        await made.fleet.kill(vm)
        died = asyncio.get_running_loop().time()
        await asyncio.sleep(DEATH_SECONDS)
        kept += [one for one in load.outcomes if one.at >= died]
        await made.fleet.start(vm)
        await asyncio.sleep(20)
    load.outcomes = kept


async def _partition(made: limit_trials.Trial, load: limit_load.Load) -> None:
    near = sorted(NINE.keys() - FAR)
    made.fleet.network.partition(FAR)
    made.fleet.platform.cut_readers = set(FAR)
    sides = [
        limit_load.Load(made, RATE * part, BURST * part, load.seed)
        for part in (0.75, 0.25)
    ]
    sides[0].begin('any', DEMAND, limit_load.at_any(near))
    sides[0].begin('moving', DEMAND, limit_load.moving(near))
    sides[1].begin('near', DEMAND, limit_load.at_any(sorted(FAR)))
    sides[1].begin('one', DEMAND, limit_load.at_one('vm8'))
    await asyncio.sleep(RUN_SECONDS)
    load.outcomes = [*sides[0].outcomes, *sides[1].outcomes]


def _wrongful(load: limit_load.Load) -> float:
    inside = [one for one in load.outcomes if one.inside]
    refused = sum(not one.granted for one in inside)
    return 100.0 * refused / max(1, len(inside))


def _worst_served(load: limit_load.Load) -> float:
    names = {one.account for one in load.outcomes} - {'heavy'}
    ratios = []
    for name in names:
        asked = [one for one in load.outcomes if one.account == name]
        granted = sum(one.tokens for one in asked if one.granted)
        ratios.append(granted / sum(one.tokens for one in asked))
    return min(ratios)


def _worst(
    kind: type,
    script: Script,
    judge: Callable[[limit_load.Load], float],
    burst: float = BURST,
) -> list[Result]:
    results = []
    for seed in SEEDS:
        load = _run(seed, kind, script, burst)
        results.append(Result(judge(load), len(load.outcomes), seed))
    return sorted(results)


def _refusals(
    name: str, script: Script, burst: float = BURST
) -> measure.Measure:
    ours, naive = (
        _worst(kind, script, _wrongful, burst)[-1] for kind in KINDS
    )
    return measure.Measure(
        name, ours.value, naive.value, '%', ours.requests, ours.seed
    )


def _fairness() -> measure.Measure:
    ours, naive = (_worst(kind, _heavy, _worst_served)[0] for kind in KINDS)
    return measure.Measure(
        'limits_worst_served_with_one_at_ten_times',
        ours.value,
        naive.value,
        'part of its demand',
        ours.requests,
        ours.seed,
    )


def _overrun() -> measure.Measure:
    worst = {kind: Result(0.0, 0, 1) for kind in KINDS}
    count = 0
    for number, fault in enumerate(limit_faults.FAULTS):
        seed = SEEDS[number % len(SEEDS)]
        for kind in KINDS:
            tally = limit_faults.run(fault, seed, kind)
            over = tally.overrun(limit_faults.RATE, limit_faults.BURST)
            worst[kind] = max(worst[kind], Result(over, 0, seed))
            if kind is rate_limiter.RateLimiter:
                count += tally.granted
    ours, naive = (worst[kind] for kind in KINDS)
    return measure.Measure(
        'limits_overrun_in_faults',
        ours.value,
        naive.value,
        'tokens',
        count,
        ours.seed,
    )


def measures() -> list[measure.Measure]:
    """Run all measures of the limits, ours and naive."""
    return [
        _refusals('limits_wrongful_refusals_connected', _connected),
        _refusals(
            'limits_wrongful_refusals_connected_burst_of_five_seconds',
            _connected,
            TIGHT_BURST,
        ),
        _refusals('limits_wrongful_refusals_around_a_death', _deaths),
        _refusals('limits_wrongful_refusals_in_a_partition', _partition),
        _fairness(),
        _overrun(),
    ]
