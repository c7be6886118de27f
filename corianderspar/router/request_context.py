"""One caller's request on its way through this daemon."""

from typing import NamedTuple

from corianderspar import http_io
from corianderspar import problems
from corianderspar.router import model

DEFAULT_RETRY_SECONDS = 0.4  # to come back where nothing better is known
RETURNED_SECONDS = 0.3  # that a caller has spent before it asks here


class RequestError(Exception):
    """The request gets a final answer of our own.

    Parameters
    ----------
    problem : Problem
        What the caller is told.
    """

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(problem.code)
        self.problem = problem


class RouteMatch(NamedTuple):
    """What the configuration says of a request.

    Attributes
    ----------
    version : int
        Of the configuration.
    route : Route
        Where it goes.
    service : Service
        The one that was drawn for it.
    account : Account or None
        None on a public route.
    """

    version: int
    route: model.Route
    service: model.Service
    account: model.Account | None


class RequestContext:
    """A request, and what is known of its runs.

    Parameters
    ----------
    exchange : Exchange
        The way back to the caller.
    request : CallerRequest
        What was asked.
    matched : RouteMatch
        What the configuration says of it.
    arrived : float
        Monotonic seconds at which its head was read.

    Attributes
    ----------
    ends_at : float
        Monotonic seconds at which the caller must have its answer.
    ran_on : int
        Upstreams on which it ran or may have run.
    sends : int
        Times it was sent to an upstream.
    reached, reads : int
        Sends that may have reached one; those to have its prompt read are
        counted apart.
    stage, upstream : str
        For the log: what it is doing, and where it was sent last.
    """

    def __init__(
        self,
        exchange: http_io.Exchange,
        request: model.CallerRequest,
        matched: RouteMatch,
        arrived: float,
    ) -> None:
        self.exchange = exchange
        self.request = request
        self.matched = matched
        self.arrived = arrived
        self.ends_at = arrived + min(request.timeout, matched.route.timeout)
        self.ran_on = 0
        self.sends = 0
        self.reached = 0
        self.reads = 0
        self.stage = 'admitted'
        self.upstream = ''

    @property
    def account(self) -> str:
        """Name of the client account; empty on a public route."""
        account = self.matched.account
        return account.name if account else ''

    @property
    def has_returned(self) -> bool:
        """Whether the caller was refused before.

        Callers have the time that their route allows when they ask first;
        one that names less has spent the rest elsewhere.
        """
        short = self.matched.route.timeout - self.request.timeout
        return short > RETURNED_SECONDS

    @property
    def tokens(self) -> int:
        """What the client account is charged."""
        if self.request.token_counts is not None:
            return self.request.token_counts.total
        account = self.matched.account
        return account.default_tokens if account else 0

    @property
    def priority(self) -> int:
        """Rank, 0 first."""
        account = self.matched.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.matched.route.priority

    def remaining(self, now: float) -> float:
        """Return seconds until the caller must have its answer."""
        return self.ends_at - now

    def refused(
        self, code: str, message: str, wait: float = DEFAULT_RETRY_SECONDS
    ) -> RequestError:
        """Return the final answer to a request that is given up.

        It says ``not run`` only if that is sure.
        """
        if self.ran_on:
            return RequestError(
                problems.Problem(code, 502, 'unknown', message)
            )
        return RequestError(problems.Problem(code, 503, 'no', message, wait))
