"""A caller's authenticated request, and the error that ends its handling."""

from typing import Any
from typing import NamedTuple

from expression import Result

from corianderspar import problems
from corianderspar import redaction
from corianderspar import routes

TICKET_HEADER = 'corianderspar-ticket'


class RequestContext(NamedTuple):
    """A caller's request, with its route and account.

    Attributes
    ----------
    request_id : str
        Identifies the request in answers, in logs and to upstreams.
    matched : RouteMatch
        Its route.
    account, key_digest : str
        The client account of the request's API key, and the key's digest;
        both are empty on an open route without a valid key.
    path : str
        The normalised path.
    request : RedactedRequest
        Headers, query and body without the key.
    arrived : float
        Monotonic seconds at which its head was read.
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
        """Ticket from the request's header; empty if there is none."""
        return dict(self.request.headers).get(TICKET_HEADER, '')

    def remaining(self, now: float) -> float:
        """Return the seconds left of the timeout; at least 0."""
        elapsed = now - self.arrived
        return max(0.0, self.matched.entry.limits.timeout - elapsed)


class RequestError(Exception):
    """The request ends with an error answer of the daemon's own.

    Parameters
    ----------
    problem : Problem
        The content of the error answer.
    """

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(problem.code)
        self.problem = problem


def unwrap(result: Result[Any, problems.Problem]) -> Any:
    """Return the value of a result.

    Raises
    ------
    RequestError
        If the result is an error.
    """
    if result.is_error():
        raise RequestError(result.error)
    return result.ok
