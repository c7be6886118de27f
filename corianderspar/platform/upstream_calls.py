"""How the platform's engines and services are called."""

from collections.abc import AsyncIterator

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import http_io
from corianderspar.platform import protocol
from corianderspar.router import connections
from corianderspar.router import model
from corianderspar.router import upstreams

SMALL_BYTES = 64 * 1024  # of a refusal or the answer to a prefill
MISDIRECTED = 421


class _Prefilled(msgspec.Struct):
    kv_handle: str
    # Tokens that were read, and the version of the weights.
    tokens: int = 0
    version: int = 0


class HttpAnswer:
    """An answer that has begun, as `upstreams.Answer`."""

    def __init__(self, reply: connections.Response) -> None:
        self._reply = reply
        self.status = reply.status
        self.is_genuine = reply.header(protocol.RESPONSE_STAMP) is not None
        self.headers: http_io.Headers = tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in reply.headers
            if name.decode('latin-1') not in protocol.HOP_BY_HOP_HEADERS
            and name != b'content-length'
        )

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        return self._reply.chunks()

    def close(self) -> None:
        """End the call."""
        self._reply.close()


class HttpUpstreamCalls:
    """Calls to upstreams, as `upstreams.UpstreamCalls`.

    Parameters
    ----------
    pool : ConnectionPool
        Carries the calls.
    """

    def __init__(self, pool: connections.ConnectionPool) -> None:
        self._pool = pool

    async def connect(
        self, upstream: model.Upstream
    ) -> Result[None, upstreams.Failure]:
        """Connect, unless a connection is kept."""
        try:
            await self._pool.preconnect(
                upstream.host, upstream.port, upstream.instance
            )
        except connections.UpstreamError as error:
            return Error(
                upstreams.Failure(upstreams.Fault.NOT_SENT, error.detail)
            )
        return Ok(None)

    async def run(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
        source: upstreams.PrefillHandle | None = None,
    ) -> Result[upstreams.Answer, upstreams.Failure]:
        """Run a request."""
        extra: list[tuple[bytes, bytes]] = []
        if source is not None:
            place = f'{source.upstream.address}/{source.handle}'
            extra.append((protocol.KV_SOURCE, place.encode()))
        begun = await self._send(upstream, request, options, extra)
        if begun.is_error():
            return Error(begun.error)
        return Ok(HttpAnswer(begun.ok))

    async def prefill(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
    ) -> Result[upstreams.PrefillHandle, upstreams.Failure]:
        """Have a prompt read."""
        stage = [(protocol.STAGE, b'prefill')]
        begun = await self._send(upstream, request, options, stage)
        if begun.is_error():
            return Error(begun.error)
        try:
            async with begun.ok as reply:
                body = await reply.read(SMALL_BYTES)
        except connections.UpstreamError as error:
            return _broken(error.detail)
        if reply.status != 200:
            return _broken(f'status {reply.status}')
        try:
            found = msgspec.json.decode(body, type=_Prefilled)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return _broken(f'answer: {error}')
        return Ok(upstreams.PrefillHandle(upstream, found.kv_handle))

    async def release(self, handle: upstreams.PrefillHandle) -> None:
        """Free a prompt; the engine does so by itself in the end."""
        upstream = handle.upstream
        call = connections.Request(
            'DELETE',
            protocol.KV_HANDLE_PATH + handle.handle,
            (
                (b'host', upstream.address.encode()),
                (protocol.EXPECT_INSTANCE, upstream.instance.encode()),
            ),
        )
        try:
            reply = await self._pool.send(
                upstream.host, upstream.port, call, upstream.instance
            )
            async with reply:
                await reply.read(SMALL_BYTES)
        except connections.UpstreamError:
            return

    async def _send(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
        extra: list[tuple[bytes, bytes]],
    ) -> Result[connections.Response, upstreams.Failure]:
        remaining = max(int(options.remaining * 1000), 1)
        headers = [
            *request.headers,
            (protocol.REMAINING_MS, b'%d' % remaining),
            (protocol.EXPECT_INSTANCE, upstream.instance.encode()),
            *extra,
        ]
        if options.account:
            headers.append((protocol.ACCOUNT, options.account.encode()))
        if options.after_event is not None:
            headers.append(
                (protocol.LAST_EVENT_ID, b'%d' % options.after_event)
            )
        call = connections.Request(
            request.method,
            request.target,
            tuple(headers),
            request.body,
            (protocol.REQUEST_ID, request.request_id.encode()),
        )
        try:
            reply = await self._pool.send(
                upstream.host, upstream.port, call, upstream.instance
            )
        except connections.UpstreamError as error:
            fault = upstreams.Fault.BROKEN
            if not error.sent:
                fault = upstreams.Fault.NOT_SENT
            return Error(upstreams.Failure(fault, error.detail))
        is_misdirected = reply.status == MISDIRECTED
        if reply.header(protocol.NOT_RUN) is None and not is_misdirected:
            return Ok(reply)
        return await _refused(reply, is_misdirected)


async def _refused(
    reply: connections.Response, is_misdirected: bool
) -> Result[connections.Response, upstreams.Failure]:
    detail = f'refused with {reply.status}'
    try:
        async with reply:
            body = await reply.read(SMALL_BYTES)
        detail += f': {body[:80].decode("latin-1").strip()}'
    except connections.UpstreamError as error:
        # The refusal stands in the head; only its text is lost.
        detail += f', text lost: {error.detail}'
    return Error(
        upstreams.Failure(upstreams.Fault.REFUSED, detail, is_misdirected)
    )


def _broken(
    why: str,
) -> Result[upstreams.PrefillHandle, upstreams.Failure]:
    return Error(upstreams.Failure(upstreams.Fault.BROKEN, why))
