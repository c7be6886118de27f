"""Puts the services of one daemon of the router into an application."""

from typing import NamedTuple

from corianderspar import channel as channels
from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import allowance
from corianderspar.router import beliefs
from corianderspar.router import edge
from corianderspar.router import engine_calls
from corianderspar.router import fleet
from corianderspar.router import placement
from corianderspar.router import plain_calls
from corianderspar.router import quarantine
from corianderspar.router import quota
from corianderspar.router import retries
from corianderspar.router import store
from corianderspar.router import telemetry
from corianderspar.router import upstreams


class Bounds(NamedTuple):
    """What the operator promises and allows.

    Attributes
    ----------
    proof_seconds : float
        Oldest proof that a key is still valid.
    grace_seconds : float
        From SIGTERM until the process is killed.
    beyond_limits : Allowed
        As in `quota.Quota`.
    retry_ratio, retry_slack, retry_window : float
        As in `budget.RetryBudget`.
    """

    proof_seconds: float = 5.0
    grace_seconds: float = 8.0
    beyond_limits: quota.Allowed = quota.Allowed()
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window: float = 10.0


class Outside(NamedTuple):
    """What a daemon meets through its seams."""

    channel: channels.Channel
    store: store.StoreClient
    calls: upstreams.UpstreamCalls
    form: edge.CallerFormat


def add_services(
    app: kernel.Application,
    outside: Outside,
    bounds: Bounds,
    address: str,
    seeds: list[str],
) -> edge.Edge:
    """Register all services of a daemon; return its callers' side.

    Parameters
    ----------
    app : Application
        Gets the services.
    outside : Outside
        Real adapters, or their in-memory twins.
    bounds : Bounds
        What must be kept.
    address : str
        Where peers reach the daemon, ip:port.
    seeds : list of str
        Addresses of daemons that may be alive.
    """
    callers = edge.Edge(outside.form, bounds.proof_seconds)
    for service in (
        peers.Peers(outside.channel),
        fleet.Fleet(address, seeds),
        beliefs.Beliefs(outside.store),
        placement.Placement(),
        retries.Retries(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        ),
        quarantine.Quarantine(),
        allowance.Allowance(bounds.beyond_limits),
        telemetry.Telemetry(),
        engine_calls.EngineCalls(outside.calls),
        plain_calls.PlainCalls(outside.calls),
        callers,
    ):
        app.add(service)
    return callers
