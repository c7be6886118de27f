"""Service that keeps upstreams within the limits that they state."""

from corianderspar import kernel
from corianderspar.router import model
from corianderspar.router import stated_limits
from corianderspar.router import store_view
from corianderspar.router import upstreams


class UpstreamPermits:
    """The service ``permits``.

    Parameters
    ----------
    calls : UpstreamCalls
        The client for the upstreams.
    """

    name = 'permits'
    requires: tuple[str, ...] = ('beliefs',)

    def __init__(self, calls: upstreams.UpstreamCalls) -> None:
        self._calls = calls
        self._limits = stated_limits.StatedLimits()

    async def start(self, app: kernel.Application) -> None:
        """Begin to read the limits in answers."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._store_view.on_upstreams_change.append(self._on_upstreams_changed)
        self._calls.on_notice.append(self._on_notice)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def _on_notice(
        self, upstream: model.Upstream, notice: upstreams.Notice
    ) -> None:
        if notice.unreadable_limit:
            self._app.events.add(
                'upstream.unreadable_limit',
                instance=upstream.instance,
                value=notice.unreadable_limit,
            )
            return
        if notice.is_replaced:
            return
        now = self._app.clock.monotonic()
        if self._limits.record(upstream, notice.limit, now):
            self._log_limit(upstream.instance, notice.limit, 'its answer')

    def _log_limit(
        self, instance: str, rate: float | None, source: str
    ) -> None:
        self._app.events.add(
            'upstream.limited',
            instance=instance,
            per_second='none' if rate is None else rate,
            source=source,
        )

    def _on_upstreams_changed(self) -> None:
        self._limits.retain(set(self._store_view.upstreams_by_instance))
