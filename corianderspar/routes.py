"""Matching of request paths with the routes of a catalogue."""

from typing import NamedTuple

from corianderspar import catalogue


class RouteMatch(NamedTuple):
    """A route of the catalogue and the entry that it belongs to.

    Attributes
    ----------
    entry_name, route_name : str
        Their names in the catalogue.
    entry : Entry
        The entry, with its service class and limits.
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
    """The routes of one catalogue, found by path prefix.

    Parameters
    ----------
    source : Catalogue
        The catalogue.
    """

    def __init__(self, source: catalogue.Catalogue) -> None:
        self._matches_by_prefix = {
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

        Returns
        -------
        RouteMatch or None
            None if no route matches.
        """
        prefix = path.rstrip('/')
        while True:
            match = self._matches_by_prefix.get(prefix)
            if match is not None or not prefix:
                return match
            prefix = prefix.rpartition('/')[0]
