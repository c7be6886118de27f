"""Choice of engines by predicted times and memory.

Costs are seconds of the caller's time. They are relative to an engine of the
usual rate, so that rates do not matter where engines are equally fast.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math

from corianderspar.router import engine_ledger
from corianderspar.router import engine_rates
from corianderspar.router import jobs
from corianderspar.router import kv_memory
from corianderspar.router import model

FIRST_EVENT_SECONDS = 0.12  # from the end of prefill to the first event
# Of a decode engine's memory, that may be committed. Output lengths are
# predicted to within a half, which is a twentieth of the memory for the ten
# answers that an engine holds.
MEMORY_SHARE = 0.95
# A decode engine whose memory is full costs as much as so many seconds.
FULL_MEMORY_SECONDS = 1.0
# Seconds that another data centre has to save the caller. A transfer within
# a data centre takes half as long.
REMOTE_SECONDS = 0.08
# The same, for engines that state a limit.
LIMITED_SECONDS = 0.5
# Weight of a second at the end of an answer, relative to one before its first
# event: callers read the answer as it comes.
END_WEIGHT = 0.25
# Sums in another order differ by less than this.
ROUNDING = 1e-6


class EngineChoice:
    """Chooses among the engines of one service that may get a job.

    Parameters
    ----------
    rates : EngineRates
        Rates by engine.
    ledger : EngineLedger
        What is reserved at each engine.
    """

    def __init__(
        self,
        rates: engine_rates.EngineRates,
        ledger: engine_ledger.EngineLedger,
    ) -> None:
        self._rates = rates
        self._ledger = ledger
        self._prefill_rate = rates.usual_prefill_rate
        self._decode_slowness = 1.0

    def update_fastest(
        self, prefill: Collection[str], decode: Collection[str], now: float
    ) -> None:
        """Set the engines by which times to first events are predicted."""
        self._prefill_rate, decode_rate = self._rates.fastest(
            prefill, decode, now
        )
        self._decode_slowness = self._rates.usual_decode_rate / decode_rate

    def time_to_first_event(self, job: jobs.Job) -> float:
        """Return the seconds from placement at idle engines to an event."""
        return (
            job.prompt_tokens / self._prefill_rate
            + FIRST_EVENT_SECONDS * self._decode_slowness
        )

    def free_tokens(
        self,
        engines: Iterable[model.Upstream],
        limits: model.EngineLimits,
        now: float,
    ) -> float:
        """Return the longest prompt for which an engine may have memory."""
        memory = limits.memory_tokens * MEMORY_SHARE
        longest = 0.0
        for engine in engines:
            requests = self._ledger.requests(engine.instance)
            if not requests:
                return math.inf
            if requests < limits.slots:
                rate = self._rates.decode_rate(engine.instance, now)
                held = self._ledger.held_tokens(engine.instance, rate, now)
                longest = max(longest, memory * (1 + ROUNDING) - held)
        return longest

    def decode_engine(
        self,
        job: jobs.Job,
        engines: Iterable[tuple[model.Upstream, float]],
        uses: engine_ledger.MemoryUses,
        limits: model.EngineLimits,
    ) -> model.Upstream | None:
        """Return the decode engine for a job; None if none has room.

        Parameters
        ----------
        job : Job
            The job to place.
        engines : iterable of (Upstream, float)
            The engines that may get it, with costs to add.
        uses : MemoryUses
            Memory uses by engine.
        limits : EngineLimits
            Capacity of one engine.
        """
        usual = self._rates.usual_decode_rate
        usual_seconds = (
            FIRST_EVENT_SECONDS + END_WEIGHT * job.output_tokens / usual
        )
        memory = limits.memory_tokens * MEMORY_SHARE
        # The peak is at least what is held at the start. With this lower
        # bound, the peaks of most engines need not be computed.
        bounds: list[tuple[float, int, float, model.Upstream]] = []
        for index, (engine, penalty) in enumerate(engines):
            instance = engine.instance
            requests = self._ledger.requests(instance)
            if requests >= limits.slots:
                continue
            rate = self._rates.decode_rate(instance, uses.now)
            held = job.prompt_tokens + self._ledger.held_tokens(
                instance, rate, uses.now
            )
            if requests and held > memory * (1 + ROUNDING):
                continue
            penalty += REMOTE_SECONDS * (engine.data_centre != job.data_centre)
            penalty += usual_seconds * (usual / rate - 1)
            share = held / limits.memory_tokens
            bound = FULL_MEMORY_SECONDS * share + penalty
            bounds.append((bound, index, penalty, engine))
        bounds.sort(key=lambda each: each[:2])
        new = kv_memory.MemoryUse(job.prompt_tokens, job.output_tokens)
        best: tuple[float, int, model.Upstream] | None = None
        for bound, index, penalty, engine in bounds:
            if best is not None and bound > best[0] + ROUNDING:
                break
            known = uses[engine.instance]
            # What the prompt adds is held until the others have ended.
            if known and uses.peak(engine.instance) > memory:
                continue
            peak = kv_memory.peak_memory([*known, new])
            if peak > memory and known:
                continue
            share = peak / limits.memory_tokens
            cost = FULL_MEMORY_SECONDS * share + penalty
            if best is None or (cost, index) < best[:2]:
                best = cost, index, engine
        return None if best is None else best[2]

    def prefill_engine(
        self,
        job: jobs.Job,
        engines: Iterable[tuple[model.Upstream, float]],
        data_centre: str,
        now: float,
    ) -> tuple[str, float]:
        """Return the prefill engine for a job, and its queue in seconds.

        Parameters
        ----------
        job : Job
            The job to place.
        engines : iterable of (Upstream, float)
            The engines that may get it, with costs to add; at least one.
        data_centre : str
            Of the decode engine.
        now : float
            Seconds on the scheduler's clock.
        """
        usual = self._rates.usual_prefill_rate
        best: tuple[float, str, float] | None = None
        for engine, penalty in engines:
            instance = engine.instance
            rate = self._rates.prefill_rate(instance, now)
            queue = self._ledger.queued_tokens[instance] / rate
            cost = queue + REMOTE_SECONDS * (engine.data_centre != data_centre)
            cost += penalty + job.prompt_tokens * (1 / rate - 1 / usual)
            if best is None or cost < best[0]:
                best = cost, instance, queue
        assert best is not None
        return best[1], best[2]
