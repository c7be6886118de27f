"""Which engines a request gets, and when: the scheduler of one service.

Load it answers: requests for engines arrive in clumps, at up to two and a
half times what decode memory carries, while prefill has room. A prompt that
is read before its decode room is free is read in vain, and a request that
is placed too densely is preempted and read again.

The home of a service keeps a ledger of decode memory. A request gets decode
room and a prefill engine in one step, so that room waits only while the
prompt is read. Those that can still meet their objective go first; late ones
fill what is left below a reserve, since they are worth little and would hold
the room that the next clump needs. A part of the memory is left for answers
that become longer than predicted: an engine that runs out puts a run back,
and its prompt is read again.

A new request that would not be placed in time for its objective is refused
as it arrives, or once that turns out, while it can still be told to return
after the burst. One that has returned may wait as long as its caller does:
it would hardly come again. Those that are told to return are spread over the
capacity that fresh requests leave, one after another.
"""

import collections
import math
from typing import NamedTuple

from corianderspar.router import model
from corianderspar.router import output_length

# Of decode memory. Lengths are predicted to within a half, which is a
# twentieth of an engine's memory for the ten answers that it holds.
ON_TIME_SHARE = 0.95
LATE_SHARE = 0.8  # of decode memory, for requests past their objective
WAIT_SHARE = 0.7  # of the time left that a request is expected to wait
PREFILL_TOKENS_PER_SECOND = 30_000.0  # before anything was measured
PREFILL_QUEUE_SECONDS = 0.3  # of prompts waiting at one prefill engine
FIRST_EVENT_SECONDS = 0.12  # from a prompt that was read to its first event
FULL_AVOID_SECONDS = 0.25  # an engine that said it is full is left alone
SUSPECT_SECONDS = 1.5  # an engine that did not answer is left alone
SUSPECT_MOST_SECONDS = 6.0  # doubled up to this while it does not answer
DECODE_TOKENS_PER_SECOND = 300.0  # of one request, before measured
PACE_SMOOTHING = 0.02  # weight of one answer's pace
SHORTEST_SECONDS = 0.01  # of decoding; keeps the pace finite
OVERDUE_SHARE = 0.25  # of its length that an answer past its length may add
SMOOTHING = 0.1  # weight of the newest measurement
NEAR_BONUS = 0.08  # of memory: a transfer in a data centre costs half
RETRY_FLOOR_SECONDS = 1.5  # shortest time to come back to a backlog
RETRY_MOST_SECONDS = 5.0  # longest; callers wait no longer on our word
RETRY_NO_ENGINE_SECONDS = 1.0  # to come back where no engine is registered
RETURN_SHARE = 0.2  # of the capacity, which those who return may count on


class Job(NamedTuple):
    """A request that wants engines.

    Attributes
    ----------
    lease : str
        Identifier of this request for room, unique in the fleet.
    owner : str
        Incarnation of the daemon that asks.
    prompt, named : int
        Tokens of the prompt, and of the answer as the caller names them.
    rank : int
        0 first.
    arrived : float
        Seconds, on the scheduler's clock.
    objective, deadline : float
        Until when the first event is on time, and until when it is wanted
        at all; seconds on the scheduler's clock.
    data_centre : str
        Where the daemon stands.
    excluded : tuple of str
        Instances that failed this request.
    is_read : bool
        Whether an engine keeps its prompt already.
    has_returned : bool
        Whether its caller was refused before.
    has_begun : bool
        Whether its caller has a part of the answer; it is refused only when
        its time is over.
    output : int
        Tokens of the answer as the scheduler predicts them.
    """

    lease: str
    owner: str
    prompt: int
    named: int
    rank: int
    arrived: float
    objective: float
    deadline: float
    data_centre: str
    excluded: tuple[str, ...] = ()
    is_read: bool = False
    has_returned: bool = False
    has_begun: bool = False
    output: int = 0

    @property
    def tokens(self) -> int:
        """Decode memory that is set aside."""
        return self.prompt + self.output


class Grant(NamedTuple):
    """Engines for a request.

    Attributes
    ----------
    prefill : str
        Instance that reads the prompt; empty if the decode engine does.
    decode : str
        Instance that answers.
    """

    prefill: str
    decode: str


class Refusal(NamedTuple):
    """No engine in time.

    Attributes
    ----------
    retry_after : float
        Seconds after which it is worth coming back.
    reason : str
        For the log.
    """

    retry_after: float
    reason: str


Decision = Grant | Refusal


class Reservation(NamedTuple):
    """Room that a request has.

    Attributes
    ----------
    ask : Job
        Whose it is.
    grant : Grant
        Where.
    since : float
        When it was given.
    read_at : float or None
        When its prompt was read, and its answer began to grow.
    """

    ask: Job
    grant: Grant
    since: float
    read_at: float | None

    @property
    def is_read(self) -> bool:
        """Whether the prompt has been read."""
        return self.read_at is not None


