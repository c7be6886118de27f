"""Fleets so large that each heartbeat goes to a few peers only."""

import asyncio

from corianderspar import clock
from corianderspar.router import membership
from corianderspar.router import poison
from corianderspar.router import prompt_poison
from corianderspar.router import quarantine
from corianderspar.router import retries
from tests.router import system

DAEMONS = 30
RATE = 36_000.0


def run_fleet(main, settle=5.0, slack=0.0, **limits):
    async def run():
        fleet = system.System()
        if limits:
            fleet.store.publish(system.configuration(2, **limits))
        await fleet.start_all(DAEMONS, retry_slack=slack)
        await asyncio.sleep(settle)
        await main(fleet)

    clock.run_virtual(run())


def live(fleet):
    return [len(fleet.membership(vm).live()) for vm in fleet.apps_by_vm]


def test_all_daemons_find_each_other():
    async def main(fleet):
        assert live(fleet) == [DAEMONS] * DAEMONS

    run_fleet(main, settle=2.0)


def test_message_rate_per_daemon_is_bounded():
    async def main(fleet):
        before = fleet.network.message_count
        await asyncio.sleep(10.0)
        sent = (fleet.network.message_count - before) / DAEMONS / 10.0
        # Heartbeats, and one request to a relay with its reply each second.
        assert sent <= membership.FANOUT / membership.HEARTBEAT_SECONDS + 3

    run_fleet(main)


def test_all_daemons_stay_live_at_ten_percent_message_loss():
    async def main(fleet):
        fleet.network.loss_rate = 0.1
        for _ in range(600):
            await asyncio.sleep(0.1)
            assert min(live(fleet)) == DAEMONS

    run_fleet(main)


def test_members_stay_live_though_heartbeats_report_few_of_them(monkeypatch):
    # As in a fleet of 300 at 128 ages a heartbeat, where seven of them were
    # taken for dead at once.
    monkeypatch.setattr(membership, 'AGES_PER_HEARTBEAT', 4)

    async def main(fleet):
        fleet.network.loss_rate = 0.1
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert min(live(fleet)) == DAEMONS

    run_fleet(main)


def test_killed_daemon_is_noticed_and_may_rejoin():
    async def main(fleet):
        await fleet.kill('vm9')
        await asyncio.sleep(membership.LARGE_FLEET_SILENT_SECONDS + 0.5)
        assert live(fleet) == [DAEMONS - 1] * (DAEMONS - 1)
        await fleet.start('vm9')
        await asyncio.sleep(2.0)
        assert live(fleet) == [DAEMONS] * DAEMONS

    run_fleet(main)


def test_sides_of_a_partition_see_only_themselves_until_it_heals():
    async def main(fleet):
        names = list(fleet.apps_by_vm)
        sides = set(names[:10]), set(names[10:])
        fleet.network.partition(*sides)
        await asyncio.sleep(membership.LARGE_FLEET_SILENT_SECONDS + 1.0)
        for side in sides:
            for vm in side:
                assert set(fleet.membership(vm).live()) == side
        fleet.network.heal()
        await asyncio.sleep(4.0)
        assert live(fleet) == [DAEMONS] * DAEMONS

    run_fleet(main)


def test_reconnect_also_asks_the_peer_to_reconnect():
    async def main(fleet):
        received = []
        before = fleet.membership('vm2').members()['vm1'].connected_at
        on_heartbeat = fleet.membership('vm2')._on_heartbeat

        async def record_heartbeat(sender, heartbeat):
            received.append((sender.vm, heartbeat.receives_from_peer))
            await on_heartbeat(sender, heartbeat)

        fleet.membership('vm2')._peers.handle(
            'beat', membership.Heartbeat, record_heartbeat
        )
        fleet.membership('vm1').reconnect('vm2')
        await asyncio.sleep(0.1)
        assert ('vm1', False) in received
        assert fleet.membership('vm2').members()['vm1'].connected_at > before

    run_fleet(main)


