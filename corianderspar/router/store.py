"""Interface to the platform's store, which the router only reads."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from expression import Result

from corianderspar.router import model


class Position(NamedTuple):
    """A point in the history of the store; positions are ordered.

    Attributes
    ----------
    era : int
        Rises by one each time the store returns from an older copy of its
        data; 0 if the store states none.
    revision : int
        Rises with each change within an era. A new era gives revisions of
        the one before out again.
    """

    era: int
    revision: int


class StoreError(NamedTuple):
    """Why a call to the store failed.

    Attributes
    ----------
    code : str
        ``unreachable``, ``refused`` (the store is up and rejected the call),
        ``compacted`` (it does not have the requested changes), ``unusable``
        (the answer with the changes is too large or can't be decoded, and
        would be again) or ``era_changed`` (a new era began during the call).
    detail : str
        For the log.
    era : int
        Era that the answer stated; 0 if it stated none.
    """

    code: str
    detail: str = ''
    era: int = 0


class Change(NamedTuple):
    """A change of one entry of the store.

    Attributes
    ----------
    revision : int
        Revision at which the entry changed.
    configuration : Configuration or None
        Set if the entry is the operator's configuration.
    instance : str
        Instance of the upstream that the entry registers; empty otherwise.
    upstream : Upstream or None
        None if the registration was removed or is unusable.
    data_centre : str
        Data centre that the entry evacuates; empty otherwise.
    is_removed : bool
        Whether the entry of an evacuation was removed.
    fault : str
        Why the entry could not be decoded; empty if it could.
    hides_configuration : bool
        Whether the operator's configuration may be newer than this answer
        tells, as its item could not be read.
    """

    revision: int
    configuration: model.Configuration | None = None
    instance: str = ''
    upstream: model.Upstream | None = None
    fault: str = ''
    data_centre: str = ''
    is_removed: bool = False
    hides_configuration: bool = False


class Changes(NamedTuple):
    """Changes up to a revision, in order.

    Attributes
    ----------
    revision : int
        Revision from which to watch next.
    changes : tuple of Change
        Empty if nothing changed during the wait.
    era : int
        Era of the revisions.
    """

    revision: int
    changes: tuple[Change, ...]
    era: int = 0

    @property
    def position(self) -> Position:
        """Era and revision from which to watch next."""
        return Position(self.era, self.revision)

    @property
    def hides_configuration(self) -> bool:
        """As in `Change`, for any of them."""
        return any(change.hides_configuration for change in self.changes)


ProgressHook = Callable[[], None]


class StoreClient(Protocol):
    """Client of the store; makes each call once, without retries."""

    async def read(
        self, on_progress: ProgressHook | None = None
    ) -> Result[Changes, StoreError]:
        """Read everything; the revision is that of the first page.

        Parameters
        ----------
        on_progress : callable or None
            Called whenever a part of an answer has arrived.
        """
        ...

    async def watch(
        self,
        revision: int,
        wait: float,
        on_progress: ProgressHook | None = None,
    ) -> Result[Changes, StoreError]:
        """Wait up to ``wait`` seconds for changes after a revision.

        The answer may be of a later era than the revision, in which case
        the changes are incomplete. ``on_progress`` is as in `read`.
        """
        ...
