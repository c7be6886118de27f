"""Tests of client accounts' limits over a fleet."""

import asyncio

from corianderspar import clock
from corianderspar import fake_fleet
from corianderspar import membership
from corianderspar import rate_limiter
from tests import catalogues

FOUR = {
    f'vm{number}': place
    for number, place in enumerate(['szeged', 'baja'] * 2, 1)
}


def build(fleet, app):
    fake_fleet.build_coordination(fleet, app)
    app.add(rate_limiter.RateLimiter())


async def four(places=None):
    fleet = fake_fleet.FakeFleet(1, build)
    fleet.list_vms(places or FOUR)
    fleet.publish(catalogues.valid())
    await fleet.start_all()
    return fleet


def limits_of(fleet, vm):
    return fleet.apps_by_vm[vm].find('limits', rate_limiter.RateLimiter)


def run(main):
    async def closed():
        fleet, result = await main()
        await fleet.close()
        assert fleet.failures == []
        return result

    return clock.run_virtual(closed())


def test_unknown_accounts_and_huge_requests_are_refused_for_good():
    async def main():
        fleet = await four()
        await asyncio.sleep(10)
        mine = limits_of(fleet, 'vm1')
        stranger = await mine.admit('stranger', 1, 0)
        huge = await mine.admit('account0', 501, 0)
        return fleet, (stranger.error, huge.error)

    stranger, huge = run(main)
    assert (stranger.code, stranger.ran) == ('account_unknown', 'no')
    assert (huge.code, huge.retry_after) == ('request_too_large', None)


def test_a_charge_that_is_not_used_can_be_spent_again():
    async def main():
        fleet = await four()
        await asyncio.sleep(120)
        mine = limits_of(fleet, 'vm1')
        first = (await mine.admit('account0', 100, 0)).ok
        first.settle(20)
        first.settle(0)
        second = await mine.admit('account0', 100, 0)
        return fleet, second.is_ok()

    assert run(main)


def test_extensions_wait_and_go_before_new_requests():
    async def main():
        fleet = await four()
        await asyncio.sleep(120)
        mine = limits_of(fleet, 'vm1')
        charge = (await mine.admit('account0', 300, 0)).ok
        while (await mine.admit('account0', 10, 0)).is_ok():
            pass
        extending = asyncio.create_task(charge.extend(100))
        await asyncio.sleep(0.01)
        refused = await mine.admit('account0', 1, 0.3)
        await extending
        return fleet, (refused.is_error(), charge.covered)

    assert run(main) == (True, 400)


def test_a_refund_is_never_more_than_the_charge():
    async def main():
        fleet = await four()
        await asyncio.sleep(120)
        mine = limits_of(fleet, 'vm1')
        before = mine.view('account0').tokens
        (await mine.admit('account0', 50, 0)).ok.settle(-1000)
        (await mine.admit('account0', -50, 0)).ok.settle(0)
        return fleet, mine.view('account0').tokens - before

    assert run(main) == 0


def test_a_superseded_process_holds_nothing():
    async def main():
        fleet = await four()
        await asyncio.sleep(120)
        app = fleet.apps_by_vm['vm1']
        view = app.find('membership', membership.Membership)
        for hook in view.on_superseded:
            hook()
        await asyncio.sleep(60)
        return fleet, limits_of(fleet, 'vm1').shares.fraction()

    assert run(main) == 0
