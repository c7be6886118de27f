"""Which daemons are alive: the platform's list joined with heartbeats."""

import collections
from collections.abc import Callable
from typing import NamedTuple

from corianderspar import kernel
from corianderspar import peers
from corianderspar import platform_seam as platform
from corianderspar import rendezvous

HEARTBEAT_SECONDS = 1.0
SILENT_HEARTBEATS = 3.5
PEERS_PER_SECOND = 12
PAUSE_SECONDS = 5.0
FORGET_SECONDS = 300.0
MAX_MEMBERS = 4096
MAX_INTERVAL_SECONDS = 60.0
RELAYS_PER_DATA_CENTRE = 2


class Heartbeat(NamedTuple):
    """What a daemon tells its peers every second.

    Attributes
    ----------
    data_centre, region : str
        Where the daemon stands.
    peer_address, http_address : str
        ip:port for daemons, and for callers.
    leaving : bool
        Whether it is draining.
    sections : dict of str to bytes
        What other services have to say, by their names.
    interval : float
        Seconds until the next heartbeat.
    """

    data_centre: str
    region: str
    peer_address: str
    http_address: str
    leaving: bool
    sections: dict[str, bytes]
    interval: float = HEARTBEAT_SECONDS


class Member(NamedTuple):
    """A daemon that is listed by the platform or was heard.

    Attributes
    ----------
    vm, data_centre, region, peer_address, http_address : str
        As in `platform.ListedVm`.
    leaving : bool
        Whether it drains, or the platform takes the VM away.
    listed : bool
        Whether the platform's list names it.
    incarnation : str
        The newest that was heard; empty for none.
    heard : float
        Monotonic seconds of the last heartbeat; -inf for none.
    interval : float
        Seconds between its heartbeats.
    is_draining : bool
        Whether it said itself that it leaves.
    """

    vm: str
    data_centre: str
    region: str
    peer_address: str
    http_address: str
    leaving: bool = False
    listed: bool = False
    incarnation: str = ''
    heard: float = float('-inf')
    interval: float = HEARTBEAT_SECONDS
    is_draining: bool = False


ProvideSection = Callable[[str], bytes | None]
AcceptSection = Callable[[peers.Sender, bytes], None]


