"""The seam towards the platform's store, which can only be read."""

from typing import NamedTuple
from typing import Protocol

from expression import Result

from corianderspar.router import model


class StoreError(NamedTuple):
    """Why the store gave nothing.

    Attributes
    ----------
    code : str
        ``unreachable``, ``refused`` (it is up and turned the call away) or
        ``compacted`` (the changes asked for are no longer kept).
    detail : str
        For the log.
    """

    code: str
    detail: str = ''


class Change(NamedTuple):
    """What became of one entry of the store.

    Attributes
    ----------
    revision : int
        At which it changed.
    configuration : Configuration or None
        Set if it is the operator's.
    instance : str
        Of the upstream it is about; empty otherwise.
    upstream : Upstream or None
        None if it was removed, or names nothing that can be used.
    fault : str
        Why an entry could not be read; empty if it could.
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
        From which to go on.
    changes : tuple of Change
        Empty if nothing happened for the whole wait.
    """

    revision: int
    changes: tuple[Change, ...]


class StoreClient(Protocol):
    """The store, as the system sees it. Each call is made once."""

    async def read(self) -> Result[Changes, StoreError]:
        """Read everything; the revision is that of the first page."""
        ...

    async def watch(
        self, revision: int, wait: float
    ) -> Result[Changes, StoreError]:
        """Wait for changes after a revision, for ``wait`` seconds."""
        ...
