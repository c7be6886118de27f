"""Idempotent requests: retries and hedges within one budget."""

import asyncio
from typing import NamedTuple

import ddsketch
from expression import Error
from expression import Ok

from corianderspar import clock as clocks
from corianderspar import plain_client
from corianderspar import plain_requests
from corianderspar import problems

BUDGET_RATIO = 0.07
BUDGET_MOST = 4.0
HEDGE_RESERVE_FRACTION = 0.25
MAX_ATTEMPTS = 3
MAX_DEATHS = 2
QUANTILE = 0.95
QUANTILE_ACCURACY = 0.02
SAMPLES_NEEDED = 50
SKETCH_ROTATION_SECONDS = 30.0
SHORTEST_HEDGE = 0.005
LONGEST_HEDGE_MEDIANS = 10.0
SHORTEST_HEDGE_MEDIANS = 3.0


class RetryBudget:
    """How many further attempts requests may cost, as a fraction.

    Parameters
    ----------
    ratio : float
        Further attempts that each request pays for.
    most : float
        Attempts that may be saved up.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, most=2)
    >>> budget.withdraw(), budget.withdraw(), budget.withdraw()
    (True, True, False)
    >>> budget.deposit()
    >>> budget.deposit()
    >>> budget.withdraw()
    True
    """

    def __init__(
        self, ratio: float = BUDGET_RATIO, most: float = BUDGET_MOST
    ) -> None:
        self.balance = most
        self._ratio = ratio
        self._most = most

    def deposit(self) -> None:
        """Count one request."""
        self.balance = min(self.balance + self._ratio, self._most)

    def withdraw(self, reserve_fraction: float = 0.0) -> bool:
        """Pay for one attempt and leave a fraction of the most saved."""
        if self.balance < 1 + self._most * reserve_fraction:
            return False
        self.balance -= 1
        return True


class ReplyTimes:
    """Quantile of the time that a pool's replies took lately.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._since = clock.monotonic()
        self._new = ddsketch.DDSketch(QUANTILE_ACCURACY)
        self._old = ddsketch.DDSketch(QUANTILE_ACCURACY)

    def add(self, seconds: float) -> None:
        """Count a reply."""
        self._rotate()
        self._new.add(seconds)

    def hedge_delay(self) -> float | None:
        """Return seconds after which a reply is late; None if unknown.

        That is a high quantile between two multiples of the median: many
        slow replies don't hide that they are late, and where all replies
        take about as long, no hedge is spent on the slower half.
        """
        self._rotate()
        for sketch in (self._old, self._new):
            if sketch.count >= SAMPLES_NEEDED:
                median = sketch.get_quantile_value(0.5) or 0.0
                quantile = sketch.get_quantile_value(QUANTILE) or 0.0
                late = min(quantile, median * LONGEST_HEDGE_MEDIANS)
                late = max(late, median * SHORTEST_HEDGE_MEDIANS)
                return max(late, SHORTEST_HEDGE)
        return None

    def _rotate(self) -> None:
        now = self._clock.monotonic()
        if now - self._since < SKETCH_ROTATION_SECONDS:
            return
        self._since = now
        self._old = self._new
        self._new = ddsketch.DDSketch(QUANTILE_ACCURACY)


class _Progress:
    """What one request's attempts have shown so far."""

    def __init__(self) -> None:
        self.tried: list[str] = []
        self.sent = False
        self.deaths = 0
        self.last: plain_requests.AttemptResult = Error(
            plain_client.PlainError('unreachable', False)
        )

    def note(self, result: plain_requests.AttemptResult) -> bool:
        """Take note of an attempt; True if it is worth returning."""
        self.last = result
        if result.is_ok():
            self.sent = True
            return result.ok.status not in plain_requests.FAILURE_STATUSES
        self.sent |= result.error.sent and result.error.code != 'leaving'
        self.deaths += result.error.code == 'died'
        return result.error.code in ('invalid', 'too_large')

    @property
    def refused_leaving(self) -> bool:
        """Whether the last upstream said that it leaves.

        Another try is free then: no one else will ask that upstream.
        """
        last = self.last
        return last.is_error() and last.error.code == 'leaving'

    @property
    def ran(self) -> problems.Ran:
        """Whether an upstream may have run the request."""
        return 'unknown' if self.sent else 'no'


class Policy(NamedTuple):
    """Which further attempts are made.

    Attributes
    ----------
    attempts : int
        Most attempts of one request, hedges included.
    hedging : bool
        Whether late replies are hedged.
    """

    attempts: int = MAX_ATTEMPTS
    hedging: bool = True


