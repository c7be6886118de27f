"""The ledger of a shard: what is booked on each of its engines."""

import math
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import engine
from corianderspar import pool_types
from corianderspar import predict
from corianderspar import prefixes

RELEASED_SECONDS = 3.0
DEATH_SECONDS = 3.0
LENGTH_QUANTILE = 0.9
STEP_SECONDS = 0.045
STEP_WEIGHT = 0.05
FREE_MARGIN = 0.5
MARGIN_UP = 0.2
MARGIN_DOWN = 0.01
MAX_MARGIN = 3.0
FREE_CACHE_SECONDS = 0.05
AHEAD_GRAIN = 0.1
HEADROOM_PIECES = 2
PREFILL_RATE = 8000.0
RATE_WEIGHT = 0.1


class Booking:
    """A granted job and how far it has come.

    Parameters
    ----------
    job : Job
        The job.
    grant : Grant
        Where it runs.
    charged : float
        Tokens its account was charged.
    """

    def __init__(
        self, job: pool_types.Job, grant: pool_types.Grant, charged: float
    ) -> None:
        self.job = job
        self.grant = grant
        self.charged = charged
        self.pieces = grant.pieces
        self.stage = 'granted'
        self.tokens = 0
        self.prefill_end = 0.0
        self.started = 0.0
        self.progress_at = 0.0
        self.granted_at = 0.0
        self.expected = 0.0
        self.overdue = False


class Load(NamedTuple):
    """What an engine's last report adds to the ledger.

    Attributes
    ----------
    foreign : int
        Requests that it holds and the ledger does not know.
    foreign_pieces : int
        Pieces held beyond those that the ledger reserves.
    leaving : bool
        Whether it takes no new work.
    """

    foreign: int = 0
    foreign_pieces: int = 0
    leaving: bool = False


class Engine:
    """What is booked on one engine, whatever its role.

    Parameters
    ----------
    name : str
        Name of the upstream.
    upstream : Upstream
        Its entry in the catalogue.
    """

    def __init__(self, name: str, upstream: catalogue.Upstream) -> None:
        self.name = name
        self.upstream = upstream
        self.died_at: float | None = None
        self.load = Load()
        self.bookings_by_id: dict[str, Booking] = {}
        self.reserved = 0
        self._released_by_id: dict[str, float] = {}

    def add(self, booking: Booking) -> None:
        """Put a job on the engine."""
        self.bookings_by_id[booking.job.request_id] = booking
        self.reserved += booking.pieces

    def usable(self, job: pool_types.Job) -> bool:
        """Return whether the job may run here, room apart."""
        if self.died_at is not None or self.load.leaving:
            return False
        if self.upstream.leaving or self.name in job.excluded:
            return False
        return not (job.exclusive and self._holds_exclusive())

    def drop(self, request_id: str, now: float) -> None:
        """Take a job off the engine."""
        booking = self.bookings_by_id.pop(request_id, None)
        if booking is not None:
            self.reserved -= booking.pieces
            self._released_by_id[request_id] = now

    def report(self, load: engine.EngineLoad, now: float) -> None:
        """Take the engine's late report."""
        if self.died_at is not None and now - self.died_at < DEATH_SECONDS:
            return
        self.died_at = None
        old = now - RELEASED_SECONDS
        self._released_by_id = {
            key: at for key, at in self._released_by_id.items() if at > old
        }
        foreign = sum(
            key not in self.bookings_by_id and key not in self._released_by_id
            for key in load.requests
        )
        changed = load.role != self.upstream.role
        other = load.model != self.upstream.pool
        beyond = max(0, load.used_pieces - self.reserved) if foreign else 0
        self.load = Load(foreign, beyond, load.leaving or changed or other)

    def _holds_exclusive(self) -> bool:
        return any(b.job.exclusive for b in self.bookings_by_id.values())


