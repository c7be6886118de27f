"""Which engines of a shard a job gets, and what is booked on them."""

import math
import random
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import engine
from corianderspar import link_schedule
from corianderspar import pool_ledger as ledger
from corianderspar import pool_types
from corianderspar import predict

LOOKAHEAD_SECONDS = 0.25
RETRY_SECONDS = 0.03
MAX_LINK_SECONDS = 0.4
MAX_AHEAD_SECONDS = 0.6
LINK_GRAIN = 0.05
SPREAD_WEIGHT = 4.0
SLIP_QUANTILE = 0.9
MAX_SLIP_MS = 1000


class Plan(NamedTuple):
    """Where a job would run.

    Attributes
    ----------
    prefill, decode
        The engines.
    compute : float
        Seconds of prefill.
    blocked : bool
        Whether the prefill engine has too much to do as yet.
    """

    prefill: ledger.PrefillEngine
    decode: ledger.DecodeEngine
    compute: float
    blocked: bool


class Pass:
    """What was learned in one pass over the heads of the queue.

    Attributes
    ----------
    claimed : set of str
        Decode engines whose memory jobs ahead wait for.
    slotless : float
        No engine has a slot within so many seconds.
    """

    def __init__(self) -> None:
        self.claimed: set[str] = set()
        self.slotless = -1.0


