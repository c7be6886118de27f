from corianderspar.router import model
from corianderspar.router import poison


def _request(body: bytes) -> model.CallerRequest:
    return model.CallerRequest(
        'r1', 'POST', '/a/b', 'h', '/a/b', (), '', 1.0, None, None, body
    )


def test_fingerprint_does_not_depend_on_the_request_id():
    first = poison.request_fingerprint(_request(b'x'), 'acc')
    again = _request(b'x')._replace(request_id='r2')
    assert poison.request_fingerprint(again, 'acc') == first
    assert poison.request_fingerprint(_request(b'y'), 'acc') != first
    assert poison.request_fingerprint(_request(b'x'), 'other') != first


def test_count_sums_all_daemons_and_expires():
    crash_counts = poison.CrashCounts()
    crash_counts.record_crash('m', 0.0)
    crash_counts.set_peer_counts('peer/1', {'m': 1})
    assert crash_counts.count('m', 1.0) == 2
    crash_counts.forget_peer('peer/1')
    assert crash_counts.count('m', 1.0) == 1
    assert crash_counts.count('m', poison.RETENTION_SECONDS + 1) == 0


def test_success_resets_the_count():
    crash_counts = poison.CrashCounts()
    crash_counts.record_crash('m', 0.0)
    crash_counts.record_success('m')
    assert crash_counts.count('m', 0.1) == 0


def test_number_of_fingerprints_is_bounded():
    crash_counts = poison.CrashCounts()
    for number in range(2 * poison.MAX_FINGERPRINTS):
        crash_counts.record_crash(str(number), 0.0)
    assert crash_counts.count('0', 0.1) == 0
    assert (
        len(crash_counts.local_counts(0.1))
        <= poison.MAX_HEARTBEAT_FINGERPRINTS
    )
