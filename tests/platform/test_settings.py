from unittest import mock

import pytest

from corianderspar import platform
from corianderspar.platform import __main__ as program
from corianderspar.router import daemon
from corianderspar.router import store_view
from tests.platform import fakes

VALID_SETTINGS = """
node = "front-1"
zone = "z"
region = "r"
ip = "127.0.0.1"
port_range = [7600, 7615]
seeds = ["127.0.0.1:8229"]
unknown = "ignored"
[listen]
front = "127.0.0.1:8221"
ready = "127.0.0.1:8224"
control = "127.0.0.1:8229"
[bounds]
revoke_ms = 4000
budget_slack = 52
quota_slack = 140000
cold_excess = 1.5
cold_slack = 5
[platform]
addr = "127.0.0.1:8225"
"""


def test_settings_are_loaded(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text(VALID_SETTINGS)
    settings = platform.load(path).ok
    assert settings.router.identity.vm == 'front-1'
    assert settings.router.bounds.max_staleness_seconds == 4.0
    assert settings.router.bounds.retry_slack == 52
    assert settings.router.bounds.cold_excess == 1.5
    assert settings.router.bounds.cold_slack == 5
    assert (settings.store_host, settings.store_port) == ('127.0.0.1', 8225)


def test_invalid_settings_give_one_finding(tmp_path):
    path = tmp_path / 'local.toml'
    for text in (
        '',
        'node = ',
        VALID_SETTINGS.replace('node = "front-1"', 'node = 3'),
        VALID_SETTINGS.replace('127.0.0.1:8225', 'nowhere'),
    ):
        path.write_text(text)
        (finding,) = platform.load(path).error
        assert finding.place == str(path) and finding.seen
    assert platform.load(tmp_path / 'missing').is_error()


@pytest.mark.parametrize(
    ('text', 'policy'),
    [
        ('', store_view.StartPolicy.PEERS_AT_RESTART),
        ('bootstrap = true', store_view.StartPolicy.PEERS_AT_FIRST_START),
        ('bootstrap = false', store_view.StartPolicy.PEERS_AT_RESTART),
    ],
)
def test_first_start_of_the_fleet_is_told_from_a_restart(
    tmp_path, text, policy
):
    path = tmp_path / 'local.toml'
    path.write_text(f'{text}\n{VALID_SETTINGS}')
    assert platform.load(path).ok.router.bounds.start_policy is policy


def test_limits_of_callers_follow_from_the_machine(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text(
        f'{VALID_SETTINGS}[limits]\nmemory_mb = 150\nmax_fds = 1000\n'
    )
    limits = platform.load(path).ok.router.limits
    assert limits.callers == (320, 45_000_000, 30.0)
    assert (limits.requests, limits.upstream_connections) == (240, 240)
    assert limits.peer_connections == 200
    with path.open('a') as file:
        file.write('[callers]\nmax_connections = 10\nmax_held_mb = 2.5\n')
    limits = platform.load(path).ok.router.limits
    assert limits.callers == (10, 2_500_000, 30.0)
    path.write_text(f'{VALID_SETTINGS}[callers]\nread_timeout_s = 0\n')
    (finding,) = platform.load(path).error
    assert 'callers.read_timeout_s' in finding.seen


class Body:
    """Stands for the answer of an engine that is being read."""

    def break_off(self, detail):
        raise AssertionError(detail)


async def test_answers_of_engines_do_not_break_off_those_of_the_store(
    tmp_path, monkeypatch
):
    """Guards against a state that ages while callers get large answers."""

    class Daemon:
        def __init__(self, _settings, adapters, pool):
            self.adapters = adapters
            self.pool = pool
            self.app = mock.Mock()

    async def serve(router_daemon, _writer):
        for _ in range(3):
            router_daemon.pool.set_gathered(Body(), 4 * 2**20, 4 * 2**20)
        found.append(await router_daemon.adapters.store.watch(10, 0.1))

    found = []
    monkeypatch.setattr(daemon, 'Daemon', Daemon)
    monkeypatch.setattr(daemon, 'serve', serve)
    server = fakes.FakeStoreServer()
    path = tmp_path / 'local.toml'
    path.write_text(
        VALID_SETTINGS.replace('127.0.0.1:8225', await server.start())
    )
    server.write('op/evacuate/z', b'x' * 5 * 2**20)
    await program.run(platform.load(path).ok, path)
    assert [c.data_centre for c in found[0].ok.changes] == ['z']
    await server.stop()