class DecodeEngine(Engine):
    """The slots and memory pieces of one decode engine."""

    def __init__(self, name: str, upstream: catalogue.Upstream) -> None:
        super().__init__(name, upstream)
        self.step = STEP_SECONDS
        self.margin = FREE_MARGIN
        self._counted_at = -1.0
        self._early_by_grain: dict[int, float] = {}

    def refused(self, booking: Booking) -> None:
        """Take note that a transfer found no room: promise less."""
        if not booking.overdue:
            booking.overdue = True
            self.margin = min(MAX_MARGIN, self.margin + MARGIN_UP)

    def accepted(self, booking: Booking) -> None:
        """Take note that a transfer found room: promise more."""
        booking.overdue = False
        self.margin = max(0.0, self.margin - MARGIN_DOWN)

    def _overdue(self) -> bool:
        return any(b.overdue for b in self.bookings_by_id.values())

    def progress(self, booking: Booking, tokens: int, now: float) -> None:
        """Take note of how many answer tokens of a job have come in all."""
        more = tokens - booking.tokens
        if booking.tokens and more > 0:
            seen = (now - booking.progress_at) / more
            seen = min(max(seen, self.step / 2), self.step * 2)
            self.step += STEP_WEIGHT * (seen - self.step)
        booking.tokens = tokens
        booking.progress_at = now
        held = pieces(booking.job.prompt_tokens + tokens + 1)
        if held > booking.pieces:
            self.reserved += held - booking.pieces
            booking.pieces = held

    def free_slots(self) -> int:
        """Return the slots that are free now; below 0 if granted early."""
        held = len(self.bookings_by_id) + self.load.foreign
        return self.upstream.slots - held

    def free_pieces(self) -> int:
        """Return the pieces that may be promised."""
        held = self.reserved + self.load.foreign_pieces
        return self.upstream.pieces - HEADROOM_PIECES - held

    def early_slots(
        self, predictor: predict.Predictor, ahead: float, now: float
    ) -> int:
        """Return the slots that will surely enough be free by then.

        The answers that are likely to end within ``ahead`` seconds are
        summed up, less ``margin`` standard deviations. None are promised
        while a job that was granted early still waits for its slot.
        """
        free = self.free_slots()
        if free > 0 or self._overdue():
            return free
        if not self._counted_at <= now < self._counted_at + FREE_CACHE_SECONDS:
            self._early_by_grain.clear()
            self._counted_at = now
        grain = int(ahead / AHEAD_GRAIN)
        early = self._early_by_grain.get(grain)
        if early is None:
            early = self._expected(predictor, now + grain * AHEAD_GRAIN)
            self._early_by_grain[grain] = early
        return free + math.floor(early)

    def _expected(self, predictor: predict.Predictor, until: float) -> float:
        mean = variance = 0.0
        for booking in self.bookings_by_id.values():
            if booking.stage != 'decoding':
                continue
            job = booking.job
            soon = int((until - booking.progress_at) / self.step)
            chance = predictor.finishing(
                job.account, job.route, job.max_tokens, booking.tokens, soon
            )
            mean += chance
            variance += chance * (1 - chance)
        return mean - self.margin * math.sqrt(variance)


class PrefillEngine(Engine):
    """The queue, the rate and the cache of one prefill engine."""

    def __init__(self, name: str, upstream: catalogue.Upstream) -> None:
        super().__init__(name, upstream)
        blocks = (
            upstream.pieces * engine.MEMORY_PIECE_TOKENS // engine.BLOCK_TOKENS
        )
        self.cache = prefixes.EngineCache(blocks)
        self.rate = PREFILL_RATE
        self.busy_until = 0.0
        self._last_end = 0.0

    def backlog(self, now: float) -> float:
        """Return the seconds of work that it was given."""
        return max(0.0, self.busy_until - now)

    def cached(self, job: pool_types.Job) -> int:
        """Return how many of the prompt's tokens are believed cached."""
        matched = self.cache.match(job.blocks) * engine.BLOCK_TOKENS
        return min(matched, job.prompt_tokens - 1)

    def seconds(self, tokens: int) -> float:
        """Return how long it computes that many tokens."""
        return tokens / self.rate

    def finished(
        self, booking: Booking, computed: int, planned: float, now: float
    ) -> None:
        """Learn from a prefill that ended now, and when that was planned."""
        began = max(booking.started, self._last_end)
        self._last_end = now
        if computed > engine.BLOCK_TOKENS and now > began:
            seen = computed / (now - began)
            seen = min(max(seen, self.rate / 2), self.rate * 2)
            self.rate += RATE_WEIGHT * (seen - self.rate)
        if len(self.bookings_by_id) <= 1:
            self.busy_until = now
        else:
            self.busy_until += now - planned


def pieces(tokens: int) -> int:
    """Return the memory pieces that so many tokens take.

    Examples
    --------
    >>> pieces(2048), pieces(2049)
    (1, 2)
    """
    return math.ceil(tokens / engine.MEMORY_PIECE_TOKENS)
