"""Placement of requests on the engines of one service.

More requests may arrive than the KV cache memory of the decode engines
carries, while prefill has capacity to spare. A prompt that is prefilled
before decode memory is free is prefilled in vain, and an engine whose memory
is over-committed preempts a request, whose prompt then has to be prefilled
again.

The home of a service therefore keeps a ledger of decode memory. A job gets
decode memory and a prefill engine in one step, so memory is idle only while
the prompt is prefilled. A share is left for answers that become longer than
predicted.

The order of the backlog, refusals and retry times are those of
`queue_policy`. A job waits for as long as its caller may still get its first
event before it gives up, and is refused once that is known to be impossible.
"""

import collections
from collections.abc import Mapping
import heapq
import math
from typing import Protocol

from corianderspar.router import backlog
from corianderspar.router import engine_choice
from corianderspar.router import engine_ledger
from corianderspar.router import engine_rates
from corianderspar.router import jobs
from corianderspar.router import model
from corianderspar.router import output_length
from corianderspar.router import pace
from corianderspar.router import queue_policy

MAX_PREFILL_QUEUE_SECONDS = 0.3  # of prompts that wait at one engine
FULL_AVOID_SECONDS = 0.25  # without new jobs after an engine reported full
SUSPECT_MIN_SECONDS = 1.5  # without new jobs after an engine did not answer
SUSPECT_MAX_SECONDS = 6.0  # limit of the doubling on repeated failures
HELD_SECONDS_SMOOTHING = 0.1  # weight of the newest reservation
MIN_HELD_SECONDS = 0.1
LOOK_SECONDS = 0.04  # between looks at all jobs while none fits
RETRY_NO_ENGINE_SECONDS = 1.0  # while no engine is registered


def _no_engine(job: jobs.Job) -> jobs.Refusal:
    reason = 'no engine'
    if job.version is not None:
        reason = f'no engine of version {job.version!r}'
    return jobs.Refusal(RETRY_NO_ENGINE_SECONDS, reason)


class Permits(Protocol):
    """Decides whether engines that state a limit may get a job."""

    def rate(self, upstream: model.Upstream) -> float | None:
        """Return the jobs per second that may be placed; None if unlimited."""
        ...

    def is_limited(self, upstream: model.Upstream) -> bool:
        """Return whether an engine states a limit."""
        ...

    def is_available(self, upstream: model.Upstream) -> bool:
        """Return whether an engine may get a job now."""
        ...

    def is_trial_due(self, upstream: model.Upstream) -> bool:
        """Return whether a limited engine is to get one of the next jobs."""
        ...

    def take(self, upstream: model.Upstream) -> bool:
        """Count a job that is placed on an engine.

        Returns
        -------
        bool
            Whether the engine is cold and the job counts for that.
        """
        ...


class NoLimits:
    """The permits where no engine states a limit; implements `Permits`."""

    def rate(self, _upstream: model.Upstream) -> float | None:
        """Return that an engine is unlimited."""
        return None

    def is_limited(self, _upstream: model.Upstream) -> bool:
        """Return that an engine states no limit."""
        return False

    def is_available(self, _upstream: model.Upstream) -> bool:
        """Return that an engine may get a job."""
        return True

    def is_trial_due(self, _upstream: model.Upstream) -> bool:
        """Return that no engine needs a trial."""
        return False

    def take(self, _upstream: model.Upstream) -> bool:
        """Return that no engine is cold."""
        return False


_NO_LIMITS = NoLimits()


def _ignore(*_args: object, **_fields: object) -> None:
    """Log nothing."""


