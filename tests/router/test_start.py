"""Daemons that start together get their first state from a few of them."""

import asyncio

import pytest

from corianderspar import clock
from corianderspar.router import membership
from corianderspar.router import store_view
from tests.router import system

FIRST_START = store_view.StartPolicy.PEERS_AT_FIRST_START
RESTART = store_view.StartPolicy.PEERS_AT_RESTART
SEEDS = ('vm1:1', 'vm2:1', 'vm3:1')


async def start_all(fleet, count, policy):
    for number in range(1, count + 1):
        await fleet.start(f'vm{number}', seeds=SEEDS, start_policy=policy)


async def seconds_until_all_have_state(fleet, limit):
    began = asyncio.get_running_loop().time()
    while not all(
        fleet.store_view(vm).configuration for vm in fleet.apps_by_vm
    ):
        await asyncio.sleep(0.01)
        waited = asyncio.get_running_loop().time() - began
        assert waited < limit
    return asyncio.get_running_loop().time() - began


def run(main):
    async def play():
        await main(system.System())

    clock.run_virtual(play())


@pytest.mark.parametrize('count', [40, 100])
def test_first_start_costs_few_calls_to_the_store(count):
    async def main(fleet):
        await start_all(fleet, count, FIRST_START)
        await seconds_until_all_have_state(fleet, 3.0)
        # Two relays, and some daemons that took themselves for relays while
        # they knew few others.
        assert fleet.store.call_count < count / 3

    run(main)


def test_first_start_of_a_small_fleet_reads_the_store():
    async def main(fleet):
        await start_all(fleet, membership.SMALL_FLEET_DAEMONS, FIRST_START)
        await seconds_until_all_have_state(fleet, 1.1)

    run(main)


def test_first_start_without_a_store_that_answers_ends_once_it_does():
    async def main(fleet):
        fleet.store.down = True
        await start_all(fleet, 40, FIRST_START)
        await asyncio.sleep(8.0)
        fleet.store.down = False
        await seconds_until_all_have_state(fleet, 2.0)

    run(main)


def test_restarted_daemon_gets_the_state_of_a_peer_without_a_call():
    async def main(fleet):
        await start_all(fleet, 20, RESTART)
        await asyncio.sleep(5.0)
        await fleet.kill('vm20')
        before = fleet.store.call_count
        await fleet.start('vm20', seeds=SEEDS, start_policy=RESTART)
        waited = await seconds_until_all_have_state(fleet, 0.2)
        view = fleet.store_view('vm20')
        assert view.staleness() < store_view.STALE_SECONDS
        assert view.store_calls == 0
        # Long polls of the relays may end meanwhile.
        assert fleet.store.call_count - before <= 2 * (1 + waited)

    run(main)


@pytest.mark.parametrize('count', [3, 100])
def test_all_daemons_killed_at_once_have_state_again_within_a_second(count):
    async def main(fleet):
        await start_all(fleet, count, RESTART)
        await asyncio.sleep(5.0)
        for vm in list(fleet.apps_by_vm):
            await fleet.kill(vm)
        await start_all(fleet, count, RESTART)
        await seconds_until_all_have_state(fleet, 1.0)

    run(main)


def test_restart_with_seeds_that_are_gone_reads_the_store():
    async def main(fleet):
        await fleet.start('vm1', seeds=('gone:1',), start_policy=RESTART)
        await seconds_until_all_have_state(fleet, 0.5)

    run(main)


def test_daemons_that_the_store_turns_away_after_a_mass_kill_get_a_state():
    async def main(fleet):
        await start_all(fleet, 60, RESTART)
        await asyncio.sleep(5.0)
        vms = list(fleet.apps_by_vm)
        for vm in vms:
            await fleet.kill(vm)
        fleet.store.refused_vms.update(vms[::3])
        await start_all(fleet, 60, RESTART)
        await seconds_until_all_have_state(fleet, 2.0)

    run(main)
