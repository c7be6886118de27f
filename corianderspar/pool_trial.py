"""Runs a workload against fake engines under one way of placement."""

import abc
import asyncio
from collections.abc import Callable
import math
import random
from typing import NamedTuple

from expression import Result

from corianderspar import catalogue
from corianderspar import clock as clocks
from corianderspar import engine
from corianderspar import fake_answers
from corianderspar import fake_engine
from corianderspar import naive_pool
from corianderspar import pool
from corianderspar import pool_figures
from corianderspar import workload

MIN_WAIT = 0.4
PATIENT_WAIT = 40.0
REPORT_SECONDS = 0.5
DRAIN_SECONDS = 60.0
STRIDE = 4
MODEL = 'naptar-7b'
PRIORITIES = {'guarded': 2, 'ordinary': 1, 'patient': 0}


class Setup(NamedTuple):
    """The engines, and what befalls them.

    Attributes
    ----------
    prefills, decodes : int
        How many engines.
    slots, pieces, cache_pieces : int
        Room of a decode engine; cache of a prefill engine.
    prefill_rate : float
        Prompt tokens a second.
    link_rate : float
        Bytes a second.
    dies : str
        Name of an engine that dies; empty for none.
    dies_at : float
        Seconds since the start.
    """

    prefills: int = 3
    decodes: int = 4
    slots: int = 20
    pieces: int = 40
    cache_pieces: int = 32
    prefill_rate: float = 8000.0
    link_rate: float = 6e9
    dies: str = 'decode1'
    dies_at: float = 30.0


class _Stream:
    """What has come of an answer."""

    def __init__(self, arrival: workload.Arrival) -> None:
        self.arrival = arrival
        self.text = ''
        self.tokens = 0
        self.first_at = math.inf
        self.last_at = math.inf

    def add(self, piece: engine.Piece, now: float) -> None:
        if self.tokens == 0:
            self.first_at = now
        self.text += piece.text
        self.tokens += piece.tokens
        self.last_at = now

    def seen(self, code: str, now: float) -> pool_figures.Seen:
        spaces = max(1, self.tokens - 1)
        gap = (self.last_at - self.first_at) / spaces if self.tokens else 0.0
        first = self.first_at - self.arrival.at
        return pool_figures.Seen(
            self.arrival, first, gap, self.text, code, now
        )


class Trial(abc.ABC):
    """Engines and a workload; `run` gives what every caller saw.

    Parameters
    ----------
    setup : Setup
        The engines.
    arrivals : list of Arrival
        The workload.
    seed : int
        Seed of what is random beside the workload.
    """

    def __init__(
        self, setup: Setup, arrivals: list[workload.Arrival], seed: int
    ) -> None:
        self.setup = setup
        self.arrivals = arrivals
        self.clock = clocks.VirtualClock()
        self.rng = random.Random(seed)  # noqa: S311
        self.network = fake_engine.FakeNetwork()
        self.seen: list[pool_figures.Seen] = []
        self.end = 0.0
        self.upstreams_by_name = upstreams(setup)
        self.engines_by_name = {
            name: fake_engine.FakeEngine(
                self.clock,
                self.rng,
                name,
                upstream,
                self.network,
                setup.prefill_rate,
                STRIDE,
            )
            for name, upstream in self.upstreams_by_name.items()
        }

    async def run(self) -> None:
        """Send all arrivals in time and wait for the last answer."""
        await self.start()
        tasks = []
        killer = asyncio.create_task(self._kill())
        for arrival in self.arrivals:
            await self.clock.sleep(arrival.at - self.clock.monotonic())
            tasks.append(asyncio.create_task(self._caller(arrival)))
        await asyncio.wait(tasks, timeout=DRAIN_SECONDS)
        self.end = self.clock.monotonic()
        killer.cancel()

    # The hooks below may stay empty in a way of placement.

    async def start(self) -> None:  # noqa: B027
        """Prepare the way of placement."""

    @abc.abstractmethod
    async def serve(self, stream: _Stream) -> str:
        """Serve a request to its end and return its code."""

    async def gone(self, stream: _Stream) -> None:  # noqa: B027
        """Take note that the caller went away."""

    async def died(self, name: str) -> None:  # noqa: B027
        """Take note that an engine died."""

    async def _caller(self, arrival: workload.Arrival) -> None:
        stream = _Stream(arrival)
        try:
            async with asyncio.timeout(arrival.leaves):
                code = await self.serve(stream)
        except TimeoutError:
            await self.gone(stream)
            code = 'gone'
        self.seen.append(stream.seen(code, self.clock.monotonic()))

    async def _kill(self) -> None:
        if self.setup.dies:
            await self.clock.sleep(self.setup.dies_at)
            self.engines_by_name[self.setup.dies].die()
            await self.died(self.setup.dies)

    async def decode(
        self, stream: _Stream, request_id: str, name: str
    ) -> Result[None, engine.EngineError]:
        """Generate on from where the stream is."""
        arrival = stream.arrival
        call = engine.DecodeCall(
            request_id,
            MODEL,
            arrival.prompt,
            arrival.max_tokens,
            stream.tokens,
            stream.text,
            PRIORITIES[arrival.service_class],
        )
        try:
            async for piece in self.engines_by_name[name].decode(call):
                stream.add(piece, self.clock.monotonic())
                self.on_piece(request_id, stream)
        except engine.EngineFailure as failure:
            return Result.Error(failure.error)
        return Result.Ok(None)

    def on_piece(  # noqa: B027
        self, request_id: str, stream: _Stream
    ) -> None:
        """Take note of a piece."""


