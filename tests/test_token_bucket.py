"""Tests of the ledger: an exact token bucket, whatever is refunded."""

import hypothesis
from hypothesis import strategies

from corianderspar import limit_trials
from corianderspar import token_bucket

RATE = 10.0
BURST = 100.0
LOAN = 2.0

steps = strategies.lists(
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
@hypothesis.given(steps)
def test_what_is_used_never_overruns(todo):
    book = token_bucket.TokenBucket(0.0, RATE, BURST)
    tally = limit_trials.Tally()
    now, charges, lent = 0.0, [], []
    for number, (what, seconds, tokens, part) in enumerate(todo):
        now += seconds
        if what == 'spend':
            entry = book.spend(now, tokens)
            if entry is not None:
                charges.append((tally.add(now, tokens), entry))
        elif what == 'lend':
            given = book.lend(now, number, tokens, now + LOAN)
            if given:
                lent.append((number, given, now + LOAN))
        elif what == 'settle' and charges:
            grant, entry = charges.pop(0)
            tally.use(grant, entry.tokens * part)
            book.refund(entry, entry.tokens * (1 - part))
        elif what == 'return' and lent:
            number, given, until = lent.pop(0)
            # The worst moment to spend it is the last.
            tally.add(min(now, until), given * part)
            book.take_back(now, number, given * (1 - part))
    for _, given, until in lent:
        tally.add(until, given)
    assert tally.overrun(RATE, BURST) == 0
    assert book.balance(now) <= BURST


@settings
@hypothesis.given(steps)
def test_a_refund_leaves_what_a_bucket_without_it_would_hold(todo):
    book = token_bucket.TokenBucket(0.0, RATE, BURST)
    now, entries, charges = 0.0, [], []
    for what, seconds, tokens, part in todo:
        now += seconds
        if what == 'spend' and (entry := book.spend(now, tokens)):
            entries.append(entry)
            charges.append([now, tokens])
        elif what == 'settle' and entries:
            number = len(charges) - len(entries)
            entry = entries.pop(0)
            charges[number][1] *= part
            book.refund(entry, entry.tokens * (1 - part))
    expected = simulate([*charges, [now, 0.0]])
    assert abs(book.balance(now) - expected) < 1e-6


def test_lent_tokens_take_room_until_they_are_back():
    book = token_bucket.TokenBucket(0.0, RATE, BURST)
    assert book.lend(10.0, 1, 100.0, 12.0) == 100.0
    assert book.balance(11.9) == 0.0
    assert book.balance(13.0) == 10.0
    book.take_back(13.0, 1, 30.0)
    assert book.balance(13.0) == 40.0
    book.take_back(13.0, 1, 100.0)
    assert book.balance(13.0) == 100.0


def test_a_ledger_stays_small_while_a_charge_is_open():
    book = token_bucket.TokenBucket(0.0, 1e6, 1e9)
    first = book.spend(1.0, 1.0)
    for number in range(3 * token_bucket.MAX_ENTRIES):
        book.refund(book.spend(1.0 + number / 1000, 1.0), 0.0)
    assert len(book._entries) <= token_bucket.MAX_ENTRIES + 1
    book.refund(first, 1.0)
    assert not first.is_open


def test_lower_terms_cut_the_balance_at_once():
    book = token_bucket.TokenBucket(0.0, RATE, BURST)
    book.change(50.0, RATE, 5.0)
    book.change(50.0, RATE, BURST)
    assert book.balance(50.0) == 5.0


def test_what_was_used_beyond_the_charge_is_a_debt():
    book = token_bucket.TokenBucket(0.0, RATE, BURST)
    book.overdraw(1.0, 30.0)
    assert book.balance(1.0) == -20.0
    assert book.spend(2.0, 1.0) is None
