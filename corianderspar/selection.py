"""Which upstream of a pool gets the next request."""

import collections
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from corianderspar import catalogue
from corianderspar import kernel
from corianderspar import outliers
from corianderspar import plain_client

LEAVING_SECONDS = 30.0
HOP_SECONDS = 0.5
MARKS_IN_HEARTBEAT = 32

ClientFactory = Callable[[str, catalogue.Upstream], plain_client.PlainClient]


class _Place(NamedTuple):
    """A pool in a data centre."""

    pool: str
    data_centre: str


class UpstreamSelector:
    """The plain upstreams of the catalogue and what is known of them.

    Parameters
    ----------
    app : kernel.Application
        Gives time, randomness and the own data centre.
    client_factory : callable
        Makes the client of an upstream from its name and entry.
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
        self._names_by_place: dict[_Place, list[str]] = {}
        self._data_centres_by_pool: dict[str, list[str]] = {}
        self._leaving_until_by_name: dict[str, float] = {}

    def adopt(
        self,
        found: catalogue.Catalogue,
        _before: catalogue.Catalogue | None = None,
    ) -> None:
        """Follow a catalogue; clients of unchanged entries are kept."""
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
        self._names_by_place = {}
        for name in sorted(entries):
            entry = entries[name]
            if not entry.leaving:
                place = _Place(entry.pool, entry.data_centre)
                self._names_by_place.setdefault(place, []).append(name)
        self._data_centres_by_pool = {}
        for place in sorted(self._names_by_place):
            self._data_centres_by_pool.setdefault(place.pool, []).append(
                place.data_centre
            )

    def client(self, name: str) -> plain_client.PlainClient | None:
        """Return an upstream's client; None if it is catalogued no more."""
        client = self._clients_by_name.get(name)
        entry = self._entries_by_name.get(name)
        if client is None and entry is not None:
            client = self._client_factory(name, entry)
            self._clients_by_name[name] = client
        return client

    def choose(
        self, pool: str, repeatable: bool, tried: list[str]
    ) -> str | None:
        """Return an upstream for a request, or None if there is none.

        Parameters
        ----------
        pool : str
            Name of the pool.
        repeatable : bool
            Whether the request is idempotent.
        tried : list of str
            Upstreams that had this request already.

        Returns
        -------
        str or None
            Of two drawn by chance the one with less in flight; from the
            own data centre unless that has none.
        """
        own = self._app.identity.data_centre
        names = self._usable(_Place(pool, own), repeatable, tried)
        if not names:
            for data_centre in self._data_centres_by_pool.get(pool, ()):
                if data_centre != own:
                    place = _Place(pool, data_centre)
                    names += self._usable(place, repeatable, tried)
        if len(names) <= 1:
            return names[0] if names else None
        first, second = self._app.rng.sample(names, 2)
        in_flight = self.in_flight_by_name
        return second if in_flight[second] < in_flight[first] else first

    def begin(self, name: str) -> None:
        """Take note that a request goes to an upstream now."""
        self.in_flight_by_name[name] += 1
        self.outlier_detector.begin(name)

    def end(self, name: str) -> None:
        """Take note that a request at an upstream ended."""
        self.in_flight_by_name[name] -= 1
        if not self.in_flight_by_name[name]:
            del self.in_flight_by_name[name]

    def mark_leaving(
        self, name: str, seconds: float = LEAVING_SECONDS
    ) -> bool:
        """Send no new work to an upstream for a while.

        Returns
        -------
        bool
            Whether that is news.
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
        """Return the marks for a heartbeat: seconds left by upstream."""
        now = self._app.clock.monotonic()
        for name, until in list(self._leaving_until_by_name.items()):
            if until <= now:
                del self._leaving_until_by_name[name]
        if not self._leaving_until_by_name:
            return None
        marks = {
            name: round(until - now, 1)
            for name, until in list(self._leaving_until_by_name.items())[
                -MARKS_IN_HEARTBEAT:
            ]
        }
        return msgspec.msgpack.encode(marks)

    def accept_leaving(self, content: bytes) -> bool:
        """Take the marks of a peer's heartbeat; True if one is news."""
        try:
            marks = msgspec.msgpack.decode(content, type=dict[str, float])
        except msgspec.MsgspecError:
            return False
        news = False
        for name, seconds in marks.items():
            # What is left shrinks with each hop, so marks die out.
            if seconds > HOP_SECONDS:
                news |= self.mark_leaving(name, seconds - HOP_SECONDS)
        return news

    def _usable(
        self, place: _Place, repeatable: bool, tried: list[str]
    ) -> list[str]:
        now = self._app.clock.monotonic()
        staying = [
            name
            for name in self._names_by_place.get(place, ())
            if self._leaving_until_by_name.get(name, now) <= now
        ]
        usable = self.outlier_detector.usable(staying, repeatable)
        return [name for name in usable if name not in tried]
