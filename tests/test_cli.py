"""Tests of the operator's command line."""

import json

from typer import testing

from corianderspar import cli
from corianderspar import digests
from corianderspar import porcelain
from corianderspar import timeline

RUNNER = testing.CliRunner()

GOOD = {
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


def write(tmp_path, document):
    path = tmp_path / 'catalogue.json'
    path.write_text(json.dumps(document))
    return str(path)


def test_a_good_catalogue_has_no_findings(tmp_path):
    done = RUNNER.invoke(cli.program, ['check', write(tmp_path, GOOD)])
    assert done.exit_code == 0
    assert 'no findings' in done.stdout


def test_all_findings_are_told_with_their_place(tmp_path):
    bad = json.loads(json.dumps(GOOD))
    bad['version'] = 0
    bad['entries_by_name']['desk']['service_class'] = 'hasty'
    done = RUNNER.invoke(
        cli.program, ['check', write(tmp_path, bad), '--json']
    )
    places = [finding['place'] for finding in json.loads(done.stdout)]
    assert done.exit_code == cli.EXIT_FINDINGS
    assert 'version' in places
    assert 'entries_by_name.desk.service_class' in places


def test_a_file_that_is_not_there_is_a_finding(tmp_path):
    done = RUNNER.invoke(cli.program, ['check', str(tmp_path / 'none.toml')])
    assert done.exit_code == cli.EXIT_FINDINGS


def test_a_new_key_fits_its_digest():
    done = RUNNER.invoke(cli.program, ['keys', 'new', '--json'])
    made = json.loads(done.stdout)
    assert digests.digest_of(made['key']) == made['digest']


def test_a_daemon_that_is_not_there_is_told():
    done = RUNNER.invoke(cli.program, ['status', '-d', '127.0.0.1:1'])
    assert done.exit_code == cli.EXIT_UNREACHABLE
    assert '127.0.0.1:1' in done.stderr


def test_settings_are_explained():
    done = RUNNER.invoke(cli.program, ['settings'])
    assert 'vm.name (str, default: required)' in done.stdout


def events(process, start):
    return [
        timeline.Event(
            process, start + step, 1.0, 'x', {'request': f'r{step}'}
        )
        for step in (0, 2)
    ]


def test_the_timeline_is_merged_and_filtered():
    pages = [
        [event._asdict() for event in events('vm1/1/a', 1)],
        [event._asdict() for event in events('vm2/1/b', 2)],
    ]
    merged = porcelain.merge_timeline(pages, porcelain.EventFilter())
    only = porcelain.merge_timeline(pages, porcelain.EventFilter(request='r2'))
    assert [event.counter for event in merged] == [1, 2, 3, 4]
    assert [event.counter for event in only] == [3, 4]


def test_the_timeline_page_escapes_what_it_shows():
    event = timeline.Event('vm1/1/a', 1, 1.0, 'x', {'route': '<script>'})
    assert '<script>' not in porcelain.render_timeline([event])


def test_a_scenario_that_does_not_hold_exits_with_1(tmp_path):
    script = tmp_path / 'wrong.scenario'
    script.write_text('scenario "Nonsense"\nstart nothing\n')
    done = RUNNER.invoke(cli.program, ['scenario', str(script)])
    assert done.exit_code == cli.EXIT_FINDINGS
    assert 'FAILED' in done.stdout
