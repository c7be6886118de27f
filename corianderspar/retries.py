"""Retries and hedging of idempotent requests within one retry budget."""

import asyncio
from typing import NamedTuple

import ddsketch
from expression import Error
from expression import Ok

from corianderspar import clock as clocks
from corianderspar import plain_client
from corianderspar import plain_requests
from corianderspar import problems

BUDGET_RATIO = 0.07  # further attempts per request
BUDGET_CAPACITY = 4.0  # attempts
# Fraction of the capacity that hedges leave in the budget, for retries.
HEDGE_RESERVE_FRACTION = 0.25
MAX_ATTEMPTS = 3
# Attempts of a request that may end in a broken connection. A request that
# crashes upstreams must not reach more of them.
MAX_BROKEN_ATTEMPTS = 2
HEDGE_QUANTILE = 0.95
QUANTILE_ACCURACY = 0.02  # relative error of the sketches
MIN_SAMPLES = 50
SKETCH_ROTATION_SECONDS = 30.0
MIN_HEDGE_SECONDS = 0.005
# Bounds of the hedge delay, as multiples of the median response time.
MAX_HEDGE_MEDIANS = 10.0
MIN_HEDGE_MEDIANS = 3.0


class RetryBudget:
    """Limits further attempts to a fraction of the requests.

    Works like a token bucket that is refilled by requests. It starts full.

    Parameters
    ----------
    ratio : float
        Further attempts that each request adds to the budget.
    capacity : float
        Most attempts that the budget holds.

    Attributes
    ----------
    balance : float
        Attempts that the budget holds now.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, capacity=2)
    >>> budget.withdraw(), budget.withdraw(), budget.withdraw()
    (True, True, False)
    >>> budget.deposit()
    >>> budget.deposit()
    >>> budget.withdraw()
    True
    """

    def __init__(
        self, ratio: float = BUDGET_RATIO, capacity: float = BUDGET_CAPACITY
    ) -> None:
        self.balance = capacity
        self._ratio = ratio
        self._capacity = capacity

    def deposit(self) -> None:
        """Count a request."""
        self.balance = min(self.balance + self._ratio, self._capacity)

    def withdraw(self, reserve_fraction: float = 0.0) -> bool:
        """Take one further attempt and return true if the budget allows it.

        Parameters
        ----------
        reserve_fraction : float
            Fraction of the capacity that must be left afterwards.
        """
        if self.balance < 1 + self._capacity * reserve_fraction:
            return False
        self.balance -= 1
        return True


