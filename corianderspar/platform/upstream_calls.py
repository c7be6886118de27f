"""Calls to the platform's engines and plain services over HTTP."""

import asyncio
from collections.abc import AsyncIterator
import re
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import decoding
from corianderspar import http_io
from corianderspar.platform import protocol
from corianderspar.router import connections
from corianderspar.router import model
from corianderspar.router import upstreams

MAX_SHORT_BODY_BYTES = 64 * 1024  # of a refusal or the reply to a prefill
REFUSAL_TEXT_SECONDS = 0.1  # for the text of a refusal, which is only logged
# An answer's head and framing take no more than the maximum size of its body.
FRAMED_SIZE_FACTOR = 2
HTTP_MISDIRECTED_REQUEST = 421  # another instance has the address
HTTP_SERVICE_UNAVAILABLE = 503
STATUSES_WITHOUT_BODY = (204, 304)


class _PrefillReply(msgspec.Struct):
    kv_handle: str
    # Tokens that were prefilled, and the version of the model's weights.
    tokens: int = 0
    version: int = 0


class _Report(msgspec.Struct):
    # Unix milliseconds of the start of the process.
    born: int = 0


class HttpAnswer:
    """An answer whose head has arrived; implements `upstreams.Answer`."""

    def __init__(self, response: connections.Response) -> None:
        self._response = response
        self.status = response.status
        self.connected_at = response.connected_at
        self.is_genuine = response.header(protocol.RESPONSE_STAMP) is not None
        self.is_framed = (
            response.status in STATUSES_WITHOUT_BODY
            or response.header(b'content-length') is not None
            or response.header(b'transfer-encoding') is not None
        )
        self.headers: http_io.Headers = tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in response.headers
            if name.decode('latin-1') not in protocol.HOP_BY_HOP_HEADERS
            and name != b'content-length'
        )

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks."""
        return self._response.chunks()

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body."""
        return await self._response.read(max_bytes)

    def close(self) -> None:
        """End the call; close the connection unless it is complete."""
        self._response.close()


