"""Tests of the command-line tool."""

import json

from typer import testing

from corianderspar import cli
from corianderspar import digests
from corianderspar import porcelain
from corianderspar import timeline

RUNNER = testing.CliRunner()

VALID = {
    'version': 3,
    'entries_by_name': {
        'desk': {
            'owner': 'calendar desk',
            'service_class': 'patient',
            'routes_by_name': {
                'lookups': {
                    'path': '/catalogue',
                    'kind': 'plain',
                    'target': 'shop',
                }
            },
        }
    },
    'accounts_by_name': {},
    'upstreams_by_name': {
        'shop1': {
            'data_centre': 'szeged',
            'address': '10.0.0.9:80',
            'kind': 'plain',
            'pool': 'shop',
        }
    },
}


def write_catalogue(tmp_path, document):
    path = tmp_path / 'catalogue.json'
    path.write_text(json.dumps(document))
    return str(path)


def test_valid_catalogue_has_no_findings(tmp_path):
    result = RUNNER.invoke(
        cli.program, ['check', write_catalogue(tmp_path, VALID)]
    )
    assert result.exit_code == 0
    assert 'no findings' in result.stdout


def test_check_prints_every_finding_with_its_place(tmp_path):
    invalid = json.loads(json.dumps(VALID))
    invalid['version'] = 0
    invalid['entries_by_name']['desk']['service_class'] = 'hasty'
    result = RUNNER.invoke(
        cli.program, ['check', write_catalogue(tmp_path, invalid), '--json']
    )
    places = [finding['place'] for finding in json.loads(result.stdout)]
    assert result.exit_code == cli.EXIT_FINDINGS
    assert 'version' in places
    assert 'entries_by_name.desk.service_class' in places


def test_missing_file_is_a_finding(tmp_path):
    result = RUNNER.invoke(cli.program, ['check', str(tmp_path / 'none.toml')])
    assert result.exit_code == cli.EXIT_FINDINGS


def test_new_key_matches_its_digest():
    result = RUNNER.invoke(cli.program, ['keys', 'new', '--json'])
    created = json.loads(result.stdout)
    assert digests.digest_of(created['key']) == created['digest']


def test_unreachable_daemon_is_reported_on_stderr():
    result = RUNNER.invoke(cli.program, ['status', '-d', '127.0.0.1:1'])
    assert result.exit_code == cli.EXIT_UNREACHABLE
    assert '127.0.0.1:1' in result.stderr


def test_settings_are_listed_with_type_and_default():
    result = RUNNER.invoke(cli.program, ['settings'])
    assert 'vm.name (str, default: required)' in result.stdout


def make_events(process, first_counter):
    return [
        timeline.Event(
            process, first_counter + step, 1.0, 'x', {'request': f'r{step}'}
        )
        for step in (0, 2)
    ]


def test_timeline_is_merged_and_filtered():
    pages = [
        [event._asdict() for event in make_events('vm1/1/a', 1)],
        [event._asdict() for event in make_events('vm2/1/b', 2)],
    ]
    merged = porcelain.merge_timeline(pages, porcelain.EventFilter())
    filtered = porcelain.merge_timeline(
        pages, porcelain.EventFilter(request='r2')
    )
    assert [event.counter for event in merged] == [1, 2, 3, 4]
    assert [event.counter for event in filtered] == [3, 4]


def test_timeline_page_escapes_field_values():
    event = timeline.Event('vm1/1/a', 1, 1.0, 'x', {'route': '<script>'})
    assert '<script>' not in porcelain.render_timeline([event])


def test_failed_scenario_exits_with_1(tmp_path):
    script = tmp_path / 'wrong.scenario'
    script.write_text('scenario "Nonsense"\nstart nothing\n')
    result = RUNNER.invoke(cli.program, ['scenario', str(script)])
    assert result.exit_code == cli.EXIT_FINDINGS
    assert 'FAILED' in result.stdout