class OurTrial(Trial):
    """Places by `pool.PoolScheduler`."""

    async def start(self) -> None:
        """Make the scheduler and follow the engines' reports."""
        self.scheduler = pool.PoolScheduler(self.clock, self.rng)
        self.scheduler.set_engines(self.upstreams_by_name)
        self._ids_by_caller: dict[str, str] = {}
        self._grants_by_id: dict[str, pool.Grant] = {}
        self._follow = [
            asyncio.create_task(follow(name))
            for name in self.engines_by_name
            for follow in (self._reports, self._events)
        ]

    async def _reports(self, name: str) -> None:
        while True:
            load = await self.engines_by_name[name].load()
            await self.clock.sleep(REPORT_SECONDS)
            if load.is_ok():
                self.scheduler.note_load(name, load.ok)

    async def _events(self, name: str) -> None:
        try:
            async for event in self.engines_by_name[name].events():
                self.scheduler.note_cache_event(name, event)
        except engine.EngineFailure:
            return

    async def died(self, name: str) -> None:
        """Tell the scheduler."""
        self.scheduler.note_engine_died(name)

    def job(self, arrival: workload.Arrival, request_id: str) -> pool.Job:
        """Return what the scheduler is asked for."""
        tokens, blocks = fake_answers.read(arrival.prompt)
        work = self.scheduler.first_token_seconds(tokens, blocks)
        wait = max(MIN_WAIT, pool_figures.FIRST_SECONDS - work)
        if arrival.service_class == 'patient':
            wait = PATIENT_WAIT
        return pool.Job(
            request_id,
            arrival.account,
            arrival.weight,
            arrival.service_class,
            self.route(arrival),
            tokens,
            blocks,
            arrival.max_tokens,
            wait,
        )

    def route(self, arrival: workload.Arrival) -> str:
        """Return the route, by which lengths are predicted."""
        return arrival.route

    async def serve(self, stream: _Stream) -> str:
        """Submit, run and, after an engine's death, submit again."""
        for attempt in range(4):
            request_id = f'{stream.arrival.request_id}/{attempt}'
            self._ids_by_caller[stream.arrival.request_id] = request_id
            job = self.job(stream.arrival, request_id)
            if attempt:
                job = job._replace(max_wait=5.0)
            granted = await self.scheduler.submit(job)
            if granted.is_error():
                return granted.error.code
            self._grants_by_id[request_id] = granted.ok
            outcome = await self._attempt(stream, granted.ok)
            self.scheduler.release(request_id, stream.tokens, outcome)
            if outcome == 'done':
                return 'done'
        return 'failed'

    async def _attempt(self, stream: _Stream, grant: pool.Grant) -> str:
        request_id = grant.request_id
        await self.clock.sleep(grant.delay)
        self.scheduler.note_prefill_started(request_id)
        prefill = self.engines_by_name[grant.prefill]
        result = await prefill.prefill(
            engine.PrefillCall(
                request_id,
                MODEL,
                stream.arrival.prompt,
                PRIORITIES[stream.arrival.service_class],
            )
        )
        if result.is_error():
            return 'died' if result.error.code == 'died' else 'failed'
        done = result.ok
        self.scheduler.note_prefilled(
            request_id, done.computed_tokens, done.cached_tokens
        )
        name = await self._transfer(grant, done.handle)
        if not name:
            return 'failed'
        self.scheduler.note_decoding(request_id)
        ended = await self.decode(stream, request_id, name)
        return 'done' if ended.is_ok() else 'died'

    async def _transfer(self, grant: pool.Grant, handle: str) -> str:
        """Send the result to an engine with room; return its name."""
        source = self.upstreams_by_name[grant.prefill].address
        call = engine.TransferCall(grant.request_id, handle, source)
        while True:
            target = self.engines_by_name[grant.decode]
            sent = await target.transfer(call)
            if sent.is_ok():
                return grant.decode
            if sent.error.code == 'expired':
                return ''
            again = self.scheduler.reschedule_transfer(grant.request_id)
            if again is None:
                return ''
            grant = again
            self._grants_by_id[grant.request_id] = grant
            await self.clock.sleep(grant.delay)

    def on_piece(  # noqa: B027
        self, request_id: str, stream: _Stream
    ) -> None:
        """Tell the scheduler."""
        self.scheduler.note_progress(request_id, stream.tokens)

    async def gone(self, stream: _Stream) -> None:
        """Cancel on both engines, then release."""
        request_id = self._ids_by_caller[stream.arrival.request_id]
        grant = self._grants_by_id.get(request_id)
        if grant is not None:
            for name in (grant.prefill, grant.decode):
                await self.engines_by_name[name].cancel(request_id)
        self.scheduler.release(request_id, stream.tokens, 'gone')


