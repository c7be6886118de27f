"""Tests of the HTTP client of engines against the HTTP server for fakes."""

import asyncio

from expression import Error
from expression import Ok
import httpx

from corianderspar import engine
from corianderspar import engine_http
from corianderspar import engine_server
from corianderspar import http_server

PIECES = (
    engine.Piece('vm1/1/a#1', 0, 1, 'A'),
    engine.Piece('vm1/1/a#1', 1, 2, ' feast day', 'stop'),
)
LOAD = engine.EngineLoad('decode', 'm', 20, 64, 3, ('vm1/1/a#1',), 7, 5, True)


class FakeEngine:
    """An engine with fixed replies, whose streams can fail half-way."""

    def __init__(self):
        self.cancelled = []
        self.fail_after = None

    async def prefill(self, call):
        return Ok(engine.PrefillResult('h', 10, len(call.prompt), 0.8))

    async def transfer(self, call):
        return Error(engine.EngineError('expired', False))

    async def decode(self, call):
        for number, piece in enumerate(PIECES):
            if number == self.fail_after:
                raise engine.EngineFailure(engine.EngineError('died', True))
            yield piece

    async def cancel(self, request_id):
        self.cancelled.append(request_id)
        return True

    async def load(self):
        return Ok(LOAD)

    async def events(self):
        yield engine.CacheEvent(1, (2, 3), (4,))

    async def order(self, order):
        return Error(engine.EngineError('fenced', False))


async def run_with_engine(scenario):
    fake = FakeEngine()
    listener = http_server.HttpServer(
        engine_server.make_app(fake), '127.0.0.1:0'
    )
    await listener.start()
    async with httpx.AsyncClient(trust_env=False) as http_client:
        engine_client = engine_http.HttpEngine(listener.address, http_client)
        try:
            return await scenario(engine_client, fake)
        finally:
            await listener.abort()


def test_each_call_and_its_reply_pass_through():
    async def scenario(engine_client, fake):
        prefilled = await engine_client.prefill(
            engine.PrefillCall('i', 'm', 'abc')
        )
        transferred = await engine_client.transfer(
            engine.TransferCall('i', 'h', 's')
        )
        call = engine.DecodeCall('i', 'm', 'abc', 5)
        pieces = [piece async for piece in engine_client.decode(call)]
        cancelled = await engine_client.cancel('i')
        load = await engine_client.load()
        events = [event async for event in engine_client.events()]
        order_result = await engine_client.order(engine.Order('load', 'm', 3))
        assert prefilled.ok == engine.PrefillResult('h', 10, 3, 0.8)
        assert transferred.error == engine.EngineError('expired', False)
        assert tuple(pieces) == PIECES
        assert cancelled
        assert fake.cancelled == ['i']
        assert load.ok == LOAD
        assert events == [engine.CacheEvent(1, (2, 3), (4,))]
        assert order_result.error == engine.EngineError('fenced', False)

    asyncio.run(run_with_engine(scenario))


def test_broken_stream_raises_engine_failure():
    async def scenario(engine_client, fake):
        fake.fail_after = 1
        received = []
        try:
            async for piece in engine_client.decode(
                engine.DecodeCall('i', 'm', 'abc', 5)
            ):
                received.append(piece)
        except engine.EngineFailure as failure:
            return received, failure.error
        raise AssertionError('the broken stream ended without a failure')

    received, error = asyncio.run(run_with_engine(scenario))
    assert received == [PIECES[0]]
    assert error == engine.EngineError('died', True)


def test_unreachable_engine_has_not_run_the_request():
    async def main():
        async with httpx.AsyncClient(trust_env=False) as http_client:
            engine_client = engine_http.HttpEngine('127.0.0.1:1', http_client)
            return await engine_client.prefill(
                engine.PrefillCall('i', 'm', 'abc')
            )

    result = asyncio.run(main())
    assert result.error == engine.EngineError('unreachable', False)
