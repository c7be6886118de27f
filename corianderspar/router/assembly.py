"""Assembly of the services of one router daemon into an application."""

from typing import NamedTuple

from corianderspar import channel
from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import cold_engines
from corianderspar.router import edge
from corianderspar.router import engine_calls
from corianderspar.router import membership
from corianderspar.router import placement
from corianderspar.router import plain_calls
from corianderspar.router import plain_placement
from corianderspar.router import process_checks
from corianderspar.router import quarantine
from corianderspar.router import rate_limiter
from corianderspar.router import retries
from corianderspar.router import store
from corianderspar.router import store_view
from corianderspar.router import stream_origins
from corianderspar.router import telemetry
from corianderspar.router import token_buckets
from corianderspar.router import upstream_notices
from corianderspar.router import upstream_pace
from corianderspar.router import upstream_permits
from corianderspar.router import upstreams


class Bounds(NamedTuple):
    """Guarantees to callers and tolerances, set by the operator.

    Attributes
    ----------
    max_staleness_seconds : float
        Greatest staleness at which client keys are still accepted.
    grace_seconds : float
        Time from SIGTERM until the process is killed.
    limit_tolerance : LimitTolerance
        As in `token_buckets.TokenBuckets`.
    retry_ratio, retry_slack, retry_window : float
        As in `retry_budget.RetryBudget`.
    start_policy : StartPolicy
        As in `store_view.StoreView`.
    cold_excess, cold_slack : float
        As in `cold_engines.ColdBound`.
    has_plain_homes : bool
        Whether, in a large fleet, the home of a plain service places its
        requests.
    has_slow_start : bool
        Whether new and returned upstreams get few requests at first.
    max_change_seconds : float
        As in `edge.Edge`.
    """

    max_staleness_seconds: float = 5.0
    grace_seconds: float = 8.0
    limit_tolerance: token_buckets.LimitTolerance = (
        token_buckets.LimitTolerance()
    )
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window: float = 10.0
    start_policy: store_view.StartPolicy = store_view.StartPolicy.STORE
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    has_plain_homes: bool = False
    has_slow_start: bool = False
    max_change_seconds: float = 2.0


class Adapters(NamedTuple):
    """Implementations of the interfaces that a daemon depends on."""

    channel: channel.Channel
    store: store.StoreClient
    calls: upstreams.UpstreamCalls
    caller_format: edge.CallerFormat


def add_services(
    app: kernel.Application,
    adapters: Adapters,
    bounds: Bounds,
    address: str,
    seeds: list[str],
) -> edge.Edge:
    """Register all services of a daemon; return the one for callers.

    Parameters
    ----------
    app : Application
        Receives the services.
    adapters : Adapters
        Adapters to real systems, or in-memory fakes.
    bounds : Bounds
        Guarantees and tolerances.
    address : str
        Address at which peers reach the daemon, ip:port.
    seeds : list of str
        Addresses of peers to contact first; some may be down.
    """
    edge_service = edge.Edge(
        adapters.caller_format,
        bounds.max_staleness_seconds,
        bounds.max_change_seconds,
    )
    for service in (
        peers.Peers(adapters.channel),
        membership.Membership(address, seeds),
        store_view.StoreView(adapters.store, bounds.start_policy),
        upstream_permits.UpstreamPermits(
            adapters.calls,
            cold_engines.ColdBound(bounds.cold_excess, bounds.cold_slack),
        ),
        upstream_pace.UpstreamPace(bounds.has_slow_start),
        placement.Placement(),
        plain_placement.PlainPlacement(bounds.has_plain_homes),
        upstream_notices.UpstreamNotices(adapters.calls),
        retries.RetryBudgets(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        ),
        quarantine.Quarantine(adapters.calls),
        process_checks.ProcessChecks(adapters.calls),
        stream_origins.StreamOrigins(
            bounds.start_policy is store_view.StartPolicy.PEERS_AT_FIRST_START
        ),
        rate_limiter.RateLimiter(bounds.limit_tolerance),
        telemetry.Telemetry(),
        engine_calls.EngineCalls(adapters.calls),
        plain_calls.PlainCalls(adapters.calls),
        edge_service,
    ):
        app.add(service)
    return edge_service
