from corianderspar import http_io
from corianderspar import problems
from corianderspar.platform import caller_format  # noqa: H306


def _head(*headers):
    scope = {
        'method': 'POST',
        'raw_path': b'/a/b%20c',
        'query_string': b'q=1',
        'headers': [(n.encode(), v.encode()) for n, v in headers],
    }
    exchange = http_io.Exchange(scope, None, None, 1.0)
    return caller_format.HttpCallerFormat().read_head(exchange)


ID = ('x-request-id', 'r1')


def test_a_head_is_decoded():
    found = _head(
        ID,
        ('host', 'h.example'),
        ('x-deadline-ms', '14000'),
        ('x-api-key', 'secret'),
        ('x-token-count', '1460,80'),
        ('x-length-hint', '40'),
        ('last-event-id', '12'),
        ('x-model', 'm'),
    ).ok
    assert found.target == '/a/b%20c?q=1'
    assert found.timeout == 14.0
    assert (found.token_counts.prompt, found.token_counts.max_output) == (
        1460,
        80,
    )
    assert found.token_counts.expected_output == 40 and found.after_event == 12
    assert (b'x-model', b'm') in found.headers


def test_what_only_we_may_set_is_not_passed_on():
    found = _head(
        ID,
        ('x-tenant', 'other'),
        ('x-stage', 'prefill'),
        ('x-kv-from', '1.2.3.4:1/x'),
        ('x-kv-hold', 'x'),
        ('x-kv-backup', 'x'),
        ('x-pin-ms', '4'),
        ('x-api-key', 'secret'),
        ('connection', 'keep-alive, x-hop'),
        ('x-hop', '1'),
        ('transfer-encoding', 'chunked'),
        ('content-length', '3'),
        ('x-other', 'kept'),
    ).ok
    assert found.headers == ((b'x-request-id', b'r1'), (b'x-other', b'kept'))


def test_odd_heads_are_refused_and_did_not_run():
    for headers in (
        (),
        (ID, ('x-deadline-ms', 'soon')),
        (ID, ('x-token-count', '12')),
        (ID, ('last-event-id', 'x')),
    ):
        found = _head(*headers)
        assert found.error.status == 400 and found.error.ran == 'no'


def test_a_refusal_says_when_to_come_back():
    problem = problems.Problem('no_room', 503, 'no', 'full', 1.25)
    headers, body = caller_format.HttpCallerFormat().error_answer(
        'r1', problem
    )
    assert ('retry-after', '1.25') in headers
    assert body == b'no_room: full\n'
