"""Upstream connections, against servers on real sockets."""

import asyncio

import pytest

from corianderspar.router import connections

SECONDS = 5.0  # no step takes longer unless it hangs
CALL = connections.Request(
    'GET', '/x', ((b'host', b'h'), (b'id', b'r1')), b'', (b'id', b'r1')
)


class Server:
    """Answers the n-th request of each connection with the n-th script."""

    def __init__(self, *answers):
        self.answers = answers
        self.requests = 0
        self.accepted = 0
        self.left = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.pool = connections.ConnectionPool()
        return self

    async def __aexit__(self, *_):
        self.pool.close()
        self._server.close()

    async def call(self, call=CALL):
        async with asyncio.timeout(SECONDS):
            return await self.pool.send('127.0.0.1', self.port, call)

    async def get(self, call=CALL):
        async with await self.call(call) as reply:
            async with asyncio.timeout(SECONDS):
                return reply.status, await reply.read(10**6)

    async def _serve(self, reader, writer):
        self.accepted += 1
        try:
            for answer in self.answers:
                await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.left.set()
            writer.close()


def ok(body=b'hello', request_id=b'r1', extra=b''):
    return b'HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: %d\r\n%s\r\n%s' % (
        request_id,
        len(body),
        extra,
        body,
    )


async def test_connections_are_kept():
    async with Server(ok(), ok()) as server:
        assert await server.get() == (200, b'hello')
        assert await server.get() == (200, b'hello')
        assert server.accepted == 1 == server.pool.opened


async def test_a_closed_kept_connection_is_not_used():
    async with Server(ok()) as server:
        await server.get()
        await asyncio.sleep(0.05)
        assert await server.get() == (200, b'hello')
        assert server.accepted == 2


async def test_nothing_is_sent_again_after_a_reset():
    async with Server(ok(), None) as server:
        await server.get()
        server.answers = (ok(), None)
        with pytest.raises(connections.UpstreamError) as caught:
            await server.get()
        assert caught.value.sent
        assert server.requests == 2 and server.accepted == 1


async def test_a_refused_connection_was_not_sent():
    async with Server() as server:
        pass
    with pytest.raises(connections.UpstreamError) as caught:
        await server.call()
    assert not caught.value.sent


async def test_an_answer_to_another_request_is_skipped():
    late = ok(b'not mine', b'r0')
    async with Server(late + ok()) as server:
        assert await server.get() == (200, b'hello')


async def test_an_extra_answer_ends_the_connection():
    async with Server(ok() + ok(b'not mine', b'r0'), ok()) as server:
        assert await server.get() == (200, b'hello')
        await asyncio.sleep(0.05)
        assert await server.get() == (200, b'hello')
        assert server.accepted == 2


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
        b'no http at all\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nbad header\r\n\r\n',
        b'',
    ],
)
async def test_a_torn_answer_is_never_whole(answer):
    async with Server(answer) as server:
        with pytest.raises(connections.UpstreamError) as caught:
            await server.get()
        assert caught.value.sent


async def test_an_answer_without_length_ends_with_its_connection():
    async with Server(
        b'HTTP/1.1 200 OK\r\nid: r1\r\n\r\nto the end'
    ) as server:
        assert await server.get() == (200, b'to the end')
        await server.get()
        assert server.accepted == 2


async def test_a_stated_timeout_is_halved():
    async with Server(ok(extra=b'keep-alive: timeout=0\r\n'), ok()) as server:
        await server.get()
        await server.get()
        assert server.accepted == 2


async def test_closing_a_reply_ends_the_upstreams_work():
    endless = (
        b'HTTP/1.1 200 OK\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n'
        b'5\r\nhello\r\n'
    )
    async with Server(endless, ok()) as server:
        reply = await server.call()
        assert await anext(reply.chunks()) == b'hello'
        reply.close()
        async with asyncio.timeout(SECONDS):
            await server.left.wait()


async def test_idle_connections_are_closed(monkeypatch):
    monkeypatch.setattr(connections, 'IDLE_TIMEOUT_SECONDS', 0.05)
    async with Server(ok(), ok()) as server:
        await server.get()
        await asyncio.sleep(0.1)
        server.pool.close_idle()
        await server.get()
        assert server.accepted == 2


async def test_a_connection_that_was_opened_ahead_carries_the_next_call():
    async with Server(ok(), ok()) as server:
        place = '127.0.0.1', server.port
        key = f'127.0.0.1:{server.port}'
        await server.pool.preconnect(*place, key)
        await server.pool.preconnect(*place, key)
        await server.get()
        await server.pool.preconnect(*place, key)
        await server.get()
        assert (server.pool.opened, server.accepted) == (1, 1)


async def test_a_closed_port_is_not_reached_and_nothing_was_sent():
    async with Server() as server:
        port = server.port
    pool = connections.ConnectionPool()
    with pytest.raises(connections.UpstreamError) as caught:
        await pool.preconnect('127.0.0.1', port, 'key')
    assert not caught.value.sent
