"""The timeout after which a KV cache transfer counts as stalled."""

from corianderspar import clock as clocks

EXPECTED_FACTOR = 1.5
SLACK_SECONDS = 0.1
LIFETIME_FRACTION = 0.6
SLOWEST_FACTOR = 6.0
HALF_LIFE_SECONDS = 30.0
MAX_TIMEOUT_SECONDS = 5.0


class TransferTimeouts:
    """Adapts the timeout of transfers to the current speed of the links.

    On congested links every transfer is late. A transfer that times out
    there is computed and sent again, which adds to the congestion; so the
    timeout follows the slowest of the recent transfers. A transfer that
    timed out counts as slow, with the time it was given, only if the
    previous timeout was at another engine: a single engine that stalls
    says nothing about the links.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> timeouts = TransferTimeouts(clocks.SystemClock())
    >>> timeouts.timeout(0.1, 0.8) < 0.6
    True
    >>> timeouts.note_completed(0.5)
    >>> 2.9 < timeouts.timeout(0.1, 0.8) <= 3.0
    True
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._slowest_seconds = 0.0
        self._updated_at = 0.0
        self._last_stalled = ''

    def timeout(self, expected: float, lifetime: float) -> float:
        """Return the seconds that a transfer may take.

        Parameters
        ----------
        expected : float
            Seconds that the home has reserved for the transfer.
        lifetime : float
            Seconds until the prefill result expires.
        """
        usual = expected * EXPECTED_FACTOR + SLACK_SECONDS
        slow = SLOWEST_FACTOR * self._slowest()
        return min(
            MAX_TIMEOUT_SECONDS, max(usual, lifetime * LIFETIME_FRACTION, slow)
        )

    def note_completed(self, seconds: float) -> None:
        """Record the duration of a transfer that completed."""
        self._slowest_seconds = max(seconds, self._slowest())
        self._updated_at = self._clock.monotonic()

    def note_stalled(self, upstream: str, seconds: float) -> None:
        """Record a transfer that timed out after that many seconds."""
        if self._last_stalled not in ('', upstream):
            self.note_completed(seconds)
        self._last_stalled = upstream

    def _slowest(self) -> float:
        """Return the slowest duration, halved each `HALF_LIFE_SECONDS`."""
        age = self._clock.monotonic() - self._updated_at
        return float(self._slowest_seconds * 0.5 ** (age / HALF_LIFE_SECONDS))