class Placement:
    """The engines of a shard, their links, and the choice among them.

    Parameters
    ----------
    rng : random.Random
        Orders the engines, which breaks ties.
    """

    def __init__(self, rng: random.Random) -> None:
        self.prefills_by_name: dict[str, ledger.PrefillEngine] = {}
        self.decodes_by_name: dict[str, ledger.DecodeEngine] = {}
        self.links = link_schedule.LinkSchedule()
        self.predictor = predict.Predictor()
        self.slips = predict.Predictor()
        self._rng = rng

    def set_engines(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Take the engines; what is known of those that stay is kept."""
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
            self.prefills_by_name[name] = ledger.PrefillEngine(name, upstream)
        elif upstream.role == 'decode':
            self.decodes_by_name[name] = ledger.DecodeEngine(name, upstream)

    def engine(self, name: str) -> ledger.Engine | None:
        """Return an engine of either role."""
        found: ledger.Engine | None = self.prefills_by_name.get(name)
        return found or self.decodes_by_name.get(name)

    def any_usable(self, job: pool_types.Job) -> bool:
        """Return whether an engine of each role is up for the job."""
        alone = job._replace(exclusive=False)
        prefills = self.prefills_by_name.values()
        decodes = self.decodes_by_name.values()
        return any(found.usable(alone) for found in prefills) and any(
            found.usable(alone) for found in decodes
        )

    def most_pieces(self) -> int:
        """Return the pieces of the largest decode engine."""
        decodes = self.decodes_by_name.values()
        return max((decode.upstream.pieces for decode in decodes), default=0)

    def has_room(self, now: float) -> bool:
        """Return whether any decode slot is free or will be soon."""
        return any(
            decode.early_slots(self.predictor, MAX_AHEAD_SECONDS, now) > 0
            for decode in self.decodes_by_name.values()
        )

    def plan(
        self,
        job: pool_types.Job,
        blocked: float,
        found: Pass,
        now: float,
    ) -> Plan | None:
        """Return the best engines for a job, None without decode room.

        Parameters
        ----------
        job : Job
            The job.
        blocked : float
            Seconds for which only its prefill engine held it up.
        found : Pass
            What jobs ahead of it learned; the job may add to it.
        now : float
            Monotonic seconds.
        """
        prefill = self._choose_prefill(job, blocked, now)
        if prefill is None:
            return None
        compute = prefill.seconds(job.prompt_tokens - prefill.cached(job))
        backlog = prefill.backlog(now)
        ahead = backlog + compute
        if ahead <= found.slotless:
            return None
        decode = self._choose_decode(job, prefill.name, ahead, found, now)
        if decode is None:
            return None
        return Plan(prefill, decode, compute, backlog >= LOOKAHEAD_SECONDS)

    def book(
        self, job: pool_types.Job, plan: Plan, charged: float, now: float
    ) -> ledger.Booking:
        """Book a plan: prefill time, link time, a slot and memory."""
        prefill, decode = plan.prefill, plan.decode
        ready = max(now, prefill.busy_until) + plan.compute
        prefill.busy_until = ready
        prefill.cache.sent(job.blocks, now)
        tokens = job.prompt_tokens
        seconds = self.links.transfer_seconds(
            prefill.name, decode.name, tokens
        )
        self.links.reserve(
            job.request_id, prefill.name, decode.name, tokens, ready
        )
        pieces = self.pieces(job)
        grant = pool_types.Grant(
            job.request_id, prefill.name, decode.name, 0.0, pieces, seconds
        )
        booking = ledger.Booking(job, grant, charged)
        booking.prefill_end = ready
        booking.granted_at = now
        booking.expected = plan.compute + seconds + 2 * decode.step
        prefill.add(booking)
        decode.add(booking)
        return booking

    def rebook(self, booking: ledger.Booking, avoid: bool, now: float) -> bool:
        """Book another decode engine, or the same one a little later.

        Parameters
        ----------
        booking : Booking
            Of the job.
        avoid : bool
            Whether the same one will not do.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False if no engine is up for it, or its source died.
        """
        holder = self.prefills_by_name.get(booking.grant.prefill)
        if holder is not None and holder.died_at is not None:
            return False
        again = booking.overdue
        failed = self.decodes_by_name.get(booking.grant.decode)
        if failed is not None and avoid:
            job = booking.job
            booking.job = job._replace(excluded=(*job.excluded, failed.name))
        elif failed is not None:
            failed.refused(booking)
        self.drop_decode(booking, now)
        source, tokens = booking.grant.prefill, booking.job.prompt_tokens
        others = booking.job._replace(
            excluded=(*booking.job.excluded, booking.grant.decode)
        )
        found = self._choose_decode(others, source, RETRY_SECONDS, Pass(), now)
        if found is None and failed and failed.usable(booking.job):
            found = failed
        if found is None:
            return False
        at_once = found is not failed and found.free_slots() > 0 and not again
        wait = 0.0 if at_once else RETRY_SECONDS
        seconds = self.links.transfer_seconds(source, found.name, tokens)
        end = self.links.reserve(
            booking.job.request_id, source, found.name, tokens, now + wait
        )
        booking.grant = booking.grant._replace(
            decode=found.name,
            delay=end - seconds - now,
            transfer_seconds=seconds,
        )
        found.add(booking)
        return True

    def drop_decode(self, booking: ledger.Booking, now: float) -> None:
        """Give a job's decode room back."""
        decode = self.decodes_by_name.get(booking.grant.decode)
        if decode is not None:
            decode.drop(booking.job.request_id, now)

    def pieces(self, job: pool_types.Job) -> int:
        """Return the memory pieces to reserve for a job."""
        length = self.predictor.length(
            job.account, job.route, job.max_tokens, ledger.LENGTH_QUANTILE
        )
        wanted = ledger.pieces(job.prompt_tokens + length)
        return min(wanted, self.most_pieces() - ledger.HEADROOM_PIECES)

    def charge(self, job: pool_types.Job) -> float:
        """Return the tokens that an account is charged for a job."""
        length = self.predictor.length(
            job.account, job.route, job.max_tokens, 0.5
        )
        return job.prompt_tokens + length

    def first_token_seconds(
        self, prompt_tokens: int, blocks: tuple[int, ...]
    ) -> float:
        """Return how long a job takes from its grant to the first token.

        The warmest prefill engine counts, a transfer on idle links, and
        by how much most of the last jobs took longer than that.
        """
        if not self.prefills_by_name or not self.decodes_by_name:
            return 0.0
        compute = min(
            prefill.seconds(
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
        step = max(decode.step for decode in self.decodes_by_name.values())
        slip = self.slips.length('', '', MAX_SLIP_MS, SLIP_QUANTILE) / 1000
        return compute + transfer + 2 * step + slip

    def _choose_prefill(
        self, job: pool_types.Job, blocked: float, now: float
    ) -> ledger.PrefillEngine | None:
        """Return the cheapest engine, the one idle for longest in a tie.

        Time to the end counts, and `SPREAD_WEIGHT` times the seconds
        spent on computing again what another engine has cached, less the
        time that the job was held up by its warm engine alone.
        """
        usable = [
            prefill
            for prefill in self.prefills_by_name.values()
            if prefill.usable(job)
        ]
        if not usable:
            return None
        cached = {prefill.name: prefill.cached(job) for prefill in usable}
        warmest = max(cached.values())

        def cost(prefill: ledger.PrefillEngine) -> tuple[float, float]:
            own = prefill.seconds(job.prompt_tokens - cached[prefill.name])
            again = prefill.seconds(warmest - cached[prefill.name])
            waste = max(0.0, SPREAD_WEIGHT * again - blocked)
            ready = now + prefill.backlog(now) + own
            begin = max(ready, self.links.free_at(prefill.name))
            return begin - now + waste, prefill.busy_until

        return min(usable, key=cost)

    def _choose_decode(
        self,
        job: pool_types.Job,
        source: str,
        ahead: float,
        seen: Pass,
        now: float,
    ) -> ledger.DecodeEngine | None:
        """Return the best engine with room in ``ahead`` seconds, if any.

        The one whose link is free first is best, then the emptiest. If
        only memory is short, the job claims the engine with the most: jobs
        behind it don't take the pieces that it waits for.
        """
        pieces = self.pieces(job)
        best = short = None
        least = (math.inf, 0)
        for decode in self.decodes_by_name.values():
            if not decode.usable(job) or decode.name in seen.claimed:
                continue
            if decode.free_pieces() < pieces:
                if not short or decode.free_pieces() > short.free_pieces():
                    short = decode
                continue
            begin = (
                self.links.earliest_start(source, decode.name, now + ahead)
                - now
            )
            if begin - ahead > MAX_LINK_SECONDS:
                continue
            free = decode.early_slots(self.predictor, begin, now)
            key = (begin // LINK_GRAIN, -free)
            if free > 0 and key < least:
                best, least = decode, key
        if best is None and short is not None:
            seen.claimed.add(short.name)
        elif best is None and not (
            seen.claimed or job.excluded or job.exclusive
        ):
            seen.slotless = max(seen.slotless, ahead)
        return best
