"""What VMs tell each other of their parts, and who has agreed."""

import collections
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers

SECTION = 'limits'
JOINING, ACTIVE, SETTLED = range(3)


class ConfigurationKey(NamedTuple):
    """News that VMs must agree on: a list's revision, limits' digest."""

    revision: int
    digest: int


NO_CONFIGURATION = ConfigurationKey(0, 0)


class LocalStatus(NamedTuple):
    """What this VM has to say.

    Attributes
    ----------
    key : ConfigurationKey
        The newest news in force here.
    since : float
        Monotonic seconds since when it is.
    tiers : list of int
        For each tier `JOINING`, `ACTIVE` or `SETTLED`.
    has_left : bool
        Whether it will never hold anything again.
    """

    key: ConfigurationKey
    since: float
    tiers: list[int]
    has_left: bool


class ShareStatus(NamedTuple):
    """What a VM says of its part.

    Attributes
    ----------
    revision, digest : int
        Its `ConfigurationKey`.
    tiers : list of int
        For each tier `JOINING`, `ACTIVE` or `SETTLED`.
    has_left : bool
        Whether it will never hold anything again.
    sent_at : float
        The sender's monotonic seconds.
    echoed_nonce, echoed_sent_at : str, float
        Incarnation's nonce and sent_at last heard from the receiver.
    """

    revision: int
    digest: int
    tiers: list[int]
    has_left: bool
    sent_at: float
    echoed_nonce: str
    echoed_sent_at: float

    @property
    def key(self) -> ConfigurationKey:
        """The news in force at the sender."""
        return ConfigurationKey(self.revision, self.digest)


class ShareStatusRequest(NamedTuple):
    """Ask a VM of another data centre for its statement."""


class ReceivedStatus(NamedTuple):
    """The latest statement of a VM.

    Attributes
    ----------
    status : ShareStatus
        Its words.
    incarnation : Incarnation
        Whose.
    sent_after : float
        LocalStatus monotonic seconds after which it was surely said.
    """

    status: ShareStatus
    incarnation: kernel.Incarnation
    sent_after: float


_DECODER = msgspec.msgpack.Decoder(ShareStatus)


