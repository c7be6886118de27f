"""Weighs ways to tell whether a prefix is still cached at an engine.

`prefix_cache.EngineCache` mirrors the engine's LRU list. Set against it: the
accesses since a block was sent (plain recency), and these less the ones
that were re-accesses (the re-access ratio of the OSCA paper).
"""

import math
from typing import NamedTuple
from typing import Protocol

from corianderspar import clock as clocks
from corianderspar import engine
from corianderspar import measure_pool
from corianderspar import pool_figures
from corianderspar import pool_trial
from corianderspar import prefix_cache
from corianderspar import workload

SEEDS = (1, 2, 3)
SECONDS = 60.0
LOAD = 0.9
WINDOW = 1024
TEXTS = workload.Shape(texts=10, shared=0.85)
SETUP = pool_trial.Setup(cache_pieces=16, dies='')


class Cache(Protocol):
    """What the scheduler asks of its knowledge of a cache."""

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are believed cached."""
        ...

    def note_sent(self, blocks: tuple[int, ...], now: float) -> None:
        """Take note that a prompt with these blocks goes to the engine."""
        ...


class RecencyCache:
    """Believes what was sent within ``capacity`` accesses.

    Parameters
    ----------
    capacity : int
        Blocks that the engine's memory holds.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._accesses = 0
        self._last_by_block: dict[int, int] = {}

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are believed cached."""
        for count, block in enumerate(blocks):
            last = self._last_by_block.get(block)
            if last is None or self.distance(last) > self.capacity:
                return count
        return len(blocks)

    def distance(self, last: int) -> float:
        """Return the blocks believed to have come in since an access."""
        return self._accesses - last

    def note_sent(self, blocks: tuple[int, ...], now: float) -> None:
        """Take note that a prompt with these blocks goes to the engine."""
        for block in reversed(blocks):
            self.access(block)
            self._accesses += 1
            self._last_by_block[block] = self._accesses

    def access(self, block: int) -> None:
        """Take note of one access, before it is counted."""

    def note_prefilled(
        self, blocks: tuple[int, ...], cached: int, now: float
    ) -> None:
        """Take note of how many leading blocks the engine had cached."""

    def discard(self, blocks: tuple[int, ...]) -> None:
        """Forget blocks that were never computed after all."""
        for block in blocks:
            self._last_by_block.pop(block, None)

    def apply_event(self, event: engine.CacheEvent, now: float) -> None:
        """Believe a removal that is old enough to be of the last access."""
        for block in event.removed:
            self._last_by_block.pop(block, None)

    def clear(self) -> None:
        """Forget everything."""
        self._last_by_block.clear()


class ReuseCache(RecencyCache):
    """Believes what is within ``capacity`` by the re-access ratio model.

    The reuse distance is ``(1 - RAR(T)) * T`` for ``T`` accesses, where
    ``RAR(T) = a * log(T) + b`` is fitted to windows of `WINDOW` accesses.
    """

    def __init__(self, capacity: int) -> None:
        super().__init__(capacity)
        self._in_window: set[int] = set()
        self._total = 0
        self._again = 0
        self._points: dict[int, float] = {}
        self._slope = 0.0
        self._offset = 0.0

    def distance(self, last: int) -> float:
        """Return the unique blocks believed to have come in since."""
        total = self._accesses - last
        if total < 1:
            return 0.0
        ratio = self._slope * math.log(total) + self._offset
        return (1 - min(1.0, max(0.0, ratio))) * total

    def access(self, block: int) -> None:
        """Count an access and, at each power of two, the ratio so far."""
        self._total += 1
        self._again += block in self._in_window
        self._in_window.add(block)
        if self._total & (self._total - 1) == 0:
            old = self._points.get(self._total, self._again / self._total)
            self._points[self._total] = (old + self._again / self._total) / 2
        if self._total >= WINDOW:
            self._in_window.clear()
            self._total = self._again = 0
            self._fit()

    def _fit(self) -> None:
        rows = [(math.log(total), r) for total, r in self._points.items()]
        rows = [row for row in rows if row[0] > math.log(16)]
        mean_x = sum(x for x, _y in rows) / len(rows)
        mean_y = sum(y for _x, y in rows) / len(rows)
        spread = sum((x - mean_x) ** 2 for x, _y in rows)
        product = sum((x - mean_x) * (y - mean_y) for x, y in rows)
        self._slope = product / spread
        self._offset = mean_y - self._slope * mean_x


class Weighed(NamedTuple):
    """How one way fared in a trial.

    Attributes
    ----------
    name : str
        Name of its class.
    seed : int
        Seed of the workload.
    goodput : float
        Requests a second within both targets.
    wasted : float
        Share of the prefill tokens wasted.
    false_warm, false_cold : float
        Share of the prompt tokens wrongly believed cached at the engine
        that was chosen, and wrongly believed not.
    computed : int
        Prompt tokens computed.
    """

    name: str
    seed: int
    goodput: float
    wasted: float
    false_warm: float
    false_cold: float
    computed: int


class _Watched(pool_trial.OurTrial):
    """Replaces the caches and compares belief with what was cached."""

    kind: type[RecencyCache] | None = None

    async def start(self) -> None:
        await super().start()
        self.tokens = self.false_warm = self.false_cold = 0
        for prefill in self.scheduler._placement.prefills_by_name.values():
            if self.kind is not None:
                known = self.kind(prefill.cache.capacity)
                prefill.cache = known  # type: ignore[assignment]
            self._watch(prefill.name, prefill.cache)

    def _watch(self, name: str, cache: Cache) -> None:
        sent = cache.note_sent
        truth = self.engines_by_name[name].prefills

        def compare(blocks: tuple[int, ...], now: float) -> None:
            wrong = cache.match(blocks) - truth.cached_blocks(blocks)
            self.tokens += len(blocks)
            self.false_warm += max(0, wrong)
            self.false_cold += max(0, -wrong)
            sent(blocks, now)

        cache.note_sent = compare  # type: ignore[method-assign]


class _Recency(_Watched):
    kind = RecencyCache


class _Reuse(_Watched):
    kind = ReuseCache


def weigh(seed: int, seconds: float = SECONDS) -> list[Weighed]:
    """Run the same workload under the mirror and both estimates."""
    rate = LOAD * measure_pool.capacity(SETUP)
    arrivals = workload.make(seed, seconds, rate, shape=TEXTS)
    found = []
    for kind in (_Watched, _Recency, _Reuse):

        async def main(kind: type[_Watched] = kind) -> _Watched:
            trial = kind(SETUP, arrivals, seed)
            await trial.run()
            return trial

        trial = clocks.run_virtual(main())
        outcome = pool_figures.outcome(trial, seconds)
        name = (kind.kind or prefix_cache.EngineCache).__name__
        found.append(
            Weighed(
                name,
                seed,
                outcome.goodput,
                outcome.wasted,
                trial.false_warm / trial.tokens,
                trial.false_cold / trial.tokens,
                trial.network.records.prefill_tokens(),
            )
        )
    return found


def main() -> None:
    """Print a line for each way and seed."""
    for seed in SEEDS:
        for row in weigh(seed):
            print(
                f'cache={row.name} seed={row.seed}'
                f' goodput={row.goodput:.2f} wasted={row.wasted:.4f}'
                f' false_warm={row.false_warm:.4f}'
                f' false_cold={row.false_cold:.4f} computed={row.computed}',
                flush=True,
            )


if __name__ == '__main__':
    main()
