"""How the platform's engines and services are called."""

from collections.abc import AsyncIterator

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import http_io
from corianderspar.platform import names
from corianderspar.router import connections
from corianderspar.router import model
from corianderspar.router import upstreams

SMALL_BYTES = 64 * 1024  # of a refusal or the answer to a prefill
MISPLACED = 421


class _Prefilled(msgspec.Struct):
    kv_handle: str
    # Tokens that were read, and the version of the weights.
    tokens: int = 0
    version: int = 0


class EngineAnswer:
    """An answer that has begun, as `upstreams.Answer`."""

    def __init__(self, reply: connections.Response) -> None:
        self._reply = reply
        self.status = reply.status
        self.is_genuine = reply.header(names.STAMP) is not None
        self.headers: http_io.Headers = tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in reply.headers
            if name.decode('latin-1') not in names.ONE_CONNECTION
            and name != b'content-length'
        )

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        return self._reply.chunks()

    def close(self) -> None:
        """End the call."""
        self._reply.close()


class HttpEngines:
    """Calls to upstreams, as `upstreams.UpstreamCalls`.

    Parameters
    ----------
    pool : ConnectionPool
        Carries the calls.
    """

    def __init__(self, pool: connections.ConnectionPool) -> None:
        self._pool = pool

    async def reach(
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
        passing: upstreams.Passing,
        source: upstreams.Handle | None = None,
    ) -> Result[upstreams.Answer, upstreams.Failure]:
        """Run a request."""
        extra: list[tuple[bytes, bytes]] = []
        if source is not None:
            place = f'{source.upstream.address}/{source.handle}'
            extra.append((names.SOURCE, place.encode()))
        begun = await self._send(upstream, request, passing, extra)
        if begun.is_error():
            return Error(begun.error)
        return Ok(EngineAnswer(begun.ok))

    async def prefill(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        passing: upstreams.Passing,
    ) -> Result[upstreams.Handle, upstreams.Failure]:
        """Have a prompt read."""
        stage = [(names.STAGE, b'prefill')]
        begun = await self._send(upstream, request, passing, stage)
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
        return Ok(upstreams.Handle(upstream, found.kv_handle))

    async def release(self, handle: upstreams.Handle) -> None:
        """Free a prompt; the engine does so by itself in the end."""
        upstream = handle.upstream
        call = connections.Request(
            'DELETE',
            names.HANDLE + handle.handle,
            (
                (b'host', upstream.address.encode()),
                (names.EXPECT_INSTANCE, upstream.instance.encode()),
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
        passing: upstreams.Passing,
        extra: list[tuple[bytes, bytes]],
    ) -> Result[connections.Response, upstreams.Failure]:
        remaining = max(int(passing.remaining * 1000), 1)
        headers = [
            *request.headers,
            (names.REMAINING, b'%d' % remaining),
            (names.EXPECT_INSTANCE, upstream.instance.encode()),
            *extra,
        ]
        if passing.account:
            headers.append((names.ACCOUNT, passing.account.encode()))
        if passing.after_event is not None:
            headers.append((names.LAST_EVENT, b'%d' % passing.after_event))
        call = connections.Request(
            request.method,
            request.target,
            tuple(headers),
            request.body,
            (names.REQUEST_ID, request.request_id.encode()),
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
        is_misplaced = reply.status == MISPLACED
        if reply.header(names.NOT_RUN) is None and not is_misplaced:
            return Ok(reply)
        return await _refused(reply, is_misplaced)


async def _refused(
    reply: connections.Response, is_misplaced: bool
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
        upstreams.Failure(upstreams.Fault.REFUSED, detail, is_misplaced)
    )


def _broken(
    why: str,
) -> Result[upstreams.Handle, upstreams.Failure]:
    return Error(upstreams.Failure(upstreams.Fault.BROKEN, why))
