import random

import pytest

from corianderspar.router import retry_budget

RATIO = 0.2
SLACK = 52.0
WINDOW = 10.0


@pytest.mark.parametrize('seed', range(5))
def test_six_daemons_stay_within_the_budget_in_every_window(seed):
    """Each daemon tries to retry every request three times, with a burst."""
    rng = random.Random(seed)
    daemons = [
        retry_budget.RetryBudget(RATIO, SLACK, WINDOW) for _ in range(6)
    ]
    requests_at: list[float] = []
    retries_at: list[float] = []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(40.0 if 20 < now < 30 else 10.0)
        daemon = rng.choice(daemons)
        daemon.deposit(now)
        requests_at.append(now)
        for _ in range(3):
            if daemon.withdraw(now, 6):
                retries_at.append(now)
    assert retries_at
    for end in retries_at:
        requests = sum(end - WINDOW < at <= end for at in requests_at)
        retries = sum(end - WINDOW < at <= end for at in retries_at)
        assert retries <= requests * RATIO + SLACK


def test_a_daemon_without_peers_uses_the_whole_slack():
    budget = retry_budget.RetryBudget(RATIO, SLACK, WINDOW)
    granted = sum(budget.withdraw(0.0, 1) for _ in range(100))
    assert granted == int(SLACK * retry_budget.USABLE_SHARE)


def test_retries_that_left_the_window_are_no_longer_counted():
    budget = retry_budget.RetryBudget(0.0, 4.0, WINDOW)
    assert [budget.withdraw(0.0, 1) for _ in range(4)] == [True] * 3 + [False]
    assert budget.withdraw(WINDOW + 0.1, 1)
