"""Tests of the retry budget and of hedging."""

import asyncio

from corianderspar import clock
from corianderspar import fake_plain_fleet
from corianderspar import retries
from tests.test_dispatch import always
from tests.test_dispatch import run


async def send_idempotent(fleet, count, prefix=b'a'):
    outcomes = []
    for number in range(count):
        request = fleet.request(prefix + b'%d' % number, True)
        outcomes.append(await fleet.call('vm0', request))
    return outcomes


def test_retries_in_an_outage_stay_within_the_budget():
    async def scenario(fleet):
        fleet.set_fault(always('die_before'))
        await send_idempotent(fleet, 400)
        return fleet.ledger.calls

    assert 400 < run(scenario) <= 433


def test_hedge_delay_is_bounded_if_many_replies_are_slow():
    async def main():
        reply_times = retries.ReplyTimes(clock.VirtualClock())
        for number in range(100):
            reply_times.add(0.5 if number % 10 == 0 else 0.01)
        return reply_times.hedge_delay()

    assert 0.09 < clock.run_virtual(main()) < 0.11


def test_retries_after_leaving_upstreams_cost_no_budget():
    async def scenario(fleet):
        fleet.dispatch('vm0').retrier.budget.balance = 0.0
        for name in ('desk0', 'desk2'):
            fleet.services_by_name[name].leaving = True
        return await send_idempotent(fleet, 3), fleet.ledger.calls

    outcomes, calls = run(scenario)
    assert all(outcome.is_ok() for outcome in outcomes)
    assert calls == 5


def test_requests_to_a_stalled_upstream_are_hedged():
    async def scenario(fleet):
        await send_idempotent(fleet, 200)
        fleet.services_by_name['desk0'].fault = always('stall')
        loop = asyncio.get_running_loop()
        since = loop.time()
        outcomes = await send_idempotent(fleet, 10, b'b')
        return outcomes, loop.time() - since

    outcomes, seconds = run(scenario)
    assert all(outcome.is_ok() for outcome in outcomes)
    assert seconds < 1


def test_requests_to_a_stalled_upstream_fail_without_hedging():
    async def scenario(fleet):
        await send_idempotent(fleet, 200)
        fleet.services_by_name['desk0'].fault = always('stall')
        outcomes = await send_idempotent(fleet, 10, b'b')
        return [outcome.is_ok() for outcome in outcomes]

    shape = fake_plain_fleet.Shape(policy=retries.Policy(hedging=False))
    assert not all(run(scenario, shape))


def test_hedges_leave_a_reserve_for_retries():
    budget = retries.RetryBudget()
    budget.balance = 2.5
    assert budget.withdraw(retries.HEDGE_RESERVE_FRACTION)
    assert not budget.withdraw(retries.HEDGE_RESERVE_FRACTION)
    assert budget.withdraw()


def test_old_response_times_are_dropped():
    async def main():
        vm_clock = clock.VirtualClock()
        reply_times = retries.ReplyTimes(vm_clock)
        for _sample in range(100):
            reply_times.add(1.0)
        known = reply_times.hedge_delay()
        await vm_clock.sleep(retries.SKETCH_ROTATION_SECONDS * 2)
        reply_times.add(0.01)
        await vm_clock.sleep(retries.SKETCH_ROTATION_SECONDS * 2)
        return known, reply_times.hedge_delay()

    known, expired = clock.run_virtual(main())
    assert abs(known - 3.0) < 0.1
    assert expired is None