class ReplyTimes:
    """Recent response times of a pool, and the hedge delay from them.

    Two sketches are used in turn, so that old response times are dropped.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._rotated_at = clock.monotonic()
        self._current = ddsketch.DDSketch(QUANTILE_ACCURACY)
        self._previous = ddsketch.DDSketch(QUANTILE_ACCURACY)

    def add(self, seconds: float) -> None:
        """Record the response time of a reply."""
        self._rotate()
        self._current.add(seconds)

    def hedge_delay(self) -> float | None:
        """Return the seconds after which to hedge; None if unknown.

        It is a high quantile of the response times, bounded by two multiples
        of the median. The upper bound keeps hedging effective if more
        replies than the quantile leaves out are slow. The lower bound saves
        hedges for ordinary replies if all response times are similar.
        """
        self._rotate()
        for sketch in (self._previous, self._current):
            if sketch.count >= MIN_SAMPLES:
                median = sketch.get_quantile_value(0.5) or 0.0
                quantile = sketch.get_quantile_value(HEDGE_QUANTILE) or 0.0
                delay = min(quantile, median * MAX_HEDGE_MEDIANS)
                delay = max(delay, median * MIN_HEDGE_MEDIANS)
                return max(delay, MIN_HEDGE_SECONDS)
        return None

    def _rotate(self) -> None:
        now = self._clock.monotonic()
        if now - self._rotated_at < SKETCH_ROTATION_SECONDS:
            return
        self._rotated_at = now
        self._previous = self._current
        self._current = ddsketch.DDSketch(QUANTILE_ACCURACY)


class _Attempts:
    """Attempts of one request and their results so far."""

    def __init__(self) -> None:
        self.tried: list[str] = []
        self.sent = False
        self.broken_count = 0
        self.last: plain_requests.AttemptResult = Error(
            plain_client.PlainError('unreachable', False)
        )

    def record(self, result: plain_requests.AttemptResult) -> bool:
        """Record a result; return whether it is final, so not retried."""
        self.last = result
        if result.is_ok():
            self.sent = True
            return result.ok.status not in plain_requests.FAILURE_STATUSES
        self.sent |= result.error.sent and result.error.code != 'leaving'
        self.broken_count += result.error.code == 'died'
        return result.error.code in ('invalid', 'too_large')

    @property
    def last_was_leaving(self) -> bool:
        """Whether the last upstream answered that it is leaving.

        The next attempt is then free of the budget: no further request is
        sent to that upstream, so such attempts stay few.
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
        Most attempts of one request, including hedges.
    hedging : bool
        Whether requests with late replies are hedged.
    """

    attempts: int = MAX_ATTEMPTS
    hedging: bool = True


class Retrier:
    """Sends idempotent requests, with retries and hedging.

    Parameters
    ----------
    sender : plain_requests.AttemptSender
        Sends each attempt.
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
        self._reply_times_by_pool: dict[str, ReplyTimes] = {}

    async def send(
        self, request: plain_requests.PlainRequest, deadline: float
    ) -> plain_requests.Outcome:
        """Return a good reply, or the failure once no retry is allowed.

        Parameters
        ----------
        request : PlainRequest
            An idempotent request.
        deadline : float
            Seconds on the monotonic clock.
        """
        self.budget.deposit()
        attempts = _Attempts()
        while True:
            upstream = self._choose(request, attempts)
            if upstream is None:
                return self._outcome(attempts)
            if await self._attempt(request, upstream, deadline, attempts):
                return self._outcome(attempts)
            if not self._may_retry(attempts, deadline):
                return self._outcome(attempts)

    def _choose(
        self, request: plain_requests.PlainRequest, attempts: _Attempts
    ) -> str | None:
        upstream = self._sender.selector.choose(
            request.pool, True, attempts.tried
        )
        if upstream is not None:
            attempts.tried.append(upstream)
        return upstream

    def _may_retry(self, attempts: _Attempts, deadline: float) -> bool:
        return (
            len(attempts.tried) < self._policy.attempts
            and attempts.broken_count < MAX_BROKEN_ATTEMPTS
            and self._sender.remaining(deadline) > 0
            and (attempts.last_was_leaving or self.budget.withdraw())
        )

    def _outcome(self, attempts: _Attempts) -> plain_requests.Outcome:
        if not attempts.tried:
            return Error(plain_requests.no_upstream_problem('no'))
        if attempts.last.is_ok():
            return Ok(attempts.last.ok)
        error = attempts.last.error
        permanent = error.code in ('invalid', 'too_large')
        retry_after = None if permanent else plain_requests.RETRY_AFTER_SECONDS
        return Error(
            plain_requests.attempt_problem(error, attempts.ran, retry_after)
        )

    async def _attempt(
        self,
        request: plain_requests.PlainRequest,
        upstream: str,
        deadline: float,
        attempts: _Attempts,
    ) -> bool:
        """Make an attempt, with a hedge if its reply is late.

        Returns
        -------
        bool
            Whether the result is final.
        """
        reply_times = self._reply_times_by_pool.get(request.pool)
        if reply_times is None:
            reply_times = ReplyTimes(self._clock)
            self._reply_times_by_pool[request.pool] = reply_times
        hedge_delay = (
            reply_times.hedge_delay() if self._policy.hedging else None
        )
        if hedge_delay is None or hedge_delay >= self._sender.remaining(
            deadline
        ):
            attempt = self._timed_attempt(
                request, upstream, deadline, reply_times
            )
            return attempts.record(await attempt)
        return await self._attempt_hedged(
            request, upstream, deadline, reply_times, hedge_delay, attempts
        )

    async def _attempt_hedged(
        self,
        request: plain_requests.PlainRequest,
        upstream: str,
        deadline: float,
        reply_times: ReplyTimes,
        hedge_delay: float,
        attempts: _Attempts,
    ) -> bool:
        tasks = [
            asyncio.create_task(
                self._timed_attempt(request, upstream, deadline, reply_times)
            )
        ]
        try:
            done, _pending = await asyncio.wait(tasks, timeout=hedge_delay)
            hedge = None if done else self._choose_hedge(request, attempts)
            if hedge is not None:
                attempt = self._timed_attempt(
                    request, hedge, deadline, reply_times
                )
                tasks.append(asyncio.create_task(attempt))
            is_final = await _wait_for_final(tasks, attempts)
            if is_final and not tasks[0].done():
                # The hedge finished first although it was sent later. A
                # stalled upstream would otherwise be found at a deadline.
                self._sender.selector.outlier_detector.record(upstream, False)
            return is_final
        finally:
            # Nobody waits for the reply of the slower attempt.
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _choose_hedge(
        self, request: plain_requests.PlainRequest, attempts: _Attempts
    ) -> str | None:
        if len(attempts.tried) >= self._policy.attempts:
            return None
        hedge = self._choose(request, attempts)
        if hedge is None:
            return None
        if not self.budget.withdraw(HEDGE_RESERVE_FRACTION):
            attempts.tried.pop()
            return None
        return hedge

    async def _timed_attempt(
        self,
        request: plain_requests.PlainRequest,
        upstream: str,
        deadline: float,
        reply_times: ReplyTimes,
    ) -> plain_requests.AttemptResult:
        began = self._clock.monotonic()
        result = await self._sender.attempt(request, upstream, deadline)
        if result.is_ok():
            reply_times.add(self._clock.monotonic() - began)
        return result


async def _wait_for_final(
    tasks: list[asyncio.Task[plain_requests.AttemptResult]],
    attempts: _Attempts,
) -> bool:
    pending = list(tasks)
    while pending:
        await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in [task for task in pending if task.done()]:
            pending.remove(task)
            if attempts.record(task.result()):
                return True
    return False
