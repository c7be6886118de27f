"""Puts the services of one daemon together into an application."""

from collections.abc import Callable
import random
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import channel
from corianderspar import clock as clocks
from corianderspar import configuration
from corianderspar import dispatch
from corianderspar import drain
from corianderspar import edge
from corianderspar import engine
from corianderspar import kernel
from corianderspar import keys
from corianderspar import lease_tiers
from corianderspar import membership
from corianderspar import metrics
from corianderspar import peers
from corianderspar import placement
from corianderspar import plain_client
from corianderspar import platform_client
from corianderspar import rate_limiter
from corianderspar import settings

EngineFactory = Callable[[str, catalogue.Upstream], engine.EngineClient]
PlainFactory = Callable[[str, catalogue.Upstream], plain_client.PlainClient]


class Adapters(NamedTuple):
    """What an application meets through its seams.

    Attributes
    ----------
    channel : Channel
        To the other daemons.
    platform : PlatformClient
        Configuration and list of VMs.
    engines, services : callable
        Give the client of an upstream by its name.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    """

    channel: channel.Channel
    platform: platform_client.PlatformClient
    engines: EngineFactory
    services: PlainFactory
    clock: clocks.Clock
    rng: random.Random


class Addresses(NamedTuple):
    """Where a daemon is reached, each ip:port."""

    peers: str
    callers: str = ''


def assemble(
    identity: kernel.Identity,
    addresses: Addresses,
    adapters: Adapters,
    limits: settings.LimitSettings | None = None,
    shares: settings.ShareSettings | None = None,
) -> kernel.Application:
    """Return an application with all services of a daemon.

    Parameters
    ----------
    identity : Identity
        The VM and where it stands.
    addresses : Addresses
        What its peers are told.
    adapters : Adapters
        Real adapters, or their in-memory twins.
    limits : LimitSettings or None
        Bounds of the daemon; None for the defaults.
    shares : ShareSettings or None
        What limits rely on; None for the defaults.
    """
    app = kernel.Application(identity, adapters.clock, adapters.rng)
    add_services(app, addresses, adapters, limits, shares)
    return app


def add_services(
    app: kernel.Application,
    addresses: Addresses,
    adapters: Adapters,
    limits: settings.LimitSettings | None = None,
    shares: settings.ShareSettings | None = None,
) -> None:
    """Register all services of a daemon with an application."""
    limits = limits or settings.LimitSettings()
    shares = shares or settings.ShareSettings()
    app.add(metrics.Metrics())
    app.add(peers.Peers(adapters.channel))
    app.add(membership.Membership(addresses.peers, addresses.callers))
    app.add(configuration.Configuration(adapters.platform))
    app.add(keys.Authenticator())
    app.add(
        rate_limiter.RateLimiter(lease_tiers.TimingBounds(**shares._asdict()))
    )
    app.add(placement.Placement(adapters.engines))
    app.add(dispatch.Dispatch(adapters.services))
    times = drain.Settings(limits.drain_seconds, limits.replay_seconds)
    app.add(drain.Drain(times))
    app.add(edge.Edge(limits))
