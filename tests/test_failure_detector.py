"""Tests that only dead daemons' requests are cancelled at the engines."""

import asyncio

import pytest

from corianderspar import failure_detector
from tests import placement_fleet as fleets

ENDLESS = 'Endless. answer=100000'


async def start_streaming():
    """Return a fleet, the VM that streams an endless answer, and its task."""
    fleet = await fleets.three_vms(pieces=256).start()
    edge = fleet.vm_other_than_home()
    task = fleet.start_request(
        edge, 1, ENDLESS, max_tokens=100000, timeout=100000.0
    )
    await asyncio.sleep(1)
    assert len(fleet.held_requests()) == 1
    return fleet, edge, task


def reaped_count(fleet):
    return sum(
        fleet.service(vm).shard(fleets.MODEL).counts['reaped']
        for vm in fleet.apps_by_vm
        if not fleet.apps_by_vm[vm].aborted
        and fleet.service(vm).shard(fleets.MODEL) is not None
    )


def test_requests_of_a_restarted_daemon_are_cancelled():
    async def main():
        fleet, edge, task = await start_streaming()
        await fleet.kill(edge)
        task.cancel()
        await asyncio.sleep(20)
        before = len(fleet.held_requests())
        await fleet.boot(edge)
        await asyncio.sleep(5)
        return before, fleet.held_requests(), reaped_count(fleet)

    assert fleets.run(main) == (1, [], 1)


def test_requests_of_a_dead_unlisted_daemon_are_cancelled():
    async def main():
        fleet, edge, task = await start_streaming()
        await fleet.kill(edge)
        task.cancel()
        await asyncio.sleep(5)
        fleet.list_vms(without=[edge])
        await asyncio.sleep(failure_detector.DEAD_AFTER_SILENT_SECONDS - 10)
        before = len(fleet.held_requests())
        await asyncio.sleep(20)
        return before, fleet.held_requests()

    assert fleets.run(main) == (1, [])


@pytest.mark.parametrize('seconds', [20, 300])
def test_a_paused_listed_daemon_keeps_its_requests(seconds):
    async def main():
        fleet, edge, task = await start_streaming()
        before = fleet.held_requests()
        fleet.clocks_by_vm[edge].pause()
        await asyncio.sleep(seconds)
        fleet.clocks_by_vm[edge].resume()
        await asyncio.sleep(15)
        counts = (
            fleet.held_requests() == before,
            reaped_count(fleet),
            task.done(),
        )
        task.cancel()
        await asyncio.sleep(1)
        return counts, fleet.held_requests()

    assert fleets.run(main) == ((True, 0, False), [])


def test_a_paused_daemon_that_is_briefly_unlisted_keeps_its_requests():
    async def main():
        fleet, edge, task = await start_streaming()
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
        counts = (
            held,
            len(fleet.held_requests()),
            reaped_count(fleet),
            task.done(),
        )
        task.cancel()
        await asyncio.sleep(1)
        return counts

    assert fleets.run(main) == (1, 1, 0, False)


def test_a_home_that_was_paused_cancels_nothing():
    async def main():
        fleet, edge, task = await start_streaming()
        home = fleet.home()
        fleet.list_vms(without=[edge])
        fleet.clocks_by_vm[home].pause()
        await asyncio.sleep(100)
        fleet.clocks_by_vm[home].resume()
        await asyncio.sleep(5)
        counts = len(fleet.held_requests()), reaped_count(fleet)
        task.cancel()
        await asyncio.sleep(1)
        return counts

    assert fleets.run(main) == (1, 0)


def test_homes_and_peers_that_were_paused_cancel_nothing():
    async def main():
        fleet, edge, task = await start_streaming()
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
        counts = len(fleet.held_requests()), reaped_count(fleet)
        task.cancel()
        await asyncio.sleep(1)
        return counts

    assert fleets.run(main) == (1, 0)


def test_a_daemon_cut_off_from_one_home_keeps_its_requests():
    async def main():
        fleet, edge, task = await start_streaming()
        home = fleet.home()
        network = fleet.network
        network.reachable = lambda a, b: {a, b} != {home, edge}
        fleet.list_vms(without=[edge])
        await asyncio.sleep(3 * failure_detector.DEAD_AFTER_SILENT_SECONDS)
        counts = len(fleet.held_requests()), reaped_count(fleet)
        task.cancel()
        await asyncio.sleep(2)
        return counts, fleet.held_requests()

    assert fleets.run(main) == ((1, 0), [])


def test_a_live_daemon_runs_a_wrongly_cancelled_request_again():
    async def main():
        fleet = await fleets.three_vms().start()
        edge = fleet.vm_other_than_home()
        prompt = 'Long. answer=3000'
        task = fleet.start_request(
            edge, 1, prompt, max_tokens=9999, timeout=900.0
        )
        await asyncio.sleep(1)
        fleet.clocks_by_vm[edge].pause()
        fleet.list_vms(without=[edge])
        await asyncio.sleep(
            2 * failure_detector.DEAD_AFTER_SILENT_SECONDS - 50
        )
        count = reaped_count(fleet)
        fleet.clocks_by_vm[edge].resume()
        return count, await task

    count, text = fleets.run(main)
    assert count == 1
    assert text.count(' ') == 3000


def test_a_live_daemon_cancels_its_own_untracked_request():
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
