"""The scheduler of a shard: which engines each job gets, and when."""

import asyncio
import itertools
import math
import random

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import catalogue
from corianderspar import clock as clocks
from corianderspar import engine
from corianderspar import fair_queue
from corianderspar import meter
from corianderspar import output_length
from corianderspar import pool_ledger
from corianderspar import pool_placement
from corianderspar import pool_types
from corianderspar import problems

__all__ = ['Grant', 'Job', 'PoolScheduler', 'Reservation', 'ShardSummary']

Job = pool_types.Job
Grant = pool_types.Grant
Reservation = pool_types.Reservation
ShardSummary = pool_types.ShardSummary

TICK_SECONDS = 0.02
RESULT_LIFETIME_SECONDS = 0.7  # of a prefill result at its engine
MAX_CANDIDATES = 8  # accounts considered in one pass
MIN_RETRY_SECONDS = 0.5
RATE_WINDOW_SECONDS = 5.0  # time constant of the rate of grants
REFUSE_FACTOR = 1.5  # of max_wait; a longer expected wait is refused


class _WaitingJob:
    """A job in the queue, and the future that `submit` awaits."""

    def __init__(
        self, job: Job, future: asyncio.Future[Result[Grant, problems.Problem]]
    ) -> None:
        self.job = job
        self.future = future
        self.blocked_since: float | None = None

    def blocked_seconds(self, now: float) -> float:
        """Return how long the job has waited only for its prefill engine."""
        return (
            now - self.blocked_since if self.blocked_since is not None else 0.0
        )


