"""An exponentially decaying average of a rate."""

import math


class Meter:
    """Measures a rate per second in which recent amounts weigh most.

    Parameters
    ----------
    time_constant : float
        Seconds after which the weight of an amount has fallen to 1/e.

    Examples
    --------
    >>> meter = Meter(5.0)
    >>> for step in range(1000):
    ...     meter.add(3.0, step / 10)
    >>> round(meter.rate(99.9))
    30
    """

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._started_at: float | None = None
        self._updated_at = 0.0
        self._decayed_sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at `now`, in monotonic seconds."""
        if self._started_at is None:
            self._started_at = self._updated_at = now
        self._decay(now)
        self._decayed_sum += amount

    def rate(self, now: float) -> float | None:
        """Return the amount per second.

        None until one time constant has passed since the first amount. The
        weight of the time before the first amount is left out, so that the
        rate is not too low at the start.
        """
        if (
            self._started_at is None
            or now - self._started_at < self._time_constant
        ):
            return None
        self._decay(now)
        weight = 1 - math.exp((self._started_at - now) / self._time_constant)
        return self._decayed_sum / (self._time_constant * weight)

    def _decay(self, now: float) -> None:
        self._decayed_sum *= math.exp(
            (self._updated_at - now) / self._time_constant
        )
        self._updated_at = now
