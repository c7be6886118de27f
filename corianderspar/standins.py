"""Stand-ins for all that a daemon meets, on real loopback sockets."""

import random
import socket
from typing import Any
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import clock as clocks
from corianderspar import engine_server
from corianderspar import fake_engine
from corianderspar import fake_platform
from corianderspar import http_server
from corianderspar import keys
from corianderspar import plain_server
from corianderspar import platform_client
from corianderspar import platform_server
from corianderspar import shards

MODEL = 'blurb-8b'
LINK_RATE = 2e9
ACCOUNT = 'naptar'


class Site(NamedTuple):
    """An engine to start: its name, data centre and role."""

    name: str
    data_centre: str
    role: Any


class Placed(NamedTuple):
    """An upstream and the server that stands in for it."""

    upstream: catalogue.Upstream
    server: http_server.HttpServer


class Standins:
    """Platform, engines and a plain service, each with its own port.

    Parameters
    ----------
    sites : tuple of Site
        The engines.
    seed : int
        Seed of their faults.

    Attributes
    ----------
    key : NewKey
        The key of the client account `ACCOUNT`.
    shop : Shop
        The plain service.
    accounts_by_name : dict of str to Account
        What the catalogue holds; add to it before `start`.
    """

    def __init__(self, sites: tuple[Site, ...], seed: int = 1) -> None:
        self.key = keys.new_key()
        self.shop = plain_server.Shop()
        places = sorted({site.data_centre for site in sites})
        shares = dict.fromkeys(places, 1.0 / len(places))
        self.accounts_by_name = {
            ACCOUNT: catalogue.Account(1e6, 4e6, shares, (self.key.digest,))
        }
        self.platform = fake_platform.FakePlatform()
        self._sites = sites
        self._rng = random.Random(seed)
        self._clock = clocks.SystemClock()
        self._network = fake_engine.FakeNetwork()
        self._placed_by_name: dict[str, Placed] = {}
        self._platform_server = http_server.HttpServer(None, '127.0.0.1:0')

    @property
    def platform_address(self) -> str:
        """Where the platform answers, ip:port."""
        return self._platform_server.address

    def address(self, name: str) -> str:
        """Return where an upstream answers, ip:port."""
        return self._placed_by_name[name].upstream.address

    async def start(self) -> None:
        """Start all servers and publish the catalogue."""
        for site in self._sites:
            await self._start_engine(site)
        await self._start_shop()
        self.platform.publish(shards.split(self.catalogue()))
        self._platform_server.app = platform_server.make_app(
            self.platform.client('all', self._clock)
        )
        await self._platform_server.start()

    async def stop(self) -> None:
        """Close all servers at once."""
        for placed in self._placed_by_name.values():
            await placed.server.abort()
        await self._platform_server.abort()

    def list_vms(self, vms: tuple[platform_client.ListedVm, ...]) -> None:
        """Publish the list of VMs."""
        self.platform.list_vms(vms)

    def catalogue(self, version: int = 1) -> catalogue.Catalogue:
        """Return a catalogue of what runs here."""
        return catalogue.Catalogue(
            version=version,
            entries_by_name=entries(),
            accounts_by_name=self.accounts_by_name,
            upstreams_by_name={
                name: placed.upstream
                for name, placed in self._placed_by_name.items()
            },
        )

    def expected_answer(self, prompt: str, max_tokens: int) -> str:
        """Return what the engines answer to a prompt."""
        length = min(max_tokens, fake_engine.answer_length(prompt))
        return ''.join(
            fake_engine.answer_token(prompt, position)
            for position in range(length)
        )

    async def _start_engine(self, site: Site) -> None:
        listener = http_server.HttpServer(None, '127.0.0.1:0')
        upstream = catalogue.Upstream(
            site.data_centre,
            listener.bind(),
            'engine',
            MODEL,
            site.role,
            LINK_RATE,
        )
        served = fake_engine.FakeEngine(
            self._clock, self._rng, site.name, upstream, self._network
        )
        listener.app = engine_server.make_app(served)
        await listener.start()
        self._placed_by_name[site.name] = Placed(upstream, listener)

    async def _start_shop(self) -> None:
        listener = http_server.HttpServer(
            plain_server.make_app(self.shop), '127.0.0.1:0'
        )
        upstream = catalogue.Upstream(
            self._sites[0].data_centre, listener.bind(), 'plain', 'shop'
        )
        await listener.start()
        self._placed_by_name['shop-1'] = Placed(upstream, listener)


def entries() -> dict[str, catalogue.Entry]:
    """Return the entries of a calendar publisher and its shop."""
    blurbs = catalogue.Route('/blurbs/v1/completions', 'engine', MODEL)
    orders = catalogue.Route(
        '/print/orders', 'plain', 'shop', repeatable=False
    )
    bookings = catalogue.Route('/bookings', 'plain', 'shop', repeatable=False)
    lookups = catalogue.Route('/catalogue', 'plain', 'shop', open=True)
    return {
        'editors': catalogue.Entry(
            'calendar desk', 'patient', {'blurbs': blurbs}
        ),
        'shop': catalogue.Entry(
            'shop desk', 'guarded', {'orders': orders, 'bookings': bookings}
        ),
        'counter': catalogue.Entry(
            'shop desk', 'ordinary', {'lookups': lookups}
        ),
    }


def free_address() -> str:
    """Return a loopback address whose port was free just now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'
