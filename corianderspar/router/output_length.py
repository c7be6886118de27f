"""Prediction of output lengths from those of earlier answers.

A caller's hint is the maximum number of tokens of the answer, which is far
above the actual number, or an estimate. How informative the hints are is
learned by a linear regression of the actual length on the hint, both as
logarithms. If the hints carry no information, the prediction is the
geometric mean of the earlier lengths.
"""

import math

DECAY = 0.99  # of the weight of earlier answers with each new one
PRIOR_ANSWERS = 12.0  # weight of the prior that hints are right, in answers
PRIOR_SPREAD = 0.5  # of hints under the prior; standard deviation of logs


class OutputLengthPredictor:
    """Predicts output lengths from the callers' hints.

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
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0

    def observe(self, hint: float, actual: float) -> None:
        """Record the hint and the actual length of an answer, in tokens."""
        x = math.log(max(hint, 1.0))
        y = math.log(max(actual, 1.0))
        self._count = self._count * DECAY + 1.0
        self._sum_x = self._sum_x * DECAY + x
        self._sum_y = self._sum_y * DECAY + y
        self._sum_xx = self._sum_xx * DECAY + x * x
        self._sum_xy = self._sum_xy * DECAY + x * y

    def predict(self, hint: float) -> float:
        """Return the expected length for a hint, in tokens."""
        x = math.log(max(hint, 1.0))
        if not self._count:
            return hint
        mean_x = self._sum_x / self._count
        mean_y = self._sum_y / self._count
        variance = self._sum_xx / self._count - mean_x * mean_x
        covariance = self._sum_xy / self._count - mean_x * mean_y
        # Under the prior the actual length equals the hint, and hints have
        # the variance `spread`.
        weight = PRIOR_ANSWERS / (PRIOR_ANSWERS + self._count)
        spread = PRIOR_SPREAD * PRIOR_SPREAD
        slope = (weight * spread + (1 - weight) * covariance) / (
            weight * spread + (1 - weight) * max(variance, 0.0)
        )
        slope = min(max(slope, 0.0), 1.0)
        fitted = mean_y + slope * (x - mean_x)
        return math.exp(weight * x + (1 - weight) * fitted)
