import asyncio
import contextlib

import pytest

from corianderspar import http_server
from corianderspar.platform import upstream_calls
from corianderspar.router import connections
from corianderspar.router import model
from corianderspar.router import upstreams
from tests.platform import fakes
from tests.router import endless

TIMEOUT_SECONDS = 5.0  # per step; longer means that it hangs
REQUEST = model.CallerRequest(
    'r1', 'GET', '/x', 'h', '/x', ((b'host', b'h'),), '', 5.0, None, None
)
OPTIONS = upstreams.CallOptions('parish', 5.0)


class _Server:
    """Answers each request with one status and fixed headers."""

    def __init__(self, status, headers, received):
        self._status = status
        self._headers = headers
        self._received = received

    async def __call__(self, scope, receive, send):
        await receive()
        if self._received is not None:
            self._received.append(dict(scope['headers']))
        await fakes.send_reply(send, self._status, {}, self._headers)


async def notices_of(status, headers, options=OPTIONS, received=None):
    server = http_server.HttpServer(
        _Server(status, headers, received), '127.0.0.1:0'
    )
    await server.start()
    host, port = server.address.rsplit(':', 1)
    upstream = model.Upstream(
        'i-1', 'shop', host, int(port), 'z', model.Phase.PLAIN, True, 6
    )
    pool = connections.ConnectionPool()
    calls = upstream_calls.HttpUpstreamCalls(pool)
    found = []
    calls.on_notice.append(lambda _upstream, notice: found.append(notice))
    async with asyncio.timeout(TIMEOUT_SECONDS):
        await calls.run(upstream, REQUEST, options)
        await calls.prefill(upstream, REQUEST, options)
        await calls.release(upstreams.PrefillHandle(upstream, 'abc'))
    pool.close()
    await server.abort()
    return found


@pytest.mark.parametrize(
    'priority, header', [(None, None), (0, b'0'), (2, b'2'), (12, b'9')]
)
async def test_priority_is_sent_if_it_is_known(priority, header):
    """Guards against a rank that engines do not get or cannot read."""
    received = []
    options = OPTIONS._replace(priority=priority)
    await notices_of(200, (), options, received)
    run, prefill, _release = received
    assert run.get(b'x-request-priority') == header
    assert prefill.get(b'x-request-priority') == header


@pytest.mark.parametrize('status', [200, 421, 500, 503])
async def test_leaving_is_read_from_every_answer(status):
    found = await notices_of(status, (('server-leaving', '1'),))
    assert found == [upstreams.Notice(is_leaving=True)] * 3


NOTHING = [upstreams.Notice()] * 3


async def test_answer_that_states_nothing_gives_an_empty_notice():
    assert await notices_of(200, ()) == NOTHING
    assert await notices_of(200, (('server-leaving', '0'),)) == NOTHING


@pytest.mark.parametrize('status', [200, 500, 503])
@pytest.mark.parametrize(
    ('text', 'limit'),
    [('2', 2.0), ('2.6', 2.6), ('0', 0.0), ('.5', 0.5), ('300.', 300.0)],
)
async def test_limit_is_read_from_every_answer(status, text, limit):
    found = await notices_of(status, (('server-limit', text),))
    assert found == [upstreams.Notice(limit=limit)] * 3


@pytest.mark.parametrize(
    'text', ['', 'x', '-1', '1e3', 'nan', 'inf', '2,5', '1_0', '.', '9' * 40]
)
async def test_limit_that_is_no_rate_is_told_from_none(text):
    for found in await notices_of(200, (('server-limit', text),)):
        assert found.limit is None and found.unreadable_limit


@pytest.mark.parametrize('text', ['1200', '0.5'])
async def test_cold_time_is_read_from_every_answer(text):
    found = await notices_of(200, (('x-cold-ms', text),))
    assert found == [upstreams.Notice(cold_left=float(text) / 1000)] * 3


@pytest.mark.parametrize('text', ['', 'soon', '-3', 'nan', '1e9'])
async def test_cold_time_that_is_none_is_told_from_none(text):
    for found in await notices_of(200, (('x-cold-ms', text),)):
        assert found.cold_left == 0.0 and found.unreadable_cold


@pytest.mark.parametrize(
    ('text', 'notice'),
    [
        ('3', upstreams.Notice(pause=3.0)),
        ('0.25', upstreams.Notice(pause=0.25)),
        ('soon', upstreams.Notice(unreadable_pause='soon')),
    ],
)
async def test_pause_is_read_from_a_refusal(text, notice):
    headers = (('x-not-run', '1'), ('retry-after', text))
    assert await notices_of(503, headers) == [notice] * 3


