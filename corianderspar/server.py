"""An HTTP server in the running event loop: uvicorn with one worker."""

import asyncio
import collections.abc
import contextlib
import socket
from typing import Any

import uvicorn

HEADER_BYTES = 32 * 1024
IDLE_SECONDS = 75
BACKLOG = 1024


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        yield


class HttpServer:
    """Serves an ASGI application on one address.

    Parameters
    ----------
    app : ASGI application
        What is served; it may be set later, before `start`.
    address : str
        ip:port; port 0 takes a free one.
    idle_seconds : float
        How long a caller's connection may stay idle; may be changed, and
        then holds for new connections.
    header_bytes : int
        Longest head of a request.
    with_date : bool
        Whether answers get a date; not where an upstream's are passed on.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        idle_seconds: float = IDLE_SECONDS,
        header_bytes: int = HEADER_BYTES,
        with_date: bool = True,
    ) -> None:
        self.address = address
        self.idle_seconds = idle_seconds
        self._header_bytes = header_bytes
        self._with_date = with_date
        self.app = app
        self._listener: socket.socket | None = None
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    def bind(self) -> str:
        """Take the address; return it with the real port.

        Raises
        ------
        OSError
            If the address can't be had.
        """
        if self._listener is None:
            self._listener = self._listen()
        return self.address

    async def start(self) -> None:
        """Bind unless that is done, and serve."""
        self.bind()
        assert self._listener is not None
        config = uvicorn.Config(
            self.app,
            loop='asyncio',
            http='h11',
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            log_level='critical',
            server_header=False,
            h11_max_incomplete_event_size=self._header_bytes,
            timeout_keep_alive=self.idle_seconds,  # type: ignore[arg-type]
            date_header=self._with_date,
            backlog=BACKLOG,
        )
        self._config = config
        self._server = _Server(config)
        self._task = asyncio.create_task(
            self._server.serve([self._listener]), name='http-server'
        )
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0)

    def set_idle_seconds(self, seconds: float) -> None:
        """Change how long new connections may stay idle."""
        self.idle_seconds = seconds
        if self._server is not None:
            self._config.timeout_keep_alive = seconds  # type: ignore[assignment]

    async def stop(self) -> None:
        """Accept no more, finish what runs, then close."""
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        await self._task

    async def abort(self) -> None:
        """Close at once, as a killed process would."""
        if self._server is None or self._task is None:
            return
        for connection in list(self._server.server_state.connections):
            if connection.transport is not None:
                connection.transport.abort()
        for task in list(self._server.server_state.tasks):
            task.cancel()
        self._server.force_exit = True
        await self.stop()

    def _listen(self) -> socket.socket:
        host, port = self.address.rsplit(':', 1)
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        # The event loop switches Nagle's algorithm off only for sockets that
        # name TCP; with it, each small piece of an answer waits for the
        # caller's delayed acknowledgement.
        listener = socket.socket(
            family, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host.strip('[]'), int(port)))
        except OSError:
            listener.close()
            raise
        self.address = f'{host}:{listener.getsockname()[1]}'
        return listener
