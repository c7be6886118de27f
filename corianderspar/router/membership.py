"""Which daemons are alive, found from seeds and by hearsay.

There is no list of VMs: a daemon says hello to its seeds and learns from
each heartbeat of some others. No promise rests on this view being whole.

In a small fleet each daemon sends each heartbeat to all others. In a large
one it sends to a few in turn, and tells how long ago each member that it
knows of was alive, so that a sign of life reaches all within a few beats at
a cost that does not grow with the square of the fleet.
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
# Daemons that send each beat to all: 30 messages a second.
SMALL_FLEET_DAEMONS = 12
FANOUT = 4  # peers that get one beat in a large fleet: 10 messages a second
SILENT_BEATS = 3.6  # three lost and a late one
# In a large fleet: a sign of life reached all of 79 members within 2.4 s
# while one beat in ten was lost; then some for VMs that are slow.
LARGE_FLEET_SILENT_SECONDS = 4.0
AGES_PER_BEAT = 128  # members whose age is told; 6 bytes each
GOSSIP_SECONDS = 0.1  # in which beats tell the same ages
AGE_UNIT = 0.1  # seconds; ages are told as whole numbers of them
FORGET_SECONDS = 60.0  # a peer cut off for longer joins anew
NAMED_PER_BEAT = 8  # members named in a heartbeat; it must stay small
REDIAL_SECONDS = 2.0  # between new connections to one silent peer
MEMBERS_MOST = 1024
ENDED_KEPT = 1024  # incarnations that a later one of their VM replaced
SEED = 'seed:'


class Named(NamedTuple):
    """Where a daemon is reached by its peers."""

    vm: str
    address: str


class Heartbeat(NamedTuple):
    """What a daemon tells each peer.

    Attributes
    ----------
    address, data_centre : str
        Where the sender stands.
    interval : float
        Seconds until its next beat.
    leaving : bool
        Whether it is draining.
    receives_from_peer : bool
        Whether it heard the receiver lately.
    others : tuple of Named
        Some members that it hears.
    sections : dict of str to bytes
        What other services have to say, by their names.
    ages : dict of int to int
        Units of `AGE_UNIT` since members showed a sign of life, by the mark
        of their incarnation.
    """

    address: str
    data_centre: str
    interval: float
    leaving: bool
    receives_from_peer: bool
    others: tuple[Named, ...]
    sections: dict[str, bytes]
    ages: dict[int, int]


class Member(NamedTuple):
    """Another daemon.

    Attributes
    ----------
    vm, address, data_centre, incarnation : str
        Who and where it is; no incarnation before it was heard.
    heard : float
        Monotonic seconds of its last known sign of life; -inf for none.
    met : float
        Monotonic seconds of its last beat to this daemon; -inf for none.
    since : float
        Monotonic seconds at which it became known.
    interval : float
        Seconds between its beats.
    leaving : bool
        Whether it said that it is draining.
    connected_at : float
        Monotonic seconds of the last new connection to it.
    """

    vm: str
    address: str
    data_centre: str
    incarnation: str
    heard: float
    met: float
    since: float
    interval: float
    leaving: bool
    connected_at: float


Provide = Callable[[str], bytes | None]
Accept = Callable[[peers.Sender, bytes], None]


class Membership:
    """The service ``fleet``.

    Parameters
    ----------
    address : str
        This daemon's own for peers, ip:port.
    seeds : list of str
        Addresses of daemons that may be alive.

    Attributes
    ----------
    seeds : list of str
        May be changed while the service runs.
    on_ended : list of callable
        Hooks that get each incarnation that is gone for good.
    extra_targets : list of callable
        Hooks that name VMs that should get each beat of this daemon.
    """

    name = 'fleet'
    requires: tuple[str, ...] = ('peers',)

    def __init__(self, address: str, seeds: list[str]) -> None:
        self.seeds = seeds
        self.leaving = False
        self.on_ended: list[Callable[[str], None]] = []
        self.extra_targets: list[Callable[[], set[str]]] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._address = address
        self._members_by_vm: dict[str, Member] = {}
        self._vms_by_mark: dict[int, str] = {}
        self._turns: collections.deque[str] = collections.deque()
        self._is_hurried = False
        self._gossiped = float('-inf')
        self._told: tuple[list[Member], dict[int, int]] = [], {}
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._provide_by_section: dict[str, Provide] = {}
        self._accept_by_section: dict[str, Accept] = {}

    async def start(self, app: kernel.Application) -> None:
        """Begin to send and hear heartbeats."""
        self._app = app
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('beat', Heartbeat, self._on_heartbeat)
        app.spawn(self.name, 'beat', self._run())

    async def stop(self) -> None:
        """Tell the peers that this daemon leaves."""
        self.leaving = True
        self.send_now()

    def add_section(self, name: str, provide: Provide, accept: Accept) -> None:
        """Add a section to heartbeats, as `membership.Membership` does."""
        self._provide_by_section[name] = provide
        self._accept_by_section[name] = accept

    def members(self) -> dict[str, Member]:
        """Return the other daemons by VM name."""
        return self._members_by_vm

    def is_heard(self, vm: str) -> bool:
        """Return whether a peer was heard lately."""
        member = self._members_by_vm.get(vm)
        return member is not None and bool(self._heard([member]))

    def _heard(self, members: Iterable[Member]) -> list[Member]:
        """Return those that were heard lately."""
        now = self._app.clock.monotonic()
        if self.is_large:
            since = now - LARGE_FLEET_SILENT_SECONDS
            return [member for member in members if member.heard > since]
        return [
            member
            for member in members
            if now - member.heard < SILENT_BEATS * member.interval
        ]

    @property
    def is_large(self) -> bool:
        """Whether beats go to a few peers only."""
        return self.size() > SMALL_FLEET_DAEMONS

    def live(self) -> list[str]:
        """Return all VMs that may be homes, this one included; sorted."""
        heard = self._heard(self._members_by_vm.values())
        names = [member.vm for member in heard if not member.leaving]
        if not self.leaving:
            names.append(self._app.identity.vm)
        return sorted(names)

    def live_share(self) -> float:
        """Return the share of the known daemons that are heard, 0 to 1."""
        known = [m for m in self._members_by_vm.values() if not m.leaving]
        return (len(self._heard(known)) + 1) / (len(known) + 1)

    def size(self) -> int:
        """Return how many daemons are known, this one included."""
        return len(self._members_by_vm) + 1

    def send_now(self) -> None:
        """Send a beat to every known daemon and unheard seed."""
        for vm in list(self._members_by_vm):
            self._peers.tell(vm, self._beat(vm))
        self._send_to_seeds()

    def broadcast_next(self) -> None:
        """Send the next beat to all members, also in a large fleet."""
        self._is_hurried = True

    def reconnect(self, vm: str) -> None:
        """Connect anew, in both directions, to a peer that is silent.

        Connections may be dead without a sign while the peer lives.
        """
        member = self._members_by_vm.get(vm)
        if member is None:
            return
        self._members_by_vm[vm] = member._replace(met=float('-inf'))
        self._dial_again(vm, self._app.clock.monotonic())
        self._peers.tell(vm, self._beat(vm))

    def _send_to_seeds(self) -> None:
        known = {m.address for m in self._members_by_vm.values()}
        for address in self.seeds:
            if address != self._address and address not in known:
                self._peers.connect(SEED + address, address)
                self._peers.tell(SEED + address, self._beat(''))
            else:
                self._peers.disconnect(SEED + address)

    def _send_some(self) -> None:
        """Send a beat to a few members, each in its turn."""
        chosen = {vm for hook in self.extra_targets for vm in hook()}
        chosen &= self._members_by_vm.keys()
        for _turn in range(FANOUT):
            if not self._turns:
                names = list(self._members_by_vm)
                self._app.rng.shuffle(names)
                self._turns.extend(names)
            vm = self._turns.popleft()
            if vm in self._members_by_vm:
                chosen.add(vm)
        for vm in chosen:
            self._peers.tell(vm, self._beat(vm))
        self._send_to_seeds()

    def _interval(self) -> float:
        """Return the seconds between two beats to one peer."""
        if not self.is_large:
            return HEARTBEAT_SECONDS
        return HEARTBEAT_SECONDS * len(self._members_by_vm) / FANOUT

    async def _run(self) -> None:
        while True:
            self._forget()
            self._redial()
            if self.is_large and not self._is_hurried:
                self._send_some()
            else:
                self._is_hurried = False
                self.send_now()
            await self._app.clock.sleep(HEARTBEAT_SECONDS)

    def _beat(self, vm: str) -> Heartbeat:
        heard, ages = self._gossip()
        if len(heard) > NAMED_PER_BEAT:
            heard = self._app.rng.sample(heard, NAMED_PER_BEAT)
        named = [Named(m.vm, m.address) for m in heard if m.vm != vm]
        sections = {}
        for name, provide in self._provide_by_section.items():
            content = provide(vm)
            if content is not None:
                sections[name] = content
        return Heartbeat(
            self._address,
            self._app.identity.data_centre,
            self._interval(),
            self.leaving,
            self._is_met(vm),
            tuple(named),
            sections,
            ages,
        )

    def _gossip(self) -> tuple[list[Member], dict[int, int]]:
        """Return the members that are heard, and their ages by mark.

        The beats of one round tell the same.
        """
        now = self._app.clock.monotonic()
        if self.is_large and now - self._gossiped < GOSSIP_SECONDS:
            return self._told
        heard = self._heard(self._members_by_vm.values())
        ages: dict[int, int] = {}
        if self.is_large:
            some = heard
            if len(some) > AGES_PER_BEAT:
                some = self._app.rng.sample(some, AGES_PER_BEAT)
            for member in some:
                age = int((now - member.heard) / AGE_UNIT) + 1
                ages[_mark(member.incarnation)] = age
        self._gossiped = now
        self._told = heard, ages
        return self._told

    def _is_met(self, vm: str) -> bool:
        """Return whether a peer's own beats arrive."""
        member = self._members_by_vm.get(vm)
        if member is None:
            return False
        silence = self._app.clock.monotonic() - member.met
        return silence < SILENT_BEATS * max(member.interval, self._interval())

    async def _on_heartbeat(
        self, sender: peers.Sender, beat: Heartbeat
    ) -> None:
        if sender.vm == self._app.identity.vm:
            return
        known = self._members_by_vm.get(sender.vm)
        if known is None and len(self._members_by_vm) >= MEMBERS_MOST:
            self.counts['too_many'] += 1
            return
        if sender.incarnation in self._ended:
            # Held up on its way, while its VM started anew.
            self.counts['ended'] += 1
            return
        now = self._app.clock.monotonic()
        if known is not None and known.address != beat.address:
            self._peers.disconnect(sender.vm)
        is_new = known is None or known.incarnation != sender.incarnation
        if known is not None and known.incarnation and is_new:
            self._ended[known.incarnation] = None
            if len(self._ended) > ENDED_KEPT:
                self._ended.popitem(last=False)
            self._end(known.incarnation)
            self._vms_by_mark.pop(_mark(known.incarnation), None)
        was_heard = self.is_heard(sender.vm)
        self._vms_by_mark[_mark(sender.incarnation)] = sender.vm
        self._members_by_vm[sender.vm] = Member(
            sender.vm,
            beat.address,
            beat.data_centre,
            sender.incarnation,
            now,
            now,
            known.since if known else now,
            beat.interval,
            beat.leaving,
            known.connected_at if known else now,
        )
        self._peers.connect(sender.vm, beat.address)
        if is_new or not was_heard:
            self._app.events.add(
                'fleet.heard',
                peer=sender.vm,
                incarnation=sender.incarnation,
                data_centre=beat.data_centre,
            )
        if is_new:
            # A newcomer should not wait a whole interval to hear of us.
            self._peers.tell(sender.vm, self._beat(sender.vm))
        if not beat.receives_from_peer and not is_new:
            self._dial_again(sender.vm, now)
        for other in beat.others:
            self._learn(other, now)
        self._take_ages(beat.ages, now)
        for name, content in beat.sections.items():
            accept = self._accept_by_section.get(name)
            if accept is not None:
                accept(sender, content)

    def _take_ages(self, ages: dict[int, int], now: float) -> None:
        """Take note of signs of life that a peer knows of."""
        for mark, age in ages.items():
            vm = self._vms_by_mark.get(mark)
            if vm is None:
                continue
            member = self._members_by_vm[vm]
            heard = now - age * AGE_UNIT
            if heard > member.heard:
                self._members_by_vm[vm] = member._replace(heard=heard)

    def _learn(self, other: Named, now: float) -> None:
        if (
            other.vm in self._members_by_vm
            or other.vm == self._app.identity.vm
            or len(self._members_by_vm) >= MEMBERS_MOST
        ):
            return
        self._members_by_vm[other.vm] = Member(
            other.vm,
            other.address,
            '',
            '',
            float('-inf'),
            float('-inf'),
            now,
            HEARTBEAT_SECONDS,
            False,
            now,
        )
        self._peers.connect(other.vm, other.address)
        self._peers.tell(other.vm, self._beat(other.vm))

    def _redial(self) -> None:
        now = self._app.clock.monotonic()
        for member in list(self._members_by_vm.values()):
            if not self.is_heard(member.vm):
                self._dial_again(member.vm, now)

    def _dial_again(self, vm: str, now: float) -> None:
        """Open a new connection, for the old one may be silent for good."""
        member = self._members_by_vm[vm]
        if now - member.connected_at < REDIAL_SECONDS:
            return
        self._members_by_vm[vm] = member._replace(connected_at=now)
        self._peers.disconnect(vm)
        self._peers.connect(vm, member.address)

    def _forget(self) -> None:
        now = self._app.clock.monotonic()
        for member in list(self._members_by_vm.values()):
            last = max(member.heard, member.since)
            if now - last > FORGET_SECONDS:
                del self._members_by_vm[member.vm]
                self._vms_by_mark.pop(_mark(member.incarnation), None)
                self._peers.disconnect(member.vm)
                self._end(member.incarnation)
                self._app.events.add('fleet.forgotten', peer=member.vm)

    def _end(self, incarnation: str) -> None:
        for hook in self.on_ended:
            hook(incarnation)


@functools.lru_cache(maxsize=MEMBERS_MOST)
def _mark(incarnation: str) -> int:
    """Return a short name for an incarnation, for beats."""
    return xxhash.xxh32_intdigest(incarnation.encode())
