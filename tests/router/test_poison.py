from corianderspar.router import model
from corianderspar.router import poison


def _request(body: bytes) -> model.CallerRequest:
    return model.CallerRequest(
        'r1', 'POST', '/a/b', 'h', '/a/b', (), '', 1.0, None, None, body
    )


def test_the_same_request_has_the_same_mark_whatever_its_id():
    first = poison.request_fingerprint(_request(b'x'), 'acc')
    again = _request(b'x')._replace(request_id='r2')
    assert poison.request_fingerprint(again, 'acc') == first
    assert poison.request_fingerprint(_request(b'y'), 'acc') != first
    assert poison.request_fingerprint(_request(b'x'), 'other') != first


def test_crashes_are_counted_over_the_fleet_and_forgotten():
    seen = poison.CrashCounts()
    seen.record_crash('m', 0.0)
    seen.set_peer_counts('peer/1', {'m': 1})
    assert seen.count('m', 1.0) == 2
    seen.forget_peer('peer/1')
    assert seen.count('m', 1.0) == 1
    assert seen.count('m', poison.RETENTION_SECONDS + 1) == 0


def test_a_good_ending_clears_a_bystander():
    seen = poison.CrashCounts()
    seen.record_crash('m', 0.0)
    seen.record_success('m')
    assert seen.count('m', 0.1) == 0


def test_memory_is_bounded():
    seen = poison.CrashCounts()
    for number in range(2 * poison.MAX_FINGERPRINTS):
        seen.record_crash(str(number), 0.0)
    assert seen.count('0', 0.1) == 0
    assert len(seen.local_counts(0.1)) <= poison.MAX_HEARTBEAT_FINGERPRINTS
