"""When refused callers are to return.

They return one after another, at the pace at which their requests can be
served, and those of higher ranks first.
"""

import math


class ReturnTimes:
    """The return times that were told last; monotonic seconds."""

    def __init__(self) -> None:
        self._told_by_rank: dict[int, float] = {}

    def next(
        self,
        rank: int,
        wait: float,
        seconds: float,
        longest: float,
        now: float,
    ) -> float:
        """Return the seconds after which a caller is to return.

        Parameters
        ----------
        rank : int
            0 is the highest.
        wait : float
            Seconds until its request would be served if no other refused
            caller returned.
        seconds : float
            For which all capacity serves the request.
        longest : float
            Seconds after which the caller returns in any case.
        now : float
            The present time.
        """
        told = [
            at for other, at in self._told_by_rank.items() if other <= rank
        ]
        at = max(now + wait, max([now, *told]) + seconds)
        at = min(at, now + longest)
        if math.isfinite(at):
            self._told_by_rank[rank] = at
        return at - now