class OracleTrial(OurTrial):
    """Places by the same scheduler, which knows true lengths."""

    async def start(self) -> None:
        """Put the oracle in the predictor's place."""
        await super().start()
        self.scheduler._placement.predictor = naive_pool.Oracle(
            {arrival.request_id: arrival.length for arrival in self.arrivals}
        )

    def route(self, arrival: workload.Arrival) -> str:
        """Return the request's id, by which the oracle knows it."""
        return arrival.request_id


class NaiveTrial(Trial):
    """Places by `naive_pool.NaivePool` and never cancels."""

    async def start(self) -> None:
        """Make the naive pool."""
        self.pool = naive_pool.NaivePool(self.clock)
        self.pool.set_engines(self.upstreams_by_name)
        self._orphans: set[asyncio.Task[str]] = set()

    async def died(self, name: str) -> None:
        """Tell the pool."""
        await self.pool.engine_died(name)

    async def serve(self, stream: _Stream) -> str:
        """Run to the end, also when the caller has gone."""
        work = asyncio.create_task(self._serve(stream))
        self._orphans.add(work)
        work.add_done_callback(self._orphans.discard)
        return await asyncio.shield(work)

    async def _serve(self, stream: _Stream) -> str:
        for attempt in range(50):
            request_id = f'{stream.arrival.request_id}/{attempt}'
            tokens, blocks = fake_answers.read(stream.arrival.prompt)
            arrival = stream.arrival
            granted = await self.pool.submit(
                pool.Job(
                    request_id,
                    arrival.account,
                    arrival.weight,
                    arrival.service_class,
                    arrival.route,
                    tokens,
                    blocks,
                    arrival.max_tokens,
                    math.inf,
                )
            )
            if granted.is_error():
                return granted.error.code
            done = await self._attempt(stream, granted.ok)
            await self.pool.release(request_id)
            if done:
                return 'done'
        return 'failed'

    async def _attempt(self, stream: _Stream, grant: pool.Grant) -> bool:
        prefill = self.engines_by_name[grant.prefill]
        result = await prefill.prefill(
            engine.PrefillCall(grant.request_id, MODEL, stream.arrival.prompt)
        )
        if result.is_error():
            return False
        await self.pool.room(grant)
        source = self.upstreams_by_name[grant.prefill].address
        sent = await self.engines_by_name[grant.decode].transfer(
            engine.TransferCall(grant.request_id, result.ok.handle, source)
        )
        if sent.is_error():
            return False
        ended = await self.decode(stream, grant.request_id, grant.decode)
        return ended.is_ok()


def run(
    kind: Callable[[Setup, list[workload.Arrival], int], Trial],
    setup: Setup,
    arrivals: list[workload.Arrival],
    seed: int,
    seconds: float,
) -> pool_figures.Outcome:
    """Run a trial on virtual time and return its figures."""

    async def main() -> Trial:
        trial = kind(setup, arrivals, seed)
        await trial.run()
        return trial

    return pool_figures.outcome(clocks.run_virtual(main()), seconds)


def upstreams(setup: Setup) -> dict[str, catalogue.Upstream]:
    """Return the engines as the catalogue has them."""
    base = catalogue.Upstream(
        'szeged', '', 'engine', MODEL, link_rate=setup.link_rate
    )
    found = {}
    for number in range(setup.prefills):
        found[f'prefill{number}'] = base._replace(
            address=f'10.0.1.{number}:80',
            role='prefill',
            slots=1,
            pieces=setup.cache_pieces,
        )
    for number in range(setup.decodes):
        found[f'decode{number}'] = base._replace(
            address=f'10.0.2.{number}:80',
            role='decode',
            slots=setup.slots,
            pieces=setup.pieces,
        )
    return found