def test_poison_request_is_known_to_all_daemons():
    async def main(fleet):
        def service(vm):
            return fleet.apps_by_vm[vm].find(
                'quarantine', quarantine.Quarantine
            )

        mark = f'{poison.SUSPECT_PREFIX}mark'
        now = fleet.apps_by_vm['vm3'].clock.monotonic()
        for number in range(prompt_poison.CONVICTION_CRASHES):
            service('vm3')._part_crashes.record_crash(
                f'd{number}@0', (mark,), now, now
            )
        service('vm3')._membership.broadcast_next()
        await asyncio.sleep(membership.HEARTBEAT_SECONDS + 0.1)
        for vm in fleet.apps_by_vm:
            conviction = service(vm)._part_crashes.convictions()[mark]
            assert conviction.crash_count == prompt_poison.CONVICTION_CRASHES

    run_fleet(main)


async def charge_in_turn(fleet, tokens, per_second, seconds):
    """Charge the account at all daemons in turn; return the granted tokens."""
    names = list(fleet.apps_by_vm)
    config = fleet.store_view(names[0]).configuration
    account = next(iter(config.accounts_by_digest.values()))
    granted = 0
    for number in range(int(per_second * seconds)):
        vm = names[number % len(names)]
        found = await fleet.rate_limiter(vm).charge(account, tokens)
        granted += tokens * found.granted
        await asyncio.sleep(1 / per_second)
    return granted


def test_account_below_its_rate_is_never_refused():
    async def main(fleet):
        requested = 3000 * 100
        assert await charge_in_turn(fleet, 3000, 10, 10) == requested

    run_fleet(main, rate=RATE, burst=RATE)


def test_account_above_its_rate_gets_its_rate():
    async def main(fleet):
        began = asyncio.get_running_loop().time()
        granted = await charge_in_turn(fleet, 3000, 36, 10)
        seconds = asyncio.get_running_loop().time() - began
        assert 0.95 * RATE * seconds <= granted <= RATE * (seconds + 1)

    run_fleet(main, rate=RATE, burst=RATE)


def test_rate_limit_holds_when_the_home_dies():
    async def main(fleet):
        home = fleet.rate_limiter('vm1')._homes.home('account/parish')
        began = asyncio.get_running_loop().time()
        granted = await charge_in_turn(fleet, 3000, 36, 4)
        await fleet.kill(home)
        granted += await charge_in_turn(fleet, 3000, 36, 6)
        seconds = asyncio.get_running_loop().time() - began
        # The next home may grant one more burst.
        assert granted <= RATE * (seconds + 2)

    run_fleet(main, rate=RATE, burst=RATE)


def test_refunded_tokens_can_be_used_at_once():
    async def main(fleet):
        config = fleet.store_view('vm1').configuration
        account = next(iter(config.accounts_by_digest.values()))
        for vm in list(fleet.apps_by_vm)[:20]:
            found = await fleet.rate_limiter(vm).charge(account, 30_000)
            assert found.granted
            fleet.rate_limiter(vm).refund(account, 30_000)
            await asyncio.sleep(0.01)

    run_fleet(main, rate=RATE, burst=RATE)


def retry_budgets(fleet):
    return {
        vm: app.find('retries', retries.RetryBudgets)
        for vm, app in fleet.apps_by_vm.items()
    }


def test_daemon_may_spend_the_whole_retry_budget():
    async def main(fleet):
        budgets = retry_budgets(fleet)
        for budget in budgets.values():
            budget.deposit('llm')
        granted = [
            await budgets['vm5'].withdraw('llm', 'r') for _ in range(25)
        ]
        assert all(granted)

    run_fleet(main, slack=90.0)


def test_retry_budget_holds_with_two_homes():
    async def main(fleet):
        budgets = retry_budgets(fleet)
        names = list(budgets)
        sides = set(names[:15]), set(names[15:])
        fleet.network.partition(*sides)
        granted = 0
        # Sides before and after they notice the partition, and daemons that
        # reach no home.
        for _ in range(8):
            for vm in names:
                granted += await budgets[vm].withdraw('llm', 'r')
            await asyncio.sleep(1.0)
        assert granted <= 90

    run_fleet(main, slack=90.0)
