"""The state of one caller's request while this daemon handles it."""

import asyncio
import functools
from typing import NamedTuple

from corianderspar import http_io
from corianderspar import problems
from corianderspar.router import jobs
from corianderspar.router import model
from corianderspar.router import plain_scheduler
from corianderspar.router import poison
from corianderspar.router import process_checks

DEFAULT_RETRY_SECONDS = 0.4  # ``retry_after`` where no better value is known


class RequestError(Exception):
    """The request ends with an error answer of the router's own.

    Parameters
    ----------
    problem : Problem
        What the caller is told.
    """

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(problem.code)
        self.problem = problem


class RouteMatch(NamedTuple):
    """The part of the configuration that applies to a request.

    Attributes
    ----------
    version : int
        Of the configuration.
    route : Route
        The route with the longest matching prefix.
    service : Service
        The one of the route's services that was chosen for the request.
    account : Account or None
        The client account; None on a public route.
    """

    version: int
    route: model.Route
    service: model.Service
    account: model.Account | None


class UpstreamRun:
    """A send of a request to an upstream that may have begun to answer it.

    Parameters
    ----------
    upstream : Upstream
        The upstream, as registered when the request was sent.

    Attributes
    ----------
    is_framed : bool
        Whether the answer states its end; else it ends with its connection,
        and one that broke may look complete.
    first_event_at : float or None
        Monotonic seconds at which its first event was passed on, or its whole
        answer arrived.
    has_survived : bool
        Whether an event followed long enough after the first one to say that
        the request does not crash engines.
    is_suspected : bool
        Whether its upstream was reported as silent and sent nothing since.
    is_connecting : bool
        Whether there is no connection for it yet, so that it has surely not
        run if it is given up now.
    """

    def __init__(self, upstream: model.Upstream) -> None:
        self.upstream = upstream
        self.is_framed = True
        self.first_event_at: float | None = None
        self.has_survived = False
        self.is_suspected = False
        self.is_connecting = False


class RequestContext:
    """A request, and the state of its sends to upstreams.

    Parameters
    ----------
    exchange : Exchange
        Where the answer goes.
    request : CallerRequest
        What the caller sent.
    matched : RouteMatch
        The route, service and account.
    arrived : float
        Monotonic seconds at which its head was read.

    Attributes
    ----------
    deadline : float
        Monotonic seconds at which the caller must have its answer.
    run_count : int
        Upstreams on which it ran or may have run.
    send_count : int
        Times it was sent to an upstream, other than for prefill.
    reached_count : int
        Those of the sends that may have reached an upstream.
    prefill_count : int
        Sends for prefill that may have reached an upstream.
    has_prefill_budget : bool
        Whether the next send for prefill is already counted as a retry.
    is_stopped : bool
        Whether its processing was ended because the daemon shuts down.
    stage, upstream : str
        What it is doing, and the instance that it was last sent to; for logs
        and error messages.
    engine_run : UpstreamRun or None
        The send to a decode engine whose answer is passed on.
    origin : StreamOrigin or None
        What began the stream, once its caller has an event of it. Only an
        upstream of the same service and version may go on with it.
    begun : BegunStream or None
        The stream, if it began at an engine within this request.
    crash_checks : set of Task
        Find out whether upstreams of earlier sends crashed.
    probed : tuple of str
        The convicted suspects that it tests.
    plain_grant : HeldGrant or None
        The grant of a plain service's home that no send has used yet.
    plain_refusal : Refusal or None
        The home's refusal.
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
        self.deadline = arrived + min(request.timeout, matched.route.timeout)
        self.run_count = 0
        self.send_count = 0
        self.reached_count = 0
        self.prefill_count = 0
        self.has_prefill_budget = False
        self.is_stopped = False
        self.stage = 'admitted'
        self.upstream = ''
        self.engine_run: UpstreamRun | None = None
        self.origin: model.StreamOrigin | None = None
        self.begun: process_checks.BegunStream | None = None
        self.crash_checks: set[asyncio.Task[None]] = set()
        self.probed: tuple[str, ...] = ()
        self.plain_grant: plain_scheduler.HeldGrant | None = None
        self.plain_refusal: jobs.Refusal | None = None

    @property
    def account(self) -> str:
        """Name of the client account; empty on a public route."""
        account = self.matched.account
        return account.name if account else ''

    @property
    def account_weight(self) -> float:
        """Share of the account within its rank; 0 if it has no rate."""
        account = self.matched.account
        return account.rate if account else 0.0

    @functools.cached_property
    def fingerprint(self) -> str:
        """Equal for each send of the same request."""
        return poison.request_fingerprint(self.request, self.account)

    @functools.cached_property
    def suspects(self) -> tuple[str, ...]:
        """What may be to blame if its upstream crashes.

        The parts of its prompt, and the request as a whole.
        """
        return (
            *self.request.prompt_parts,
            poison.SUSPECT_PREFIX + self.fingerprint,
        )

    def may_go_on_at(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream may send the next events."""
        return self.origin in (
            None,
            model.StreamOrigin(upstream.service, upstream.version),
        )

    @property
    def tokens(self) -> int:
        """Tokens that the client account is charged."""
        if self.request.token_counts is not None:
            return self.request.token_counts.total
        account = self.matched.account
        return account.default_tokens if account else 0

    @property
    def priority(self) -> int:
        """Priority of the account, or else of the route; 0 is the highest."""
        account = self.matched.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.matched.route.priority

    def remaining(self, now: float) -> float:
        """Return seconds until the deadline."""
        return self.deadline - now

    def return_after(self, seconds: float, now: float) -> float:
        """Return the seconds after which a refused caller is to return.

        Parameters
        ----------
        seconds : float
            Until its request is likely to be served.
        now : float
            Monotonic seconds.
        """
        return min(seconds, max(self.remaining(now), 0.0) * jobs.RETURN_SHARE)

    def error(
        self,
        code: str,
        message: str,
        retry_after: float = DEFAULT_RETRY_SECONDS,
    ) -> RequestError:
        """Return the error that ends the request.

        Its problem says ``ran='no'`` only if the request surely did not run.
        """
        if self.run_count:
            return RequestError(
                problems.Problem(code, 502, 'unknown', message)
            )
        return RequestError(
            problems.Problem(code, 503, 'no', message, retry_after)
        )
