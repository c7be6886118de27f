"""HTTP/1.1 to upstreams, telling "not sent" from "may have run".

Nothing here sends a request a second time. A library with a pool of its
own may do so on a kept connection that the upstream closed, which would
run a request twice; so connections are kept here, over the h11 parser.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import re
import socket
from typing import NamedTuple
from typing import Self

import h11

CONNECT_SECONDS = 0.4  # 140 times the way across two data centres
PRECONNECT_TIMEOUT_SECONDS = (
    0.1  # 35 times that way, for one who may choose another
)
SILENT_MS = 1000  # TCP_USER_TIMEOUT; two losses in a row take 600 ms
IDLE_TIMEOUT_SECONDS = (
    4.0  # of a kept connection whose upstream states no timeout
)
IDLE_SHARE = 0.5  # of a stated timeout, before the upstream can act on it
KEPT_PER_UPSTREAM = 8  # one front's usual parallel calls to one upstream
EXTRA_ANSWERS = 4  # answers to other requests that are skipped
READ_AHEAD_BYTES = 256 * 1024  # reading pauses above it

Headers = tuple[tuple[bytes, bytes], ...]
_TIMEOUT = re.compile(rb'timeout=(\d+)')


class UpstreamError(Exception):
    """No whole answer came.

    Parameters
    ----------
    detail : str
        For the log.
    sent : bool
        Whether any byte of the request may have left.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent


class Request(NamedTuple):
    """A request for an upstream.

    Attributes
    ----------
    method, target : str
        Sent unchanged.
    headers : tuple of (bytes, bytes)
        Without those that frame the body.
    body : bytes
        The whole body.
    echo : tuple of (bytes, bytes) or None
        A header in lower case that the upstream repeats in its answer. An
        answer with another value belongs to another request.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    echo: tuple[bytes, bytes] | None = None


class _Connection(asyncio.Protocol):
    """One connection; carries one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.idle_limit = IDLE_TIMEOUT_SECONDS
        self.is_lost = False
        self._error: Exception | None = None
        self._has_ended = False
        self._received: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._arrival = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        found = transport.get_extra_info('socket')
        with contextlib.suppress(OSError):
            # Without it a peer behind a partition looks alive for minutes.
            found.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS
            )

    def data_received(self, data: bytes) -> None:
        self._received.append(data)
        self._waiting_bytes += len(data)
        if self._waiting_bytes > READ_AHEAD_BYTES:
            assert self.transport is not None
            self.transport.pause_reading()
        self._arrival.set()

    def eof_received(self) -> bool:
        self._has_ended = True
        self._arrival.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self._has_ended = True
        self._error = self._error or exc
        self._arrival.set()

    @property
    def is_quiet(self) -> bool:
        """Whether nothing arrived and nothing waits to leave."""
        assert self.transport is not None
        return not (
            self._received
            or self._has_ended
            or self.transport.is_closing()
            or self.transport.get_write_buffer_size()
        )

    def write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    async def read(self) -> bytes:
        """Return what arrived next; empty at the end.

        Raises
        ------
        UpstreamError
            If the connection was reset.
        """
        while not self._received:
            if self._error is not None:
                raise UpstreamError(f'reset: {self._error!r}', sent=True)
            if self._has_ended:
                return b''
            self._arrival.clear()
            await self._arrival.wait()
        data = self._received.popleft()
        self._waiting_bytes -= len(data)
        if not self._received and not self.is_lost:
            assert self.transport is not None
            self.transport.resume_reading()
        return data

    def push_back(self, data: bytes) -> None:
        if data:
            self._received.appendleft(data)
            self._waiting_bytes += len(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Response:
    """An upstream's answer while it arrives.

    Attributes
    ----------
    status : int
        Of the final response.
    headers : tuple of (bytes, bytes)
        Names in lower case.
    """

    def __init__(
        self, pool: 'ConnectionPool', key: str, connection: _Connection
    ) -> None:
        self.status = 0
        self.headers: Headers = ()
        self._pool = pool
        self._key = key
        self._connection = connection
        self._parser = h11.Connection(h11.CLIENT)
        self._is_done = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of that lower-case name."""
        return next((v for n, v in self.headers if n == name), None)

    async def __aenter__(self) -> Self:
        """Return itself; the end closes or keeps the connection."""
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """End the call."""
        self.close()

    async def start(self, call: Request) -> None:
        """Send the request and read the head of its answer.

        Raises
        ------
        UpstreamError
            If there is none.
        """
        framed = list(call.headers)
        if call.body or call.method not in ('GET', 'HEAD', 'DELETE'):
            framed.append((b'content-length', b'%d' % len(call.body)))
        request = h11.Request(
            method=call.method, target=call.target, headers=framed
        )
        data = self._parser.send(request) or b''
        if call.body:
            data += self._parser.send(h11.Data(call.body)) or b''
        data += self._parser.send(h11.EndOfMessage()) or b''
        self._connection.write(data)
        for _skipped in range(EXTRA_ANSWERS):
            await self._read_head()
            if not self._is_foreign(call):
                return
            await self._skip(request)
        raise UpstreamError('only answers to other requests', sent=True)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes as they come; return at its whole end.

        Raises
        ------
        UpstreamError
            If it broke off.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self._is_done = True
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def read(self, most_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        UpstreamError
            If it broke off or is longer than ``most_bytes``.
        """
        parts: list[bytes] = []
        size = 0
        async for part in self.chunks():
            size += len(part)
            if size > most_bytes:
                raise UpstreamError('body too long', sent=True)
            parts.append(part)
        return b''.join(parts)

    def close(self) -> None:
        """Keep the connection if the answer is whole, or close it."""
        is_whole = (
            self._is_done
            and self._parser.their_state is h11.DONE
            and self._parser.our_state is h11.DONE
            and self._parser.trailing_data == (b'', False)
            and self._connection.is_quiet
        )
        stated = self.header(b'keep-alive')
        found = _TIMEOUT.search(stated) if stated else None
        limit = IDLE_TIMEOUT_SECONDS
        if found:
            limit = min(limit, int(found.group(1)) * IDLE_SHARE)
        if is_whole and limit > 0:
            self._connection.idle_limit = limit
            self._pool.keep(self._key, self._connection)
        else:
            self._connection.abort()

    async def _read_head(self) -> None:
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise UpstreamError('ended without an answer', sent=True)
        self.status = event.status_code
        self.headers = tuple(event.headers)

    async def _next_event(self) -> h11.Event:
        try:
            while True:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    break
                self._parser.receive_data(await self._connection.read())
        except h11.RemoteProtocolError as error:
            raise UpstreamError(f'no answer: {error}', sent=True) from error
        if not isinstance(event, h11.Event) or isinstance(
            event, h11.ConnectionClosed
        ):
            raise UpstreamError('closed', sent=True)
        return event

    def _is_foreign(self, call: Request) -> bool:
        if call.echo is None:
            return False
        name, value = call.echo
        return self.header(name) not in (None, value)

    async def _skip(self, request: h11.Request) -> None:
        """Drop an answer to another request and await the next one.

        The parser allows one answer a request, so a fresh one takes over
        with the bytes that followed.
        """
        async for _part in self.chunks():
            pass
        if self._parser.their_state is not h11.DONE:
            raise UpstreamError('closed after another answer', sent=True)
        rest, _is_closed = self._parser.trailing_data
        self._is_done = False
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=[(b'host', b'x')],
            )
        )
        self._parser.send(h11.EndOfMessage())
        self._connection.push_back(rest)