class PoolScheduler:
    """Places jobs on the engines of a shard: a model in a data centre.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rng : random.Random
        Breaks ties among engines.
    on_event : EventCallback, optional
        Records events, for example `timeline.EventBuffer.add`.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        on_event: pool_types.EventCallback | None = None,
    ) -> None:
        self._clock = clock
        self._on_event = on_event
        self._placement = pool_placement.Placement(rng)
        self._granted_by_id: dict[str, pool_ledger.GrantedJob] = {}
        self._queue: fair_queue.FairQueue[_WaitingJob] = fair_queue.FairQueue()
        self._grant_meter = meter.Meter(RATE_WINDOW_SECONDS)
        self._backlog_since = 0.0
        self._ticker: asyncio.Task[None] | None = None

    @property
    def predictor(self) -> output_length.OutputLengthPredictor:
        """The predictor of answer lengths."""
        return self._placement.predictor

    # Engines

    def set_engines(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Replace the engines; those that are removed get no new work."""
        self._placement.set_engines(upstreams_by_name)
        self._schedule_backlog()

    def note_engine_died(self, name: str) -> None:
        """Give an engine that died no work until it reports again."""
        found = self._placement.engine(name)
        if found is None:
            return
        found.died_at = self._clock.monotonic()
        if isinstance(found, pool_ledger.PrefillEngine):
            found.cache.clear()
            found.busy_until = 0.0
        self._record_event('pool.engine_died', upstream=name)

    def note_load(self, name: str, load: engine.EngineLoad) -> None:
        """Update an engine's state from its load report, which lags."""
        found = self._placement.engine(name)
        if found is not None:
            found.note_load(load, self._clock.monotonic())
            self._schedule_backlog()

    def note_cache_event(self, name: str, event: engine.CacheEvent) -> None:
        """Update an engine's cached blocks; events lag and may be missing."""
        found = self._placement.prefills_by_name.get(name)
        if found is not None:
            found.cache.apply_event(event, self._clock.monotonic())

    # Jobs

    async def submit(self, job: Job) -> Result[Grant, problems.Problem]:
        """Wait for capacity and reserve it.

        Cancelling the task that awaits it cancels the job. A job that was
        granted before gets the same grant again.

        Returns
        -------
        Result
            The grant; or the refusal of a job that did not run, of code
            ``overloaded``, ``no_engine``, ``too_large`` or ``closing``.
        """
        granted = self._granted_by_id.get(job.request_id)
        if granted is not None:
            return Ok(granted.grant)
        refusal = self._refusal(job)
        if refusal is not None:
            return Error(refusal)
        now = self._clock.monotonic()
        waiting = _WaitingJob(job, asyncio.get_running_loop().create_future())
        entry = fair_queue.Entry(
            job.account,
            job.service_class,
            now + job.max_wait,
            self._placement.tokens_to_charge(job),
            waiting,
        )
        if not len(self._queue):
            self._backlog_since = now
        self._queue.enqueue(entry, job.weight)
        self._schedule_backlog()
        self._ensure_ticker()
        try:
            return await waiting.future
        except asyncio.CancelledError:
            self._queue.remove(entry)
            if waiting.future.done() and not waiting.future.cancelled():
                self.release(job.request_id, 0, 'gone')
            raise

    def note_prefill_started(self, request_id: str) -> None:
        """Record that the prefill was sent."""
        granted = self._granted_by_id.get(request_id)
        if granted is not None:
            granted.stage = 'prefilling'
            granted.prefill_start = self._clock.monotonic()

    def note_prefilled(
        self, request_id: str, computed_tokens: int, cached_tokens: int
    ) -> None:
        """Record that the prefill ended and its engine holds the KV cache."""
        granted = self._granted_by_id.get(request_id)
        if granted is None:
            return
        now = self._clock.monotonic()
        granted.stage = 'transferring'
        planned_end = granted.prefill_end
        granted.prefill_end = now
        prefill = self._placement.prefills_by_name.get(granted.grant.prefill)
        if prefill is not None:
            prefill.note_prefilled(granted, computed_tokens, planned_end, now)
            cached_blocks = cached_tokens // engine.BLOCK_TOKENS
            prefill.cache.note_prefilled(
                granted.job.blocks, cached_blocks, now
            )
            prefill.remove(request_id, now)
        self._schedule_backlog()

    def reschedule_transfer(
        self, request_id: str, other_engine: bool = False
    ) -> Grant | None:
        """Reserve a decode engine again after a failed transfer.

        Parameters
        ----------
        request_id : str
            Id of the job's request.
        other_engine : bool
            Whether it must be another engine, as the last one stalled.

        Returns
        -------
        Grant or None
            Where to send the transfer after ``delay`` seconds. None if no
            decode engine is available before the prefill result expires: the
            job is then released and has to be submitted again.
        """
        granted = self._granted_by_id.get(request_id)
        if granted is None:
            return None
        now = self._clock.monotonic()
        expired = now > granted.prefill_end + RESULT_LIFETIME_SECONDS
        if expired or not self._placement.reschedule_transfer(
            granted, other_engine, now
        ):
            self.release(request_id, 0, 'failed')
            return None
        return granted.grant

    def note_decoding(self, request_id: str) -> None:
        """Record that the transfer ended and decoding started."""
        granted = self._granted_by_id.get(request_id)
        if granted is not None:
            granted.stage = 'decoding'
            self._placement.links.release(request_id)
            granted.progress_at = self._clock.monotonic()
            decode = self._placement.decodes_by_name.get(granted.grant.decode)
            if decode is not None:
                decode.note_transfer_accepted(granted)

    def note_progress(self, request_id: str, tokens: int) -> None:
        """Record how many answer tokens have been streamed in all."""
        granted = self._granted_by_id.get(request_id)
        if granted is None:
            return
        now = self._clock.monotonic()
        granted.stage = 'decoding'
        decode = self._placement.decodes_by_name.get(granted.grant.decode)
        if granted.answer_tokens == 0 and granted.granted_at:
            overrun = now - granted.granted_at - granted.expected_seconds
            self._placement.overruns.observe('', '', math.ceil(overrun * 1000))
        if decode is not None:
            decode.note_progress(granted, tokens, now)

    def release(self, request_id: str, tokens: int, outcome: str) -> None:
        """Release what is reserved for a job; a second call does nothing.

        Parameters
        ----------
        request_id : str
            Id of the job's request.
        tokens : int
            Answer tokens streamed in all.
        outcome : {'done', 'gone', 'failed', 'died'}
            How the job ended. Lengths are learned from ``'done'`` only, as
            other answers were cut short.
        """
        granted = self._granted_by_id.pop(request_id, None)
        if granted is None:
            return
        now = self._clock.monotonic()
        job = granted.job
        self._placement.links.release(request_id)
        self._placement.release_decode(granted, now)
        prefill = self._placement.prefills_by_name.get(granted.grant.prefill)
        if prefill is not None:
            if granted.stage in ('granted', 'prefilling'):
                prefill.cache.discard(job.blocks)
            prefill.remove(request_id, now)
        if outcome == 'done':
            self._placement.predictor.observe(job.account, job.route, tokens)
        used = job.prompt_tokens + tokens
        if granted.stage == 'granted':
            used = 0
        self._queue.charge(job.account, used - granted.charged_tokens)
        self._record_event(
            'pool.released', request=request_id, outcome=outcome
        )
        self._schedule_backlog()

    # State of the shard

    def reservations(self) -> tuple[Reservation, ...]:
        """Return what is set aside for the jobs that are not released."""
        return tuple(
            Reservation(
                granted.job._replace(blocks=()),
                granted.grant._replace(pieces=granted.pieces),
                granted.stage == 'decoding',
                granted.answer_tokens,
            )
            for granted in self._granted_by_id.values()
        )

    def restore(self, reservations: tuple[Reservation, ...]) -> None:
        """Add reservations that another home made and peers report."""
        for reservation in reservations:
            self._restore(reservation)
        self._schedule_backlog()

    def _restore(self, reservation: Reservation) -> None:
        job, grant, decoding, tokens = reservation
        if job.request_id in self._granted_by_id:
            return
        granted = pool_ledger.GrantedJob(
            job, grant, job.prompt_tokens + tokens
        )
        granted.stage = 'decoding' if decoding else 'prefilling'
        granted.answer_tokens = tokens
        self._granted_by_id[job.request_id] = granted
        decode = self._placement.decodes_by_name.get(grant.decode)
        if decode is not None:
            decode.add(granted)

    def summary(self) -> ShardSummary:
        """Return the load of the shard."""
        free = sum(
            max(0, decode.free_slots())
            for decode in self._placement.decodes_by_name.values()
            if decode.died_at is None and not decode.external.leaving
        )
        tokens_ahead = sum(entry.tokens for entry in self._queue)
        return ShardSummary(
            free, len(self._queue), self._queue_seconds(tokens_ahead)
        )

    def first_token_seconds(
        self, prompt_tokens: int, blocks: tuple[int, ...]
    ) -> float:
        """Return how long a job takes from its grant to the first token.

        See `pool_placement.Placement.first_token_seconds`.
        """
        return self._placement.first_token_seconds(prompt_tokens, blocks)

    def close(self) -> None:
        """Refuse all jobs that wait; none of them has run."""
        for entry in list(self._queue):
            self._refuse(entry, _CLOSING)

    # Placement

    def _schedule_backlog(self) -> None:
        """Grant the jobs that can be granted now."""
        now = self._clock.monotonic()
        while len(self._queue) and self._placement.has_slot(now):
            if not self._grant_one(now):
                return

    def _grant_one(self, now: float) -> bool:
        """Grant or remove one job; return whether the queue changed."""
        heads = itertools.islice(self._queue.heads(now), MAX_CANDIDATES)
        state = pool_placement.PassState()
        for entry in heads:
            waiting = entry.item
            if self._settle(waiting):
                self._queue.remove(entry)
                return True
            plan = self._placement.plan(
                waiting.job, waiting.blocked_seconds(now), state, now
            )
            if plan is None:
                continue
            if not plan.prefill_full:
                self._grant(entry, plan, now)
                return True
            if waiting.blocked_since is None:
                waiting.blocked_since = now
        return False

    def _settle(self, waiting: _WaitingJob) -> bool:
        """Resolve a job granted meanwhile; return whether it is done."""
        granted = self._granted_by_id.get(waiting.job.request_id)
        if granted is not None and not waiting.future.done():
            waiting.future.set_result(Ok(granted.grant))
        return waiting.future.done()

    def _grant(
        self,
        entry: fair_queue.Entry[_WaitingJob],
        plan: pool_placement.Plan,
        now: float,
    ) -> None:
        job = entry.item.job
        self._queue.dequeue(entry)
        self._grant_meter.add(entry.tokens, now)
        granted = self._placement.reserve(job, plan, entry.tokens, now)
        self._granted_by_id[job.request_id] = granted
        self._record_event(
            'pool.granted',
            request=job.request_id,
            prefill=granted.grant.prefill,
            decode=granted.grant.decode,
        )
        entry.item.future.set_result(Ok(granted.grant))

    # Refusals and deadlines

    def _refusal(self, job: Job) -> problems.Problem | None:
        """Return why a new job cannot be granted in time, None if it can."""
        max_pieces = self._placement.max_pieces()
        if (
            max_pieces
            and pool_ledger.pieces_for(job.prompt_tokens + 1) > max_pieces
        ):
            return problems.Problem(
                'too_large', 413, 'no', 'No engine can hold the prompt.'
            )
        if job.service_class == 'patient':
            return None
        if not self._placement.has_engines_for(job):
            return problems.Problem(
                'no_engine', 503, 'no', 'No engine is up.', MIN_RETRY_SECONDS
            )
        tokens_ahead = self._queue.tokens_ahead(
            job.account, job.weight, job.service_class
        )
        seconds = self._queue_seconds(tokens_ahead)
        if seconds <= REFUSE_FACTOR * job.max_wait:
            return None
        return _overloaded(seconds - job.max_wait)

    def _queue_seconds(self, tokens: float) -> float:
        """Return how long it takes until that many queued tokens are granted.

        It is 0 until there has been a backlog for `RATE_WINDOW_SECONDS`:
        the rate of grants is the capacity only while jobs wait.
        """
        now = self._clock.monotonic()
        rate = self._grant_meter.rate(now)
        is_saturated = (
            len(self._queue)
            and now - self._backlog_since > RATE_WINDOW_SECONDS
        )
        return tokens / rate if rate and is_saturated else 0.0

    def _refuse(
        self, entry: fair_queue.Entry[_WaitingJob], problem: problems.Problem
    ) -> None:
        self._queue.remove(entry)
        self._record_event(
            'pool.refused',
            request=entry.item.job.request_id,
            code=problem.code,
        )
        if not entry.item.future.done():
            entry.item.future.set_result(Error(problem))

    def _ensure_ticker(self) -> None:
        """Run the ticker for as long as there is a backlog."""
        if len(self._queue) and (self._ticker is None or self._ticker.done()):
            self._ticker = asyncio.create_task(self._run_ticker())

    async def _run_ticker(self) -> None:
        while len(self._queue):
            await self._clock.sleep(TICK_SECONDS)
            for entry in self._queue.expired(self._clock.monotonic()):
                self._refuse(entry, self._expiry_problem(entry))
            self._schedule_backlog()

    def _expiry_problem(
        self, entry: fair_queue.Entry[_WaitingJob]
    ) -> problems.Problem:
        job = entry.item.job
        tokens_ahead = self._queue.tokens_ahead(
            job.account, job.weight, job.service_class
        )
        return _overloaded(self._queue_seconds(tokens_ahead))

    def _record_event(self, name: str, **fields: object) -> None:
        if self._on_event is not None:
            self._on_event(name, **fields)


def _overloaded(retry_after: float) -> problems.Problem:
    return problems.Problem(
        'overloaded',
        503,
        'no',
        'No engine has room in time.',
        max(MIN_RETRY_SECONDS, retry_after),
    )


_CLOSING = problems.Problem(
    'closing', 503, 'no', 'This daemon is going away.', MIN_RETRY_SECONDS
)
