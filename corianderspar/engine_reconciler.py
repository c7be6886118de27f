"""Reconciliation of engines with the model and role in the catalogue."""

from collections.abc import Callable
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import configuration as configurations
from corianderspar import engine
from corianderspar import kernel

ORDER_INTERVAL_SECONDS = 10.0
MIN_REPORTS = 6
MAX_REPORT_GAP_SECONDS = 3.0
LOAD_TIMEOUT_SECONDS = 120.0
MAX_CONCURRENT_LOADS = 1

FindClient = Callable[[str], engine.EngineClient | None]


class _Difference(NamedTuple):
    version: int
    reports: int
    reported_at: float


class EngineReconciler:
    """Sends orders to the engines of the shards whose home is this daemon.

    Each order carries the version of the catalogue as its fencing number.
    All daemons on one version want the same model and role of an engine,
    so orders of one version are idempotent. An engine that honours fencing
    refuses orders of older versions. For the sake of those that don't, an
    engine gets one order at a time, only right after a report, and at most
    one in `ORDER_INTERVAL_SECONDS`.

    An order is sent once `MIN_REPORTS` reports in a row, without a gap of
    more than `MAX_REPORT_GAP_SECONDS`, differed from one version of the
    catalogue. A daemon that resumes after a pause learns of newer versions
    before that, and so doesn't apply an outdated one. No order is sent to
    an engine that holds requests, nor to one that reports a higher fencing
    number, as it has had orders of a newer catalogue than this daemon's.

    Parameters
    ----------
    app : Application
        Provides the clock and the event log.
    configuration : Configuration
        Provides the version of the catalogue.
    find_client : callable
        Returns the client of an engine, None if it left the catalogue.
    """

    def __init__(
        self,
        app: kernel.Application,
        configuration: configurations.Configuration,
        find_client: FindClient,
    ) -> None:
        self._app = app
        self._configuration = configuration
        self._find_client = find_client
        self._ordered_at_by_name: dict[str, float] = {}
        self._difference_by_name: dict[str, _Difference] = {}
        self._load_ordered_at_by_name: dict[str, float] = {}

    async def reconcile(
        self, name: str, upstream: catalogue.Upstream, load: engine.EngineLoad
    ) -> None:
        """Compare a report with the catalogue, and send at most one order."""
        if load.model == upstream.pool:
            self._load_ordered_at_by_name.pop(name, None)
        order = self._next_order(upstream, load)
        if order is None:
            self._difference_by_name.pop(name, None)
            return
        if not self._is_steady(name, order.fence):
            return
        if load.requests or order.fence < load.fence or not self._is_due(name):
            return
        if order.kind == 'load' and not self._may_load(name):
            return
        client = self._find_client(name)
        if client is None:
            return
        now = self._app.clock.monotonic()
        self._ordered_at_by_name[name] = now
        if order.kind == 'load':
            self._load_ordered_at_by_name[name] = now
        result = await client.order(order)
        self._app.events.add(
            'engine.ordered',
            upstream=name,
            kind=order.kind,
            value=order.value,
            fence=order.fence,
            error=result.error.code if result.is_error() else '',
        )

    def _next_order(
        self, upstream: catalogue.Upstream, load: engine.EngineLoad
    ) -> engine.Order | None:
        fence = self._configuration.version
        if load.model != upstream.pool:
            return engine.Order('load', upstream.pool, fence)
        if load.role != upstream.role:
            return engine.Order('role', upstream.role, fence)
        return None

    def _is_steady(self, name: str, version: int) -> bool:
        now = self._app.clock.monotonic()
        known = self._difference_by_name.get(name)
        reports = 1
        if known is not None and known.version == version:
            is_consecutive = now - known.reported_at <= MAX_REPORT_GAP_SECONDS
            reports = known.reports + 1 if is_consecutive else 1
        self._difference_by_name[name] = _Difference(version, reports, now)
        return reports >= MIN_REPORTS

    def _is_due(self, name: str) -> bool:
        ordered_at = self._ordered_at_by_name.get(name)
        now = self._app.clock.monotonic()
        return ordered_at is None or now - ordered_at >= ORDER_INTERVAL_SECONDS

    def _may_load(self, name: str) -> bool:
        # All engines that load share the bandwidth of the weight store.
        since = self._app.clock.monotonic() - LOAD_TIMEOUT_SECONDS
        loading = [
            other
            for other, ordered_at in self._load_ordered_at_by_name.items()
            if ordered_at > since and other != name
        ]
        return len(loading) < MAX_CONCURRENT_LOADS
