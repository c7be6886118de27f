"""Interface to the platform's store, which the router only reads."""

from typing import NamedTuple
from typing import Protocol

from expression import Result

from corianderspar.router import model


class StoreError(NamedTuple):
    """Why a call to the store failed.

    Attributes
    ----------
    code : str
        ``unreachable``, ``refused`` (the store is up and rejected the call)
        or ``compacted`` (it no longer has the requested changes).
    detail : str
        For the log.
    """

    code: str
    detail: str = ''


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
    fault : str
        Why the entry could not be decoded; empty if it could.
    """

    revision: int
    configuration: model.Configuration | None = None
    instance: str = ''
    upstream: model.Upstream | None = None
    fault: str = ''


class Changes(NamedTuple):
    """Changes up to a revision, in order.

    Attributes
    ----------
    revision : int
        Revision from which to watch next.
    changes : tuple of Change
        Empty if nothing changed during the wait.
    """

    revision: int
    changes: tuple[Change, ...]


class StoreClient(Protocol):
    """Client of the store; makes each call once, without retries."""

    async def read(self) -> Result[Changes, StoreError]:
        """Read everything; the revision is that of the first page."""
        ...

    async def watch(
        self, revision: int, wait: float
    ) -> Result[Changes, StoreError]:
        """Wait up to ``wait`` seconds for changes after a revision."""
        ...
