"""What a daemon last heard of the store and of its peers, for operators.

It decides nothing. While the state is not verified, a line every few seconds
says whether the store is called, what its answers are, what peers reply, and
where the task that follows the store waits.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import NamedTuple

from corianderspar import clock as clocks
from corianderspar import kernel

# Longer than in a sound fleet; keys are refused later than that.
UNVERIFIED_SECONDS = 3.5
REPORT_INTERVAL_SECONDS = 5.0
MAX_DETAIL_CHARACTERS = 200


class Outcome(NamedTuple):
    """Of one call to the store or one question to a peer.

    Attributes
    ----------
    code : str
        ``ok``, or why it brought nothing.
    detail : str
        For the log, at most `MAX_DETAIL_CHARACTERS`.
    at : float
        Monotonic seconds at which it was known.
    """

    code: str
    detail: str
    at: float

    def describe(self) -> str:
        """Return code and detail as one text."""
        return f'{self.code}: {self.detail}' if self.detail else self.code


class Tally:
    """Counts of outcomes by code, and the last one.

    The callers bound the set of codes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.counts_by_code: collections.Counter[str] = collections.Counter()
        self.last: Outcome | None = None
        self._clock = clock

    def add(self, code: str, detail: str = '') -> None:
        """Count an outcome."""
        self.counts_by_code[code] += 1
        self.last = Outcome(
            code, detail[:MAX_DETAIL_CHARACTERS], self._clock.monotonic()
        )

    def describe_last(self) -> str:
        """Return the last outcome as text; ``none`` before the first."""
        return self.last.describe() if self.last else 'none'

    def describe_since(self, before: collections.Counter[str]) -> str:
        """Return the counts beyond earlier ones, such as ``ok=3``."""
        added = self.counts_by_code - before
        return ' '.join(f'{code}={added[code]}' for code in sorted(added))


class UnverifiedLog:
    """Lines about a state that is not verified, from its begin to its end.

    Parameters
    ----------
    log : callable
        Called with the name and the fields of each event.
    clock : Clock
        Source of time.
    store_calls, peer_questions : Tally
        Outcomes of calls to the store and of questions to peers.
    """

    def __init__(
        self,
        log: Callable[..., None],
        clock: clocks.Clock,
        store_calls: Tally,
        peer_questions: Tally,
    ) -> None:
        self._log = log
        self._clock = clock
        self._store_calls = store_calls
        self._peer_questions = peer_questions
        self._started_at = clock.monotonic()
        self._verified_at = float('-inf')
        self._unverified_since: float | None = None
        self._report_at = 0.0
        self._store_before: collections.Counter[str] = collections.Counter()
        self._peers_before: collections.Counter[str] = collections.Counter()

    def check(
        self,
        verified_at: float,
        follow: asyncio.Task[None],
        step_at: float,
        **fields: object,
    ) -> None:
        """Log what is due.

        Parameters
        ----------
        verified_at : float
            Monotonic seconds of the last verification; -inf for never.
        follow : asyncio.Task
            The task that follows the store.
        step_at : float
            Monotonic seconds at which it began its present step.
        **fields : object
            Added to the line: what the state is.
        """
        now = self._clock.monotonic()
        since = max(verified_at, self._started_at)
        if now - since <= UNVERIFIED_SECONDS:
            self._end(now)
            if since > self._verified_at:
                self._verified_at = since
                self._store_before = self._store_calls.counts_by_code.copy()
                self._peers_before = self._peer_questions.counts_by_code.copy()
            return
        if self._unverified_since is None:
            self._unverified_since = since
        elif now < self._report_at:
            return
        self._report_at = now + REPORT_INTERVAL_SECONDS
        self._log(
            'state.unverified',
            seconds=f'{now - since:.2f}',
            **fields,
            **_fields_of('store', self._store_calls, self._store_before, now),
            **_fields_of(
                'peers', self._peer_questions, self._peers_before, now
            ),
            follow='ended' if follow.done() else 'runs',
            waits_at=kernel.waiting_place(follow),
            waits=f'{now - step_at:.2f}',
        )

    def _end(self, now: float) -> None:
        if self._unverified_since is None:
            return
        self._log(
            'state.verified_again',
            seconds=f'{now - self._unverified_since:.2f}',
            store=self._store_calls.describe_since(self._store_before),
            peers=self._peer_questions.describe_since(self._peers_before),
        )
        self._unverified_since = None


def _fields_of(
    name: str,
    tally: Tally,
    before: collections.Counter[str],
    now: float,
) -> dict[str, str]:
    last = tally.last
    return {
        f'{name}_last': tally.describe_last(),
        f'{name}_ago': f'{now - last.at:.2f}' if last else 'never',
        name: tally.describe_since(before),
    }
