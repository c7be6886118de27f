"""Tests of the HTTP client of plain services over loopback sockets."""

import asyncio
import socket

from corianderspar import clock
from corianderspar import plain_client
from corianderspar import plain_http


def make_call(**changes):
    default = plain_client.PlainCall(
        'vm1/1/a#p1', 'POST', '/orders/a%20b', 'x=1', (), b'three', 5.0
    )
    return default._replace(**changes)


async def read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            length = int(line.split(b':')[1])
    return head + await reader.readexactly(length)


class Upstream:
    """Answers each connection with fixed bytes and closes it."""

    def __init__(self, reply, read=True):
        self.requests = []
        self._reply = reply
        self._read = read

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *_exception):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        if self._read:
            self.requests.append(await read_request(reader))
        if self._reply is None:
            await reader.read()
        else:
            writer.write(self._reply)
        writer.close()


REPLY = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: 1\r\n'
    b'X-Own: yes\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\ndone'
)


async def exchange(reply, client_options=None, read=True, **changes):
    async with Upstream(reply, read) as upstream:
        client = plain_http.HttpPlainClient(
            upstream.address, **(client_options or {})
        )
        result = await client.send(make_call(**changes))
        return result, upstream


async def test_reply_is_complete_and_without_hop_by_hop_headers():
    result, upstream = await exchange(REPLY)
    headers = {name.lower(): value for name, value in result.ok.headers}
    assert (result.ok.status, result.ok.body) == (200, b'done')
    assert headers == {'content-length': '4', 'x-own': 'yes'}
    assert upstream.requests[0].startswith(b'POST /orders/a%20b?x=1 HTTP/1.1')


async def test_hop_by_hop_headers_are_not_forwarded():
    headers = (
        ('Connection', 'X-Hop, close'),
        ('X-Hop', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('Host', 'elsewhere'),
        ('Content-Length', '99'),
        ('X-Request-Id', 'forged'),
        ('Accept', 'text/plain'),
    )
    _result, upstream = await exchange(REPLY, headers=headers)
    request = upstream.requests[0].lower()
    lines = request.split(b'\r\n')
    assert b'accept: text/plain' in lines
    assert b'content-length: 5' in lines
    assert b'x-request-id: vm1/1/a#p1' in lines
    assert b'connection: close' in lines
    for absent in (b'x-hop', b'transfer-encoding', b'elsewhere', b'forged'):
        assert absent not in request


async def test_each_request_has_its_own_connection():
    reply = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    async with Upstream(reply) as upstream:
        client = plain_http.HttpPlainClient(upstream.address)
        for _time in range(3):
            assert (await client.send(make_call())).is_ok()
        assert len(upstream.requests) == 3


async def test_refused_connection_counts_as_not_sent():
    with socket.socket() as bound_socket:
        bound_socket.bind(('127.0.0.1', 0))
        host, port = bound_socket.getsockname()
        client = plain_http.HttpPlainClient(f'{host}:{port}')
        result = await client.send(make_call())
    assert result.error == plain_client.PlainError('unreachable', False)


async def test_connection_closed_without_reply_counts_as_sent():
    for read in (True, False):
        result, _upstream = await exchange(b'', read=read)
        assert result.error == plain_client.PlainError('died', True)


async def test_truncated_reply_is_an_error():
    truncated = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort'
    result, _upstream = await exchange(truncated)
    assert result.error == plain_client.PlainError('died', True)


async def test_timeout_after_sending_counts_as_sent():
    result, _upstream = await exchange(None, timeout=0.2)
    assert result.error == plain_client.PlainError('timeout', True)


async def test_nothing_is_sent_if_deadline_passes_before_first_byte():
    class SuspendedClock(clock.SystemClock):
        """Jumps an hour after the first reading, as in a suspended VM."""

        readings = 0

        def monotonic(self):
            self.readings += 1
            return 3600.0 * (self.readings > 1)

    result, upstream = await exchange(REPLY, {'clock': SuspendedClock()})
    assert result.error == plain_client.PlainError('timeout', False)
    assert upstream.requests == []


async def test_leaving_upstream_is_distinguished_from_other_503():
    reply = (
        b'HTTP/1.1 503 Unavailable\r\nConnection: close\r\n'
        b'Upstream-Leaving: not-run\r\nContent-Length: 0\r\n\r\n'
    )
    result, _upstream = await exchange(reply)
    assert result.error == plain_client.PlainError('leaving', True)
    other_503 = reply.replace(b'Upstream-Leaving: not-run\r\n', b'')
    result, _upstream = await exchange(other_503)
    assert result.ok.status == 503


async def test_reply_over_the_limit_is_an_error():
    result, _upstream = await exchange(REPLY, {'max_reply_bytes': 3})
    assert result.error == plain_client.PlainError('too_large', True)


async def test_request_that_is_not_valid_http_is_invalid():
    for changes in (
        {'path': '/caf\xe9'},
        {'headers': (('na\nme', 'x'),)},
        {'method': 'GE T'},
    ):
        result, upstream = await exchange(REPLY, **changes)
        assert result.error.code == 'invalid', changes
        assert upstream.requests == []
