"""The ledger of a shard: what is reserved on each of its engines."""

import math
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import engine
from corianderspar import output_length
from corianderspar import pool_types
from corianderspar import prefix_cache

# Reports lag: an engine may still list a request that was released, and a
# report may have been made before the engine died.
RELEASE_LAG_SECONDS = 3.0
DEATH_LAG_SECONDS = 3.0
RESERVED_LENGTH_QUANTILE = 0.9  # of predicted answer lengths
INITIAL_STEP_SECONDS = 0.045  # between two tokens of an answer
STEP_SMOOTHING = 0.05  # weight of the newest observation
INITIAL_MARGIN = 0.5  # standard deviations, as the next three
MARGIN_INCREASE = 0.2
MARGIN_DECREASE = 0.01
MAX_MARGIN = 3.0
EARLY_CACHE_SECONDS = 0.05  # until early slots are computed again
HORIZON_RESOLUTION_SECONDS = 0.1
HEADROOM_PIECES = 2  # of a decode engine, not reserved for new jobs
INITIAL_PREFILL_TOKENS_PER_SECOND = 8000.0  # of one engine
RATE_SMOOTHING = 0.1  # weight of the newest observation


class GrantedJob:
    """A granted job, what is reserved for it and its progress.

    Parameters
    ----------
    job : Job
        The job.
    grant : Grant
        The engines that it got.
    charged_tokens : float
        Tokens that its account was charged.

    Attributes
    ----------
    pieces : int
        Memory pieces reserved on the decode engine.
    stage : {'granted', 'prefilling', 'transferring', 'decoding'}
        The phase that the job is in.
    answer_tokens : int
        Answer tokens streamed so far.
    prefill_end : float
        When the prefill is expected to end, or ended; monotonic seconds, as
        all moments here.
    prefill_start, granted_at, progress_at : float
        When the prefill was sent, the job was granted, and decoding last
        made progress; 0 if unknown.
    expected_seconds : float
        Predicted time from the grant to the first token.
    overdue : bool
        Whether the decode engine refused its transfer, so that the job
        waits for a slot that it was granted early.
    """

    def __init__(
        self,
        job: pool_types.Job,
        grant: pool_types.Grant,
        charged_tokens: float,
    ) -> None:
        self.job = job
        self.grant = grant
        self.charged_tokens = charged_tokens
        self.pieces = grant.pieces
        self.stage = 'granted'
        self.answer_tokens = 0
        self.prefill_end = 0.0
        self.prefill_start = 0.0
        self.progress_at = 0.0
        self.granted_at = 0.0
        self.expected_seconds = 0.0
        self.overdue = False


class ExternalLoad(NamedTuple):
    """What an engine's last report adds to the ledger.

    Attributes
    ----------
    requests : int
        Requests that the engine holds and the ledger does not know.
    pieces : int
        Pieces held beyond those that the ledger reserves.
    leaving : bool
        Whether the engine takes no new work.
    """

    requests: int = 0
    pieces: int = 0
    leaving: bool = False