class HttpUpstreamCalls:
    """Calls to upstreams; implements `upstreams.UpstreamCalls`.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the upstreams.
    """

    def __init__(self, pool: connections.ConnectionPool) -> None:
        self._pool = pool
        self.on_notice: list[upstreams.NoticeHook] = []

    async def connect(
        self, upstream: model.Upstream, timeout: float | None = None
    ) -> Result[None, upstreams.Failure]:
        """Connect, unless a connection is kept."""
        if timeout is None:
            timeout = connections.PRECONNECT_TIMEOUT_SECONDS
        try:
            await self._pool.preconnect(
                upstream.host, upstream.port, upstream.instance, timeout
            )
        except connections.UpstreamError as error:
            return Error(
                upstreams.Failure(upstreams.Fault.NOT_SENT, error.detail)
            )
        return Ok(None)

    async def started_ms(
        self, upstream: model.Upstream
    ) -> Result[int, upstreams.Failure]:
        """Return when the process at an upstream's address started."""
        http_request = connections.Request(
            'GET',
            protocol.REPORT_PATH,
            (
                (b'host', upstream.address.encode()),
                (protocol.EXPECT_INSTANCE, upstream.instance.encode()),
            ),
        )
        # Its connection is closed afterwards, as it echoes no request, so it
        # does not take one that is kept for requests.
        key = f'{upstream.instance}/report'
        try:
            response = await self._pool.send(
                upstream.host, upstream.port, http_request, key
            )
            self._report_notice(upstream, response, is_health_report=True)
            async with response:
                body = await response.read(MAX_SHORT_BODY_BYTES)
            if response.status != 200:
                return _broken(f'status {response.status}')
            report = msgspec.json.decode(body, type=_Report)
        except connections.UpstreamError as error:
            return _broken(error.detail)
        except decoding.ERRORS as error:
            return _broken(f'report: {error}')
        return Ok(report.born)

    async def run(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
        source: upstreams.PrefillHandle | None = None,
    ) -> Result[upstreams.Answer, upstreams.Failure]:
        """Run a request, or decode it from a prefill."""
        extra_headers: list[tuple[bytes, bytes]] = []
        if source is not None:
            location = f'{source.upstream.address}/{source.handle}'
            extra_headers.append((protocol.KV_SOURCE, location.encode()))
        result = await self._send(upstream, request, options, extra_headers)
        if result.is_error():
            return Error(result.error)
        return Ok(HttpAnswer(result.ok))

    async def prefill(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
    ) -> Result[upstreams.PrefillHandle, upstreams.Failure]:
        """Prefill a request; return the handle of its KV cache."""
        stage_headers = [(protocol.STAGE, b'prefill')]
        result = await self._send(upstream, request, options, stage_headers)
        if result.is_error():
            return Error(result.error)
        try:
            async with result.ok as response:
                body = await response.read(MAX_SHORT_BODY_BYTES)
        except connections.UpstreamError as error:
            return _broken(error.detail)
        if response.status != 200:
            return _broken(f'status {response.status}')
        try:
            prefilled = msgspec.json.decode(body, type=_PrefillReply)
        except decoding.ERRORS as error:
            return _broken(f'answer: {error}')
        return Ok(upstreams.PrefillHandle(upstream, prefilled.kv_handle))

    async def release(self, handle: upstreams.PrefillHandle) -> None:
        """Release the KV cache memory of a prefill.

        Errors are ignored, because the engine releases it by itself after
        some time.
        """
        upstream = handle.upstream
        http_request = connections.Request(
            'DELETE',
            protocol.KV_HANDLE_PATH + handle.handle,
            (
                (b'host', upstream.address.encode()),
                (protocol.EXPECT_INSTANCE, upstream.instance.encode()),
            ),
        )
        try:
            response = await self._pool.send(
                upstream.host, upstream.port, http_request, upstream.instance
            )
            self._report_notice(upstream, response)
            async with response:
                await response.read(MAX_SHORT_BODY_BYTES)
        except connections.UpstreamError:
            return

    def _report_notice(
        self,
        upstream: model.Upstream,
        response: connections.Response,
        *,
        is_health_report: bool = False,
    ) -> None:
        notice = _read_notice(upstream, response)
        if (
            response.status == HTTP_MISDIRECTED_REQUEST
            and notice == upstreams.Notice()
        ):
            return  # not its answer
        if is_health_report:
            notice = notice._replace(is_health_report=True)
        for hook in self.on_notice:
            hook(upstream, notice)

    async def _send(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
        extra_headers: list[tuple[bytes, bytes]],
    ) -> Result[connections.Response, upstreams.Failure]:
        remaining_ms = max(int(options.remaining * 1000), 1)
        headers = [
            *(
                (name, value)
                for name, value in request.headers
                # The events of a compressed stream can't be told apart.
                if upstream.phase is model.Phase.PLAIN
                or name != protocol.ACCEPT_ENCODING
            ),
            (protocol.REMAINING_MS, b'%d' % remaining_ms),
            (protocol.EXPECT_INSTANCE, upstream.instance.encode()),
            *extra_headers,
        ]
        if options.account:
            headers.append((protocol.ACCOUNT, options.account.encode()))
        if options.priority is not None:
            priority = min(max(options.priority, 0), protocol.MAX_PRIORITY)
            headers.append((protocol.PRIORITY, b'%d' % priority))
        if options.after_event is not None:
            headers.append(
                (protocol.LAST_EVENT_ID, b'%d' % options.after_event)
            )
        http_request = connections.Request(
            request.method,
            request.target,
            tuple(headers),
            request.body,
            (protocol.REQUEST_ID, request.request_id.encode()),
            options.max_answer_bytes * FRAMED_SIZE_FACTOR,
        )
        try:
            response = await self._pool.send(
                upstream.host, upstream.port, http_request, upstream.instance
            )
        except connections.UpstreamError as error:
            fault = upstreams.Fault.BROKEN
            if not error.sent:
                fault = upstreams.Fault.NOT_SENT
            return Error(
                upstreams.Failure(fault, error.detail, is_alive=error.is_alive)
            )
        self._report_notice(upstream, response)
        is_misdirected = _is_misdirected(upstream, response)
        if not is_misdirected and not _says_not_run(response):
            return Ok(response)
        return await _refusal(response, is_misdirected)


