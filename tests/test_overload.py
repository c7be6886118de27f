"""Tests of the bounds on what a daemon takes on."""

import random

from corianderspar import overload


def admission(**limits):
    return overload.Admission(
        random.Random(1), overload.AdmissionLimits(**limits)
    )


def test_requests_beyond_the_limit_are_refused_as_not_run():
    found = admission(in_flight=2, account_fraction=1.0)
    first = found.admit('a', 10).ok
    found.admit('b', 10)
    refused = found.admit('c', 10).error
    with first:
        pass
    assert (refused.code, refused.status, refused.ran) == (
        'overloaded',
        503,
        'no',
    )
    assert 0.5 <= refused.retry_after <= 1.5
    assert found.admit('c', 10).is_ok()


def test_a_request_with_a_ticket_is_not_said_to_be_not_run():
    found = admission(in_flight=0)
    assert found.admit('a', 10, 'ticket').error.ran == 'unknown'


def test_one_account_can_not_take_everything():
    found = admission(in_flight=10)
    greedy = [found.admit('greedy', 0).is_ok() for _try in range(10)]
    assert greedy.count(True) == 5
    assert found.admit('other', 0).is_ok()


def test_bytes_are_bounded_and_given_back():
    found = admission(queued_bytes=100 << 10)
    permit = found.admit('a', 50 << 10).ok
    assert found.admit('a', 60 << 10).is_error()
    assert not permit.resize(101 << 10)
    assert permit.resize(80 << 10)
    permit.end()
    permit.end()
    assert (found.bytes, found.in_flight) == (0, 0)
    assert not permit.resize(1)


def test_connections_and_memory_have_ceilings():
    found = admission(
        connections=3, memory_bytes=2 * overload.CONNECTION_BYTES
    )
    assert [found.connect() for _try in range(3)] == [True, True, False]
    assert found.admit('a', 0).is_error()
    found.disconnect()
    assert found.admit('a', 0).is_ok()
