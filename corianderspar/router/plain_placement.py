"""Placement of requests to plain services by the home of their service.

Used in a large fleet, whose daemons have too few requests each to know how
loaded the upstreams are. The home of a service is found by rendezvous hashing.
Two daemons may both act as the home, and a home may die: a daemon that gets no
reply decides by its own statistics, and each upstream still refuses what it
has no room for. The home's word never tells whether a request ran.
"""

import asyncio
from typing import NamedTuple

from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import homes
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import plain_scheduler
from corianderspar.router import store_view
from corianderspar.router import telemetry

# For a home to reply; 50 times the network latency. Beyond the time for which
# the home said that it may hold a request, also for its decision.
REPLY_TIMEOUT_SECONDS = 0.15
HOME_CHECK_SECONDS = 0.15  # between checks whether a request's home is alive
SCHEDULE_INTERVAL_SECONDS = 0.02  # between checks for requests that are late
EXPIRY_INTERVAL_SECONDS = 1.0  # between checks while nothing waits
# Requests that a home places per second.
MAX_REQUESTS_PER_SECOND = 500.0
BURST_SECONDS = 0.2  # of requests that a home may take at once
# For which a daemon decides alone after a home was overloaded. 360 daemons
# then ask for at most 360 requests/s beyond what the home takes.
OVERLOADED_SECONDS = 1.0


class PlainRequest(NamedTuple):
    """Asks the home of a plain service to place a request.

    Attributes
    ----------
    service : str
        Name of the service.
    request_id : str
        Unique in the fleet; another one for each send of a request.
    rank : int
        0 is the highest.
    account, weight : str, float
        As in `plain_scheduler.PlainJob`.
    hold, timeout : float
        Seconds from now for which the home may hold the request, and after
        which the caller gives up.
    excluded : tuple of str
        Instances that may not get the request.
    unused : bool
        Expected by homes of older builds.
    data_centre : str
        Of the sender.
    """

    service: str
    request_id: str
    rank: int
    account: str
    weight: float
    hold: float
    timeout: float
    excluded: tuple[str, ...]
    unused: bool
    data_centre: str


class PlainGrant(NamedTuple):
    """The home's decision on a request.

    Attributes
    ----------
    state : str
        ``placed``, ``refused``, ``waiting`` (a decision follows), ``unknown``
        (the home knows no upstream for it) or ``overloaded``. After the last
        two the daemon decides itself.
    instance : str
        The upstream, if it is placed.
    retry_after : float
        Seconds after which the caller should return if it is refused, and for
        which the home may hold it if it waits.
    reason : str
        Why it is refused.
    request_id : str
        Which request.
    """

    state: str
    instance: str = ''
    retry_after: float = 0.0
    reason: str = ''
    request_id: str = ''


class PlainEnd(NamedTuple):
    """Reports to the home how a request ended.

    Attributes
    ----------
    service, request_id : str
        Which request.
    seconds, outcome : float, str
        As in `plain_scheduler.PlainScheduler.end`.
    """

    service: str
    request_id: str
    seconds: float
    outcome: str


