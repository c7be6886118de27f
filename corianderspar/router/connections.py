"""HTTP/1.1 client whose errors tell "not sent" from "may have run".

Nothing here sends a request a second time. An HTTP library with its own
connection pool may do so when the upstream has closed a kept connection,
which would run the request twice. Connections are therefore kept here, on
top of the h11 parser.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import hashlib
import re
import socket
from typing import NamedTuple
from typing import Self

import h11

CONNECT_TIMEOUT_SECONDS = 0.4  # 140 times the delay between data centres
# 35 times that delay; short, as the caller can choose another upstream.
PRECONNECT_TIMEOUT_SECONDS = 0.1
# An upstream that pauses for a second or two reads nothing meanwhile; two
# packet losses in a row take 600 ms.
TCP_USER_TIMEOUT_MS = 2500
# Of a kept connection if the upstream states no timeout.
IDLE_TIMEOUT_SECONDS = 4.0
IDLE_TIMEOUT_SHARE = 0.5  # of a stated timeout, to close before the upstream
# Usual number of parallel requests of one daemon to one upstream.
MAX_KEPT_PER_UPSTREAM = 8
# Requests of a connection that are remembered, so that none of them is sent on
# it again. A second copy of an answer follows the first within a few requests.
RECENT_REQUESTS = 16
MAX_SKIPPED_RESPONSES = 4  # responses to other requests
MAX_INFORMATIONAL_RESPONSES = 16  # with a status of 1xx, before a response
# Least part of a body that is reported as progress. A link of 5 Mbit/s carries
# it in 7 ms.
PROGRESS_BYTES = 4096
READ_AHEAD_BYTES = 256 * 1024  # reading pauses above it
# Of all connections of a pool; each has an equal share at least.
MAX_READ_AHEAD_BYTES = 8 * 1024 * 1024
PARSED_BYTES = 16 * 1024  # at once; bounds the time to parse one head
EVENTS_PER_TURN = 32  # parsed in a row before other tasks get a turn
# Least mean size of the pieces of an answer, once there are many. It is that
# of the smallest event with content; smaller pieces take too long to parse.
MIN_PIECE_BYTES = 8
MAX_TINY_PIECES = 4096
# Of one answer, with its head and framing, unless its request sets another.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Of all bodies that are being read whole; an eighth of the smallest daemon.
MAX_GATHERED_BYTES = 16 * 1024 * 1024

MAX_CONNECTIONS = 8192  # unless a pool sets another

Headers = tuple[tuple[bytes, bytes], ...]
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d+)')


class UpstreamError(Exception):
    """No complete response arrived.

    Parameters
    ----------
    detail : str
        Reason, for the log.
    sent : bool
        Whether any byte of the request may have been sent.
    is_alive : bool
        Whether the upstream still sends, so that it has not crashed.
    """

    def __init__(
        self, detail: str, *, sent: bool, is_alive: bool = False
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
        self.is_alive = is_alive


class TooLongError(UpstreamError):
    """The response is longer than its reader allows."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=True, is_alive=True)


def _no_answer(detail: str) -> UpstreamError:
    """Return the error for bytes that are no answer, or too many."""
    return UpstreamError(detail, sent=True, is_alive=True)


def _digest(echo: tuple[bytes, bytes]) -> bytes:
    """Return a short form of a header whose value may be long."""
    name, value = echo
    return hashlib.blake2b(name + b':' + value, digest_size=16).digest()


def _ignore() -> None:
    """Do nothing."""


