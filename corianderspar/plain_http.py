"""Client of plain services over HTTP, with a connection per request."""

import asyncio
from collections.abc import Iterable
import ssl
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import httpx

from corianderspar import clock as clocks
from corianderspar import plain_client

# With status 503: the service shuts down and did not run the request.
LEAVING_HEADER = 'upstream-leaving'
LEAVING_VALUE = 'not-run'
REQUEST_ID_HEADER = 'x-request-id'
MAX_REPLY_BYTES = 8 << 20

HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

Headers = tuple[tuple[str, str], ...]


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that a proxy may forward.

    Parameters
    ----------
    headers : iterable of (str, str)
        As received; names in any case.

    Returns
    -------
    tuple of (str, str)
        Without hop-by-hop headers and those that ``Connection`` lists.

    Examples
    --------
    >>> end_to_end_headers(
    ...     [('Connection', 'X-Hop'), ('X-Hop', '1'), ('A', 'b')]
    ... )
    (('A', 'b'),)
    """
    received = list(headers)
    listed = {
        token.strip().lower()
        for name, value in received
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = HOP_BY_HOP_HEADERS | listed
    return tuple(pair for pair in received if pair[0].lower() not in dropped)


class _DeadlineExceeded(Exception):
    """The deadline passed before the first byte was written."""


class _SendTracker:
    """Records whether a byte of a request may have been sent."""

    def __init__(self, clock: clocks.Clock, deadline: float) -> None:
        self.sent = False
        self._clock = clock
        self._deadline = deadline

    async def trace(self, event: str, _info: dict[str, Any]) -> None:
        """Handle an httpx trace event; one precedes the first byte."""
        if not event.endswith('send_request_headers.started'):
            return
        # Last check of the deadline, for a process that was suspended after
        # it decided to send.
        if self._clock.monotonic() >= self._deadline:
            raise _DeadlineExceeded
        self.sent = True


class HttpPlainClient:
    """Client of the plain service at an address.

    Parameters
    ----------
    address : str
        ip:port.
    clock : Clock
        Source of time.
    max_reply_bytes : int
        Longest body of a reply, in bytes.
    """

    def __init__(
        self,
        address: str,
        clock: clocks.Clock | None = None,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        self._address = address
        self._clock = clock or clocks.SystemClock()
        self._max_reply_bytes = max_reply_bytes
        # Connections are not encrypted. Without a context, httpx would load
        # all CA certificates for each transport.
        self._ssl_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

    async def send(
        self, call: plain_client.PlainCall
    ) -> Result[plain_client.PlainReply, plain_client.PlainError]:
        """Send a request once, over a connection of its own.

        Returns
        -------
        Result
            The complete reply, or an error whose ``sent`` is False only if
            no byte of the request was written.
        """
        deadline = self._clock.monotonic() + call.timeout
        send_tracker = _SendTracker(self._clock, deadline)
        try:
            request = self._make_request(call, send_tracker)
        except (httpx.InvalidURL, ValueError, TypeError):
            return Error(plain_client.PlainError('invalid', False))
        try:
            async with asyncio.timeout(call.timeout):
                return await self._exchange(request)
        except (TimeoutError, httpx.TimeoutException, _DeadlineExceeded):
            return Error(plain_client.PlainError('timeout', send_tracker.sent))
        except httpx.ConnectError:
            return Error(
                plain_client.PlainError('unreachable', send_tracker.sent)
            )
        except httpx.LocalProtocolError:
            return Error(plain_client.PlainError('invalid', send_tracker.sent))
        except (httpx.HTTPError, OSError):
            return Error(plain_client.PlainError('died', True))

    def _make_request(
        self, call: plain_client.PlainCall, send_tracker: _SendTracker
    ) -> httpx.Request:
        target = f'{call.path}?{call.query}' if call.query else call.path
        url = httpx.URL(f'http://{self._address}').copy_with(
            raw_path=target.encode('ascii')
        )
        headers = [
            pair
            for pair in end_to_end_headers(call.headers)
            if pair[0].lower()
            not in ('host', 'content-length', REQUEST_ID_HEADER)
        ]
        headers.append((REQUEST_ID_HEADER, call.request_id))
        headers.append(('connection', 'close'))
        return httpx.Request(
            call.method,
            url,
            headers=headers,
            content=call.body,
            extensions={'trace': send_tracker.trace},
        )

    async def _exchange(
        self, request: httpx.Request
    ) -> Result[plain_client.PlainReply, plain_client.PlainError]:
        transport = httpx.AsyncHTTPTransport(
            verify=self._ssl_context,
            trust_env=False,
            limits=httpx.Limits(max_keepalive_connections=0),
            retries=0,
        )
        async with transport:
            response = await transport.handle_async_request(request)
            body = bytearray()
            async for chunk in response.aiter_raw():
                body += chunk
                if len(body) > self._max_reply_bytes:
                    return Error(plain_client.PlainError('too_large', True))
        if _is_leaving(response):
            return Error(plain_client.PlainError('leaving', True))
        headers = end_to_end_headers(response.headers.multi_items())
        return Ok(
            plain_client.PlainReply(response.status_code, headers, bytes(body))
        )


def _is_leaving(response: httpx.Response) -> bool:
    return (
        response.status_code == 503
        and response.headers.get(LEAVING_HEADER) == LEAVING_VALUE
    )