class RequestMeter:
    """Limits the requests per second that a home takes."""

    def __init__(self, now: float) -> None:
        self._level = MAX_REQUESTS_PER_SECOND * BURST_SECONDS
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Count a request; False if the home has too many."""
        self._level = min(
            self._level + (now - self._updated_at) * MAX_REQUESTS_PER_SECOND,
            MAX_REQUESTS_PER_SECOND * BURST_SECONDS,
        )
        self._updated_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class PlainPlacement:
    """The service ``plain_placement``: asks homes, and is a home.

    Parameters
    ----------
    is_enabled : bool
        Whether homes place plain requests in a large fleet. Else each daemon
        chooses by its own statistics.
    """

    name = 'plain_placement'
    requires: tuple[str, ...] = ('beliefs', 'fleet', 'peers', 'telemetry')

    def __init__(self, is_enabled: bool = False) -> None:
        self._is_enabled = is_enabled
        self._schedulers_by_service: dict[
            str, plain_scheduler.PlainScheduler
        ] = {}
        self._vms_by_request_id: dict[str, str] = {}
        self._futures_by_request_id: dict[str, asyncio.Future[PlainGrant]] = {}
        self._alone_until_by_service: dict[str, float] = {}
        self._last_number = 0
        self._has_waiting = asyncio.Event()
        self._is_busy = asyncio.Event()

    async def start(self, app: kernel.Application) -> None:
        """Begin to handle messages."""
        self._app = app
        self._meter = RequestMeter(app.clock.monotonic())
        self._membership = app.find('fleet', membership.Membership)
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._homes = homes.Homes(app, self._membership)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('place_plain', PlainRequest, self._on_request)
        self._peers.handle('plain_grant', PlainGrant, self._on_grant)
        self._peers.handle('plain_ended', PlainEnd, self._on_end)
        self._membership.on_ended.append(self._remove_owner)
        self._store_view.on_upstreams_change.append(self._update_upstreams)
        metrics = app.find('telemetry', telemetry.Telemetry)
        for name, help_text, read in (
            (
                'plain_in_flight',
                'Plain requests in flight that this home placed.',
                lambda: self._total('in_flight'),
            ),
            (
                'plain_waiting',
                'Plain requests that wait at this home.',
                lambda: self._total('waiting'),
            ),
        ):
            metrics.add_gauge(f'corianderspar_router_{name}', help_text, read)
        app.keep_running(self.name, 'pump', self._run)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    @property
    def is_in_use(self) -> bool:
        """Whether homes place plain requests; only in a large fleet."""
        return self._is_enabled and self._membership.is_large

    def home(self, service: str) -> str:
        """Return the VM that is home of a plain service."""
        return self._homes.home(f'plain/{service}')

    def next_request_id(self) -> str:
        """Return an identifier for `PlainRequest`."""
        self._last_number += 1
        return f'{self._app.incarnation}/{self._last_number}'

    async def place(self, request: PlainRequest) -> tuple[PlainGrant, str]:
        """Ask the home to place a request; return its word and its VM.

        The state is ``unknown`` or ``overloaded`` if this daemon is to decide
        itself, for whatever reason, and never ``waiting``.
        """
        service, request_id = request.service, request.request_id
        now = self._app.clock.monotonic()
        if self._alone_until_by_service.get(service, 0.0) > now:
            return PlainGrant('overloaded', request_id=request_id), ''
        home = self.home(service)
        decision: asyncio.Future[PlainGrant] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures_by_request_id[request_id] = decision
        grant: PlainGrant | None = None
        try:
            grant = await self._ask(home, request)
            if grant.state == 'waiting':
                grant = await self._wait(home, request, grant, decision)
        finally:
            del self._futures_by_request_id[request_id]
            if grant is None:  # the caller left
                self._send_end(
                    home, PlainEnd(service, request_id, 0.0, 'abandoned')
                )
        if grant.state == 'overloaded':
            self._alone_until_by_service[service] = (
                self._app.clock.monotonic() + OVERLOADED_SECONDS
            )
        if grant.state in ('overloaded', 'unknown'):
            self._app.events.add(
                f'home.{grant.state}',
                home=home,
                key=f'plain/{service}',
                request=request_id,
            )
        return grant, home

    def report(
        self, held: plain_scheduler.HeldGrant, seconds: float, outcome: str
    ) -> None:
        """Report the end of a request to the home that placed it."""
        self._send_end(
            held.home,
            PlainEnd(held.service, held.request_id, seconds, outcome),
        )

    async def _ask(self, home: str, request: PlainRequest) -> PlainGrant:
        if home == self._app.identity.vm:
            return self._decide(request, str(self._app.incarnation), home)
        reply = await self._peers.ask(home, request, REPLY_TIMEOUT_SECONDS)
        if reply.is_ok():
            return PlainGrant(*reply.ok)
        return self._give_up(home, request, reply.error.code)

    async def _wait(
        self,
        home: str,
        request: PlainRequest,
        word: PlainGrant,
        decision: asyncio.Future[PlainGrant],
    ) -> PlainGrant:
        """Return the decision on a request that the home holds.

        A home that ends meanwhile decides nothing any more.
        """
        now = self._app.clock.monotonic()
        until = now + min(word.retry_after, request.hold)
        until += REPLY_TIMEOUT_SECONDS
        while now < until:
            await asyncio.wait(
                (decision,), timeout=min(HOME_CHECK_SECONDS, until - now)
            )
            if decision.done():
                return decision.result()
            now = self._app.clock.monotonic()
            if home != self._app.identity.vm and not (
                self._membership.is_alive(home)
            ):
                return self._give_up(home, request, 'home lost')
        return self._give_up(home, request, 'no decision')

    def _give_up(
        self, home: str, request: PlainRequest, reason: str
    ) -> PlainGrant:
        """Release what a silent home may have granted."""
        self._homes.mark_unresponsive(home, f'plain/{request.service}', reason)
        self._send_end(
            home,
            PlainEnd(request.service, request.request_id, 0.0, 'abandoned'),
        )
        return PlainGrant('unknown', request_id=request.request_id)

    def _send_end(self, home: str, end: PlainEnd) -> None:
        if home == self._app.identity.vm:
            self._apply_end(end)
        else:
            self._peers.tell(home, end)

    async def _on_request(
        self, sender: peers.Sender, request: PlainRequest
    ) -> PlainGrant:
        return self._decide(request, sender.incarnation, sender.vm)

    async def _on_grant(
        self, _sender: peers.Sender, grant: PlainGrant
    ) -> None:
        self._resolve(grant)

    async def _on_end(self, _sender: peers.Sender, end: PlainEnd) -> None:
        self._apply_end(end)

    def _decide(
        self, request: PlainRequest, owner: str, vm: str
    ) -> PlainGrant:
        now = self._app.clock.monotonic()
        request_id = request.request_id
        if not self._meter.take(now):
            return PlainGrant('overloaded', request_id=request_id)
        scheduler = self._scheduler_for(request.service)
        if scheduler is None:
            return PlainGrant('unknown', request_id=request_id)
        job = plain_scheduler.PlainJob(
            request_id,
            owner,
            request.rank,
            request.account,
            request.weight,
            now,
            now + request.hold,
            now + request.timeout,
            frozenset(request.excluded),
            request.data_centre,
        )
        decision = scheduler.submit(job, now)
        self._is_busy.set()
        if decision is None:
            self._vms_by_request_id[request_id] = vm
            self._has_waiting.set()
            hold = min(request.hold, request.timeout)
            return PlainGrant('waiting', '', hold, request_id=request_id)
        return self._grant(request.service, job, decision, scheduler)

    def _grant(
        self,
        service: str,
        job: plain_scheduler.PlainJob,
        decision: plain_scheduler.PlainDecision,
        scheduler: plain_scheduler.PlainScheduler,
    ) -> PlainGrant:
        """Log a decision; return its message."""
        now = self._app.clock.monotonic()
        self._app.events.add(
            'plain.decided',
            service=service,
            request=job.job_id,
            rank=job.rank,
            account=job.account,
            waited=f'{now - job.arrived_at:.3f}',
            in_flight=scheduler.in_flight,
            waiting=scheduler.waiting,
            excluded=','.join(job.excluded),
            outcome=decision.state,
            upstream=decision.instance,
            come_back=f'{decision.retry_after:.3f}',
            why=decision.reason,
        )
        return PlainGrant(*decision, job.job_id)

    def _scheduler_for(
        self, service: str
    ) -> plain_scheduler.PlainScheduler | None:
        """Return this daemon's scheduler of a plain service."""
        known = self._schedulers_by_service.get(service)
        if known is None:
            config = self._store_view.configuration
            found = config.services_by_name.get(service) if config else None
            if found is None or found.engine is not None:
                return None
            known = plain_scheduler.PlainScheduler()
            known.set_upstreams(self._plain_upstreams(service))
            self._schedulers_by_service[service] = known
        return known

    def _plain_upstreams(self, service: str) -> list[model.Upstream]:
        return list(self._store_view.ready_upstreams(service))

    def _resolve(self, grant: PlainGrant) -> None:
        """Pass a decision to the request that waits for it, if any."""
        future = self._futures_by_request_id.get(grant.request_id)
        if future is not None and not future.done():
            future.set_result(grant)

    def _apply_end(self, end: PlainEnd) -> None:
        scheduler = self._schedulers_by_service.get(end.service)
        if scheduler is None:
            return
        now = self._app.clock.monotonic()
        self._vms_by_request_id.pop(end.request_id, None)
        scheduler.end(end.request_id, end.seconds, end.outcome, now)
        self._schedule(end.service, scheduler, now)

    def _schedule(
        self,
        service: str,
        scheduler: plain_scheduler.PlainScheduler,
        now: float,
    ) -> None:
        """Decide on waiting requests and send the decisions."""
        for job, decision in scheduler.schedule(now):
            grant = self._grant(service, job, decision, scheduler)
            vm = self._vms_by_request_id.pop(job.job_id, '')
            if vm == self._app.identity.vm:
                self._resolve(grant)
            elif vm:
                self._peers.tell(vm, grant)

    async def _run(self) -> None:
        """Check the queues, and grants that were not reported as ended.

        A daemon that is no home, or has nothing in flight, does not wake up.
        """
        while True:
            if self._total('waiting'):
                await self._app.clock.sleep(SCHEDULE_INTERVAL_SECONDS)
            elif self._total('in_flight'):
                self._has_waiting.clear()
                try:
                    async with asyncio.timeout(EXPIRY_INTERVAL_SECONDS):
                        await self._has_waiting.wait()
                except TimeoutError:
                    pass  # nothing waits
            else:
                self._is_busy.clear()
                await self._is_busy.wait()
            now = self._app.clock.monotonic()
            for service, scheduler in self._schedulers_by_service.items():
                scheduler.expire(now)
                self._schedule(service, scheduler, now)

    def _update_upstreams(self) -> None:
        now = self._app.clock.monotonic()
        for service, scheduler in self._schedulers_by_service.items():
            scheduler.set_upstreams(self._plain_upstreams(service))
            self._schedule(service, scheduler, now)

    def _remove_owner(self, incarnation: str) -> None:
        now = self._app.clock.monotonic()
        for request_id in list(self._vms_by_request_id):
            if request_id.startswith(f'{incarnation}/'):
                del self._vms_by_request_id[request_id]
        for service, scheduler in self._schedulers_by_service.items():
            scheduler.remove_owner(incarnation, now)
            self._schedule(service, scheduler, now)

    def _total(self, name: str) -> float:
        """Return a count over the schedulers of all services."""
        return float(
            sum(getattr(s, name) for s in self._schedulers_by_service.values())
        )
