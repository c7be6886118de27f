"""HeldReservation at engines, asked of the home of their service.

The home of a service is found by rendezvous hashing over the daemons that
are heard. Two daemons may both believe that they are home, and a home may
die: then room is given twice or not at all, and engines that are full
refuse. Nothing else rests on it.
"""

import asyncio
from typing import NamedTuple

import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import homes
from corianderspar.router import membership
from corianderspar.router import scheduler
from corianderspar.router import store_view

ANSWER_SECONDS = 0.15  # for a home to say that it heard; 50 times the way
PUMP_SECONDS = 0.05  # between looks at requests whose time runs out
EXPIRE_SECONDS = 1.0  # between looks at old leases while nobody waits
LEASE_SECONDS = 30.0  # no request lasts longer
ENDS = ('whole', 'ended')


class WantRoom(NamedTuple):
    """Asks the home for engines.

    Attributes
    ----------
    service, lease : str
        For what, and the identifier of this request for room.
    prompt, named, rank : int
        As in `scheduler.Job`.
    objective, deadline : float
        Seconds from now.
    data_centre : str
        Of the asker.
    excluded : tuple of str
        Instances that failed this request.
    is_read, has_returned, has_begun : bool
        As in `scheduler.Job`.
    """

    service: str
    lease: str
    prompt: int
    named: int
    rank: int
    objective: float
    deadline: float
    data_centre: str
    excluded: tuple[str, ...]
    is_read: bool = False
    has_returned: bool = False
    has_begun: bool = False


class RoomAnswer(NamedTuple):
    """What the home says; ``kind`` is placed, refused or waiting."""

    lease: str
    kind: str
    prefill: str = ''
    decode: str = ''
    wait: float = 0.0
    why: str = ''


class RoomNews(NamedTuple):
    """What became of a lease.

    Attributes
    ----------
    service, lease : str
        Which.
    event : str
        ``read``, ``whole`` (the answer came to its end), ``ended``,
        ``full`` (the decode engine refused) or
        ``silent`` (an engine did not answer).
    instance : str
        The engine that was full or silent.
    """

    service: str
    lease: str
    event: str
    instance: str = ''


class HeldReservation(NamedTuple):
    """HeldReservation that this daemon uses.

    Attributes
    ----------
    service, lease, home : str
        Which, and the VM that gave it.
    giver : str
        Incarnation of that VM; a later one knows nothing of this room.
    grant : Grant
        The engines.
    tokens : int
        Decode memory.
    """

    service: str
    lease: str
    home: str
    giver: str
    grant: scheduler.Grant
    tokens: int


