"""The home's state of a shard: its scheduler, its leases and its crashes.

A shard is the engines of one model in one data centre.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable

from expression import Result

from corianderspar import engine
from corianderspar import kernel
from corianderspar import messenger as messengers
from corianderspar import peers
from corianderspar import placement_messages
from corianderspar import poison
from corianderspar import pool
from corianderspar import problems

IMMEDIATE_REPLY_SECONDS = 0.1
LEASE_SECONDS = 5.0
CRASH_WINDOW_SECONDS = 0.2
PAUSE_SECONDS = 3.0
MIN_WAIT_SECONDS = 0.4
GRANT_RATE_WINDOW_SECONDS = 5.0
MAX_GRANT_TIMES = 4096
MIN_SPILL_FREE_FRACTION = 0.25
SPILL_RETRY_SECONDS = 1.0

ReadLoad = Callable[[str], Awaitable[engine.EngineLoad | None]]


def make_request_id(incarnation: str, number: int) -> str:
    """Return the id by which engines know a request.

    Examples
    --------
    >>> make_request_id('vm1/17/ab', 3)
    'vm1/17/ab#3'
    """
    return f'{incarnation}#{number}'


def request_number(request_id: str) -> int:
    """Return the number in a request's id."""
    return int(request_id.rpartition('#')[2])


