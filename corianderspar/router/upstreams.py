"""The interface through which upstreams are called."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import enum
from typing import NamedTuple
from typing import Protocol

from expression import Result

from corianderspar import http_io
from corianderspar.router import model


class Fault(enum.Enum):
    """Why a call gave no answer to pass on.

    After ``NOT_SENT`` and ``REFUSED`` the request is known not to have run;
    after ``BROKEN`` it may have run.
    """

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    BROKEN = 'broken'


class Failure(NamedTuple):
    """A call that gave no answer.

    Attributes
    ----------
    fault : Fault
        Whether the request may have run.
    detail : str
        Cause, for the log and for refusals.
    misdirected : bool
        Whether another process now has the upstream's address.
    is_alive : bool
        Whether the upstream still sent when the call was given up.
    """

    fault: Fault
    detail: str
    misdirected: bool = False
    is_alive: bool = False


class CallOptions(NamedTuple):
    """Metadata sent with a request to an upstream.

    Attributes
    ----------
    account : str
        The client account; empty on a public route.
    remaining : float
        Seconds until the deadline.
    priority : int or None
        Priority at engines, 0 is the highest; None for their default.
    after_event : int or None
        Number of the last event that the caller has, to resume after it.
    max_answer_bytes : int
        Maximum size of the answer's body; a longer one is broken off.
    """

    account: str
    remaining: float
    priority: int | None = None
    after_event: int | None = None
    max_answer_bytes: int = model.MIN_ANSWER_BYTES


class PrefillHandle(NamedTuple):
    """The KV cache of a prefilled prompt, kept for a decode engine.

    Attributes
    ----------
    upstream : Upstream
        The prefill engine that keeps it.
    handle : str
        Identifier at that engine.
    """

    upstream: model.Upstream
    handle: str


class Notice(NamedTuple):
    """What an answer states about its upstream, besides the answer.

    Attributes
    ----------
    is_leaving : bool
        Whether the upstream announces that it is about to leave.
    is_replaced : bool
        Whether another instance has the upstream's address.
    pause : float or None
        Seconds for which the upstream, which refused a request, wants no
        further ones from this daemon; None if it does not ask for that.
    unreadable_pause : str
        Value of a pause that is no time; empty if there is none.
    limit : float or None
        Requests per second that the upstream accepts from all daemons
        together; None if it states no limit.
    unreadable_limit : str
        Value of a limit that is no rate; empty if there is none.
    cold_left : float
        Seconds for which the upstream stays cold.
    unreadable_cold : str
        Value of such a time that is none; empty if there is none.
    is_health_report : bool
        Whether it is the answer to a health check, which states no limit.
    """

    is_leaving: bool = False
    is_replaced: bool = False
    pause: float | None = None
    unreadable_pause: str = ''
    limit: float | None = None
    unreadable_limit: str = ''
    cold_left: float = 0.0
    unreadable_cold: str = ''
    is_health_report: bool = False


NoticeHook = Callable[[model.Upstream, Notice], None]


class Answer(Protocol):
    """An answer whose status and headers have arrived."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        ...

    @property
    def headers(self) -> http_io.Headers:
        """Return the headers to pass on to the caller."""
        ...

    @property
    def is_genuine(self) -> bool:
        """Return whether the answer is proven to be the upstream's own."""
        ...

    @property
    def connected_at(self) -> float:
        """Return when its connection was open, seconds of the event loop."""
        ...

    @property
    def is_framed(self) -> bool:
        """Return whether the answer states where it ends.

        Else it ends with its connection, and one that broke off may look
        complete.
        """
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises
        ------
        UpstreamError
            If the body ends early; see `connections.UpstreamError`.
        """
        ...

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        UpstreamError
            If the body ends early or is too long.
        """
        ...

    def close(self) -> None:
        """Close the call; an upstream that is still running it stops."""
        ...


class UpstreamCalls(Protocol):
    """Calls to upstreams. No call is retried.

    Attributes
    ----------
    on_notice : list of callable
        Hooks called with the upstream and the notice of each answer of its
        own, when the head was read.
    """

    on_notice: list[NoticeHook]

    async def connect(
        self, upstream: model.Upstream, timeout: float | None = None
    ) -> Result[None, Failure]:
        """Connect unless a kept connection is open; send no request.

        Parameters
        ----------
        upstream : Upstream
            Where to connect.
        timeout : float or None
            Seconds that it may take; at most as many as for a request. None
            if the request is not there yet.
        """
        ...

    async def started_ms(
        self, upstream: model.Upstream
    ) -> Result[int, Failure]:
        """Return when the process at an upstream's address started.

        Unix milliseconds, as in `model.Upstream`; 0 if it does not tell.
        """
        ...

    async def run(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: CallOptions,
        source: PrefillHandle | None = None,
    ) -> Result[Answer, Failure]:
        """Run a request.

        Parameters
        ----------
        upstream : Upstream
            Where to run it.
        request : CallerRequest
            Sent unchanged.
        options : CallOptions
            Sent with the request.
        source : PrefillHandle or None
            The prefilled prompt to decode from, if there is one.
        """
        ...

    async def prefill(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: CallOptions,
    ) -> Result[PrefillHandle, Failure]:
        """Prefill a request's prompt."""
        ...

    async def release(self, handle: PrefillHandle) -> None:
        """Free a prefilled prompt that is not needed; ignore errors."""
        ...
