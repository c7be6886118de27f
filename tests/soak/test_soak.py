"""The soak's own checks, and a short run of it."""

import pytest

from tests.platform import fakes
from tests.soak import ledger
from tests.soak import soak

CHAT = b''.join(fakes.encode_event(number) for number in range(1, 6))
FRESH = 2
REGRESSIONS = (
    1,  # SIGHUP ended a daemon that was still loading
)


def asked(path='/order/a', status=200, body=b'"/order/a"', **changes):
    found = ledger.Asked('a', path, 'k1', 10.0, status, body)
    return found._replace(**changes)


def findings(one, runs, withdrawn=None):
    return ledger.check([one], {'a': runs} if runs else {}, withdrawn or {})


def test_a_sound_ending_is_no_finding():
    chat = asked('/chat/a', body=CHAT)
    assert not findings(asked(), ['/order/a'])
    assert not findings(asked(status=503), [])
    assert not findings(asked(status=0), ['/order/a'])
    assert not findings(chat, ['/chat/a', '/chat/a'])


@pytest.mark.parametrize(
    ('one', 'runs'),
    [
        (asked(status=0), ['/order/a', '/order/a']),
        (asked(status=503), ['/order/a']),
        (asked(status=429), ['/order/a']),
        (asked(), ['/order/b']),
        (asked(), []),
        (asked(body=b'"/order/b"'), ['/order/a']),
        (asked('/chat/a', body=CHAT[:-10]), ['/chat/a']),
        (asked('/chat/a', body=CHAT + CHAT), ['/chat/a']),
    ],
)
def test_a_broken_promise_is_a_finding(one, runs):
    assert findings(one, runs)


def test_a_withdrawn_key_and_an_unknown_request_are_findings():
    late = asked(sent=16.0)
    assert not findings(late, ['/order/a'], {'k1': 12.0})
    assert findings(late, ['/order/a'], {'k1': 10.0})
    assert ledger.check([], {'a': ['/order/a']}, {})


@pytest.mark.parametrize('seed', [FRESH, *REGRESSIONS])
async def test_a_short_soak_breaks_no_promise(seed, tmp_path):
    one = soak.Soak(seed, 6.0, tmp_path, 3)
    assert await one.play() == []
    assert any(found.status == 200 for found in one.asked)