class Membership:
    """The service ``membership``.

    Heartbeats go to every member of the own data centre; the relays of
    each data centre exchange them with those of the others. Services add
    sections, so that one small message per peer carries all news.

    Parameters
    ----------
    peer_address, http_address : str
        This daemon's own, ip:port.

    Attributes
    ----------
    on_change : list of callable
        Hooks for changes of the members.
    on_paused : list of callable
        Hooks that get the seconds for which this process stood still.
    on_superseded : list of callable
        Hooks for hearing a newer process with this VM's name.
    counts : Counter
        Of heartbeats that were ignored, by the reason.
    """

    name = 'membership'
    requires: tuple[str, ...] = ('peers',)

    def __init__(self, peer_address: str, http_address: str = '') -> None:
        self.leaving = False
        self.list_revision = 0
        self.on_change: list[Callable[[], None]] = []
        self.on_paused: list[Callable[[float], None]] = []
        self.on_superseded: list[Callable[[], None]] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._interval = HEARTBEAT_SECONDS
        self._peer_address = peer_address
        self._http_address = http_address
        self._members_by_vm: dict[str, Member] = {}
        self._provide_by_section: dict[str, ProvideSection] = {}
        self._accept_by_section: dict[str, AcceptSection] = {}

    async def start(self, app: kernel.Application) -> None:
        """Begin to send and hear heartbeats."""
        self._app = app
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('heartbeat', Heartbeat, self._hear)
        app.spawn(self.name, 'beat', self._beat())

    async def stop(self) -> None:
        """Tell the peers that this daemon leaves."""
        self.leaving = True
        self.send_now()

    def add_section(
        self, name: str, provide: ProvideSection, accept: AcceptSection
    ) -> None:
        """Add a section to heartbeats.

        Parameters
        ----------
        name : str
            Name of the section; short, it travels.
        provide : callable
            Gets a VM's name and returns bytes for it, or None.
        accept : callable
            Gets the sender and the bytes that its section held.
        """
        self._provide_by_section[name] = provide
        self._accept_by_section[name] = accept

    def adopt_list(self, listed: platform.VmList) -> None:
        """Take a platform list, unless a newer one was taken."""
        if listed.revision <= self.list_revision:
            return
        self.list_revision = listed.revision
        lines_by_vm = {line.name: line for line in listed.vms}
        for vm, member in list(self._members_by_vm.items()):
            if vm not in lines_by_vm:
                self._members_by_vm[vm] = member._replace(listed=False)
        for line in listed.vms:
            self._adopt_line(line)
        self._changed()

    def members(self) -> dict[str, Member]:
        """Return the other daemons by VM name."""
        return self._members_by_vm

    def live(self, data_centre: str | None = None) -> list[str]:
        """Return VMs that may be homes: heard lately and not leaving.

        This VM is among them. Sorted by name.

        Parameters
        ----------
        data_centre : str or None
            Whose VMs; None for this daemon's own data centre.
        """
        own = self._app.identity
        place = data_centre or own.data_centre
        now = self._app.clock.monotonic()
        names = [
            member.vm
            for member in self._members_by_vm.values()
            if member.data_centre == place
            and member.heard >= now - SILENT_HEARTBEATS * member.interval
            and not member.leaving
        ]
        if place == own.data_centre and not self.leaving:
            names.append(own.vm)
        return sorted(names)

    def relays(self, data_centre: str) -> list[str]:
        """Return the VMs that speak for a data centre to the others."""
        known = self.live(data_centre) or sorted(
            member.vm
            for member in self._members_by_vm.values()
            if member.data_centre == data_centre
        )
        ranked = rendezvous.rank(f'relay/{data_centre}', known)
        return ranked[:RELAYS_PER_DATA_CENTRE]

    def send_now(self) -> None:
        """Send a heartbeat to every peer that gets ours."""
        audience = self._audience()
        self._interval = max(
            HEARTBEAT_SECONDS, len(audience) / PEERS_PER_SECOND
        )
        for vm in audience:
            self._peers.tell(vm, self._heartbeat(vm))

    async def _beat(self) -> None:
        clock = self._app.clock
        last = clock.monotonic()
        while True:
            self._forget(last)
            self.send_now()
            await clock.sleep(self._interval)
            now = clock.monotonic()
            if now - last > self._interval + PAUSE_SECONDS:
                self._notice_pause(now - last)
            last = now

    def _notice_pause(self, seconds: float) -> None:
        self.counts['paused'] += 1
        self._app.events.add('membership.paused', seconds=seconds)
        for hook in self.on_paused:
            hook(seconds)

    def _forget(self, now: float) -> None:
        """Forget VMs that are listed no more and silent for long."""
        gone = [
            member.vm
            for member in self._members_by_vm.values()
            if not member.listed and member.heard < now - FORGET_SECONDS
        ]
        for vm in gone:
            del self._members_by_vm[vm]
            self._peers.disconnect(vm)
        if gone:
            self._changed()

    def _audience(self) -> list[str]:
        own = self._app.identity
        audience = [
            member.vm
            for member in self._members_by_vm.values()
            if member.data_centre == own.data_centre
        ]
        if own.vm in self.relays(own.data_centre):
            elsewhere = {
                member.data_centre
                for member in self._members_by_vm.values()
                if member.data_centre != own.data_centre
            }
            for place in sorted(elsewhere):
                audience.extend(self.relays(place))
        return audience

    def _heartbeat(self, vm: str) -> Heartbeat:
        sections = {}
        for name, provide in self._provide_by_section.items():
            content = provide(vm)
            if content is not None:
                sections[name] = content
        own = self._app.identity
        return Heartbeat(
            own.data_centre,
            own.region,
            self._peer_address,
            self._http_address,
            self.leaving,
            sections,
            self._interval,
        )

    async def _hear(self, sender: peers.Sender, beat: Heartbeat) -> None:
        if not self._is_credible(sender, beat):
            return
        known = self._members_by_vm.get(sender.vm)
        if known is not None and known.peer_address != beat.peer_address:
            self._peers.disconnect(sender.vm)
        self._peers.connect(sender.vm, beat.peer_address)
        is_listed = known is not None and known.listed
        listed_leaving = (
            known is not None and known.leaving and not known.is_draining
        )
        self._members_by_vm[sender.vm] = Member(
            sender.vm,
            beat.data_centre,
            beat.region,
            beat.peer_address,
            beat.http_address,
            beat.leaving or (is_listed and listed_leaving),
            is_listed,
            sender.incarnation,
            self._app.clock.monotonic(),
            beat.interval,
            beat.leaving,
        )
        if (
            known is None
            or known.incarnation != sender.incarnation
            or known.leaving != beat.leaving
        ):
            self._changed()
        for name, content in beat.sections.items():
            accept = self._accept_by_section.get(name)
            if accept is not None:
                accept(sender, content)

    def _is_credible(self, sender: peers.Sender, beat: Heartbeat) -> bool:
        incarnation = _parse(sender.incarnation)
        if incarnation is None or incarnation.vm != sender.vm:
            self.counts['malformed'] += 1
            return False
        if not HEARTBEAT_SECONDS <= beat.interval <= MAX_INTERVAL_SECONDS:
            self.counts['malformed'] += 1
            return False
        if sender.vm == self._app.identity.vm:
            self._hear_namesake(incarnation)
            return False
        known = self._members_by_vm.get(sender.vm)
        if known is None and len(self._members_by_vm) >= MAX_MEMBERS:
            self.counts['too_many'] += 1
            return False
        newest = _parse(known.incarnation) if known else None
        if newest is not None and incarnation < newest:
            self.counts['older_incarnation'] += 1
            return False
        return True

    def _hear_namesake(self, incarnation: kernel.Incarnation) -> None:
        self.counts['namesake'] += 1
        if incarnation > self._app.incarnation:
            self._app.events.add('membership.superseded')
            for hook in self.on_superseded:
                hook()

    def _adopt_line(self, line: platform.ListedVm) -> None:
        if line.name == self._app.identity.vm:
            return
        known = self._members_by_vm.get(line.name)
        is_draining = known is not None and known.is_draining
        if known is not None and known.peer_address != line.peer_address:
            self._peers.disconnect(line.name)
        self._members_by_vm[line.name] = Member(
            line.name,
            line.data_centre,
            line.region,
            line.peer_address,
            line.http_address,
            line.leaving or is_draining,
            True,
            known.incarnation if known else '',
            known.heard if known else float('-inf'),
            known.interval if known else HEARTBEAT_SECONDS,
            is_draining,
        )
        self._peers.connect(line.name, line.peer_address)

    def _changed(self) -> None:
        for hook in self.on_change:
            hook()


def _parse(text: str) -> kernel.Incarnation | None:
    try:
        return kernel.Incarnation.parse(text)
    except ValueError:
        return None