class Scheduler:
    """The memory ledger and the backlog of one service.

    Parameters
    ----------
    limits : EngineLimits
        Capacity of one engine.
    permits : Permits
        Asked for engines that state a limit of jobs per second.
    rates : EngineRates or None
        Rates of the engines; None to begin with the usual ones.
    windows : PaceWindows or None
        Windows of engines in slow start; None for own ones.

    Attributes
    ----------
    reservations_by_id : mapping of str to Reservation
        Reservations by the identifier of their job.
    rates : EngineRates
        What has been learnt of the engines' rates.
    """

    def __init__(
        self,
        limits: model.EngineLimits,
        permits: Permits = _NO_LIMITS,
        rates: engine_rates.EngineRates | None = None,
        windows: pace.PaceWindows | None = None,
    ) -> None:
        self.limits = limits
        self.rates = rates or engine_rates.EngineRates()
        self._permits = permits
        if windows is None:
            windows = pace.PaceWindows(_ignore)
        self._windows = windows
        self._ledger = engine_ledger.EngineLedger()
        self._choice = engine_choice.EngineChoice(self.rates, self._ledger)
        self._engines_by_instance: dict[str, model.Upstream] = {}
        self._prefill_by_instance: dict[str, model.Upstream] = {}
        self._decode_by_instance: dict[str, model.Upstream] = {}
        self._backlog = backlog.Backlog(
            self._time_to_first_event, self._ledger.served_tokens
        )
        self._unplaced = backlog.Unplaced(self._backlog)
        self._avoided_until_by_instance: dict[str, float] = {}
        self._failures_by_instance: collections.Counter[str] = (
            collections.Counter()
        )
        self._looked_at = -math.inf
        self._mean_held_seconds = 0.0
        self._held_weight = 1.0  # of the next reservation in that mean
        self._output_lengths = output_length.OutputLengthPredictor()

    def set_engines(self, engines: list[model.Upstream]) -> None:
        """Replace the engines that may get jobs."""
        self._engines_by_instance = {e.instance: e for e in engines}
        self._prefill_by_instance, self._decode_by_instance = (
            {e.instance: e for e in engines if e.phase is phase}
            for phase in (model.Phase.PREFILL, model.Phase.DECODE)
        )
        self._backlog.decode_versions = frozenset(
            engine.version for engine in self._decode_by_instance.values()
        )
        self.rates.retain(self._engines_by_instance)
        self._ledger.retain(self._engines_by_instance)
        for instance in list(self._failures_by_instance):
            if instance not in self._engines_by_instance:
                del self._failures_by_instance[instance]
                self._avoided_until_by_instance.pop(instance, None)

    @property
    def reservations_by_id(self) -> Mapping[str, jobs.Reservation]:
        """Reservations by the identifier of their job."""
        return self._ledger.reservations_by_id

    @property
    def has_engines(self) -> bool:
        """Whether any decode engine is known."""
        return bool(self._decode_by_instance)

    def set_external_loads(
        self, owner: str, loads: dict[str, jobs.Load]
    ) -> None:
        """Replace what a daemon runs under other schedulers' reservations.

        Parameters
        ----------
        owner : str
            Incarnation of the daemon.
        loads : dict of str to Load
            Loads by instance.
        """
        self._ledger.set_external_loads(owner, loads)

    def remove_owner(self, owner: str) -> None:
        """Drop all jobs and loads of an incarnation that has ended."""
        self._ledger.remove_owner(owner)
        self._backlog.remove_owner(owner)

    def submit(self, job: jobs.Job, now: float) -> jobs.Decision | None:
        """Return the decision on a new job; None if it joins the backlog."""
        output_tokens = round(self._output_lengths.predict(job.length_hint))
        job = job._replace(output_tokens=output_tokens)
        if not self._usable_decode_engines(job, now, ignore_avoided=True):
            return _no_engine(job)
        if job.kv_tokens > self.limits.memory_tokens:
            return jobs.Refusal(math.inf, 'larger than an engine')
        if self._backlog.misses_deadline(job, now):
            return self._refuse(job, now, 'no room in time')
        unplaced: backlog.Unplaced | None = None
        if not self._backlog.is_preceded(job):
            unplaced = backlog.Unplaced(self._backlog, reserve_for_all=True)
        elif self._backlog.has_other_rank(job):
            # There may be room that those before it cannot use.
            unplaced = self._unplaced
        if unplaced is not None:
            uses_by_instance = self._uses_by_instance(now)
            grant = self._place_by_rank(job, now, uses_by_instance, unplaced)
            if grant is not None:
                return grant
        supply = self._supply(job, now)
        permit_wait = self._permit_wait(job, now)
        if self._backlog.must_refuse(job, supply, permit_wait, now):
            return self._refuse(job, now, 'backlog')
        self._backlog.add(job)
        return None

    def schedule_backlog(
        self, now: float
    ) -> list[tuple[jobs.Job, jobs.Decision]]:
        """Place or refuse jobs of the backlog; return these decisions."""
        decisions: list[tuple[jobs.Job, jobs.Decision]] = []
        if not self._backlog or not self._is_look_due(now):
            return decisions
        self._looked_at = now
        uses_by_instance = self._uses_by_instance(now)
        unplaced = self._unplaced = backlog.Unplaced(self._backlog)
        waiting = self._ordered_backlog()
        lost = self._backlog.lost(waiting, self._supply, now)
        free_tokens = self._free_tokens(now)
        for job in waiting:
            decision: jobs.Decision | None = None
            if (
                job.version is not None
                and job.version not in self._backlog.decode_versions
            ):
                decision = _no_engine(job)
            elif self._backlog.misses_deadline(job, now):
                decision = self._refuse(job, now, 'no room in time')
            elif job.prompt_tokens > free_tokens:
                if not unplaced.is_blocked(job):
                    unplaced.add(job)
            else:
                decision = self._place_by_rank(
                    job, now, uses_by_instance, unplaced
                )
                if decision is not None:
                    free_tokens = self._free_tokens(now)
            if decision is None and job.job_id in lost:
                decision = self._refuse(job, now, 'no room in time')
            if decision is not None:
                self._backlog.remove(job.job_id)
                decisions.append((job, decision))
        return decisions

    def _is_look_due(self, now: float) -> bool:
        """Return whether a look at all jobs that wait may decide on one."""
        return (
            now - self._looked_at >= LOOK_SECONDS
            or self._backlog.shortest_prompt() <= self._free_tokens(now)
        )

    def cancel(self, job_id: str) -> None:
        """Remove a job from the backlog."""
        self._backlog.remove(job_id)

    def release(self, job_id: str, now: float, is_complete: bool) -> None:
        """Free a job's reservation.

        Parameters
        ----------
        job_id : str
            A job that is granted or in the backlog; others are ignored.
        now : float
            Seconds on the scheduler's clock.
        is_complete : bool
            Whether the answer was generated to its end.
        """
        reservation = self._ledger.remove(job_id)
        self._backlog.remove(job_id)
        if (
            reservation is None
            or reservation.prefilled_at is None
            or not is_complete
        ):
            return
        decode = reservation.grant.decode
        self._failures_by_instance.pop(decode, None)
        held_seconds = now - reservation.granted_at
        self._mean_held_seconds += self._held_weight * (
            held_seconds - self._mean_held_seconds
        )
        self._held_weight = max(
            self._held_weight / (1 + self._held_weight), HELD_SECONDS_SMOOTHING
        )
        seconds = max(now - reservation.prefilled_at, engine_rates.MIN_SECONDS)
        expected = (
            max(reservation.job.output_tokens, 1)
            / self.rates.usual_decode_rate
        )
        self._record_pace(decode, seconds / expected, now)
        hint = reservation.job.length_hint
        if hint:
            self.rates.note_decode(decode, hint, seconds, now)
            generated = seconds * self.rates.decode_rate(decode, now)
            self._output_lengths.observe(hint, generated)

    def note_prefilled(self, job_id: str, now: float) -> None:
        """Record that a job's prompt has been prefilled."""
        prefilled = self._ledger.mark_prefilled(job_id, now)
        if prefilled is not None:
            reservation, seconds = prefilled
            prefill = reservation.grant.prefill
            self._failures_by_instance.pop(prefill, None)
            if not reservation.is_prefilled:
                self.rates.note_prefill(
                    prefill, reservation.job.prompt_tokens, seconds, now
                )
                # Measured against what the length of the prompt lets expect.
                expected = self._time_to_first_event(reservation.job)
                waited = now - reservation.granted_at
                self._record_pace(prefill, waited / expected, now)

    def _record_pace(self, instance: str, ratio: float, now: float) -> None:
        """Record the time of an answer as a multiple of the expected one."""
        engine = self._engines_by_instance.get(instance)
        if engine is not None:
            self._windows.record_answer(engine, ratio, now)

    def note_refused(self, instance: str, now: float) -> None:
        """Record that an engine refused a request as it was full."""
        engine = self._engines_by_instance.get(instance)
        if engine is not None:
            self._windows.record_refusal(engine, now)
        self.avoid(instance, now, FULL_AVOID_SECONDS)

    def avoid(self, instance: str, now: float, seconds: float) -> None:
        """Give an engine no jobs for some seconds."""
        until = max(
            self._avoided_until_by_instance.get(instance, 0.0), now + seconds
        )
        self._avoided_until_by_instance[instance] = until

    def suspect(self, instance: str, now: float) -> None:
        """Avoid an engine that did not answer.

        The time doubles with each failure until the engine answers. Failures
        while the engine is avoided are not counted.
        """
        if self._avoided_until_by_instance.get(instance, 0.0) > now:
            return
        failures = self._failures_by_instance[instance]
        self._failures_by_instance[instance] += 1
        seconds = min(SUSPECT_MIN_SECONDS * 2**failures, SUSPECT_MAX_SECONDS)
        self.avoid(instance, now, seconds)
        engine = self._engines_by_instance.get(instance)
        if engine is not None:
            self._windows.begin_cautiously(engine, now)

    def clear_suspicion(self, instance: str) -> None:
        """Use an engine again that went on after it had been silent."""
        self._avoided_until_by_instance.pop(instance, None)
        self._failures_by_instance.pop(instance, None)
        engine = self._engines_by_instance.get(instance)
        if engine is not None:
            self._windows.lift(engine)

    def backlog_size(self) -> int:
        """Return the number of jobs that wait."""
        return len(self._backlog)

    def waiting_by_rank(self) -> collections.Counter[int]:
        """Return the number of jobs that wait, by rank."""
        return self._backlog.count_by_rank()

    def _permit_wait(self, job: jobs.Job, now: float) -> float:
        """Return the seconds until engines that are all limited get a job."""
        total = 0.0
        for engine in self._usable_decode_engines(
            job, now, ignore_avoided=True
        ):
            rate = self._permits.rate(engine)
            if rate is None:
                return 0.0
            total += rate
        if total <= 0.0:
            return math.inf
        return (self._backlog.requests_ahead(job) + 1) / total

    def _supply(self, job: jobs.Job, now: float) -> queue_policy.Supply:
        """Return when decode engines have memory for jobs of one size."""
        held_seconds = max(self._mean_held_seconds, MIN_HELD_SECONDS)
        tokens = max(job.kv_tokens, 1)
        memory = self.limits.memory_tokens * engine_choice.MEMORY_SHARE
        requests = min(max(memory // tokens, 1), self.limits.slots)
        engines = self._usable_decode_engines(job, now, ignore_avoided=False)
        total = max(len(engines), 1) * requests * tokens
        # In the order in which they were granted.
        reservations = self.reservations_by_id.values()
        reserved = [each.job.kv_tokens for each in reservations]
        until = now - held_seconds
        ends = [max(each.granted_at - until, 0.0) for each in reservations]
        return queue_policy.Supply(
            [0.0, *ends],
            [max(total - sum(reserved), 0.0), *reserved],
            held_seconds,
        )

    def _time_to_first_event(self, job: jobs.Job) -> float:
        """Return the seconds from placement to the first event."""
        return self._choice.time_to_first_event(job)

    def _refuse(self, job: jobs.Job, now: float, reason: str) -> jobs.Refusal:
        """Return the refusal of a job for which there is no room."""
        return self._backlog.refuse(
            job,
            self._supply(job, now),
            self._permit_wait(job, now),
            now,
            reason,
        )

    def _ordered_backlog(self) -> list[jobs.Job]:
        return self._backlog.ordered()

    def _place_by_rank(
        self,
        job: jobs.Job,
        now: float,
        uses_by_instance: engine_ledger.MemoryUses,
        unplaced: backlog.Unplaced,
    ) -> jobs.Grant | None:
        """Place a job, after those before it that found no room.

        Each such job keeps one engine free of this one while ranks differ,
        since smaller jobs would take the memory piece by piece for which it
        waits.
        """
        if unplaced.is_blocked(job):
            return None
        candidate = job
        preceding = unplaced.preceding(job)
        if preceding:
            kept = heapq.nsmallest(
                len(preceding),
                self._usable_decode_engines(job, now, ignore_avoided=True),
                key=lambda engine: uses_by_instance.peak(engine.instance),
            )
            excluded = *job.excluded, *(engine.instance for engine in kept)
            candidate = job._replace(excluded=excluded)
        grant = self._place(
            candidate, now, uses_by_instance, unplaced.reserved_versions
        )
        if grant is None:
            unplaced.add(job)
        else:
            self._backlog.note_overtaken(preceding)
        return grant

    def _free_tokens(self, now: float) -> float:
        """Return the longest prompt for which there may be memory."""
        return self._choice.free_tokens(
            self._decode_by_instance.values(), self.limits, now
        )

    def _usable_decode_engines(
        self, job: jobs.Job, now: float, *, ignore_avoided: bool
    ) -> list[model.Upstream]:
        return [
            engine
            for engine in self._decode_by_instance.values()
            if job.may_use(engine)
            and job.version in (None, engine.version)
            and (ignore_avoided or not self._is_avoided(engine, now))
        ]

    def _is_avoided(self, engine: model.Upstream, now: float) -> bool:
        return self._avoided_until_by_instance.get(
            engine.instance, 0.0
        ) > now or not self._permits.is_available(engine)

    def _with_penalty(
        self, engine: model.Upstream
    ) -> tuple[model.Upstream, float]:
        """Return an engine with what its limit adds to its cost."""
        permits = self._permits
        if permits.is_limited(engine) and not permits.is_trial_due(engine):
            return engine, engine_choice.LIMITED_SECONDS
        return engine, 0.0

    def _uses_by_instance(self, now: float) -> engine_ledger.MemoryUses:
        """Return the memory use of the requests at each decode engine."""
        self._choice.update_fastest(
            self._prefill_by_instance, self._decode_by_instance, now
        )
        return engine_ledger.MemoryUses(
            self._ledger, self.rates.decode_rate, now
        )

    def _place(
        self,
        job: jobs.Job,
        now: float,
        uses_by_instance: engine_ledger.MemoryUses,
        reserved_versions: set[str],
    ) -> jobs.Grant | None:
        """Reserve engines for a job if there are any.

        Parameters
        ----------
        job : Job
            The job to place.
        now : float
            Seconds on the scheduler's clock.
        uses_by_instance : MemoryUses
            Memory uses by decode engine; the one of the job is added.
        reserved_versions : set of str
            Versions whose engines other jobs of the backlog wait for.
        """
        usable = self._windows.with_room(
            self._usable_decode_engines(job, now, ignore_avoided=False),
            self._ledger.requests,
            now,
        )
        decode = self._choice.decode_engine(
            job,
            [
                self._with_penalty(engine)
                for engine in usable
                if job.version is not None
                or engine.version not in reserved_versions
            ],
            uses_by_instance,
            self.limits,
        )
        if decode is None:
            return None
        prefill = (
            '' if job.is_prefilled else self._prefill_engine(job, now, decode)
        )
        if prefill is None:
            return None
        grant = jobs.Grant(prefill, decode.instance)
        cold = tuple(
            instance
            for instance in filter(None, grant)
            if self._permits.take(self._engines_by_instance[instance])
        )
        prefilled_at = None if prefill else now
        self._ledger.add(jobs.Reservation(job, grant, now, prefilled_at, cold))
        uses_by_instance.forget(grant.decode)
        return grant

    def _prefill_engine(
        self, job: jobs.Job, now: float, decode: model.Upstream
    ) -> str | None:
        """Return the instance that is to prefill a prompt.

        Returns
        -------
        str or None
            Empty if there is no usable prefill engine, so that the decode
            engine prefills the prompt itself; None if the queue of the best
            prefill engine is too long.
        """
        engines = self._windows.with_room(
            [
                engine
                for engine in self._prefill_by_instance.values()
                if job.may_use(engine) and not self._is_avoided(engine, now)
            ],
            self._ledger.queued_requests.__getitem__,
            now,
        )
        if not engines:
            return ''
        instance, wait = self._choice.prefill_engine(
            job,
            map(self._with_penalty, engines),
            decode.data_centre,
            now,
        )
        return instance if wait <= MAX_PREFILL_QUEUE_SECONDS else None
