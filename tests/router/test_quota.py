from corianderspar.router import quota

RATE = 1000.0
BURST = 1000.0


def test_a_bucket_gives_burst_and_rate_and_no_more():
    limits = quota.Quota()
    granted = sum(
        limits.take('a', RATE, BURST, 100, step / 100).granted
        for step in range(1000)
    )
    # 10 s of 100 requests a second, each for 100 tokens.
    assert 100 * granted <= BURST + 10 * RATE
    assert 100 * granted >= BURST + 9.8 * RATE


def test_what_peers_granted_is_taken_out_once():
    limits = quota.Quota()
    limits.take('a', RATE, BURST, 100, 0.0)
    limits.hear('peer/1', {'a': 900})
    limits.hear('peer/1', {'a': 900})
    assert not limits.take('a', RATE, BURST, 50, 0.0).granted
    assert limits.take('a', RATE, BURST, 50, 0.06).granted


def test_what_a_peer_took_back_is_there_again():
    limits = quota.Quota()
    limits.take('a', RATE, BURST, 100, 0.0)
    limits.hear('peer/1', {'a': 900})
    limits.hear('peer/1', {'a': 500})
    assert limits.take('a', RATE, BURST, 400, 0.0).granted


def test_silent_peers_keep_their_share_of_the_refill():
    limits = quota.Quota()
    limits.set_share(0.5)
    limits.take('a', RATE, BURST, 1000, 0.0)
    assert not limits.take('a', RATE, BURST, 600, 1.0).granted
    assert limits.take('a', RATE, BURST, 500, 1.0).granted


def test_two_sides_of_a_cut_give_at_most_one_rate_between_them():
    sides = [quota.Quota(), quota.Quota()]
    for side, share in zip(sides, (4 / 9, 5 / 9), strict=True):
        side.take('a', RATE, BURST, 0, 0.0)
        side.set_share(share)
    granted = 0
    for step in range(1000):
        for side in sides:
            granted += side.take('a', RATE, BURST, 100, step / 100).granted
    assert 100 * granted <= 2 * BURST + 10 * RATE


def test_callers_over_the_rate_are_told_to_return_one_after_another():
    limits = quota.Quota()
    limits.take('a', RATE, BURST, 1000, 0.0)
    waits = [limits.take('a', RATE, BURST, 100, 0.0).wait for _ in range(20)]
    assert waits == sorted(waits)
    steps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
    assert all(abs(step - 0.1) < 1e-9 for step in steps)


def test_an_account_without_limit_is_only_counted():
    limits = quota.Quota()
    assert limits.take('a', 0.0, 0.0, 10**9, 0.0).granted
    assert limits.granted_by_account['a'] == 10**9


def test_a_request_above_the_burst_passes_while_the_bucket_is_full():
    limits = quota.Quota()
    assert limits.take('a', RATE, BURST, 3000, 0.0).granted
    assert not limits.take('a', RATE, BURST, 1, 1.9).granted
    assert limits.take('a', RATE, BURST, 1, 2.1).granted


def test_the_first_report_of_a_peer_leaves_no_debt():
    limits = quota.Quota()
    limits.take('a', RATE, BURST, 100, 0.0)
    # The peers have run for minutes, and this daemon has just begun.
    limits.hear('peer/1', {'a': 500_000})
    limits.hear('peer/2', {'a': 400_000})
    assert not limits.take('a', RATE, BURST, 500, 0.1).granted
    assert limits.take('a', RATE, BURST, 500, 0.6).granted


def test_a_bucket_that_was_not_used_forgets_late_reports():
    limits = quota.Quota()
    limits.take('a', RATE, BURST, 100, 0.0)
    limits.hear('peer/1', {'a': 0})
    limits.hear('peer/1', {'a': 9000})
    assert not limits.take('a', RATE, BURST, 100, 1.0).granted
    limits.hear('peer/1', {'a': 18_000})
    assert limits.take('a', RATE, BURST, 1000, 6.0).granted
    assert not limits.take('a', RATE, BURST, 500, 6.0).granted


def test_a_bucket_with_a_long_burst_is_not_filled_by_a_pause():
    limits = quota.Quota()
    burst = 25 * RATE
    assert limits.take('a', RATE, burst, int(burst), 0.0).granted
    assert not limits.take('a', RATE, burst, 6000, 5.0).granted


def test_a_caller_that_returned_goes_before_those_that_may_still_return():
    limits = quota.Quota(slack=8000.0)
    assert limits.take('a', RATE, BURST, 2000, 0.0).granted
    assert not limits.take('a', RATE, BURST, 500, 0.0).granted
    assert limits.take('a', RATE, BURST, 500, 0.0, True).granted
    # The bound of the design note, with two sides of a cut and a restart.
    most = 3 * (BURST + 8000.0 * quota.RETURNED_OVERDRAFT_SHARE)
    assert most <= 0.25 * RATE * 8 + 1.25 * BURST + 8000.0
