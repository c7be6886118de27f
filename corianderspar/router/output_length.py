"""How long answers become, learned from those that ended.

Callers name the most tokens they may use, which is far more than they do,
or guess. How much a caller's figure tells is learned by fitting the length
that came out against it, both as logarithms; figures that tell nothing give
the usual length.
"""

import math

DECAY = 0.99  # of earlier answers with each new one
PRIOR_ANSWERS = 12.0  # for which the caller's own figure is believed
PRIOR_SPREAD = 0.5  # of that figure, as a standard deviation of logarithms


class OutputLengthPredictor:
    """Predicts tokens from a caller's figure.

    Examples
    --------
    >>> predictor = OutputLengthPredictor()
    >>> round(predictor.predict(800))
    800
    >>> for _ in range(400):
    ...     predictor.observe(2000, 500)
    >>> 450 < predictor.predict(2000) < 600
    True
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._named = 0.0
        self._made = 0.0
        self._named_squares = 0.0
        self._products = 0.0

    def observe(self, named: float, made: float) -> None:
        """Take note of a caller's figure and of what came out."""
        x = math.log(max(named, 1.0))
        y = math.log(max(made, 1.0))
        self._count = self._count * DECAY + 1.0
        self._named = self._named * DECAY + x
        self._made = self._made * DECAY + y
        self._named_squares = self._named_squares * DECAY + x * x
        self._products = self._products * DECAY + x * y

    def predict(self, named: float) -> float:
        """Return the tokens to expect for a caller's figure."""
        x = math.log(max(named, 1.0))
        if not self._count:
            return named
        mean_x = self._named / self._count
        mean_y = self._made / self._count
        variance = self._named_squares / self._count - mean_x * mean_x
        covariance = self._products / self._count - mean_x * mean_y
        # Answers of the prior lie on the line "as named", spread as usual.
        weight = PRIOR_ANSWERS / (PRIOR_ANSWERS + self._count)
        spread = PRIOR_SPREAD * PRIOR_SPREAD
        slope = (weight * spread + (1 - weight) * covariance) / (
            weight * spread + (1 - weight) * max(variance, 0.0)
        )
        slope = min(max(slope, 0.0), 1.0)
        fitted = mean_y + slope * (x - mean_x)
        return math.exp(weight * x + (1 - weight) * fitted)
