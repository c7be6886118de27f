"""The engines of the current catalogue, and their clients."""

from collections.abc import Callable

from corianderspar import catalogue
from corianderspar import engine

ClientFactory = Callable[[str, catalogue.Upstream], engine.EngineClient]


class EngineTable:
    """Finds engines by name and by model, and keeps one client for each.

    Parameters
    ----------
    data_centre : str
        Data centre of this daemon.
    client_factory : callable
        Returns a new client, given an engine's name and catalogue entry.
    """

    def __init__(
        self, data_centre: str, client_factory: ClientFactory
    ) -> None:
        self._data_centre = data_centre
        self._client_factory = client_factory
        self._upstreams_by_name: dict[str, catalogue.Upstream] = {}
        self._clients_by_name: dict[str, engine.EngineClient] = {}

    def adopt(self, new_catalogue: catalogue.Catalogue) -> None:
        """Use the engines of a new catalogue.

        The client of an engine whose address changed is dropped.
        """
        for name, upstream in new_catalogue.upstreams_by_name.items():
            current = self._upstreams_by_name.get(name)
            if current is not None and current.address != upstream.address:
                self._clients_by_name.pop(name, None)
        self._upstreams_by_name = new_catalogue.upstreams_by_name

    def client(self, name: str) -> engine.EngineClient | None:
        """Return the client of an engine, None if not in the catalogue."""
        upstream = self._upstreams_by_name.get(name)
        if upstream is None or upstream.kind != 'engine':
            return None
        client = self._clients_by_name.get(name)
        if client is None:
            client = self._client_factory(name, upstream)
            self._clients_by_name[name] = client
        return client

    def current_or_former_client(
        self, name: str
    ) -> engine.EngineClient | None:
        """Return the client of an engine that is or was in the catalogue.

        Serves to cancel work that a removed engine may still hold.
        """
        return self.client(name) or self._clients_by_name.get(name)

    def address(self, name: str) -> str:
        """Return an engine's address, ip:port; empty if it was removed."""
        upstream = self._upstreams_by_name.get(name)
        return upstream.address if upstream is not None else ''

    def engines_of_model(self, model: str) -> dict[str, catalogue.Upstream]:
        """Return the engines of a model in this data centre by name."""
        return {
            name: upstream
            for name, upstream in self._upstreams_by_name.items()
            if self._is_local_engine(upstream) and upstream.pool == model
        }

    def models(self) -> list[str]:
        """Return the models that have engines in this data centre."""
        return sorted(
            {
                upstream.pool
                for upstream in self._upstreams_by_name.values()
                if self._is_local_engine(upstream)
            }
        )

    def _is_local_engine(self, upstream: catalogue.Upstream) -> bool:
        is_local = upstream.data_centre == self._data_centre
        return is_local and upstream.kind == 'engine'
