"""Placement without homes, to weigh: two choices, and fixed cuts."""

import math

from expression import Result
import xxhash

from corianderspar import catalogue
from corianderspar import engine
from corianderspar import measure_pool
from corianderspar import pool
from corianderspar import pool_trial
from corianderspar import problems
from corianderspar import rendezvous
from corianderspar import workload

DAEMONS = 5
LOADS = (0.7, 1.0, 1.5)
SEEDS = (1, 2, 3)
SECONDS = 60.0
POLL_SECONDS = 0.05
RETRY_SECONDS = 0.03
RESULT_SECONDS = 0.7


class Cuts:
    """Daemons that own a fixed cut of every engine, each on its own.

    It looks like one `pool.PoolScheduler` to a trial.

    Parameters
    ----------
    schedulers : list of PoolScheduler
        One for each daemon.
    """

    def __init__(self, schedulers: list[pool.PoolScheduler]) -> None:
        self._schedulers = schedulers

    def __getattr__(self, name: str) -> object:
        """Return a method of the scheduler that the request went to."""

        def call(request_id: str, *rest: object) -> object:
            return getattr(self._of(request_id), name)(request_id, *rest)

        return call

    async def submit(
        self, job: pool.Job
    ) -> Result[pool.Grant, problems.Problem]:
        """Ask the daemon that the caller reached."""
        return await self._of(job.request_id).submit(job)

    def first_token_seconds(
        self, prompt_tokens: int, blocks: tuple[int, ...]
    ) -> float:
        """Return what the first daemon expects."""
        return self._schedulers[0].first_token_seconds(prompt_tokens, blocks)

    def set_engines(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Give each daemon its cut."""
        parts = len(self._schedulers)
        cut = {
            name: upstream._replace(
                slots=max(1, upstream.slots // parts),
                pieces=upstream.pieces // parts
                if upstream.role == 'decode'
                else upstream.pieces,
                link_rate=upstream.link_rate / parts,
            )
            for name, upstream in upstreams_by_name.items()
        }
        for scheduler in self._schedulers:
            scheduler.set_engines(cut)

    def note_engine_died(self, name: str) -> None:
        """Tell all daemons."""
        for scheduler in self._schedulers:
            scheduler.note_engine_died(name)

    def note_load(self, name: str, load: engine.EngineLoad) -> None:
        """Tell all daemons, who look after their own cut only."""
        for scheduler in self._schedulers:
            scheduler.note_load(
                name, load._replace(requests=(), used_pieces=0)
            )

    def note_cache_event(self, name: str, event: engine.CacheEvent) -> None:
        """Tell all daemons."""
        for scheduler in self._schedulers:
            scheduler.note_cache_event(name, event)

    def _of(self, request_id: str) -> pool.PoolScheduler:
        caller = request_id.rpartition('/')[0].encode()
        number = xxhash.xxh3_64_intdigest(caller) % len(self._schedulers)
        return self._schedulers[number]


class CutTrial(pool_trial.OurTrial):
    """Places by `Cuts`."""

    async def start(self) -> None:
        """Replace the one scheduler before any work."""
        await super().start()
        cuts = Cuts(
            [pool.PoolScheduler(self.clock, self.rng) for _ in range(DAEMONS)]
        )
        cuts.set_engines(self.upstreams_by_name)
        self.scheduler = cuts  # type: ignore[assignment]


class Lagged:
    """Daemons that decide alone on late reports, with two choices.

    A prompt goes to the less loaded of the two prefill engines that its
    first block hashes to, an answer to the less loaded of two decode
    engines at random. It looks like one `pool.PoolScheduler` to a trial.

    Parameters
    ----------
    trial : OurTrial
        Gives the clock, the random source and the engines.
    """

    def __init__(self, trial: pool_trial.OurTrial) -> None:
        self._trial = trial
        self._loads_by_name: dict[str, engine.EngineLoad] = {}
        self._dead: set[str] = set()
        self._grants_by_id: dict[str, tuple[pool.Grant, float]] = {}

    async def submit(
        self, job: pool.Job
    ) -> Result[pool.Grant, problems.Problem]:
        """Wait until one of two engines reports room."""
        clock = self._trial.clock
        deadline = clock.monotonic() + job.max_wait
        while True:
            decode = self._decode()
            if decode is not None:
                break
            if clock.monotonic() >= deadline:
                problem = problems.Problem('overloaded', 503, 'no', '')
                return Result.Error(problem)
            await clock.sleep(POLL_SECONDS)
        prefill = self._prefill(job)
        grant = pool.Grant(job.request_id, prefill, decode, 0.0, 1, 0.0)
        self._grants_by_id[job.request_id] = (grant, math.inf)
        return Result.Ok(grant)

    def _prefill(self, job: pool.Job) -> str:
        names = [
            name
            for name, upstream in self._trial.upstreams_by_name.items()
            if upstream.role == 'prefill' and name not in self._dead
        ]
        key = str(job.blocks[0]) if job.blocks else job.request_id
        two = rendezvous.rank(key, names)[:2]
        return min(two, key=self._queued)

    def _queued(self, name: str) -> int:
        load = self._loads_by_name.get(name)
        return load.queued_tokens if load else 0

    def _decode(self) -> str | None:
        names = [
            name
            for name, upstream in self._trial.upstreams_by_name.items()
            if upstream.role == 'decode' and name not in self._dead
        ]
        two = self._trial.rng.sample(names, 2)
        best = min(two, key=self._held)
        slots = self._trial.upstreams_by_name[best].slots
        return best if self._held(best) < slots else None

    def _held(self, name: str) -> int:
        load = self._loads_by_name.get(name)
        return len(load.requests) if load else 0

    def reschedule_transfer(self, request_id: str) -> pool.Grant | None:
        """Try two others while the prefill result lives."""
        grant, until = self._grants_by_id[request_id]
        if self._trial.clock.monotonic() > until:
            return None
        name = self._decode() or grant.decode
        grant = grant._replace(decode=name, delay=RETRY_SECONDS)
        self._grants_by_id[request_id] = (grant, until)
        return grant

    def note_prefilled(
        self, request_id: str, computed: int, cached: int
    ) -> None:
        """Take note of how long the result lives."""
        grant, _until = self._grants_by_id[request_id]
        until = self._trial.clock.monotonic() + RESULT_SECONDS
        self._grants_by_id[request_id] = (grant, until)

    def note_load(self, name: str, load: engine.EngineLoad) -> None:
        """Take a late report."""
        self._loads_by_name[name] = load

    def note_engine_died(self, name: str) -> None:
        """Leave the engine out."""
        self._dead.add(name)

    def first_token_seconds(
        self, prompt_tokens: int, blocks: tuple[int, ...]
    ) -> float:
        """Return the seconds of an uncached prefill, and some more."""
        return prompt_tokens / self._trial.setup.prefill_rate + 0.2

    def note_cache_event(self, name: str, event: engine.CacheEvent) -> None:
        """Ignore it; prefixes go by hash."""

    def note_prefill_started(self, request_id: str) -> None:
        """Ignore it."""

    def note_decoding(self, request_id: str) -> None:
        """Ignore it."""

    def note_progress(self, request_id: str, tokens: int) -> None:
        """Ignore it."""

    def release(self, request_id: str, tokens: int, outcome: str) -> None:
        """Forget the request."""
        self._grants_by_id.pop(request_id, None)


class LaggedTrial(pool_trial.OurTrial):
    """Places by `Lagged`."""

    async def start(self) -> None:
        """Replace the one scheduler before any work."""
        await super().start()
        self.scheduler = Lagged(self)  # type: ignore[assignment]


def main() -> None:
    """Print a line for each way, load and seed."""
    setup = pool_trial.Setup()
    for load in LOADS:
        for seed in SEEDS:
            rate = load * measure_pool.capacity(setup)
            arrivals = workload.make(seed, SECONDS, rate)
            for kind in (pool_trial.OurTrial, CutTrial, LaggedTrial):
                found = pool_trial.run(kind, setup, arrivals, seed, SECONDS)
                print(
                    f'way={kind.__name__} load={load} seed={seed}'
                    f' goodput={found.goodput:.2f}'
                    f' wasted={found.wasted:.4f}'
                    f' worst_share={found.worst_share:.3f}',
                    flush=True,
                )


if __name__ == '__main__':
    main()