class Engine:
    """The jobs on one engine of either role.

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
        self.external = ExternalLoad()
        self.jobs_by_id: dict[str, GrantedJob] = {}
        self.reserved_pieces = 0
        self._released_at_by_id: dict[str, float] = {}

    def add(self, granted: GrantedJob) -> None:
        """Add a job and reserve its pieces."""
        self.jobs_by_id[granted.job.request_id] = granted
        self.reserved_pieces += granted.pieces

    def accepts(self, job: pool_types.Job) -> bool:
        """Return whether the job may run here, whatever the free capacity."""
        if self.died_at is not None or self.external.leaving:
            return False
        if self.upstream.leaving or self.name in job.excluded:
            return False
        return not (job.exclusive and self._has_exclusive_job())

    def remove(self, request_id: str, now: float) -> None:
        """Remove a job and release its pieces."""
        granted = self.jobs_by_id.pop(request_id, None)
        if granted is not None:
            self.reserved_pieces -= granted.pieces
            self._released_at_by_id[request_id] = now

    def note_load(self, load: engine.EngineLoad, now: float) -> None:
        """Update the external load from a report, which lags."""
        if self.died_at is not None and now - self.died_at < DEATH_LAG_SECONDS:
            return
        self.died_at = None
        oldest = now - RELEASE_LAG_SECONDS
        self._released_at_by_id = {
            key: at
            for key, at in self._released_at_by_id.items()
            if at > oldest
        }
        requests = sum(
            key not in self.jobs_by_id and key not in self._released_at_by_id
            for key in load.requests
        )
        role_changed = load.role != self.upstream.role
        model_changed = load.model != self.upstream.pool
        pieces = (
            max(0, load.used_pieces - self.reserved_pieces) if requests else 0
        )
        self.external = ExternalLoad(
            requests, pieces, load.leaving or role_changed or model_changed
        )

    def _has_exclusive_job(self) -> bool:
        return any(
            granted.job.exclusive for granted in self.jobs_by_id.values()
        )


class DecodeEngine(Engine):
    """The slots and memory pieces of one decode engine.

    Attributes
    ----------
    step_seconds : float
        Mean time between two tokens of an answer.
    margin : float
        Standard deviations subtracted from the slots that are expected to
        become free; grows when a transfer is refused.
    """

    def __init__(self, name: str, upstream: catalogue.Upstream) -> None:
        super().__init__(name, upstream)
        self.step_seconds = INITIAL_STEP_SECONDS
        self.margin = INITIAL_MARGIN
        self._cached_at = -1.0
        self._early_by_horizon: dict[int, float] = {}

    def note_transfer_refused(self, granted: GrantedJob) -> None:
        """Grant fewer slots early, as the engine refused a transfer."""
        if not granted.overdue:
            granted.overdue = True
            self.margin = min(MAX_MARGIN, self.margin + MARGIN_INCREASE)

    def note_transfer_accepted(self, granted: GrantedJob) -> None:
        """Grant more slots early, as the engine accepted a transfer."""
        granted.overdue = False
        self.margin = max(0.0, self.margin - MARGIN_DECREASE)

    def _has_overdue_job(self) -> bool:
        return any(granted.overdue for granted in self.jobs_by_id.values())

    def note_progress(
        self, granted: GrantedJob, answer_tokens: int, now: float
    ) -> None:
        """Record how many answer tokens of a job have been streamed in all."""
        more = answer_tokens - granted.answer_tokens
        if granted.answer_tokens and more > 0:
            observed = (now - granted.progress_at) / more
            observed = min(
                max(observed, self.step_seconds / 2), self.step_seconds * 2
            )
            self.step_seconds += STEP_SMOOTHING * (
                observed - self.step_seconds
            )
        granted.answer_tokens = answer_tokens
        granted.progress_at = now
        held = pieces_for(granted.job.prompt_tokens + answer_tokens + 1)
        if held > granted.pieces:
            self.reserved_pieces += held - granted.pieces
            granted.pieces = held

    def free_slots(self) -> int:
        """Return the free slots; below 0 if slots were granted early."""
        held = len(self.jobs_by_id) + self.external.requests
        return self.upstream.slots - held

    def free_pieces(self) -> int:
        """Return the pieces that may be reserved."""
        held = self.reserved_pieces + self.external.pieces
        return self.upstream.pieces - HEADROOM_PIECES - held

    def early_slots(
        self,
        predictor: output_length.OutputLengthPredictor,
        horizon: float,
        now: float,
    ) -> int:
        """Return the slots expected to be free in ``horizon`` seconds.

        It is the expected number of answers that end by then, less
        ``margin`` standard deviations, added to the slots that are free now.
        None are granted early while a job that was granted early still
        waits for its slot.
        """
        free = self.free_slots()
        if free > 0 or self._has_overdue_job():
            return free
        if not self._cached_at <= now < self._cached_at + EARLY_CACHE_SECONDS:
            self._early_by_horizon.clear()
            self._cached_at = now
        bucket = int(horizon / HORIZON_RESOLUTION_SECONDS)
        early = self._early_by_horizon.get(bucket)
        if early is None:
            early = self._expected_ends(
                predictor, now + bucket * HORIZON_RESOLUTION_SECONDS
            )
            self._early_by_horizon[bucket] = early
        return free + math.floor(early)

    def _expected_ends(
        self, predictor: output_length.OutputLengthPredictor, until: float
    ) -> float:
        mean = variance = 0.0
        for granted in self.jobs_by_id.values():
            if granted.stage != 'decoding':
                continue
            job = granted.job
            tokens = int((until - granted.progress_at) / self.step_seconds)
            probability = predictor.finish_probability(
                job.account,
                job.route,
                job.max_tokens,
                granted.answer_tokens,
                tokens,
            )
            mean += probability
            variance += probability * (1 - probability)
        return mean - self.margin * math.sqrt(variance)


class PrefillEngine(Engine):
    """The queue, the rate and the prefix cache of one prefill engine.

    Attributes
    ----------
    cache : EngineCache
        Estimate of the blocks that the engine has cached.
    rate : float
        Prompt tokens computed per second.
    busy_until : float
        When all prefills assigned to it are expected to have ended,
        monotonic seconds.
    """

    def __init__(self, name: str, upstream: catalogue.Upstream) -> None:
        super().__init__(name, upstream)
        blocks = (
            upstream.pieces * engine.MEMORY_PIECE_TOKENS // engine.BLOCK_TOKENS
        )
        self.cache = prefix_cache.EngineCache(blocks)
        self.rate = INITIAL_PREFILL_TOKENS_PER_SECOND
        self.busy_until = 0.0
        self._last_end = 0.0

    def queued_seconds(self, now: float) -> float:
        """Return how long the assigned prefills will take."""
        return max(0.0, self.busy_until - now)

    def cached_tokens(self, job: pool_types.Job) -> int:
        """Return how many tokens of the prompt are probably cached."""
        matched = self.cache.match(job.blocks) * engine.BLOCK_TOKENS
        return min(matched, job.prompt_tokens - 1)

    def compute_seconds(self, tokens: int) -> float:
        """Return how long a prefill of that many uncached tokens takes."""
        return tokens / self.rate

    def note_prefilled(
        self,
        granted: GrantedJob,
        computed_tokens: int,
        planned_end: float,
        now: float,
    ) -> None:
        """Update the rate and the queue from a prefill that ended now.

        Parameters
        ----------
        granted : GrantedJob
            The job whose prefill ended.
        computed_tokens : int
            Prompt tokens that were not cached.
        planned_end : float
            When the prefill was expected to end, monotonic seconds.
        now : float
            Monotonic seconds.
        """
        began = max(granted.prefill_start, self._last_end)
        self._last_end = now
        if computed_tokens > engine.BLOCK_TOKENS and now > began:
            observed = computed_tokens / (now - began)
            observed = min(max(observed, self.rate / 2), self.rate * 2)
            self.rate += RATE_SMOOTHING * (observed - self.rate)
        if len(self.jobs_by_id) <= 1:
            self.busy_until = now
        else:
            self.busy_until += now - planned_end


def pieces_for(tokens: int) -> int:
    """Return the memory pieces that hold that many tokens.

    Examples
    --------
    >>> pieces_for(2048), pieces_for(2049)
    (1, 2)
    """
    return math.ceil(tokens / engine.MEMORY_PIECE_TOKENS)
