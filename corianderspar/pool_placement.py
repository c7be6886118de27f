"""Chooses the engines of a shard for a job and reserves them."""

import math
import random
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import engine
from corianderspar import link_schedule
from corianderspar import output_length
from corianderspar import pool_ledger
from corianderspar import pool_types

MAX_PREFILL_QUEUE_SECONDS = 0.25  # of prefills assigned to one engine
TRANSFER_RETRY_SECONDS = 0.03
MAX_LINK_WAIT_SECONDS = 0.4  # of a transfer that is ready
MAX_HORIZON_SECONDS = 0.6  # within which a slot is to become free
LINK_WAIT_RESOLUTION_SECONDS = 0.05  # shorter differences do not count
RECOMPUTE_WEIGHT = 4.0
OVERRUN_QUANTILE = 0.9
MAX_OVERRUN_MS = 1000


class Plan(NamedTuple):
    """The engines chosen for a job, not yet reserved.

    Attributes
    ----------
    prefill : PrefillEngine
        Computes the prompt.
    decode : DecodeEngine
        Generates the answer.
    compute_seconds : float
        Expected duration of the prefill.
    prefill_full : bool
        Whether the prefill engine has work for `MAX_PREFILL_QUEUE_SECONDS` or
        longer, so that the job has to wait.
    """

    prefill: pool_ledger.PrefillEngine
    decode: pool_ledger.DecodeEngine
    compute_seconds: float
    prefill_full: bool


class PassState:
    """What one pass over the heads of the queue has found so far.

    Attributes
    ----------
    claimed : set of str
        Decode engines that earlier jobs of the pass wait for, as only
        memory is short there.
    slotless_horizon : float
        No decode engine has a slot within this many seconds.
    """

    def __init__(self) -> None:
        self.claimed: set[str] = set()
        self.slotless_horizon = -1.0


