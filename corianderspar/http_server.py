"""HTTP server that runs uvicorn in the current event loop."""

import asyncio
import collections.abc
import contextlib
from email import utils
import errno
import functools
import socket
from typing import Any

import uvicorn

from corianderspar import connection_table
from corianderspar import http_connections

MAX_HEADER_BYTES = 32 * 1024
EXHAUSTED_PAUSE_SECONDS = 0.5  # at least, between errors that are logged
# A stated limit of headers may not count the request line.
HEAD_MARGIN_BYTES = 8 * 1024
IDLE_TIMEOUT_SECONDS = 75
LISTEN_BACKLOG = 1024
# Errors of the system when it can open no more descriptors.
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Of the event loop, after the last connection until its transport is made.
QUIET_TURNS = 3
DEFAULT_LIMITS = connection_table.ConnectionLimits()
MAX_ACCEPT_TURNS = 1000  # in case connections never cease to arrive


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers and without polling."""

    def __init__(
        self, config: uvicorn.Config, bounds: http_connections.Bounds
    ) -> None:
        super().__init__(config)
        self._bounds = bounds
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        """Accept no connections, finish running requests, then close."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        # uvicorn's own loop checks ten times a second whether to exit. The
        # date header and the request limit, which it also updates, are not
        # used here.
        await self.on_tick(0)
        await self._exit_requested.wait()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Accept the connections that are complete; then close."""
        # The system resets those that wait for it when their listener closes,
        # and asyncio drops those whose transport is not made by then.
        quiet_turns = 0
        for _turn in range(MAX_ACCEPT_TURNS):
            is_waiting = any(map(http_connections.is_readable, sockets or ()))
            if not is_waiting and quiet_turns >= QUIET_TURNS:
                break
            quiet_turns = 0 if is_waiting else quiet_turns + 1
            await asyncio.sleep(0)
        self._bounds.is_closing = True
        await super().shutdown(sockets)

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        yield


class _Listener(socket.socket):
    """A listening socket that accepts no more connections than are allowed."""

    table: connection_table.ConnectionTable
    paused_until = 0.0  # seconds of the event loop

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection; close others, or this one, to have room.

        Raises
        ------
        BlockingIOError
            If there may be room in the next turn of the event loop.
        """
        if not self.table.has_room and self.table.make_room():
            raise BlockingIOError
        try:
            connection, address = super().accept()
        except OSError as error:
            if error.errno not in EXHAUSTED:
                raise
            self.table.refuse('descriptors')
            now = asyncio.get_running_loop().time()
            if self.table.make_room() or now < self.paused_until:
                raise BlockingIOError from error
            # The event loop then accepts nothing for a second, but asks for
            # the rest of the backlog in this turn.
            self.paused_until = now + EXHAUSTED_PAUSE_SECONDS
            raise
        if not self.table.has_room:
            connection.close()
            self.table.refuse('connections')
            raise BlockingIOError
        self.table.expect()
        return connection, address


class _ProtocolMiddleware:
    """Rejects requests with ambiguous framing or too much; adds dates.

    A proxy in front of this server may see another end of a request that
    has both Content-Length and Transfer-Encoding (request smuggling, RFC
    9112, 6.1). A relayed answer keeps the Date of its origin server (RFC
    9110, 6.6.1), so uvicorn must not add a second one. An answer that the
    application leaves without its end must not look complete.
    """

    def __init__(
        self, app: Any, table: connection_table.ConnectionTable
    ) -> None:
        self._app = app
        self._table = table

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return

        is_incomplete = False

        async def send_with_date(message: Any) -> None:
            nonlocal is_incomplete
            is_incomplete = message['type'] == 'http.response.start' or (
                message.get('more_body', False)
            )
            if message['type'] == 'http.response.start':
                headers = list(message.get('headers', ()))
                if all(name.lower() != b'date' for name, _ in headers):
                    now = utils.formatdate(usegmt=True).encode()
                    headers.append((b'date', now))
                message = message | {'headers': headers}
            await send(message)

        names = {name for name, _value in scope['headers']}
        if {b'content-length', b'transfer-encoding'} <= names:
            text = b'a request has a length or a coding, not both\n'
            await _reject(send_with_date, 400, text, (b'connection', b'close'))
            return
        if self._table.is_full:
            self._table.refuse('request')
            await _reject(
                send_with_date,
                503,
                b'too much is being received\n',
                (b'retry-after', b'%d' % http_connections.RETURN_SECONDS),
            )
            return
        try:
            await self._app(scope, receive, send_with_date)
        finally:
            if is_incomplete and scope['http_version'] == '1.0':
                scope['extensions'][http_connections.BREAK_OFF]()


