"""A send of a request to an upstream of a plain service, and its answer."""

import asyncio
from typing import NamedTuple

from expression import Result

from corianderspar import http_io
from corianderspar import problems
from corianderspar.router import plain_scheduler
from corianderspar.router import request_context
from corianderspar.router import upstreams


class CompleteAnswer(NamedTuple):
    """An answer that was received to its end."""

    status: int
    headers: http_io.Headers
    body: bytes
    is_framed: bool

    @property
    def is_failure(self) -> bool:
        """Whether another upstream may do better.

        That includes refusals of an upstream that may have run the request.
        """
        return self.status >= 500 or self.is_untrue_refusal

    @property
    def is_untrue_refusal(self) -> bool:
        """Whether the caller would take it for a promise.

        An upstream that has not run the request says so, which is the fault
        `upstreams.Fault.REFUSED`.
        """
        return self.status in problems.NOT_RUN_STATUSES


SendResult = Result[CompleteAnswer, upstreams.Failure]


class Send(NamedTuple):
    """A request that was sent to an upstream.

    Attributes
    ----------
    number : int
        Counted from 1 for each request.
    run : UpstreamRun
        Where it was sent, and what is known of its answer.
    began : float
        Monotonic seconds.
    task : Task
        Ends with the whole answer or a failure.
    held : HeldGrant or None
        The grant of the home that placed it; None if this daemon chose.
    """

    number: int
    run: request_context.UpstreamRun
    began: float
    task: asyncio.Task[SendResult]
    held: plain_scheduler.HeldGrant | None
