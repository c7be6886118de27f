"""Tests of the part that a VM holds of its data centre's share."""

import asyncio

import pytest

from corianderspar import clock
from corianderspar import limit_faults
from corianderspar import limit_trials
from corianderspar import peers

BOUNDS = limit_faults.BOUNDS


async def start_trial(bounds=BOUNDS):
    made = limit_trials.Trial(1, bounds)
    made.fleet.list_vms(limit_faults.SIX)
    made.fleet.publish(limit_faults.whole())
    await made.fleet.start_all()
    await asyncio.sleep(limit_faults.START)
    return made


def run(main):
    async def closed():
        made, result = await main()
        await made.close()
        assert made.fleet.failures == []
        return result

    return clock.run_virtual(closed())


def parts(made):
    return {
        vm: round(made.limits(vm).shares.fraction(), 3)
        for vm in made.fleet.apps_by_vm
    }


def test_parts_sum_to_one_in_each_data_centre():
    async def main():
        made = await start_trial()
        return made, parts(made)

    assert run(main) == {
        **dict.fromkeys(['a1', 'a2', 'a3'], 0.333),
        **dict.fromkeys(['b1', 'b2'], 0.5),
        'c1': 1.0,
    }


def test_a_restarted_vm_waits_for_a_lease_and_begins_empty():
    async def main():
        made = await start_trial()
        await made.fleet.kill('b1')
        await asyncio.sleep(1)
        await made.fleet.start('b1')
        seen = []
        for _ in range(64):
            await asyncio.sleep(0.25)
            # There is no view before the daemon has a catalogue.
            view = made.limits('b1').view('club')
            tokens = view.tokens if view else 0.0
            seen.append((parts(made)['b1'], tokens))
        return made, seen

    seen = run(main)
    assert {part for part, _ in seen[:40]} == {0.0}
    assert seen[-1][0] == 0.5
    # At 20 tokens a second.
    assert 0 < next(tokens for _, tokens in seen if tokens) <= 5


@pytest.mark.parametrize('delay', [0.0, 0.25, 0.5, 0.75, 0.999])
def test_a_vm_that_shuts_down_leaves_its_part_to_a_neighbour(delay):
    async def main():
        made = await start_trial()
        await asyncio.sleep(delay)
        await made.fleet.stop('b1')
        await asyncio.sleep(2)
        alone = parts(made)['b2']
        await made.fleet.start('b1')
        await asyncio.sleep(20)
        return made, (alone, parts(made)['b1'], parts(made)['b2'])

    assert run(main) == (1.0, 0.5, 0.5)


def test_with_the_platform_down_heard_vms_keep_their_whole_parts():
    async def main():
        made = await start_trial()
        made.fleet.platform.down = True
        before = parts(made)
        await asyncio.sleep(600)
        return made, (before, parts(made))

    before, after = run(main)
    assert before == after


def test_with_the_platform_down_and_one_vm_dead_a_slow_tier_is_left():
    async def main():
        made = await start_trial()
        made.fleet.platform.down = True
        await asyncio.sleep(20)
        await made.fleet.kill('b1')
        await asyncio.sleep(20)
        soon = parts(made)['b2']
        await asyncio.sleep(60)
        return made, (soon, parts(made)['b2'])

    assert run(main) == (0.125, 0.0)


def test_a_cut_off_data_centre_keeps_its_share():
    async def main():
        made = await start_trial()
        made.fleet.network.partition({'b1', 'b2'})
        made.fleet.platform.cut_readers = {'b1', 'b2'}
        await asyncio.sleep(100)
        return made, parts(made)['b1']

    assert run(main) == 0.5


def test_a_dead_vms_part_is_taken_over_tier_by_tier():
    async def main():
        made = await start_trial()
        await made.fleet.kill('b1')
        made.fleet.list_vms(
            {vm: at for vm, at in limit_faults.SIX.items() if vm != 'b1'}
        )
        seen = []
        for _ in range(3):
            await asyncio.sleep(35)
            seen.append(parts(made)['b2'])
        return made, seen

    assert run(main) == [0.5, 0.875, 1.0]


def test_a_paused_vm_drops_its_part():
    async def main():
        made = await start_trial()
        made.fleet.pause('a1')
        await asyncio.sleep(6)
        made.fleet.resume('a1')
        held = made.limits('a1')
        return made, (held.shares.fraction(), held.view('club').tokens)

    assert run(main) == (0.0, 0.0)


def test_nonsense_from_a_peer_is_counted_and_ignored():
    async def main():
        made = await start_trial()
        app = made.fleet.apps_by_vm['a1']
        accept = app.find('membership', object)._accept_by_section['limits']
        said = made.limits('a1').shares._statuses
        for text, content in [
            ('', b''),
            ('a2/x/y', b'\x90'),
            ('a2/1/y', b'\x97\x01\x01\x90\xc2\x01\xa0\x01'),
        ]:
            accept(peers.Sender('a2', text), content)
        await asyncio.sleep(5)
        return made, (said.counts['malformed'], parts(made)['a1'])

    assert run(main) == (3, 0.333)


def test_a_share_grows_only_when_all_have_the_new_catalogue():
    async def main():
        made = await start_trial()
        moved = {'szeged': 0.9, 'baja': 0.05, 'mako': 0.05}
        made.fleet.network.partition({'c1'})
        made.fleet.platform.cut_readers = {'c1'}
        made.fleet.publish(limit_faults.whole(2, shares=moved))
        await asyncio.sleep(30)
        terms = made.limits('a1').shares.changes[-1].rate_limit('club')
        made.fleet.network.heal()
        made.fleet.platform.cut_readers = set()
        await asyncio.sleep(30)
        later = made.limits('a1').shares.changes[-1].rate_limit('club')
        return made, (round(terms.rate, 3), round(later.rate, 3))

    assert run(main) == (13.333, 30.0)


def test_a_vm_that_wakes_says_at_once_that_it_holds_nothing():
    async def main():
        made = await start_trial()
        made.fleet.pause('a1')
        await asyncio.sleep(60)
        made.fleet.resume('a1')
        said = made.limits('a1').shares._statuses._status('a2')
        return made, said.tiers

    assert run(main) == [0, 0]
