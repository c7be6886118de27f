"""Membership of the fleet, from the platform's VM list and heartbeats."""

import collections
from collections.abc import Callable
from typing import NamedTuple

from corianderspar import kernel
from corianderspar import peers
from corianderspar import platform_client
from corianderspar import rendezvous

HEARTBEAT_SECONDS = 1.0
SILENT_HEARTBEATS = 3.5  # intervals after which a silent VM is not live
PEERS_PER_SECOND = 12  # with more recipients, the interval grows
PAUSE_SECONDS = 5.0  # a heartbeat later than this means a paused process
FORGET_SECONDS = 300.0  # of silence, for VMs that are not listed
MAX_MEMBERS = 4096
MAX_INTERVAL_SECONDS = 60.0
RELAYS_PER_DATA_CENTRE = 2


class Heartbeat(NamedTuple):
    """Message that a daemon sends to its peers at each interval.

    Attributes
    ----------
    data_centre, region : str
        Data centre and region of the sender.
    peer_address, http_address : str
        Addresses of the sender for peers and for callers, ip:port.
    leaving : bool
        Whether the sender is draining.
    sections : dict of str to bytes
        Content that other services attached, by section name.
    interval : float
        Seconds until the sender's next heartbeat.
    """

    data_centre: str
    region: str
    peer_address: str
    http_address: str
    leaving: bool
    sections: dict[str, bytes]
    interval: float = HEARTBEAT_SECONDS


