from corianderspar.router import model
from corianderspar.router import poison


def _request(body: bytes) -> model.CallerRequest:
    return model.CallerRequest(
        'r1', 'POST', '/a/b', 'h', '/a/b', (), '', 1.0, None, None, body
    )


def test_the_same_request_has_the_same_mark_whatever_its_id():
    first = poison.fingerprint(_request(b'x'), 'acc')
    again = _request(b'x')._replace(request_id='r2')
    assert poison.fingerprint(again, 'acc') == first
    assert poison.fingerprint(_request(b'y'), 'acc') != first
    assert poison.fingerprint(_request(b'x'), 'other') != first


def test_crashes_are_counted_over_the_fleet_and_forgotten():
    seen = poison.Poison()
    seen.crashed('m', 0.0)
    seen.hear('peer/1', {'m': 1})
    assert seen.crashes('m', 1.0) == 2
    seen.forget('peer/1')
    assert seen.crashes('m', 1.0) == 1
    assert seen.crashes('m', poison.REMEMBER_SECONDS + 1) == 0


def test_a_good_ending_clears_a_bystander():
    seen = poison.Poison()
    seen.crashed('m', 0.0)
    seen.ended_well('m')
    assert seen.crashes('m', 0.1) == 0


def test_memory_is_bounded():
    seen = poison.Poison()
    for number in range(2 * poison.KEPT_MOST):
        seen.crashed(str(number), 0.0)
    assert seen.crashes('0', 0.1) == 0
    assert len(seen.tell(0.1)) <= poison.TOLD_MOST
