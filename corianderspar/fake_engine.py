"""In-memory engines on the clock seam, with faults, for tests."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import catalogue
from corianderspar import clock as clocks
from corianderspar import engine
from corianderspar import fake_answers
from corianderspar import fake_batch
from corianderspar import fake_prefill
from corianderspar import fake_records
from corianderspar import link_schedule

__all__ = [
    'FakeEngine',
    'FakeNetwork',
    'Faults',
    'answer_length',
    'answer_token',
]

answer_token = fake_answers.answer_token
answer_length = fake_answers.answer_length

EVENT_SECONDS = 0.5


class Faults(NamedTuple):
    """What a fake engine does wrong; all off by default.

    Attributes
    ----------
    refuse : str
        ``full`` or ``leaving``: what it answers to new work.
    stalled : tuple of str
        Calls that never end: ``prefill``, ``transfer``, ``decode``,
        ``cancel``, ``load``.
    late : float
        Seconds added to each reply, piece and event.
    drop_events : float
        Share of the cache events that are lost.
    crossed : int
        How many of the next pieces carry another request's id.
    duplicated : int
        How many of the next pieces are sent twice.
    cut_after : int
        Answers end without a finish after that many tokens; 0 for off.
    deadly : str
        A prompt that holds this text kills the engine.
    """

    refuse: str = ''
    stalled: tuple[str, ...] = ()
    late: float = 0.0
    drop_events: float = 0.0
    crossed: int = 0
    duplicated: int = 0
    cut_after: int = 0
    deadly: str = ''


class FakeNetwork:
    """The engines that can reach each other, and what they did."""

    def __init__(self) -> None:
        self.engines_by_address: dict[str, FakeEngine] = {}
        self.records = fake_records.Records()

    def warm_elsewhere(self, own: str, blocks: tuple[int, ...]) -> int:
        """Return the most leading blocks cached at another live engine."""
        return max(
            (
                other.prefills.cached_blocks(blocks)
                for other in self.engines_by_address.values()
                if other.name != own and other.alive
            ),
            default=0,
        )


class FakeEngine:
    """One engine in memory; it implements `engine.EngineClient`.

    It goes on with a request whose caller stops listening, until it is
    cancelled.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rng : random.Random
        Decides which events are dropped.
    name : str
        Name of the upstream.
    upstream : Upstream
        Its entry in the catalogue; its role, slots and pieces count.
    network : FakeNetwork
        Where other engines find it, and where it records.
    prefill_rate : float
        Prompt tokens computed in a second.
    stride : int
        Tokens in a piece, the first piece apart.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        name: str,
        upstream: catalogue.Upstream,
        network: FakeNetwork,
        prefill_rate: float = 8000.0,
        stride: int = 1,
    ) -> None:
        self.name = name
        self.upstream = upstream
        self.faults = Faults()
        self.alive = True
        self.fence = 0
        self.orders: list[engine.Order] = []
        self.model = upstream.pool
        self.role = upstream.role
        self._clock = clock
        self._rng = rng
        self._network = network
        self._link_free = 0.0
        self._sequence = 0
        self._listeners: list[asyncio.Queue[engine.CacheEvent | None]] = []
        blocks = (
            upstream.pieces * engine.MEMORY_PIECE_TOKENS // engine.BLOCK_TOKENS
        )
        self.prefills = fake_prefill.Prefills(
            clock, name, network, prefill_rate, blocks
        )
        self.prefills.on_change = self._publish
        self.batch = fake_batch.Batch(
            clock,
            name,
            network.records,
            upstream.slots,
            upstream.pieces,
            stride,
            prefill_rate,
        )
        network.engines_by_address[upstream.address] = self

    # Faults

    def die(self) -> None:
        """Stop as a killed process does; all it holds is gone."""
        self.alive = False
        self.prefills.clear('died')
        self.batch.clear('died')
        for listener in self._listeners:
            listener.put_nowait(None)
        self._listeners.clear()

    def restart(self) -> None:
        """Come back empty, with no memory of orders either."""
        self.alive = True
        self.fence = 0
        self.model = self.upstream.pool
        self.role = self.upstream.role

    # engine.EngineClient

    async def prefill(
        self, call: engine.PrefillCall
    ) -> Result[engine.PrefillResult, engine.EngineError]:
        """Compute a prompt's KV cache, others of a higher priority first."""
        refusal = await self._gate('prefill', call.prompt)
        if refusal is not None:
            return Error(refusal)
        result = await self.prefills.run(call)
        await self._late()
        return result

    async def transfer(
        self, call: engine.TransferCall
    ) -> Result[None, engine.EngineError]:
        """Import a prefill result, at the pace of the slower link."""
        refusal = await self._gate('transfer', '')
        if refusal is not None:
            return Error(refusal)
        source = self._network.engines_by_address.get(call.source)
        if source is None or not source.alive:
            return Error(engine.EngineError('unreachable', False))
        held = source.prefills.results_by_handle.get(call.handle)
        if held is None:
            return Error(engine.EngineError('expired', False))
        taken = self.batch.reserve(call.request_id, held.prompt)
        if taken is not None:
            return Error(taken)
        self._record('transfer', call.request_id, '')
        now = self._clock.monotonic()
        held.pinned += 1
        wait = self._book_link(source, held.tokens, now)
        try:
            await self._clock.sleep(wait)
        except asyncio.CancelledError:
            self._free_link(source, held.tokens, now + wait)
            raise
        finally:
            held.pinned -= 1
        await self._late()
        if not self.alive or not source.alive:
            self.batch.cancel(call.request_id)
            return Error(engine.EngineError('died', True))
        if not self.batch.imported(call.request_id):
            return Error(engine.EngineError('refused', False))
        return Ok(None)

    async def decode(
        self, call: engine.DecodeCall
    ) -> AsyncIterator[engine.Piece]:
        """Generate an answer; without a transfer, prefill here first."""
        refusal = await self._gate('decode', call.prompt)
        if refusal is not None:
            raise engine.EngineFailure(refusal)
        self._record('decode', call.request_id, call.prompt)
        pieces = self.batch.start(call)
        while True:
            piece = await pieces.get()
            if isinstance(piece, engine.EngineError):
                raise engine.EngineFailure(piece)
            if self._cut(piece):
                self.batch.cancel(call.request_id)
                return
            await self._late()
            for sent in self._spoilt(piece):
                yield sent
            if piece.finish:
                return

    async def cancel(self, request_id: str) -> bool:
        """Stop a request and free its memory; True when confirmed."""
        if not self.alive:
            return False
        if 'cancel' in self.faults.stalled:
            await self._forever()
        self.prefills.cancel(request_id)
        self.batch.cancel(request_id)
        await self._late()
        return True

    async def load(self) -> Result[engine.EngineLoad, engine.EngineError]:
        """Report what the engine holds."""
        if not self.alive:
            return Error(engine.EngineError('unreachable', False))
        if 'load' in self.faults.stalled:
            await self._forever()
        held = self.prefills.requests() + self.batch.requests()
        report = engine.EngineLoad(
            self.role,
            self.model,
            self.upstream.slots,
            self.upstream.pieces,
            self.batch.used_pieces(),
            held,
            self.prefills.queued_tokens(),
            self.fence,
            self.faults.refuse == 'leaving',
        )
        await self._late()
        return Ok(report)

    async def events(self) -> AsyncIterator[engine.CacheEvent]:
        """Follow the cache events, `EVENT_SECONDS` late."""
        queue: asyncio.Queue[engine.CacheEvent | None] = asyncio.Queue()
        self._listeners.append(queue)
        try:
            while True:
                event = await queue.get()
                if event is None:
                    error = engine.EngineError('died', False)
                    raise engine.EngineFailure(error)
                await self._clock.sleep(EVENT_SECONDS + self.faults.late)
                yield event
        finally:
            with contextlib.suppress(ValueError):
                self._listeners.remove(queue)

    async def order(
        self, order: engine.Order
    ) -> Result[None, engine.EngineError]:
        """Obey, unless the fencing number is old and fencing honoured."""
        if not self.alive:
            return Error(engine.EngineError('unreachable', False))
        if self.upstream.honours_fencing:
            if order.fence < self.fence:
                return Error(engine.EngineError('fenced', False))
            self.fence = order.fence
        self.orders.append(order)
        if order.kind == 'load':
            self.model = order.value
        if order.kind == 'role' and order.value in ('prefill', 'decode'):
            self.role = 'prefill' if order.value == 'prefill' else 'decode'
        await self._late()
        return Ok(None)

    # Parts

    async def _gate(self, kind: str, prompt: str) -> engine.EngineError | None:
        """Return why a call is not taken, or kill or stall the engine."""
        if not self.alive:
            return engine.EngineError('unreachable', False)
        if self.faults.refuse:
            return engine.EngineError(self.faults.refuse, False)
        if kind in self.faults.stalled:
            await self._forever()
        if self.faults.deadly and self.faults.deadly in prompt:
            self.die()
            return engine.EngineError('died', True)
        return None

    async def _forever(self) -> None:
        await asyncio.get_running_loop().create_future()

    async def _late(self) -> None:
        if self.faults.late:
            await self._clock.sleep(self.faults.late)

    def _book_link(
        self, source: 'FakeEngine', tokens: int, now: float
    ) -> float:
        rate = min(self.upstream.link_rate, source.upstream.link_rate)
        begin = max(now, self._link_free, source._link_free)
        end = begin + tokens * link_schedule.KV_BYTES_PER_TOKEN / rate
        self._link_free = source._link_free = end
        return end - now

    def _free_link(
        self, source: 'FakeEngine', tokens: int, end: float
    ) -> None:
        """Give back what a cancelled transfer had not used."""
        now = self._clock.monotonic()
        rate = min(self.upstream.link_rate, source.upstream.link_rate)
        unused = min(
            end - now, tokens * link_schedule.KV_BYTES_PER_TOKEN / rate
        )
        for one in (self, source):
            one._link_free = max(now, one._link_free - unused)

    def _cut(self, piece: engine.Piece) -> bool:
        after = self.faults.cut_after
        return bool(after) and piece.position + piece.tokens > after

    def _spoilt(self, piece: engine.Piece) -> list[engine.Piece]:
        if self.faults.crossed > 0:
            self.faults = self.faults._replace(crossed=self.faults.crossed - 1)
            other = piece._replace(
                request_id=piece.request_id + 'x', finish=''
            )
            return [other, piece]
        if self.faults.duplicated > 0:
            left = self.faults.duplicated - 1
            self.faults = self.faults._replace(duplicated=left)
            return [piece, piece]
        return [piece]

    def _record(self, kind: str, request_id: str, prompt: str) -> None:
        run = fake_records.Run(
            self._clock.monotonic(),
            self.name,
            kind,
            request_id,
            fake_answers.digest(prompt) if prompt else 0,
        )
        self._network.records.runs.append(run)

    def _publish(
        self, added: tuple[int, ...], removed: tuple[int, ...]
    ) -> None:
        self._sequence += 1
        if self._rng.random() < self.faults.drop_events:
            return
        event = engine.CacheEvent(self._sequence, added, removed)
        for listener in self._listeners:
            listener.put_nowait(event)


_CLIENT: type[engine.EngineClient] = FakeEngine