class StatusExchange:
    """Sends this VM's statement and keeps those of the others.

    Parameters
    ----------
    app : Application
        Has the services ``peers`` and ``membership``.
    tiers : int
        How many tiers a statement tells of.
    refresh : callable
        Brings `own` up to date, before it is sent.

    Attributes
    ----------
    own : LocalStatus
        What is sent; set by the owner.
    received_by_vm : dict of str to ReceivedStatus
        The latest of each VM.
    counts : Counter
        Of malformed statements.
    """

    def __init__(
        self,
        app: kernel.Application,
        tiers: int,
        refresh: Callable[[], None],
    ) -> None:
        self.own = LocalStatus(NO_CONFIGURATION, 0.0, [JOINING] * tiers, False)
        self.received_by_vm: dict[str, ReceivedStatus] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._tiers = tiers
        self._refresh = refresh
        self._peers = app.find('peers', peers.Peers)
        self._view = app.find('membership', membership.Membership)
        self._view.add_section(SECTION, self._provide, self._hear)
        self._peers.handle('limits.ask', ShareStatusRequest, self._reply)
        self._peers.reply_type('limits.statement', ShareStatus)

    def agrees(self, vm: str) -> bool:
        """Return whether a VM had our news after we had it."""
        heard = self.received_by_vm.get(vm)
        if heard is None:
            return False
        same = heard.status.key == self.own.key
        return same and heard.sent_after >= self.own.since

    def has_list(self, vm: str) -> bool:
        """Return whether a VM had our list after we had it, or has left."""
        heard = self.received_by_vm.get(vm)
        if heard is None:
            return False
        if heard.status.has_left:
            return True
        same = heard.status.revision == self.own.key.revision
        return same and heard.sent_after >= self.own.since

    def confirmed_at(self, vm: str) -> float:
        """Return until when a VM surely counted us in; -inf for never."""
        heard = self.received_by_vm.get(vm)
        if heard is None or heard.status.has_left:
            return float('-inf')
        if heard.status.revision != self.own.key.revision:
            return float('-inf')
        return heard.sent_after

    def tier_state(self, vm: str, tier: int) -> int:
        """Return what a VM last said of a tier."""
        heard = self.received_by_vm.get(vm)
        return heard.status.tiers[tier] if heard else JOINING

    def departed(self) -> list[str]:
        """Return VMs that have left for good."""
        return [
            vm
            for vm, heard in self.received_by_vm.items()
            if heard.status.has_left
        ]

    def mark_left(self, sender: peers.Sender) -> None:
        """Take it that a VM has left, before its last statement comes."""
        heard = self.received_by_vm.get(sender.vm)
        if heard and str(heard.incarnation) == sender.incarnation:
            said = heard.status._replace(has_left=True)
            self.received_by_vm[sender.vm] = heard._replace(status=said)

    def invalidate(self) -> None:
        """Take nothing that was said before now as proven."""
        for vm, heard in self.received_by_vm.items():
            self.received_by_vm[vm] = heard._replace(sent_after=float('-inf'))

    def purge(self) -> None:
        """Forget VMs that membership has forgotten."""
        members = self._view.members()
        for vm in self.received_by_vm.keys() - members.keys():
            del self.received_by_vm[vm]

    async def fetch(self, vm: str) -> None:
        """Ask a VM for its statement."""
        asked = self._app.clock.monotonic()
        member = self._view.members().get(vm)
        reply = await self._peers.ask(vm, ShareStatusRequest())
        if reply.is_error() or not isinstance(reply.ok, ShareStatus):
            return
        text = member.incarnation if member else ''
        known = self.received_by_vm.get(vm)
        if known is not None:
            text = str(known.incarnation)
        incarnation = _parse(text) or kernel.Incarnation(vm, 0, '')
        self._keep(vm, ReceivedStatus(reply.ok, incarnation, asked))

    def _provide(self, vm: str) -> bytes:
        return msgspec.msgpack.encode(self._status(vm))

    async def _reply(
        self, sender: peers.Sender, ask: ShareStatusRequest
    ) -> ShareStatus:
        return self._status(sender.vm)

    def _status(self, vm: str) -> ShareStatus:
        self._refresh()
        heard = self.received_by_vm.get(vm)
        return ShareStatus(
            *self.own.key,
            self.own.tiers,
            self.own.has_left,
            self._app.clock.monotonic(),
            heard.incarnation.nonce if heard else '',
            heard.status.sent_at if heard else 0.0,
        )

    def _hear(self, sender: peers.Sender, content: bytes) -> None:
        incarnation = _parse(sender.incarnation)
        try:
            said = _DECODER.decode(content)
        except msgspec.MsgspecError:
            said = None
        if incarnation is None or said is None:
            self.counts['malformed'] += 1
            return
        echoed = said.echoed_nonce == self._app.incarnation.nonce
        now = self._app.clock.monotonic()
        if echoed and said.echoed_sent_at > now:
            self.counts['malformed'] += 1
            return
        sent_after = said.echoed_sent_at if echoed else float('-inf')
        self._keep(sender.vm, ReceivedStatus(said, incarnation, sent_after))

    def _keep(self, vm: str, heard: ReceivedStatus) -> None:
        if len(heard.status.tiers) != self._tiers:
            self.counts['malformed'] += 1
            return
        known = self.received_by_vm.get(vm)
        if known is None or heard.incarnation >= known.incarnation:
            self.received_by_vm[vm] = heard


def _parse(text: str) -> kernel.Incarnation | None:
    try:
        return kernel.Incarnation.parse(text)
    except ValueError:
        return None
