"""One request at the edge, from its submission to its last piece."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Awaitable
import contextlib
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from expression import Error
from expression import Result

from corianderspar import answers
from corianderspar import canceller
from corianderspar import engine
from corianderspar import engine_request
from corianderspar import engine_table
from corianderspar import kernel
from corianderspar import placement_messages as messages
from corianderspar import pool
from corianderspar import problems
from corianderspar import prompts
from corianderspar import suspects
from corianderspar import transfer_limits

T = TypeVar('T')

PRIORITIES = {'guarded': 2, 'ordinary': 1, 'patient': 0}
PREFILL_SECONDS = 30.0
PIECE_SECONDS = 10.0
RELAY_PIECES = 64
REBOOK_SECONDS = 0.01
BACKOFF_SECONDS = 0.05
BACKOFF_MOST_SECONDS = 1.0
MOST_RUNS = 6
PROGRESS_TOKENS = 64
QUARANTINE_RETRY_SECONDS = 60.0


class Booker(Protocol):
    """What an execution needs from the homes of shards."""

    def new_number(self) -> int:
        """Return a number that no request of this incarnation had."""
        ...

    async def submit(
        self, execution: 'Execution', job: pool.Job
    ) -> messages.SubmitReply:
        """Return the home's decision on a job."""
        ...

    async def regrant(
        self, execution: 'Execution', code: str
    ) -> pool.Grant | None:
        """Return a new grant after a failed transfer."""
        ...

    async def report_crash(
        self, execution: 'Execution', upstream: str
    ) -> None:
        """Report that an engine died under a request."""
        ...

    def report_progress(
        self,
        execution: 'Execution',
        update: messages.ProgressUpdate,
        urgent: bool = False,
    ) -> None:
        """Tell the home how a request has come on."""
        ...

    def record_prefill(self, execution: 'Execution') -> None:
        """Keep that an engine has a prompt cached now."""
        ...

    def remove(self, number: int, is_complete: bool) -> None:
        """Forget a number; say whether its answer is whole."""
        ...


class Dependencies(NamedTuple):
    """The parts of a daemon that executions work with.

    Attributes
    ----------
    app : Application
        Gives time and the incarnation.
    bookings : Booker
        Speaks with homes.
    table : EngineTable
        Finds engines.
    cancelling : Canceller
        Cancels work at engines.
    suspected : Suspects
        Knows requests that crash engines.
    limits : TransferLimits
        Says when a transfer has stalled.
    counts : collections.Counter
        Counts dropped pieces and wrong ends.
    """

    app: kernel.Application
    bookings: Booker
    table: engine_table.EngineTable
    cancelling: canceller.Canceller
    suspected: suspects.Suspects
    limits: transfer_limits.TransferLimits
    counts: collections.Counter[str]


class _Again(Exception):  # noqa: N818
    """The run ended before its time; the request may run again."""

    def __init__(self, upstream: str, error: engine.EngineError) -> None:
        super().__init__(error.code)
        self.upstream = upstream
        self.error = error


