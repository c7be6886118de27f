"""Membership of the fleet: which daemons are alive, learned by gossip.

There is no list of VMs. A daemon sends heartbeats to its seeds and learns of
further daemons from the heartbeats that it receives. The view may be
incomplete, and no other service relies on it being complete.

In a small fleet each daemon sends each heartbeat to all others. In a large
fleet it sends to a few peers in turn, and each heartbeat also reports how
long ago other members were last known to be alive. That way a sign of life
reaches all daemons within a few heartbeats, and the number of messages does
not grow with the square of the fleet.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import functools
from typing import NamedTuple

import xxhash

from corianderspar import kernel
from corianderspar import peers

HEARTBEAT_SECONDS = 0.4
# Up to this size each daemon sends each heartbeat to all others: about 30
# messages/s per daemon.
SMALL_FLEET_DAEMONS = 12
FANOUT = 4  # peers per heartbeat in a large fleet: 10 messages/s per daemon
SILENT_HEARTBEATS = 3.6  # allows for three lost heartbeats and a late one
# With 10 % message loss a sign of life reaches all of 79 members within
# 2.4 s; the rest is margin for slow VMs.
LARGE_FLEET_SILENT_SECONDS = 4.0
AGES_PER_HEARTBEAT = 128  # 6 bytes each
# Multiplied by the number of members per age of a heartbeat: where it exceeds
# 1, a sign of life spreads more slowly by that ratio.
SILENT_SECONDS_PER_RATIO = 2.8
GOSSIP_CACHE_SECONDS = 0.1  # heartbeats within it report the same ages
AGE_UNIT_SECONDS = 0.1  # ages are sent as whole multiples of it
FAILURE_LOG_SECONDS = 5.0  # between lines of one failing section
FORGET_SECONDS = 60.0  # a member silent for longer has to join anew
PEERS_PER_HEARTBEAT = 8  # keeps heartbeats small
RECONNECT_SECONDS = 2.0  # between new connections to one silent peer
MAX_MEMBERS = 1024
MAX_ENDED_INCARNATIONS = 1024  # kept to ignore their late heartbeats
SEED_PREFIX = 'seed:'  # names connections to seeds, whose VM is unknown


class PeerAddress(NamedTuple):
    """Where peers reach a daemon; the address is ip:port."""

    vm: str
    address: str


class Heartbeat(NamedTuple):
    """Message that a daemon sends to its peers at each interval.

    Attributes
    ----------
    address, data_centre : str
        Peer address (ip:port) and data centre of the sender.
    interval : float
        Seconds until the sender's next heartbeat to the same peer.
    leaving : bool
        Whether the sender is draining.
    receives_from_peer : bool
        Whether heartbeats of the receiver lately arrived at the sender.
    known_peers : tuple of PeerAddress
        Some of the members that the sender considers alive.
    sections : dict of str to bytes
        Content that other services attached, by section name.
    ages : dict of int to int
        Time since members were last known to be alive, in units of
        `AGE_UNIT_SECONDS`, by the hash of their incarnation. Empty in a
        small fleet.
    """

    address: str
    data_centre: str
    interval: float
    leaving: bool
    receives_from_peer: bool
    known_peers: tuple[PeerAddress, ...]
    sections: dict[str, bytes]
    ages: dict[int, int]


class Member(NamedTuple):
    """What is known of another daemon.

    Times are in monotonic seconds, -inf for never.

    Attributes
    ----------
    vm, address, data_centre : str
        Its VM, its peer address (ip:port) and its data centre. The data
        centre is empty until its first heartbeat.
    incarnation : str
        The newest of its VM; empty until its first heartbeat.
    alive_at : float
        When it was last known to be alive, from its own heartbeats or from
        the ages that others report.
    received_at : float
        When its last heartbeat arrived at this daemon.
    known_since : float
        When this daemon learned of it.
    interval : float
        Seconds between its heartbeats to one peer.
    leaving : bool
        Whether it reported that it is draining.
    connected_at : float
        When the last new connection to it was opened.
    """

    vm: str
    address: str
    data_centre: str
    incarnation: str
    alive_at: float
    received_at: float
    known_since: float
    interval: float
    leaving: bool
    connected_at: float


ProvideSection = Callable[[str], bytes | None]
AcceptSection = Callable[[peers.Sender, bytes], None]


class Membership:
    """The service ``fleet``: sends heartbeats and tracks the members.

    Parameters
    ----------
    address : str
        Address of this daemon for its peers, ip:port.
    seeds : list of str
        Peer addresses (ip:port) to contact first; some may be down.

    Attributes
    ----------
    seeds : list of str
        May be changed while the service runs.
    leaving : bool
        Whether this daemon is draining.
    on_ended : list of callable
        Hooks called with an incarnation once a later one of its VM replaced
        it or it was silent for `FORGET_SECONDS`.
    on_heard : list of callable
        Hooks called with the VM of a daemon that has started, or is alive
        again.
    extra_targets : list of callable
        Hooks that return VMs to which each heartbeat goes in addition to the
        peers whose turn it is.
    counts : Counter
        Ignored heartbeats, by the reason.
    """

    name = 'fleet'
    requires: tuple[str, ...] = ('peers',)

    def __init__(self, address: str, seeds: list[str]) -> None:
        self.seeds = seeds
        self.leaving = False
        self.on_ended: list[Callable[[str], None]] = []
        self.on_heard: list[Callable[[str], None]] = []
        self.extra_targets: list[Callable[[], set[str]]] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._address = address
        self._members_by_vm: dict[str, Member] = {}
        self._vms_by_hash: dict[int, str] = {}
        self._send_queue: collections.deque[str] = collections.deque()
        self._is_broadcast_due = False
        self._broadcast_at = float('-inf')
        self._gossip_at = float('-inf')
        self._gossip_cache: tuple[list[Member], dict[int, int]] = [], {}
        self._ended_incarnations: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._provide_by_section: dict[str, ProvideSection] = {}
        self._accept_by_section: dict[str, AcceptSection] = {}
        self._log_at_by_failure: dict[tuple[str, str], float] = {}

    async def start(self, app: kernel.Application) -> None:
        """Begin to send and receive heartbeats."""
        self._app = app
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('beat', Heartbeat, self._on_heartbeat)
        app.keep_running(
            self.name,
            'beat',
            self._send_heartbeats,
            kernel.MAX_SILENCE_SECONDS,
        )

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

    def members(self) -> dict[str, Member]:
        """Return the other daemons by VM name."""
        return self._members_by_vm

    def is_alive(self, vm: str) -> bool:
        """Return whether a VM is known and considered alive."""
        member = self._members_by_vm.get(vm)
        return member is not None and bool(self._alive([member]))

    def _alive(self, members: Iterable[Member]) -> list[Member]:
        """Return the members that are considered alive."""
        now = self._app.clock.monotonic()
        if self.is_large:
            since = now - self._large_fleet_silent_seconds()
            return [member for member in members if member.alive_at > since]
        return [
            member
            for member in members
            if now - member.alive_at < SILENT_HEARTBEATS * member.interval
        ]

    def _large_fleet_silent_seconds(self) -> float:
        """Return the time without a sign of life that makes one silent."""
        ratio = self.size() / AGES_PER_HEARTBEAT
        return max(
            LARGE_FLEET_SILENT_SECONDS, SILENT_SECONDS_PER_RATIO * ratio
        )

    @property
    def is_large(self) -> bool:
        """Whether heartbeats go to a few peers in turn, not to all."""
        return self.size() > SMALL_FLEET_DAEMONS

    def live(self) -> list[str]:
        """Return the live VMs that are not draining, sorted.

        These are the candidates for homes. This VM is one of them unless it
        is draining.
        """
        alive = self._alive(self._members_by_vm.values())
        names = [member.vm for member in alive if not member.leaving]
        if not self.leaving:
            names.append(self._app.identity.vm)
        return sorted(names)

    def live_share(self) -> float:
        """Return the share of the known daemons that are alive, 0 to 1.

        Draining members do not count; this daemon does.
        """
        known = [m for m in self._members_by_vm.values() if not m.leaving]
        return (len(self._alive(known)) + 1) / (len(known) + 1)

    def size(self) -> int:
        """Return the number of known daemons, this one included."""
        return len(self._members_by_vm) + 1

    def send_now(self) -> None:
        """Send a heartbeat to all members and to seeds not yet known."""
        for vm in list(self._members_by_vm):
            self._peers.tell(vm, self._make_heartbeat(vm))
        self._send_to_seeds()

    def broadcast_next(self) -> None:
        """Send the next heartbeat to all members, even in a large fleet."""
        self._is_broadcast_due = True

    def broadcast_soon(self) -> None:
        """Send a heartbeat to all members at once, unless one was just sent.

        In that case the next one goes to all members.
        """
        now = self._app.clock.monotonic()
        if now - self._broadcast_at < HEARTBEAT_SECONDS:
            self.broadcast_next()
            return
        self._broadcast_at = now
        self.send_now()

    def reconnect(self, vm: str) -> None:
        """Replace the connections to and from a peer that does not answer.

        A connection may be half-open while the peer is alive. The heartbeat
        that follows reports that nothing arrives from the peer, upon which
        the peer opens a new connection as well.
        """
        member = self._members_by_vm.get(vm)
        if member is None:
            return
        self._members_by_vm[vm] = member._replace(received_at=float('-inf'))
        self._open_new_connection(vm, self._app.clock.monotonic())
        self._peers.tell(vm, self._make_heartbeat(vm))

    def _send_to_seeds(self) -> None:
        known = {m.address for m in self._members_by_vm.values()}
        for address in self.seeds:
            if address != self._address and address not in known:
                self._peers.connect(SEED_PREFIX + address, address)
                self._peers.tell(
                    SEED_PREFIX + address, self._make_heartbeat('')
                )
            else:
                self._peers.disconnect(SEED_PREFIX + address)

    def _send_to_next_peers(self) -> None:
        """Send a heartbeat to the next members in turn."""
        chosen = {vm for hook in self.extra_targets for vm in hook()}
        chosen &= self._members_by_vm.keys()
        for _ in range(FANOUT):
            if not self._send_queue:
                names = list(self._members_by_vm)
                self._app.rng.shuffle(names)
                self._send_queue.extend(names)
            vm = self._send_queue.popleft()
            if vm in self._members_by_vm:
                chosen.add(vm)
        for vm in chosen:
            self._peers.tell(vm, self._make_heartbeat(vm))
        self._send_to_seeds()

    def _interval(self) -> float:
        """Return the seconds between two heartbeats to one peer."""
        if not self.is_large:
            return HEARTBEAT_SECONDS
        return HEARTBEAT_SECONDS * len(self._members_by_vm) / FANOUT

    async def _send_heartbeats(self) -> None:
        while True:
            self._app.report_progress()
            self._forget_silent()
            self._reconnect_silent()
            if self.is_large and not self._is_broadcast_due:
                self._send_to_next_peers()
            else:
                self._is_broadcast_due = False
                self.send_now()
            await self._app.clock.sleep(HEARTBEAT_SECONDS)

    def _make_heartbeat(self, vm: str) -> Heartbeat:
        alive, ages = self._gossip()
        if len(alive) > PEERS_PER_HEARTBEAT:
            alive = self._app.rng.sample(alive, PEERS_PER_HEARTBEAT)
        addresses = [PeerAddress(m.vm, m.address) for m in alive if m.vm != vm]
        return Heartbeat(
            self._address,
            self._app.identity.data_centre,
            self._interval(),
            self.leaving,
            self._receives_from(vm),
            tuple(addresses),
            self._provide_sections(vm),
            ages,
        )

    def _provide_sections(self, vm: str) -> dict[str, bytes]:
        """Return the content of a heartbeat to a VM, by section.

        A section that fails is left out. Without any heartbeats, peers would
        take this daemon for dead.
        """
        sections = {}
        for name, provide in self._provide_by_section.items():
            try:
                content = provide(vm)
            except Exception as error:  # noqa: BLE001
                self._log_section_failure(name, 'provide', error)
                continue
            if content is not None:
                sections[name] = content
        return sections

    def _log_section_failure(
        self, name: str, step: str, error: Exception
    ) -> None:
        """Log a failure unless the same one was just logged."""
        now = self._app.clock.monotonic()
        if now < self._log_at_by_failure.get((name, step), now):
            return
        self._log_at_by_failure[name, step] = now + FAILURE_LOG_SECONDS
        self._app.events.add(
            'heartbeat.section_failed',
            section=name,
            step=step,
            error=type(error).__name__,
            place=kernel.Failure(self.name, name, error).place,
        )

    def _gossip(self) -> tuple[list[Member], dict[int, int]]:
        """Return the live members, and ages by incarnation hash.

        In a large fleet the result is shared by the heartbeats of one round.
        """
        now = self._app.clock.monotonic()
        if self.is_large and now - self._gossip_at < GOSSIP_CACHE_SECONDS:
            return self._gossip_cache
        alive = self._alive(self._members_by_vm.values())
        ages: dict[int, int] = {}
        if self.is_large:
            reported = alive
            if len(reported) > AGES_PER_HEARTBEAT:
                reported = self._app.rng.sample(reported, AGES_PER_HEARTBEAT)
            for member in reported:
                age = int((now - member.alive_at) / AGE_UNIT_SECONDS) + 1
                ages[_hash_incarnation(member.incarnation)] = age
        self._gossip_at = now
        self._gossip_cache = alive, ages
        return self._gossip_cache

    def _receives_from(self, vm: str) -> bool:
        """Return whether heartbeats of a peer arrive at this daemon."""
        member = self._members_by_vm.get(vm)
        if member is None:
            return False
        silence = self._app.clock.monotonic() - member.received_at
        return silence < SILENT_HEARTBEATS * max(
            member.interval, self._interval()
        )

    async def _on_heartbeat(
        self, sender: peers.Sender, heartbeat: Heartbeat
    ) -> None:
        if sender.vm == self._app.identity.vm:
            return
        known = self._members_by_vm.get(sender.vm)
        if known is None and len(self._members_by_vm) >= MAX_MEMBERS:
            self.counts['too_many'] += 1
            return
        if sender.incarnation in self._ended_incarnations:
            # Sent before its VM restarted and delivered after.
            self.counts['ended'] += 1
            return
        now = self._app.clock.monotonic()
        if known is not None and known.address != heartbeat.address:
            self._peers.disconnect(sender.vm)
        is_new = known is None or known.incarnation != sender.incarnation
        if known is not None and known.incarnation and is_new:
            self._ended_incarnations[known.incarnation] = None
            if len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
                self._ended_incarnations.popitem(last=False)
            self._notify_ended(known.incarnation)
            self._vms_by_hash.pop(_hash_incarnation(known.incarnation), None)
        was_alive = self.is_alive(sender.vm)
        self._vms_by_hash[_hash_incarnation(sender.incarnation)] = sender.vm
        self._members_by_vm[sender.vm] = Member(
            sender.vm,
            heartbeat.address,
            heartbeat.data_centre,
            sender.incarnation,
            now,
            now,
            known.known_since if known else now,
            heartbeat.interval,
            heartbeat.leaving,
            known.connected_at if known else now,
        )
        self._peers.connect(sender.vm, heartbeat.address)
        if is_new or not was_alive:
            self._app.events.add(
                'fleet.heard',
                peer=sender.vm,
                incarnation=sender.incarnation,
                data_centre=heartbeat.data_centre,
            )
        if is_new:
            # Otherwise it learns of this daemon only an interval later.
            self._peers.tell(sender.vm, self._make_heartbeat(sender.vm))
        if is_new or not was_alive:
            for hook in self.on_heard:
                hook(sender.vm)
        if not heartbeat.receives_from_peer and not is_new:
            self._open_new_connection(sender.vm, now)
        for known_peer in heartbeat.known_peers:
            self._add_member(known_peer, now)
        self._apply_ages(heartbeat.ages, now)
        for name, content in heartbeat.sections.items():
            accept = self._accept_by_section.get(name)
            if accept is None:
                continue
            try:
                accept(sender, content)
            except Exception as error:  # noqa: BLE001 - others are accepted
                self._log_section_failure(name, 'accept', error)

    def _apply_ages(self, ages: dict[int, int], now: float) -> None:
        """Update when members were last alive from a peer's report."""
        for incarnation_hash, age in ages.items():
            vm = self._vms_by_hash.get(incarnation_hash)
            if vm is None:
                continue
            member = self._members_by_vm[vm]
            alive_at = now - age * AGE_UNIT_SECONDS
            if alive_at > member.alive_at:
                self._members_by_vm[vm] = member._replace(alive_at=alive_at)

    def _add_member(self, known_peer: PeerAddress, now: float) -> None:
        if (
            known_peer.vm in self._members_by_vm
            or known_peer.vm == self._app.identity.vm
            or len(self._members_by_vm) >= MAX_MEMBERS
        ):
            return
        self._members_by_vm[known_peer.vm] = Member(
            known_peer.vm,
            known_peer.address,
            '',
            '',
            float('-inf'),
            float('-inf'),
            now,
            HEARTBEAT_SECONDS,
            False,
            now,
        )
        self._peers.connect(known_peer.vm, known_peer.address)
        self._peers.tell(known_peer.vm, self._make_heartbeat(known_peer.vm))

    def _reconnect_silent(self) -> None:
        now = self._app.clock.monotonic()
        for member in list(self._members_by_vm.values()):
            if not self.is_alive(member.vm):
                self._open_new_connection(member.vm, now)

    def _open_new_connection(self, vm: str, now: float) -> None:
        """Replace the connection to a peer, as it may be half-open.

        Does nothing within `RECONNECT_SECONDS` of the last new connection.
        """
        member = self._members_by_vm[vm]
        if now - member.connected_at < RECONNECT_SECONDS:
            return
        self._members_by_vm[vm] = member._replace(connected_at=now)
        self._peers.disconnect(vm)
        self._peers.connect(vm, member.address)

    def _forget_silent(self) -> None:
        now = self._app.clock.monotonic()
        for member in list(self._members_by_vm.values()):
            last = max(member.alive_at, member.known_since)
            if now - last > FORGET_SECONDS:
                del self._members_by_vm[member.vm]
                self._vms_by_hash.pop(
                    _hash_incarnation(member.incarnation), None
                )
                self._peers.disconnect(member.vm)
                self._notify_ended(member.incarnation)
                self._app.events.add('fleet.forgotten', peer=member.vm)

    def _notify_ended(self, incarnation: str) -> None:
        for hook in self.on_ended:
            hook(incarnation)


@functools.lru_cache(maxsize=MAX_MEMBERS)
def _hash_incarnation(incarnation: str) -> int:
    """Return the 32-bit hash that stands for an incarnation in ages."""
    return xxhash.xxh32_intdigest(incarnation.encode())
