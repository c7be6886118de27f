"""Placement of requests on engines by the home of their service.

The home of a service is found by rendezvous hashing over the live daemons.
Two daemons may both act as the home, and a home may die. Memory may then be
granted twice or not at all, and engines that are full refuse requests.
Nothing else depends on there being exactly one home.
"""

import asyncio
import functools
import math
from typing import NamedTuple

import msgspec

from corianderspar import decoding
from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import engine_rates
from corianderspar.router import homes
from corianderspar.router import jobs
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import scheduler
from corianderspar.router import store_view
from corianderspar.router import upstream_pace
from corianderspar.router import upstream_permits

# For a home to reply that it has a job; 50 times the network latency.
REPLY_TIMEOUT_SECONDS = 0.15
BACKLOG_INTERVAL_SECONDS = 0.05  # between looks at the jobs that wait
EXPIRY_INTERVAL_SECONDS = 1.0  # between checks while the backlog is empty
RESERVATION_SECONDS = 30.0  # no request lasts longer
HOME_CHECK_SECONDS = 0.5  # between checks whether a job's home is alive
UNKNOWN_RETRY_SECONDS = 1.0  # until a daemon has a new configuration
END_EVENTS = ('whole', 'ended')


class SubmitRequest(NamedTuple):
    """Asks the home to place a job.

    Attributes
    ----------
    service, job_id : str
        As in `HeldReservation`.
    prompt_tokens, length_hint, priority : int
        As in `jobs.Job`.
    objective : float
        As `timeout`; homes of older builds refuse by it.
    timeout : float
        Seconds from now after which the caller gives up without an event.
    data_centre : str
        Of the sender.
    excluded : tuple of str
        Instances that failed this request.
    is_prefilled, has_partial_answer : bool
        As in `jobs.Job`.
    unused : bool
        Expected by homes of older builds.
    version : str or None
        As in `jobs.Job`.
    excluded_data_centres : tuple of str
        As in `jobs.Job`. The home may not know of an evacuation yet.
    account, weight, return_within : str, float, float
        As in `jobs.Job`.
    """

    service: str
    job_id: str
    prompt_tokens: int
    length_hint: int
    priority: int
    objective: float
    timeout: float
    data_centre: str
    excluded: tuple[str, ...]
    is_prefilled: bool = False
    unused: bool = False
    has_partial_answer: bool = False
    version: str | None = None
    excluded_data_centres: tuple[str, ...] = ()
    account: str = ''
    weight: float = 0.0
    return_within: float = math.inf


class JobDecision(NamedTuple):
    """The home's decision on a job.

    Attributes
    ----------
    job_id : str
        Which job.
    state : str
        ``placed``, ``refused``, ``waiting``, or ``unknown`` if the home
        knows no engines of the service.
    prefill, decode : str
        As in `jobs.Grant`, if it is placed.
    retry_after, reason : float, str
        As in `jobs.Refusal`, if it is refused.
    cold : tuple of str
        As in `jobs.Reservation`, if it is placed.
    waited : float
        Seconds from the arrival of the job at the home until it was placed.
    """

    job_id: str
    state: str
    prefill: str = ''
    decode: str = ''
    retry_after: float = 0.0
    reason: str = ''
    cold: tuple[str, ...] = ()
    waited: float = 0.0


class ReservationEvent(NamedTuple):
    """Reports to the home how a job proceeds.

    Attributes
    ----------
    service, job_id : str
        Which job.
    event : str
        ``read`` (the prompt has been prefilled), ``whole`` (the answer was
        generated to its end), ``ended`` (any other end), ``full`` (the
        decode engine refused the request), ``silent`` (an engine did not
        answer), ``spoke`` (it went on afterwards) or ``leaving`` (an engine
        announced that it leaves; this concerns no single job).
    instance : str
        The engine that was full, did not answer or leaves.
    started_ms : int
        Start of that engine's process if it leaves, as in `Upstream`.
    """

    service: str
    job_id: str
    event: str
    instance: str = ''
    started_ms: int = 0