class Shard:
    """The state of a shard at its home, and the decisions on its jobs.

    Parameters
    ----------
    app : Application
        Provides the clock and randomness, and runs the tasks.
    messenger : Messenger
        Sends deferred decisions to the edges.
    model : str
        The model.
    scheduler : PoolScheduler
        Places the jobs.
    quarantine : Quarantine
        Records crashes.
    read_load : callable
        Reads an engine's load report; returns None if it gets none.
    """

    def __init__(
        self,
        app: kernel.Application,
        messenger: messengers.Messenger,
        model: str,
        scheduler: pool.PoolScheduler,
        quarantine: poison.Quarantine,
        read_load: ReadLoad,
    ) -> None:
        self.model = model
        self.scheduler = scheduler
        self.ready = asyncio.Event()
        self.decode_slots = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._messenger = messenger
        self._quarantine = quarantine
        self._read_load = read_load
        self._tasks_by_id: dict[
            str, asyncio.Task[placement_messages.SubmitReply]
        ] = {}
        self._deferred_senders_by_id: dict[str, peers.Sender] = {}
        self._grants_by_id: dict[str, pool.Grant] = {}
        self._ids_by_incarnation: dict[str, dict[str, None]] = {}
        self._renewed_at_by_incarnation: dict[str, float] = {}
        self._grant_times: collections.deque[float] = collections.deque(
            maxlen=MAX_GRANT_TIMES
        )
        self._expiry_checked_at = app.clock.monotonic()
        self._crash_tasks_by_upstream: dict[str, asyncio.Task[int]] = {}
        self._in_flight_by_upstream: dict[str, dict[str, str]] = {}

    # Jobs

    async def submit(
        self, sender: peers.Sender, message: placement_messages.SubmitRequest
    ) -> placement_messages.SubmitReply:
        """Return the decision on a job, or ``'waiting'`` if it takes longer.

        A decision that takes longer than `IMMEDIATE_REPLY_SECONDS` is sent
        to the sender as `DeferredReply`.
        """
        job = message.job
        grant = self._grants_by_id.get(job.request_id)
        if grant is not None:
            return placement_messages.SubmitReply('granted', grant)
        if message.is_spilled and not self._accepts_spill():
            return placement_messages.SubmitReply(
                'refused', None, _spill_refused_problem()
            )
        task = self._tasks_by_id.get(job.request_id)
        if task is None:
            self._track(sender.incarnation, job.request_id)
            job = self._limit_wait(job, message.first_token_remaining)
            task = self._app.spawn(
                'placement', 'submit', self._decide(sender, job)
            )
            self._tasks_by_id[job.request_id] = task
        done, _pending = await asyncio.wait(
            {task}, timeout=IMMEDIATE_REPLY_SECONDS
        )
        if not done:
            self._deferred_senders_by_id[job.request_id] = sender
            return placement_messages.SubmitReply('waiting')
        if task.cancelled():
            return placement_messages.SubmitReply(
                'refused', None, _cancelled_problem()
            )
        return task.result()

    def _limit_wait(
        self, job: pool.Job, first_token_remaining: float | None
    ) -> pool.Job:
        """Return the job with a wait that leaves time for the first token."""
        if first_token_remaining is None:
            return job
        service_seconds = self.scheduler.first_token_seconds(
            job.prompt_tokens, job.blocks
        )
        wait = max(MIN_WAIT_SECONDS, first_token_remaining - service_seconds)
        return job._replace(max_wait=min(job.max_wait, wait))

    async def _decide(
        self, sender: peers.Sender, job: pool.Job
    ) -> placement_messages.SubmitReply:
        reply = placement_messages.SubmitReply(
            'refused', None, _cancelled_problem()
        )
        try:
            await self.ready.wait()
            reply = _submit_reply(await self.scheduler.submit(job))
        finally:
            self._tasks_by_id.pop(job.request_id, None)
        deferred = self._deferred_senders_by_id.pop(job.request_id, None)
        if reply.grant is not None:
            self._grants_by_id[job.request_id] = reply.grant
            self._grant_times.append(self._app.clock.monotonic())
        else:
            self._untrack(job.request_id)
        if deferred is not None:
            self._messenger.tell(
                deferred.vm,
                placement_messages.DeferredReply(job.request_id, reply),
            )
        return reply

    def regrant(self, request_id: str, error_code: str) -> pool.Grant | None:
        """Return a new grant after a failed transfer, None if none."""
        grant = self.scheduler.reschedule_transfer(
            request_id, error_code != 'full'
        )
        if grant is None:
            self._untrack(request_id)
        else:
            self._grants_by_id[request_id] = grant
        return grant

    def apply_progress(
        self, sender: peers.Sender, report: placement_messages.ProgressReport
    ) -> None:
        """Update the scheduler with the progress of an edge's requests."""
        for update in report.updates:
            request_id = make_request_id(sender.incarnation, update.number)
            if update.kind == 'started':
                self.scheduler.note_prefill_started(request_id)
            elif update.kind == 'prefilled':
                self.scheduler.note_prefilled(
                    request_id, update.tokens, update.cached_tokens
                )
            elif update.kind == 'decoding':
                self.scheduler.note_decoding(request_id)
            elif update.kind == 'tokens':
                self.scheduler.note_progress(request_id, update.tokens)
            else:
                self.release(request_id, update.tokens, update.outcome)

    def release(self, request_id: str, tokens: int, outcome: str) -> None:
        """Cancel a request's job, or release what was reserved for it."""
        task = self._tasks_by_id.pop(request_id, None)
        if task is not None:
            task.cancel()
        self._untrack(request_id)
        self.scheduler.release(request_id, tokens, outcome)

    def _accepts_spill(self) -> bool:
        summary = self.scheduler.summary()
        min_free = MIN_SPILL_FREE_FRACTION * self.decode_slots
        free = summary.free_slots - len(self._tasks_by_id)
        return summary.backlog == 0 and free > min_free

    def summary(self) -> pool.ShardSummary:
        """Return the shard's state.

        Its wait is at least the backlog divided by the recent rate of
        grants.
        """
        summary = self.scheduler.summary()
        since = self._app.clock.monotonic() - GRANT_RATE_WINDOW_SECONDS
        while self._grant_times and self._grant_times[0] < since:
            self._grant_times.popleft()
        granted = max(1, len(self._grant_times))
        wait = summary.backlog * GRANT_RATE_WINDOW_SECONDS / granted
        return summary._replace(expected_wait=max(summary.expected_wait, wait))

    # Leases

    def renew_leases(
        self, sender: peers.Sender, lease: placement_messages.Lease
    ) -> tuple[int, ...]:
        """Renew an edge's leases and release what it no longer lists.

        Returns
        -------
        tuple of int
            Granted requests of the edge that have no grant here.
        """
        incarnation = sender.incarnation
        self._renewed_at_by_incarnation[incarnation] = (
            self._app.clock.monotonic()
        )
        self.restore_reservations(lease.moved_reservations)
        listed = {
            make_request_id(incarnation, number)
            for number in (*lease.waiting_numbers, *lease.granted_numbers)
        }
        for request_id in list(self._ids_by_incarnation.get(incarnation, ())):
            if request_id not in listed:
                self.counts['unlisted'] += 1
                self.release(request_id, 0, 'gone')
        return tuple(
            number
            for number in lease.granted_numbers
            if make_request_id(incarnation, number) not in self._grants_by_id
        )

    def restore_reservations(
        self, reservations: tuple[pool.Reservation, ...]
    ) -> None:
        """Restore reservations that another home had granted."""
        for reservation in reservations:
            request_id = reservation.job.request_id
            if request_id in self._grants_by_id:
                continue
            self._track(request_id.rpartition('#')[0], request_id)
            self._grants_by_id[request_id] = reservation.grant
            self.scheduler.restore((reservation,))

    def restore_history(
        self, replies: list[placement_messages.Leases]
    ) -> None:
        """Restore what edges observed while another home scheduled the shard.

        Parameters
        ----------
        replies : list of Leases
            Lengths of answers, and what prefill engines have cached.
        """
        blocks_by_upstream: dict[str, dict[int, None]] = {}
        for reply in replies:
            for account, route, tokens in reply.answer_lengths:
                self.scheduler.predictor.observe(account, route, tokens)
            for upstream, blocks in reply.cached_blocks:
                known = blocks_by_upstream.setdefault(upstream, {})
                known.update(dict.fromkeys(blocks))
        for upstream, found in blocks_by_upstream.items():
            # Sequence number 0 precedes all events of the engine itself.
            event = engine.CacheEvent(0, tuple(found), ())
            self.scheduler.note_cache_event(upstream, event)

    def expire_leases(self) -> None:
        """Release what edges hold whose leases expired; call each second."""
        now = self._app.clock.monotonic()
        if now - self._expiry_checked_at > PAUSE_SECONDS:
            # This daemon was paused: renewals may wait to be received.
            for incarnation in self._renewed_at_by_incarnation:
                self._renewed_at_by_incarnation[incarnation] = now
        self._expiry_checked_at = now
        for incarnation, renewed_at in list(
            self._renewed_at_by_incarnation.items()
        ):
            if now - renewed_at <= LEASE_SECONDS:
                continue
            for request_id in list(
                self._ids_by_incarnation.get(incarnation, ())
            ):
                self.counts['lapsed'] += 1
                self.release(request_id, 0, 'gone')
            del self._renewed_at_by_incarnation[incarnation]
            self._ids_by_incarnation.pop(incarnation, None)

    def has_grant(self, request_id: str) -> bool:
        """Return whether a request was granted and not released."""
        return request_id in self._grants_by_id

    @property
    def is_idle(self) -> bool:
        """Whether no edge has a waiting or granted request here."""
        return not any(self._ids_by_incarnation.values())

    def _track(self, incarnation: str, request_id: str) -> None:
        ids = self._ids_by_incarnation.setdefault(incarnation, {})
        ids[request_id] = None
        self._renewed_at_by_incarnation[incarnation] = (
            self._app.clock.monotonic()
        )

    def _untrack(self, request_id: str) -> None:
        self._grants_by_id.pop(request_id, None)
        self._deferred_senders_by_id.pop(request_id, None)
        incarnation = request_id.rpartition('#')[0]
        ids = self._ids_by_incarnation.get(incarnation)
        if ids is not None:
            ids.pop(request_id, None)

    # Crashes

    async def record_crash(
        self, sender: peers.Sender, message: placement_messages.CrashReport
    ) -> int:
        """Record a crash with all reports of it within a short window.

        Returns
        -------
        int
            Number of requests in flight at the crash, after all daemons
            were sent their fingerprints. 0 if the engine still holds one
            of them: a connection broke, and the engine did not crash.
        """
        name = message.upstream
        in_flight = self._in_flight_by_upstream.setdefault(name, {})
        request_id = make_request_id(sender.incarnation, message.number)
        in_flight[request_id] = message.fingerprint
        task = self._crash_tasks_by_upstream.get(name)
        if task is None:
            self.scheduler.note_engine_died(name)
            task = self._app.spawn(
                'placement', 'crash', self._confirm_crash(name)
            )
            self._crash_tasks_by_upstream[name] = task
        return await asyncio.shield(task)

    async def _confirm_crash(self, name: str) -> int:
        await self._app.clock.sleep(CRASH_WINDOW_SECONDS)
        load = await self._read_load(name)
        del self._crash_tasks_by_upstream[name]
        in_flight = self._in_flight_by_upstream.pop(name)
        if load is not None and not in_flight.keys().isdisjoint(load.requests):
            self.counts['false_crash'] += 1
            return 0
        self._quarantine.record_crash(name, in_flight.values())
        return len(in_flight)

    def close(self) -> None:
        """Refuse waiting jobs; the edges submit them to the next home."""
        self.scheduler.close()


def _submit_reply(
    decision: Result[pool.Grant, problems.Problem],
) -> placement_messages.SubmitReply:
    if decision.is_ok():
        return placement_messages.SubmitReply('granted', decision.ok)
    return placement_messages.SubmitReply('refused', None, decision.error)


def _cancelled_problem() -> problems.Problem:
    return problems.Problem(
        'cancelled', 499, 'no', 'The request was withdrawn.', None
    )


def _spill_refused_problem() -> problems.Problem:
    return problems.Problem(
        'spill_refused',
        503,
        'no',
        'The other data centre has no room to spare.',
        SPILL_RETRY_SECONDS,
    )
