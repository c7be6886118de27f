"""Which services and software versions may have begun a stream lately."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from corianderspar.router import model

MAX_SECONDS = 120.0  # for which versions and routes that are gone are kept
MAX_ROUTE_TABLES = 32  # that were replaced; the oldest go


class _RouteTable(NamedTuple):
    """Routes of a configuration, and when they were replaced."""

    replaced_at: float
    routes_by_host: dict[str, tuple[model.Route, ...]]


class OriginHistory:
    """The upstreams and routes that were in force over time.

    Times are monotonic seconds.

    Parameters
    ----------
    complete_since : float
        Time from which this daemon knows all of them.

    Attributes
    ----------
    complete_since : float
        As the parameter, or later if routes had to be forgotten since.
    """

    def __init__(self, complete_since: float) -> None:
        self.complete_since = complete_since
        self._present: frozenset[model.StreamOrigin] = frozenset()
        self._last_seen_by_origin: dict[model.StreamOrigin, float] = {}
        self._routes_by_host: dict[str, tuple[model.Route, ...]] = {}
        self._replaced: collections.deque[_RouteTable] = collections.deque()

    def observe_upstreams(
        self, upstreams: Iterable[model.Upstream], now: float
    ) -> None:
        """Note the upstreams that are registered from now on."""
        present = frozenset(
            model.StreamOrigin(upstream.service, upstream.version)
            for upstream in upstreams
            if upstream.phase is not model.Phase.PREFILL
        )
        for origin in self._present - present:
            self._last_seen_by_origin[origin] = now
        self._present = present
        for origin, seen_at in list(self._last_seen_by_origin.items()):
            if now - seen_at > MAX_SECONDS:
                del self._last_seen_by_origin[origin]

    def observe_routes(
        self, routes_by_host: dict[str, tuple[model.Route, ...]], now: float
    ) -> None:
        """Note the routes that are in force from now on."""
        if self._routes_by_host:
            self._replaced.append(_RouteTable(now, self._routes_by_host))
        self._routes_by_host = routes_by_host
        while self._replaced and (
            now - self._replaced[0].replaced_at > MAX_SECONDS
            or len(self._replaced) > MAX_ROUTE_TABLES
        ):
            dropped = self._replaced.popleft()
            if now - dropped.replaced_at <= MAX_SECONDS:
                self.complete_since = dropped.replaced_at

    def only_origin(
        self, host: str, path: str, since: float
    ) -> model.StreamOrigin | None:
        """Return what alone can have begun a stream of a path.

        Parameters
        ----------
        host, path : str
            Of the requests.
        since : float
            Time before which the stream did not begin.

        Returns
        -------
        StreamOrigin or None
            None if there was more than one, or none at all.
        """
        tables = [self._routes_by_host]
        tables += [
            table.routes_by_host
            for table in self._replaced
            if table.replaced_at >= since
        ]
        services: set[str] = set()
        for routes_by_host in tables:
            route = model.find_route(routes_by_host, host, path)
            if route is not None:
                services.update(route.weights_by_service)
        origins = set(self._present)
        origins.update(
            origin
            for origin, seen_at in self._last_seen_by_origin.items()
            if seen_at >= since
        )
        found = [origin for origin in origins if origin.service in services]
        return found[0] if len(found) == 1 and len(services) == 1 else None
