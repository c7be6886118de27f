"""Interface to plain services: one request and its reply."""

from typing import NamedTuple
from typing import Protocol

from expression import Result


class PlainCall(NamedTuple):
    """A request as sent to a plain service, without credentials.

    Attributes
    ----------
    request_id : str
        The sender's incarnation, then ``#`` and the number of the attempt.
    method, path, query : str
        As the caller sent them.
    headers : tuple of (str, str)
        In order.
    body : bytes
        Complete body.
    timeout : float
        Seconds until the caller's deadline.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float


class PlainReply(NamedTuple):
    """A complete reply of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainError(NamedTuple):
    """Why there is no reply.

    Attributes
    ----------
    code : str
        ``unreachable``, ``died`` (the connection broke), ``timeout``,
        ``leaving`` (the service shuts down and states that it did not run
        the request), ``invalid`` (the request cannot be written as HTTP) or
        ``too_large`` (the reply's body exceeds the client's limit).
    sent : bool
        Whether any byte of the request may have been sent. False is a
        guarantee that none was.
    """

    code: str
    sent: bool


class PlainClient(Protocol):
    """Client of one plain service."""

    async def send(self, call: PlainCall) -> Result[PlainReply, PlainError]:
        """Send a request once, over a connection of its own."""
        ...
