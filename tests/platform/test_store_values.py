import json

import pytest

from corianderspar.platform import store_values
from corianderspar.router import model
from tests.platform import fakes


def test_the_longest_prefix_selects_the_route():
    found = store_values.decode_configuration(
        json.dumps(fakes.CONFIGURATION).encode()
    )
    assert found.version == 3
    assert found.route('h.example', '/order/look/x').name == 'r-look'
    assert found.route('h.example', '/order/x').name == 'r-order'
    assert found.route('h.example', '/none/') is None
    assert found.route('other', '/order/x') is None


def test_what_may_be_repeated_follows_from_the_kind():
    found = store_values.decode_configuration(
        json.dumps(fakes.CONFIGURATION).encode()
    )
    repeat = {
        r.name: r.retry_policy for r in found.routes_by_host['h.example']
    }
    assert repeat == {
        'r-chat': model.RetryPolicy.RESUME,
        'r-order': model.RetryPolicy.NEVER,
        'r-look': model.RetryPolicy.ALWAYS,
    }


def test_keys_are_kept_as_digests_only():
    found = store_values.decode_configuration(
        json.dumps(fakes.CONFIGURATION).encode()
    )
    assert len(found.accounts_by_digest) == 2
    assert 'k1' not in repr(found)
    assert found.limits.idle_seconds == 8.0


@pytest.mark.parametrize(
    'change',
    [
        {'version': 'x'},
        {'routes': 3},
        {'services': []},
        {'tenants': [{'name': 'x'}]},
    ],
)
def test_a_document_with_an_error_is_unreadable(change):
    data = json.dumps(fakes.CONFIGURATION | change).encode()
    with pytest.raises(store_values.DecodeError):
        store_values.decode_configuration(data)


GOOD = {
    'service': 's',
    'addr': '10.0.0.1:80',
    'zone': 'z',
    'state': 'ready',
    'slots': 6,
}


def test_a_registration_is_decoded_once():
    found = store_values.decode_upstream('i-1', json.dumps(GOOD).encode())
    assert found == model.Upstream(
        'i-1', 's', '10.0.0.1', 80, 'z', model.Phase.PLAIN, True, 6
    )
    leaving = GOOD | {'state': 'draining', 'phase': 'decode'}
    found = store_values.decode_upstream('i-1', json.dumps(leaving).encode())
    assert not found.ready and found.phase is model.Phase.DECODE


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'{"service": 1}',
        json.dumps(GOOD | {'state': 'asleep'}).encode(),
        json.dumps(GOOD | {'addr': 'nowhere'}).encode(),
        json.dumps(GOOD | {'phase': 'both'}).encode(),
        json.dumps(GOOD | {'slots': 'many'}).encode(),
    ],
)
def test_a_registration_of_another_writer_names_no_upstream(data):
    with pytest.raises(store_values.DecodeError):
        store_values.decode_upstream('i-1', data)
