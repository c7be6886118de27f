import msgspec
import pytest

from corianderspar.router import stated_limits
from corianderspar.router import upstream_permits
from tests.router import system

UPSTREAM = system.upstream('s1')._replace(started_ms=1000)
LATER = UPSTREAM._replace(started_ms=2000)


def tell(source, target, now, delay=0.0):
    message = source.message(now, None)
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(message), type=stated_limits.Message
    )
    return [
        target.merge(instance, statement, now + delay)
        for instance, statement in decoded.statements_by_instance.items()
    ]


def test_limit_ends_with_an_answer_that_states_none():
    limits = stated_limits.StatedLimits()
    assert limits.record(UPSTREAM, None, 0.0) is None
    assert limits.record(UPSTREAM, 2.0, 1.0) == (None, 2.0)
    assert limits.record(UPSTREAM, 2.0, 2.0) is None
    assert limits.record(UPSTREAM, 3.0, 3.0).is_lifted
    assert limits.record(UPSTREAM, 0.0, 4.0) == (3.0, 0.0)
    assert limits.rate(UPSTREAM) == 0.0
    assert limits.record(UPSTREAM, None, 5.0).begins_or_ends
    assert limits.rate(UPSTREAM) is None


def test_limit_of_an_earlier_process_does_not_hold():
    limits = stated_limits.StatedLimits()
    limits.record(UPSTREAM, 2.0, 1.0)
    assert limits.rate(LATER) is None
    limits.record(LATER, 5.0, 2.0)
    peer = stated_limits.StatedLimits()
    peer.record(UPSTREAM, 2.0, 9.0)
    assert tell(peer, limits, 9.0) == [None]
    assert limits.rate(LATER) == 5.0
    assert tell(limits, peer, 9.0) == [(None, 5.0)]


def test_newest_statement_holds_whoever_heard_it():
    limits, peer = stated_limits.StatedLimits(), stated_limits.StatedLimits()
    limits.record(UPSTREAM, 2.0, 1.0)
    peer.record(UPSTREAM, 4.0, 3.0)
    assert tell(limits, peer, 3.0) == [None]
    assert tell(peer, limits, 3.0, delay=0.2) == [(2.0, 4.0)]
    assert limits.digest() == peer.digest()
    assert peer.message(4.0, limits.digest()).statements_by_instance == {}
    peer.record(UPSTREAM, None, 5.0)
    assert tell(limits, peer, 5.0) == [None]
    assert tell(peer, limits, 5.0) == [(4.0, None)]


def test_number_of_statements_is_bounded():
    limits = stated_limits.StatedLimits()
    for number in range(2 * stated_limits.MAX_STATEMENTS):
        upstream = UPSTREAM._replace(instance=f's{number}')
        limits.record(upstream, 1.0, float(number))
    message = limits.message(1000.0, None)
    told = message.statements_by_instance
    assert len(told) == stated_limits.MAX_TOLD_STATEMENTS
    assert f's{2 * stated_limits.MAX_STATEMENTS - 1}' in told
    assert limits.rate(UPSTREAM._replace(instance='s0')) is None
    limits.retain(set())
    assert limits.message(1000.0, None) is None


@pytest.mark.parametrize('rate', (0.25, 1.0, 3.0, 40.0))
def test_permits_accrue_at_the_rate_from_none(rate):
    bucket = upstream_permits.PermitBucket(100.0)
    granted = 0
    now = 100.0
    while now < 140.0:
        granted += bucket.take(rate, now) == 0.0
        now += 0.01
    assert 0.95 * 40.0 * rate - 1 <= granted <= 40.0 * rate


def test_those_without_a_permit_are_told_different_times():
    bucket = upstream_permits.PermitBucket(100.0)
    waits = [bucket.take(2.0, 100.0) for _ in range(20)]
    assert waits[:3] == [0.5, 1.0, 1.5]
    assert max(waits) == upstream_permits.MAX_WAIT_SECONDS
    # What was promised is not held against those who come after a lull.
    assert bucket.take(2.0, 130.0) == 0.0
    assert bucket.take(2.0, 130.0) <= 0.5
