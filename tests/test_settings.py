"""Tests of the daemon's settings."""

import pytest

from corianderspar import settings

VALID_TOML = """
[vm]
name = "ev1"
data_centre = "szeged"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7000"
[platform]
addresses = ["127.0.0.1:9000"]
"""


def test_omitted_settings_get_their_defaults(tmp_path):
    path = tmp_path / 'daemon.toml'
    path.write_text(VALID_TOML)
    loaded = settings.load(path).ok
    assert loaded.vm.region == 'default'
    assert loaded.limits.requests == 4096


def test_all_findings_are_reported_at_once(tmp_path):
    path = tmp_path / 'daemon.toml'
    path.write_text(
        VALID_TOML.replace('127.0.0.1:8080', 'localhost:80').replace(
            '"ev1"', '"EV!"'
        )
        + '[limits]\nrequests = 0\nrequsts = 3\n'
    )
    places = [finding.place for finding in settings.load(path).error]
    assert places == [
        f'{path}: vm.name',
        f'{path}: listen.callers',
        f'{path}: limits.requests',
        f'{path}: limits.requsts',
    ]


def test_peers_off_loopback_need_tls(tmp_path):
    path = tmp_path / 'daemon.toml'
    path.write_text(VALID_TOML.replace('127.0.0.1:7000', '10.0.0.7:7000'))
    (finding,) = settings.load(path).error
    assert finding.place == f'{path}: tls'


@pytest.mark.parametrize('text', ['[vm', 'vm = 3'])
def test_malformed_settings_are_rejected(tmp_path, text):
    path = tmp_path / 'daemon.toml'
    path.write_text(text)
    assert settings.load(path).is_error()


def test_missing_file_is_a_finding(tmp_path):
    (finding,) = settings.load(tmp_path / 'none.toml').error
    assert finding.allowed == 'a readable file'


def test_every_setting_has_a_description():
    descriptions = settings.explain()
    assert {description.key for description in descriptions} >= {
        'vm.name',
        'tls.ca',
    }
    assert all(description.meaning for description in descriptions)
