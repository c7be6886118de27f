"""Tests of engines over HTTP against the in-memory twin."""

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


class Scripted:
    """An engine that answers from a script."""

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


async def with_engine(work):
    served = Scripted()
    listener = http_server.HttpServer(
        engine_server.make_app(served), '127.0.0.1:0'
    )
    await listener.start()
    async with httpx.AsyncClient(trust_env=False) as client:
        found = engine_http.HttpEngine(listener.address, client)
        try:
            return await work(found, served)
        finally:
            await listener.abort()


def test_every_call_passes_through():
    async def work(found, served):
        prefilled = await found.prefill(engine.PrefillCall('i', 'm', 'abc'))
        moved = await found.transfer(engine.TransferCall('i', 'h', 's'))
        call = engine.DecodeCall('i', 'm', 'abc', 5)
        pieces = [piece async for piece in found.decode(call)]
        stopped = await found.cancel('i')
        report = await found.load()
        events = [event async for event in found.events()]
        ordered = await found.order(engine.Order('load', 'm', 3))
        assert prefilled.ok == engine.PrefillResult('h', 10, 3, 0.8)
        assert moved.error == engine.EngineError('expired', False)
        assert tuple(pieces) == PIECES
        assert stopped
        assert served.cancelled == ['i']
        assert report.ok == LOAD
        assert events == [engine.CacheEvent(1, (2, 3), (4,))]
        assert ordered.error == engine.EngineError('fenced', False)

    asyncio.run(with_engine(work))


def test_a_stream_that_breaks_is_a_failure():
    async def work(found, served):
        served.fail_after = 1
        taken = []
        try:
            async for piece in found.decode(
                engine.DecodeCall('i', 'm', 'abc', 5)
            ):
                taken.append(piece)
        except engine.EngineFailure as failure:
            return taken, failure.error
        raise AssertionError('the broken stream looked whole')

    taken, error = asyncio.run(with_engine(work))
    assert taken == [PIECES[0]]
    assert error == engine.EngineError('died', True)


def test_an_engine_that_is_not_there_ran_nothing():
    async def main():
        async with httpx.AsyncClient(trust_env=False) as client:
            found = engine_http.HttpEngine('127.0.0.1:1', client)
            return await found.prefill(engine.PrefillCall('i', 'm', 'abc'))

    result = asyncio.run(main())
    assert result.error == engine.EngineError('unreachable', False)
