"""Mistakes in a configuration are found before it is sent."""

import asyncio
import copy
import json

import pytest
from typer import testing

from corianderspar import cli
from corianderspar.platform import configuration_file
from tests.platform import fakes

RUNNER = testing.CliRunner()


def check(tmp_path, document, *options):
    path = tmp_path / 'draft.json'
    path.write_text(json.dumps(document))
    return RUNNER.invoke(
        cli.program, ['check-configuration', str(path), *options]
    )


def changed(**fields_by_entry):
    """Return the configuration with fields of its first entries changed."""
    document = copy.deepcopy(fakes.CONFIGURATION)
    for name, fields in fields_by_entry.items():
        document[name][0] |= fields
    return document


def test_configuration_that_the_daemons_use_has_no_errors(tmp_path):
    result = check(tmp_path, fakes.CONFIGURATION)
    assert result.exit_code == 0
    assert 'error' not in result.stdout


@pytest.mark.parametrize(
    ('document', 'place'),
    [
        (changed(routes={'timeout_ms': 'soon'}), 'routes.r-chat'),
        (changed(routes={'service': 'none'}), 'routes.r-chat.service'),
        (changed(routes={'prefix': '/chat'}), 'routes.r-chat.prefix'),
        (changed(routes={'goal_ms': 15000}), 'routes.r-chat.objective'),
        (changed(routes={'gap_goal_ms': 15000}), 'routes.r-chat.gap'),
        (changed(routes={'attempts': 0}), 'routes.r-chat.attempts'),
        (changed(routes={'name': 'r-order'}), 'routes.r-order'),
        (changed(services={'engine': {'slots': 0, 'kv_tokens': 1}}), 'slots'),
        (changed(tenants={'burst': 100}), 'accounts.parish.burst'),
        ({**fakes.CONFIGURATION, 'routes': 3}, 'routes'),
        ({**fakes.CONFIGURATION, 'version': 0}, 'version'),
        ([], 'configuration'),
    ],
)
def test_error_is_reported_with_its_place(tmp_path, document, place):
    result = check(tmp_path, document)
    assert result.exit_code == cli.EXIT_FINDINGS
    assert f'{place}: ' in result.stdout


def test_all_errors_are_reported_together(tmp_path):
    document = changed(
        routes={'timeout_ms': 'soon'}, tenants={'api_keys': 'k1'}
    )
    result = check(tmp_path, document)
    assert result.stdout.count('error: ') == 2


def test_key_of_two_accounts_is_an_error_and_is_not_printed(tmp_path):
    document = copy.deepcopy(fakes.CONFIGURATION)
    document['tenants'].append(document['tenants'][0] | {'name': 'other'})
    result = check(tmp_path, document)
    assert 'accounts.other.keys' in result.stdout
    assert 'k1' not in result.stdout


def test_entries_that_never_match_are_warnings(tmp_path):
    document = copy.deepcopy(fakes.CONFIGURATION)
    document['routes'].append(document['routes'][0] | {'name': 'r-again'})
    document['services'].append({'name': 'idle'})
    document['tenants'].append({'name': 'mute', 'api_keys': []})
    result = check(tmp_path, document)
    assert result.exit_code == 0
    for place in ('routes.r-again', 'services.idle', 'accounts.mute.keys'):
        assert f'warning: {place}: ' in result.stdout


def test_changes_of_the_version_in_force_are_listed(tmp_path):
    before = tmp_path / 'before.json'
    before.write_text(json.dumps(fakes.CONFIGURATION))
    document = changed(routes={'timeout_ms': 9000}, tenants={'api_keys': []})
    document['version'] = 4
    document['services'].append({'name': 'more'})
    result = check(tmp_path, document, '--against', str(before))
    for line in (
        'change: routes.r-chat.timeout: 14.0 -> 9.0',
        'change: accounts.parish.keys: 2 withdrawn -> -',
        'change: services.more: - -> present',
    ):
        assert line in result.stdout


def test_version_that_daemons_would_ignore_is_an_error(tmp_path):
    before = tmp_path / 'before.json'
    before.write_text(json.dumps(fakes.CONFIGURATION))
    result = check(tmp_path, fakes.CONFIGURATION, '--against', str(before))
    assert result.exit_code == cli.EXIT_FINDINGS
    assert 'error: version: a version above 3' in result.stdout


async def test_unreadable_neighbour_does_not_hide_the_version_in_force():
    """Guards against a check that can't be made for another writer's entry."""
    server = fakes.FakeStoreServer()
    address = await server.start()
    server.write('op/config', fakes.CONFIGURATION)
    server.write('op/config-other', b'')
    server.entries_by_key['op/config-other']['value'] = None
    read = await asyncio.to_thread(configuration_file.read_store, address)
    assert read.ok.version == 3
    await server.stop()


async def test_version_in_force_is_read_from_the_store(tmp_path):
    server = fakes.FakeStoreServer()
    address = await server.start()
    server.write('op/config', fakes.CONFIGURATION)
    read = await asyncio.to_thread(configuration_file.read_store, address)
    assert read.ok.version == fakes.CONFIGURATION['version']
    await server.stop()
