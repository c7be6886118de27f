"""Interface to the platform's configuration service and its VM list.

The router only reads; operators write the values.
"""

from typing import NamedTuple
from typing import Protocol

from expression import Result

MAX_VALUE_BYTES = 1 << 20


class Value(NamedTuple):
    """A value in the configuration service.

    Attributes
    ----------
    revision : int
        Increases with each change of this value.
    data : bytes
        At most `MAX_VALUE_BYTES`.
    """

    revision: int
    data: bytes


class ListedVm(NamedTuple):
    """A VM on the platform's list.

    Attributes
    ----------
    name, data_centre, region : str
        Name of the VM and its location.
    peer_address, http_address : str
        Addresses for other daemons and for callers, ip:port.
    leaving : bool
        Whether the platform is removing it.
    """

    name: str
    data_centre: str
    region: str
    peer_address: str
    http_address: str = ''
    leaving: bool = False


class VmList(NamedTuple):
    """The platform's list of VMs, which may be out of date.

    Attributes
    ----------
    revision : int
        Increases with each change.
    vms : tuple of ListedVm
        Live and leaving VMs of the whole fleet.
    """

    revision: int
    vms: tuple[ListedVm, ...]


class PlatformError(NamedTuple):
    """Why a call to the platform failed.

    Attributes
    ----------
    code : str
        ``unreachable``, ``missing`` (there is no such value) or
        ``malformed`` (the answer could not be decoded).
    """

    code: str


class PlatformClient(Protocol):
    """Client of the platform.

    Each method counts as one call to the platform; so does a watch, however
    long it waits.
    """

    async def read(self, key: str) -> Result[Value, PlatformError]:
        """Read a value."""
        ...

    async def watch(
        self, key: str, revision: int, wait: float
    ) -> Result[Value | None, PlatformError]:
        """Wait for a revision of a value above ``revision``.

        Parameters
        ----------
        key : str
            Key of the value.
        revision : int
            Newest revision that the caller has; 0 for none.
        wait : float
            Maximum seconds to wait.

        Returns
        -------
        Result
            The value, or None if it did not change during the wait.
        """
        ...

    async def vms(self) -> Result[VmList, PlatformError]:
        """Read the list of VMs."""
        ...
