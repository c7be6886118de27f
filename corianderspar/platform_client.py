"""The seam towards the platform: read, watch, list; never write."""

from typing import NamedTuple
from typing import Protocol

from expression import Result

MAX_VALUE_BYTES = 1 << 20


class Value(NamedTuple):
    """A value of the configuration service.

    Attributes
    ----------
    revision : int
        Grows with each change of that value.
    data : bytes
        At most `MAX_VALUE_BYTES`.
    """

    revision: int
    data: bytes


class ListedVm(NamedTuple):
    """A line of the platform's list of VMs.

    Attributes
    ----------
    name, data_centre, region : str
        The VM and where it stands.
    peer_address, http_address : str
        ip:port for other daemons, and for callers.
    leaving : bool
        Whether the platform is taking it away.
    """

    name: str
    data_centre: str
    region: str
    peer_address: str
    http_address: str = ''
    leaving: bool = False


class VmList(NamedTuple):
    """The platform's list of VMs, which lags.

    Attributes
    ----------
    revision : int
        Grows with each change.
    vms : tuple of ListedVm
        Live and leaving VMs of the whole fleet.
    """

    revision: int
    vms: tuple[ListedVm, ...]


class PlatformError(NamedTuple):
    """Why the platform gave nothing: ``unreachable`` or ``missing``."""

    code: str


class PlatformClient(Protocol):
    """The platform, as the system sees it."""

    async def read(self, key: str) -> Result[Value, PlatformError]:
        """Read a value; counts as one call."""
        ...

    async def watch(
        self, key: str, revision: int, wait: float
    ) -> Result[Value | None, PlatformError]:
        """Wait for a value above ``revision``; None after ``wait`` s."""
        ...

    async def vms(self) -> Result[VmList, PlatformError]:
        """Read the list of VMs; counts as one call."""
        ...