class ConnectionPool:
    """Kept connections to upstreams.

    Attributes
    ----------
    opened : int
        Connections that were opened.
    """

    def __init__(self) -> None:
        self.opened = 0
        self._kept_by_key: dict[str, list[_Connection]] = {}

    async def send(
        self, host: str, port: int, call: Request, key: str = ''
    ) -> Response:
        """Send a request; return its answer as far as its head.

        Parameters
        ----------
        host, port : str, int
            Where to.
        call : Request
            What.
        key : str
            What connections are kept by, such as the instance behind the
            address; empty for the address itself.

        Raises
        ------
        UpstreamError
            If no answer began.
        """
        key = key or f'{host}:{port}'
        connection = self._take(key) or await self._open(host, port)
        reply = Response(self, key, connection)
        try:
            await reply.start(call)
        except BaseException:
            connection.abort()
            raise
        return reply

    async def preconnect(self, host: str, port: int, key: str) -> None:
        """Have a connection kept for a call that comes soon.

        Raises
        ------
        UpstreamError
            If the upstream did not take one in `PRECONNECT_TIMEOUT_SECONDS`.
        """
        connection = self._take(key)
        if connection is None:
            connection = await self._open(
                host, port, PRECONNECT_TIMEOUT_SECONDS
            )
            connection.idle_since = asyncio.get_running_loop().time()
        self._kept_by_key.setdefault(key, []).append(connection)

    def keep(self, key: str, connection: _Connection) -> None:
        """Keep a connection on which nothing is outstanding."""
        kept = self._kept_by_key.setdefault(key, [])
        if len(kept) >= KEPT_PER_UPSTREAM:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        kept.append(connection)

    def drop(self, key: str) -> None:
        """Close what is kept for a key."""
        for connection in self._kept_by_key.pop(key, ()):
            connection.abort()

    def close(self) -> None:
        """Close all kept connections."""
        for key in list(self._kept_by_key):
            self.drop(key)

    def close_idle(self) -> None:
        """Close the connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for key, kept in list(self._kept_by_key.items()):
            fresh = [c for c in kept if self._is_usable(c, now)]
            for connection in kept:
                if connection not in fresh:
                    connection.abort()
            if fresh:
                self._kept_by_key[key] = fresh
            else:
                del self._kept_by_key[key]

    def _take(self, key: str) -> _Connection | None:
        kept = self._kept_by_key.get(key, [])
        now = asyncio.get_running_loop().time()
        while kept:
            connection = kept.pop()
            if self._is_usable(connection, now):
                return connection
            connection.abort()
        return None

    def _is_usable(self, connection: _Connection, now: float) -> bool:
        idle = now - connection.idle_since
        return connection.is_quiet and idle < connection.idle_limit

    async def _open(
        self, host: str, port: int, seconds: float = CONNECT_SECONDS
    ) -> _Connection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds):
                _, connection = await loop.create_connection(
                    _Connection, host, port
                )
        except TimeoutError as error:
            raise UpstreamError('connect timed out', sent=False) from error
        except OSError as error:
            raise UpstreamError(f'connect: {error}', sent=False) from error
        self.opened += 1
        return connection
