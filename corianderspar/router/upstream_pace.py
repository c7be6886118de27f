"""Service that keeps the windows of upstreams in slow start."""

from corianderspar import kernel
from corianderspar.router import pace
from corianderspar.router import store_view
from corianderspar.router import telemetry


class UpstreamPace:
    """The service ``pace``.

    Parameters
    ----------
    is_enabled : bool
        As in `pace.PaceWindows`.

    Attributes
    ----------
    windows : PaceWindows
        Used for this daemon's own choices and for those of a home.
    """

    name = 'pace'
    requires: tuple[str, ...] = ('beliefs', 'telemetry')

    def __init__(self, is_enabled: bool = False) -> None:
        self._is_enabled = is_enabled

    async def start(self, app: kernel.Application) -> None:
        """Begin to follow the registrations."""
        self._app = app
        self.windows = pace.PaceWindows(app.events.add, self._is_enabled)
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._store_view.on_upstreams_change.append(self._on_upstreams_changed)
        app.find('telemetry', telemetry.Telemetry).add_gauge(
            'corianderspar_router_slow_start_windows',
            'Upstreams in slow start.',
            lambda: len(self.windows.instances),
        )

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def _on_upstreams_changed(self) -> None:
        upstreams = self._store_view.upstreams_by_instance
        evacuated = self._store_view.evacuated_data_centres
        self.windows.note_upstreams(
            (
                upstream
                for upstream in upstreams.values()
                if upstream.ready and upstream.data_centre not in evacuated
            ),
            self._app.clock.monotonic(),
        )
        self.windows.retain(set(upstreams))
