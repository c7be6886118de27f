"""When the state of the store was last verified as the newest.

The store may return from an older copy of its data, in a new era. The copy
may lack what was written just before, such as a withdrawal of keys that
nobody has read. The operator and the upstreams write it again. Until they
have, an answer of the store does not verify anything.
"""

import math

# From the begin of an era until what the copy lacks has been written again.
REWRITE_SECONDS = 2.0
GAP_SECONDS = 3.0  # upstreams may have come and gone meanwhile


class Verification:
    """The era of the store, and the time of the last verification.

    Times are monotonic seconds.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole fleet starts for the first time, so that there is
        nothing to know of the time before.

    Attributes
    ----------
    era : int
        The newest known; 0 before the first answer and for a store that
        states none.
    verified_at : float
        When the state was last verified as the newest; -inf for never.
    continuous_since : float
        End of the last gap of more than `GAP_SECONDS` between verifications,
        or the first verification; -inf if there was none of these, and from
        the first start of a fleet on.
    """

    def __init__(self, is_first_start: bool = False) -> None:
        self._is_first_start = is_first_start
        self.era = 0
        self.verified_at = float('-inf')
        self.continuous_since = float('-inf')
        self._has_answer = False
        self._rewritten_at = float('-inf')

    def enter(self, era: int, now: float, age: float = 0.0) -> bool:
        """Record the era of an answer.

        The era of the first answer is taken to have lasted: a daemon that
        starts has no earlier one to compare with.

        Parameters
        ----------
        era : int
            Not below the present one.
        now : float
            The present time.
        age : float
            Seconds for which the source of the answer has known the era;
            inf if it knows of no other.

        Returns
        -------
        bool
            Whether the store returned from a copy since the last answer.
        """
        is_new = self._has_answer and era > self.era
        if is_new:
            # A source that started in the era does not know its age.
            known_age = age if math.isfinite(age) else 0.0
            self._rewritten_at = now - known_age + REWRITE_SECONDS
        self._has_answer = True
        self.era = era
        return is_new

    def verify(self, at: float) -> bool:
        """Record that the state was the newest at a time.

        Returns
        -------
        bool
            Whether this is the first verification in its era.
        """
        if at < self._rewritten_at or at <= self.verified_at:
            return False
        is_first = self.is_pending
        is_first_ever = not math.isfinite(self.verified_at)
        if at - self.verified_at > GAP_SECONDS and not (
            is_first_ever and self._is_first_start
        ):
            self.continuous_since = at
        self.verified_at = at
        return is_first

    @property
    def is_pending(self) -> bool:
        """Whether nothing was verified in the present era yet."""
        return self.verified_at < self._rewritten_at

    def rewrite_remaining(self, now: float) -> float:
        """Return the seconds until answers verify the state again."""
        return max(self._rewritten_at - now, 0.0)

    def era_age(self, now: float) -> float:
        """Return the seconds since the era began; inf if it is the first."""
        return now - self._rewritten_at + REWRITE_SECONDS
