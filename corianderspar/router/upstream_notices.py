"""Service that acts on what answers state about their upstreams.

An upstream that announces that it leaves gets no new request from this
daemon, and the home of its service is told so that it places nothing there
for others. An upstream that asks for a pause gets nothing from this daemon
until the pause is over. Both hold whether heartbeats arrive and whichever
daemon is the home, since each request is checked again before it is sent.
"""

from collections.abc import Iterable

from corianderspar import kernel
from corianderspar.router import model
from corianderspar.router import placement
from corianderspar.router import store_view
from corianderspar.router import upstream_pauses
from corianderspar.router import upstreams


class UpstreamNotices:
    """The service ``notices``.

    Parameters
    ----------
    calls : UpstreamCalls
        The client for the upstreams.
    """

    name = 'notices'
    requires: tuple[str, ...] = ('beliefs', 'placement')

    def __init__(self, calls: upstreams.UpstreamCalls) -> None:
        self._calls = calls
        self._pauses = upstream_pauses.UpstreamPauses()

    async def start(self, app: kernel.Application) -> None:
        """Begin to receive notices."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._placement = app.find('placement', placement.Placement)
        self._calls.on_notice.append(self._on_notice)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def refusal_reason(self, upstream: model.Upstream) -> str:
        """Return why an upstream gets no request now; empty if it may."""
        if self._pauses.is_paused(upstream, self._app.clock.monotonic()):
            return 'it asked for a pause'
        present = self._store_view.upstreams_by_instance.get(upstream.instance)
        if present is None or not present.ready:
            return 'it is leaving'
        if upstream.data_centre in self._store_view.evacuated_data_centres:
            return 'its data centre is evacuated'
        return ''

    def usable(
        self, candidates: Iterable[model.Upstream]
    ) -> list[model.Upstream]:
        """Return the upstreams that have not asked for a pause."""
        now = self._app.clock.monotonic()
        return [u for u in candidates if not self._pauses.is_paused(u, now)]

    def paused_instances(self, service: str) -> tuple[str, ...]:
        """Return the instances of a service that asked for a pause."""
        now = self._app.clock.monotonic()
        return tuple(
            upstream.instance
            for upstream in self._store_view.ready_upstreams(service)
            if self._pauses.is_paused(upstream, now)
        )

    def pause_remaining(self, service: str) -> float | None:
        """Return seconds until the first upstream accepts requests again.

        Returns
        -------
        float or None
            None unless all upstreams of the service have asked for a pause.
        """
        now = self._app.clock.monotonic()
        ends = [
            self._pauses.ends_at(upstream)
            for upstream in self._store_view.ready_upstreams(service)
        ]
        if not ends or min(ends) <= now:
            return None
        return min(ends) - now

    def _on_notice(
        self, upstream: model.Upstream, notice: upstreams.Notice
    ) -> None:
        if notice.is_leaving or notice.is_replaced:
            source = 'announced' if notice.is_leaving else 'replaced'
            if self._store_view.mark_leaving(upstream, source):
                self._placement.report_leaving(upstream)
        if notice.unreadable_pause:
            self._app.events.add(
                'upstream.unreadable_pause',
                instance=upstream.instance,
                value=notice.unreadable_pause,
            )
        if notice.pause is None:
            return
        now = self._app.clock.monotonic()
        self._pauses.drop_ended(now)
        seconds = self._pauses.add(upstream, notice.pause, now)
        self._app.events.add(
            'upstream.paused',
            instance=upstream.instance,
            asked=notice.pause,
            seconds=f'{seconds:.3f}',
        )
