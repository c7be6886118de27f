"""The seam towards plain services: one call and its reply."""

from typing import NamedTuple
from typing import Protocol

from expression import Result


class PlainCall(NamedTuple):
    """A request to a plain service, free of keys and hop-by-hop headers.

    Attributes
    ----------
    request_id : str
        Starts with the incarnation that sent it, then ``#``.
    method, path, query : str
        As the caller sent them.
    headers : tuple of (str, str)
        In order.
    body : bytes
        Whole.
    timeout : float
        Seconds left of the caller's deadline.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float


class PlainReply(NamedTuple):
    """A plain service's whole reply."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainError(NamedTuple):
    """Why there is no reply.

    Attributes
    ----------
    code : str
        ``unreachable``, ``died``, ``timeout``, ``leaving`` (the service
        says that it ran nothing), ``invalid`` (the request can't be put
        on the wire) or ``too_large`` (the reply is beyond all bounds).
    sent : bool
        Whether a byte of the request could have left. False is certain.
    """

    code: str
    sent: bool


class PlainClient(Protocol):
    """One plain service, as the system sees it."""

    async def send(self, call: PlainCall) -> Result[PlainReply, PlainError]:
        """Send a request once, over a connection used for no other."""
        ...
