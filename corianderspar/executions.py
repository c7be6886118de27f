"""The execution of one request: scheduling, prefill, transfer, decode.

An execution makes one or more runs, one after the other. After a run that
an engine failed, the next run resumes the answer behind its last token.
"""

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
from corianderspar import cancellation
from corianderspar import engine
from corianderspar import engine_request
from corianderspar import engine_table
from corianderspar import kernel
from corianderspar import placement_messages
from corianderspar import poison
from corianderspar import pool
from corianderspar import problems
from corianderspar import prompts
from corianderspar import transfer_limits

T = TypeVar('T')

PRIORITY_BY_CLASS = {'guarded': 2, 'ordinary': 1, 'patient': 0}
PREFILL_TIMEOUT_SECONDS = 30.0
PIECE_TIMEOUT_SECONDS = 10.0  # without a piece from the decode engine
PIECE_QUEUE_SIZE = 64  # pieces that wait for the caller
# Between transfers of one KV cache. Homes that disagree on the memory of the
# engines would otherwise have it sent from engine to engine in a busy loop.
REGRANT_PAUSE_SECONDS = 0.01
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
MAX_RUNS = 6  # that an engine may have started
PROGRESS_TOKENS = 64  # of the answer, between progress reports to the home
QUARANTINE_RETRY_SECONDS = 60.0


class SchedulerInterface(Protocol):
    """Interface of the client of the schedulers at the homes of shards."""

    def new_number(self) -> int:
        """Return a number that this incarnation has not used before."""
        ...

    async def submit(
        self, execution: 'Execution', job: pool.Job
    ) -> placement_messages.SubmitReply:
        """Submit a job to its home and return the decision."""
        ...

    async def regrant(
        self, execution: 'Execution', error_code: str
    ) -> pool.Grant | None:
        """Return a new grant after a failed transfer, None if none."""
        ...

    async def report_crash(
        self, execution: 'Execution', upstream: str
    ) -> None:
        """Report that an engine crashed while it ran a request."""
        ...

    def report_progress(
        self,
        execution: 'Execution',
        update: placement_messages.ProgressUpdate,
        urgent: bool = False,
    ) -> None:
        """Report the progress of a request to its home."""
        ...

    def record_prefill(self, execution: 'Execution') -> None:
        """Record that the prefill engine has the prompt in its cache."""
        ...

    def remove(self, number: int, is_complete: bool) -> None:
        """Remove a run; ``is_complete`` says if it completed the answer."""
        ...


class Dependencies(NamedTuple):
    """The parts of a daemon that all its executions share.

    Attributes
    ----------
    app : Application
        Provides the clock, the incarnation and the event log.
    scheduler : SchedulerInterface
        Submits jobs to their homes and reports on them.
    engines : EngineTable
        Provides the clients and addresses of engines.
    canceller : Canceller
        Cancels requests at engines.
    quarantine : Quarantine
        Tracks requests that may have crashed engines.
    transfer_timeouts : TransferTimeouts
        Provides the timeout of a transfer.
    counts : collections.Counter
        Counts dropped pieces by reason, and as ``wrong_end`` the streams
        that ended before the answer.
    """

    app: kernel.Application
    scheduler: SchedulerInterface
    engines: engine_table.EngineTable
    canceller: cancellation.Canceller
    quarantine: poison.Quarantine
    transfer_timeouts: transfer_limits.TransferTimeouts
    counts: collections.Counter[str]


class _RunError(Exception):
    """Raised when an engine fails a run; another run may follow.

    Parameters
    ----------
    upstream : str
        Name of the engine.
    error : EngineError
        Why the call to it failed.
    """

    def __init__(self, upstream: str, error: engine.EngineError) -> None:
        super().__init__(error.code)
        self.upstream = upstream
        self.error = error


