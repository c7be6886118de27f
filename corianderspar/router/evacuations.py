"""Data centres whose upstreams get no new requests, as the operator asks.

The operator writes an entry into the store for each evacuated data centre and
deletes it to take the data centre back. The store may return from an older
copy of its data, which lacks the entries that were written just before. The
operator writes them again, so an evacuation that is missing from such a copy
stays in force until then.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

from corianderspar.router import store
from corianderspar.router import verification


class Evacuations:
    """The evacuated data centres; times are monotonic seconds.

    Parameters
    ----------
    log : callable
        Called with the name and the fields of each event.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._positions_by_data_centre: dict[str, store.Position] = {}
        self._ends_due_by_data_centre: dict[str, float] = {}

    def __contains__(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._positions_by_data_centre

    def __iter__(self) -> Iterator[str]:
        """Return an iterator over the evacuated data centres."""
        return iter(self._positions_by_data_centre)

    @property
    def positions_by_data_centre(self) -> dict[str, store.Position]:
        """Where in the history of the store each evacuation was written."""
        return dict(self._positions_by_data_centre)

    def apply(
        self, data_centre: str, position: store.Position, *, begins: bool
    ) -> None:
        """Apply a single change of the store."""
        if begins:
            self._begin(data_centre, position)
        else:
            self._end(data_centre, 'deleted', position.era)

    def replace(
        self,
        positions_by_data_centre: Mapping[str, store.Position],
        era: int,
        now: float,
    ) -> None:
        """Replace the evacuations by all that a source knows.

        Parameters
        ----------
        positions_by_data_centre : mapping of str to Position
            The evacuations that the store or a peer holds. A peer may hold
            some of earlier eras, which the operator may be about to renew.
        era : int
            Present era of the source.
        now : float
            The present time.
        """
        for data_centre, position in positions_by_data_centre.items():
            if position.era == era:
                self._begin(data_centre, position)
            else:
                self._keep(data_centre, position, era, now)
        for data_centre, position in self.positions_by_data_centre.items():
            if data_centre in positions_by_data_centre:
                continue
            if position.era == era:
                self._end(data_centre, 'missing', era)
            else:
                self._keep(data_centre, position, era, now)

    def apply_due(self, now: float, era: int) -> bool:
        """End evacuations of earlier eras that were not renewed in time.

        Returns
        -------
        bool
            Whether anything changed.
        """
        due = [
            data_centre
            for data_centre, ends_at in self._ends_due_by_data_centre.items()
            if ends_at <= now
        ]
        for data_centre in due:
            self._end(data_centre, 'not renewed', era)
        return bool(due)

    def _begin(self, data_centre: str, position: store.Position) -> None:
        self._ends_due_by_data_centre.pop(data_centre, None)
        is_new = data_centre not in self._positions_by_data_centre
        self._positions_by_data_centre[data_centre] = position
        if is_new:
            self._log(
                'evacuation.began',
                data_centre=data_centre,
                era=position.era,
                revision=position.revision,
            )

    def _keep(
        self,
        data_centre: str,
        position: store.Position,
        era: int,
        now: float,
    ) -> None:
        """Keep an evacuation of an earlier era for a while."""
        self._positions_by_data_centre.setdefault(data_centre, position)
        if data_centre in self._ends_due_by_data_centre:
            return
        self._ends_due_by_data_centre[data_centre] = (
            now + verification.REWRITE_SECONDS
        )
        self._log(
            'evacuation.unconfirmed',
            data_centre=data_centre,
            written_in_era=position.era,
            era=era,
            wait=f'{verification.REWRITE_SECONDS:.1f}',
        )

    def _end(self, data_centre: str, reason: str, era: int) -> None:
        self._ends_due_by_data_centre.pop(data_centre, None)
        if self._positions_by_data_centre.pop(data_centre, None) is None:
            return
        self._log(
            'evacuation.ended', data_centre=data_centre, why=reason, era=era
        )
