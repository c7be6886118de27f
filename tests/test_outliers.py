"""Tests of ejection and readmission of failing upstreams."""

import asyncio

import hypothesis
from hypothesis import strategies

from corianderspar import clock
from corianderspar import outliers

NAMES = [f'desk{number}' for number in range(4)]


def run(scenario):
    async def main():
        return await scenario(outliers.OutlierDetector(clock.VirtualClock()))

    return clock.run_virtual(main())


def fail(found, name, times=outliers.FAILURES_TO_EJECT):
    for _time in range(times):
        found.record(name, False)


def test_failures_in_a_row_eject():
    async def scenario(found):
        fail(found, 'desk0', 2)
        found.record('desk0', True)
        fail(found, 'desk0', 2)
        before = found.usable(NAMES, True)
        fail(found, 'desk0', 1)
        return before, found.usable(NAMES, True)

    assert run(scenario) == (NAMES, NAMES[1:])


def test_one_probe_at_a_time_readmits():
    async def scenario(found):
        fail(found, 'desk0')
        await asyncio.sleep(outliers.EJECTION_SECONDS)
        orders = found.usable(NAMES, False)
        lookups = found.usable(NAMES, True)
        found.begin('desk0')
        second = found.usable(NAMES, True)
        found.record('desk0', True)
        return orders, lookups, second, found.usable(NAMES, False)

    assert run(scenario) == (NAMES[1:], NAMES, NAMES[1:], NAMES)


def test_a_failed_probe_ejects_for_longer():
    async def scenario(found):
        fail(found, 'desk0')
        await asyncio.sleep(outliers.EJECTION_SECONDS)
        found.record('desk0', False)
        await asyncio.sleep(outliers.EJECTION_SECONDS * 2 - 0.1)
        before = found.usable(NAMES, True)
        await asyncio.sleep(0.2)
        return before, found.usable(NAMES, True)

    assert run(scenario) == (NAMES[1:], NAMES)


def test_a_pool_with_orders_only_is_readmitted_in_the_end():
    async def scenario(found):
        fail(found, 'desk0')
        await asyncio.sleep(
            outliers.EJECTION_SECONDS + outliers.PROBE_ONLY_SECONDS
        )
        return found.usable(NAMES, False)

    assert run(scenario) == NAMES


@hypothesis.settings(derandomize=True, deadline=None, database=None)
@hypothesis.given(
    strategies.integers(1, 5),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 4), strategies.booleans())
    ),
)
def test_no_pool_is_ever_emptied(size, results):
    async def scenario(found):
        names = [f'desk{number}' for number in range(size)]
        for number, succeeded in results:
            found.record(f'desk{number % size}', succeeded)
            for repeatable in (True, False):
                kept = found.usable(names, repeatable)
                assert len(kept) >= (size + 1) // 2

    run(scenario)
