"""Online prediction of answer lengths by client account and route."""

import bisect
import collections
import math

import ddsketch

RELATIVE_ACCURACY = 0.02
GENERATION_SAMPLES = 400
MIN_SAMPLES = 20
MAX_STALE_SAMPLES = 25
MAX_KEYS = 4096
QUANTILE_STEPS = 40
DEFAULT_FRACTION = 0.125

Key = tuple[str, str]  # account and route; an empty one stands for all


class _RecentLengths:
    """Quantiles of the most recent lengths.

    Two sketches take turns: once the current one holds
    `GENERATION_SAMPLES` lengths, it replaces the previous one, so that old
    lengths drop out. The quantiles of both together are computed anew once
    `MAX_STALE_SAMPLES` lengths have been added, or half of all if fewer.
    """

    def __init__(self) -> None:
        self._previous: ddsketch.DDSketch | None = None
        self._current = ddsketch.DDSketch(RELATIVE_ACCURACY)
        self._stale_samples = 0
        self.quantiles: list[float] = []

    @property
    def samples(self) -> int:
        previous_count = (
            self._previous.count if self._previous is not None else 0
        )
        return int(self._current.count + previous_count)

    def add(self, tokens: int) -> None:
        self._current.add(tokens)
        self._stale_samples += 1
        if self._current.count >= GENERATION_SAMPLES:
            self._previous = self._current
            self._current = ddsketch.DDSketch(RELATIVE_ACCURACY)
        if self._stale_samples >= min(MAX_STALE_SAMPLES, self.samples / 2):
            self._update_quantiles()

    def _update_quantiles(self) -> None:
        merged = ddsketch.DDSketch(RELATIVE_ACCURACY)
        merged.merge(self._current)
        if self._previous is not None:
            merged.merge(self._previous)
        self.quantiles = [
            merged.get_quantile_value(step / QUANTILE_STEPS) or 0.0
            for step in range(QUANTILE_STEPS + 1)
        ]
        self._stale_samples = 0


class OutputLengthPredictor:
    """Predicts the length of answers from those that came to their end.

    For an account and route with fewer than `MIN_SAMPLES` answers, it uses
    those of the route in all accounts, then those of all routes. With too
    few of these as well, it assumes `DEFAULT_FRACTION` of ``max_tokens``.

    Examples
    --------
    >>> predictor = OutputLengthPredictor()
    >>> for tokens in range(1, 101):
    ...     predictor.observe('parish', 'blurb', tokens)
    >>> 40 < predictor.predict('parish', 'blurb', 800, 0.5) < 55
    True
    >>> predictor.finish_probability('parish', 'blurb', 800, 90, 100)
    1.0
    """

    def __init__(self) -> None:
        self._lengths_by_key: collections.OrderedDict[Key, _RecentLengths] = (
            collections.OrderedDict()
        )

    def observe(self, account: str, route: str, tokens: int) -> None:
        """Record the length of a complete answer."""
        for key in ((account, route), ('', route), ('', '')):
            self._lengths(key).add(max(1, tokens))

    def predict(
        self,
        account: str,
        route: str,
        max_tokens: int,
        quantile: float,
        seen: int = 0,
    ) -> int:
        """Return a quantile of an answer's length.

        Parameters
        ----------
        account, route : str
            Account and route of the request.
        max_tokens : int
            Upper bound that the caller set.
        quantile : float
            Between 0 and 1, among the answers longer than `seen`.
        seen : int
            Tokens of the answer so far.

        Returns
        -------
        int
            Tokens of the whole answer, at most `max_tokens`.
        """
        quantiles = self._quantiles(account, route)
        if not quantiles:
            default_length = max(1.0, max_tokens * DEFAULT_FRACTION)
            return min(max_tokens, max(math.ceil(default_length), 2 * seen))
        fraction_seen = _fraction_up_to(quantiles, seen)
        position = (
            fraction_seen + quantile * (1 - fraction_seen)
        ) * QUANTILE_STEPS
        lower = min(int(position), QUANTILE_STEPS - 1)
        value = quantiles[lower] + (position - lower) * (
            quantiles[lower + 1] - quantiles[lower]
        )
        return min(max_tokens, max(math.ceil(value), seen + 1))

    def finish_probability(
        self, account: str, route: str, max_tokens: int, seen: int, more: int
    ) -> float:
        """Return the probability that an answer ends within some tokens.

        Parameters
        ----------
        account, route, max_tokens, seen
            As for `predict`.
        more : int
            Number of further tokens.
        """
        if seen + more >= max_tokens:
            return 1.0
        quantiles = self._quantiles(account, route)
        if not quantiles:
            return min(1.0, more / max(1.0, max_tokens * DEFAULT_FRACTION))
        fraction_seen = _fraction_up_to(quantiles, seen)
        if fraction_seen >= 1.0:
            return min(1.0, more / max(1.0, quantiles[-1]))
        return (_fraction_up_to(quantiles, seen + more) - fraction_seen) / (
            1 - fraction_seen
        )

    def _lengths(self, key: Key) -> _RecentLengths:
        lengths = self._lengths_by_key.get(key)
        if lengths is None:
            lengths = self._lengths_by_key[key] = _RecentLengths()
            if len(self._lengths_by_key) > MAX_KEYS:
                self._lengths_by_key.popitem(last=False)
        self._lengths_by_key.move_to_end(key)
        return lengths

    def _quantiles(self, account: str, route: str) -> list[float]:
        for key in ((account, route), ('', route), ('', '')):
            lengths = self._lengths_by_key.get(key)
            if lengths is not None and lengths.samples >= MIN_SAMPLES:
                return lengths.quantiles
        return []


def _fraction_up_to(quantiles: list[float], tokens: float) -> float:
    """Return the fraction of answers of at most so many tokens."""
    index = bisect.bisect_right(quantiles, tokens)
    if index == 0:
        return 0.0
    if index == len(quantiles):
        return 1.0
    lower, upper = quantiles[index - 1], quantiles[index]
    partial = (tokens - lower) / (upper - lower) if upper > lower else 0.0
    return (index - 1 + partial) / QUANTILE_STEPS