class Request(NamedTuple):
    """A request to an upstream.

    Attributes
    ----------
    method, target : str
        Sent unchanged.
    headers : tuple of (bytes, bytes)
        All but those that frame the body.
    body : bytes
        The whole body.
    echo : tuple of (bytes, bytes) or None
        A header, its name in lower case, that the upstream repeats in its
        response. A response with another value belongs to another request.
        A connection is kept only after a response that repeats it. A second
        copy of that response is then recognised if it arrives later.
    max_bytes : int
        Maximum size of one response, with its head and framing.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    echo: tuple[bytes, bytes] | None = None
    max_bytes: int = MAX_ANSWER_BYTES


class _Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(
        self, read_ahead: Callable[[], int] = lambda: READ_AHEAD_BYTES
    ) -> None:
        self._read_ahead = read_ahead
        self.transport: asyncio.Transport | None = None
        self.is_kept = False  # without a request
        self.recent_echoes: collections.deque[bytes] = collections.deque(
            maxlen=RECENT_REQUESTS
        )
        self.opened_at = 0.0
        self.idle_since = 0.0
        self.idle_timeout = IDLE_TIMEOUT_SECONDS
        self.is_lost = False
        self.on_lost: Callable[[], None] = _ignore
        self._error: Exception | None = None
        self._broken_off: UpstreamError | None = None
        self._is_at_eof = False
        self._received: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._state_changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.max_size = PARSED_BYTES  # type: ignore[attr-defined]
        self.opened_at = asyncio.get_running_loop().time()
        connected_socket = transport.get_extra_info('socket')
        with contextlib.suppress(OSError):
            # Without it, a connection across a network partition looks alive
            # for minutes.
            connected_socket.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )

    def data_received(self, data: bytes) -> None:
        if self.is_kept:
            # These bytes belong to no request.
            self.abort()
            return
        self._received.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > self._read_ahead():
            assert self.transport is not None
            self.transport.pause_reading()
        self._state_changed.set()

    def eof_received(self) -> bool:
        self._is_at_eof = True
        self._state_changed.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self.on_lost()
        self._is_at_eof = True
        self._error = self._error or exc
        self._state_changed.set()

    @property
    def is_idle(self) -> bool:
        """Whether nothing was received and nothing is left to send."""
        assert self.transport is not None
        return not (
            self._received
            or self._is_at_eof
            or self.transport.is_closing()
            or self.transport.get_write_buffer_size()
        )

    def write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    async def read(self) -> bytes:
        """Return the next received bytes; empty at end of file.

        Raises
        ------
        UpstreamError
            If the connection was reset or broken off.
        """
        if self._broken_off is not None:
            raise self._broken_off
        while not self._received:
            if self._error is not None:
                raise UpstreamError(f'reset: {self._error!r}', sent=True)
            if self._is_at_eof:
                return b''
            self._state_changed.clear()
            await self._state_changed.wait()
            if self._broken_off is not None:
                raise self._broken_off
        data = self._received.popleft()
        self._buffered_bytes -= len(data)
        if not self._received and not self.is_lost:
            assert self.transport is not None
            self.transport.resume_reading()
        return data

    def push_back(self, data: bytes) -> None:
        if data:
            self._received.appendleft(data)
            self._buffered_bytes += len(data)

    def break_off(self, error: UpstreamError) -> None:
        """Abort; let reads raise an error."""
        self._broken_off = error
        self.abort()
        self._state_changed.set()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Response:
    """An upstream's response while it is being received.

    Attributes
    ----------
    status : int
        Status code of the final response.
    headers : tuple of (bytes, bytes)
        Names in lower case.
    connected_at : float
        Seconds of the event loop at which its connection was open.
    """

    def __init__(
        self, pool: 'ConnectionPool', key: str, connection: _Connection
    ) -> None:
        self.connected_at = connection.opened_at
        self.status = 0
        self.headers: Headers = ()
        self._pool = pool
        self._key = key
        self._connection = connection
        self._parser = h11.Connection(h11.CLIENT)
        self._is_complete = False
        self._is_echoed = False
        self._max_bytes = MAX_ANSWER_BYTES
        self._is_at_end = False
        self._received_bytes = 0
        self._event_count = 0

    def header(self, name: bytes) -> bytes | None:
        """Return the first header with a name in lower case, if any."""
        return next((v for n, v in self.headers if n == name), None)

    async def __aenter__(self) -> Self:
        """Return itself; on exit the connection is kept or closed."""
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Close the response."""
        self.close()

    async def start(self, request: Request) -> None:
        """Send a request and read the head of its response.

        Raises
        ------
        UpstreamError
            If no response began.
        """
        self._max_bytes = request.max_bytes
        headers = list(request.headers)
        if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
            headers.append((b'content-length', b'%d' % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._parser.send(head) or b''
        if request.body:
            data += self._parser.send(h11.Data(request.body)) or b''
        data += self._parser.send(h11.EndOfMessage()) or b''
        if request.echo is not None:
            self._connection.recent_echoes.append(_digest(request.echo))
        self._connection.write(data)
        for _skipped in range(MAX_SKIPPED_RESPONSES):
            await self._read_head()
            if not self._belongs_to_other(request):
                self._is_echoed = (
                    request.echo is not None
                    and self.header(request.echo[0]) is not None
                )
                return
            await self._skip(head)
        raise _no_answer('only answers to other requests')

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; return at its complete end.

        Raises
        ------
        UpstreamError
            If the body is incomplete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self._is_complete = True
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def read(
        self,
        max_bytes: int,
        on_progress: Callable[[], None] | None = None,
    ) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        max_bytes : int
            Maximum size of the body.
        on_progress : callable or None
            Called whenever `PROGRESS_BYTES` of the body have arrived, so that
            an answer that trickles makes no progress.

        Raises
        ------
        UpstreamError
            If the body is incomplete or longer than ``max_bytes``, or all
            bodies that are being read are too long together.
        """
        # A list of its pieces could take many times the memory of the body.
        body = bytearray()
        reported = 0
        try:
            async for part in self.chunks():
                body += part
                if len(body) - reported >= PROGRESS_BYTES:
                    reported = len(body)
                    if on_progress is not None:
                        on_progress()
                if len(body) > max_bytes:
                    raise TooLongError('body too long')
                self._pool.set_gathered(self, len(body), max_bytes)
            return bytes(body)
        finally:
            body.clear()  # an exception keeps this frame alive
            self._pool.set_gathered(self, 0, max_bytes)

    def break_off(self, detail: str) -> None:
        """Close the connection; make the reader of the body fail."""
        self._connection.break_off(_no_answer(detail))

    def close(self) -> None:
        """Keep the connection if nothing else can arrive on it unnoticed.

        The response has to be complete. A second copy of one that does not
        repeat the header of its request would be taken for the answer to the
        next request.
        """
        can_keep = (
            self._is_complete
            and self._is_echoed
            and self._parser.their_state is h11.DONE
            and self._parser.our_state is h11.DONE
            and self._parser.trailing_data == (b'', False)
            and self._connection.is_idle
        )
        keep_alive = self.header(b'keep-alive')
        stated = _KEEP_ALIVE_TIMEOUT.search(keep_alive) if keep_alive else None
        timeout = IDLE_TIMEOUT_SECONDS
        if stated:
            timeout = min(timeout, int(stated.group(1)) * IDLE_TIMEOUT_SHARE)
        if can_keep and timeout > 0:
            self._connection.idle_timeout = timeout
            self._pool.keep(self._key, self._connection)
        else:
            self._connection.abort()

    async def _read_head(self) -> None:
        for _informational in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                break
        else:
            raise _no_answer('only informational answers')
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
                data = await self._connection.read()
                self._is_at_end = not data
                self._received_bytes += len(data)
                if self._received_bytes > self._max_bytes:
                    raise TooLongError(
                        f'answer longer than {self._max_bytes} bytes'
                    )
                self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            # An upstream that crashes closes its connection.
            raise UpstreamError(
                f'no answer: {error}', sent=True, is_alive=not self._is_at_end
            ) from error
        if not isinstance(event, h11.Event) or isinstance(
            event, h11.ConnectionClosed
        ):
            raise UpstreamError('closed', sent=True)
        self._event_count += 1
        tiny_pieces = (
            self._event_count - self._received_bytes // MIN_PIECE_BYTES
        )
        if tiny_pieces > MAX_TINY_PIECES:
            raise _no_answer('answer in tiny pieces')
        if self._event_count % EVENTS_PER_TURN == 0:
            # Reading suspends the task only once all bytes are used up, which
            # never happens if the upstream sends faster than they are parsed.
            await asyncio.sleep(0)
        return event

    def _belongs_to_other(self, request: Request) -> bool:
        if request.echo is None:
            return False
        name, value = request.echo
        return self.header(name) not in (None, value)

    async def _skip(self, head: h11.Request) -> None:
        """Discard a response to another request, to read the next one.

        The parser allows one response per request, so a new parser
        continues with the bytes that followed.
        """
        async for _part in self.chunks():
            pass
        if self._parser.their_state is not h11.DONE:
            raise UpstreamError('closed after another answer', sent=True)
        following, _is_closed = self._parser.trailing_data
        self._is_complete = False
        self._received_bytes = 0
        self._event_count = 0
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(
            h11.Request(
                method=head.method,
                target=head.target,
                headers=[(b'host', b'x')],
            )
        )
        self._parser.send(h11.EndOfMessage())
        self._connection.push_back(following)


class ConnectionPool:
    """Pool of kept connections to upstreams.

    Parameters
    ----------
    max_connections : int
        Beyond it, connections without a request are closed.

    Attributes
    ----------
    opened : int
        Number of connections opened so far.
    """

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self.opened = 0
        self._max_connections = max_connections
        self._open_count = 0
        self._kept_by_key: dict[str, list[_Connection]] = {}
        self._gathered_by_response: dict[Response, int] = {}
        self._gathered_bytes = 0

    async def send(
        self, host: str, port: int, request: Request, key: str = ''
    ) -> Response:
        """Send a request; return its response once its head was read.

        Parameters
        ----------
        host, port : str, int
            Address of the upstream.
        request : Request
            What to send.
        key : str
            Key under which connections are kept, such as the instance at
            the address; empty for the address itself.

        Raises
        ------
        UpstreamError
            If no response began.
        """
        key = key or f'{host}:{port}'
        connection = self._acquire(key, request.echo)
        if connection is None:
            connection = await self._open(host, port)
        response = Response(self, key, connection)
        try:
            await response.start(request)
        except BaseException:
            connection.abort()
            raise
        return response

    async def preconnect(
        self,
        host: str,
        port: int,
        key: str,
        timeout: float = PRECONNECT_TIMEOUT_SECONDS,
    ) -> None:
        """Open and keep a connection for a request that will follow soon.

        Raises
        ------
        UpstreamError
            If there is none after ``timeout`` seconds.
        """
        connection = self._acquire(key)
        if connection is None:
            connection = await self._open(
                host, port, min(timeout, CONNECT_TIMEOUT_SECONDS)
            )
            connection.idle_since = asyncio.get_running_loop().time()
        self._add_kept(key, connection)

    def keep(self, key: str, connection: _Connection) -> None:
        """Keep a connection on which no response is outstanding."""
        connection.idle_since = asyncio.get_running_loop().time()
        self._add_kept(key, connection)

    def set_gathered(
        self, response: Response, size: int, max_bytes: int
    ) -> None:
        """Record the size of a body that is being read, 0 at its end.

        Breaks off the longest body if all are too long together. A single
        one may have its ``max_bytes``.
        """
        by_response = self._gathered_by_response
        self._gathered_bytes += size - by_response.pop(response, 0)
        if not size:
            return
        by_response[response] = size
        if self._gathered_bytes > max(MAX_GATHERED_BYTES, max_bytes):
            longest = max(by_response, key=by_response.__getitem__)
            longest.break_off('longest of too many bytes of answers')

    def drop(self, key: str) -> None:
        """Close the connections kept for a key."""
        for connection in self._kept_by_key.pop(key, ()):
            connection.abort()

    def close(self) -> None:
        """Close all kept connections."""
        for key in list(self._kept_by_key):
            self.drop(key)

    def close_idle(self) -> None:
        """Close kept connections that timed out or were closed."""
        now = asyncio.get_running_loop().time()
        for key, kept in list(self._kept_by_key.items()):
            usable = [c for c in kept if self._is_usable(c, now)]
            for connection in kept:
                if connection not in usable:
                    connection.abort()
            if usable:
                self._kept_by_key[key] = usable
            else:
                del self._kept_by_key[key]

    def _add_kept(self, key: str, connection: _Connection) -> None:
        kept = self._kept_by_key.setdefault(key, [])
        if (
            len(kept) >= MAX_KEPT_PER_UPSTREAM
            or self._open_count > self._max_connections
        ):
            connection.abort()
            return
        connection.is_kept = True
        kept.append(connection)

    def _acquire(
        self, key: str, echo: tuple[bytes, bytes] | None = None
    ) -> _Connection | None:
        """Return a kept connection that has not carried a request before.

        A second copy of the earlier answer could not be told from the answer
        to a request that a caller sends again under its id.
        """
        kept = self._kept_by_key.get(key, [])
        digest = _digest(echo) if echo is not None and kept else b''
        now = asyncio.get_running_loop().time()
        for connection in reversed(kept.copy()):
            if not self._is_usable(connection, now):
                kept.remove(connection)
                connection.abort()
            elif echo is None or digest not in connection.recent_echoes:
                kept.remove(connection)
                connection.is_kept = False
                return connection
        return None

    def _is_usable(self, connection: _Connection, now: float) -> bool:
        idle_seconds = now - connection.idle_since
        return connection.is_idle and idle_seconds < connection.idle_timeout

    async def _open(
        self, host: str, port: int, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> _Connection:
        loop = asyncio.get_running_loop()
        if self._open_count >= self._max_connections:
            self._close_longest_idle()
        self._open_count += 1
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self._read_ahead), host, port
                )
        except BaseException as error:
            self._open_count -= 1
            if isinstance(error, TimeoutError):
                raise UpstreamError('connect timed out', sent=False) from error
            if isinstance(error, OSError):
                raise UpstreamError(f'connect: {error}', sent=False) from error
            raise
        connection.on_lost = self._count_lost
        if connection.is_lost:
            self._open_count -= 1
        self.opened += 1
        return connection

    def _read_ahead(self) -> int:
        """Return the bytes that a connection may read ahead."""
        share = MAX_READ_AHEAD_BYTES // max(self._open_count, 1)
        return min(share, READ_AHEAD_BYTES)

    def _count_lost(self) -> None:
        self._open_count -= 1

    def _close_longest_idle(self) -> None:
        kept = [
            (connection.idle_since, key, connection)
            for key, connections in self._kept_by_key.items()
            for connection in connections
        ]
        if kept:
            _since, key, connection = min(kept, key=lambda entry: entry[0])
            self._kept_by_key[key].remove(connection)
            connection.abort()
            # It is closed in the next turn of the event loop.
            connection.on_lost = _ignore
            self._open_count -= 1
