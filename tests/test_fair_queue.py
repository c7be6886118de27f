"""Tests of the fair queue among client accounts."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from corianderspar import fair_queue

ENTRY = fair_queue.Entry('a', 'ordinary', 100.0, 10.0, '')


def dequeue_all(queue, now=0.0, limit=10_000):
    order = []
    while len(queue) and len(order) < limit:
        entry = next(queue.heads(now))
        queue.dequeue(entry)
        order.append(entry)
    return order


def test_tokens_are_shared_by_weight():
    queue = fair_queue.FairQueue()
    for _ in range(60):
        queue.enqueue(ENTRY._replace(account='heavy'), 2.0)
        queue.enqueue(ENTRY._replace(account='light'), 1.0)
    first = dequeue_all(queue, limit=30)
    heavy = sum(entry.account == 'heavy' for entry in first)
    assert 19 <= heavy <= 21


def test_one_account_cannot_starve_another():
    queue = fair_queue.FairQueue()
    for _ in range(1000):
        queue.enqueue(ENTRY._replace(account='large'), 1.0)
    dequeue_all(queue, limit=500)
    queue.enqueue(ENTRY._replace(account='small'), 1.0)
    assert next(queue.heads(0.0)).account == 'small'


def test_the_credit_of_an_idle_account_is_bounded():
    queue = fair_queue.FairQueue()
    big = ENTRY._replace(tokens=fair_queue.MAX_CREDIT_TOKENS / 5)
    queue.enqueue(big._replace(account='idle'), 1.0)
    for _ in range(100):
        queue.enqueue(big._replace(account='busy'), 1.0)
    dequeue_all(queue, limit=51)
    for _ in range(50):
        queue.enqueue(big._replace(account='idle'), 1.0)
    first = [entry.account for entry in dequeue_all(queue, limit=20)]
    assert first[:5] == ['idle'] * 5
    assert first[8:].count('busy') == 6


def test_entries_of_an_account_are_ordered_by_class_then_deadline():
    queue = fair_queue.FairQueue()
    late = ENTRY._replace(deadline=50.0, item='late')
    soon = ENTRY._replace(deadline=40.0, item='soon')
    patient = ENTRY._replace(service_class='patient', item='patient')
    guarded = ENTRY._replace(
        service_class='guarded', deadline=90.0, item='guarded'
    )
    for entry in (patient, late, soon, guarded):
        queue.enqueue(entry, 1.0)
    order = [entry.item for entry in dequeue_all(queue)]
    assert order == ['guarded', 'soon', 'late', 'patient']


def test_a_patient_entry_near_its_deadline_goes_first():
    queue = fair_queue.FairQueue()
    queue.enqueue(ENTRY._replace(item='ordinary'), 1.0)
    patient = ENTRY._replace(
        service_class='patient', deadline=10.0, item='patient'
    )
    queue.enqueue(patient, 1.0)
    assert next(queue.heads(0.0)).item == 'ordinary'
    late = 10.0 - fair_queue.URGENT_SECONDS / 2
    assert next(queue.heads(late)).item == 'patient'


def test_a_corrected_charge_changes_the_order():
    queue = fair_queue.FairQueue()
    for name in ('a', 'b'):
        queue.enqueue(ENTRY._replace(account=name), 1.0)
        queue.enqueue(ENTRY._replace(account=name), 1.0)
    dequeue_all(queue, limit=2)
    queue.charge('a', 100.0)
    assert next(queue.heads(0.0)).account == 'b'


def test_tokens_ahead_counts_own_entries_and_the_share_of_others():
    queue = fair_queue.FairQueue()
    for _ in range(5):
        queue.enqueue(ENTRY._replace(account='own'), 1.0)
        queue.enqueue(ENTRY._replace(account='other'), 1.0)
    assert queue.tokens_ahead('own', 1.0, 'ordinary') == pytest.approx(100.0)
    assert queue.tokens_ahead('new', 1.0, 'ordinary') == pytest.approx(0.0)
    patient = ENTRY._replace(account='own', service_class='patient')
    queue.enqueue(patient, 1.0)
    assert queue.tokens_ahead('own', 1.0, 'ordinary') == pytest.approx(100.0)
    assert queue.tokens_ahead('own', 1.0, 'patient') > 100.0


def test_idle_accounts_are_purged():
    queue = fair_queue.FairQueue()
    for number in range(20_000):
        entry = ENTRY._replace(account=f'a{number}', tokens=1000.0)
        queue.enqueue(entry, 1.0)
        queue.enqueue(entry._replace(account='busy'), 1.0)
        dequeue_all(queue)
    assert len(queue._accounts_by_name) < 5 * fair_queue.MIN_PURGE_ACCOUNTS


@settings(derandomize=True, deadline=None, database=None, max_examples=50)
@given(strategies.integers(0, 1 << 16))
def test_no_entry_is_lost_or_duplicated(seed):
    rng = random.Random(seed)
    queue = fair_queue.FairQueue()
    enqueued, removed, dequeued = [], [], []
    for number in range(100):
        entry = fair_queue.Entry(
            rng.choice('abc'),
            rng.choice(list(fair_queue.CLASS_RANKS)),
            rng.uniform(0, 50),
            rng.uniform(1, 100),
            number,
        )
        queue.enqueue(entry, rng.choice([1.0, 2.0]))
        enqueued.append(entry.item)
        if rng.random() < 0.4:
            entry = next(queue.heads(rng.uniform(0, 50)))
            queue.dequeue(entry)
            dequeued.append(entry.item)
        elif rng.random() < 0.3:
            entry = rng.choice(list(queue))
            queue.remove(entry)
            queue.remove(entry)
            removed.append(entry.item)
    dequeued += [entry.item for entry in dequeue_all(queue)]
    assert sorted(dequeued + removed) == enqueued
