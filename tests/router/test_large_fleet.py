"""Fleets in which beats go to a few peers only."""

import asyncio

from corianderspar import clock
from corianderspar.router import membership
from corianderspar.router import poison
from corianderspar.router import quarantine
from corianderspar.router import retries
from tests.router import system

DAEMONS = 30
RATE = 36_000.0


def play(main, settle=5.0, slack=0.0, **limits):
    async def run():
        world = system.System()
        if limits:
            world.store.publish(system.configuration(2, **limits))
        await world.start_all(DAEMONS, retry_slack=slack)
        await asyncio.sleep(settle)
        await main(world)

    clock.run_virtual(run())


def live(world):
    return [len(world.membership(vm).live()) for vm in world.apps_by_vm]


def test_all_find_each_other_soon():
    async def main(world):
        assert live(world) == [DAEMONS] * DAEMONS

    play(main, settle=2.0)


def test_beats_cost_a_few_messages_for_each_daemon():
    async def main(world):
        before = world.network.messages
        await asyncio.sleep(10.0)
        sent = (world.network.messages - before) / DAEMONS / 10.0
        # Beats, a question to a relay and its answer each second.
        assert sent <= membership.FANOUT / membership.HEARTBEAT_SECONDS + 3

    play(main)


def test_nobody_is_silent_while_one_message_in_ten_is_lost():
    async def main(world):
        world.network.loss = 0.1
        for _ in range(600):
            await asyncio.sleep(0.1)
            assert min(live(world)) == DAEMONS

    play(main)


def test_a_killed_daemon_is_silent_soon_and_comes_back():
    async def main(world):
        await world.kill('vm9')
        await asyncio.sleep(membership.LARGE_FLEET_SILENT_SECONDS + 0.5)
        assert live(world) == [DAEMONS - 1] * (DAEMONS - 1)
        await world.start('vm9')
        await asyncio.sleep(2.0)
        assert live(world) == [DAEMONS] * DAEMONS

    play(main)


def test_parted_sides_hear_only_themselves_until_it_heals():
    async def main(world):
        names = list(world.apps_by_vm)
        sides = set(names[:10]), set(names[10:])
        world.network.partition(*sides)
        await asyncio.sleep(membership.LARGE_FLEET_SILENT_SECONDS + 1.0)
        for side in sides:
            for vm in side:
                assert set(world.membership(vm).live()) == side
        world.network.heal()
        await asyncio.sleep(4.0)
        assert live(world) == [DAEMONS] * DAEMONS

    play(main)


def test_a_silent_peer_is_asked_to_connect_anew():
    async def main(world):
        heard = []
        before = world.membership('vm2').members()['vm1'].connected_at
        beats = world.membership('vm2')._on_heartbeat

        async def spy(sender, beat):
            heard.append((sender.vm, beat.receives_from_peer))
            await beats(sender, beat)

        world.membership('vm2')._peers.handle(
            'beat', membership.Heartbeat, spy
        )
        world.membership('vm1').reconnect('vm2')
        await asyncio.sleep(0.1)
        assert ('vm1', False) in heard
        assert world.membership('vm2').members()['vm1'].connected_at > before

    play(main)


def test_all_hear_of_a_request_that_crashes_upstreams():
    async def main(world):
        def held(vm):
            found = world.apps_by_vm[vm].find(
                'quarantine', quarantine.Quarantine
            )
            return found._crash_counts

        found = world.apps_by_vm['vm3'].find(
            'quarantine', quarantine.Quarantine
        )
        now = world.apps_by_vm['vm3'].clock.monotonic()
        for _ in range(poison.QUARANTINE_CRASHES):
            held('vm3').record_crash('mark', now)
        found._membership.broadcast_next()
        await asyncio.sleep(membership.HEARTBEAT_SECONDS + 0.1)
        for vm in world.apps_by_vm:
            now = world.apps_by_vm[vm].clock.monotonic()
            assert held(vm).count('mark', now) == poison.QUARANTINE_CRASHES

    play(main)


async def offer(world, tokens, per_second, seconds):
    """Have all daemons charge the account in turn; return what passed."""
    names = list(world.apps_by_vm)
    config = world.store_view(names[0]).configuration
    account = next(iter(config.accounts_by_digest.values()))
    granted = 0
    for number in range(int(per_second * seconds)):
        vm = names[number % len(names)]
        found = await world.rate_limiter(vm).charge(account, tokens)
        granted += tokens * found.granted
        await asyncio.sleep(1 / per_second)
    return granted


def test_an_account_below_its_rate_is_refused_nothing():
    async def main(world):
        asked = 3000 * 100
        assert await offer(world, 3000, 10, 10) == asked

    play(main, rate=RATE, burst=RATE)


def test_an_account_at_three_times_its_rate_gets_its_rate():
    async def main(world):
        began = asyncio.get_running_loop().time()
        granted = await offer(world, 3000, 36, 10)
        seconds = asyncio.get_running_loop().time() - began
        assert 0.95 * RATE * seconds <= granted <= RATE * (seconds + 1)

    play(main, rate=RATE, burst=RATE)


def test_a_new_home_holds_the_limit():
    async def main(world):
        home = world.rate_limiter('vm1')._homes.home('account/parish')
        began = asyncio.get_running_loop().time()
        granted = await offer(world, 3000, 36, 4)
        await world.kill(home)
        granted += await offer(world, 3000, 36, 6)
        seconds = asyncio.get_running_loop().time() - began
        # One burst more, for the next home.
        assert granted <= RATE * (seconds + 2)

    play(main, rate=RATE, burst=RATE)


def test_tokens_that_were_not_used_are_there_again_at_once():
    async def main(world):
        config = world.store_view('vm1').configuration
        account = next(iter(config.accounts_by_digest.values()))
        for vm in list(world.apps_by_vm)[:20]:
            found = await world.rate_limiter(vm).charge(account, 30_000)
            assert found.granted
            world.rate_limiter(vm).refund(account, 30_000)
            await asyncio.sleep(0.01)

    play(main, rate=RATE, burst=RATE)


def repeats(world):
    return {
        vm: app.find('retries', retries.RetryBudgets)
        for vm, app in world.apps_by_vm.items()
    }


def test_a_daemon_may_repeat_what_the_fleet_has_left():
    async def main(world):
        found = repeats(world)
        for one in found.values():
            one.deposit('llm')
        granted = [await found['vm5'].withdraw('llm', 'r') for _ in range(25)]
        assert all(granted)

    play(main, slack=90.0)


def test_the_fleet_repeats_no_more_than_it_may_with_two_homes():
    async def main(world):
        found = repeats(world)
        names = list(found)
        parts = set(names[:15]), set(names[15:])
        world.network.partition(*parts)
        granted = 0
        # Sides that do not know yet, sides that do, and daemons alone.
        for _ in range(8):
            for vm in names:
                granted += await found[vm].withdraw('llm', 'r')
            await asyncio.sleep(1.0)
        assert granted <= 90

    play(main, slack=90.0)