class Retrier:
    """Sends idempotent requests, again where it pays.

    Parameters
    ----------
    sender : plain_requests.AttemptSender
        Makes the attempts.
    clock : Clock
        Source of time.
    policy : Policy
        Which further attempts are made.
    """

    def __init__(
        self,
        sender: plain_requests.AttemptSender,
        clock: clocks.Clock,
        policy: Policy | None = None,
    ) -> None:
        self.budget = RetryBudget()
        self._sender = sender
        self._clock = clock
        self._policy = policy or Policy()
        self._delays_by_pool: dict[str, ReplyTimes] = {}

    async def send(
        self, request: plain_requests.PlainRequest, deadline: float
    ) -> plain_requests.Outcome:
        """Return the first good reply, or the final answer at once.

        Parameters
        ----------
        request : PlainRequest
            An idempotent one.
        deadline : float
            Seconds on the monotonic clock.
        """
        self.budget.deposit()
        progress = _Progress()
        while True:
            name = self._pick(request, progress)
            if name is None:
                return self._final(progress)
            if await self._round(request, name, deadline, progress):
                return self._final(progress)
            if not self._may_go_on(progress, deadline):
                return self._final(progress)

    def _pick(
        self, request: plain_requests.PlainRequest, progress: _Progress
    ) -> str | None:
        name = self._sender.selector.choose(request.pool, True, progress.tried)
        if name is not None:
            progress.tried.append(name)
        return name

    def _may_go_on(self, progress: _Progress, deadline: float) -> bool:
        return (
            len(progress.tried) < self._policy.attempts
            and progress.deaths < MAX_DEATHS
            and self._sender.remaining(deadline) > 0
            and (progress.refused_leaving or self.budget.withdraw())
        )

    def _final(self, progress: _Progress) -> plain_requests.Outcome:
        if not progress.tried:
            return Error(plain_requests.no_upstream_problem('no'))
        if progress.last.is_ok():
            return Ok(progress.last.ok)
        error = progress.last.error
        lasting = error.code in ('invalid', 'too_large')
        retry_after = None if lasting else plain_requests.RETRY_AFTER_SECONDS
        return Error(
            plain_requests.attempt_problem(error, progress.ran, retry_after)
        )

    async def _round(
        self,
        request: plain_requests.PlainRequest,
        name: str,
        deadline: float,
        progress: _Progress,
    ) -> bool:
        """Make an attempt and, if it is late, another beside it."""
        delays = self._delays_by_pool.get(request.pool)
        if delays is None:
            delays = ReplyTimes(self._clock)
            self._delays_by_pool[request.pool] = delays
        after = delays.hedge_delay() if self._policy.hedging else None
        if after is None or after >= self._sender.remaining(deadline):
            attempt = self._timed(request, name, deadline, delays)
            return progress.note(await attempt)
        return await self._hedged(
            request, name, deadline, delays, after, progress
        )

    async def _hedged(
        self,
        request: plain_requests.PlainRequest,
        name: str,
        deadline: float,
        delays: ReplyTimes,
        after: float,
        progress: _Progress,
    ) -> bool:
        tasks = [
            asyncio.create_task(self._timed(request, name, deadline, delays))
        ]
        try:
            done, _pending = await asyncio.wait(tasks, timeout=after)
            other = None if done else self._hedge(request, progress)
            if other is not None:
                attempt = self._timed(request, other, deadline, delays)
                tasks.append(asyncio.create_task(attempt))
            good = await _first_good(tasks, progress)
            if good and not tasks[0].done():
                # Outrun by one that began later: where replies stall,
                # nothing else would tell before a deadline.
                self._sender.selector.outlier_detector.record(name, False)
            return good
        finally:
            # The loser's reply, if one ever comes, has nobody to go to.
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _hedge(
        self, request: plain_requests.PlainRequest, progress: _Progress
    ) -> str | None:
        if len(progress.tried) >= self._policy.attempts:
            return None
        other = self._pick(request, progress)
        if other is None:
            return None
        if not self.budget.withdraw(HEDGE_RESERVE_FRACTION):
            progress.tried.pop()
            return None
        return other

    async def _timed(
        self,
        request: plain_requests.PlainRequest,
        name: str,
        deadline: float,
        delays: ReplyTimes,
    ) -> plain_requests.AttemptResult:
        since = self._clock.monotonic()
        result = await self._sender.attempt(request, name, deadline)
        if result.is_ok():
            delays.add(self._clock.monotonic() - since)
        return result


async def _first_good(
    tasks: list[asyncio.Task[plain_requests.AttemptResult]],
    progress: _Progress,
) -> bool:
    waiting = list(tasks)
    while waiting:
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in [task for task in waiting if task.done()]:
            waiting.remove(task)
            if progress.note(task.result()):
                return True
    return False
