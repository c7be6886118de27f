"""Tests of the rate limits of client accounts over a fleet."""

import asyncio

from corianderspar import clock
from corianderspar import fake_fleet
from corianderspar import membership
from corianderspar import rate_limiter
from tests import catalogues

DATA_CENTRES_BY_VM = {
    f'vm{number}': data_centre
    for number, data_centre in enumerate(['szeged', 'baja'] * 2, 1)
}


def build(fleet, app):
    fake_fleet.build_coordination(fleet, app)
    app.add(rate_limiter.RateLimiter())


async def start_fleet(data_centres_by_vm=None):
    fleet = fake_fleet.FakeFleet(1, build)
    fleet.list_vms(data_centres_by_vm or DATA_CENTRES_BY_VM)
    fleet.publish(catalogues.valid())
    await fleet.start_all()
    return fleet


def limiter_of(fleet, vm):
    return fleet.apps_by_vm[vm].find('limits', rate_limiter.RateLimiter)


def run(main):
    async def closed():
        fleet, result = await main()
        await fleet.close()
        assert fleet.failures == []
        return result

    return clock.run_virtual(closed())


def test_unknown_accounts_and_too_large_requests_are_refused_permanently():
    async def main():
        fleet = await start_fleet()
        await asyncio.sleep(10)
        limiter = limiter_of(fleet, 'vm1')
        unknown = await limiter.admit('stranger', 1, 0)
        too_large = await limiter.admit('account0', 501, 0)
        return fleet, (unknown.error, too_large.error)

    unknown, too_large = run(main)
    assert (unknown.code, unknown.ran) == ('account_unknown', 'no')
    assert (too_large.code, too_large.retry_after) == (
        'request_too_large',
        None,
    )


def test_unused_tokens_of_a_charge_can_be_spent_again():
    async def main():
        fleet = await start_fleet()
        await asyncio.sleep(120)
        limiter = limiter_of(fleet, 'vm1')
        first = (await limiter.admit('account0', 100, 0)).ok
        first.settle(20)
        first.settle(0)
        second = await limiter.admit('account0', 100, 0)
        return fleet, second.is_ok()

    assert run(main)


def test_extensions_wait_and_precede_new_requests():
    async def main():
        fleet = await start_fleet()
        await asyncio.sleep(120)
        limiter = limiter_of(fleet, 'vm1')
        charge = (await limiter.admit('account0', 300, 0)).ok
        while (await limiter.admit('account0', 10, 0)).is_ok():
            pass
        extending = asyncio.create_task(charge.extend(100))
        await asyncio.sleep(0.01)
        refused = await limiter.admit('account0', 1, 0.3)
        await extending
        return fleet, (refused.is_error(), charge.charged_tokens)

    assert run(main) == (True, 400)


def test_a_refund_never_exceeds_the_charge():
    async def main():
        fleet = await start_fleet()
        await asyncio.sleep(120)
        limiter = limiter_of(fleet, 'vm1')
        before = limiter.view('account0').tokens
        (await limiter.admit('account0', 50, 0)).ok.settle(-1000)
        (await limiter.admit('account0', -50, 0)).ok.settle(0)
        return fleet, limiter.view('account0').tokens - before

    assert run(main) == 0


def test_a_superseded_process_holds_no_share():
    async def main():
        fleet = await start_fleet()
        await asyncio.sleep(120)
        app = fleet.apps_by_vm['vm1']
        view = app.find('membership', membership.Membership)
        for hook in view.on_superseded:
            hook()
        await asyncio.sleep(60)
        return fleet, limiter_of(fleet, 'vm1').shares.fraction()

    assert run(main) == 0
