import pytest

from corianderspar.router import token_buckets

RATE = 1000.0
BURST = 1000.0


def test_a_bucket_gives_burst_and_rate_and_no_more():
    limits = token_buckets.TokenBuckets()
    granted = sum(
        limits.charge('a', RATE, BURST, 100, step / 100).granted
        for step in range(1000)
    )
    # 10 s of 100 requests a second, each for 100 tokens.
    assert 100 * granted <= BURST + 10 * RATE
    assert 100 * granted >= BURST + 9.8 * RATE


def test_what_peers_granted_is_taken_out_once():
    limits = token_buckets.TokenBuckets()
    limits.charge('a', RATE, BURST, 100, 0.0)
    limits.add_peer_totals('peer/1', {'a': 900})
    limits.add_peer_totals('peer/1', {'a': 900})
    assert not limits.charge('a', RATE, BURST, 50, 0.0).granted
    assert limits.charge('a', RATE, BURST, 50, 0.06).granted


def test_what_a_peer_took_back_is_there_again():
    limits = token_buckets.TokenBuckets()
    limits.charge('a', RATE, BURST, 100, 0.0)
    limits.add_peer_totals('peer/1', {'a': 900})
    limits.add_peer_totals('peer/1', {'a': 500})
    assert limits.charge('a', RATE, BURST, 400, 0.0).granted


def test_silent_peers_keep_their_share_of_the_refill():
    limits = token_buckets.TokenBuckets()
    limits.set_heard_share(0.5)
    limits.charge('a', RATE, BURST, 1000, 0.0)
    assert not limits.charge('a', RATE, BURST, 600, 1.0).granted
    assert limits.charge('a', RATE, BURST, 500, 1.0).granted


def test_two_sides_of_a_cut_give_at_most_one_rate_between_them():
    sides = [token_buckets.TokenBuckets(), token_buckets.TokenBuckets()]
    for side, share in zip(sides, (4 / 9, 5 / 9), strict=True):
        side.charge('a', RATE, BURST, 0, 0.0)
        side.set_heard_share(share)
    granted = 0
    for step in range(1000):
        for side in sides:
            granted += side.charge('a', RATE, BURST, 100, step / 100).granted
    assert 100 * granted <= 2 * BURST + 10 * RATE


def test_callers_over_the_rate_are_told_to_return_one_after_another():
    limits = token_buckets.TokenBuckets()
    limits.charge('a', RATE, BURST, 1000, 0.0)
    waits = [
        limits.charge('a', RATE, BURST, 100, 0.0).retry_after
        for _ in range(20)
    ]
    assert waits == sorted(waits)
    steps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
    assert all(abs(step - 0.1) < 1e-9 for step in steps)


def test_an_account_without_limit_is_only_counted():
    limits = token_buckets.TokenBuckets()
    assert limits.charge('a', 0.0, 0.0, 10**9, 0.0).granted
    assert limits.granted_by_account['a'] == 10**9


def test_a_request_above_the_burst_passes_while_the_bucket_is_full():
    limits = token_buckets.TokenBuckets()
    assert limits.charge('a', RATE, BURST, 3000, 0.0).granted
    assert not limits.charge('a', RATE, BURST, 1, 1.9).granted
    assert limits.charge('a', RATE, BURST, 1, 2.1).granted


def test_the_first_report_of_a_peer_leaves_no_debt():
    limits = token_buckets.TokenBuckets()
    limits.charge('a', RATE, BURST, 100, 0.0)
    # The peers have run for minutes, and this daemon has just begun.
    limits.add_peer_totals('peer/1', {'a': 500_000})
    limits.add_peer_totals('peer/2', {'a': 400_000})
    assert not limits.charge('a', RATE, BURST, 500, 0.1).granted
    assert limits.charge('a', RATE, BURST, 500, 0.6).granted


def test_a_bucket_that_was_not_used_forgets_late_reports():
    limits = token_buckets.TokenBuckets()
    limits.charge('a', RATE, BURST, 100, 0.0)
    limits.add_peer_totals('peer/1', {'a': 0})
    limits.add_peer_totals('peer/1', {'a': 9000})
    assert not limits.charge('a', RATE, BURST, 100, 1.0).granted
    limits.add_peer_totals('peer/1', {'a': 18_000})
    assert limits.charge('a', RATE, BURST, 1000, 6.0).granted
    assert not limits.charge('a', RATE, BURST, 500, 6.0).granted


def test_a_bucket_with_a_long_burst_is_not_filled_by_a_pause():
    limits = token_buckets.TokenBuckets()
    burst = 25 * RATE
    assert limits.charge('a', RATE, burst, int(burst), 0.0).granted
    assert not limits.charge('a', RATE, burst, 6000, 5.0).granted


def test_a_caller_that_returned_goes_before_those_that_may_still_return():
    limits = token_buckets.TokenBuckets(token_buckets.LimitTolerance(8000.0))
    assert limits.charge('a', RATE, BURST, 2000, 0.0).granted
    assert not limits.charge('a', RATE, BURST, 500, 0.0).granted
    assert limits.charge('a', RATE, BURST, 500, 0.0, True).granted


def test_a_small_request_goes_before_a_large_one():
    limits = token_buckets.TokenBuckets(token_buckets.LimitTolerance(8000.0))
    assert limits.charge('a', RATE, BURST, 2000, 0.0).granted
    assert not limits.charge('a', RATE, BURST, 500, 0.0).granted
    assert limits.charge('a', RATE, BURST, 50, 0.0).granted


@pytest.mark.parametrize('rate', [2000.0, 17_700.0, 36_000.0, 200_000.0])
@pytest.mark.parametrize('heard', [0.5, 0.65, 0.9])
def test_a_cut_and_a_restart_stay_within_what_is_allowed(rate, heard):
    """Both sides are asked for ten times the rate, by all kinds of callers."""
    allowed = token_buckets.LimitTolerance(140_000.0, 0.25, 8.0)
    sides = [
        token_buckets.TokenBuckets(allowed),
        token_buckets.TokenBuckets(allowed),
    ]
    granted = 0
    for step in range(800):
        now = step / 100
        if step == 400:
            sides[0] = token_buckets.TokenBuckets(allowed)
        for side, share in zip(sides, (heard, 1 - heard), strict=True):
            side.set_heard_share(share)
            for tokens, returned in ((5000, False), (5000, True), (200, True)):
                asked = int(rate / 20 / 5000) + 1
                for _ in range(asked):
                    found = side.charge('a', rate, rate, tokens, now, returned)
                    granted += tokens * found.granted
    # One request of each kind may overshoot in each bucket.
    assert granted <= (rate * 8 + rate) * 1.25 + 140_000


def test_a_side_of_a_cut_uses_what_the_window_has_to_spare():
    allowed = token_buckets.LimitTolerance(140_000.0, 0.25, 8.0)
    assert allowed.refill_share(1.0, 36_000.0, 36_000.0) == 1.0
    assert 0.75 <= allowed.refill_share(0.65, 36_000.0, 36_000.0) <= 0.8
    assert (
        token_buckets.LimitTolerance().refill_share(0.65, 36_000.0, 36_000.0)
        == 0.65
    )
