"""Prefill and decode rates of the engines of one service.

The home learns the rates from the ends of prefills and answers. Each phase
has a usual rate, the geometric mean over all engines, and an engine differs
from it only while its own samples show that beyond doubt.

A sample is the mean over a short period, and an engine's rate is the weighted
median of its samples, so that a stall of less than a second does not count.
Two half-lives are used: the long one tells small differences from noise, the
short one follows a lasting change within seconds.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
import enum
import itertools
import math
from typing import NamedTuple

INITIAL_PREFILL_TOKENS_PER_SECOND = 30_000.0  # of one engine
INITIAL_DECODE_TOKENS_PER_SECOND = 300.0  # of one request
USUAL_SMOOTHING = 0.02  # least weight of the newest observation
# Weights of the initial rates, in observations. Lengths of prompts are known,
# those of answers only as far as the callers' estimates are right.
INITIAL_PREFILL_WEIGHT = 10.0
INITIAL_DECODE_WEIGHT = 49.0
# For shorter prompts, messages take a good part of the measured time.
MIN_PREFILL_TOKENS = 1000
MIN_SECONDS = 0.01  # keeps measured rates finite
# Observations of this time make up one sample. A stall of 0.6 s affects at
# most four samples, fewer than the least number of samples that count.
SAMPLE_SECONDS = 0.25
MIN_SAMPLES = 5
MAX_SAMPLES = 48
SHORT_HALF_LIFE_SECONDS = 2.5
LONG_HALF_LIFE_SECONDS = 20.0
# Differences from the usual rate that are ignored: those below this, as a
# logarithm, and those below so many standard errors of the median. With 3.5
# standard errors, one in fifty equal engines was taken to differ in 30 s of a
# trial because of the callers' estimates of lengths.
MIN_LOG_RATIO = 0.15
MIN_STANDARD_ERRORS = 4.5
STAY_SHARE = 0.7  # of these bounds, for an engine known to differ
MAX_LOG_RATIO = math.log(4.0)
MEDIAN_ERROR = 1.25  # of the median's standard error to the mean's
# Spread of a phase's samples, as standard deviations of logarithms. Length
# hints make those of decode spread more.
INITIAL_PREFILL_SPREAD = 0.2
INITIAL_DECODE_SPREAD = 0.4
MIN_SPREAD = 0.05
SPREAD_SMOOTHING = 0.02  # weight of the newest sample
SPREAD_PER_DEVIATION = 1.25  # standard to mean absolute deviation
# Half-life of what is known of an engine since its last sample, so that an
# engine that was slow is tried again.
FADE_SECONDS = 6.0
# Ratios to the usual rate that are logged as slow and as fast.
SLOW_RATIO = 0.8
FAST_RATIO = 1.25
MAX_LOG_LINES = 10  # in each period
LOG_PERIOD_SECONDS = 10.0


class SpeedClass(enum.Enum):
    """How an engine's rate compares to the usual one of its phase."""

    SLOW = 'slow'
    USUAL = 'usual'
    FAST = 'fast'


class SpeedChange(NamedTuple):
    """A change of an engine's class, for the log.

    Attributes
    ----------
    phase, instance : str
        Which rate of which engine.
    speed : SpeedClass
        The new class.
    rate, usual : float
        Tokens per second of the engine, and of the phase.
    samples : int
        Number of samples that are kept of the engine.
    seconds : float
        Age of the oldest of them.
    omitted : int
        Changes since the last one reported that were not reported.
    """

    phase: str
    instance: str
    speed: SpeedClass
    rate: float
    usual: float
    samples: int
    seconds: float
    omitted: int


class RateRange(NamedTuple):
    """The usual rate of a phase, and those of its engines, in tokens/s."""

    usual: float
    slowest: float
    fastest: float


class _Sample(NamedTuple):
    """Mean of the observations of one period at one engine."""

    began_at: float
    observations: int
    log_rate: float