async def _reject(
    send: Any, status: int, text: bytes, header: tuple[bytes, bytes]
) -> None:
    headers = [
        (b'content-type', b'text/plain'),
        (b'content-length', b'%d' % len(text)),
        header,
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': text})


class HttpServer:
    """Serves an ASGI application on one address.

    Parameters
    ----------
    app : ASGI application
        The application; may also be set after construction, but before
        `start`.
    address : str
        ``ip:port``; port 0 selects a free port.
    idle_timeout : float
        Seconds that a caller's connection may stay idle; see also
        `set_idle_timeout`.
    max_header_bytes : int
        Largest size of a request line and its headers together.
    closing_wait : float
        Seconds for which connections without a request stay open after the
        last one was accepted. A request may have been sent on them.
    head_timeout : float
        Seconds for the head of a request to arrive, from its first byte.
    limits : ConnectionLimits
        Limits of all connections together.

    Attributes
    ----------
    table : ConnectionTable
        The open connections.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        idle_timeout: float = IDLE_TIMEOUT_SECONDS,
        max_header_bytes: int = MAX_HEADER_BYTES,
        closing_wait: float = 0.0,
        head_timeout: float = IDLE_TIMEOUT_SECONDS,
        limits: connection_table.ConnectionLimits = DEFAULT_LIMITS,
    ) -> None:
        self.address = address
        self.idle_timeout = idle_timeout
        self._max_header_bytes = max_header_bytes
        self._head_bytes = max_header_bytes
        self.table = connection_table.ConnectionTable(limits)
        self._bounds = http_connections.Bounds(
            closing_wait, head_timeout, self.table
        )
        self.app = app
        self._listener: socket.socket | None = None
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    def bind(self) -> str:
        """Bind the address and return it with the actual port.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        if self._listener is None:
            self._listener = self._listen()
        return self.address

    async def start(self) -> None:
        """Start to serve; bind the address first unless that is done."""
        self.bind()
        assert self._listener is not None
        config = uvicorn.Config(
            _ProtocolMiddleware(self.app, self.table),
            loop='asyncio',
            http=functools.partial(  # type: ignore[arg-type]
                http_connections.Connection, bounds=self._bounds
            ),
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            log_level='critical',
            server_header=False,
            h11_max_incomplete_event_size=self._head_bytes,
            timeout_keep_alive=self.idle_timeout,  # type: ignore[arg-type]
            date_header=False,
            backlog=LISTEN_BACKLOG,
        )
        self._config = config
        self._server = _Server(config, self._bounds)
        self._task = asyncio.create_task(
            self._server.serve([self._listener]), name='http-server'
        )
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0)

    def set_idle_timeout(self, seconds: float) -> None:
        """Change the idle timeout of new connections, raise that of others.

        An open connection is not closed sooner than was promised before.
        """
        if seconds == self.idle_timeout:
            return
        self.idle_timeout = seconds
        if self._server is None:
            return
        self._config.timeout_keep_alive = seconds  # type: ignore[assignment]
        for connection in self._server.server_state.connections:
            if isinstance(connection, http_connections.Connection):
                connection.raise_idle_timeout(seconds)

    def set_head_timeout(self, seconds: float) -> None:
        """Change the time for heads that begin to arrive from now on."""
        self._bounds.head_timeout = seconds

    def set_max_header_bytes(self, size: int) -> None:
        """Set the largest head on new connections; it is never lowered."""
        self._head_bytes = max(
            size + HEAD_MARGIN_BYTES, self._max_header_bytes
        )
        if self._server is not None:
            self._config.h11_max_incomplete_event_size = self._head_bytes

    async def stop(self) -> None:
        """Accept no connections, finish running requests, then close."""
        if self._server is None or self._task is None:
            return
        self._server.request_exit()
        # If the caller of this method is cancelled, the server's task must go
        # on, because `abort` still needs it.
        await asyncio.shield(self._task)

    async def abort(self) -> None:
        """Close all connections at once, as a killed process would."""
        if self._server is None or self._task is None:
            return
        for connection in list(self._server.server_state.connections):
            if isinstance(connection, http_connections.Connection):
                connection.break_off()
        for task in list(self._server.server_state.tasks):
            task.cancel()
        self._server.force_exit = True
        await self.stop()

    def _listen(self) -> socket.socket:
        host, port = self.address.rsplit(':', 1)
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        # asyncio disables Nagle's algorithm only on sockets created with
        # IPPROTO_TCP. Otherwise each small piece of an answer waits for the
        # caller's delayed acknowledgement.
        listener = _Listener(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.table = self.table
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host.strip('[]'), int(port)))
        except OSError:
            listener.close()
            raise
        self.address = f'{host}:{listener.getsockname()[1]}'
        return listener
