from corianderspar import platform

GOOD = """
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
[platform]
addr = "127.0.0.1:8225"
"""


def test_settings_are_read(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text(GOOD)
    found = platform.load(path).ok
    assert found.router.identity.vm == 'front-1'
    assert found.router.bounds.max_staleness_seconds == 4.0
    assert found.router.bounds.retry_slack == 52
    assert (found.store_host, found.store_port) == ('127.0.0.1', 8225)


def test_bad_settings_are_one_clear_finding(tmp_path):
    path = tmp_path / 'local.toml'
    for text in (
        '',
        'node = ',
        GOOD.replace('node = "front-1"', 'node = 3'),
        GOOD.replace('127.0.0.1:8225', 'nowhere'),
    ):
        path.write_text(text)
        (finding,) = platform.load(path).error
        assert finding.place == str(path) and finding.seen
    assert platform.load(tmp_path / 'missing').is_error()