class HeldReservation(NamedTuple):
    """A reservation that this daemon holds at a home.

    Attributes
    ----------
    service, job_id : str
        The service, and the identifier of the job, unique in the fleet.
    home : str
        VM that granted it.
    home_incarnation : str
        Incarnation of that VM; a later one does not know the reservation.
    grant : Grant
        The engines.
    tokens : int
        KV cache memory.
    cold : tuple of str
        As in `jobs.Reservation`.
    granted_after : float
        Monotonic seconds before which the home did not grant it.
    """

    service: str
    job_id: str
    home: str
    home_incarnation: str
    grant: jobs.Grant
    tokens: int
    cold: tuple[str, ...] = ()
    granted_after: float = 0.0


class Placement:
    """The service ``placement``: submits jobs to homes, and is a home.

    Attributes
    ----------
    reservations_by_id : dict of str to HeldReservation
        What this daemon holds, by the identifier of the job.
    """

    name = 'placement'
    requires: tuple[str, ...] = (
        'peers',
        'fleet',
        'beliefs',
        'permits',
        'pace',
    )

    def __init__(self) -> None:
        self.reservations_by_id: dict[str, HeldReservation] = {}
        self._schedulers_by_service: dict[str, scheduler.Scheduler] = {}
        self._vms_by_job_id: dict[str, str] = {}
        self._decisions_by_job_id: dict[str, asyncio.Future[JobDecision]] = {}
        self._last_number = 0
        self._has_backlog = asyncio.Event()
        self._informed_homes: set[str] = set()

    async def start(self, app: kernel.Application) -> None:
        """Begin to handle messages and to report loads in heartbeats."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._permits = app.find('permits', upstream_permits.UpstreamPermits)
        self._pace = app.find('pace', upstream_pace.UpstreamPace)
        self._homes = homes.Homes(app, self._membership)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want_room', SubmitRequest, self._on_submit_request)
        self._peers.handle('room', JobDecision, self._on_decision)
        self._peers.handle(
            'room_news', ReservationEvent, self._on_reservation_event
        )
        self._membership.add_section(
            'rooms', self._provide_loads, self._accept_loads
        )
        self._membership.extra_targets.append(self._homes_to_inform)
        self._membership.on_ended.append(self._remove_owner)
        self._store_view.on_upstreams_change.append(self._update_engines)
        app.keep_running(
            self.name, 'pump', self._run, kernel.MAX_SILENCE_SECONDS
        )

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    async def acquire(
        self,
        service: str,
        sizes: tuple[int, int],
        priority: int,
        timeout: float,
        excluded: tuple[str, ...] = (),
        is_prefilled: bool = False,
        has_partial_answer: bool = False,
        version: str | None = None,
        account: str = '',
        weight: float = 0.0,
        return_within: float = math.inf,
    ) -> HeldReservation | jobs.Refusal:
        """Reserve engines for a request, waiting in the home's backlog.

        Parameters
        ----------
        service : str
            Whose engines.
        sizes : (int, int)
            Tokens of the prompt, and of the answer as the caller estimates
            it.
        priority : int
            0 is the highest.
        timeout : float
            As in `SubmitRequest`.
        excluded : tuple of str
            Instances that failed this request.
        is_prefilled, has_partial_answer : bool
            As in `jobs.Job`.
        version : str or None
            As in `jobs.Job`.
        account, weight, return_within : str, float, float
            As in `jobs.Job`.
        """
        self._last_number += 1
        job_id = f'{self._app.incarnation}/{self._last_number}'
        request = SubmitRequest(
            service,
            job_id,
            sizes[0],
            sizes[1],
            priority,
            timeout,
            timeout,
            self._app.identity.data_centre,
            excluded,
            is_prefilled,
            has_partial_answer=has_partial_answer,
            version=version,
            excluded_data_centres=self._store_view.evacuated_data_centres,
            account=account,
            weight=weight,
            return_within=return_within,
        )
        home = self.home(service)
        future: asyncio.Future[JobDecision] = (
            asyncio.get_running_loop().create_future()
        )
        self._decisions_by_job_id[job_id] = future
        submitted_at = self._app.clock.monotonic()
        try:
            decision, home = await self._submit(home, request)
            if decision.state == 'waiting':
                decision, home = await self._wait_for_decision(
                    home, request, future
                )
        except BaseException:
            self._send_event(home, ReservationEvent(service, job_id, 'ended'))
            raise
        finally:
            del self._decisions_by_job_id[job_id]
        if decision.state != 'placed':
            return jobs.Refusal(decision.retry_after, decision.reason)
        reservation = HeldReservation(
            service,
            job_id,
            home,
            self._incarnation(home),
            jobs.Grant(decision.prefill, decision.decode),
            sum(sizes),
            decision.cold,
            submitted_at + decision.waited,
        )
        self.reservations_by_id[job_id] = reservation
        return reservation

    def report(
        self, reservation: HeldReservation, event: str, instance: str = ''
    ) -> None:
        """Report an event to the home; see `ReservationEvent`."""
        if event in END_EVENTS:
            self.reservations_by_id.pop(reservation.job_id, None)
        self._send_event(
            reservation.home,
            ReservationEvent(
                reservation.service, reservation.job_id, event, instance
            ),
        )

    def report_leaving(self, upstream: model.Upstream) -> None:
        """Tell the home that an engine announced that it leaves."""
        if upstream.phase is model.Phase.PLAIN:
            return
        self._send_event(
            self.home(upstream.service),
            ReservationEvent(
                upstream.service,
                '',
                'leaving',
                upstream.instance,
                upstream.started_ms,
            ),
        )

    def home(self, service: str) -> str:
        """Return the VM that is home of a service."""
        return self._homes.home(service)

    def scheduler_for(self, service: str) -> scheduler.Scheduler | None:
        """Return this daemon's scheduler of a service.

        It is created on first use, and None if the service is unknown or
        has no engines.
        """
        known = self._schedulers_by_service.get(service)
        config = self._store_view.configuration
        found = config.services_by_name.get(service) if config else None
        if found is None or found.engine is None:
            return known
        if known is not None:
            known.limits = found.engine
            return known
        created = scheduler.Scheduler(
            found.engine,
            self._permits,
            engine_rates.EngineRates(
                functools.partial(self._log_speed_change, service)
            ),
            self._pace.windows,
        )
        created.set_engines(self._store_view.ready_upstreams(service))
        self._schedulers_by_service[service] = created
        return created

    def count_waiting(self, rank: int) -> int:
        """Return the jobs of a rank that wait at this home."""
        return sum(
            service_scheduler.waiting_by_rank()[rank]
            for service_scheduler in self._schedulers_by_service.values()
        )

    def rate_ranges(self, phase: str) -> list[engine_rates.RateRange]:
        """Return the range of the engines' rates of each service.

        Parameters
        ----------
        phase : str
            ``prefill`` or ``decode``.
        """
        now = self._app.clock.monotonic()
        return [
            known.rates.range(phase, now)
            for known in self._schedulers_by_service.values()
        ]

    def _log_speed_change(
        self, service: str, change: engine_rates.SpeedChange
    ) -> None:
        self._app.events.add(
            'engine.speed',
            service=service,
            upstream=change.instance,
            phase=change.phase,
            speed=change.speed.value,
            rate=round(change.rate),
            usual=round(change.usual),
            samples=change.samples,
            seconds=round(change.seconds, 1),
            omitted=change.omitted,
        )

    def _incarnation(self, vm: str) -> str:
        if vm == self._app.identity.vm:
            return str(self._app.incarnation)
        member = self._membership.members().get(vm)
        return member.incarnation if member else ''

    async def _submit(
        self, home: str, request: SubmitRequest
    ) -> tuple[JobDecision, str]:
        """Return the decision on a job, and the VM that decided.

        If the home does not answer, or does not know the service yet, this
        daemon decides in its place.
        """
        own = self._app.identity.vm
        if home != own:
            reply = await self._peers.ask(home, request, REPLY_TIMEOUT_SECONDS)
            if reply.is_ok() and reply.ok.state != 'unknown':
                return reply.ok, home
            if reply.is_ok():
                self._app.events.add(
                    'home.unknown', home=home, key=request.service
                )
            else:
                # The home may have placed the job although no reply arrived.
                # The event makes it release the reservation.
                self._homes.mark_unresponsive(
                    home, request.service, reply.error.code
                )
                self._send_event(
                    home,
                    ReservationEvent(request.service, request.job_id, 'ended'),
                )
        return self._decide(request, str(self._app.incarnation), own), own

    async def _wait_for_decision(
        self,
        home: str,
        request: SubmitRequest,
        future: asyncio.Future[JobDecision],
    ) -> tuple[JobDecision, str]:
        """Return the decision on a job of the backlog, and who decided.

        If its home dies, the job is submitted to the next one.
        """
        now = self._app.clock.monotonic()
        deadline = now + request.timeout
        while now < deadline:
            await asyncio.wait(
                (future,), timeout=min(HOME_CHECK_SECONDS, deadline - now)
            )
            if future.done():
                return future.result(), home
            now = self._app.clock.monotonic()
            if home == self._app.identity.vm or self._membership.is_alive(
                home
            ):
                continue
            self._app.events.add('home.lost', home=home, key=request.service)
            remaining = request._replace(timeout=deadline - now)
            decision, home = await self._submit(
                self.home(request.service), remaining
            )
            if decision.state != 'waiting':
                return decision, home
        self._send_event(
            home, ReservationEvent(request.service, request.job_id, 'ended')
        )
        return (
            JobDecision(request.job_id, 'refused', '', '', 1.0, 'no word'),
            home,
        )

    def _send_event(self, home: str, event: ReservationEvent) -> None:
        if home == self._app.identity.vm:
            self._apply_event(event)
        else:
            self._peers.tell(home, event)

    async def _on_submit_request(
        self, sender: peers.Sender, request: SubmitRequest
    ) -> JobDecision:
        return self._decide(request, sender.incarnation, sender.vm)

    def _decide(
        self, request: SubmitRequest, owner: str, vm: str
    ) -> JobDecision:
        service_scheduler = self.scheduler_for(request.service)
        if service_scheduler is None or not service_scheduler.has_engines:
            return JobDecision(
                request.job_id,
                'unknown',
                '',
                '',
                UNKNOWN_RETRY_SECONDS,
                'no engine',
            )
        # A daemon that has just become the home may itself run requests that
        # other homes had placed.
        own = str(self._app.incarnation)
        service_scheduler.set_external_loads(
            own, self._loads(own).get(request.service, {})
        )
        now = self._app.clock.monotonic()
        job = jobs.Job(
            request.job_id,
            owner,
            request.prompt_tokens,
            request.length_hint,
            request.priority,
            now,
            now + request.timeout,
            request.data_centre,
            request.excluded,
            request.is_prefilled,
            request.has_partial_answer,
            request.version,
            excluded_data_centres=request.excluded_data_centres,
            account=request.account,
            weight=request.weight,
            return_within=request.return_within,
        )
        decision = service_scheduler.submit(job, now)
        if decision is None:
            self._vms_by_job_id[request.job_id] = vm
            self._has_backlog.set()
            return JobDecision(request.job_id, 'waiting')
        return _decision_message(service_scheduler, job, decision)

    async def _on_decision(
        self, _sender: peers.Sender, decision: JobDecision
    ) -> None:
        self._resolve(decision)

    def _resolve(self, decision: JobDecision) -> None:
        """Pass a decision to the request that waits for it, if any."""
        future = self._decisions_by_job_id.get(decision.job_id)
        if future is not None and not future.done():
            future.set_result(decision)

    async def _on_reservation_event(
        self, _sender: peers.Sender, event: ReservationEvent
    ) -> None:
        self._apply_event(event)

    def _apply_event(self, event: ReservationEvent) -> None:
        if event.event == 'leaving':
            self._apply_leaving(event)
            return
        service_scheduler = self.scheduler_for(event.service)
        if service_scheduler is None:
            return
        now = self._app.clock.monotonic()
        if event.event == 'read':
            service_scheduler.note_prefilled(event.job_id, now)
        elif event.event in END_EVENTS:
            service_scheduler.release(
                event.job_id, now, event.event == 'whole'
            )
            self._vms_by_job_id.pop(event.job_id, None)
        elif event.event == 'full':
            service_scheduler.note_refused(event.instance, now)
        elif event.event == 'silent':
            service_scheduler.suspect(event.instance, now)
        elif event.event == 'spoke':
            service_scheduler.clear_suspicion(event.instance)
        self._schedule_backlog(service_scheduler, now)

    def _apply_leaving(self, event: ReservationEvent) -> None:
        engine = self._store_view.upstreams_by_instance.get(event.instance)
        if engine is not None and event.started_ms in (0, engine.started_ms):
            self._store_view.mark_leaving(engine, 'peer')

    def _schedule_backlog(
        self, service_scheduler: scheduler.Scheduler, now: float
    ) -> None:
        """Decide on jobs of the backlog and send the decisions."""
        for job, decision in service_scheduler.schedule_backlog(now):
            message = _decision_message(service_scheduler, job, decision)
            vm = self._vms_by_job_id.pop(job.job_id, '')
            if vm == self._app.identity.vm:
                self._resolve(message)
            elif vm:
                self._peers.tell(vm, message)

    async def _run(self) -> None:
        """Check backlogs and reservations periodically."""
        while True:
            self._app.report_progress()
            schedulers = self._schedulers_by_service.values()
            if any(
                service_scheduler.backlog_size()
                for service_scheduler in schedulers
            ):
                await self._app.clock.sleep(BACKLOG_INTERVAL_SECONDS)
            else:
                self._has_backlog.clear()
                try:
                    async with asyncio.timeout(EXPIRY_INTERVAL_SECONDS):
                        await self._has_backlog.wait()
                except TimeoutError:
                    pass  # no job joined a backlog
            now = self._app.clock.monotonic()
            for service_scheduler in self._schedulers_by_service.values():
                self._expire_reservations(service_scheduler, now)
                if service_scheduler.backlog_size():
                    self._schedule_backlog(service_scheduler, now)

    def _expire_reservations(
        self, service_scheduler: scheduler.Scheduler, now: float
    ) -> None:
        expired = [
            reservation.job.job_id
            for reservation in service_scheduler.reservations_by_id.values()
            if reservation.granted_at < now - RESERVATION_SECONDS
        ]
        for job_id in expired:
            service_scheduler.release(job_id, now, is_complete=False)

    def _update_engines(self) -> None:
        now = self._app.clock.monotonic()
        for service, service_scheduler in self._schedulers_by_service.items():
            service_scheduler.set_engines(
                self._store_view.ready_upstreams(service)
            )
            self._schedule_backlog(service_scheduler, now)

    def _remove_owner(self, incarnation: str) -> None:
        for service_scheduler in self._schedulers_by_service.values():
            service_scheduler.remove_owner(incarnation)

    def _loads(self, home_incarnation: str) -> dict[str, dict[str, jobs.Load]]:
        """Return what this daemon runs that a home did not grant.

        Parameters
        ----------
        home_incarnation : str
            The home whose own grants are left out.

        Returns
        -------
        dict of str to dict of str to Load
            Loads by service and instance.
        """
        loads: dict[str, dict[str, jobs.Load]] = {}
        for reservation in self.reservations_by_id.values():
            if reservation.home_incarnation == home_incarnation:
                continue
            by_instance = loads.setdefault(reservation.service, {})
            known = by_instance.get(reservation.grant.decode, jobs.Load(0, 0))
            by_instance[reservation.grant.decode] = jobs.Load(
                known.tokens + reservation.tokens, known.requests + 1
            )
        return loads

    def _homes_to_inform(self) -> set[str]:
        """Return the homes that need this daemon's loads in each heartbeat.

        These are the homes of services for which other homes granted
        reservations. A home that was sent such loads also needs one report
        that there are none left.
        """
        homes_with_loads = {
            home
            for service in {
                reservation.service
                for reservation in self.reservations_by_id.values()
            }
            if self._loads(self._incarnation(home := self.home(service)))
        }
        due = homes_with_loads | self._informed_homes
        self._informed_homes = homes_with_loads
        return due

    def _provide_loads(self, vm: str) -> bytes | None:
        return msgspec.msgpack.encode(self._loads(self._incarnation(vm)))

    def _accept_loads(self, sender: peers.Sender, content: bytes) -> None:
        try:
            loads = _LOADS.decode(content)
        except decoding.ERRORS as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        for service, by_instance in loads.items():
            service_scheduler = self.scheduler_for(service)
            if service_scheduler is not None:
                service_scheduler.set_external_loads(
                    sender.incarnation, by_instance
                )
        for service, service_scheduler in self._schedulers_by_service.items():
            if service not in loads:
                service_scheduler.set_external_loads(sender.incarnation, {})


_LOADS = msgspec.msgpack.Decoder(dict[str, dict[str, jobs.Load]])


def _decision_message(
    service_scheduler: scheduler.Scheduler,
    job: jobs.Job,
    decision: jobs.Decision,
) -> JobDecision:
    if isinstance(decision, jobs.Grant):
        reservation = service_scheduler.reservations_by_id[job.job_id]
        return JobDecision(
            job.job_id,
            'placed',
            decision.prefill,
            decision.decode,
            cold=reservation.cold,
            waited=reservation.granted_at - job.arrived_at,
        )
    return JobDecision(
        job.job_id, 'refused', '', '', decision.retry_after, decision.reason
    )
