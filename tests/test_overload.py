"""Tests of admission control."""

import random

from corianderspar import overload


def make_admission(**limits):
    return overload.Admission(
        random.Random(1), overload.AdmissionLimits(**limits)
    )


def test_requests_above_the_limit_are_refused_as_not_run():
    admission = make_admission(in_flight=2, account_fraction=1.0)
    first = admission.admit('a', 10).ok
    admission.admit('b', 10)
    refused = admission.admit('c', 10).error
    with first:
        pass
    assert (refused.code, refused.status, refused.ran) == (
        'overloaded',
        503,
        'no',
    )
    assert 0.5 <= refused.retry_after <= 1.5
    assert admission.admit('c', 10).is_ok()


def test_refusal_with_ticket_is_not_said_to_be_not_run():
    admission = make_admission(in_flight=0)
    assert admission.admit('a', 10, 'ticket').error.ran == 'unknown'


def test_one_account_gets_only_its_fraction_of_the_requests():
    admission = make_admission(in_flight=10)
    admitted = [admission.admit('greedy', 0).is_ok() for _attempt in range(10)]
    assert admitted.count(True) == 5
    assert admission.admit('other', 0).is_ok()


def test_held_bytes_are_limited_and_released():
    admission = make_admission(queued_bytes=100 << 10)
    permit = admission.admit('a', 50 << 10).ok
    assert admission.admit('a', 60 << 10).is_error()
    assert not permit.resize(101 << 10)
    assert permit.resize(80 << 10)
    permit.release()
    permit.release()
    assert (admission.held_bytes, admission.in_flight) == (0, 0)
    assert not permit.resize(1)


def test_connections_and_memory_are_limited():
    admission = make_admission(
        connections=3, memory_bytes=2 * overload.CONNECTION_OVERHEAD_BYTES
    )
    assert [admission.add_connection() for _attempt in range(3)] == [
        True,
        True,
        False,
    ]
    assert admission.admit('a', 0).is_error()
    admission.remove_connection()
    assert admission.admit('a', 0).is_ok()
