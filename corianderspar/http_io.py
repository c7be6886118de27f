"""An HTTP exchange with a caller, on top of ASGI."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import completions
from corianderspar import problems

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Headers = tuple[tuple[str, str], ...]


class CallerDisconnected(Exception):
    """The caller closed its connection, or stopped reading from it."""


class Exchange:
    """A caller's request, and the channel for its answer.

    Parameters
    ----------
    scope, receive, send : ASGI
        The arguments of an ASGI application.
    write_timeout : float
        Longest time for one write to the caller, in seconds.

    Attributes
    ----------
    close_connection : bool
        Whether the answer gets the header ``connection: close``.
    status : int
        Status of the answer; 0 until its head is sent.
    """

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        write_timeout: float,
    ) -> None:
        self.method: str = scope['method']
        self.raw_path: str = scope.get('raw_path', b'').decode('latin-1')
        self.query: str = scope.get('query_string', b'').decode('latin-1')
        self.headers: Headers = tuple(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in scope['headers']
        )
        self.status = 0
        self.close_connection = False
        self._receive = receive
        self._send = send
        self.write_timeout = write_timeout
        self._writing_since: float | None = None

    def expected_body_bytes(self, max_bytes: int) -> int:
        """Return the size of the body that the headers declare.

        A chunked body declares none, and counts as ``max_bytes``.
        """
        headers_by_name = dict(self.headers)
        declared = headers_by_name.get('content-length', '')
        if declared.isdigit():
            return min(int(declared), max_bytes)
        return max_bytes if 'transfer-encoding' in headers_by_name else 0

    async def read_body(
        self, max_bytes: int, timeout: float
    ) -> Result[bytes, problems.Problem]:
        """Read the whole body.

        Parameters
        ----------
        max_bytes : int
            The largest body that is accepted.
        timeout : float
            Seconds within which the whole body must arrive.

        Returns
        -------
        Result
            The body, or one of the problems ``body_too_large`` and
            ``slow_body``.

        Raises
        ------
        CallerDisconnected
            If the caller disconnects before the end of the body.
        """
        declared = dict(self.headers).get('content-length', '0')
        if declared.isdigit() and int(declared) > max_bytes:
            return Error(_too_large(max_bytes))
        try:
            async with asyncio.timeout(timeout):
                return await self._read_parts(max_bytes)
        except TimeoutError:
            return Error(
                problems.Problem(
                    'slow_body', 408, 'no', 'the body came too slowly', 1.0
                )
            )

    async def _read_parts(
        self, max_bytes: int
    ) -> Result[bytes, problems.Problem]:
        # A list of its parts could take many times the memory of the body.
        body = bytearray()
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnected
            part = message.get('body', b'')
            if len(body) + len(part) > max_bytes:
                return Error(_too_large(max_bytes))
            if not message.get('more_body', False) and not body:
                return Ok(part)
            body += part
            if not message.get('more_body', False):
                return Ok(bytes(body))

    async def wait_disconnected(self) -> None:
        """Wait until the caller closes its connection."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the answer."""
        self.status = status
        if self.close_connection:
            headers = (*headers, ('connection', 'close'))
        encoded_headers = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        ]
        await self._write(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': encoded_headers,
            }
        )

    async def write(self, content: bytes, more: bool = True) -> None:
        """Send a part of the answer's body.

        Raises
        ------
        CallerDisconnected
            If the connection is closed.
        """
        await self._write(
            {
                'type': 'http.response.body',
                'body': content,
                'more_body': more,
            }
        )

    async def answer(
        self, status: int, headers: Headers, content: bytes
    ) -> None:
        """Send a complete answer."""
        length_header = (('content-length', str(len(content))),)
        await self.begin(status, headers + length_header)
        await self.write(content, more=False)

    async def send_error(
        self, request_id: str, problem: problems.Problem
    ) -> None:
        """Send an error answer in the completions form."""
        headers = [
            ('content-type', 'application/json'),
            ('corianderspar-ran', problem.ran),
            ('corianderspar-request-id', request_id),
        ]
        if problem.retry_after is not None:
            seconds = str(max(1, math.ceil(problem.retry_after)))
            headers.append(('retry-after', seconds))
        if problem.ticket:
            headers.append(('corianderspar-ticket', problem.ticket))
        if problem.status == 401:
            headers.append(('www-authenticate', 'Bearer'))
        content = completions.error_body(request_id, problem)
        async with self.limit_write_time():
            await self.answer(problem.status, tuple(headers), content)

    @contextlib.asynccontextmanager
    async def limit_write_time(self) -> AsyncIterator[None]:
        """Limit the time of the writes in a block to ``write_timeout``.

        Raises
        ------
        CallerDisconnected
            If the caller does not read in time.
        """
        try:
            async with asyncio.timeout(self.write_timeout):
                yield
        except TimeoutError as error:
            raise CallerDisconnected from error

    def is_write_stalled(self) -> bool:
        """Return whether the current write exceeds ``write_timeout``."""
        if self._writing_since is None:
            return False
        waited = asyncio.get_running_loop().time() - self._writing_since
        return waited >= self.write_timeout

    async def _write(self, message: dict[str, Any]) -> None:
        # A timeout for each write would cost as much as the write itself;
        # the edge polls is_write_stalled() instead.
        self._writing_since = asyncio.get_running_loop().time()
        try:
            await self._send(message)
        except OSError as error:
            raise CallerDisconnected from error
        finally:
            self._writing_since = None


def _too_large(max_bytes: int) -> problems.Problem:
    return problems.Problem(
        'body_too_large', 413, 'no', f'at most {max_bytes} bytes'
    )
