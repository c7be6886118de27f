"""Serves any `engine.EngineClient` over HTTP, for stand-ins and tests."""

from collections.abc import AsyncIterator
from typing import Any

from expression import Result
import litestar
from litestar import response as responses
from litestar import status_codes
import msgspec

from corianderspar import engine

LINES = 'application/x-ndjson'


def make_app(served: engine.EngineClient) -> litestar.Litestar:
    """Return the ASGI application for one engine."""

    @litestar.post('/prefill')
    async def prefill(request: litestar.Request) -> litestar.Response:
        call = await _call(request, engine.PrefillCall)
        return _reply(await served.prefill(call))

    @litestar.post('/transfer')
    async def transfer(request: litestar.Request) -> litestar.Response:
        call = await _call(request, engine.TransferCall)
        return _reply(await served.transfer(call))

    @litestar.post('/decode')
    async def decode(request: litestar.Request) -> litestar.Response:
        call = await _call(request, engine.DecodeCall)
        pieces = served.decode(call)
        try:
            first = await anext(pieces)
        except engine.EngineFailure as failure:
            return _refusal(failure.error)
        except StopAsyncIteration:
            return _refusal(engine.EngineError('died', True))
        return responses.Stream(
            _lines(first, pieces), status_code=200, media_type=LINES
        )

    @litestar.post('/cancel')
    async def cancel(request: litestar.Request) -> litestar.Response:
        body = await request.json()
        if await served.cancel(body['request_id']):
            return _json({}, status_codes.HTTP_200_OK)
        return _refusal(engine.EngineError('refused', True))

    @litestar.get('/load')
    async def load() -> litestar.Response:
        return _reply(await served.load())

    @litestar.get('/events')
    async def events() -> responses.Stream:
        return responses.Stream(_events(served), media_type=LINES)

    @litestar.post('/order')
    async def order(request: litestar.Request) -> litestar.Response:
        return _reply(await served.order(await _call(request, engine.Order)))

    return litestar.Litestar(
        [prefill, transfer, decode, cancel, load, events, order],
        openapi_config=None,
        logging_config=None,
        request_max_body_size=None,
    )


async def _call(request: litestar.Request, kind: Any) -> Any:
    fields = msgspec.json.decode(await request.body())
    return kind(**fields)


def _reply(result: Result[Any, engine.EngineError]) -> litestar.Response:
    if result.is_error():
        return _refusal(result.error)
    value = result.ok
    fields = {} if value is None else value._asdict()
    return _json(fields, status_codes.HTTP_200_OK)


def _refusal(error: engine.EngineError) -> litestar.Response:
    return _json(error._asdict(), status_codes.HTTP_503_SERVICE_UNAVAILABLE)


def _json(fields: dict[str, Any], status: int) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(fields),
        status_code=status,
        media_type='application/json',
    )


async def _lines(
    first: engine.Piece, rest: AsyncIterator[engine.Piece]
) -> AsyncIterator[bytes]:
    yield _line(first)
    async for piece in rest:
        yield _line(piece)


def _line(record: Any) -> bytes:
    return msgspec.json.encode(record._asdict()) + b'\n'


async def _events(served: engine.EngineClient) -> AsyncIterator[bytes]:
    async for event in served.events():
        yield _line(event)
