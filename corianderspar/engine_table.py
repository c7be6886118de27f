"""The engines of the catalogue in force, and their clients."""

from collections.abc import Callable

from corianderspar import catalogue
from corianderspar import engine

ClientFactory = Callable[[str, catalogue.Upstream], engine.EngineClient]


class EngineTable:
    """Finds engines by name and by model; makes each client once.

    Parameters
    ----------
    data_centre : str
        Where this daemon stands.
    factory : callable
        Makes the client of an engine from its name and catalogue entry.
    """

    def __init__(self, data_centre: str, factory: ClientFactory) -> None:
        self._data_centre = data_centre
        self._factory = factory
        self._upstreams_by_name: dict[str, catalogue.Upstream] = {}
        self._clients_by_name: dict[str, engine.EngineClient] = {}

    def adopt(self, found: catalogue.Catalogue) -> None:
        """Take the engines of a catalogue."""
        for name, upstream in found.upstreams_by_name.items():
            known = self._upstreams_by_name.get(name)
            if known is not None and known.address != upstream.address:
                self._clients_by_name.pop(name, None)
        self._upstreams_by_name = found.upstreams_by_name

    def client(self, name: str) -> engine.EngineClient | None:
        """Return the client of an engine, None if it left the catalogue."""
        upstream = self._upstreams_by_name.get(name)
        if upstream is None or upstream.kind != 'engine':
            return None
        client = self._clients_by_name.get(name)
        if client is None:
            client = self._factory(name, upstream)
            self._clients_by_name[name] = client
        return client

    def current_or_former_client(
        self, name: str
    ) -> engine.EngineClient | None:
        """Return the client of an engine, also of one that has left.

        Work that it may still hold has to be cancelled.
        """
        return self.client(name) or self._clients_by_name.get(name)

    def address(self, name: str) -> str:
        """Return an engine's address, ip:port; empty if it has left."""
        upstream = self._upstreams_by_name.get(name)
        return upstream.address if upstream is not None else ''

    def engines_of_model(self, model: str) -> dict[str, catalogue.Upstream]:
        """Return the engines of a model in this data centre, by name."""
        return {
            name: upstream
            for name, upstream in self._upstreams_by_name.items()
            if self._local(upstream) and upstream.pool == model
        }

    def models(self) -> list[str]:
        """Return the models that have engines in this data centre."""
        return sorted(
            {
                upstream.pool
                for upstream in self._upstreams_by_name.values()
                if self._local(upstream)
            }
        )

    def _local(self, upstream: catalogue.Upstream) -> bool:
        here = upstream.data_centre == self._data_centre
        return here and upstream.kind == 'engine'
