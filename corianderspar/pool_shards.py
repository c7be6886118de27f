"""The home of a shard: its scheduler, its leases and its crashes."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable

from expression import Result

from corianderspar import engine
from corianderspar import kernel
from corianderspar import messenger as messengers
from corianderspar import peers as peer_messages
from corianderspar import placement_messages as messages
from corianderspar import pool
from corianderspar import problems
from corianderspar import suspects

ACK_SECONDS = 0.1
LEASE_SECONDS = 5.0
CRASH_WINDOW_SECONDS = 0.2
PAUSE_SECONDS = 3.0
MIN_WAIT_SECONDS = 0.4
RATE_SECONDS = 5.0
MOST_GRANTS = 4096
SPILL_FLOOR = 0.25
SPILL_RETRY_SECONDS = 1.0

Read = Callable[[str], Awaitable[engine.EngineLoad | None]]


def request_id(incarnation: str, number: int) -> str:
    """Return the id by which engines know a request.

    Examples
    --------
    >>> request_id('vm1/17/ab', 3)
    'vm1/17/ab#3'
    """
    return f'{incarnation}#{number}'


def request_number(request: str) -> int:
    """Return the number in a request's id."""
    return int(request.rpartition('#')[2])


class Shard:
    """What the home of one model in one data centre knows and decides.

    Parameters
    ----------
    app : Application
        Gives time and randomness, and runs the tasks.
    messenger : Messenger
        Carries late decisions to the edges.
    model : str
        The model.
    scheduler : PoolScheduler
        Places the jobs.
    suspected : Suspects
        Is told of crashes.
    read : callable
        Reads an engine's report; None if it gives none.
    """

    def __init__(
        self,
        app: kernel.Application,
        messenger: messengers.Messenger,
        model: str,
        scheduler: pool.PoolScheduler,
        suspected: suspects.Suspects,
        read: Read,
    ) -> None:
        self.model = model
        self.scheduler = scheduler
        self.ready = asyncio.Event()
        self.decode_slots = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._messenger = messenger
        self._suspected = suspected
        self._read = read
        self._tasks_by_id: dict[str, asyncio.Task[messages.SubmitReply]] = {}
        self._late_by_id: dict[str, peer_messages.Sender] = {}
        self._grants_by_id: dict[str, pool.Grant] = {}
        self._ids_by_incarnation: dict[str, dict[str, None]] = {}
        self._heard_by_incarnation: dict[str, float] = {}
        self._granted_at: collections.deque[float] = collections.deque(
            maxlen=MOST_GRANTS
        )
        self._checked = app.clock.monotonic()
        self._crashes_by_upstream: dict[str, asyncio.Task[int]] = {}
        self._in_flight_by_upstream: dict[str, dict[str, str]] = {}

    # Jobs

    async def submit(
        self, sender: peer_messages.Sender, message: messages.SubmitRequest
    ) -> messages.SubmitReply:
        """Return the decision, or ``waiting`` when it takes longer.

        A late decision is told to the sender as `Booked`.
        """
        job = message.job
        grant = self._grants_by_id.get(job.request_id)
        if grant is not None:
            return messages.SubmitReply('granted', grant)
        if message.spilled and not self._spare():
            return messages.SubmitReply('refused', None, _spill_refusal())
        task = self._tasks_by_id.get(job.request_id)
        if task is None:
            self._know(sender.incarnation, job.request_id)
            job = self._timely(job, message.first_token)
            task = self._app.spawn(
                'placement', 'submit', self._decide(sender, job)
            )
            self._tasks_by_id[job.request_id] = task
        done, _pending = await asyncio.wait({task}, timeout=ACK_SECONDS)
        if not done:
            self._late_by_id[job.request_id] = sender
            return messages.SubmitReply('waiting')
        if task.cancelled():
            return messages.SubmitReply('refused', None, _gone())
        return task.result()

    def _timely(self, job: pool.Job, first_token: float | None) -> pool.Job:
        """Return the job, to wait no longer than its first token may."""
        if first_token is None:
            return job
        work = self.scheduler.first_token_seconds(
            job.prompt_tokens, job.blocks
        )
        wait = max(MIN_WAIT_SECONDS, first_token - work)
        return job._replace(max_wait=min(job.max_wait, wait))

    async def _decide(
        self, sender: peer_messages.Sender, job: pool.Job
    ) -> messages.SubmitReply:
        booking = messages.SubmitReply('refused', None, _gone())
        try:
            await self.ready.wait()
            booking = _booking(await self.scheduler.submit(job))
        finally:
            self._tasks_by_id.pop(job.request_id, None)
        late = self._late_by_id.pop(job.request_id, None)
        if booking.grant is not None:
            self._grants_by_id[job.request_id] = booking.grant
            self._granted_at.append(self._app.clock.monotonic())
        else:
            self._forget(job.request_id)
        if late is not None:
            self._messenger.tell(
                late.vm, messages.DeferredReply(job.request_id, booking)
            )
        return booking

    def regrant(self, request: str, code: str) -> pool.Grant | None:
        """Return a new grant after a failed transfer, None if none."""
        grant = self.scheduler.reschedule_transfer(request, code != 'full')
        if grant is None:
            self._forget(request)
        else:
            self._grants_by_id[request] = grant
        return grant

    def apply_progress(
        self, sender: peer_messages.Sender, steps: messages.ProgressReport
    ) -> None:
        """Take note of how requests of an edge have come on."""
        for step in steps.items:
            request = request_id(sender.incarnation, step.number)
            if step.kind == 'started':
                self.scheduler.note_prefill_started(request)
            elif step.kind == 'prefilled':
                self.scheduler.note_prefilled(
                    request, step.tokens, step.cached
                )
            elif step.kind == 'decoding':
                self.scheduler.note_decoding(request)
            elif step.kind == 'tokens':
                self.scheduler.note_progress(request, step.tokens)
            else:
                self.release(request, step.tokens, step.outcome)

    def release(self, request: str, tokens: int, outcome: str) -> None:
        """Give back what a request waits for or holds."""
        task = self._tasks_by_id.pop(request, None)
        if task is not None:
            task.cancel()
        self._forget(request)
        self.scheduler.release(request, tokens, outcome)

    def _spare(self) -> bool:
        summary = self.scheduler.summary()
        floor = SPILL_FLOOR * self.decode_slots
        free = summary.free_slots - len(self._tasks_by_id)
        return summary.backlog == 0 and free > floor

    def summary(self) -> pool.ShardSummary:
        """Return the shard's state, its wait by the rate of late grants."""
        summary = self.scheduler.summary()
        since = self._app.clock.monotonic() - RATE_SECONDS
        while self._granted_at and self._granted_at[0] < since:
            self._granted_at.popleft()
        granted = max(1, len(self._granted_at))
        wait = summary.backlog * RATE_SECONDS / granted
        return summary._replace(expected_wait=max(summary.expected_wait, wait))

    # Leases

    def renew_leases(
        self, sender: peer_messages.Sender, lease: messages.Lease
    ) -> tuple[int, ...]:
        """Renew an edge's leases and drop what it no longer lists.

        Returns
        -------
        tuple of int
            Held requests that are not in the ledger here.
        """
        incarnation = sender.incarnation
        self._heard_by_incarnation[incarnation] = self._app.clock.monotonic()
        self.adopt_reservations(lease.moved)
        listed = {
            request_id(incarnation, number)
            for number in (*lease.waiting, *lease.held)
        }
        for request in list(self._ids_by_incarnation.get(incarnation, ())):
            if request not in listed:
                self.counts['unlisted'] += 1
                self.release(request, 0, 'gone')
        return tuple(
            number
            for number in lease.held
            if request_id(incarnation, number) not in self._grants_by_id
        )

    def adopt_reservations(self, moved: tuple[pool.Reservation, ...]) -> None:
        """Take reservations over that another home had granted."""
        for reservation in moved:
            request = reservation.job.request_id
            if request in self._grants_by_id:
                continue
            self._know(request.rpartition('#')[0], request)
            self._grants_by_id[request] = reservation.grant
            self.scheduler.restore((reservation,))

    def adopt_history(self, replies: list[messages.Leases]) -> None:
        """Take over what edges learned while another home placed.

        Parameters
        ----------
        replies : list of Leases
            Lengths of answers, and what prefill engines have cached.
        """
        blocks_by_upstream: dict[str, dict[int, None]] = {}
        for reply in replies:
            for account, route, tokens in reply.lengths:
                self.scheduler.predictor.add(account, route, tokens)
            for upstream, blocks in reply.warm:
                known = blocks_by_upstream.setdefault(upstream, {})
                known.update(dict.fromkeys(blocks))
        for upstream, found in blocks_by_upstream.items():
            # Older than all events that the engine itself will publish.
            event = engine.CacheEvent(0, tuple(found), ())
            self.scheduler.note_cache_event(upstream, event)

    def expire_leases(self) -> None:
        """Drop the leases of edges that were not heard; call each second."""
        now = self._app.clock.monotonic()
        if now - self._checked > PAUSE_SECONDS:
            # This daemon was paused, and what the edges sent still waits.
            for incarnation in self._heard_by_incarnation:
                self._heard_by_incarnation[incarnation] = now
        self._checked = now
        for incarnation, heard in list(self._heard_by_incarnation.items()):
            if now - heard <= LEASE_SECONDS:
                continue
            for request in list(self._ids_by_incarnation.get(incarnation, ())):
                self.counts['lapsed'] += 1
                self.release(request, 0, 'gone')
            del self._heard_by_incarnation[incarnation]
            self._ids_by_incarnation.pop(incarnation, None)

    def has_grant(self, request: str) -> bool:
        """Return whether the ledger knows a request."""
        return request in self._grants_by_id

    @property
    def is_idle(self) -> bool:
        """Whether no edge has anything here."""
        return not any(self._ids_by_incarnation.values())

    def _know(self, incarnation: str, request: str) -> None:
        ids = self._ids_by_incarnation.setdefault(incarnation, {})
        ids[request] = None
        self._heard_by_incarnation[incarnation] = self._app.clock.monotonic()

    def _forget(self, request: str) -> None:
        self._grants_by_id.pop(request, None)
        self._late_by_id.pop(request, None)
        incarnation = request.rpartition('#')[0]
        ids = self._ids_by_incarnation.get(incarnation)
        if ids is not None:
            ids.pop(request, None)

    # Crashes

    async def record_crash(
        self, sender: peer_messages.Sender, message: messages.CrashReport
    ) -> int:
        """Record a crash, with what all edges report of it in a window.

        Returns
        -------
        int
            How many requests were in flight; the news has been told. 0 if
            the engine still holds one of them: then a connection broke,
            and the engine did not crash.
        """
        name = message.upstream
        known = self._in_flight_by_upstream.setdefault(name, {})
        request = request_id(sender.incarnation, message.number)
        known[request] = message.fingerprint
        task = self._crashes_by_upstream.get(name)
        if task is None:
            self.scheduler.note_engine_died(name)
            task = self._app.spawn(
                'placement', 'crash', self._confirm_crash(name)
            )
            self._crashes_by_upstream[name] = task
        return await asyncio.shield(task)

    async def _confirm_crash(self, name: str) -> int:
        await self._app.clock.sleep(CRASH_WINDOW_SECONDS)
        load = await self._read(name)
        del self._crashes_by_upstream[name]
        in_flight = self._in_flight_by_upstream.pop(name)
        if load is not None and not in_flight.keys().isdisjoint(load.requests):
            self.counts['false_crash'] += 1
            return 0
        self._suspected.crashed(name, in_flight.values())
        return len(in_flight)

    def close(self) -> None:
        """Refuse what waits; the edges submit it to the next home."""
        self.scheduler.close()


def _booking(
    decided: Result[pool.Grant, problems.Problem],
) -> messages.SubmitReply:
    if decided.is_ok():
        return messages.SubmitReply('granted', decided.ok)
    return messages.SubmitReply('refused', None, decided.error)


def _gone() -> problems.Problem:
    return problems.Problem(
        'cancelled', 499, 'no', 'The request was withdrawn.', None
    )


def _spill_refusal() -> problems.Problem:
    return problems.Problem(
        'spill_refused',
        503,
        'no',
        'The other data centre has no room to spare.',
        SPILL_RETRY_SECONDS,
    )