class Execution:
    """Drives one request through booking, prefill, transfer and decode.

    Each run has a number and thereby an id of its own, so that nothing
    an earlier run left behind can pass for this one's.

    Parameters
    ----------
    parts : Dependencies
        What it works with.
    request : engine_request.EngineRequest
        The request.
    """

    def __init__(
        self, parts: Dependencies, request: engine_request.EngineRequest
    ) -> None:
        self.request = request
        self.fingerprint = suspects.fingerprint(request.model, request.prompt)
        self.pieces: asyncio.Queue[engine.Piece | None] = asyncio.Queue(
            RELAY_PIECES
        )
        self.problem: problems.Problem | None = None
        self.home = ''
        self.remote_data_centre = ''
        self.registered_home = ''
        self.number = 0
        self.job: pool.Job | None = None
        self.grant: pool.Grant | None = None
        self.decoding = False
        self.ran: problems.Ran = 'no'
        self._parts = parts
        self._clock = parts.app.clock
        self._answer = answers.Answer(request.request_id, parts.counts)
        self._began = self._clock.monotonic()
        self._deadline = self._began + request.timeout
        self._limit: asyncio.Timeout | None = None
        self._waiting_since: float | None = None
        self._touched: dict[str, None] = {}
        self._avoid: tuple[str, ...] = ()
        self._reported = 0
        self._priority = PRIORITIES[request.service_class]
        self._blocks = prompts.block_hashes(request.prompt)
        self._prompt_tokens = prompts.count_tokens(request.prompt)

    @property
    def run_id(self) -> str:
        """The id of the present run, as engines know it."""
        return f'{self._parts.app.incarnation}#{self.number}'

    @property
    def tokens(self) -> int:
        """Answer tokens that were relayed."""
        return self._answer.position

    async def run(self) -> None:
        """Work until the answer is whole or can't be; never raises."""
        outcome = 'gone'
        try:
            async with asyncio.timeout(self.request.timeout):
                await self._run()
            outcome = 'done'
        except engine_request.EngineRequestError as raised:
            self.problem = raised.problem
            outcome = 'failed'
        except TimeoutError:
            self.problem = self._failed('timeout', 504)
        finally:
            self._end_run(outcome)

    def wake_reader(self) -> None:
        """Wake the reader of `pieces` when `run` has ended."""
        # A full queue is read first; its reader then looks at the task.
        with contextlib.suppress(asyncio.QueueFull):
            self.pieces.put_nowait(None)

    @property
    def is_complete(self) -> bool:
        """Whether the answer is whole."""
        return self._answer.is_complete

    def first_token_remaining(self) -> float | None:
        """Return the seconds left for the first token, None for any."""
        wanted = self.request.first_token_timeout
        if wanted is None or self.ran != 'no':
            return None
        return wanted - (self._clock.monotonic() - self._began)

    def check_stall(self, awake_since: float) -> None:
        """End a stream whose engine was silent for too long.

        Parameters
        ----------
        awake_since : float
            Monotonic seconds since which this daemon has not been paused:
            what came in a pause is still to be read.
        """
        if self._waiting_since is None or self._limit is None:
            return
        silent = self._clock.monotonic() - max(
            self._waiting_since, awake_since
        )
        if silent > PIECE_SECONDS:
            self._limit.reschedule(asyncio.get_running_loop().time())

    def set_problem(self, problem: problems.Problem) -> None:
        """Set why the request is cancelled, for its caller."""
        self.problem = problem._replace(ran=self.ran)

    def reservation(self) -> pool.Reservation | None:
        """Return what the run holds, None if it holds nothing."""
        if self.job is None or self.grant is None:
            return None
        bare = self.job._replace(blocks=())
        return pool.Reservation(bare, self.grant, self.decoding, self.tokens)

    async def _run(self) -> None:
        backoff = BACKOFF_SECONDS
        runs = 0
        while not self._answer.is_complete:
            self._check_quarantine()
            await self._book()
            self._check_quarantine()
            try:
                await self._run_once()
                return
            except _Again as again:
                await self._after(again)
                if again.error.ran:
                    runs += 1
            if runs >= MOST_RUNS:
                raise engine_request.EngineRequestError(
                    self._failed('engine_failed', 502)
                )
            await self._clock.sleep(backoff)
            backoff = min(2 * backoff, BACKOFF_MOST_SECONDS)

    def _check_quarantine(self) -> None:
        if self._parts.suspected.level(self.fingerprint) != 'quarantined':
            return
        raise engine_request.EngineRequestError(
            problems.Problem(
                'quarantined',
                503,
                self.ran,
                'The request is held: engines crashed while running it.',
                self._parts.suspected.remaining(self.fingerprint),
            )
        )

    async def _book(self) -> None:
        level = self._parts.suspected.level(self.fingerprint)
        self.number = self._parts.bookings.new_number()
        self.job = pool.Job(
            self.run_id,
            self.request.account,
            self.request.weight,
            self.request.service_class,
            self.request.route,
            self._prompt_tokens + self._answer.position,
            self._blocks,
            self.request.max_tokens,
            self._deadline - self._clock.monotonic(),
            level == 'suspect',
            self._avoid,
        )
        booking = await self._parts.bookings.submit(self, self.job)
        if booking.grant is None:
            problem = booking.problem or self._failed('no_engine', 503)
            raise engine_request.EngineRequestError(
                problem._replace(ran=self.ran)
            )
        self.grant = booking.grant

    async def _run_once(self) -> None:
        assert self.grant is not None
        self._answer.begin_run(self.run_id)
        if self.grant.delay > 0:
            await self._clock.sleep(self.grant.delay)
        result = await self._prefill(self.grant)
        await self._transfer(self.grant, result)
        self._step('decoding')
        self.decoding = True
        await self._decode(self.grant.decode)

    async def _prefill(self, grant: pool.Grant) -> engine.PrefillResult:
        client = self._client(grant.prefill)
        self._touched[grant.prefill] = None
        self._step('started')
        call = engine.PrefillCall(
            self.run_id,
            self.request.model,
            self.request.prompt,
            self._priority,
        )
        ran_before = self.ran
        self.ran = 'unknown'
        done = await self._within(PREFILL_SECONDS, client.prefill(call))
        if done.is_error():
            if not done.error.ran:
                self.ran = ran_before
            raise _Again(grant.prefill, done.error)
        self.ran = 'yes'
        self._parts.bookings.record_prefill(self)
        self._step('prefilled', done.ok.computed_tokens, done.ok.cached_tokens)
        return done.ok

    async def _transfer(
        self, grant: pool.Grant, result: engine.PrefillResult
    ) -> None:
        lives_until = self._clock.monotonic() + result.lives
        call = engine.TransferCall(
            self.run_id,
            result.handle,
            self._parts.table.address(grant.prefill),
        )
        pause = REBOOK_SECONDS
        while True:
            self._touched[grant.decode] = None
            began = self._clock.monotonic()
            limit = self._parts.limits.limit(
                grant.transfer_seconds, lives_until - began
            )
            client = self._client(grant.decode)
            done = await self._within(limit, client.transfer(call))
            took = self._clock.monotonic() - began
            if done.is_ok():
                self._parts.limits.took(took)
            elif done.error.code == 'stalled':
                self._parts.limits.stalled(grant.decode, took)
            if done.is_ok():
                return
            self._drop(grant.decode)
            again = _Again(grant.decode, done.error)
            if done.error.code == 'died':
                raise again
            found = await self._parts.bookings.regrant(self, done.error.code)
            if found is None:
                raise again
            self.grant = grant = found
            pause = max(2 * pause, grant.delay)
            if self._clock.monotonic() + pause >= lives_until:
                raise again
            await self._clock.sleep(pause)

    async def _decode(self, upstream: str) -> None:
        call = engine.DecodeCall(
            self.run_id,
            self.request.model,
            self.request.prompt,
            self.request.max_tokens,
            self._answer.position,
            self._answer.text,
            self._priority,
        )
        stream = self._client(upstream).decode(call)
        self._limit = asyncio.timeout(None)
        try:
            async with self._limit:
                await self._relay(stream)
        except engine.EngineFailure as failure:
            raise _Again(upstream, failure.error) from None
        except TimeoutError:
            stalled = engine.EngineError('stalled', True)
            raise _Again(upstream, stalled) from None
        finally:
            self._waiting_since = None
            close = getattr(stream, 'aclose', None)
            if close is not None:
                await close()
        if not self._answer.is_complete:
            self._parts.counts['wrong_end'] += 1
            raise _Again(upstream, engine.EngineError('wrong_end', True))

    async def _relay(self, source: AsyncIterator[engine.Piece]) -> None:
        pieces = aiter(source)
        while not self._answer.is_complete:
            self._waiting_since = self._clock.monotonic()
            piece = await anext(pieces, None)
            self._waiting_since = None
            if piece is None:
                return
            for ready in self._answer.accept(piece):
                await self.pieces.put(ready)
            if self._answer.position - self._reported >= PROGRESS_TOKENS:
                self._reported = self._answer.position
                self._step('tokens', self._reported)

    async def _after(self, again: _Again) -> None:
        """Clean up after a run that ended early; set what to avoid."""
        code = again.error.code
        self._parts.app.events.add(
            'request.run_ended',
            request=self.run_id,
            upstream=again.upstream,
            code=code,
        )
        if code == 'died':
            await self._parts.bookings.report_crash(self, again.upstream)
        if code != 'full':
            self._avoid = (again.upstream,)
        self._end_run('died' if code == 'died' else 'failed')
        if not self.request.repeatable and self.ran != 'no':
            raise engine_request.EngineRequestError(
                self._failed('engine_failed', 502)
            )

    def _end_run(self, outcome: str) -> None:
        touched = tuple(self._touched)
        self._touched.clear()
        if outcome != 'done' and touched:
            self._parts.cancelling.cancel(touched, self.run_id)
        if self.number:
            tokens = self._answer.position
            step = messages.ProgressUpdate(
                self.number, 'release', tokens, 0, outcome
            )
            self._parts.bookings.report_progress(self, step, urgent=True)
            self._parts.bookings.remove(self.number, outcome == 'done')
        self.number = 0
        self.job = self.grant = None
        self.decoding = False
        if outcome == 'done':
            self._parts.suspected.finished(self.fingerprint)

    def _client(self, upstream: str) -> engine.EngineClient:
        client = self._parts.table.client(upstream)
        if client is None:
            gone = engine.EngineError('leaving', False)
            raise _Again(upstream, gone)
        return client

    def _drop(self, upstream: str) -> None:
        self._touched.pop(upstream, None)
        self._parts.cancelling.cancel((upstream,), self.run_id)

    def _step(
        self, kind: messages.ProgressKind, tokens: int = 0, cached: int = 0
    ) -> None:
        step = messages.ProgressUpdate(self.number, kind, tokens, cached)
        self._parts.bookings.report_progress(self, step)

    def _failed(self, code: str, status: int) -> problems.Problem:
        return problems.Problem(
            code,
            status,
            self.ran,
            'No engine gave the whole answer.',
            BACKOFF_MOST_SECONDS,
        )

    @staticmethod
    async def _within(
        seconds: float, work: Awaitable[Result[T, engine.EngineError]]
    ) -> Result[T, engine.EngineError]:
        try:
            async with asyncio.timeout(seconds):
                return await work
        except TimeoutError:
            return Error(engine.EngineError('stalled', True))
