"""Exchange of share statuses between VMs, in heartbeats and on request."""

import collections
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from corianderspar import decoding
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers

SECTION = 'limits'
# States of a lease tier: waiting to join; holding its fraction while an older
# VM set or version is in use too; holding it with only the newest in use.
JOINING, ACTIVE, SETTLED = range(3)


class ConfigurationKey(NamedTuple):
    """Revision of the VM list and digest of the limits that a VM uses."""

    revision: int
    digest: int


NO_CONFIGURATION = ConfigurationKey(0, 0)


class LocalStatus(NamedTuple):
    """Status of this VM's share.

    Attributes
    ----------
    key : ConfigurationKey
        The newest configuration in use here.
    since : float
        Monotonic seconds from which on it is in use.
    tiers : list of int
        For each lease tier `JOINING`, `ACTIVE` or `SETTLED`.
    has_left : bool
        Whether this VM has given up its share for good.
    """

    key: ConfigurationKey
    since: float
    tiers: list[int]
    has_left: bool


class ShareStatus(NamedTuple):
    """Status of the sender's share, as sent to one VM.

    Attributes
    ----------
    revision, digest : int
        The sender's `ConfigurationKey`.
    tiers : list of int
        For each lease tier `JOINING`, `ACTIVE` or `SETTLED`.
    has_left : bool
        Whether the sender has given up its share for good.
    sent_at : float
        Monotonic seconds of the sender's clock.
    echoed_nonce, echoed_sent_at : str, float
        Nonce of the incarnation and `sent_at` of the last status that the
        sender has of the receiver; empty and 0 for none.
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
        """The newest configuration in use at the sender."""
        return ConfigurationKey(self.revision, self.digest)


class ShareStatusRequest(NamedTuple):
    """Requests the share status of a VM in another data centre."""


class ReceivedStatus(NamedTuple):
    """The latest status of a VM.

    Attributes
    ----------
    status : ShareStatus
        As received.
    incarnation : Incarnation
        The incarnation that sent it.
    sent_after : float
        Monotonic seconds of the own clock after which it was certainly
        sent; -inf if unknown.
    """

    status: ShareStatus
    incarnation: kernel.Incarnation
    sent_after: float


_DECODER = msgspec.msgpack.Decoder(ShareStatus)


class StatusExchange:
    """Sends this VM's share status and keeps those of other VMs.

    Parameters
    ----------
    app : Application
        Has the services ``peers`` and ``membership``.
    tiers : int
        Number of lease tiers in a status.
    refresh : callable
        Called before a status is sent; updates `local`.

    Attributes
    ----------
    local : LocalStatus
        What is sent; set by `VmShare`.
    received_by_vm : dict of str to ReceivedStatus
        The latest status of each VM.
    counts : Counter
        Malformed statuses that were ignored.
    """

    def __init__(
        self,
        app: kernel.Application,
        tiers: int,
        refresh: Callable[[], None],
    ) -> None:
        self.local = LocalStatus(
            NO_CONFIGURATION, 0.0, [JOINING] * tiers, False
        )
        self.received_by_vm: dict[str, ReceivedStatus] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._tiers = tiers
        self._refresh = refresh
        self._peers = app.find('peers', peers.Peers)
        self._membership = app.find('membership', membership.Membership)
        self._membership.add_section(
            SECTION, self._provide_status, self._accept_status
        )
        self._peers.handle(
            'limits.ask', ShareStatusRequest, self._on_status_request
        )
        self._peers.add_reply_type('limits.statement', ShareStatus)

    def agrees(self, vm: str) -> bool:
        """Return whether a VM uses our configuration.

        True only for a status that was sent after we adopted it.
        """
        received = self.received_by_vm.get(vm)
        if received is None:
            return False
        is_same = received.status.key == self.local.key
        return is_same and received.sent_after >= self.local.since

    def has_list(self, vm: str) -> bool:
        """Return whether a VM uses our VM list, or has left for good.

        For a VM that has not left, its status must have been sent after we
        adopted the list.
        """
        received = self.received_by_vm.get(vm)
        if received is None:
            return False
        if received.status.has_left:
            return True
        is_same = received.status.revision == self.local.key.revision
        return is_same and received.sent_after >= self.local.since

    def confirmed_at(self, vm: str) -> float:
        """Return when a VM last confirmed that it uses our VM list.

        Returns
        -------
        float
            Monotonic seconds; -inf if it did not, or has left.
        """
        received = self.received_by_vm.get(vm)
        if received is None or received.status.has_left:
            return float('-inf')
        if received.status.revision != self.local.key.revision:
            return float('-inf')
        return received.sent_after

    def tier_state(self, vm: str, tier: int) -> int:
        """Return the last reported state of a VM's lease tier."""
        received = self.received_by_vm.get(vm)
        return received.status.tiers[tier] if received else JOINING

    def departed(self) -> list[str]:
        """Return the VMs that have given up their share for good."""
        return [
            vm
            for vm, received in self.received_by_vm.items()
            if received.status.has_left
        ]

    def mark_left(self, sender: peers.Sender) -> None:
        """Record that a VM has left, before its last status arrives."""
        received = self.received_by_vm.get(sender.vm)
        if received and str(received.incarnation) == sender.incarnation:
            status = received.status._replace(has_left=True)
            self.received_by_vm[sender.vm] = received._replace(status=status)

    def invalidate(self) -> None:
        """Stop relying on the age of any status received before now."""
        for vm, received in self.received_by_vm.items():
            self.received_by_vm[vm] = received._replace(
                sent_after=float('-inf')
            )

    def purge(self) -> None:
        """Drop the statuses of VMs that are not members any more."""
        members = self._membership.members()
        for vm in self.received_by_vm.keys() - members.keys():
            del self.received_by_vm[vm]

    async def fetch(self, vm: str) -> None:
        """Request the status of a VM and store the reply."""
        requested_at = self._app.clock.monotonic()
        member = self._membership.members().get(vm)
        reply = await self._peers.ask(vm, ShareStatusRequest())
        if reply.is_error() or not isinstance(reply.ok, ShareStatus):
            return
        text = member.incarnation if member else ''
        known = self.received_by_vm.get(vm)
        if known is not None:
            text = str(known.incarnation)
        incarnation = _parse_incarnation(text) or kernel.Incarnation(vm, 0, '')
        self._store(vm, ReceivedStatus(reply.ok, incarnation, requested_at))

    def _provide_status(self, vm: str) -> bytes:
        return msgspec.msgpack.encode(self._make_status(vm))

    async def _on_status_request(
        self, sender: peers.Sender, request: ShareStatusRequest
    ) -> ShareStatus:
        return self._make_status(sender.vm)

    def _make_status(self, vm: str) -> ShareStatus:
        self._refresh()
        received = self.received_by_vm.get(vm)
        return ShareStatus(
            *self.local.key,
            self.local.tiers,
            self.local.has_left,
            self._app.clock.monotonic(),
            received.incarnation.nonce if received else '',
            received.status.sent_at if received else 0.0,
        )

    def _accept_status(self, sender: peers.Sender, content: bytes) -> None:
        incarnation = _parse_incarnation(sender.incarnation)
        try:
            status = _DECODER.decode(content)
        except decoding.ERRORS:
            status = None
        if incarnation is None or status is None:
            self.counts['malformed'] += 1
            return
        is_echo = status.echoed_nonce == self._app.incarnation.nonce
        now = self._app.clock.monotonic()
        if is_echo and status.echoed_sent_at > now:
            self.counts['malformed'] += 1
            return
        # The sender wrote it after it received our status that it echoes.
        sent_after = status.echoed_sent_at if is_echo else float('-inf')
        self._store(sender.vm, ReceivedStatus(status, incarnation, sent_after))

    def _store(self, vm: str, received: ReceivedStatus) -> None:
        if len(received.status.tiers) != self._tiers:
            self.counts['malformed'] += 1
            return
        known = self.received_by_vm.get(vm)
        if known is None or received.incarnation >= known.incarnation:
            self.received_by_vm[vm] = received


def _parse_incarnation(text: str) -> kernel.Incarnation | None:
    try:
        return kernel.Incarnation.parse(text)
    except ValueError:
        return None