class Load(NamedTuple):
    """What an engine carries beside this scheduler's leases."""

    tokens: int
    requests: int


class Run(NamedTuple):
    """How a request's decode memory is expected to grow and end.

    Attributes
    ----------
    tokens : float
        Held now.
    left : float
        Tokens that it will still add, at the pace of all runs, before it
        ends and frees everything.
    """

    tokens: float
    left: float


def peak(runs: list[Run]) -> float:
    """Return the most memory that runs will hold together.

    All grow at one pace until each has added what it lacks, so the most is
    held at the start or just before one of them ends.

    Examples
    --------
    >>> peak([Run(100, 10), Run(200, 0)])
    300.0
    >>> peak([Run(100, 50), Run(100, 20)])
    240.0
    """
    held = float(sum(run.tokens for run in runs))
    most = held
    past = 0.0
    growing = len(runs)
    for run in sorted(runs, key=lambda run: run.left):
        held += (run.left - past) * growing
        most = max(most, held)
        past = run.left
        growing -= 1
        held -= run.tokens + run.left
    return most


def _is_as_hard(ask: Job, failed: Job) -> bool:
    """Return whether a request finds no room where another found none.

    The other comes earlier in the order, so it is not late if this one is
    not, and late ones have less memory to take.
    """
    return (
        ask.prompt >= failed.prompt
        and ask.output >= failed.output
        and set(failed.excluded) <= set(ask.excluded)
    )


