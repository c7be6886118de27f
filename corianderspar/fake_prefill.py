"""The prefill half of a fake engine: queue, prefix cache, results."""

import asyncio
import collections
from collections.abc import Callable
import heapq
import itertools
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import clock as clocks
from corianderspar import engine
from corianderspar import fake_answers
from corianderspar import fake_records

RESULT_SECONDS = 0.8

Outcome = Result[engine.PrefillResult, engine.EngineError]


class Network(Protocol):
    """What is asked of the network of engines."""

    records: fake_records.Records

    def warm_elsewhere(self, own: str, blocks: tuple[int, ...]) -> int:
        """Return the most leading blocks cached at another live engine."""
        ...


class Held:
    """A prefill result that a decode engine may import."""

    def __init__(self, prompt: str, tokens: int) -> None:
        self.prompt = prompt
        self.tokens = tokens
        self.pinned = 0


class _Work:
    """A prefill that waits or runs."""

    def __init__(self, call: engine.PrefillCall) -> None:
        self.call = call
        self.tokens, self.blocks = fake_answers.read(call.prompt)
        loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[Outcome] = loop.create_future()
        self.began = 0.0
        self.computing = 0
        self.cached = 0
        self.again = 0


class Prefills:
    """Prefills one at a time, by priority, with a cache that is LRU.

    Parameters
    ----------
    clock : Clock
        Source of time.
    name : str
        Name of the engine.
    network : Network
        Where it records.
    rate : float
        Tokens a second.
    capacity : int
        Blocks that the cache holds.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        name: str,
        network: Network,
        rate: float,
        capacity: int,
    ) -> None:
        self.rate = rate
        self.capacity = capacity
        self.results_by_handle: dict[str, Held] = {}
        self.on_change: Callable[[tuple[int, ...], tuple[int, ...]], None] = (
            lambda added, removed: None
        )
        self._clock = clock
        self._name = name
        self._network = network
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._queue: list[tuple[int, int, _Work]] = []
        self._sequence = itertools.count()
        self._work_by_id: dict[str, _Work] = {}
        self._running: _Work | None = None
        self._task: asyncio.Task[None] | None = None
        self._timers: set[asyncio.Task[None]] = set()

    def cached_blocks(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        for count, block in enumerate(blocks):
            if block not in self._cache:
                return count
        return len(blocks)

    def requests(self) -> tuple[str, ...]:
        """Return the ids of what waits, runs or has a live result."""
        return tuple(self._work_by_id) + tuple(self.results_by_handle)

    def queued_tokens(self) -> int:
        """Return the prompt tokens that wait."""
        return sum(work.tokens for _p, _n, work in self._queue)

    async def run(self, call: engine.PrefillCall) -> Outcome:
        """Wait for the turn of a prompt and compute it."""
        work = _Work(call)
        self._work_by_id[call.request_id] = work
        row = (-call.priority, next(self._sequence), work)
        heapq.heappush(self._queue, row)
        self._next()
        return await asyncio.shield(work.outcome)

    def cancel(self, request_id: str) -> None:
        """Stop a prefill, or drop its result."""
        self.results_by_handle.pop(request_id, None)
        work = self._work_by_id.get(request_id)
        if work is not None:
            self._stop(work, 'refused')
            self._next()

    def clear(self, code: str) -> None:
        """Fail all work, and drop the cache and the results."""
        for work in list(self._work_by_id.values()):
            self._stop(work, code)
        self._queue.clear()
        self._cache.clear()
        self.results_by_handle.clear()

    def _stop(self, work: _Work, code: str) -> None:
        del self._work_by_id[work.call.request_id]
        if self._running is work:
            self._running = None
            if self._task is not None:
                self._task.cancel()
            elapsed = self._clock.monotonic() - work.began
            done = min(work.computing, int(elapsed * self.rate))
            self._record(work, done)
        else:
            self._queue = [row for row in self._queue if row[2] is not work]
            heapq.heapify(self._queue)
        if not work.outcome.done():
            error = engine.EngineError(code, True)
            work.outcome.set_result(Error(error))

    def _next(self) -> None:
        if self._running is None and self._queue:
            self._running = heapq.heappop(self._queue)[2]
            self._task = asyncio.create_task(self._compute(self._running))

    async def _compute(self, work: _Work) -> None:
        blocks = self.cached_blocks(work.blocks)
        elsewhere = self._network.warm_elsewhere(self._name, work.blocks)
        work.began = self._clock.monotonic()
        work.cached = min(blocks * engine.BLOCK_TOKENS, work.tokens - 1)
        work.computing = work.tokens - work.cached
        again = max(0, elsewhere - blocks) * engine.BLOCK_TOKENS
        work.again = min(again, work.computing)
        run = fake_records.Run(
            work.began,
            self._name,
            'prefill',
            work.call.request_id,
            fake_answers.digest(work.call.prompt),
        )
        self._network.records.runs.append(run)
        await self._clock.sleep(work.computing / self.rate)
        self._finish(work)

    def _finish(self, work: _Work) -> None:
        request_id = work.call.request_id
        self._running = None
        del self._work_by_id[request_id]
        self._record(work, work.computing)
        self._store(work.blocks)
        held = Held(work.call.prompt, work.tokens)
        self.results_by_handle[request_id] = held
        timer = asyncio.create_task(self._expire(request_id, held))
        self._timers.add(timer)
        timer.add_done_callback(self._timers.discard)
        result = engine.PrefillResult(
            request_id, work.computing, work.cached, RESULT_SECONDS
        )
        if not work.outcome.done():
            work.outcome.set_result(Ok(result))
        self._next()

    async def _expire(self, handle: str, held: Held) -> None:
        await self._clock.sleep(RESULT_SECONDS)
        while held.pinned:
            await self._clock.sleep(RESULT_SECONDS / 4)
        if self.results_by_handle.get(handle) is held:
            del self.results_by_handle[handle]

    def _store(self, blocks: tuple[int, ...]) -> None:
        added = tuple(b for b in blocks if b not in self._cache)
        for block in reversed(blocks):
            self._cache[block] = None
            self._cache.move_to_end(block)
        removed = []
        while len(self._cache) > self.capacity:
            removed.append(self._cache.popitem(last=False)[0])
        if added or removed:
            self.on_change(added, tuple(removed))

    def _record(self, work: _Work, computed: int) -> None:
        done = fake_records.Prefill(
            self._name,
            work.call.request_id,
            computed,
            work.cached,
            min(work.again, computed),
        )
        self._network.records.prefills.append(done)
