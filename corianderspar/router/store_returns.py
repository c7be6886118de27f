"""A store that returned from an older copy without stating a new era.

A daemon knows a position that the store's answers do not reach: the store
lost data and states no era, or one answer stated a revision or an era that
is too high. Peers pass positions on, so all daemons know it then. Answers of
the store are linearizable, so one that is behind is wrong or the position is.

Once the answers have been behind for `RETURN_SECONDS`, they are taken as
those of a new era of this fleet's own, which is counted beyond the one that
the store states. All that holds for an era that the store states holds for
it: it is passed on to peers, nothing is verified at its begin, and the
version of the configuration does not go back.
"""

from corianderspar.router import store

RETURN_SECONDS = 5.0
MIN_ANSWERS = 5  # in that time, none of them below the one before
RETRY_SECONDS = 0.75  # between such answers, beyond that after any failure


class StoreReturns:
    """Finds returns of the store, and counts them into its era."""

    def __init__(self) -> None:
        self._extra_eras = 0
        self._behind_since: float | None = None
        self._answers = 0
        self._last = store.Position(0, 0)

    @property
    def is_behind(self) -> bool:
        """Whether the last answer was behind."""
        return self._behind_since is not None

    def era(self, stated: int) -> int:
        """Return the era of an answer that states one."""
        return stated + self._extra_eras

    def note_sound(self) -> None:
        """Record an answer that is not behind."""
        self._behind_since = None

    def note_behind(self, answer: store.Position, now: float) -> float:
        """Record an answer that is behind.

        Parameters
        ----------
        answer : Position
            Its position.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Seconds for which answers have been behind if that is long
            enough; 0.0 otherwise.
        """
        if self._behind_since is None or answer < self._last:
            self._behind_since = now
            self._answers = 0
        self._last = answer
        self._answers += 1
        seconds = now - self._behind_since
        if self._answers < MIN_ANSWERS or seconds < RETURN_SECONDS:
            return 0.0
        return seconds

    def begin_era(self, answer: store.Position, era: int) -> None:
        """Count answers of an answer's era as of a later one from now on.

        Parameters
        ----------
        answer : Position
            Position of the answer.
        era : int
            Era that it has from now on.
        """
        self._extra_eras += era - answer.era
        self._behind_since = None
