"""Answer lengths predicted per client account and route, learned online."""

import bisect
import collections
import math

import ddsketch

ACCURACY = 0.02
GENERATION_SAMPLES = 400
MIN_SAMPLES = 20
REFRESH_SAMPLES = 25
MAX_KEYS = 4096
GRID = 40
UNKNOWN_SHARE = 0.125

Key = tuple[str, str]


class _Lengths:
    """Two generations of a sketch, and a grid of quantiles read off it."""

    def __init__(self) -> None:
        self._old: ddsketch.DDSketch | None = None
        self._new = ddsketch.DDSketch(ACCURACY)
        self._stale = 0
        self.grid: list[float] = []

    @property
    def samples(self) -> int:
        old = self._old.count if self._old is not None else 0
        return int(self._new.count + old)

    def add(self, tokens: int) -> None:
        self._new.add(tokens)
        self._stale += 1
        if self._new.count >= GENERATION_SAMPLES:
            self._old = self._new
            self._new = ddsketch.DDSketch(ACCURACY)
        if self._stale >= min(REFRESH_SAMPLES, self.samples / 2):
            self._refresh()

    def _refresh(self) -> None:
        both = ddsketch.DDSketch(ACCURACY)
        both.merge(self._new)
        if self._old is not None:
            both.merge(self._old)
        self.grid = [
            both.get_quantile_value(step / GRID) or 0.0
            for step in range(GRID + 1)
        ]
        self._stale = 0


class OutputLengthPredictor:
    """Quantiles of answer lengths, of the whole and of what remains.

    An account's route with fewer than `MIN_SAMPLES` answers takes the
    route's figures, then those of all answers; without any, an answer is
    taken to need `UNKNOWN_SHARE` of what its caller reserves.

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
        self._by_key: collections.OrderedDict[Key, _Lengths] = (
            collections.OrderedDict()
        )

    def observe(self, account: str, route: str, tokens: int) -> None:
        """Learn from an answer that came to its end."""
        for key in ((account, route), ('', route), ('', '')):
            self._touch(key).add(max(1, tokens))

    def predict(
        self,
        account: str,
        route: str,
        max_tokens: int,
        quantile: float,
        seen: int = 0,
    ) -> int:
        """Return a quantile of the length, given the tokens seen so far.

        Parameters
        ----------
        account, route : str
            Whose answer it is.
        max_tokens : int
            What the caller reserves; never exceeded.
        quantile : float
            Between 0 and 1, among the answers at least as long as `seen`.
        seen : int
            Tokens that have come.

        Returns
        -------
        int
            Tokens of the whole answer.
        """
        grid = self._grid(account, route)
        if not grid:
            guess = max(1.0, max_tokens * UNKNOWN_SHARE)
            return min(max_tokens, max(math.ceil(guess), 2 * seen))
        below = _below(grid, seen)
        place = (below + quantile * (1 - below)) * GRID
        low = min(int(place), GRID - 1)
        value = grid[low] + (place - low) * (grid[low + 1] - grid[low])
        return min(max_tokens, max(math.ceil(value), seen + 1))

    def finish_probability(
        self, account: str, route: str, max_tokens: int, seen: int, soon: int
    ) -> float:
        """Return how likely an answer ends within the next tokens.

        Parameters
        ----------
        account, route, max_tokens
            As for `predict`.
        seen, soon : int
            Tokens that have come, and how many more are looked at.
        """
        if seen + soon >= max_tokens:
            return 1.0
        grid = self._grid(account, route)
        if not grid:
            return min(1.0, soon / max(1.0, max_tokens * UNKNOWN_SHARE))
        below = _below(grid, seen)
        if below >= 1.0:
            return min(1.0, soon / max(1.0, grid[-1]))
        return (_below(grid, seen + soon) - below) / (1 - below)

    def _touch(self, key: Key) -> _Lengths:
        lengths = self._by_key.get(key)
        if lengths is None:
            lengths = self._by_key[key] = _Lengths()
            if len(self._by_key) > MAX_KEYS:
                self._by_key.popitem(last=False)
        self._by_key.move_to_end(key)
        return lengths

    def _grid(self, account: str, route: str) -> list[float]:
        for key in ((account, route), ('', route), ('', '')):
            lengths = self._by_key.get(key)
            if lengths is not None and lengths.samples >= MIN_SAMPLES:
                return lengths.grid
        return []


def _below(grid: list[float], tokens: float) -> float:
    """Return the share of answers that are at most that long."""
    right = bisect.bisect_right(grid, tokens)
    if right == 0:
        return 0.0
    if right == len(grid):
        return 1.0
    low, high = grid[right - 1], grid[right]
    part = (tokens - low) / (high - low) if high > low else 0.0
    return (right - 1 + part) / GRID
