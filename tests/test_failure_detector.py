"""Tests that dead daemons' work is freed and live ones' never is."""

import asyncio

import pytest

from corianderspar import failure_detector
from tests import placement_fleet as fleets

ENDLESS = 'Endless. answer=100000'


async def streaming():
    """Return a fleet in which one edge streams a long answer."""
    fleet = await fleets.three_vms(pieces=256).start()
    edge = fleet.vm_other_than_home()
    asking = fleet.start_request(
        edge, 1, ENDLESS, max_tokens=100000, timeout=100000.0
    )
    await asyncio.sleep(1)
    assert len(fleet.held_requests()) == 1
    return fleet, edge, asking


def reaped(fleet):
    return sum(
        fleet.service(vm).shard(fleets.MODEL).counts['reaped']
        for vm in fleet.apps_by_vm
        if not fleet.apps_by_vm[vm].aborted
        and fleet.service(vm).shard(fleets.MODEL) is not None
    )


def test_a_killed_daemon_that_is_back_leaves_no_work():
    async def main():
        fleet, edge, asking = await streaming()
        await fleet.kill(edge)
        asking.cancel()
        await asyncio.sleep(20)
        before = len(fleet.held_requests())
        await fleet.boot(edge)
        await asyncio.sleep(5)
        return before, fleet.held_requests(), reaped(fleet)

    assert fleets.run(main) == (1, [], 1)


def test_a_killed_daemon_that_left_the_list_leaves_no_work():
    async def main():
        fleet, edge, asking = await streaming()
        await fleet.kill(edge)
        asking.cancel()
        await asyncio.sleep(5)
        fleet.list_vms(without=[edge])
        await asyncio.sleep(failure_detector.DEAD_AFTER_SILENT_SECONDS - 10)
        before = len(fleet.held_requests())
        await asyncio.sleep(20)
        return before, fleet.held_requests()

    assert fleets.run(main) == (1, [])


@pytest.mark.parametrize('seconds', [20, 300])
def test_a_paused_daemon_that_is_listed_loses_no_work(seconds):
    async def main():
        fleet, edge, asking = await streaming()
        before = fleet.held_requests()
        fleet.clocks_by_vm[edge].pause()
        await asyncio.sleep(seconds)
        fleet.clocks_by_vm[edge].resume()
        await asyncio.sleep(15)
        counts = fleet.held_requests() == before, reaped(fleet), asking.done()
        asking.cancel()
        await asyncio.sleep(1)
        return counts, fleet.held_requests()

    assert fleets.run(main) == ((True, 0, False), [])


def test_a_paused_daemon_and_a_lagging_list_lose_no_work():
    async def main():
        fleet, edge, asking = await streaming()
        fleet.clocks_by_vm[edge].pause()
        fleet.list_vms(without=[edge])
        await asyncio.sleep(30)
        fleet.list_vms()
        await asyncio.sleep(30)
        fleet.list_vms(without=[edge])
        await asyncio.sleep(30)
        held = len(fleet.held_requests())
        fleet.clocks_by_vm[edge].resume()
        await asyncio.sleep(70)
        counts = held, len(fleet.held_requests()), reaped(fleet), asking.done()
        asking.cancel()
        await asyncio.sleep(1)
        return counts

    assert fleets.run(main) == (1, 1, 0, False)


def test_a_home_that_was_paused_itself_reaps_nothing():
    async def main():
        fleet, edge, asking = await streaming()
        home = fleet.home()
        fleet.list_vms(without=[edge])
        fleet.clocks_by_vm[home].pause()
        await asyncio.sleep(100)
        fleet.clocks_by_vm[home].resume()
        await asyncio.sleep(5)
        counts = len(fleet.held_requests()), reaped(fleet)
        asking.cancel()
        await asyncio.sleep(1)
        return counts

    assert fleets.run(main) == (1, 0)


def test_daemons_that_all_were_paused_reap_nothing():
    async def main():
        fleet, edge, asking = await streaming()
        others = [vm for vm in fleet.apps_by_vm if vm != edge]
        fleet.list_vms(without=[edge])
        await asyncio.sleep(2)
        for vm in others:
            fleet.clocks_by_vm[vm].pause()
        network = fleet.network
        network.reachable = lambda a, b: edge not in (a, b)
        await asyncio.sleep(100)
        for vm in others:
            fleet.clocks_by_vm[vm].resume()
        await asyncio.sleep(10)
        counts = len(fleet.held_requests()), reaped(fleet)
        asking.cancel()
        await asyncio.sleep(1)
        return counts

    assert fleets.run(main) == (1, 0)


def test_a_daemon_that_one_home_can_not_hear_loses_no_work():
    async def main():
        fleet, edge, asking = await streaming()
        home = fleet.home()
        network = fleet.network
        network.reachable = lambda a, b: {a, b} != {home, edge}
        fleet.list_vms(without=[edge])
        await asyncio.sleep(3 * failure_detector.DEAD_AFTER_SILENT_SECONDS)
        counts = len(fleet.held_requests()), reaped(fleet)
        asking.cancel()
        await asyncio.sleep(2)
        return counts, fleet.held_requests()

    assert fleets.run(main) == ((1, 0), [])


def test_work_reaped_beyond_all_bounds_is_run_again_not_cut():
    async def main():
        fleet = await fleets.three_vms().start()
        edge = fleet.vm_other_than_home()
        prompt = 'Long. answer=3000'
        asking = fleet.start_request(
            edge, 1, prompt, max_tokens=9999, timeout=900.0
        )
        await asyncio.sleep(1)
        fleet.clocks_by_vm[edge].pause()
        fleet.list_vms(without=[edge])
        await asyncio.sleep(
            2 * failure_detector.DEAD_AFTER_SILENT_SECONDS - 50
        )
        count = reaped(fleet)
        fleet.clocks_by_vm[edge].resume()
        return count, await asking

    count, text = fleets.run(main)
    assert count == 1
    assert text.count(' ') == 3000


def test_a_stray_request_of_a_live_daemon_is_cancelled_by_itself():
    async def main():
        fleet = await fleets.three_vms().start()
        edge = fleet.vm_other_than_home()
        incarnation = fleet.apps_by_vm[edge].incarnation
        engine = fleet.engines_by_name['szeged-d0']
        engine.batch.reserve(f'{incarnation}#77', 'forgotten')
        await asyncio.sleep(4)
        return fleet.held_requests(), fleet.service(edge).counts['strays']

    held, strays = fleets.run(main)
    assert held == []
    assert strays >= 1
