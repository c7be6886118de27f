"""Tests of the ejection and readmission of failing upstreams."""

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


def fail(detector, name, times=outliers.FAILURES_TO_EJECT):
    for _time in range(times):
        detector.record(name, False)


def test_failures_in_a_row_eject_an_upstream():
    async def scenario(detector):
        fail(detector, 'desk0', 2)
        detector.record('desk0', True)
        fail(detector, 'desk0', 2)
        before = detector.usable(NAMES, True)
        fail(detector, 'desk0', 1)
        return before, detector.usable(NAMES, True)

    assert run(scenario) == (NAMES, NAMES[1:])


def test_successful_probe_readmits_and_only_one_is_in_flight():
    async def scenario(detector):
        fail(detector, 'desk0')
        await asyncio.sleep(outliers.EJECTION_SECONDS)
        non_idempotent = detector.usable(NAMES, False)
        idempotent = detector.usable(NAMES, True)
        detector.begin('desk0')
        during_probe = detector.usable(NAMES, True)
        detector.record('desk0', True)
        return (
            non_idempotent,
            idempotent,
            during_probe,
            detector.usable(NAMES, False),
        )

    assert run(scenario) == (NAMES[1:], NAMES, NAMES[1:], NAMES)


def test_failed_probe_doubles_the_ejection():
    async def scenario(detector):
        fail(detector, 'desk0')
        await asyncio.sleep(outliers.EJECTION_SECONDS)
        detector.record('desk0', False)
        await asyncio.sleep(outliers.EJECTION_SECONDS * 2 - 0.1)
        before = detector.usable(NAMES, True)
        await asyncio.sleep(0.2)
        return before, detector.usable(NAMES, True)

    assert run(scenario) == (NAMES[1:], NAMES)


def test_upstream_is_readmitted_without_idempotent_requests():
    async def scenario(detector):
        fail(detector, 'desk0')
        await asyncio.sleep(
            outliers.EJECTION_SECONDS + outliers.PROBE_ONLY_SECONDS
        )
        return detector.usable(NAMES, False)

    assert run(scenario) == NAMES


@hypothesis.settings(derandomize=True, deadline=None, database=None)
@hypothesis.given(
    strategies.integers(1, 5),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 4), strategies.booleans())
    ),
)
def test_at_least_half_of_a_pool_stays_usable(size, results):
    async def scenario(detector):
        names = [f'desk{number}' for number in range(size)]
        for number, succeeded in results:
            detector.record(f'desk{number % size}', succeeded)
            for repeatable in (True, False):
                kept = detector.usable(names, repeatable)
                assert len(kept) >= (size + 1) // 2

    run(scenario)
