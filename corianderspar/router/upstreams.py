"""The seam towards upstreams: what a request can be sent for."""

from collections.abc import AsyncIterator
import enum
from typing import NamedTuple
from typing import Protocol

from expression import Result

from corianderspar import http_io
from corianderspar.router import model


class Fault(enum.Enum):
    """Why a call gave no answer to pass on.

    ``NOT_SENT`` and ``REFUSED`` say that the request surely did not run;
    ``BROKEN`` that it may have.
    """

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    BROKEN = 'broken'


class Failure(NamedTuple):
    """A call that gave no answer.

    Attributes
    ----------
    fault : Fault
        What is known of the request.
    detail : str
        For the log.
    misdirected : bool
        Whether another process has the upstream's address now.
    """

    fault: Fault
    detail: str
    misdirected: bool = False


class CallOptions(NamedTuple):
    """What goes along with a request to an upstream.

    Attributes
    ----------
    account : str
        The client account; empty on a public route.
    remaining : float
        Seconds after which the answer is of no use.
    priority : int or None
        Rank at engines, 0 first; None for theirs.
    after_event : int or None
        Number of the last event that the caller has.
    """

    account: str
    remaining: float
    priority: int | None = None
    after_event: int | None = None


class PrefillHandle(NamedTuple):
    """A prompt that was read and is kept for a decode engine.

    Attributes
    ----------
    upstream : Upstream
        Who keeps it.
    handle : str
        Its name there.
    """

    upstream: model.Upstream
    handle: str


class Answer(Protocol):
    """An answer that has begun."""

    @property
    def status(self) -> int:
        """Return its status."""
        ...

    @property
    def headers(self) -> http_io.Headers:
        """Return the headers that go to the caller."""
        ...

    @property
    def is_genuine(self) -> bool:
        """Return whether the upstream itself vouches for it."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `connections.UpstreamError` if it breaks."""
        ...

    def close(self) -> None:
        """End the call; an upstream still at work stops."""
        ...


class UpstreamCalls(Protocol):
    """What upstreams can be asked to do. Each call is made once."""

    async def connect(self, upstream: model.Upstream) -> Result[None, Failure]:
        """Connect, unless a connection is kept; nothing is sent."""
        ...

    async def run(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: CallOptions,
        source: PrefillHandle | None = None,
    ) -> Result[Answer, Failure]:
        """Run a request, from a prompt read elsewhere if there is one."""
        ...

    async def prefill(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: CallOptions,
    ) -> Result[PrefillHandle, Failure]:
        """Read a request's prompt."""
        ...

    async def release(self, handle: PrefillHandle) -> None:
        """Free a prompt that nobody will fetch; errors are ignored."""
        ...
