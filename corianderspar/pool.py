"""The scheduler at the home of a shard: who runs where, and when."""

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
from corianderspar import pool_ledger as ledger
from corianderspar import pool_placement
from corianderspar import pool_types
from corianderspar import predict
from corianderspar import problems

__all__ = ['Grant', 'Job', 'PoolScheduler', 'Reservation', 'ShardSummary']

Job = pool_types.Job
Grant = pool_types.Grant
Reservation = pool_types.Reservation
ShardSummary = pool_types.ShardSummary

TICK_SECONDS = 0.02
RESULT_SECONDS = 0.7
CANDIDATES = 8
MIN_RETRY_SECONDS = 0.5
RATE_SECONDS = 5.0
REFUSE_FACTOR = 1.5


class _Waiting:
    """A job in the queue, and the future that its caller awaits."""

    def __init__(
        self, job: Job, future: asyncio.Future[Result[Grant, problems.Problem]]
    ) -> None:
        self.job = job
        self.future = future
        self.blocked_at: float | None = None

    def blocked(self, now: float) -> float:
        """Return the seconds since only its prefill engine was full."""
        return now - self.blocked_at if self.blocked_at is not None else 0.0


class PoolScheduler:
    """Places jobs on the engines of one model in one data centre.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rng : random.Random
        Breaks ties.
    on_event : callable, optional
        Takes events, such as `timeline.Ring.add`.
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
        self._bookings_by_id: dict[str, ledger.Booking] = {}
        self._queue: fair_queue.FairQueue[_Waiting] = fair_queue.FairQueue()
        self._granted = meter.Meter(RATE_SECONDS)
        self._backlog_at = 0.0
        self._ticker: asyncio.Task[None] | None = None

    @property
    def predictor(self) -> predict.Predictor:
        """The predicted answer lengths."""
        return self._placement.predictor

    # Engines

    def set_engines(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Take the engines of the shard; what left gets no new work."""
        self._placement.set_engines(upstreams_by_name)
        self._pump()

    def note_engine_died(self, name: str) -> None:
        """Give the engine no work until it reports again."""
        found = self._placement.engine(name)
        if found is None:
            return
        found.died_at = self._clock.monotonic()
        if isinstance(found, ledger.PrefillEngine):
            found.cache.clear()
            found.busy_until = 0.0
        self._event('pool.engine_died', upstream=name)

    def note_load(self, name: str, load: engine.EngineLoad) -> None:
        """Take an engine's report, which lags."""
        found = self._placement.engine(name)
        if found is not None:
            found.report(load, self._clock.monotonic())
            self._pump()

    def note_cache_event(self, name: str, event: engine.CacheEvent) -> None:
        """Take a cache event, which may be late and follow a gap."""
        found = self._placement.prefills_by_name.get(name)
        if found is not None:
            found.cache.event(event, self._clock.monotonic())

    # Jobs

    async def submit(self, job: Job) -> Result[Grant, problems.Problem]:
        """Wait for room and book it.

        Cancelling the task that awaits drops the job. A job that has
        room already gets the same grant again.

        Returns
        -------
        Result
            The grant; or a problem of code ``overloaded``, ``no_engine``
            or ``too_large`` for a job that did not run.
        """
        known = self._bookings_by_id.get(job.request_id)
        if known is not None:
            return Ok(known.grant)
        refusal = self._refusal(job)
        if refusal is not None:
            return Error(refusal)
        now = self._clock.monotonic()
        waiting = _Waiting(job, asyncio.get_running_loop().create_future())
        entry = fair_queue.Entry(
            job.account,
            job.service_class,
            now + job.max_wait,
            self._placement.charge(job),
            waiting,
        )
        if not len(self._queue):
            self._backlog_at = now
        self._queue.push(entry, job.weight)
        self._pump()
        self._tick()
        try:
            return await waiting.future
        except asyncio.CancelledError:
            self._queue.remove(entry)
            if waiting.future.done() and not waiting.future.cancelled():
                self.release(job.request_id, 0, 'gone')
            raise

    def note_prefill_started(self, request_id: str) -> None:
        """Take note that the prefill was sent."""
        booking = self._bookings_by_id.get(request_id)
        if booking is not None:
            booking.stage = 'prefilling'
            booking.started = self._clock.monotonic()

    def note_prefilled(
        self, request_id: str, computed_tokens: int, cached_tokens: int
    ) -> None:
        """Take note that the prefill ended and its result lives."""
        booking = self._bookings_by_id.get(request_id)
        if booking is None:
            return
        now = self._clock.monotonic()
        booking.stage = 'transferring'
        planned = booking.prefill_end
        booking.prefill_end = now
        prefill = self._placement.prefills_by_name.get(booking.grant.prefill)
        if prefill is not None:
            prefill.finished(booking, computed_tokens, planned, now)
            cached = cached_tokens // engine.BLOCK_TOKENS
            prefill.cache.found(booking.job.blocks, cached, now)
            prefill.drop(request_id, now)
        self._pump()

    def reschedule_transfer(
        self, request_id: str, avoid: bool = False
    ) -> Grant | None:
        """Book a decode engine again while the prefill result lives.

        Parameters
        ----------
        request_id : str
            The job's.
        avoid : bool
            Whether it must be another engine, as the one before stalled.

        Returns
        -------
        Grant or None
            Where to send the transfer after ``delay`` seconds. None if no
            room is in sight in time: the job's room is given back, and it
            has to be submitted again.
        """
        booking = self._bookings_by_id.get(request_id)
        if booking is None:
            return None
        now = self._clock.monotonic()
        late = now > booking.prefill_end + RESULT_SECONDS
        if late or not self._placement.rebook(booking, avoid, now):
            self.release(request_id, 0, 'failed')
            return None
        return booking.grant

    def note_decoding(self, request_id: str) -> None:
        """Take note that the decode engine generates the answer."""
        booking = self._bookings_by_id.get(request_id)
        if booking is not None:
            booking.stage = 'decoding'
            self._placement.links.release(request_id)
            booking.progress_at = self._clock.monotonic()
            decode = self._placement.decodes_by_name.get(booking.grant.decode)
            if decode is not None:
                decode.accepted(booking)

    def note_progress(self, request_id: str, tokens: int) -> None:
        """Take note of how many answer tokens have come in all."""
        booking = self._bookings_by_id.get(request_id)
        if booking is None:
            return
        now = self._clock.monotonic()
        booking.stage = 'decoding'
        decode = self._placement.decodes_by_name.get(booking.grant.decode)
        if booking.tokens == 0 and booking.granted_at:
            slip = now - booking.granted_at - booking.expected
            self._placement.slips.add('', '', math.ceil(slip * 1000))
        if decode is not None:
            decode.progress(booking, tokens, now)

    def release(self, request_id: str, tokens: int, outcome: str) -> None:
        """Give a job's room back; a second call does nothing.

        Parameters
        ----------
        request_id : str
            The job's.
        tokens : int
            Answer tokens that came in all.
        outcome : {'done', 'gone', 'failed', 'died'}
            How it ended; only the length of a done answer is learned.
        """
        booking = self._bookings_by_id.pop(request_id, None)
        if booking is None:
            return
        now = self._clock.monotonic()
        job = booking.job
        self._placement.links.release(request_id)
        self._placement.drop_decode(booking, now)
        prefill = self._placement.prefills_by_name.get(booking.grant.prefill)
        if prefill is not None:
            if booking.stage in ('granted', 'prefilling'):
                prefill.cache.lost(job.blocks)
            prefill.drop(request_id, now)
        if outcome == 'done':
            self._placement.predictor.add(job.account, job.route, tokens)
        used = job.prompt_tokens + tokens
        if booking.stage == 'granted':
            used = 0
        self._queue.charge(job.account, used - booking.charged)
        self._event('pool.released', request=request_id, outcome=outcome)
        self._pump()

    # The ledger for others

    def reservations(self) -> tuple[Reservation, ...]:
        """Return all that is granted and not released."""
        return tuple(
            Reservation(
                booking.job._replace(blocks=()),
                booking.grant._replace(pieces=booking.pieces),
                booking.stage == 'decoding',
                booking.tokens,
            )
            for booking in self._bookings_by_id.values()
        )

    def restore(self, reservations: tuple[Reservation, ...]) -> None:
        """Take over what peers say was granted to them by another home."""
        for reservation in reservations:
            self._restore(reservation)
        self._pump()

    def _restore(self, reservation: Reservation) -> None:
        job, grant, decoding, tokens = reservation
        if job.request_id in self._bookings_by_id:
            return
        booking = ledger.Booking(job, grant, job.prompt_tokens + tokens)
        booking.stage = 'decoding' if decoding else 'prefilling'
        booking.tokens = tokens
        self._bookings_by_id[job.request_id] = booking
        decode = self._placement.decodes_by_name.get(grant.decode)
        if decode is not None:
            decode.add(booking)

    def summary(self) -> ShardSummary:
        """Return the shard's state in short."""
        free = sum(
            max(0, decode.free_slots())
            for decode in self._placement.decodes_by_name.values()
            if decode.died_at is None and not decode.load.leaving
        )
        ahead = sum(entry.tokens for entry in self._queue)
        return ShardSummary(free, len(self._queue), self._seconds(ahead))

    def first_token_seconds(
        self, prompt_tokens: int, blocks: tuple[int, ...]
    ) -> float:
        """Return how long a job takes from its grant to the first token.

        See `pool_placement.Placement.first_token_seconds`.
        """
        return self._placement.first_token_seconds(prompt_tokens, blocks)

    def close(self) -> None:
        """Refuse all that waits; nothing was run for it."""
        for entry in list(self._queue):
            self._refuse(entry, _CLOSING)

    # Placement

    def _pump(self) -> None:
        """Grant whatever can be granted now."""
        now = self._clock.monotonic()
        while len(self._queue) and self._placement.has_room(now):
            if not self._grant_one(now):
                return

    def _grant_one(self, now: float) -> bool:
        heads = itertools.islice(self._queue.ordered(now), CANDIDATES)
        seen = pool_placement.Pass()
        for entry in heads:
            waiting = entry.item
            if self._settled(waiting):
                self._queue.remove(entry)
                return True
            plan = self._placement.plan(
                waiting.job, waiting.blocked(now), seen, now
            )
            if plan is None:
                continue
            if not plan.blocked:
                self._grant(entry, plan, now)
                return True
            if waiting.blocked_at is None:
                waiting.blocked_at = now
        return False

    def _settled(self, waiting: _Waiting) -> bool:
        """Return whether a job has gone, or has room by another try."""
        known = self._bookings_by_id.get(waiting.job.request_id)
        if known is not None and not waiting.future.done():
            waiting.future.set_result(Ok(known.grant))
        return waiting.future.done()

    def _grant(
        self,
        entry: fair_queue.Entry[_Waiting],
        plan: pool_placement.Plan,
        now: float,
    ) -> None:
        job = entry.item.job
        self._queue.take(entry)
        self._granted.add(entry.tokens, now)
        booking = self._placement.book(job, plan, entry.tokens, now)
        self._bookings_by_id[job.request_id] = booking
        self._event(
            'pool.granted',
            request=job.request_id,
            prefill=booking.grant.prefill,
            decode=booking.grant.decode,
        )
        entry.item.future.set_result(Ok(booking.grant))

    # Refusals and time

    def _refusal(self, job: Job) -> problems.Problem | None:
        """Return why a job that just came can't be served in time."""
        most = self._placement.most_pieces()
        if most and ledger.pieces(job.prompt_tokens + 1) > most:
            return problems.Problem(
                'too_large', 413, 'no', 'No engine can hold the prompt.'
            )
        if job.service_class == 'patient':
            return None
        if not self._placement.any_usable(job):
            return problems.Problem(
                'no_engine', 503, 'no', 'No engine is up.', MIN_RETRY_SECONDS
            )
        ahead = self._queue.ahead(job.account, job.weight, job.service_class)
        seconds = self._seconds(ahead)
        if seconds <= REFUSE_FACTOR * job.max_wait:
            return None
        return _overloaded(seconds - job.max_wait)

    def _seconds(self, tokens: float) -> float:
        """Return how long the queue takes for that many tokens.

        It is known only after `RATE_SECONDS` in which all had to wait.
        """
        now = self._clock.monotonic()
        rate = self._granted.rate(now)
        waited = len(self._queue) and now - self._backlog_at > RATE_SECONDS
        return tokens / rate if rate and waited else 0.0

    def _refuse(
        self, entry: fair_queue.Entry[_Waiting], problem: problems.Problem
    ) -> None:
        self._queue.remove(entry)
        self._event(
            'pool.refused',
            request=entry.item.job.request_id,
            code=problem.code,
        )
        if not entry.item.future.done():
            entry.item.future.set_result(Error(problem))

    def _tick(self) -> None:
        """Look again soon, for as long as something waits."""
        if len(self._queue) and (self._ticker is None or self._ticker.done()):
            self._ticker = asyncio.create_task(self._run_ticker())

    async def _run_ticker(self) -> None:
        while len(self._queue):
            await self._clock.sleep(TICK_SECONDS)
            for entry in self._queue.expired(self._clock.monotonic()):
                self._refuse(entry, self._late(entry))
            self._pump()

    def _late(self, entry: fair_queue.Entry[_Waiting]) -> problems.Problem:
        job = entry.item.job
        ahead = self._queue.ahead(job.account, job.weight, job.service_class)
        return _overloaded(self._seconds(ahead))

    def _event(self, name: str, **fields: object) -> None:
        if self._on_event is not None:
            self._on_event(name, **fields)


def _overloaded(retry: float) -> problems.Problem:
    return problems.Problem(
        'overloaded',
        503,
        'no',
        'No engine has room in time.',
        max(MIN_RETRY_SECONDS, retry),
    )


_CLOSING = problems.Problem(
    'closing', 503, 'no', 'This daemon is going away.', MIN_RETRY_SECONDS
)
