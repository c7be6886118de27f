import copy
import json

import pytest

from corianderspar.platform import store_values
from corianderspar.router import model
from corianderspar.router import state_messages
from tests.platform import fakes


def test_longest_prefix_selects_the_route():
    configuration = store_values.decode_configuration(
        json.dumps(fakes.CONFIGURATION).encode()
    )
    assert configuration.version == 3
    assert configuration.route('h.example', '/order/look/x').name == 'r-look'
    assert configuration.route('h.example', '/order/x').name == 'r-order'
    assert configuration.route('h.example', '/none/') is None
    assert configuration.route('other', '/order/x') is None


def test_retry_policy_follows_from_the_kind():
    configuration = store_values.decode_configuration(
        json.dumps(fakes.CONFIGURATION).encode()
    )
    retry_policy_by_route = {
        r.name: r.retry_policy
        for r in configuration.routes_by_host['h.example']
    }
    assert retry_policy_by_route == {
        'r-chat': model.RetryPolicy.RESUME,
        'r-order': model.RetryPolicy.NEVER,
        'r-look': model.RetryPolicy.ALWAYS,
    }


def changed_configuration(*path, value):
    changed = copy.deepcopy(fakes.CONFIGURATION)
    *parents, name = path
    entry = changed
    for parent in parents:
        entry = entry[parent]
    entry[name] = value
    return json.dumps(changed).encode()


@pytest.mark.parametrize(
    'path',
    [
        ('version',),
        ('routes', 0, 'priority'),
        ('routes', 0, 'attempts'),
        ('services', 0, 'engine', 'slots'),
        ('services', 0, 'engine', 'kv_tokens'),
        ('tenants', 0, 'default_tokens'),
        ('tenants', 0, 'priority'),
    ],
    ids=lambda path: path[-1],
)
def test_configuration_that_no_message_can_hold_is_rejected(path):
    """Guards against a task that ends at it over and over."""
    data = changed_configuration(*path, value=2**64)
    with pytest.raises(store_values.DecodeError):
        store_values.decode_configuration(data)
    data = changed_configuration(*path, value=2**63 - 1)
    state_messages.measure_configuration(
        store_values.decode_configuration(data)
    )


@pytest.mark.parametrize('name', ['max_header_bytes', 'max_body_bytes'])
@pytest.mark.parametrize('value', [2**63 - 1, 2**64, 10**40])
def test_limit_above_all_sizes_is_no_limit(name, value):
    """Guards against routes that are not added for the sake of a limit."""
    data = changed_configuration('limits', name, value=value)
    configuration = store_values.decode_configuration(data)
    assert max(configuration.limits[:2]) == 2**63 - 1
    state_messages.measure_configuration(configuration)


def test_keys_are_stored_as_digests_only():
    configuration = store_values.decode_configuration(
        json.dumps(fakes.CONFIGURATION).encode()
    )
    assert len(configuration.accounts_by_digest) == 2
    assert 'k1' not in repr(configuration)
    assert configuration.limits.idle_seconds == 8.0


@pytest.mark.parametrize(
    'change',
    [
        {'version': 'x'},
        {'routes': 3},
        {'services': []},
        {'tenants': [{'name': 'x'}]},
    ],
)
def test_invalid_configuration_is_rejected(change):
    data = json.dumps(fakes.CONFIGURATION | change).encode()
    with pytest.raises(store_values.DecodeError):
        store_values.decode_configuration(data)


REGISTRATION = {
    'service': 's',
    'addr': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 1,
}


def test_registration_is_decoded():
    upstream = store_values.decode_upstream(
        'i-1', json.dumps(REGISTRATION).encode()
    )
    assert upstream == model.Upstream(
        'i-1', 's', '10.0.0.1', 80, 'z', model.Phase.PLAIN, True, 6, 0, 'v1'
    )
    cold = REGISTRATION | {'cold_left_ms': 1800}
    found = store_values.decode_upstream('i-1', json.dumps(cold).encode())
    assert found == upstream._replace(cold_left=1.8)
    draining = REGISTRATION | {
        'state': 'draining',
        'phase': 'decode',
        'version': 'v1.2',
    }
    upstream = store_values.decode_upstream(
        'i-1', json.dumps(draining).encode()
    )
    assert not upstream.ready and upstream.phase is model.Phase.DECODE
    assert upstream.version == 'v1.2'


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'{"service": 1}',
        json.dumps(REGISTRATION | {'state': 'asleep'}).encode(),
        json.dumps(REGISTRATION | {'addr': 'nowhere'}).encode(),
        json.dumps(REGISTRATION | {'phase': 'both'}).encode(),
        json.dumps(REGISTRATION | {'slots': 'many'}).encode(),
        json.dumps(REGISTRATION | {'version': 2}).encode(),
    ],
)
def test_malformed_registration_is_rejected(data):
    with pytest.raises(store_values.DecodeError):
        store_values.decode_upstream('i-1', data)


@pytest.mark.parametrize('name', REGISTRATION)
def test_registration_without_a_field_is_rejected(name):
    """Guards against an entry of another writer that names an engine."""
    fields = {n: v for n, v in REGISTRATION.items() if n != name}
    with pytest.raises(store_values.DecodeError):
        store_values.decode_upstream('i-1', json.dumps(fields).encode())


@pytest.mark.parametrize(
    ('instance', 'change'),
    [
        *(
            ('i-1', {name: value})
            for name in ('slots', 'born')
            for value in (-1, 2**63, 2**64, 10**30)
        ),
        *(
            ('i-1', {'addr': addr})
            for addr in ('h:0', 'h:-1', 'h:65536', ':80', 'a\r\nb:80', 'é:80')
        ),
        ('i-1', {'slots': 0}),
        ('', {}),
        ('i\r\nx-tenant: other', {}),
        ('é', {}),
    ],
)
def test_registration_that_no_message_or_header_can_hold_is_rejected(
    instance, change
):
    """Guards against daemons that can pass on no state for one bad entry."""
    data = json.dumps(REGISTRATION | change).encode()
    with pytest.raises(store_values.DecodeError):
        store_values.decode_upstream(instance, data)


def test_cold_state_of_a_service_is_decoded():
    service = {'name': 's', 'cold_s': 3, 'cold_per_s': 11}
    services = [*fakes.CONFIGURATION['services'], service]
    found = store_values.decode_configuration(
        json.dumps(fakes.CONFIGURATION | {'services': services}).encode()
    ).services_by_name
    assert found['s'] == model.Service('s', None, 3.0, 11.0)
    assert [n for n, each in found.items() if each.has_cold_state] == ['s']