class Execution:
    """Runs one request on engines until its answer is complete.

    Each run has a new number, and thus an id of its own, so that pieces,
    messages and requests at engines that an earlier run left cannot be
    mistaken for those of the present one.

    Parameters
    ----------
    dependencies : Dependencies
        The parts of the daemon that the execution uses.
    request : EngineRequest
        The request.

    Attributes
    ----------
    fingerprint : str
        Digest of the model and the prompt.
    pieces : asyncio.Queue
        Pieces for the caller, in order; None only wakes the reader.
    problem : Problem or None
        Why the answer cannot be completed.
    home : str
        Home of the present run's job; empty before the first submission.
    remote_data_centre : str
        Data centre to which the request is spilled; empty for this one.
    registered_home : str
        Home that has the whole reservation; empty for none.
    number : int
        Number of the present run; 0 between runs.
    job, grant : Job or None, Grant or None
        The present run's job, and the engines that it got.
    is_decoding : bool
        Whether the present run has reached its decode.
    ran : {'no', 'yes', 'unknown'}
        Whether an engine has run the request.
    """

    def __init__(
        self, dependencies: Dependencies, request: engine_request.EngineRequest
    ) -> None:
        self.request = request
        self.fingerprint = poison.request_fingerprint(
            request.model, request.prompt
        )
        self.pieces: asyncio.Queue[engine.Piece | None] = asyncio.Queue(
            PIECE_QUEUE_SIZE
        )
        self.problem: problems.Problem | None = None
        self.home = ''
        self.remote_data_centre = ''
        self.registered_home = ''
        self.number = 0
        self.job: pool.Job | None = None
        self.grant: pool.Grant | None = None
        self.is_decoding = False
        self.ran: problems.Ran = 'no'
        self._dependencies = dependencies
        self._clock = dependencies.app.clock
        self._answer = answers.Answer(request.request_id, dependencies.counts)
        self._started_at = self._clock.monotonic()
        self._deadline = self._started_at + request.timeout
        self._decode_timeout: asyncio.Timeout | None = None
        self._waiting_since: float | None = None
        self._used_engines: dict[str, None] = {}
        self._excluded_engines: tuple[str, ...] = ()
        self._reported_tokens = 0
        self._priority = PRIORITY_BY_CLASS[request.service_class]
        self._block_hashes = prompts.block_hashes(request.prompt)
        self._prompt_tokens = prompts.count_tokens(request.prompt)

    @property
    def run_id(self) -> str:
        """Id of the present run, which is the request id at engines."""
        return f'{self._dependencies.app.incarnation}#{self.number}'

    @property
    def tokens(self) -> int:
        """Number of answer tokens that were relayed."""
        return self._answer.position

    async def run(self) -> None:
        """Run the request until its answer is complete or has failed.

        A failure is not raised but set as `problem`.
        """
        outcome = 'gone'
        try:
            async with asyncio.timeout(self.request.timeout):
                await self._run_until_complete()
            outcome = 'done'
        except engine_request.EngineRequestError as raised:
            self.problem = raised.problem
            outcome = 'failed'
        except TimeoutError:
            self.problem = self._make_problem('timeout', 504)
        finally:
            self._end_run(outcome)

    def wake_reader(self) -> None:
        """Wake the reader of `pieces` after `run` has ended."""
        # If the queue is full, the reader is not waiting: it sees that the
        # task is done once it has emptied the queue.
        with contextlib.suppress(asyncio.QueueFull):
            self.pieces.put_nowait(None)

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete."""
        return self._answer.is_complete

    def first_token_remaining(self) -> float | None:
        """Return the seconds left for the first token; None for no limit.

        The limit ends once an engine may have run the request.
        """
        timeout = self.request.first_token_timeout
        if timeout is None or self.ran != 'no':
            return None
        return timeout - (self._clock.monotonic() - self._started_at)

    def check_stall(self, awake_since: float) -> None:
        """Time the decode out if its engine has sent no piece for too long.

        Parameters
        ----------
        awake_since : float
            Monotonic seconds since which this daemon has not been paused.
            Time before does not count against the engine, since pieces
            that arrived during a pause are still unread.
        """
        if self._waiting_since is None or self._decode_timeout is None:
            return
        silent = self._clock.monotonic() - max(
            self._waiting_since, awake_since
        )
        if silent > PIECE_TIMEOUT_SECONDS:
            self._decode_timeout.reschedule(asyncio.get_running_loop().time())

    def set_problem(self, problem: problems.Problem) -> None:
        """Set the problem that the caller of a cancelled request gets."""
        self.problem = problem._replace(ran=self.ran)

    def reservation(self) -> pool.Reservation | None:
        """Return the run's reservation, None if it has no grant."""
        if self.job is None or self.grant is None:
            return None
        job = self.job._replace(blocks=())
        return pool.Reservation(job, self.grant, self.is_decoding, self.tokens)

    async def _run_until_complete(self) -> None:
        backoff = MIN_BACKOFF_SECONDS
        runs = 0
        while not self._answer.is_complete:
            self._check_quarantine()
            await self._acquire_grant()
            self._check_quarantine()
            try:
                await self._run_once()
                return
            except _RunError as run_error:
                await self._handle_run_error(run_error)
                if run_error.error.ran:
                    runs += 1
            if runs >= MAX_RUNS:
                raise engine_request.EngineRequestError(
                    self._make_problem('engine_failed', 502)
                )
            await self._clock.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    def _check_quarantine(self) -> None:
        if (
            self._dependencies.quarantine.level(self.fingerprint)
            != 'quarantined'
        ):
            return
        raise engine_request.EngineRequestError(
            problems.Problem(
                'quarantined',
                503,
                self.ran,
                'The request is held: engines crashed while running it.',
                self._dependencies.quarantine.remaining(self.fingerprint),
            )
        )

    async def _acquire_grant(self) -> None:
        level = self._dependencies.quarantine.level(self.fingerprint)
        self.number = self._dependencies.scheduler.new_number()
        self.job = pool.Job(
            self.run_id,
            self.request.account,
            self.request.weight,
            self.request.service_class,
            self.request.route,
            self._prompt_tokens + self._answer.position,
            self._block_hashes,
            self.request.max_tokens,
            self._deadline - self._clock.monotonic(),
            level == 'suspect',
            self._excluded_engines,
        )
        reply = await self._dependencies.scheduler.submit(self, self.job)
        if reply.grant is None:
            problem = reply.problem or self._make_problem('no_engine', 503)
            raise engine_request.EngineRequestError(
                problem._replace(ran=self.ran)
            )
        self.grant = reply.grant

    async def _run_once(self) -> None:
        assert self.grant is not None
        self._answer.begin_run(self.run_id)
        if self.grant.delay > 0:
            await self._clock.sleep(self.grant.delay)
        prefilled = await self._prefill(self.grant)
        await self._transfer(self.grant, prefilled)
        self._report_progress('decoding')
        self.is_decoding = True
        await self._decode(self.grant.decode)

    async def _prefill(self, grant: pool.Grant) -> engine.PrefillResult:
        client = self._client(grant.prefill)
        self._used_engines[grant.prefill] = None
        self._report_progress('started')
        call = engine.PrefillCall(
            self.run_id,
            self.request.model,
            self.request.prompt,
            self._priority,
        )
        ran_before = self.ran
        self.ran = 'unknown'
        result = await self._with_timeout(
            PREFILL_TIMEOUT_SECONDS, client.prefill(call)
        )
        if result.is_error():
            if not result.error.ran:
                self.ran = ran_before
            raise _RunError(grant.prefill, result.error)
        self.ran = 'yes'
        self._dependencies.scheduler.record_prefill(self)
        self._report_progress(
            'prefilled', result.ok.computed_tokens, result.ok.cached_tokens
        )
        return result.ok

    async def _transfer(
        self, grant: pool.Grant, prefilled: engine.PrefillResult
    ) -> None:
        expires_at = self._clock.monotonic() + prefilled.lives
        call = engine.TransferCall(
            self.run_id,
            prefilled.handle,
            self._dependencies.engines.address(grant.prefill),
        )
        pause = REGRANT_PAUSE_SECONDS
        while True:
            self._used_engines[grant.decode] = None
            started_at = self._clock.monotonic()
            timeout = self._dependencies.transfer_timeouts.timeout(
                grant.transfer_seconds, expires_at - started_at
            )
            client = self._client(grant.decode)
            result = await self._with_timeout(timeout, client.transfer(call))
            elapsed = self._clock.monotonic() - started_at
            if result.is_ok():
                self._dependencies.transfer_timeouts.note_completed(elapsed)
            elif result.error.code == 'stalled':
                self._dependencies.transfer_timeouts.note_stalled(
                    grant.decode, elapsed
                )
            if result.is_ok():
                return
            self._cancel_at(grant.decode)
            run_error = _RunError(grant.decode, result.error)
            if result.error.code == 'died':
                raise run_error
            new_grant = await self._dependencies.scheduler.regrant(
                self, result.error.code
            )
            if new_grant is None:
                raise run_error
            self.grant = grant = new_grant
            pause = max(2 * pause, grant.delay)
            if self._clock.monotonic() + pause >= expires_at:
                raise run_error
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
        self._decode_timeout = asyncio.timeout(None)
        try:
            async with self._decode_timeout:
                await self._relay_pieces(stream)
        except engine.EngineFailure as failure:
            raise _RunError(upstream, failure.error) from None
        except TimeoutError:
            stalled = engine.EngineError('stalled', True)
            raise _RunError(upstream, stalled) from None
        finally:
            self._waiting_since = None
            close = getattr(stream, 'aclose', None)
            if close is not None:
                await close()
        if not self._answer.is_complete:
            self._dependencies.counts['wrong_end'] += 1
            raise _RunError(upstream, engine.EngineError('wrong_end', True))

    async def _relay_pieces(self, stream: AsyncIterator[engine.Piece]) -> None:
        pieces = aiter(stream)
        while not self._answer.is_complete:
            self._waiting_since = self._clock.monotonic()
            piece = await anext(pieces, None)
            self._waiting_since = None
            if piece is None:
                return
            for ready in self._answer.accept(piece):
                await self.pieces.put(ready)
            if (
                self._answer.position - self._reported_tokens
                >= PROGRESS_TOKENS
            ):
                self._reported_tokens = self._answer.position
                self._report_progress('tokens', self._reported_tokens)

    async def _handle_run_error(self, run_error: _RunError) -> None:
        """Release a failed run and exclude its engine from the next one.

        Raises
        ------
        EngineRequestError
            If the request may not be sent again.
        """
        code = run_error.error.code
        self._dependencies.app.events.add(
            'request.run_ended',
            request=self.run_id,
            upstream=run_error.upstream,
            code=code,
        )
        if code == 'died':
            await self._dependencies.scheduler.report_crash(
                self, run_error.upstream
            )
        if code != 'full':
            self._excluded_engines = (run_error.upstream,)
        self._end_run('died' if code == 'died' else 'failed')
        if not self.request.repeatable and self.ran != 'no':
            raise engine_request.EngineRequestError(
                self._make_problem('engine_failed', 502)
            )

    def _end_run(self, outcome: str) -> None:
        used_engines = tuple(self._used_engines)
        self._used_engines.clear()
        if outcome != 'done' and used_engines:
            self._dependencies.canceller.cancel(used_engines, self.run_id)
        if self.number:
            tokens = self._answer.position
            update = placement_messages.ProgressUpdate(
                self.number, 'release', tokens, 0, outcome
            )
            self._dependencies.scheduler.report_progress(
                self, update, urgent=True
            )
            self._dependencies.scheduler.remove(self.number, outcome == 'done')
        self.number = 0
        self.job = self.grant = None
        self.is_decoding = False
        if outcome == 'done':
            self._dependencies.quarantine.record_success(self.fingerprint)

    def _client(self, upstream: str) -> engine.EngineClient:
        client = self._dependencies.engines.client(upstream)
        if client is None:
            left = engine.EngineError('leaving', False)
            raise _RunError(upstream, left)
        return client

    def _cancel_at(self, upstream: str) -> None:
        self._used_engines.pop(upstream, None)
        self._dependencies.canceller.cancel((upstream,), self.run_id)

    def _report_progress(
        self,
        kind: placement_messages.ProgressKind,
        tokens: int = 0,
        cached: int = 0,
    ) -> None:
        update = placement_messages.ProgressUpdate(
            self.number, kind, tokens, cached
        )
        self._dependencies.scheduler.report_progress(self, update)

    def _make_problem(self, code: str, status: int) -> problems.Problem:
        return problems.Problem(
            code,
            status,
            self.ran,
            'No engine gave the whole answer.',
            MAX_BACKOFF_SECONDS,
        )

    @staticmethod
    async def _with_timeout(
        timeout: float, call: Awaitable[Result[T, engine.EngineError]]
    ) -> Result[T, engine.EngineError]:
        try:
            async with asyncio.timeout(timeout):
                return await call
        except TimeoutError:
            return Error(engine.EngineError('stalled', True))