class Placement:
    """The service ``placement``: asks homes, and is a home."""

    name = 'placement'
    requires: tuple[str, ...] = ('peers', 'fleet', 'beliefs')

    def __init__(self) -> None:
        self.reservations_by_id: dict[str, HeldReservation] = {}
        self._rooms_by_service: dict[str, scheduler.Scheduler] = {}
        self._owners_by_lease: dict[str, str] = {}
        self._answers_by_lease: dict[str, asyncio.Future[RoomAnswer]] = {}
        self._sequence = 0
        self._has_waiting = asyncio.Event()
        self._told: set[str] = set()

    async def start(self, app: kernel.Application) -> None:
        """Begin to answer and to tell what this daemon runs."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._homes = homes.Homes(app, self._membership)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want_room', WantRoom, self._answer)
        self._peers.handle('room', RoomAnswer, self._hear_answer)
        self._peers.handle('room_news', RoomNews, self._hear_news)
        self._membership.add_section('rooms', self._provide, self._accept)
        self._membership.extra_targets.append(self._uninformed)
        self._membership.on_ended.append(self._forget)
        self._store_view.on_upstreams_change.append(self._refresh)
        app.spawn(self.name, 'pump', self._run())

    async def stop(self) -> None:
        """Nothing to hand on."""

    async def acquire(
        self,
        service: str,
        sizes: tuple[int, int],
        rank: int,
        objective: float,
        deadline: float,
        excluded: tuple[str, ...] = (),
        is_read: bool = False,
        has_returned: bool = False,
        has_begun: bool = False,
    ) -> HeldReservation | scheduler.Refusal:
        """Get engines for a request; waits as long as the home says.

        Parameters
        ----------
        service : str
            Whose engines.
        sizes : (int, int)
            Tokens of the prompt, and of the answer as the caller names them.
        rank : int
            0 first.
        objective, deadline : float
            Seconds from now.
        excluded : tuple of str
            Instances that failed this request.
        is_read, has_returned, has_begun : bool
            As in `scheduler.Job`.
        """
        self._sequence += 1
        lease = f'{self._app.incarnation}/{self._sequence}'
        want = WantRoom(
            service,
            lease,
            sizes[0],
            sizes[1],
            rank,
            objective,
            deadline,
            self._app.identity.data_centre,
            excluded,
            is_read,
            has_returned,
            has_begun,
        )
        home = self.home(service)
        waiting: asyncio.Future[RoomAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._answers_by_lease[lease] = waiting
        try:
            found = await self._ask(home, want, waiting, deadline)
        except BaseException:
            self._tell(home, RoomNews(service, lease, 'ended'))
            raise
        finally:
            del self._answers_by_lease[lease]
        if found.kind != 'placed':
            return scheduler.Refusal(found.wait, found.why)
        room = HeldReservation(
            service,
            lease,
            home,
            self._incarnation(home),
            scheduler.Grant(found.prefill, found.decode),
            sum(sizes),
        )
        self.reservations_by_id[lease] = room
        return room

    def report(
        self, room: HeldReservation, event: str, instance: str = ''
    ) -> None:
        """Tell the home what became of a lease; see `RoomNews`."""
        if event in ENDS:
            self.reservations_by_id.pop(room.lease, None)
        self._tell(
            room.home, RoomNews(room.service, room.lease, event, instance)
        )

    def home(self, service: str) -> str:
        """Return the VM that is home of a service."""
        return self._homes.home(service)

    def scheduler_for(self, service: str) -> scheduler.Scheduler | None:
        """Return this daemon's service_scheduler of a service."""
        known = self._rooms_by_service.get(service)
        config = self._store_view.configuration
        found = config.services_by_name.get(service) if config else None
        if found is None or found.engine is None:
            return known
        if known is not None:
            known.limits = found.engine
            return known
        made = scheduler.Scheduler(found.engine)
        made.set_engines(self._store_view.ready_upstreams(service))
        self._rooms_by_service[service] = made
        return made

    def _incarnation(self, vm: str) -> str:
        if vm == self._app.identity.vm:
            return str(self._app.incarnation)
        member = self._membership.members().get(vm)
        return member.incarnation if member else ''

    async def _ask(
        self,
        home: str,
        want: WantRoom,
        waiting: asyncio.Future[RoomAnswer],
        deadline: float,
    ) -> RoomAnswer:
        own = self._app.identity.vm
        if home == own:
            answer = self._decide(want, str(self._app.incarnation), own)
        else:
            reply = await self._peers.ask(home, want, ANSWER_SECONDS)
            if reply.is_error():
                # It may still have given room, which it frees on this news.
                self._homes.mark_unresponsive(
                    home, want.service, reply.error.code
                )
                self._tell(home, RoomNews(want.service, want.lease, 'ended'))
                home = own
                answer = self._decide(want, str(self._app.incarnation), own)
            else:
                answer = reply.ok
        if answer.kind != 'waiting':
            return answer
        try:
            async with asyncio.timeout(deadline):
                return await waiting
        except TimeoutError:
            self._tell(home, RoomNews(want.service, want.lease, 'ended'))
            return RoomAnswer(want.lease, 'refused', '', '', 1.0, 'no word')

    def _tell(self, home: str, news: RoomNews) -> None:
        if home == self._app.identity.vm:
            self._take_news(news)
        else:
            self._peers.tell(home, news)

    async def _answer(
        self, sender: peers.Sender, want: WantRoom
    ) -> RoomAnswer:
        return self._decide(want, sender.incarnation, sender.vm)

    def _decide(self, want: WantRoom, owner: str, vm: str) -> RoomAnswer:
        service_scheduler = self.scheduler_for(want.service)
        if service_scheduler is None:
            return RoomAnswer(
                want.lease, 'refused', '', '', 1.0, 'service unknown at home'
            )
        # A daemon that has just become home runs what others had placed.
        own = str(self._app.incarnation)
        service_scheduler.set_external_loads(
            own, self._loads(own).get(want.service, {})
        )
        now = self._app.clock.monotonic()
        ask = scheduler.Job(
            want.lease,
            owner,
            want.prompt,
            want.named,
            want.rank,
            now,
            now + want.objective,
            now + want.deadline,
            want.data_centre,
            want.excluded,
            want.is_read,
            want.has_returned,
            want.has_begun,
        )
        decision = service_scheduler.submit(ask, now)
        if decision is None:
            self._owners_by_lease[want.lease] = vm
            self._has_waiting.set()
            return RoomAnswer(want.lease, 'waiting')
        return _say(want.lease, decision)

    async def _hear_answer(
        self, _sender: peers.Sender, answer: RoomAnswer
    ) -> None:
        self._take_answer(answer)

    def _take_answer(self, answer: RoomAnswer) -> None:
        waiting = self._answers_by_lease.get(answer.lease)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def _hear_news(self, _sender: peers.Sender, news: RoomNews) -> None:
        self._take_news(news)

    def _take_news(self, news: RoomNews) -> None:
        service_scheduler = self.scheduler_for(news.service)
        if service_scheduler is None:
            return
        now = self._app.clock.monotonic()
        if news.event == 'read':
            service_scheduler.note_prefilled(news.lease, now)
        elif news.event in ENDS:
            service_scheduler.release(news.lease, now, news.event == 'whole')
            self._owners_by_lease.pop(news.lease, None)
        elif news.event == 'full':
            service_scheduler.avoid(
                news.instance, now, scheduler.FULL_AVOID_SECONDS
            )
        elif news.event == 'silent':
            service_scheduler.suspect(news.instance, now)
        self._pump(service_scheduler, now)

    def _pump(
        self, service_scheduler: scheduler.Scheduler, now: float
    ) -> None:
        for ask, decision in service_scheduler.schedule_backlog(now):
            answer = _say(ask.lease, decision)
            vm = self._owners_by_lease.pop(ask.lease, '')
            if vm == self._app.identity.vm:
                self._take_answer(answer)
            elif vm:
                self._peers.tell(vm, answer)

    async def _run(self) -> None:
        """Look at requests that wait, and now and then at old leases."""
        while True:
            schedulers = self._rooms_by_service.values()
            if any(
                service_scheduler.backlog_size()
                for service_scheduler in schedulers
            ):
                await self._app.clock.sleep(PUMP_SECONDS)
            else:
                self._has_waiting.clear()
                try:
                    async with asyncio.timeout(EXPIRE_SECONDS):
                        await self._has_waiting.wait()
                except TimeoutError:
                    pass  # nobody came to wait
            now = self._app.clock.monotonic()
            for service_scheduler in self._rooms_by_service.values():
                self._expire(service_scheduler, now)
                if service_scheduler.backlog_size():
                    self._pump(service_scheduler, now)

    def _expire(
        self, service_scheduler: scheduler.Scheduler, now: float
    ) -> None:
        due = [
            held.ask.lease
            for held in service_scheduler.reservations_by_id.values()
            if held.since < now - LEASE_SECONDS
        ]
        for lease in due:
            service_scheduler.release(lease, now, is_whole=False)

    def _refresh(self) -> None:
        now = self._app.clock.monotonic()
        for service, service_scheduler in self._rooms_by_service.items():
            service_scheduler.set_engines(
                self._store_view.ready_upstreams(service)
            )
            self._pump(service_scheduler, now)

    def _forget(self, incarnation: str) -> None:
        for service_scheduler in self._rooms_by_service.values():
            service_scheduler.remove_owner(incarnation)

    def _loads(self, giver: str) -> dict[str, dict[str, scheduler.Load]]:
        """Return what this daemon runs, but for what a giver gave."""
        loads: dict[str, dict[str, scheduler.Load]] = {}
        for room in self.reservations_by_id.values():
            if room.giver == giver:
                continue
            by_engine = loads.setdefault(room.service, {})
            known = by_engine.get(room.grant.decode, scheduler.Load(0, 0))
            by_engine[room.grant.decode] = scheduler.Load(
                known.tokens + room.tokens, known.requests + 1
            )
        return loads

    def _uninformed(self) -> set[str]:
        """Return the homes that must hear what runs under others' leases.

        A home that heard of such runs must also hear that there are none.
        """
        found = {
            home
            for service in {
                r.service for r in self.reservations_by_id.values()
            }
            if self._loads(self._incarnation(home := self.home(service)))
        }
        due = found | self._told
        self._told = found
        return due

    def _provide(self, vm: str) -> bytes | None:
        return msgspec.msgpack.encode(self._loads(self._incarnation(vm)))

    def _accept(self, sender: peers.Sender, content: bytes) -> None:
        try:
            loads = _LOADS.decode(content)
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        for service, by_engine in loads.items():
            service_scheduler = self.scheduler_for(service)
            if service_scheduler is not None:
                service_scheduler.set_external_loads(
                    sender.incarnation, by_engine
                )
        for service, service_scheduler in self._rooms_by_service.items():
            if service not in loads:
                service_scheduler.set_external_loads(sender.incarnation, {})


_LOADS = msgspec.msgpack.Decoder(dict[str, dict[str, scheduler.Load]])


def _say(lease: str, decision: scheduler.Decision) -> RoomAnswer:
    if isinstance(decision, scheduler.Grant):
        return RoomAnswer(lease, 'placed', decision.prefill, decision.decode)
    return RoomAnswer(
        lease, 'refused', '', '', decision.retry_after, decision.reason
    )
