"""Plain services over HTTP, one fresh connection for each request."""

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

LEAVING_HEADER = 'upstream-leaving'
LEAVING_VALUE = 'not-run'
REQUEST_ID_HEADER = 'x-request-id'
MAX_REPLY_BYTES = 8 << 20

HOP_BY_HOP = frozenset(
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


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that may pass a proxy.

    Parameters
    ----------
    headers : iterable of (str, str)
        As they came; names in any case.

    Returns
    -------
    tuple of (str, str)
        Without the hop-by-hop ones and those that ``Connection`` names.

    Examples
    --------
    >>> end_to_end([('Connection', 'X-Hop'), ('X-Hop', '1'), ('A', 'b')])
    (('A', 'b'),)
    """
    kept = list(headers)
    named = {
        token.strip().lower()
        for name, value in kept
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = HOP_BY_HOP | named
    return tuple(pair for pair in kept if pair[0].lower() not in dropped)


class _DeadlinePassed(Exception):
    """The deadline passed before the first byte was written."""


class _Handover:
    """Follows one request to the moment its first byte may leave."""

    def __init__(self, clock: clocks.Clock, deadline: float) -> None:
        self.sent = False
        self._clock = clock
        self._deadline = deadline

    async def trace(self, event: str, _info: dict[str, Any]) -> None:
        """Note the event that comes right before the first byte."""
        if not event.endswith('send_request_headers.started'):
            return
        # The last look at the clock: a process that slept since the
        # decision to send stops here.
        if self._clock.monotonic() >= self._deadline:
            raise _DeadlinePassed
        self.sent = True


class HttpPlainClient:
    """One plain service behind an address.

    Parameters
    ----------
    address : str
        ip:port.
    clock : Clock
        Source of time.
    max_reply_bytes : int
        Longest body of a reply.
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
        # Connections are plain HTTP; the empty context saves httpx from
        # loading all certificates for each transport.
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

    async def send(
        self, call: plain_client.PlainCall
    ) -> Result[plain_client.PlainReply, plain_client.PlainError]:
        """Send a request once, over a connection used for no other.

        Returns
        -------
        Result
            The whole reply, or an error whose ``sent`` is False only if
            no byte of the request was written.
        """
        deadline = self._clock.monotonic() + call.timeout
        handover = _Handover(self._clock, deadline)
        try:
            request = self._request(call, handover)
        except (httpx.InvalidURL, ValueError, TypeError):
            return Error(plain_client.PlainError('invalid', False))
        try:
            async with asyncio.timeout(call.timeout):
                return await self._exchange(request)
        except (TimeoutError, httpx.TimeoutException, _DeadlinePassed):
            return Error(plain_client.PlainError('timeout', handover.sent))
        except httpx.ConnectError:
            return Error(plain_client.PlainError('unreachable', handover.sent))
        except httpx.LocalProtocolError:
            return Error(plain_client.PlainError('invalid', handover.sent))
        except (httpx.HTTPError, OSError):
            return Error(plain_client.PlainError('died', True))

    def _request(
        self, call: plain_client.PlainCall, handover: _Handover
    ) -> httpx.Request:
        target = f'{call.path}?{call.query}' if call.query else call.path
        url = httpx.URL(f'http://{self._address}').copy_with(
            raw_path=target.encode('ascii')
        )
        headers = [
            pair
            for pair in end_to_end(call.headers)
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
            extensions={'trace': handover.trace},
        )

    async def _exchange(
        self, request: httpx.Request
    ) -> Result[plain_client.PlainReply, plain_client.PlainError]:
        transport = httpx.AsyncHTTPTransport(
            verify=self._context,
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
        if _leaving(response):
            return Error(plain_client.PlainError('leaving', True))
        headers = end_to_end(response.headers.multi_items())
        return Ok(
            plain_client.PlainReply(response.status_code, headers, bytes(body))
        )


def _leaving(response: httpx.Response) -> bool:
    return (
        response.status_code == 503
        and response.headers.get(LEAVING_HEADER) == LEAVING_VALUE
    )
