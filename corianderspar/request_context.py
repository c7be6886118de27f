"""A caller's request that was let in, and how work on it ends early."""

from typing import Any
from typing import NamedTuple

from expression import Result

from corianderspar import problems
from corianderspar import redaction
from corianderspar import routes

TICKET_HEADER = 'corianderspar-ticket'


class RequestContext(NamedTuple):
    """A caller's request, known to be allowed.

    Attributes
    ----------
    request_id : str
        Names it in answers, logs and towards upstreams.
    matched : RouteMatch
        Its route.
    account, key_digest : str
        Whose key came with it, and the key's digest; empty on open routes
        that were called without one.
    path : str
        Normalised.
    request : RedactedRequest
        Headers, query and body, free of the key.
    arrived : float
        Monotonic seconds.
    """

    request_id: str
    matched: routes.RouteMatch
    account: str
    key_digest: str
    path: str
    request: redaction.RedactedRequest
    arrived: float

    @property
    def ticket(self) -> str:
        """The ticket that came with it; empty for none."""
        return dict(self.request.headers).get(TICKET_HEADER, '')

    def remaining(self, now: float) -> float:
        """Return the seconds left of the time for the request."""
        spent = now - self.arrived
        return max(0.0, self.matched.entry.limits.timeout - spent)


class RequestError(Exception):
    """Ends the work on a request with a problem for its caller."""

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(problem.code)
        self.problem = problem


def unwrap(result: Result[Any, problems.Problem]) -> Any:
    """Return what is in a result, or raise `RequestError`."""
    if result.is_error():
        raise RequestError(result.error)
    return result.ok