async def test_report_or_prefill_that_is_nested_too_deep_is_a_failure():
    """Guards against requests that end as internal faults."""
    body = b'[' * 2000 + b']' * 2000

    async def answer(scope, receive, send):
        await receive()
        await fakes.send_head(send, 200, (STAMP,))
        await fakes.send_chunk(send, body, False)

    server = http_server.HttpServer(answer, '127.0.0.1:0')
    await server.start()
    host, port = server.address.rsplit(':', 1)
    upstream = model.Upstream(
        'i-1', 'llm', host, int(port), 'z', model.Phase.PREFILL, True, 6
    )
    pool = connections.ConnectionPool()
    calls = upstream_calls.HttpUpstreamCalls(pool)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        for found in (
            await calls.started_ms(upstream),
            await calls.prefill(upstream, REQUEST, OPTIONS),
        ):
            assert found.error.fault is upstreams.Fault.BROKEN
    pool.close()
    await server.abort()


async def test_retry_time_of_another_answer_is_no_pause():
    assert await notices_of(200, (('retry-after', '3'),)) == NOTHING


async def test_other_instance_at_the_address_is_recognised():
    found = await notices_of(421, (('x-instance-id', 'i-2'),))
    assert found == [upstreams.Notice(is_replaced=True)] * 3
    assert not await notices_of(421, (('x-instance-id', 'i-1'),))


@contextlib.asynccontextmanager
async def calls_to_endless_server(start, piece, interval=0.0):
    async with endless.EndlessServer(start, piece, interval) as server:
        upstream = model.Upstream(
            'i-1',
            'shop',
            '127.0.0.1',
            server.port,
            'z',
            model.Phase.PLAIN,
            True,
            6,
        )
        pool = connections.ConnectionPool()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            yield upstream_calls.HttpUpstreamCalls(pool), upstream, server
            await server.client_closed.wait()
        pool.close()


async def test_endless_answer_is_broken_off_at_the_size_of_the_request():
    options = OPTIONS._replace(max_answer_bytes=10**6)
    async with calls_to_endless_server(
        endless.CHUNKED % (200, b''), endless.chunk(b'x' * 8000)
    ) as (calls, upstream, server):
        answer = (await calls.run(upstream, REQUEST, options)).ok
        size = 0
        with pytest.raises(connections.UpstreamError):
            async for part in answer.chunks():
                size += len(part)
        answer.close()
        assert 10**6 < size < 2 * 10**6


async def test_endless_reply_to_a_prefill_or_a_release_is_broken_off():
    async with calls_to_endless_server(
        endless.CHUNKED % (200, b''), endless.chunk(b'x' * 8000)
    ) as (calls, upstream, server):
        failure = (await calls.prefill(upstream, REQUEST, OPTIONS)).error
        assert failure.detail == 'body too long'
        await calls.release(upstreams.PrefillHandle(upstream, 'abc'))
        assert server.requests == 2
        assert server.sent_bytes < 20 * endless.MIB


@pytest.mark.parametrize('interval', [0.0, 0.02], ids=['fast', 'slow'])
async def test_endless_text_of_a_refusal_does_not_delay_it(interval):
    async with calls_to_endless_server(
        endless.CHUNKED % (503, b'x-not-run: 1\r\n'),
        endless.chunk(b'full ' * 20),
        interval,
    ) as (calls, upstream, server):
        failure = (await calls.run(upstream, REQUEST, OPTIONS)).error
        assert failure.fault is upstreams.Fault.REFUSED
        assert 'text lost' in failure.detail
        assert server.sent_bytes < endless.MIB


