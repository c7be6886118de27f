"""Tests of the token bucket with refunds and loans."""

import hypothesis
from hypothesis import strategies

from corianderspar import limit_trials
from corianderspar import token_bucket

RATE = 10.0
BURST = 100.0
LOAN_SECONDS = 2.0

operations = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['spend', 'lend', 'settle', 'return']),
        strategies.sampled_from([0.0, 0.5, 1.0, 3.0, 9.0]),
        strategies.sampled_from([1.0, 20.0, 60.0, 100.0]),
        strategies.sampled_from([0.0, 0.3, 1.0]),
    ),
    max_size=40,
)
settings = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)


def simulate(charges):
    """Return the balance of a plain token bucket after its charges."""
    balance, at = 0.0, 0.0
    for moment, tokens in charges:
        balance = min(BURST, balance + RATE * (moment - at)) - tokens
        at = moment
    return balance


@settings
@hypothesis.given(operations)
def test_used_tokens_never_exceed_rate_and_burst(drawn):
    bucket = token_bucket.TokenBucket(0.0, RATE, BURST)
    tally = limit_trials.Tally()
    now, charges, lent = 0.0, [], []
    for number, (kind, seconds, tokens, fraction) in enumerate(drawn):
        now += seconds
        if kind == 'spend':
            entry = bucket.spend(now, tokens)
            if entry is not None:
                charges.append((tally.add(now, tokens), entry))
        elif kind == 'lend':
            loaned = bucket.lend(now, number, tokens, now + LOAN_SECONDS)
            if loaned:
                lent.append((number, loaned, now + LOAN_SECONDS))
        elif kind == 'settle' and charges:
            grant, entry = charges.pop(0)
            tally.use(grant, entry.tokens * fraction)
            bucket.refund(entry, entry.tokens * (1 - fraction))
        elif kind == 'return' and lent:
            number, loaned, until = lent.pop(0)
            # Spending it at the last moment is the worst case.
            tally.add(min(now, until), loaned * fraction)
            bucket.accept_return(now, number, loaned * (1 - fraction))
    for _, loaned, until in lent:
        tally.add(until, loaned)
    assert tally.overrun(RATE, BURST) == 0
    assert bucket.balance(now) <= BURST


@settings
@hypothesis.given(operations)
def test_a_refund_leaves_the_balance_of_a_lower_charge(drawn):
    bucket = token_bucket.TokenBucket(0.0, RATE, BURST)
    now, entries, charges = 0.0, [], []
    for kind, seconds, tokens, fraction in drawn:
        now += seconds
        if kind == 'spend' and (entry := bucket.spend(now, tokens)):
            entries.append(entry)
            charges.append([now, tokens])
        elif kind == 'settle' and entries:
            number = len(charges) - len(entries)
            entry = entries.pop(0)
            charges[number][1] *= fraction
            bucket.refund(entry, entry.tokens * (1 - fraction))
    expected = simulate([*charges, [now, 0.0]])
    assert abs(bucket.balance(now) - expected) < 1e-6


def test_lent_tokens_occupy_capacity_until_the_loan_ends():
    bucket = token_bucket.TokenBucket(0.0, RATE, BURST)
    assert bucket.lend(10.0, 1, 100.0, 12.0) == 100.0
    assert bucket.balance(11.9) == 0.0
    assert bucket.balance(13.0) == 10.0
    bucket.accept_return(13.0, 1, 30.0)
    assert bucket.balance(13.0) == 40.0
    bucket.accept_return(13.0, 1, 100.0)
    assert bucket.balance(13.0) == 100.0


def test_entries_are_bounded_while_a_charge_is_open():
    bucket = token_bucket.TokenBucket(0.0, 1e6, 1e9)
    first = bucket.spend(1.0, 1.0)
    for number in range(3 * token_bucket.MAX_ENTRIES):
        bucket.refund(bucket.spend(1.0 + number / 1000, 1.0), 0.0)
    assert len(bucket._entries) <= token_bucket.MAX_ENTRIES + 1
    bucket.refund(first, 1.0)
    assert not first.is_open


def test_a_lower_burst_cuts_the_balance_at_once():
    bucket = token_bucket.TokenBucket(0.0, RATE, BURST)
    bucket.set_limits(50.0, RATE, 5.0)
    bucket.set_limits(50.0, RATE, BURST)
    assert bucket.balance(50.0) == 5.0


def test_overdrawn_tokens_are_a_debt():
    bucket = token_bucket.TokenBucket(0.0, RATE, BURST)
    bucket.overdraw(1.0, 30.0)
    assert bucket.balance(1.0) == -20.0
    assert bucket.spend(2.0, 1.0) is None
