"""Choice of the upstream for a request to a pool of plain services."""

import collections
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from corianderspar import catalogue
from corianderspar import decoding
from corianderspar import kernel
from corianderspar import outliers
from corianderspar import plain_client

LEAVING_SECONDS = 30.0  # without new requests, per notice of an upstream
HOP_SECONDS = 0.5  # taken off the remaining time at each hop of gossip
MAX_LEAVING_IN_HEARTBEAT = 32

ClientFactory = Callable[[str, catalogue.Upstream], plain_client.PlainClient]


class _PoolLocation(NamedTuple):
    """The part of a pool in one data centre."""

    pool: str
    data_centre: str


class UpstreamSelector:
    """Chooses among the plain upstreams of the catalogue.

    Holds their clients, the requests in flight, the ejected upstreams and
    those that announced that they are leaving.

    Parameters
    ----------
    app : kernel.Application
        Gives time, randomness and the own data centre.
    client_factory : callable
        Makes the client of an upstream from its name and catalogue entry.
    """

    def __init__(
        self, app: kernel.Application, client_factory: ClientFactory
    ) -> None:
        self.outlier_detector = outliers.OutlierDetector(app.clock)
        self.in_flight_by_name: collections.Counter[str] = (
            collections.Counter()
        )
        self._app = app
        self._client_factory = client_factory
        self._entries_by_name: dict[str, catalogue.Upstream] = {}
        self._clients_by_name: dict[str, plain_client.PlainClient] = {}
        self._names_by_location: dict[_PoolLocation, list[str]] = {}
        self._data_centres_by_pool: dict[str, list[str]] = {}
        self._leaving_until_by_name: dict[str, float] = {}

    def adopt(
        self,
        found: catalogue.Catalogue,
        _before: catalogue.Catalogue | None = None,
    ) -> None:
        """Adopt a catalogue; keep the clients of unchanged addresses."""
        entries = {
            name: entry
            for name, entry in found.upstreams_by_name.items()
            if entry.kind == 'plain'
        }
        for name, entry in list(self._entries_by_name.items()):
            kept = entries.get(name)
            if kept is None or kept.address != entry.address:
                self._clients_by_name.pop(name, None)
                self._leaving_until_by_name.pop(name, None)
                self.outlier_detector.forget([name])
        self._entries_by_name = entries
        self._names_by_location = {}
        for name in sorted(entries):
            entry = entries[name]
            if not entry.leaving:
                location = _PoolLocation(entry.pool, entry.data_centre)
                self._names_by_location.setdefault(location, []).append(name)
        self._data_centres_by_pool = {}
        for location in sorted(self._names_by_location):
            self._data_centres_by_pool.setdefault(location.pool, []).append(
                location.data_centre
            )

    def client(self, name: str) -> plain_client.PlainClient | None:
        """Return an upstream's client; None if the catalogue lacks it."""
        client = self._clients_by_name.get(name)
        entry = self._entries_by_name.get(name)
        if client is None and entry is not None:
            client = self._client_factory(name, entry)
            self._clients_by_name[name] = client
        return client

    def choose(
        self, pool: str, repeatable: bool, excluded: list[str]
    ) -> str | None:
        """Return an upstream for a request, or None if there is none.

        Parameters
        ----------
        pool : str
            Name of the pool.
        repeatable : bool
            Whether the request is idempotent.
        excluded : list of str
            Upstreams to which the request was sent before.

        Returns
        -------
        str or None
            Of two random upstreams the one with fewer requests in flight
            (power of two choices). Other data centres are used only if the
            own one has no upstream left.
        """
        own = self._app.identity.data_centre
        names = self._usable(_PoolLocation(pool, own), repeatable, excluded)
        if not names:
            for data_centre in self._data_centres_by_pool.get(pool, ()):
                if data_centre != own:
                    location = _PoolLocation(pool, data_centre)
                    names += self._usable(location, repeatable, excluded)
        if len(names) <= 1:
            return names[0] if names else None
        first, second = self._app.rng.sample(names, 2)
        in_flight = self.in_flight_by_name
        return second if in_flight[second] < in_flight[first] else first

    def begin(self, name: str) -> None:
        """Count a request that is being sent to an upstream."""
        self.in_flight_by_name[name] += 1
        self.outlier_detector.begin(name)

    def end(self, name: str) -> None:
        """Count the end of a request at an upstream."""
        self.in_flight_by_name[name] -= 1
        if not self.in_flight_by_name[name]:
            del self.in_flight_by_name[name]

    def mark_leaving(
        self, name: str, seconds: float = LEAVING_SECONDS
    ) -> bool:
        """Send no new requests to an upstream for some time.

        Parameters
        ----------
        name : str
            The upstream.
        seconds : float
            How long, at most `LEAVING_SECONDS`.

        Returns
        -------
        bool
            Whether it was not yet known to be leaving.
        """
        if name not in self._entries_by_name:
            return False
        until = self._app.clock.monotonic() + min(seconds, LEAVING_SECONDS)
        known = self._leaving_until_by_name.get(name, float('-inf'))
        self._leaving_until_by_name[name] = max(until, known)
        if known >= self._app.clock.monotonic():
            return False
        self._app.events.add('upstream.leaving', upstream=name)
        return True

    def provide_leaving(self, _vm: str) -> bytes | None:
        """Return the heartbeat section: seconds left, by leaving upstream."""
        now = self._app.clock.monotonic()
        for name, until in list(self._leaving_until_by_name.items()):
            if until <= now:
                del self._leaving_until_by_name[name]
        if not self._leaving_until_by_name:
            return None
        seconds_by_name = {
            name: round(until - now, 1)
            for name, until in list(self._leaving_until_by_name.items())[
                -MAX_LEAVING_IN_HEARTBEAT:
            ]
        }
        return msgspec.msgpack.encode(seconds_by_name)

    def accept_leaving(self, content: bytes) -> bool:
        """Adopt the leaving upstreams of a peer's heartbeat.

        Returns
        -------
        bool
            Whether any was not yet known to be leaving.
        """
        try:
            seconds_by_name = msgspec.msgpack.decode(
                content, type=dict[str, float]
            )
        except decoding.ERRORS:
            return False
        is_new = False
        for name, seconds in seconds_by_name.items():
            # The remaining time shrinks with each hop. Otherwise peers
            # could pass an entry back and forth and keep it alive.
            if seconds > HOP_SECONDS:
                is_new |= self.mark_leaving(name, seconds - HOP_SECONDS)
        return is_new

    def _usable(
        self, location: _PoolLocation, repeatable: bool, excluded: list[str]
    ) -> list[str]:
        now = self._app.clock.monotonic()
        staying = [
            name
            for name in self._names_by_location.get(location, ())
            if self._leaving_until_by_name.get(name, now) <= now
        ]
        usable = self.outlier_detector.usable(staying, repeatable)
        return [name for name in usable if name not in excluded]
