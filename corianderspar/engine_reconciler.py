"""Orders that bring engines to the model and role of the catalogue."""

from collections.abc import Callable
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import configuration as configurations
from corianderspar import engine
from corianderspar import kernel

SETTLE_SECONDS = 10.0
STEADY_REPORTS = 6
GAP_SECONDS = 3.0
LOADING_SECONDS = 120.0
MOST_LOADING = 1

Client = Callable[[str], engine.EngineClient | None]


class _Difference(NamedTuple):
    version: int
    reports: int
    at: float


class EngineReconciler:
    """Gives orders to the engines of the shards whose home this is.

    Each order carries the version of the catalogue as fencing number: all
    daemons on a version want the same of an engine, so that orders of one
    version repeat each other, and one of an older version is refused
    where fencing is honoured. Elsewhere: the report is read before each
    order, one order is outstanding, and the next comes no sooner than
    `SETTLE_SECONDS` later. The difference must have been seen in
    `STEADY_REPORTS` reports in a row under one version, with no gap: a
    daemon that wakes from a pause hears of newer versions before. An
    engine that holds requests is left alone until it is empty; one that
    reports a higher fencing number knows a newer catalogue than this
    daemon, which then keeps still.

    Parameters
    ----------
    app : Application
        Gives time.
    configuration : Configuration
        Gives the version.
    client : callable
        Returns the client of an engine.
    """

    def __init__(
        self,
        app: kernel.Application,
        configuration: configurations.Configuration,
        client: Client,
    ) -> None:
        self._app = app
        self._configuration = configuration
        self._client = client
        self._given_by_name: dict[str, float] = {}
        self._seen_by_name: dict[str, _Difference] = {}
        self._loading_by_name: dict[str, float] = {}

    async def reconcile(
        self, name: str, upstream: catalogue.Upstream, load: engine.EngineLoad
    ) -> None:
        """Compare a fresh report with the catalogue; order one thing."""
        if load.model == upstream.pool:
            self._loading_by_name.pop(name, None)
        order = self._wanted(upstream, load)
        if order is None:
            self._seen_by_name.pop(name, None)
            return
        if not self._steady(name, order.fence):
            return
        if load.requests or order.fence < load.fence or not self._due(name):
            return
        if order.kind == 'load' and not self._may_load(name):
            return
        client = self._client(name)
        if client is None:
            return
        now = self._app.clock.monotonic()
        self._given_by_name[name] = now
        if order.kind == 'load':
            self._loading_by_name[name] = now
        result = await client.order(order)
        self._app.events.add(
            'engine.ordered',
            upstream=name,
            kind=order.kind,
            value=order.value,
            fence=order.fence,
            error=result.error.code if result.is_error() else '',
        )

    def _wanted(
        self, upstream: catalogue.Upstream, load: engine.EngineLoad
    ) -> engine.Order | None:
        fence = self._configuration.version
        if load.model != upstream.pool:
            return engine.Order('load', upstream.pool, fence)
        if load.role != upstream.role:
            return engine.Order('role', upstream.role, fence)
        return None

    def _steady(self, name: str, version: int) -> bool:
        now = self._app.clock.monotonic()
        seen = self._seen_by_name.get(name)
        reports = 1
        if seen is not None and seen.version == version:
            fresh = now - seen.at <= GAP_SECONDS
            reports = seen.reports + 1 if fresh else 1
        self._seen_by_name[name] = _Difference(version, reports, now)
        return reports >= STEADY_REPORTS

    def _due(self, name: str) -> bool:
        given = self._given_by_name.get(name)
        now = self._app.clock.monotonic()
        return given is None or now - given >= SETTLE_SECONDS

    def _may_load(self, name: str) -> bool:
        # The weight store's rate is shared by all engines that load.
        since = self._app.clock.monotonic() - LOADING_SECONDS
        loading = [
            other
            for other, given in self._loading_by_name.items()
            if given > since and other != name
        ]
        return len(loading) < MOST_LOADING