class _Estimate(NamedTuple):
    """A weighted median, and the effective number of its samples."""

    log_rate: float
    size: float


class _Learnt(NamedTuple):
    """What is known of an engine whose rate differs from the usual."""

    log_ratio: float
    at: float


def _weighted_median(
    samples: Collection[_Sample], now: float, half_life: float
) -> _Estimate:
    weighted = sorted(
        (sample.log_rate, 2.0 ** ((sample.began_at - now) / half_life))
        for sample in samples
    )
    total = sum(weight for _rate, weight in weighted)
    squares = sum(weight * weight for _rate, weight in weighted)
    sums = itertools.accumulate(weight for _rate, weight in weighted)
    median = next(
        rate
        for (rate, _weight), reached in zip(weighted, sums, strict=True)
        if reached >= total / 2
    )
    return _Estimate(median, total * total / squares)


class _PhaseRates:
    """The rates of one phase.

    Parameters
    ----------
    initial_rate : float
        Usual rate until there are observations, in tokens per second.
    spread : float
        Initial spread of the samples.
    initial_weight : float
        Weight of the initial rate, in observations.
    """

    def __init__(
        self, initial_rate: float, spread: float, initial_weight: float
    ) -> None:
        self.log_usual = math.log(initial_rate)
        self.usual = initial_rate
        # Engines whose rates differ from the usual one.
        self.learnt_by_instance: dict[str, _Learnt] = {}
        self.samples_by_instance: dict[str, collections.deque[_Sample]] = {}
        self._log_medians: dict[str, float] = {}
        self._spread = spread
        self._initial_weight = initial_weight
        self._observations = 0
        # The mean of the engines' medians by observation. Engines are compared
        # to it, as the usual rate contains stalls and its initial value.
        self._log_mean = 0.0

    def note(self, instance: str, log_rate: float, now: float) -> None:
        """Record an observation of an engine."""
        self._observations += 1
        weight = 1 / (self._initial_weight + self._observations)
        self.log_usual += max(weight, USUAL_SMOOTHING) * (
            log_rate - self.log_usual
        )
        self.usual = math.exp(self.log_usual)
        samples = self.samples_by_instance.get(instance)
        if samples is None:
            samples = collections.deque(maxlen=MAX_SAMPLES)
            self.samples_by_instance[instance] = samples
        if samples and now < samples[-1].began_at + SAMPLE_SECONDS:
            last = samples.pop()
            count = last.observations + 1
            mean = last.log_rate + (log_rate - last.log_rate) / count
            samples.append(_Sample(last.began_at, count, mean))
        else:
            if len(samples) >= MIN_SAMPLES:
                self._note_spread(samples[-1], self._log_medians[instance])
            samples.append(_Sample(now, 1, log_rate))
        estimate = _weighted_median(samples, now, LONG_HALF_LIFE_SECONDS)
        self._log_medians[instance] = estimate.log_rate
        weight = max(1 / self._observations, USUAL_SMOOTHING)
        self._log_mean += weight * (estimate.log_rate - self._log_mean)
        self._compare(instance, estimate, samples, now)

    def log_ratio(self, instance: str, now: float) -> float:
        """Return the logarithm of an engine's ratio to the usual rate."""
        learnt = self.learnt_by_instance.get(instance)
        if learnt is None:
            return 0.0
        idle = max(now - learnt.at, 0.0)
        return learnt.log_ratio * 2.0 ** (-idle / FADE_SECONDS)

    def rate(self, instance: str, now: float) -> float:
        """Return the tokens per second of an engine."""
        if instance not in self.learnt_by_instance:
            return self.usual
        return self.usual * math.exp(self.log_ratio(instance, now))

    def retain(self, instances: Collection[str]) -> None:
        """Forget all engines but these."""
        for instance in self.samples_by_instance.keys() - instances:
            del self.samples_by_instance[instance]
            del self._log_medians[instance]
            self.learnt_by_instance.pop(instance, None)

    def _note_spread(self, sample: _Sample, log_median: float) -> None:
        """Record how far a sample is from the others of its engine."""
        deviation = min(abs(sample.log_rate - log_median), MAX_LOG_RATIO)
        spread = deviation * SPREAD_PER_DEVIATION
        self._spread += SPREAD_SMOOTHING * (spread - self._spread)

    def _compare(
        self,
        instance: str,
        estimate: _Estimate,
        samples: collections.deque[_Sample],
        now: float,
    ) -> None:
        """Decide whether an engine's rate differs from the usual one."""
        learnt = self.learnt_by_instance.pop(instance, None)
        if len(samples) < MIN_SAMPLES:
            return
        spread = max(self._spread, MIN_SPREAD) * MEDIAN_ERROR
        recent = _weighted_median(samples, now, SHORT_HALF_LIFE_SECONDS)
        change = abs(recent.log_rate - estimate.log_rate)
        if recent.size >= MIN_SAMPLES and change > (
            MIN_STANDARD_ERRORS * spread / math.sqrt(recent.size)
        ):
            estimate = recent
        if estimate.size < MIN_SAMPLES:
            return
        bound = max(
            MIN_LOG_RATIO,
            MIN_STANDARD_ERRORS * spread / math.sqrt(estimate.size),
        )
        if learnt is not None:
            bound *= STAY_SHARE
        log_ratio = estimate.log_rate - self._log_mean
        if abs(log_ratio) >= bound:
            log_ratio = min(max(log_ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)
            self.learnt_by_instance[instance] = _Learnt(log_ratio, now)


class EngineRates:
    """Rates by engine, as the home of a service knows them.

    Parameters
    ----------
    on_change : callable or None
        Called when an engine's rate becomes slow, usual or fast.

    Examples
    --------
    >>> rates = EngineRates()
    >>> for step in range(20):
    ...     rates.note_prefill('a', 3000, 0.1, step * 0.3)
    ...     rates.note_prefill('b', 3000, 0.3, step * 0.3)
    >>> rates.prefill_rate('b', 6.0) < rates.prefill_rate('a', 6.0) / 2
    True
    """

    def __init__(
        self, on_change: Callable[[SpeedChange], None] | None = None
    ) -> None:
        self._prefill = _PhaseRates(
            INITIAL_PREFILL_TOKENS_PER_SECOND,
            INITIAL_PREFILL_SPREAD,
            INITIAL_PREFILL_WEIGHT,
        )
        self._decode = _PhaseRates(
            INITIAL_DECODE_TOKENS_PER_SECOND,
            INITIAL_DECODE_SPREAD,
            INITIAL_DECODE_WEIGHT,
        )
        self._on_change = on_change
        self._speeds: dict[tuple[str, str], SpeedClass] = {}
        self._lines = 0
        self._lines_since = -math.inf
        self._omitted = 0

    @property
    def usual_prefill_rate(self) -> float:
        """Tokens per second of a usual prefill engine."""
        return self._prefill.usual

    @property
    def usual_decode_rate(self) -> float:
        """Tokens per second of one request at a usual decode engine."""
        return self._decode.usual

    def prefill_rate(self, instance: str, now: float) -> float:
        """Return the tokens per second of a prefill engine."""
        return self._prefill.rate(instance, now)

    def decode_rate(self, instance: str, now: float) -> float:
        """Return the tokens per second of one request at a decode engine."""
        return self._decode.rate(instance, now)

    def note_prefill(
        self, instance: str, tokens: float, seconds: float, now: float
    ) -> None:
        """Record how long an engine took for a prompt.

        Parameters
        ----------
        instance : str
            The prefill engine.
        tokens : float
            Length of the prompt. Short ones are ignored.
        seconds : float
            From the time when the engine had no earlier prompt left.
        now : float
            Seconds on the scheduler's clock.
        """
        if tokens < MIN_PREFILL_TOKENS:
            return
        log_rate = math.log(tokens / max(seconds, MIN_SECONDS))
        # Prompts that end together tell nothing of the rate.
        usual = max(self._prefill.usual, INITIAL_PREFILL_TOKENS_PER_SECOND)
        if log_rate > math.log(usual) + MAX_LOG_RATIO:
            return
        self._prefill.note(instance, log_rate, now)
        self._report('prefill', self._prefill, instance, now)

    def note_decode(
        self, instance: str, tokens: float, seconds: float, now: float
    ) -> None:
        """Record how long an engine took for an answer.

        Length hints are right at the median, though single ones may be far
        off, so logarithms are averaged.

        Parameters
        ----------
        instance : str
            The decode engine.
        tokens : float
            Length of the answer as the caller estimated it.
        seconds : float
            From the end of prefill to the end of the answer.
        now : float
            Seconds on the scheduler's clock.
        """
        log_rate = math.log(tokens / max(seconds, MIN_SECONDS))
        self._decode.note(instance, log_rate, now)
        self._report('decode', self._decode, instance, now)

    def retain(self, instances: Collection[str]) -> None:
        """Forget all engines but these."""
        for phase in (self._prefill, self._decode):
            phase.retain(instances)
        self._speeds = {
            key: speed
            for key, speed in self._speeds.items()
            if key[1] in instances
        }

    def range(self, phase: str, now: float) -> RateRange:
        """Return the usual rate and those of the slowest and fastest engine.

        Parameters
        ----------
        phase : str
            ``prefill`` or ``decode``.
        now : float
            Seconds on the scheduler's clock.
        """
        rates = self._prefill if phase == 'prefill' else self._decode
        known = [rates.usual]
        known += (rates.rate(each, now) for each in rates.learnt_by_instance)
        return RateRange(rates.usual, min(known), max(known))

    def fastest(
        self, prefill: Collection[str], decode: Collection[str], now: float
    ) -> tuple[float, float]:
        """Return the rates of the fastest prefill and decode engine.

        Parameters
        ----------
        prefill, decode : collection of str
            The engines to choose from.
        now : float
            Seconds on the scheduler's clock.
        """
        return (
            _fastest(self._prefill, prefill, now),
            _fastest(self._decode, decode, now),
        )

    def _report(
        self, phase: str, rates: _PhaseRates, instance: str, now: float
    ) -> None:
        """Report a change of an engine's class, at most some in a period."""
        ratio = math.exp(rates.log_ratio(instance, now))
        speed = SpeedClass.USUAL
        if ratio <= SLOW_RATIO:
            speed = SpeedClass.SLOW
        elif ratio >= FAST_RATIO:
            speed = SpeedClass.FAST
        key = phase, instance
        if self._speeds.get(key, SpeedClass.USUAL) is speed:
            return
        self._speeds[key] = speed
        if self._on_change is None:
            return
        if now >= self._lines_since + LOG_PERIOD_SECONDS:
            self._lines_since = now
            self._lines = 0
        if self._lines >= MAX_LOG_LINES:
            self._omitted += 1
            return
        self._lines += 1
        samples = rates.samples_by_instance[instance]
        self._on_change(
            SpeedChange(
                phase,
                instance,
                speed,
                rates.usual * ratio,
                rates.usual,
                len(samples),
                now - samples[0].began_at,
                self._omitted,
            )
        )
        self._omitted = 0


def _fastest(
    rates: _PhaseRates, instances: Collection[str], now: float
) -> float:
    """Return the rate of the fastest of some engines.

    Engines that are not known to differ have the usual rate.
    """
    known = [
        rates.rate(instance, now)
        for instance in rates.learnt_by_instance
        if instance in instances
    ]
    if len(known) < len(instances) or not known:
        known.append(rates.usual)
    return max(known)
