"""Measures of orders, lookups, outages and restarts, ours and naive."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import NamedTuple

import numpy

from corianderspar import clock
from corianderspar import drain
from corianderspar import fake_plain
from corianderspar import fake_plain_fleet
from corianderspar import measure
from corianderspar import naive_plain
from corianderspar import plain_client
from corianderspar import plain_requests
from corianderspar import retries

SEEDS = (1, 2, 3)
ORDERS = 1000
LOOKUPS = 2000
OUTAGE_LOOKUPS = 1000
SENDS = 4
FAULT_CHANCE = 0.15
ORDER_SECONDS = 120.0
KILL_SECONDS = 8.0
LOOKUP_SECONDS = 60.0
LOOKUP_TARGET = 0.25
RESTART_CALLERS = 12
PER = 1000

ORDER_FAULTS: tuple[fake_plain.Fault, ...] = (
    'crossed',
    'die_after',
    'die_before',
    'error',
    'late',
    'refuse',
    'stall',
)
SIX = fake_plain_fleet.Shape(vms=6, upstreams=6, data_centres=2)
NINE = fake_plain_fleet.Shape(
    9, 6, 3, shutdown=drain.Settings(balancer_seconds=2.0, replay_seconds=3.0)
)
UNHEDGED = retries.Policy(hedging=False)

Run = Callable[[fake_plain_fleet.Fleet], Coroutine[Any, Any, list[float]]]
Make = Callable[[int], fake_plain_fleet.Fleet]


class Figure(NamedTuple):
    """What a run gives: its name, unit and whether more is better."""

    name: str
    unit: str
    more_is_better: bool = False


def measures() -> list[measure.Measure]:
    """Return all measures of this part, the worst of the seeds."""
    return [
        *_compare(
            [
                Figure('orders_run_twice', 'per_1000'),
                Figure('untrue_not_run', 'per_1000'),
                Figure('orders_answered', 'per_1000', True),
            ],
            _orders,
            SIX,
            ORDERS,
        ),
        *_compare(
            [
                Figure('lookups_hedged_goodput', 'fraction', True),
                Figure('lookups_hedged_p99', 's'),
                Figure('lookups_hedged_calls', 'per_request'),
            ],
            _lookups,
            SIX,
            LOOKUPS,
        ),
        *_compare(
            [
                Figure('lookups_unhedged_goodput', 'fraction', True),
                Figure('lookups_unhedged_p99', 's'),
                Figure('lookups_unhedged_calls', 'per_request'),
            ],
            _lookups,
            SIX._replace(policy=UNHEDGED),
            LOOKUPS,
        ),
        *_compare(
            [Figure('outage_amplification', 'calls_per_request')],
            _outage,
            SIX,
            OUTAGE_LOOKUPS,
        ),
        *_compare(
            [
                Figure('rolling_restart_cut', 'requests'),
                Figure('rolling_restart_refused', 'requests'),
                Figure('rolling_restart_answered', 'requests', True),
            ],
            _rolling_restart,
            NINE,
            RESTART_CALLERS,
        ),
    ]


def _compare(
    figures: list[Figure], run: Run, shape: fake_plain_fleet.Shape, n: int
) -> list[measure.Measure]:
    ours = [_play(fake_plain_fleet.Fleet(seed, shape), run) for seed in SEEDS]
    naive = [_play(naive_plain.NaiveFleet(seed, shape), run) for seed in SEEDS]
    found = []
    for place, figure in enumerate(figures):
        worst = min if figure.more_is_better else max
        values = [values[place] for values in ours]
        value = worst(values)
        other = worst(values[place] for values in naive)
        seed = SEEDS[values.index(value)]
        found.append(
            measure.Measure(figure.name, value, other, figure.unit, n, seed)
        )
    return found


def _play(fleet: fake_plain_fleet.Fleet, run: Run) -> list[float]:
    async def main() -> list[float]:
        await fleet.start()
        values = await run(fleet)
        await fleet.stop()
        return values

    return clock.run_virtual(main())


async def _orders(fleet: fake_plain_fleet.Fleet) -> list[float]:
    """Return orders run twice, untrue refusals and answered, per 1000."""

    def fault(_call: plain_client.PlainCall) -> fake_plain.Fault:
        if fleet.rng.random() >= FAULT_CHANCE:
            return ''
        return fleet.rng.choice(ORDER_FAULTS)

    fleet.set_fault(fault)
    untrue: list[bytes] = []
    answered: list[bytes] = []
    killing = asyncio.create_task(_kill_now_and_then(fleet))
    await asyncio.gather(
        *(
            _order(fleet, b'order%d' % number, untrue, answered)
            for number in range(ORDERS)
        )
    )
    killing.cancel()
    await asyncio.sleep(60)
    runs = fleet.ledger.runs_by_body()
    twice = sum(count > 1 for count in runs.values())
    factor = PER / ORDERS
    return [twice * factor, len(untrue) * factor, len(answered) * factor]


async def _kill_now_and_then(fleet: fake_plain_fleet.Fleet) -> None:
    while True:
        await asyncio.sleep(KILL_SECONDS)
        vm = fleet.rng.choice(fleet.vms)
        await fleet.kill(vm)
        await asyncio.sleep(1)
        await fleet.start_vm(vm)


async def _order(
    fleet: fake_plain_fleet.Fleet,
    body: bytes,
    untrue: list[bytes],
    answered: list[bytes],
) -> None:
    """Send an order until it is answered, as an anxious caller does."""
    await asyncio.sleep(fleet.rng.uniform(0, ORDER_SECONDS))
    ticket = ''
    for _send in range(SENDS):
        vm = fleet.rng.choice(fleet.vms)
        ticket = ticket or await fleet.ticket(vm)
        if not ticket:
            await asyncio.sleep(0.5)
            continue
        request = fleet.request(body, ticket=ticket, timeout=3.0)
        outcome = await fleet.call(fleet.rng.choice(fleet.vms), request)
        if outcome is not None and outcome.is_ok():
            answered.append(body)
            return
        if outcome is not None and outcome.error.ran == 'no':
            if fleet.ledger.runs(body):
                untrue.append(body)
            ticket = outcome.error.ticket
        await asyncio.sleep(0.5)


async def _lookups(fleet: fake_plain_fleet.Fleet) -> list[float]:
    """Return goodput, p99 in s and calls per request of lookups.

    One upstream in six takes a hundred times as long in one reply of
    five, and every tenth second another drops its requests.
    """
    names = list(fleet.services_by_name)

    def slow() -> float:
        return 0.5 if fleet.rng.random() < 0.2 else 0.005

    def stalled(_call: plain_client.PlainCall) -> fake_plain.Fault:
        now = asyncio.get_running_loop().time()
        return 'stall' if int(now) % 10 == 9 else ''

    for service in fleet.services_by_name.values():
        service.work = lambda: fleet.rng.uniform(0.003, 0.007)
    fleet.services_by_name[names[0]].work = slow
    fleet.services_by_name[names[1]].fault = stalled
    took = await asyncio.gather(
        *(_lookup(fleet, b'l%d' % number) for number in range(LOOKUPS))
    )
    good = sum(seconds <= LOOKUP_TARGET for seconds in took) / LOOKUPS
    p99 = float(numpy.percentile(took, 99))
    return [good, p99, fleet.ledger.calls / LOOKUPS]


async def _lookup(fleet: fake_plain_fleet.Fleet, body: bytes) -> float:
    """Return the seconds to the answer; the deadline if none came."""
    await asyncio.sleep(fleet.rng.uniform(0, LOOKUP_SECONDS))
    loop = asyncio.get_running_loop()
    since = loop.time()
    request = fleet.request(body, repeatable=True, timeout=3.0)
    outcome = await fleet.call(fleet.rng.choice(fleet.vms), request)
    if outcome is None or outcome.is_error():
        return request.timeout
    return loop.time() - since


async def _outage(fleet: fake_plain_fleet.Fleet) -> list[float]:
    """Return upstream calls per lookup while all upstreams fail."""
    await asyncio.gather(
        *(_lookup(fleet, b'before%d' % number) for number in range(LOOKUPS))
    )
    before = fleet.ledger.calls
    fleet.set_fault(lambda _call: 'die_before')
    await asyncio.gather(
        *(_lookup(fleet, b'in%d' % number) for number in range(OUTAGE_LOOKUPS))
    )
    return [(fleet.ledger.calls - before) / OUTAGE_LOOKUPS]


async def _rolling_restart(fleet: fake_plain_fleet.Fleet) -> list[float]:
    """Return requests cut, refused, answered while all daemons restart."""
    for service in fleet.services_by_name.values():
        service.work = lambda: fleet.rng.uniform(0.01, 1.0)
    outcomes: list[plain_requests.Outcome | None] = []
    ready = list(fleet.vms)
    balancer = asyncio.create_task(_balance(fleet, ready))
    callers = [
        asyncio.create_task(_caller(fleet, number, ready, outcomes))
        for number in range(RESTART_CALLERS)
    ]
    for vm in fleet.vms:
        await fleet.restart(vm)
        await asyncio.sleep(3)
    await asyncio.sleep(10)
    balancer.cancel()
    for caller in callers:
        caller.cancel()
    cut = sum(outcome is None for outcome in outcomes)
    refused = sum(
        outcome is not None and outcome.is_error() for outcome in outcomes
    )
    return [cut, refused, len(outcomes) - cut - refused]


async def _balance(fleet: fake_plain_fleet.Fleet, ready: list[str]) -> None:
    while True:
        ready[:] = fleet.ready()
        await asyncio.sleep(1.5)


async def _caller(
    fleet: fake_plain_fleet.Fleet,
    caller: int,
    ready: list[str],
    outcomes: list[plain_requests.Outcome | None],
) -> None:
    number = 0
    while True:
        number += 1
        body = b'%d/%d' % (caller, number)
        ticket = ''
        if number % 2:
            ticket = await fleet.ticket(fleet.rng.choice(ready))
            await asyncio.sleep(fleet.rng.uniform(0, 4))
        request = fleet.request(body, not ticket, ticket)
        outcomes.append(await fleet.call(fleet.rng.choice(ready), request))
        await asyncio.sleep(fleet.rng.uniform(0, 0.5))
