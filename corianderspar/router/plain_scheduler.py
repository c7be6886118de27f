"""Admission and choice of upstreams for the requests to a plain service.

A `PlainScheduler` is what the home of a service knows: the requests in flight
at each upstream, how fast each answers, and the requests that wait because all
upstreams are full. It does no networking.
"""

import collections
from collections.abc import Iterable
import math
from typing import NamedTuple

from corianderspar.router import jobs
from corianderspar.router import model
from corianderspar.router import return_times
from corianderspar.router import selection

# In flight beyond the slots of an upstream, as a share of them: an upstream
# would idle while the end of a request is reported and the next one is sent.
EXCESS_SHARE = 0.25
SMOOTHING = 0.1  # weight of the newest answer
# A single answer counts as at most so many times the average, or as one part
# in so many of it, so that a short stall does not distort the average.
MAX_SAMPLE_RATIO = 3.0
# An upstream is as slow as its oldest request in flight divided by this.
OVERDUE_RATIO = 2.0
LOAD_COST_SHARE = 0.1  # of the response time: cost of a full upstream
# After a refusal, which means that others filled the queue of the upstream.
REFUSED_AVOID_SECONDS = 0.1
FAILURES_IN_A_ROW = 3  # then an upstream is avoided for a while
FAILED_AVOID_SECONDS = 1.5
# Between looks at the whole queue, which took 0.3 to 1 ms for 500 jobs.
ORDER_INTERVAL_SECONDS = 0.01
MAX_WAITING = 2000  # jobs, about 1 MB
GRANT_SECONDS = 30.0  # no request lasts longer
# The end of a request is taken to be lost if it is older than this, and those
# before it and as many after it as fill the slots twice have ended. Daemons
# that are cut off can't report ends, which would block all slots.
LOST_SECONDS = 0.6
LOST_ROUNDS = 2


class PlainJob(NamedTuple):
    """A request that is to be placed.

    Attributes
    ----------
    job_id, owner : str
        As in `jobs.Job`.
    rank : int
        0 is the highest.
    account : str
        Name of the client account; empty on a public route.
    weight : float
        Of the account, for its share within the rank.
    arrived_at : float
        Seconds on the scheduler's clock, like all its times.
    hold_until : float
        Until when it may wait; a daemon that has sent the request elsewhere
        does not wait for the home.
    deadline : float
        When the caller gives up.
    excluded : frozenset of str
        Instances that may not get the request.
    data_centre : str
        Of the submitting daemon.
    """

    job_id: str
    owner: str
    rank: int
    account: str
    weight: float
    arrived_at: float
    hold_until: float
    deadline: float
    excluded: frozenset[str]
    data_centre: str


class PlainDecision(NamedTuple):
    """An upstream for a job, or its refusal.

    Attributes
    ----------
    state : str
        ``placed``, ``refused``, or ``unknown`` if no upstream may get it.
    instance : str
        The upstream, if it is placed.
    retry_after, reason : float, str
        As in `jobs.Refusal`, if it is refused.
    """

    state: str
    instance: str = ''
    retry_after: float = 0.0
    reason: str = ''


class HeldGrant(NamedTuple):
    """A grant that a daemon holds at the home of a service.

    Attributes
    ----------
    service, request_id : str
        The service, and the identifier at the home.
    home : str
        VM that granted it.
    instance : str
        The upstream.
    """

    service: str
    request_id: str
    home: str
    instance: str


class _Placed(NamedTuple):
    """A request in flight; ``ahead`` is what was in flight before it."""

    job: PlainJob
    instance: str
    placed_at: float
    ahead: int


def queue_order(waiting: Iterable[PlainJob]) -> list[PlainJob]:
    """Return waiting jobs in the order in which they are to be served.

    Within a rank, the caller that has the least time left goes first.
    """
    return sorted(waiting, key=lambda job: (job.rank, job.deadline))


def _latest_start(job: PlainJob, seconds: float) -> float:
    """Return until when a job may wait that takes some seconds."""
    return min(job.hold_until, job.deadline - seconds)


