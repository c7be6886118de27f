"""The service ``drain``: a shutdown that cuts and refuses nothing."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import NamedTuple

from corianderspar import dispatch
from corianderspar import kernel
from corianderspar import membership

BALANCER_SECONDS = 5.0
TIMEOUT_SECONDS = 120.0
POLL_INTERVAL_SECONDS = 0.1
REPLAY_SECONDS = 10.0


class InflightRequest(NamedTuple):
    """A request that has not ended.

    Attributes
    ----------
    request_id, route : str
        Which one.
    started_at : float
        Monotonic seconds of its start.
    """

    request_id: str
    route: str
    started_at: float


class InflightRequests:
    """Requests that this daemon has taken and not yet answered in full."""

    def __init__(self) -> None:
        self.by_id: dict[str, InflightRequest] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    @contextlib.contextmanager
    def track(
        self, request_id: str, route: str = '', started_at: float = 0.0
    ) -> Iterator[InflightRequest]:
        """Hold a request in `by_id` until the block ends.

        Parameters
        ----------
        request_id : str
            Unique in this daemon.
        route : str
            For reports.
        started_at : float
            Monotonic seconds, for reports.
        """
        running = InflightRequest(request_id, route, started_at)
        self.by_id[request_id] = running
        try:
            yield running
        finally:
            self.by_id.pop(request_id, None)


class Settings(NamedTuple):
    """Times of a shutdown, all in seconds.

    Attributes
    ----------
    balancer_seconds : float
        From readiness off until the balancer sends nothing more.
    replay_seconds : float
        From the last recorded outcome, for callers that ask again.
    timeout_seconds : float
        From readiness off until the process ends with work unfinished.
    """

    balancer_seconds: float = BALANCER_SECONDS
    replay_seconds: float = REPLAY_SECONDS
    timeout_seconds: float = TIMEOUT_SECONDS


class Drain:
    """Takes a daemon out of service in order.

    Parameters
    ----------
    settings : Settings
        Times of the shutdown.

    Attributes
    ----------
    ready : bool
        What the readiness probe answers.
    phase : str
        ``serving``, ``balancer``, ``finishing``, ``handing_back`` or
        ``done``.
    inflight : InflightRequests
        The edge tracks every request here, until its last byte is out.
    pending_counts : list of callable
        Each returns how much other work must end first.
    handoff_hooks : list of callable
        Coroutine functions, run in order when all requests have ended.
    """

    name = 'drain'
    requires: tuple[str, ...] = ('membership',)

    def __init__(self, settings: Settings | None = None) -> None:
        self.ready = True
        self.phase = 'serving'
        self.inflight = InflightRequests()
        self.pending_counts: list[Callable[[], int]] = []
        self.handoff_hooks: list[Callable[[], Awaitable[None]]] = []
        self.shutdown_requests = 0
        self._settings = settings or Settings()
        self._done = asyncio.Event()
        self._dispatch: dispatch.Dispatch | None = None

    async def start(self, app: kernel.Application) -> None:
        """Be ready."""
        self._app = app
        self._members = app.find('membership', membership.Membership)
        if app.has('dispatch'):
            self._dispatch = app.find('dispatch', dispatch.Dispatch)

    async def stop(self) -> None:
        """Answer readiness probes with no."""
        self.ready = False

    def request_shutdown(self) -> list[str]:
        """Begin the shutdown; for the handler of SIGTERM.

        Returns
        -------
        list of str
            What still runs, one line each; a further call reports it
            again and begins nothing.
        """
        self.shutdown_requests += 1
        if self.shutdown_requests == 1:
            self._app.spawn(self.name, 'drain', self.drain())
        lines = self.report()
        for line in lines:
            self._app.events.add('drain.waiting', what=line)
        return lines

    def report(self) -> list[str]:
        """Return what keeps the daemon from ending, one line each."""
        now = self._app.clock.monotonic()
        lines = [f'phase={self.phase}']
        for running in self.inflight.by_id.values():
            lines.append(
                f'request={running.request_id} route={running.route}'
                f' seconds={now - running.started_at:.1f}'
            )
        if self._dispatch is not None:
            count = self._dispatch.once.records.count_unfinished()
            lines.append(f'tickets={count}')
        return lines

    async def wait(self) -> None:
        """Return when the shutdown is done and the process may end."""
        await self._done.wait()

    async def drain(self) -> bool:
        """Take the daemon out of service.

        Returns
        -------
        bool
            Whether all work had ended before the limit.
        """
        deadline = self._app.clock.monotonic() + self._settings.timeout_seconds
        self.ready = False
        self._enter('balancer')
        if self._dispatch is not None:
            self._dispatch.stop_issuing()
        await self._app.clock.sleep(self._settings.balancer_seconds)
        self._enter('finishing')
        finished = await self._finish(deadline)
        self._enter('handing_back')
        for hand in self.handoff_hooks:
            await hand()
        self._members.leaving = True
        self._members.send_now()
        self._enter('done')
        self._done.set()
        return finished

    async def _finish(self, deadline: float) -> bool:
        idle_since: float | None = None
        while True:
            now = self._app.clock.monotonic()
            if now >= deadline:
                self._app.events.add('drain.limit', left=self._left())
                return False
            if self._left():
                idle_since = None
            elif idle_since is None:
                idle_since = now
            if idle_since is not None and now - idle_since >= self._replay():
                return True
            await self._app.clock.sleep(POLL_INTERVAL_SECONDS)

    def _left(self) -> int:
        left = len(self.inflight) + sum(
            count() for count in self.pending_counts
        )
        if self._dispatch is not None:
            left += self._dispatch.once.records.count_unfinished()
            left += self._dispatch.forwarder.running_count
        return left

    def _replay(self) -> float:
        """Return seconds to stay for callers who ask for an outcome."""
        if self._dispatch is None or not len(self._dispatch.once.records):
            return 0.0
        return self._settings.replay_seconds

    def _enter(self, phase: str) -> None:
        self.phase = phase
        self._app.events.add('drain.phase', phase=phase)
