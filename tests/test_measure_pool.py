"""A small version of the measures, held to the stated targets."""

import pytest

from corianderspar import clock
from corianderspar import measure_pool
from corianderspar import pool_trial
from corianderspar import workload

SECONDS = 30.0
DYING = pool_trial.Setup(dies_at=15.0)


@pytest.mark.parametrize('load', [1.0, 1.5])
def test_targets_at_and_above_capacity(load):
    (trio,) = measure_pool.trios(load, (1,), SECONDS, DYING)
    ours, naive = trio.ours, trio.naive
    assert ours.goodput >= 1.5 * naive.goodput
    assert ours.goodput >= 0.85 * trio.oracle.goodput
    assert ours.wasted < 0.03
    assert ours.wasted < naive.wasted / 5
    assert ours.held_gone == 0
    assert naive.held_gone > 0
    assert ours.wrong == 0
    assert ours.patient_lost == 0


def test_the_worst_served_account_beside_one_at_ten_times_its_rate():
    (trio,) = measure_pool.crowded((1,), SECONDS)
    assert trio.ours.worst_share >= 0.95


def test_a_trial_gives_the_same_on_every_run():
    arrivals = workload.make(3, 5.0, 20.0)
    first, again = (
        pool_trial.run(
            pool_trial.OurTrial, pool_trial.Setup(dies=''), arrivals, 3, 5.0
        )
        for _ in range(2)
    )
    assert first == again


def test_everything_is_given_back_when_all_have_gone():
    async def main():
        arrivals = [
            arrival._replace(leaves=0.2 + 0.01 * number)
            for number, arrival in enumerate(workload.make(4, 5.0, 40.0))
        ]
        trial = pool_trial.OurTrial(DYING, arrivals, 4)
        await trial.run()
        await trial.clock.sleep(2.0)
        assert trial.scheduler.reservations() == ()
        assert trial.scheduler.summary().backlog == 0
        for name, fake in trial.engines_by_name.items():
            if name != DYING.dies:
                load = (await fake.load()).ok
                assert (load.requests, load.used_pieces) == ((), 0)

    clock.run_virtual(main())