class UpstreamLoad:
    """What is known of an upstream.

    Parameters
    ----------
    upstream : Upstream
        As registered.
    seconds : float
        Expected time to serve a request, until there are answers.

    Attributes
    ----------
    placed_at_by_id : dict of str to float
        When the requests in flight were placed, oldest first.
    seconds : float
        Moving average of the time to serve a request, without its wait in
        the queue of the upstream.
    """

    def __init__(
        self,
        upstream: model.Upstream,
        seconds: float = selection.INITIAL_SECONDS,
    ) -> None:
        self.upstream = upstream
        self.placed_at_by_id: dict[str, float] = {}
        self.seconds = seconds
        self.slots = max(upstream.slots, 1)
        self.limit = self.slots + math.ceil(self.slots * EXCESS_SHARE)
        self._ends = 0
        # The number of ends at which an older request counts as lost.
        self._lost_at_end_by_id: dict[str, int] = {}
        self._failure_rate = 0.0
        self._failed_at = 0.0
        self._failures_in_a_row = 0
        self._avoided_until = 0.0

    def drop_lost(self, now: float) -> None:
        """Stop counting requests whose ends were probably lost."""
        for job_id, placed_at in list(self.placed_at_by_id.items()):
            if (
                placed_at >= now - LOST_SECONDS
                or self._ends < self._lost_at_end_by_id[job_id]
            ):
                break
            self.remove(job_id)

    def add(self, job_id: str, now: float) -> None:
        """Count a request that is placed."""
        self._lost_at_end_by_id[job_id] = (
            self._ends + len(self.placed_at_by_id) + LOST_ROUNDS * self.slots
        )
        self.placed_at_by_id[job_id] = now

    def remove(self, job_id: str) -> None:
        """Stop counting a request."""
        self.placed_at_by_id.pop(job_id, None)
        self._lost_at_end_by_id.pop(job_id, None)

    def has_room(self, now: float) -> bool:
        """Return whether it may get one more request."""
        self.drop_lost(now)
        return (
            len(self.placed_at_by_id) < self.limit
            and self._avoided_until <= now
        )

    def present_seconds(self, now: float) -> float:
        """Return the time to serve a request, as far as is known now."""
        if not self.placed_at_by_id:
            return self.seconds
        oldest = next(iter(self.placed_at_by_id.values()))
        return max(self.seconds, (now - oldest) / OVERDUE_RATIO)

    def cost(self, now: float, data_centre: str) -> float:
        """Return the predicted response time of one more request."""
        in_flight = len(self.placed_at_by_id)
        seconds = self.present_seconds(now)
        ahead = max(in_flight + 1 - self.slots, 0) / self.slots
        cost = seconds * (
            1.0 + ahead + LOAD_COST_SHARE * in_flight / self.slots
        )
        if self._failure_rate:
            cost += (
                self._failure_rate
                * math.exp((self._failed_at - now) / selection.DECAY_SECONDS)
                * selection.FAILURE_SECONDS
            )
        if self.upstream.data_centre != data_centre:
            cost += selection.REMOTE_SECONDS
        return cost

    def record(
        self, outcome: str, seconds: float, ahead: int, now: float
    ) -> None:
        """Learn from the end of a request; see `PlainScheduler.end`."""
        if outcome == 'refused':
            self._avoided_until = now + REFUSED_AVOID_SECONDS
        if outcome not in ('answered', 'failed'):
            return
        self._ends += 1
        is_failure = outcome == 'failed'
        if is_failure or self._failure_rate:
            rate = self._failure_rate * math.exp(
                (self._failed_at - now) / selection.DECAY_SECONDS
            )
            self._failure_rate = rate + selection.SMOOTHING * (
                is_failure - rate
            )
            self._failed_at = now
        if is_failure:
            self._failures_in_a_row += 1
            if self._failures_in_a_row >= FAILURES_IN_A_ROW:
                self._avoided_until = now + FAILED_AVOID_SECONDS
            return
        self._failures_in_a_row = 0
        queued = max(ahead + 1 - self.slots, 0)
        sample = seconds / (1.0 + queued / self.slots)
        sample = min(
            max(sample, self.seconds / MAX_SAMPLE_RATIO),
            self.seconds * MAX_SAMPLE_RATIO,
        )
        self.seconds += SMOOTHING * (sample - self.seconds)