class Placement:
    """The engines of a shard, their links, and the choice among them.

    Parameters
    ----------
    rng : random.Random
        Shuffles the engines, which breaks ties.

    Attributes
    ----------
    predictor : OutputLengthPredictor
        Predicts answer lengths, in tokens.
    overruns : OutputLengthPredictor
        Predicts by how many milliseconds the first token comes later than
        expected.
    """

    def __init__(self, rng: random.Random) -> None:
        self.prefills_by_name: dict[str, pool_ledger.PrefillEngine] = {}
        self.decodes_by_name: dict[str, pool_ledger.DecodeEngine] = {}
        self.links = link_schedule.LinkSchedule()
        self.predictor = output_length.OutputLengthPredictor()
        self.overruns = output_length.OutputLengthPredictor()
        self._rng = rng

    def set_engines(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Replace the engines; those that stay keep their state."""
        names = sorted(upstreams_by_name)
        self._rng.shuffle(names)
        for name in names:
            self._set_engine(name, upstreams_by_name[name])
        for table in (self.prefills_by_name, self.decodes_by_name):
            for name in [key for key in table if key not in upstreams_by_name]:
                del table[name]
        self.links.set_rates(
            {
                name: upstream.link_rate
                for name, upstream in upstreams_by_name.items()
            }
        )

    def _set_engine(self, name: str, upstream: catalogue.Upstream) -> None:
        known = self.engine(name)
        if known is not None and known.upstream.role == upstream.role:
            known.upstream = upstream
            return
        self.prefills_by_name.pop(name, None)
        self.decodes_by_name.pop(name, None)
        if upstream.role == 'prefill':
            self.prefills_by_name[name] = pool_ledger.PrefillEngine(
                name, upstream
            )
        elif upstream.role == 'decode':
            self.decodes_by_name[name] = pool_ledger.DecodeEngine(
                name, upstream
            )

    def engine(self, name: str) -> pool_ledger.Engine | None:
        """Return the engine of that name, whatever its role."""
        found: pool_ledger.Engine | None = self.prefills_by_name.get(name)
        return found or self.decodes_by_name.get(name)

    def has_engines_for(self, job: pool_types.Job) -> bool:
        """Return whether an engine of each role may run the job.

        Exclusive jobs that run now do not count, as they will end.
        """
        shareable = job._replace(exclusive=False)
        prefills = self.prefills_by_name.values()
        decodes = self.decodes_by_name.values()
        return any(found.accepts(shareable) for found in prefills) and any(
            found.accepts(shareable) for found in decodes
        )

    def max_pieces(self) -> int:
        """Return the pieces of the largest decode engine."""
        decodes = self.decodes_by_name.values()
        return max((decode.upstream.pieces for decode in decodes), default=0)

    def has_slot(self, now: float) -> bool:
        """Return whether any decode slot is free or soon will be."""
        return any(
            decode.early_slots(self.predictor, MAX_HORIZON_SECONDS, now) > 0
            for decode in self.decodes_by_name.values()
        )

    def plan(
        self,
        job: pool_types.Job,
        blocked_seconds: float,
        state: PassState,
        now: float,
    ) -> Plan | None:
        """Return the best engines for a job, None without decode capacity.

        Parameters
        ----------
        job : Job
            The job.
        blocked_seconds : float
            How long the job has waited only for its prefill engine.
        state : PassState
            What earlier jobs of the pass found; it is updated.
        now : float
            Monotonic seconds.
        """
        prefill = self._choose_prefill(job, blocked_seconds, now)
        if prefill is None:
            return None
        compute_seconds = prefill.compute_seconds(
            job.prompt_tokens - prefill.cached_tokens(job)
        )
        queued_seconds = prefill.queued_seconds(now)
        horizon = queued_seconds + compute_seconds
        if horizon <= state.slotless_horizon:
            return None
        decode = self._choose_decode(job, prefill.name, horizon, state, now)
        if decode is None:
            return None
        return Plan(
            prefill,
            decode,
            compute_seconds,
            queued_seconds >= MAX_PREFILL_QUEUE_SECONDS,
        )

    def reserve(
        self,
        job: pool_types.Job,
        plan: Plan,
        charged_tokens: float,
        now: float,
    ) -> pool_ledger.GrantedJob:
        """Reserve prefill time, link time, a decode slot and memory."""
        prefill, decode = plan.prefill, plan.decode
        ready = max(now, prefill.busy_until) + plan.compute_seconds
        prefill.busy_until = ready
        prefill.cache.note_sent(job.blocks, now)
        tokens = job.prompt_tokens
        seconds = self.links.transfer_seconds(
            prefill.name, decode.name, tokens
        )
        self.links.reserve(
            job.request_id, prefill.name, decode.name, tokens, ready
        )
        pieces = self.pieces_to_reserve(job)
        grant = pool_types.Grant(
            job.request_id, prefill.name, decode.name, 0.0, pieces, seconds
        )
        granted = pool_ledger.GrantedJob(job, grant, charged_tokens)
        granted.prefill_end = ready
        granted.granted_at = now
        granted.expected_seconds = (
            plan.compute_seconds + seconds + 2 * decode.step_seconds
        )
        prefill.add(granted)
        decode.add(granted)
        return granted

    def reschedule_transfer(
        self, granted: pool_ledger.GrantedJob, other_engine: bool, now: float
    ) -> bool:
        """Reserve another decode engine, or the same one a little later.

        Parameters
        ----------
        granted : GrantedJob
            The job whose transfer failed.
        other_engine : bool
            Whether it must be another engine.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False if no decode engine may run the job, or if the prefill
            engine that holds the KV cache died.
        """
        holder = self.prefills_by_name.get(granted.grant.prefill)
        if holder is not None and holder.died_at is not None:
            return False
        was_overdue = granted.overdue
        failed = self.decodes_by_name.get(granted.grant.decode)
        if failed is not None and other_engine:
            job = granted.job
            granted.job = job._replace(excluded=(*job.excluded, failed.name))
        elif failed is not None:
            failed.note_transfer_refused(granted)
        self.release_decode(granted, now)
        source, tokens = granted.grant.prefill, granted.job.prompt_tokens
        elsewhere = granted.job._replace(
            excluded=(*granted.job.excluded, granted.grant.decode)
        )
        found = self._choose_decode(
            elsewhere, source, TRANSFER_RETRY_SECONDS, PassState(), now
        )
        if found is None and failed and failed.accepts(granted.job):
            found = failed
        if found is None:
            return False
        at_once = (
            found is not failed and found.free_slots() > 0 and not was_overdue
        )
        wait = 0.0 if at_once else TRANSFER_RETRY_SECONDS
        seconds = self.links.transfer_seconds(source, found.name, tokens)
        end = self.links.reserve(
            granted.job.request_id, source, found.name, tokens, now + wait
        )
        granted.grant = granted.grant._replace(
            decode=found.name,
            delay=end - seconds - now,
            transfer_seconds=seconds,
        )
        found.add(granted)
        return True

    def release_decode(
        self, granted: pool_ledger.GrantedJob, now: float
    ) -> None:
        """Release a job's decode slot and memory."""
        decode = self.decodes_by_name.get(granted.grant.decode)
        if decode is not None:
            decode.remove(granted.job.request_id, now)

    def pieces_to_reserve(self, job: pool_types.Job) -> int:
        """Return the memory pieces to reserve for a job."""
        length = self.predictor.predict(
            job.account,
            job.route,
            job.max_tokens,
            pool_ledger.RESERVED_LENGTH_QUANTILE,
        )
        wanted = pool_ledger.pieces_for(job.prompt_tokens + length)
        return min(wanted, self.max_pieces() - pool_ledger.HEADROOM_PIECES)

    def tokens_to_charge(self, job: pool_types.Job) -> float:
        """Return the tokens that an account is charged for a job at first."""
        length = self.predictor.predict(
            job.account, job.route, job.max_tokens, 0.5
        )
        return job.prompt_tokens + length

    def first_token_seconds(
        self, prompt_tokens: int, blocks: tuple[int, ...]
    ) -> float:
        """Return how long a job takes from its grant to the first token.

        It assumes the prefill engine that needs the least time and a
        transfer on idle links, and adds the `OVERRUN_QUANTILE` of how much
        longer recent jobs took.
        """
        if not self.prefills_by_name or not self.decodes_by_name:
            return 0.0
        compute = min(
            prefill.compute_seconds(
                prompt_tokens
                - engine.BLOCK_TOKENS * prefill.cache.match(blocks)
            )
            for prefill in self.prefills_by_name.values()
        )
        transfer = min(
            self.links.transfer_seconds(source, target, prompt_tokens)
            for source in self.prefills_by_name
            for target in self.decodes_by_name
        )
        step = max(
            decode.step_seconds for decode in self.decodes_by_name.values()
        )
        overrun = (
            self.overruns.predict('', '', MAX_OVERRUN_MS, OVERRUN_QUANTILE)
            / 1000
        )
        return compute + transfer + 2 * step + overrun

    def _choose_prefill(
        self, job: pool_types.Job, blocked_seconds: float, now: float
    ) -> pool_ledger.PrefillEngine | None:
        """Return the engine of least cost, the longest idle one in a tie.

        The cost is the time until the transfer can start, plus
        `RECOMPUTE_WEIGHT` times the seconds spent on blocks that another
        engine has cached. The latter is reduced by the time that the job
        has waited only for its prefill engine, so that it moves to another
        one rather than wait for the one with the longest cached prefix.
        """
        usable = [
            prefill
            for prefill in self.prefills_by_name.values()
            if prefill.accepts(job)
        ]
        if not usable:
            return None
        cached = {
            prefill.name: prefill.cached_tokens(job) for prefill in usable
        }
        most_cached = max(cached.values())

        def cost(prefill: pool_ledger.PrefillEngine) -> tuple[float, float]:
            compute = prefill.compute_seconds(
                job.prompt_tokens - cached[prefill.name]
            )
            recompute = prefill.compute_seconds(
                most_cached - cached[prefill.name]
            )
            penalty = max(0.0, RECOMPUTE_WEIGHT * recompute - blocked_seconds)
            ready = now + prefill.queued_seconds(now) + compute
            begin = max(ready, self.links.free_at(prefill.name))
            return begin - now + penalty, prefill.busy_until

        return min(usable, key=cost)

    def _choose_decode(
        self,
        job: pool_types.Job,
        source: str,
        horizon: float,
        state: PassState,
        now: float,
    ) -> pool_ledger.DecodeEngine | None:
        """Return the best engine with capacity in ``horizon`` seconds, if any.

        The one whose link is free first is best, then the one with most
        free slots. If only memory is short, the job claims the engine with
        the most free memory: later jobs of the pass do not use the pieces
        that it waits for.
        """
        pieces = self.pieces_to_reserve(job)
        best = short = None
        least = (math.inf, 0)
        for decode in self.decodes_by_name.values():
            if not decode.accepts(job) or decode.name in state.claimed:
                continue
            if decode.free_pieces() < pieces:
                if not short or decode.free_pieces() > short.free_pieces():
                    short = decode
                continue
            begin = (
                self.links.earliest_start(source, decode.name, now + horizon)
                - now
            )
            if begin - horizon > MAX_LINK_WAIT_SECONDS:
                continue
            free = decode.early_slots(self.predictor, begin, now)
            key = (begin // LINK_WAIT_RESOLUTION_SECONDS, -free)
            if free > 0 and key < least:
                best, least = decode, key
        if best is None and short is not None:
            state.claimed.add(short.name)
        elif best is None and not (
            state.claimed or job.excluded or job.exclusive
        ):
            state.slotless_horizon = max(state.slotless_horizon, horizon)
        return best
