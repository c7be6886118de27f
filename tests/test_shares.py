"""Tests of the fraction of its data centre's share that a VM holds."""

import asyncio

import pytest

from corianderspar import clock
from corianderspar import limit_faults
from corianderspar import limit_trials
from corianderspar import peers

BOUNDS = limit_faults.BOUNDS


async def start_trial(bounds=BOUNDS):
    trial = limit_trials.Trial(1, bounds)
    trial.fleet.list_vms(limit_faults.SIX)
    trial.fleet.publish(limit_faults.whole())
    await trial.fleet.start_all()
    await asyncio.sleep(limit_faults.START)
    return trial


def run(main):
    async def run_and_close():
        trial, result = await main()
        await trial.close()
        assert trial.fleet.failures == []
        return result

    return clock.run_virtual(run_and_close())


def fractions(trial):
    return {
        vm: round(trial.limits(vm).shares.fraction(), 3)
        for vm in trial.fleet.apps_by_vm
    }


def test_fractions_sum_to_one_in_each_data_centre():
    async def main():
        trial = await start_trial()
        return trial, fractions(trial)

    assert run(main) == {
        **dict.fromkeys(['a1', 'a2', 'a3'], 0.333),
        **dict.fromkeys(['b1', 'b2'], 0.5),
        'c1': 1.0,
    }


def test_a_restarted_vm_waits_for_a_lease_and_starts_without_tokens():
    async def main():
        trial = await start_trial()
        await trial.fleet.kill('b1')
        await asyncio.sleep(1)
        await trial.fleet.start('b1')
        seen = []
        for _ in range(64):
            await asyncio.sleep(0.25)
            # The account is unknown until the daemon has a catalogue.
            view = trial.limits('b1').view('club')
            tokens = view.tokens if view else 0.0
            seen.append((fractions(trial)['b1'], tokens))
        return trial, seen

    seen = run(main)
    assert {fraction for fraction, _ in seen[:40]} == {0.0}
    assert seen[-1][0] == 0.5
    # One step of 0.25 s at 20 tokens/s.
    assert 0 < next(tokens for _, tokens in seen if tokens) <= 5


@pytest.mark.parametrize('delay', [0.0, 0.25, 0.5, 0.75, 0.999])
def test_a_vm_that_shuts_down_hands_its_share_to_a_nearby_vm(delay):
    async def main():
        trial = await start_trial()
        await asyncio.sleep(delay)
        await trial.fleet.stop('b1')
        await asyncio.sleep(2)
        alone = fractions(trial)['b2']
        await trial.fleet.start('b1')
        await asyncio.sleep(20)
        return trial, (alone, fractions(trial)['b1'], fractions(trial)['b2'])

    assert run(main) == (1.0, 0.5, 0.5)


def test_shares_are_kept_while_the_platform_is_down():
    async def main():
        trial = await start_trial()
        trial.fleet.platform.down = True
        before = fractions(trial)
        await asyncio.sleep(600)
        return trial, (before, fractions(trial))

    before, after = run(main)
    assert before == after


def test_a_dead_vm_and_platform_outage_leave_the_long_lease_tier():
    async def main():
        trial = await start_trial()
        trial.fleet.platform.down = True
        await asyncio.sleep(20)
        await trial.fleet.kill('b1')
        await asyncio.sleep(20)
        early = fractions(trial)['b2']
        await asyncio.sleep(60)
        return trial, (early, fractions(trial)['b2'])

    assert run(main) == (0.125, 0.0)


def test_a_partitioned_data_centre_keeps_its_share():
    async def main():
        trial = await start_trial()
        trial.fleet.network.partition({'b1', 'b2'})
        trial.fleet.platform.cut_readers = {'b1', 'b2'}
        await asyncio.sleep(100)
        return trial, fractions(trial)['b1']

    assert run(main) == 0.5


def test_the_share_of_an_unlisted_vm_is_taken_over_tier_by_tier():
    async def main():
        trial = await start_trial()
        await trial.fleet.kill('b1')
        trial.fleet.list_vms(
            {vm: at for vm, at in limit_faults.SIX.items() if vm != 'b1'}
        )
        seen = []
        for _ in range(3):
            await asyncio.sleep(35)
            seen.append(fractions(trial)['b2'])
        return trial, seen

    assert run(main) == [0.5, 0.875, 1.0]


def test_a_paused_vm_drops_its_share():
    async def main():
        trial = await start_trial()
        trial.fleet.pause('a1')
        await asyncio.sleep(6)
        trial.fleet.resume('a1')
        limits = trial.limits('a1')
        return trial, (limits.shares.fraction(), limits.view('club').tokens)

    assert run(main) == (0.0, 0.0)


def test_a_malformed_status_is_counted_and_ignored():
    async def main():
        trial = await start_trial()
        app = trial.fleet.apps_by_vm['a1']
        accept = app.find('membership', object)._accept_by_section['limits']
        statuses = trial.limits('a1').shares._statuses
        for incarnation, content in [
            ('', b''),
            ('a2/x/y', b'\x90'),
            ('a2/1/y', b'\x97\x01\x01\x90\xc2\x01\xa0\x01'),
        ]:
            accept(peers.Sender('a2', incarnation), content)
        await asyncio.sleep(5)
        return trial, (statuses.counts['malformed'], fractions(trial)['a1'])

    assert run(main) == (3, 0.333)


def test_a_share_grows_only_after_all_vms_adopt_the_catalogue():
    async def main():
        trial = await start_trial()
        moved = {'szeged': 0.9, 'baja': 0.05, 'mako': 0.05}
        trial.fleet.network.partition({'c1'})
        trial.fleet.platform.cut_readers = {'c1'}
        trial.fleet.publish(limit_faults.whole(2, shares=moved))
        await asyncio.sleep(30)
        limit = trial.limits('a1').shares.changes[-1].rate_limit('club')
        trial.fleet.network.heal()
        trial.fleet.platform.cut_readers = set()
        await asyncio.sleep(30)
        later = trial.limits('a1').shares.changes[-1].rate_limit('club')
        return trial, (round(limit.rate, 3), round(later.rate, 3))

    assert run(main) == (13.333, 30.0)


def test_a_resumed_vm_reports_at_once_that_it_holds_nothing():
    async def main():
        trial = await start_trial()
        trial.fleet.pause('a1')
        await asyncio.sleep(60)
        trial.fleet.resume('a1')
        status = trial.limits('a1').shares._statuses._make_status('a2')
        return trial, status.tiers

    assert run(main) == [0, 0]
