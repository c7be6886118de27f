import random

import pytest

from corianderspar.router import retry_budget

RATIO = 0.2
SLACK = 52.0
WINDOW = 10.0


@pytest.mark.parametrize('seed', range(5))
def test_the_fleet_keeps_the_budget_in_every_window(seed):
    """Six daemons that want to repeat everything, in bursts."""
    rng = random.Random(seed)
    daemons = [
        retry_budget.RetryBudget(RATIO, SLACK, WINDOW) for _ in range(6)
    ]
    firsts: list[float] = []
    extras: list[float] = []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(40.0 if 20 < now < 30 else 10.0)
        daemon = rng.choice(daemons)
        daemon.deposit(now)
        firsts.append(now)
        for _ in range(3):
            if daemon.withdraw(now, 6):
                extras.append(now)
    assert extras
    for end in extras:
        requests = sum(end - WINDOW < at <= end for at in firsts)
        sent = sum(end - WINDOW < at <= end for at in extras)
        assert sent <= requests * RATIO + SLACK


def test_a_daemon_that_knows_of_no_other_takes_all_of_the_slack():
    one = retry_budget.RetryBudget(RATIO, SLACK, WINDOW)
    taken = sum(one.withdraw(0.0, 1) for _ in range(100))
    assert taken == int(SLACK * retry_budget.SPARE)


def test_old_sends_make_room_again():
    one = retry_budget.RetryBudget(0.0, 4.0, WINDOW)
    assert [one.withdraw(0.0, 1) for _ in range(4)] == [True] * 3 + [False]
    assert one.withdraw(WINDOW + 0.1, 1)