@pytest.mark.parametrize(
    ('head', 'is_framed'),
    [
        (b'content-length: 1\r\n\r\nx', True),
        (b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n', True),
        (b'\r\nx', False),
    ],
)
async def test_answer_that_ends_with_its_connection_is_recognised(
    head, is_framed
):
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n' + head)
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    upstream = model.Upstream(
        'i-1', 'shop', '127.0.0.1', port, 'z', model.Phase.PLAIN, True, 6
    )
    pool = connections.ConnectionPool()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        found = await upstream_calls.HttpUpstreamCalls(pool).run(
            upstream, REQUEST, OPTIONS
        )
    assert found.ok.is_framed == is_framed
    found.ok.close()
    pool.close()
    server.close()


@pytest.mark.parametrize(
    ('status', 'body', 'started_ms'),
    [
        (200, {'born': 1787771337889, 'phase': 'decode'}, 1787771337889),
        (200, {'phase': 'decode'}, 0),
        (200, {'born': 'soon'}, None),
        (421, {'born': 1787771337889}, None),
    ],
)
async def test_start_of_a_process_is_read_from_its_report(
    status, body, started_ms
):
    async def answer(scope, receive, send):
        await receive()
        assert scope['path'] == '/-/report'
        await fakes.send_reply(send, status, body)

    server = http_server.HttpServer(answer, '127.0.0.1:0')
    await server.start()
    host, port = server.address.rsplit(':', 1)
    upstream = model.Upstream(
        'i-1', 'llm', host, int(port), 'z', model.Phase.DECODE, True, 6
    )
    pool = connections.ConnectionPool()
    calls = upstream_calls.HttpUpstreamCalls(pool)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        found = await calls.started_ms(upstream)
    pool.close()
    await server.abort()
    assert (found.ok if found.is_ok() else None) == started_ms


@pytest.mark.parametrize(
    ('phase', 'is_forwarded'),
    [
        (model.Phase.PLAIN, True),
        (model.Phase.PREFILL, False),
        (model.Phase.DECODE, False),
    ],
)
async def test_engines_are_not_asked_for_compressed_events(
    phase, is_forwarded
):
    """The end of an event can't be found in a compressed stream."""
    names = set()

    async def answer(scope, receive, send):
        await receive()
        names.update(name for name, _value in scope['headers'])
        await fakes.send_reply(send, 200, {})

    server = http_server.HttpServer(answer, '127.0.0.1:0')
    await server.start()
    host, port = server.address.rsplit(':', 1)
    upstream = model.Upstream(
        'i-1', 'llm', host, int(port), 'z', phase, True, 6
    )
    pool = connections.ConnectionPool()
    request = REQUEST._replace(
        headers=((b'host', b'h'), (b'accept-encoding', b'gzip'))
    )
    async with asyncio.timeout(TIMEOUT_SECONDS):
        await upstream_calls.HttpUpstreamCalls(pool).run(
            upstream, request, OPTIONS
        )
    assert (b'accept-encoding' in names) == is_forwarded
    pool.close()
    await server.abort()


NOT_RUN = ('x-not-run', '1')
STAMP = ('x-response-stamp', 'stamp.1')


@pytest.mark.parametrize(
    ('status', 'headers', 'is_refused'),
    [
        (503, (NOT_RUN,), True),
        (429, (NOT_RUN,), True),
        (200, (NOT_RUN,), False),
        (500, (('x-not-run', '0'),), False),
        (503, (STAMP,), False),
        (421, (), True),
        (421, (NOT_RUN, STAMP, ('x-instance-id', 'i-1')), True),
        (421, (STAMP, ('x-instance-id', 'i-2')), True),
        (421, (STAMP,), False),
        (421, (('x-instance-id', 'i-1'),), False),
    ],
)
async def test_answer_of_a_request_that_may_have_run_is_no_refusal(
    status, headers, is_refused
):
    """A refused request is sent again."""
    server = http_server.HttpServer(
        _Server(status, headers, []), '127.0.0.1:0'
    )
    await server.start()
    host, port = server.address.rsplit(':', 1)
    upstream = model.Upstream(
        'i-1', 'shop', host, int(port), 'z', model.Phase.PLAIN, True, 6
    )
    pool = connections.ConnectionPool()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        found = await upstream_calls.HttpUpstreamCalls(pool).run(
            upstream, REQUEST, OPTIONS
        )
    assert found.is_error() == is_refused
    if found.is_ok():
        found.ok.close()
    pool.close()
    await server.abort()


async def test_report_leaves_the_connections_of_requests_alone():
    """Guards against a new connection for the request after a report."""

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                echo = b''
                if b'GET /x' in head:
                    echo = b'x-request-id: r%d\r\n' % (1 + (b'r2' in head))
                writer.write(
                    b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n'
                    + echo
                    + b'\r\n{"born":7}'
                )
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    upstream = model.Upstream(
        'i-1', 'llm', '127.0.0.1', port, 'z', model.Phase.DECODE, True, 6
    )
    pool = connections.ConnectionPool()
    calls = upstream_calls.HttpUpstreamCalls(pool)
    connected_at = set()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        for number in ('r1', 'r2'):
            request = REQUEST._replace(request_id=number, target=f'/x{number}')
            found = (await calls.run(upstream, request, OPTIONS)).ok
            connected_at.add(found.connected_at)
            await found.read(100)
            found.close()
            assert (await calls.started_ms(upstream)).ok == 7
    assert len(connected_at) == 1
    assert pool.opened == 3
    pool.close()
    server.close()
