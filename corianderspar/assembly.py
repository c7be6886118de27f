"""Assembly of the services of one daemon into an application."""

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
    """Implementations of the interfaces that a daemon depends on.

    Attributes
    ----------
    channel : Channel
        Transport to the other daemons.
    platform : PlatformClient
        Source of the configuration and of the VM list.
    engines, services : callable
        Called with the name and the entry of an upstream; returns its
        client.
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
    """Addresses at which a daemon is reached, each ip:port."""

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
        Name and location of the VM.
    addresses : Addresses
        Addresses that heartbeats announce to the peers.
    adapters : Adapters
        Adapters to real systems, or in-memory fakes.
    limits : LimitSettings or None
        Limits of one daemon; None for the defaults.
    shares : ShareSettings or None
        Timing that rate limits rely on; None for the defaults.
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
    drain_settings = drain.Settings(
        limits.drain_seconds, limits.replay_seconds
    )
    app.add(drain.Drain(drain_settings))
    app.add(edge.Edge(limits))
