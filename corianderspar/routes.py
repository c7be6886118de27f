"""Which route of the catalogue a path belongs to."""

from typing import NamedTuple

from corianderspar import catalogue


class RouteMatch(NamedTuple):
    """A route and the entry it belongs to.

    Attributes
    ----------
    entry_name, route_name : str
        Their names.
    entry : Entry
        The entry, with class and limits.
    route : Route
        The route.
    """

    entry_name: str
    route_name: str
    entry: catalogue.Entry
    route: catalogue.Route

    @property
    def label(self) -> str:
        """Name for metrics and predictions, ``entry/route``."""
        return f'{self.entry_name}/{self.route_name}'


class RouteTable:
    """The routes of one catalogue.

    Parameters
    ----------
    source : Catalogue
        Where the routes come from.
    """

    def __init__(self, source: catalogue.Catalogue) -> None:
        self._matches_by_path = {
            route.path.rstrip('/'): RouteMatch(
                entry_name, route_name, entry, route
            )
            for entry_name, entry in source.entries_by_name.items()
            for route_name, route in entry.routes_by_name.items()
        }

    def find(self, path: str) -> RouteMatch | None:
        """Return the route with the longest prefix of whole segments.

        Parameters
        ----------
        path : str
            A normalised path.
        """
        prefix = path.rstrip('/')
        while True:
            match = self._matches_by_path.get(prefix)
            if match is not None or not prefix:
                return match
            prefix = prefix.rpartition('/')[0]
