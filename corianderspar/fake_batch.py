"""The decode half of a fake engine: slots, pieces, continuous batch."""

import asyncio
import math

from corianderspar import clock as clocks
from corianderspar import engine
from corianderspar import fake_answers
from corianderspar import fake_records

STEP_SECONDS = 0.025
REQUEST_SECONDS = 0.001

Pieces = asyncio.Queue[engine.Piece | engine.EngineError]


class _Held:
    """A request that holds a slot and pieces of memory."""

    def __init__(self, prompt: str) -> None:
        self.prompt_tokens = fake_answers.read(prompt)[0]
        self.pieces = 0
        self.imported = False
        self.call: engine.DecodeCall | None = None
        self.queue: Pieces = asyncio.Queue()
        self.length = 0
        self.position = 0
        self.sent = 0
        self.ready = 0.0
        self.since = 0.0


class Batch:
    """Runs up to ``slots`` requests, one token each in a step.

    A step takes `STEP_SECONDS` and `REQUEST_SECONDS` for each request.
    When the memory is out, a request of the lowest priority that needs
    another piece, or of a lower priority than one that does, waits.

    Parameters
    ----------
    clock : Clock
        Source of time.
    name : str
        Name of the engine.
    records : Records
        Where it records.
    slots, pieces : int
        What it can hold.
    stride : int
        Tokens in a piece of an answer, the first apart.
    prefill_rate : float
        Tokens a second, for a request that was not transferred.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        name: str,
        records: fake_records.Records,
        slots: int,
        pieces: int,
        stride: int,
        prefill_rate: float,
    ) -> None:
        self._clock = clock
        self._name = name
        self._records = records
        self._slots = slots
        self._pieces = pieces
        self._stride = stride
        self._prefill_rate = prefill_rate
        self._held_by_id: dict[str, _Held] = {}
        self._task: asyncio.Task[None] | None = None

    def requests(self) -> tuple[str, ...]:
        """Return the ids of the requests that hold memory."""
        return tuple(self._held_by_id)

    def used_pieces(self) -> int:
        """Return the pieces of memory that are held."""
        return sum(held.pieces for held in self._held_by_id.values())

    def reserve(
        self, request_id: str, prompt: str
    ) -> engine.EngineError | None:
        """Take a slot and the prompt's memory, or say why not."""
        held = self._held_by_id.get(request_id)
        if held is not None:
            return None
        held = _Held(prompt)
        need = _pieces(held.prompt_tokens)
        if len(self._held_by_id) >= self._slots:
            return engine.EngineError('full', False)
        if self.used_pieces() + need > self._pieces:
            return engine.EngineError('full', False)
        self._held_by_id[request_id] = held
        self._hold(request_id, held, need)
        return None

    def imported(self, request_id: str) -> bool:
        """Take note that a transfer ended; False if it was cancelled."""
        held = self._held_by_id.get(request_id)
        if held is None:
            return False
        held.imported = True
        return True

    def start(self, call: engine.DecodeCall) -> Pieces:
        """Begin to generate; pieces or an error come in the queue."""
        refusal = self.reserve(call.request_id, call.prompt)
        if refusal is not None:
            queue: Pieces = asyncio.Queue()
            queue.put_nowait(refusal)
            return queue
        held = self._held_by_id[call.request_id]
        now = self._clock.monotonic()
        held.call = call
        held.length = min(
            call.max_tokens, fake_answers.answer_length(call.prompt)
        )
        held.position = held.sent = call.start
        held.since = now
        if not held.imported:
            self._recompute(call, held, now)
        self._records.decoded.add(call.request_id)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return held.queue

    def _recompute(
        self, call: engine.DecodeCall, held: _Held, now: float
    ) -> None:
        held.ready = now + held.prompt_tokens / self._prefill_rate
        again = fake_records.Prefill(
            self._name,
            call.request_id,
            held.prompt_tokens,
            0,
            held.prompt_tokens,
        )
        self._records.prefills.append(again)

    def cancel(self, request_id: str) -> None:
        """Stop a request and free its memory."""
        held = self._held_by_id.pop(request_id, None)
        if held is not None:
            self._hold(request_id, held, 0)
            held.queue.put_nowait(engine.EngineError('refused', True))

    def clear(self, code: str) -> None:
        """Fail all requests."""
        for request_id, held in list(self._held_by_id.items()):
            self._hold(request_id, held, 0)
            held.queue.put_nowait(engine.EngineError(code, True))
        self._held_by_id.clear()

    async def _run(self) -> None:
        while True:
            started = [
                (key, held)
                for key, held in self._held_by_id.items()
                if held.call is not None
            ]
            if not started:
                return
            cost = STEP_SECONDS + REQUEST_SECONDS * len(started)
            await self._clock.sleep(cost)
            self._step()

    def _step(self) -> None:
        now = self._clock.monotonic()
        ready = [
            (key, held)
            for key, held in self._held_by_id.items()
            if held.call is not None and held.ready <= now
        ]
        ready.sort(key=lambda row: (-_priority(row[1]), row[1].since))
        used = self.used_pieces()
        for key, held in ready:
            need = _pieces(held.prompt_tokens + held.position + 1)
            more = need - held.pieces
            if more > 0:
                if used + more > self._pieces:
                    used -= self._preempt(ready, held, more)
                if used + more > self._pieces:
                    self._records.paused.append((now, key))
                    continue
                used += more
                self._hold(key, held, need)
            if held.pieces:
                self._emit(key, held)

    def _preempt(
        self, ready: list[tuple[str, _Held]], wanting: _Held, more: int
    ) -> int:
        """Take memory from requests of a lower priority, return how much."""
        freed = 0
        for key, held in reversed(ready):
            if freed >= more or _priority(held) >= _priority(wanting):
                break
            freed += held.pieces
            self._hold(key, held, 0)
        return freed

    def _emit(self, key: str, held: _Held) -> None:
        call = held.call
        assert call is not None
        held.position += 1
        last = held.position >= held.length
        first = held.sent == call.start
        if not (last or first or held.position - held.sent >= self._stride):
            return
        text = ''.join(
            fake_answers.answer_token(call.prompt, place)
            for place in range(held.sent, held.position)
        )
        finish = ''
        if last:
            whole = fake_answers.answer_length(call.prompt)
            finish = 'stop' if held.length == whole else 'length'
        piece = engine.Piece(
            call.request_id,
            held.sent,
            held.position - held.sent,
            text,
            finish,
        )
        held.sent = held.position
        held.queue.put_nowait(piece)
        if last:
            del self._held_by_id[key]
            self._hold(key, held, 0)

    def _hold(self, request_id: str, held: _Held, pieces: int) -> None:
        if pieces != held.pieces:
            held.pieces = pieces
            change = fake_records.Memory(
                self._clock.monotonic(), self._name, request_id, pieces
            )
            self._records.memory.append(change)


def _priority(held: _Held) -> int:
    return held.call.priority if held.call is not None else 0


def _pieces(tokens: int) -> int:
    return math.ceil(tokens / engine.MEMORY_PIECE_TOKENS)
