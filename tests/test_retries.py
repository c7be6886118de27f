"""Tests of the budget for retries and hedges."""

import asyncio

from corianderspar import clock
from corianderspar import fake_plain_fleet
from corianderspar import retries
from tests.test_dispatch import always
from tests.test_dispatch import run


async def lookups(fleet, count, prefix=b'a'):
    outcomes = []
    for number in range(count):
        request = fleet.request(prefix + b'%d' % number, True)
        outcomes.append(await fleet.call('vm0', request))
    return outcomes


def test_an_outage_is_not_made_worse():
    async def scenario(fleet):
        fleet.set_fault(always('die_before'))
        await lookups(fleet, 400)
        return fleet.ledger.calls

    assert 400 < run(scenario) <= 433


def test_many_slow_replies_do_not_hide_that_they_are_late():
    async def main():
        delays = retries.ReplyTimes(clock.VirtualClock())
        for number in range(100):
            delays.add(0.5 if number % 10 == 0 else 0.01)
        return delays.hedge_delay()

    assert 0.09 < clock.run_virtual(main()) < 0.11


def test_leaving_upstreams_cost_no_budget():
    async def scenario(fleet):
        fleet.dispatch('vm0').retrier.budget.balance = 0.0
        for name in ('desk0', 'desk2'):
            fleet.services_by_name[name].leaving = True
        return await lookups(fleet, 3), fleet.ledger.calls

    outcomes, calls = run(scenario)
    assert all(outcome.is_ok() for outcome in outcomes)
    assert calls == 5


def test_a_stalled_upstream_is_hedged():
    async def scenario(fleet):
        await lookups(fleet, 200)
        fleet.services_by_name['desk0'].fault = always('stall')
        loop = asyncio.get_running_loop()
        since = loop.time()
        outcomes = await lookups(fleet, 10, b'b')
        return outcomes, loop.time() - since

    outcomes, seconds = run(scenario)
    assert all(outcome.is_ok() for outcome in outcomes)
    assert seconds < 1


def test_without_hedging_a_stalled_upstream_costs_the_deadline():
    async def scenario(fleet):
        await lookups(fleet, 200)
        fleet.services_by_name['desk0'].fault = always('stall')
        outcomes = await lookups(fleet, 10, b'b')
        return [outcome.is_ok() for outcome in outcomes]

    shape = fake_plain_fleet.Shape(policy=retries.Policy(hedging=False))
    assert not all(run(scenario, shape))


def test_hedges_leave_a_part_of_the_budget_to_retries():
    budget = retries.RetryBudget()
    budget.balance = 2.5
    assert budget.withdraw(retries.HEDGE_RESERVE_FRACTION)
    assert not budget.withdraw(retries.HEDGE_RESERVE_FRACTION)
    assert budget.withdraw()


def test_delays_forget_what_is_long_ago():
    async def main():
        vm_clock = clock.VirtualClock()
        delays = retries.ReplyTimes(vm_clock)
        for _sample in range(100):
            delays.add(1.0)
        known = delays.hedge_delay()
        await vm_clock.sleep(retries.SKETCH_ROTATION_SECONDS * 2)
        delays.add(0.01)
        await vm_clock.sleep(retries.SKETCH_ROTATION_SECONDS * 2)
        return known, delays.hedge_delay()

    known, forgotten = clock.run_virtual(main())
    assert abs(known - 3.0) < 0.1
    assert forgotten is None
