"""One HTTP exchange with a caller: its head, body, answer and end."""

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
    """The caller closed its connection, or takes nothing more."""


class Exchange:
    """A caller's request and the way back to it.

    Parameters
    ----------
    scope, receive, send : ASGI
        As the server gives them.
    write_timeout : float
        Longest time for the caller to take one piece.

    Attributes
    ----------
    close_connection : bool
        Whether the answer asks the caller to use another connection next.
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

    def expected_body_bytes(self, most_bytes: int) -> int:
        """Return the bytes to expect, ``most_bytes`` if none are named."""
        names = dict(self.headers)
        declared = names.get('content-length', '')
        if declared.isdigit():
            return min(int(declared), most_bytes)
        return most_bytes if 'transfer-encoding' in names else 0

    async def read_body(
        self, most_bytes: int, seconds: float
    ) -> Result[bytes, problems.Problem]:
        """Read the whole body.

        Parameters
        ----------
        most_bytes : int
            A longer body is refused.
        seconds : float
            A slower one too.

        Raises
        ------
        CallerDisconnected
            If the caller leaves before its end.
        """
        declared = dict(self.headers).get('content-length', '0')
        if declared.isdigit() and int(declared) > most_bytes:
            return Error(_too_large(most_bytes))
        try:
            async with asyncio.timeout(seconds):
                return await self._read(most_bytes)
        except TimeoutError:
            return Error(
                problems.Problem(
                    'slow_body', 408, 'no', 'the body came too slowly', 1.0
                )
            )

    async def _read(self, most_bytes: int) -> Result[bytes, problems.Problem]:
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnected
            part = message.get('body', b'')
            size += len(part)
            if size > most_bytes:
                return Error(_too_large(most_bytes))
            parts.append(part)
            if not message.get('more_body', False):
                return Ok(b''.join(parts))

    async def wait_disconnected(self) -> None:
        """Return when the caller has closed its connection."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.status = status
        if self.close_connection:
            headers = (*headers, ('connection', 'close'))
        encoded = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        ]
        await self._write(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': encoded,
            }
        )

    async def write(self, content: bytes, more: bool = True) -> None:
        """Send a part of the answer.

        Raises
        ------
        CallerDisconnected
            If the caller has closed the connection.
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
        """Send a whole answer."""
        length = (('content-length', str(len(content))),)
        await self.begin(status, headers + length)
        await self.write(content, more=False)

    async def send_error(
        self, request_id: str, problem: problems.Problem
    ) -> None:
        """Send a problem in the documented shape."""
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
        """Take a caller that does not take what is written as gone."""
        try:
            async with asyncio.timeout(self.write_timeout):
                yield
        except TimeoutError as error:
            raise CallerDisconnected from error

    def is_write_stalled(self) -> bool:
        """Return whether the caller takes a piece for too long."""
        if self._writing_since is None:
            return False
        waited = asyncio.get_running_loop().time() - self._writing_since
        return waited >= self.write_timeout

    async def _write(self, message: dict[str, Any]) -> None:
        # A timeout for each piece would cost as much as the write; the
        # edge looks at is_write_stalled() instead.
        self._writing_since = asyncio.get_running_loop().time()
        try:
            await self._send(message)
        except OSError as error:
            raise CallerDisconnected from error
        finally:
            self._writing_since = None


def _too_large(most_bytes: int) -> problems.Problem:
    return problems.Problem(
        'body_too_large', 413, 'no', f'at most {most_bytes} bytes'
    )
