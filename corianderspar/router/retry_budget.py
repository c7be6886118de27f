"""Budget that limits the retries of the whole fleet."""

import collections
from typing import NamedTuple

# Of the allowed retries. The rest is a margin: requests slide out of the
# window before the retries that they allowed.
USABLE_SHARE = 0.75


class _Send(NamedTuple):
    at: float
    is_retry: bool


class RetryBudget:
    """Retries of one daemon to one service in a sliding window.

    The fleet may retry ``ratio`` times the number of its requests, and
    ``slack`` times more. A daemon uses the ratio of its own requests and its
    part of the slack. The sum over the fleet then holds even if daemons
    disagree about the members of the fleet, as long as no daemon knows of
    fewer peers than its part of the slack assumes.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    slack : float
        Retries of the whole fleet in a window in addition to the ratio.
    window : float
        Seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._sends: collections.deque[_Send] = collections.deque()
        self._requests = 0
        self._retries = 0

    def deposit(self, now: float) -> None:
        """Count a request."""
        self._sends.append(_Send(now, False))
        self._requests += 1

    def requests(self, now: float) -> int:
        """Return how many requests were counted in the last window."""
        self._drop_expired(now)
        return self._requests

    def withdraw(self, now: float, daemons: float) -> bool:
        """Count a retry and return true if the budget allows it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        daemons : float
            Number of daemons that share the slack, this one included; or
            the reciprocal of the share of the slack that may be used.
        """
        self._drop_expired(now)
        allowed = self._requests * self._ratio + self._slack / max(daemons, 1)
        if self._retries + 1 > allowed * USABLE_SHARE:
            return False
        self._sends.append(_Send(now, True))
        self._retries += 1
        return True

    def _drop_expired(self, now: float) -> None:
        while self._sends and self._sends[0].at < now - self._window:
            expired = self._sends.popleft()
            if expired.is_retry:
                self._retries -= 1
            else:
                self._requests -= 1