_DECIMAL = re.compile(rb'\d{1,9}(\.\d{0,9})?|\.\d{1,9}')


def _read_notice(
    upstream: model.Upstream, response: connections.Response
) -> upstreams.Notice:
    """Return what the head of an answer states about its upstream."""
    instance = response.header(protocol.INSTANCE)
    stated = response.header(protocol.RETRY_AFTER)
    pause: float | None = None
    unreadable_pause = ''
    if stated is not None and response.status == HTTP_SERVICE_UNAVAILABLE:
        try:
            pause = float(stated)
        except ValueError:
            unreadable_pause = stated.decode('latin-1')
    stated_limit = response.header(protocol.LIMIT)
    limit: float | None = None
    unreadable_limit = ''
    if stated_limit is not None and _DECIMAL.fullmatch(stated_limit):
        limit = float(stated_limit)
    elif stated_limit is not None:
        unreadable_limit = repr(stated_limit)
    stated_cold = response.header(protocol.COLD_MS)
    cold_left = 0.0
    unreadable_cold = ''
    if stated_cold is not None and _DECIMAL.fullmatch(stated_cold):
        cold_left = float(stated_cold) / 1000
    elif stated_cold is not None:
        unreadable_cold = repr(stated_cold)
    return upstreams.Notice(
        response.header(protocol.LEAVING) == b'1',
        response.status == HTTP_MISDIRECTED_REQUEST
        and instance is not None
        and instance != upstream.instance.encode(),
        pause,
        unreadable_pause,
        limit,
        unreadable_limit,
        cold_left,
        unreadable_cold,
    )


def _is_misdirected(
    upstream: model.Upstream, response: connections.Response
) -> bool:
    """Return whether an answer is that of a wrong recipient.

    A signed 421 that names no other instance may come from the upstream
    itself, after it ran the request.
    """
    if response.status != HTTP_MISDIRECTED_REQUEST:
        return False
    if _says_not_run(response):
        return True
    instance = response.header(protocol.INSTANCE)
    if instance is None:
        return response.header(protocol.RESPONSE_STAMP) is None
    return instance != upstream.instance.encode()


def _says_not_run(response: connections.Response) -> bool:
    """Return whether an answer refuses its request.

    An answer that contradicts itself may be that of a request that ran.
    """
    stated = response.header(protocol.NOT_RUN)
    return response.status >= 400 and stated not in (None, b'0')


async def _refusal(
    response: connections.Response, is_misdirected: bool
) -> Result[connections.Response, upstreams.Failure]:
    detail = f'refused with {response.status}'
    try:
        async with response:
            async with asyncio.timeout(REFUSAL_TEXT_SECONDS):
                body = await response.read(MAX_SHORT_BODY_BYTES)
        detail += f': {body[:80].decode("latin-1").strip()}'
    except (connections.UpstreamError, TimeoutError) as error:
        # The head has arrived and says that the request was refused; only
        # the text of the body is missing.
        detail += f', text lost: {str(error) or "too slow"}'
    return Error(
        upstreams.Failure(upstreams.Fault.REFUSED, detail, is_misdirected)
    )


def _broken(detail: str) -> Result[Any, upstreams.Failure]:
    return Error(upstreams.Failure(upstreams.Fault.BROKEN, detail))