class Member(NamedTuple):
    """A daemon that the platform lists or that sent a heartbeat.

    Attributes
    ----------
    vm, data_centre, region, peer_address, http_address : str
        As in `platform_client.ListedVm`.
    leaving : bool
        Whether it is draining, or the platform lists its VM as leaving.
    listed : bool
        Whether it is on the platform's VM list.
    incarnation : str
        The newest that sent a heartbeat; empty for none.
    heard : float
        Monotonic seconds at which its last heartbeat arrived; -inf for
        none.
    interval : float
        Seconds between its heartbeats.
    is_draining : bool
        Whether its last heartbeat reported that it is draining.
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
    """The service ``membership``: sends heartbeats and tracks the members.

    Heartbeats go to all members in the same data centre; across data centres
    only the relays exchange them. Other services add sections, so that one
    small message per peer carries the state of all of them.

    Parameters
    ----------
    peer_address, http_address : str
        Addresses of this daemon for peers and for callers, ip:port.

    Attributes
    ----------
    leaving : bool
        Whether this daemon is draining.
    list_revision : int
        Revision of the VM list in use; 0 for none.
    on_change : list of callable
        Hooks called when the members changed.
    on_paused : list of callable
        Hooks called with the seconds for which this process was paused.
    on_superseded : list of callable
        Hooks called when a newer process of this VM sent a heartbeat.
    counts : Counter
        Ignored heartbeats by the reason, and pauses.
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
        """Begin to send and receive heartbeats."""
        self._app = app
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('heartbeat', Heartbeat, self._on_heartbeat)
        app.keep_running(self.name, 'beat', self._send_heartbeats)

    async def stop(self) -> None:
        """Notify the peers that this daemon leaves."""
        self.leaving = True
        self.send_now()

    def add_section(
        self, name: str, provide: ProvideSection, accept: AcceptSection
    ) -> None:
        """Add a section to heartbeats.

        Parameters
        ----------
        name : str
            Name of the section; sent in each heartbeat, so keep it short.
        provide : callable
            Called with the receiving VM; returns the content for it, or None
            to leave the section out.
        accept : callable
            Called with the sender and the content of a received section.
        """
        self._provide_by_section[name] = provide
        self._accept_by_section[name] = accept

    def adopt_list(self, listed: platform_client.VmList) -> None:
        """Adopt a VM list of the platform, unless it is not newer."""
        if listed.revision <= self.list_revision:
            return
        self.list_revision = listed.revision
        vms_by_name = {listed_vm.name: listed_vm for listed_vm in listed.vms}
        for vm, member in list(self._members_by_vm.items()):
            if vm not in vms_by_name:
                self._members_by_vm[vm] = member._replace(listed=False)
        for listed_vm in listed.vms:
            self._adopt_listed_vm(listed_vm)
        self._notify_change()

    def members(self) -> dict[str, Member]:
        """Return the other daemons by VM name."""
        return self._members_by_vm

    def live(self, data_centre: str | None = None) -> list[str]:
        """Return the live VMs that are not leaving, sorted.

        These are the candidates for homes. This VM is one of them in its own
        data centre, unless it is draining.

        Parameters
        ----------
        data_centre : str or None
            Where the VMs are; None for this daemon's data centre.
        """
        own = self._app.identity
        wanted = data_centre or own.data_centre
        now = self._app.clock.monotonic()
        names = [
            member.vm
            for member in self._members_by_vm.values()
            if member.data_centre == wanted
            and member.heard >= now - SILENT_HEARTBEATS * member.interval
            and not member.leaving
        ]
        if wanted == own.data_centre and not self.leaving:
            names.append(own.vm)
        return sorted(names)

    def relays(self, data_centre: str) -> list[str]:
        """Return the VMs that exchange heartbeats with other data centres.

        While no VM of the data centre is live, all its known VMs are
        candidates.
        """
        candidates = self.live(data_centre) or sorted(
            member.vm
            for member in self._members_by_vm.values()
            if member.data_centre == data_centre
        )
        ranked = rendezvous.rank(f'relay/{data_centre}', candidates)
        return ranked[:RELAYS_PER_DATA_CENTRE]

    def send_now(self) -> None:
        """Send a heartbeat to all recipients, and recompute the interval."""
        recipients = self._recipients()
        self._interval = max(
            HEARTBEAT_SECONDS, len(recipients) / PEERS_PER_SECOND
        )
        for vm in recipients:
            self._peers.tell(vm, self._make_heartbeat(vm))

    async def _send_heartbeats(self) -> None:
        clock = self._app.clock
        last = clock.monotonic()
        while True:
            self._forget_silent(last)
            self.send_now()
            await clock.sleep(self._interval)
            now = clock.monotonic()
            if now - last > self._interval + PAUSE_SECONDS:
                self._report_pause(now - last)
            last = now

    def _report_pause(self, seconds: float) -> None:
        self.counts['paused'] += 1
        self._app.events.add('membership.paused', seconds=seconds)
        for hook in self.on_paused:
            hook(seconds)

    def _forget_silent(self, now: float) -> None:
        """Drop members that are not listed any more and long silent."""
        forgotten = [
            member.vm
            for member in self._members_by_vm.values()
            if not member.listed and member.heard < now - FORGET_SECONDS
        ]
        for vm in forgotten:
            del self._members_by_vm[vm]
            self._peers.disconnect(vm)
        if forgotten:
            self._notify_change()

    def _recipients(self) -> list[str]:
        own = self._app.identity
        recipients = [
            member.vm
            for member in self._members_by_vm.values()
            if member.data_centre == own.data_centre
        ]
        if own.vm in self.relays(own.data_centre):
            other_data_centres = {
                member.data_centre
                for member in self._members_by_vm.values()
                if member.data_centre != own.data_centre
            }
            for data_centre in sorted(other_data_centres):
                recipients.extend(self.relays(data_centre))
        return recipients

    def _make_heartbeat(self, vm: str) -> Heartbeat:
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

    async def _on_heartbeat(
        self, sender: peers.Sender, heartbeat: Heartbeat
    ) -> None:
        if not self._is_valid(sender, heartbeat):
            return
        known = self._members_by_vm.get(sender.vm)
        if known is not None and known.peer_address != heartbeat.peer_address:
            self._peers.disconnect(sender.vm)
        self._peers.connect(sender.vm, heartbeat.peer_address)
        is_listed = known is not None and known.listed
        is_listed_leaving = (
            known is not None and known.leaving and not known.is_draining
        )
        self._members_by_vm[sender.vm] = Member(
            sender.vm,
            heartbeat.data_centre,
            heartbeat.region,
            heartbeat.peer_address,
            heartbeat.http_address,
            heartbeat.leaving or (is_listed and is_listed_leaving),
            is_listed,
            sender.incarnation,
            self._app.clock.monotonic(),
            heartbeat.interval,
            heartbeat.leaving,
        )
        if (
            known is None
            or known.incarnation != sender.incarnation
            or known.leaving != heartbeat.leaving
        ):
            self._notify_change()
        for name, content in heartbeat.sections.items():
            accept = self._accept_by_section.get(name)
            if accept is not None:
                accept(sender, content)

    def _is_valid(self, sender: peers.Sender, heartbeat: Heartbeat) -> bool:
        incarnation = _parse_incarnation(sender.incarnation)
        if incarnation is None or incarnation.vm != sender.vm:
            self.counts['malformed'] += 1
            return False
        if not HEARTBEAT_SECONDS <= heartbeat.interval <= MAX_INTERVAL_SECONDS:
            self.counts['malformed'] += 1
            return False
        if sender.vm == self._app.identity.vm:
            self._on_duplicate_vm(incarnation)
            return False
        known = self._members_by_vm.get(sender.vm)
        if known is None and len(self._members_by_vm) >= MAX_MEMBERS:
            self.counts['too_many'] += 1
            return False
        newest = _parse_incarnation(known.incarnation) if known else None
        if newest is not None and incarnation < newest:
            self.counts['older_incarnation'] += 1
            return False
        return True

    def _on_duplicate_vm(self, incarnation: kernel.Incarnation) -> None:
        self.counts['namesake'] += 1
        if incarnation > self._app.incarnation:
            self._app.events.add('membership.superseded')
            for hook in self.on_superseded:
                hook()

    def _adopt_listed_vm(self, listed_vm: platform_client.ListedVm) -> None:
        if listed_vm.name == self._app.identity.vm:
            return
        known = self._members_by_vm.get(listed_vm.name)
        is_draining = known is not None and known.is_draining
        if known is not None and known.peer_address != listed_vm.peer_address:
            self._peers.disconnect(listed_vm.name)
        self._members_by_vm[listed_vm.name] = Member(
            listed_vm.name,
            listed_vm.data_centre,
            listed_vm.region,
            listed_vm.peer_address,
            listed_vm.http_address,
            listed_vm.leaving or is_draining,
            True,
            known.incarnation if known else '',
            known.heard if known else float('-inf'),
            known.interval if known else HEARTBEAT_SECONDS,
            is_draining,
        )
        self._peers.connect(listed_vm.name, listed_vm.peer_address)

    def _notify_change(self) -> None:
        for hook in self.on_change:
            hook()


def _parse_incarnation(text: str) -> kernel.Incarnation | None:
    try:
        return kernel.Incarnation.parse(text)
    except ValueError:
        return None
