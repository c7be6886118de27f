"""How often requests may be sent once more, over the whole fleet."""

import collections
from typing import NamedTuple

SPARE = 0.75  # of what is allowed; the rest covers windows that slide


class _Sent(NamedTuple):
    at: float
    is_extra: bool


class RetryBudget:
    """Extra sends of one daemon to one service over a sliding window.

    The fleet may send ``ratio`` times its requests and ``slack`` more. A
    daemon takes the ratio of its own requests and its part of the slack,
    so that the sum holds whatever the daemons know of each other, as long
    as no daemon believes in fewer peers than its part allows for.

    Parameters
    ----------
    ratio : float
        Extra sends for each request.
    slack : float
        Extra sends of the whole fleet beside the ratio.
    window : float
        Seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._sent: collections.deque[_Sent] = collections.deque()
        self._requests = 0
        self._extras = 0

    def deposit(self, now: float) -> None:
        """Count a request."""
        self._sent.append(_Sent(now, False))
        self._requests += 1

    def requests(self, now: float) -> int:
        """Return how many requests were counted in the last window."""
        self._drop_old(now)
        return self._requests

    def withdraw(self, now: float, daemons: float) -> bool:
        """Count an extra send, if there is room for it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        daemons : float
            Daemons that share the slack, this one included, or one over the
            share of the slack that may be used.
        """
        self._drop_old(now)
        allowed = self._requests * self._ratio + self._slack / max(daemons, 1)
        if self._extras + 1 > allowed * SPARE:
            return False
        self._sent.append(_Sent(now, True))
        self._extras += 1
        return True

    def _drop_old(self, now: float) -> None:
        while self._sent and self._sent[0].at < now - self._window:
            old = self._sent.popleft()
            if old.is_extra:
                self._extras -= 1
            else:
                self._requests -= 1
