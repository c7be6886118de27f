"""Graceful shutdown that neither interrupts nor refuses requests."""

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
        Identifier of the request and name of its route.
    started_at : float
        Its start, in seconds on the monotonic clock.
    """

    request_id: str
    route: str
    started_at: float


class InflightRequests:
    """Requests that this daemon accepted and has not answered completely."""

    def __init__(self) -> None:
        self.by_id: dict[str, InflightRequest] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    @contextlib.contextmanager
    def track(
        self, request_id: str, route: str = '', started_at: float = 0.0
    ) -> Iterator[InflightRequest]:
        """Keep a request in `by_id` until the end of the ``with`` block.

        Parameters
        ----------
        request_id : str
            Unique in this daemon.
        route : str
            Name of the route, for `Drain.report`.
        started_at : float
            Seconds on the monotonic clock, for `Drain.report`.
        """
        request = InflightRequest(request_id, route, started_at)
        self.by_id[request_id] = request
        try:
            yield request
        finally:
            self.by_id.pop(request_id, None)


class Settings(NamedTuple):
    """Durations of the phases of a shutdown.

    Attributes
    ----------
    balancer_seconds : float
        Time that the load balancer needs to stop sending requests after
        the readiness probe starts to fail.
    replay_seconds : float
        Time for which a daemon with ticket records keeps serving after its
        last request, so that retrying callers can get recorded outcomes.
    timeout_seconds : float
        Time from the start of the shutdown after which the daemon no
        longer waits for unfinished work.
    """

    balancer_seconds: float = BALANCER_SECONDS
    replay_seconds: float = REPLAY_SECONDS
    timeout_seconds: float = TIMEOUT_SECONDS


class Drain:
    """The service ``drain``: shuts a daemon down gracefully.

    Parameters
    ----------
    settings : Settings or None
        Durations of the phases; the defaults of `Settings` if None.

    Attributes
    ----------
    ready : bool
        Whether the readiness probe succeeds.
    phase : str
        ``serving``, ``balancer``, ``finishing``, ``handing_back`` or
        ``done``.
    inflight : InflightRequests
        The edge tracks every request here until the last byte of its
        answer is sent.
    pending_counts : list of callable
        Each returns the amount of some other work that must end before
        the handoff.
    handoff_hooks : list of callable
        Coroutine functions, called in order when all requests have ended.
    shutdown_requests : int
        How often a shutdown was requested.
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
        """Find the services whose work a drain waits for."""
        self._app = app
        self._membership = app.find('membership', membership.Membership)
        if app.has('dispatch'):
            self._dispatch = app.find('dispatch', dispatch.Dispatch)

    async def stop(self) -> None:
        """Fail readiness probes from now on."""
        self.ready = False

    def request_shutdown(self) -> list[str]:
        """Begin the shutdown; for the handler of SIGTERM.

        Returns
        -------
        list of str
            The phase and the unfinished work, one item a line; further
            calls only report them again.
        """
        self.shutdown_requests += 1
        if self.shutdown_requests == 1:
            self._app.spawn(self.name, 'drain', self.drain())
        lines = self.report()
        for line in lines:
            self._app.events.add('drain.waiting', what=line)
        return lines

    def report(self) -> list[str]:
        """Return the phase and the unfinished work, one item a line."""
        now = self._app.clock.monotonic()
        lines = [f'phase={self.phase}']
        for request in self.inflight.by_id.values():
            lines.append(
                f'request={request.request_id} route={request.route}'
                f' seconds={now - request.started_at:.1f}'
            )
        if self._dispatch is not None:
            count = self._dispatch.executor.records.count_unfinished()
            lines.append(f'tickets={count}')
        return lines

    async def wait(self) -> None:
        """Wait until the shutdown is done and the process may end."""
        await self._done.wait()

    async def drain(self) -> bool:
        """Shut the daemon down.

        Returns
        -------
        bool
            Whether all work ended within the timeout.
        """
        deadline = self._app.clock.monotonic() + self._settings.timeout_seconds
        self.ready = False
        self._set_phase('balancer')
        if self._dispatch is not None:
            self._dispatch.stop_issuing()
        await self._app.clock.sleep(self._settings.balancer_seconds)
        self._set_phase('finishing')
        finished = await self._wait_for_work(deadline)
        self._set_phase('handing_back')
        for hook in self.handoff_hooks:
            await hook()
        self._membership.leaving = True
        self._membership.send_now()
        self._set_phase('done')
        self._done.set()
        return finished

    async def _wait_for_work(self, deadline: float) -> bool:
        idle_since: float | None = None
        while True:
            now = self._app.clock.monotonic()
            if now >= deadline:
                self._app.events.add('drain.limit', left=self._count_pending())
                return False
            if self._count_pending():
                idle_since = None
            elif idle_since is None:
                idle_since = now
            if (
                idle_since is not None
                and now - idle_since >= self._replay_seconds()
            ):
                return True
            await self._app.clock.sleep(POLL_INTERVAL_SECONDS)

    def _count_pending(self) -> int:
        pending = len(self.inflight) + sum(
            count() for count in self.pending_counts
        )
        if self._dispatch is not None:
            pending += self._dispatch.executor.records.count_unfinished()
            pending += self._dispatch.forwarder.running_count
        return pending

    def _replay_seconds(self) -> float:
        """Return how long to stay for callers that retry with a ticket."""
        if self._dispatch is None or not len(self._dispatch.executor.records):
            return 0.0
        return self._settings.replay_seconds

    def _set_phase(self, phase: str) -> None:
        self.phase = phase
        self._app.events.add('drain.phase', phase=phase)