class Scheduler:
    """The ledger and queue of one service.

    Parameters
    ----------
    limits : EngineLimits
        What one engine holds.
    """

    def __init__(self, limits: model.EngineLimits) -> None:
        self.limits = limits
        self.reservations_by_id: dict[str, Reservation] = {}
        self.prefill_rate = PREFILL_TOKENS_PER_SECOND
        self._engines_by_instance: dict[str, model.Upstream] = {}
        self._waiting_by_id: dict[str, Job] = {}
        self._foreign_by_owner: dict[str, dict[str, Load]] = {}
        self._avoided_until: dict[str, float] = {}
        self._silences_by_instance: collections.Counter[str] = (
            collections.Counter()
        )
        self._held_seconds = 3.0
        self._promised = 0.0
        self._promised_at = 0.0
        self._pace = math.log(DECODE_TOKENS_PER_SECOND)
        self._lengths = output_length.OutputLengthPredictor()

    def set_engines(self, engines: list[model.Upstream]) -> None:
        """Replace the engines that may get work."""
        self._engines_by_instance = {e.instance: e for e in engines}
        for instance in list(self._silences_by_instance):
            if instance not in self._engines_by_instance:
                del self._silences_by_instance[instance]
                self._avoided_until.pop(instance, None)

    def set_external_loads(self, owner: str, loads: dict[str, Load]) -> None:
        """Take note of what a daemon runs under other schedulers' leases."""
        self._foreign_by_owner[owner] = loads

    def remove_owner(self, owner: str) -> None:
        """Drop all that a daemon held; it is gone."""
        self._foreign_by_owner.pop(owner, None)
        for held in list(self.reservations_by_id.values()):
            if held.ask.owner == owner:
                del self.reservations_by_id[held.ask.lease]
        for ask in list(self._waiting_by_id.values()):
            if ask.owner == owner:
                del self._waiting_by_id[ask.lease]

    def submit(self, ask: Job, now: float) -> Decision | None:
        """Decide on a request; None if it waits."""
        output = round(self._lengths.predict(ask.named))
        ask = ask._replace(output=output)
        if not self._decodes(ask, now, ignore_avoided=True):
            return Refusal(RETRY_NO_ENGINE_SECONDS, 'no engine')
        if not any(self._fits(e, ask) for e in self._all_decodes()):
            return Refusal(RETRY_MOST_SECONDS, 'larger than an engine')
        if self._is_too_late(ask, now):
            return Refusal(self._come_back(ask, now), 'no room in time')
        if not self._is_overtaken(ask, now):
            placed = self._place(ask, now, self._usages_by_engine(now))
            if placed is not None:
                return placed
        wait = self.expected_wait(ask, now)
        if not ask.has_begun and wait > self._patience(ask, now):
            return Refusal(self._come_back(ask, now), 'backlog')
        self._waiting_by_id[ask.lease] = ask
        return None

    def schedule_backlog(self, now: float) -> list[tuple[Job, Decision]]:
        """Return the decisions that have become possible."""
        decided: list[tuple[Job, Decision]] = []
        runs_by_engine = self._usages_by_engine(now)
        failed: list[Job] = []
        for ask in self._in_order(now):
            if self._is_too_late(ask, now):
                del self._waiting_by_id[ask.lease]
                wait = self._come_back(ask, now)
                decided.append((ask, Refusal(wait, 'no room in time')))
                continue
            if not any(_is_as_hard(ask, other) for other in failed):
                placed = self._place(ask, now, runs_by_engine)
                if placed is not None:
                    del self._waiting_by_id[ask.lease]
                    decided.append((ask, placed))
                    continue
                failed.append(ask)
            can_return = not ask.has_returned and not ask.has_begun
            if can_return and self._is_late(ask, now):
                del self._waiting_by_id[ask.lease]
                wait = self._come_back(ask, now)
                decided.append((ask, Refusal(wait, 'no room on time')))
        return decided

    def cancel(self, lease: str) -> None:
        """Forget a request that waits."""
        self._waiting_by_id.pop(lease, None)

    def release(self, lease: str, now: float, is_whole: bool) -> None:
        """Free a request's room.

        Parameters
        ----------
        lease : str
            Which.
        now : float
            Seconds, on the scheduler's clock.
        is_whole : bool
            Whether the answer came to its own end.
        """
        held = self.reservations_by_id.pop(lease, None)
        self._waiting_by_id.pop(lease, None)
        if held is None or held.read_at is None or not is_whole:
            return
        self._silences_by_instance.pop(held.grant.decode, None)
        held_for = now - held.since
        self._held_seconds += SMOOTHING * (held_for - self._held_seconds)
        seconds = max(now - held.read_at, SHORTEST_SECONDS)
        # Callers' figures are right at the median, so the mean of the
        # logarithms gives the pace; single ones may be far off.
        pace = math.log(held.ask.named / seconds) if held.ask.named else 0.0
        if pace:
            self._pace += PACE_SMOOTHING * (pace - self._pace)
            made = seconds * self.decode_rate
            self._lengths.observe(held.ask.named, made)

    @property
    def decode_rate(self) -> float:
        """Tokens a second of one request."""
        return math.exp(self._pace)

    def note_prefilled(self, lease: str, now: float) -> None:
        """Take note that a request's prompt has been read."""
        held = self.reservations_by_id.get(lease)
        if held is not None:
            self.reservations_by_id[lease] = held._replace(read_at=now)
            self._silences_by_instance.pop(held.grant.prefill, None)

    def avoid(self, instance: str, now: float, seconds: float) -> None:
        """Give an engine no work for a while."""
        until = max(self._avoided_until.get(instance, 0.0), now + seconds)
        self._avoided_until[instance] = until

    def suspect(self, instance: str, now: float) -> None:
        """Give an engine that did not answer no work for a while.

        The pause doubles with each failure until the engine answers;
        failures during a pause count as one.
        """
        if self._avoided_until.get(instance, 0.0) > now:
            return
        silences = self._silences_by_instance[instance]
        self._silences_by_instance[instance] += 1
        seconds = min(SUSPECT_SECONDS * 2**silences, SUSPECT_MOST_SECONDS)
        self.avoid(instance, now, seconds)

    def backlog_size(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting_by_id)

    def expected_wait(self, ask: Job, now: float) -> float:
        """Return the seconds until a request would get room.

        Requests leave at the rate at which full engines finish them.
        """
        ahead = sum(
            other.tokens
            for other in self._waiting_by_id.values()
            if self._key(other, now) <= self._key(ask, now)
        )
        return (ahead + ask.tokens) / self._tokens_per_second(ask, now)

    def _tokens_per_second(self, ask: Job, now: float) -> float:
        """Return the memory that full engines free, tokens a second."""
        engines = len(self._decodes(ask, now, ignore_avoided=False)) or 1
        memory = self.limits.memory_tokens * engines
        return memory / max(self._held_seconds, 0.1)

    def _read_seconds(self, ask: Job) -> float:
        return ask.prompt / self.prefill_rate + FIRST_EVENT_SECONDS

    def _patience(self, ask: Job, now: float) -> float:
        """Return the longest expected wait with which a request may stay."""
        until = ask.deadline if ask.has_returned else ask.objective
        left = until - now - self._read_seconds(ask)
        return left * WAIT_SHARE

    def _come_back(self, ask: Job, now: float) -> float:
        """Return when a refused request should return, in seconds."""
        rate = self._tokens_per_second(ask, now)
        past = (now - self._promised_at) * rate * RETURN_SHARE
        self._promised = max(self._promised - past, 0.0)
        self._promised_at = now
        self._promised += ask.tokens
        wait = self.expected_wait(ask, now)
        wait += self._promised / (rate * RETURN_SHARE)
        return min(max(wait, RETRY_FLOOR_SECONDS), RETRY_MOST_SECONDS)

    def _is_overtaken(self, ask: Job, now: float) -> bool:
        """Return whether someone who waits goes before this request."""
        mine = self._key(ask, now)
        return any(
            self._key(other, now) < mine
            for other in self._waiting_by_id.values()
        )

    def _key(self, ask: Job, now: float) -> tuple[bool, int, float]:
        is_late = self._is_late(ask, now)
        return is_late, ask.rank, ask.deadline if is_late else ask.objective

    def _is_too_late(self, ask: Job, now: float) -> bool:
        """Return whether the caller will have left before the first event."""
        return now + self._read_seconds(ask) >= ask.deadline

    def _is_late(self, ask: Job, now: float) -> bool:
        return now + self._read_seconds(ask) > ask.objective

    def _in_order(self, now: float) -> list[Job]:
        return sorted(
            self._waiting_by_id.values(), key=lambda ask: self._key(ask, now)
        )

    def _all_decodes(self) -> list[model.Upstream]:
        return [
            engine
            for engine in self._engines_by_instance.values()
            if engine.phase is model.Phase.DECODE
        ]

    def _decodes(
        self, ask: Job, now: float, *, ignore_avoided: bool
    ) -> list[model.Upstream]:
        return [
            engine
            for engine in self._all_decodes()
            if engine.instance not in ask.excluded
            and (ignore_avoided or not self._is_avoided(engine, now))
        ]

    def _is_avoided(self, engine: model.Upstream, now: float) -> bool:
        return self._avoided_until.get(engine.instance, 0.0) > now

    def _fits(self, engine: model.Upstream, ask: Job) -> bool:
        return ask.tokens <= self.limits.memory_tokens

    def _usages_by_engine(self, now: float) -> dict[str, list[Run]]:
        """Return what runs at each decode engine."""
        runs: dict[str, list[Run]] = {}
        for held in self.reservations_by_id.values():
            runs.setdefault(held.grant.decode, []).append(self._run(held, now))
        for loads in self._foreign_by_owner.values():
            for instance, load in loads.items():
                # How far these are is not known: taken as nearly done.
                share = load.tokens / max(load.requests, 1)
                runs.setdefault(instance, []).extend(
                    [Run(share, 0.0)] * load.requests
                )
        return runs

    def _run(self, held: Reservation, now: float) -> Run:
        ask = held.ask
        if held.read_at is None:
            return Run(ask.prompt, ask.output)
        made = (now - held.read_at) * self.decode_rate
        left = max(ask.output - made, ask.output * OVERDUE_SHARE)
        return Run(ask.prompt + made, left)

    def _place(
        self, ask: Job, now: float, runs_by_engine: dict[str, list[Run]]
    ) -> Grant | None:
        """Give room, and add the new run to ``runs_by_engine``."""
        share = LATE_SHARE if self._is_late(ask, now) else ON_TIME_SHARE
        memory = self.limits.memory_tokens * share
        new = Run(ask.prompt, ask.output)
        best: tuple[float, model.Upstream] | None = None
        for engine in self._decodes(ask, now, ignore_avoided=False):
            runs = runs_by_engine.get(engine.instance, [])
            if len(runs) >= self.limits.slots:
                continue
            after = peak([*runs, new])
            if after > memory and runs:
                continue
            cost = after / self.limits.memory_tokens
            if engine.data_centre != ask.data_centre:
                cost += NEAR_BONUS
            if best is None or cost < best[0]:
                best = cost, engine
        if best is None:
            return None
        reader = '' if ask.is_read else self._reader(ask, now, best[1])
        if reader is None:
            return None
        placed = Grant(reader, best[1].instance)
        runs_by_engine.setdefault(placed.decode, []).append(new)
        read_at = None if reader else now
        self.reservations_by_id[ask.lease] = Reservation(
            ask, placed, now, read_at
        )
        return placed

    def _reader(
        self, ask: Job, now: float, decode: model.Upstream
    ) -> str | None:
        """Return who reads the prompt: '' for the decode engine itself."""
        queued: collections.Counter[str] = collections.Counter()
        for held in self.reservations_by_id.values():
            if not held.is_read:
                queued[held.grant.prefill] += held.ask.prompt
        engines = [
            engine
            for engine in self._engines_by_instance.values()
            if engine.phase is model.Phase.PREFILL
            and engine.instance not in ask.excluded
            and not self._is_avoided(engine, now)
        ]
        if not engines:
            return ''
        best = min(
            engines,
            key=lambda e: (
                queued[e.instance] / self.prefill_rate
                + (NEAR_BONUS if e.data_centre != decode.data_centre else 0)
            ),
        )
        waiting = queued[best.instance] / self.prefill_rate
        return best.instance if waiting <= PREFILL_QUEUE_SECONDS else None