class PlainScheduler:
    """Places the requests of one plain service."""

    def __init__(self) -> None:
        self.loads_by_instance: dict[str, UpstreamLoad] = {}
        self._placed_by_id: dict[str, _Placed] = {}
        self._waiting_by_id: dict[str, PlainJob] = {}
        self._waiting_by_rank: collections.Counter[int] = collections.Counter()
        self._ordered: collections.deque[PlainJob] = collections.deque()
        self._ordered_at = -math.inf
        self._return_times = return_times.ReturnTimes()

    @property
    def in_flight(self) -> int:
        """Number of requests that were placed and have not ended."""
        return len(self._placed_by_id)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for an upstream."""
        return len(self._waiting_by_id)

    def set_upstreams(self, upstreams: Iterable[model.Upstream]) -> None:
        """Set the upstreams; what is known of those that remain is kept."""
        # With a longer time than the others need, a new upstream would be idle
        # until these are full.
        usual = self._usual_seconds()
        loads: dict[str, UpstreamLoad] = {}
        for upstream in upstreams:
            known = self.loads_by_instance.get(upstream.instance)
            if (
                known is None
                or known.upstream.started_ms != upstream.started_ms
            ):
                known = UpstreamLoad(upstream, usual)
            known.upstream = upstream
            loads[upstream.instance] = known
        self.loads_by_instance = loads

    def submit(self, job: PlainJob, now: float) -> PlainDecision | None:
        """Place or refuse a job, or queue it and return None."""
        if all(name in job.excluded for name in self.loads_by_instance):
            return PlainDecision('unknown', reason='no upstream')
        if not self._waiting_by_id:
            placed = self._place(job, now)
            if placed is not None:
                return placed
        start = now + (self._ahead(job) + 1) / self._rate(now)
        if start > _latest_start(job, self._present_seconds(now)):
            return self._refusal(job, now, 'no room in time')
        self._waiting_by_id[job.job_id] = job
        self._waiting_by_rank[job.rank] += 1
        return None

    def schedule(self, now: float) -> list[tuple[PlainJob, PlainDecision]]:
        """Decide on the waiting jobs for which that is possible now."""
        decided: list[tuple[PlainJob, PlainDecision]] = []
        if not self._waiting_by_id:
            return decided
        is_due = now - self._ordered_at >= ORDER_INTERVAL_SECONDS
        if is_due or not self._ordered:
            self._ordered_at = now
            self._ordered = collections.deque(
                queue_order(self._waiting_by_id.values())
            )
        passed: list[PlainJob] = []
        while self._ordered and any(
            load.has_room(now) for load in self.loads_by_instance.values()
        ):
            job = self._ordered.popleft()
            if job.job_id not in self._waiting_by_id:
                continue  # it was abandoned
            decision = self._place(job, now)
            if decision is None:
                passed.append(job)
            else:
                self._remove_waiting(job.job_id)
                decided.append((job, decision))
        self._ordered.extendleft(reversed(passed))
        if is_due:
            decided += self._refuse_late(now)
        return decided

    def end(
        self, job_id: str, seconds: float, outcome: str, now: float
    ) -> str:
        """Release a job; return the instance that it was on.

        Parameters
        ----------
        job_id : str
            Which job. Unknown ones are ignored, and return an empty string.
        seconds : float
            Time from its send to its end.
        outcome : str
            ``answered``, ``refused`` (by the upstream), ``failed`` or
            ``abandoned``.
        now : float
            Seconds on the scheduler's clock.
        """
        self._remove_waiting(job_id)
        placed = self._placed_by_id.pop(job_id, None)
        if placed is None:
            return ''
        load = self.loads_by_instance.get(placed.instance)
        if load is not None:
            load.remove(job_id)
            load.record(outcome, seconds, placed.ahead, now)
        return placed.instance

    def remove_owner(self, owner: str, now: float) -> None:
        """Release the jobs of a daemon that has ended."""
        for job_id in [
            job.job_id
            for job in (
                *(placed.job for placed in self._placed_by_id.values()),
                *self._waiting_by_id.values(),
            )
            if job.owner == owner
        ]:
            self.end(job_id, 0.0, 'abandoned', now)

    def expire(self, now: float) -> None:
        """Release jobs whose ends were not reported."""
        for job_id in [
            job_id
            for job_id, placed in self._placed_by_id.items()
            if placed.placed_at < now - GRANT_SECONDS
            or placed.job.deadline < now
        ]:
            self.end(job_id, 0.0, 'abandoned', now)

    def _refuse_late(self, now: float) -> list[tuple[PlainJob, PlainDecision]]:
        """Refuse waiting jobs that can't be served in time."""
        decided: list[tuple[PlainJob, PlainDecision]] = []
        rate = self._rate(now)
        seconds = self._present_seconds(now)
        ahead = 0
        for job in self._ordered:
            if job.job_id not in self._waiting_by_id:
                continue
            if all(name in job.excluded for name in self.loads_by_instance):
                decision = PlainDecision('unknown', reason='no upstream')
            elif ahead >= MAX_WAITING:
                decision = self._refusal(job, now, 'queue is full')
            elif now + (ahead + 1) / rate > _latest_start(job, seconds):
                decision = self._refusal(job, now, 'no room in time')
            else:
                ahead += 1
                continue
            self._remove_waiting(job.job_id)
            decided.append((job, decision))
        return decided

    def _remove_waiting(self, job_id: str) -> None:
        job = self._waiting_by_id.pop(job_id, None)
        if job is not None:
            self._waiting_by_rank[job.rank] -= 1

    def _place(self, job: PlainJob, now: float) -> PlainDecision | None:
        best: UpstreamLoad | None = None
        best_cost = math.inf
        for instance, load in self.loads_by_instance.items():
            if instance in job.excluded or not load.has_room(now):
                continue
            cost = load.cost(now, job.data_centre)
            if cost < best_cost:
                best, best_cost = load, cost
        if best is None:
            return None
        instance = best.upstream.instance
        self._placed_by_id[job.job_id] = _Placed(
            job, instance, now, len(best.placed_at_by_id)
        )
        best.add(job.job_id, now)
        return PlainDecision('placed', instance)

    def _refusal(
        self, job: PlainJob, now: float, reason: str
    ) -> PlainDecision:
        """Return a refusal, with the time to return."""
        rate = self._rate(now)
        wait = self._return_times.next(
            job.rank,
            (self._ahead(job) + 1) / rate,
            1.0 / rate,
            max(job.deadline - now, 0.0) * jobs.RETURN_SHARE,
            now,
        )
        return PlainDecision('refused', '', wait, reason)

    def _ahead(self, job: PlainJob) -> int:
        """Return the number of jobs that go before a new one."""
        return sum(
            (other.rank, other.deadline) <= (job.rank, job.deadline)
            for other in self._waiting_by_id.values()
        )

    def _present_seconds(self, now: float) -> float:
        """Return the shortest time to serve a request, as known now."""
        return min(
            (
                load.present_seconds(now)
                for load in self.loads_by_instance.values()
            ),
            default=0.0,
        )

    def _usual_seconds(self) -> float:
        """Return the shortest time to serve a request."""
        return min(
            (load.seconds for load in self.loads_by_instance.values()),
            default=selection.INITIAL_SECONDS,
        )

    def _rate(self, now: float) -> float:
        """Return the requests/s that all upstreams serve."""
        return (
            sum(
                load.slots / load.present_seconds(now)
                for load in self.loads_by_instance.values()
            )
            or 1.0
        )
