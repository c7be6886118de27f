"""Detection of dead daemons, whose requests engines may still run."""

from typing import NamedTuple

from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import peers as peer_messages

DEAD_AFTER_SILENT_SECONDS = 60.0
PAUSE_SECONDS = 3.0
SUPERSEDED_MARGIN_SECONDS = 1.5
MAX_SEEN_INCARNATIONS = 1024
ID_SEPARATOR = '#'


class SilenceRequest(NamedTuple):
    """Ask a peer for how long it has received no heartbeat of a VM."""

    vm: str


class SilenceReply(NamedTuple):
    """For how long the sender has received no heartbeat of a VM.

    Attributes
    ----------
    seconds : float
        Seconds since the last heartbeat, or since the end of the sender's
        own last pause if that is later.
    listed : bool
        Whether the VM is in the platform's list that the sender has.
    """

    seconds: float
    listed: bool


def incarnation_of(request_id: str) -> kernel.Incarnation | None:
    """Return the incarnation that started a request, None if unreadable.

    Examples
    --------
    >>> incarnation_of('vm1/17/ab#3').vm
    'vm1'
    >>> incarnation_of('other') is None
    True
    """
    incarnation, separator, _number = request_id.rpartition(ID_SEPARATOR)
    if not separator:
        return None
    try:
        return kernel.Incarnation.parse(incarnation)
    except ValueError:
        return None


class FailureDetector:
    """Decides which incarnations of daemons are certainly dead.

    An incarnation is dead in one of two cases. Either a newer incarnation
    of its VM sent a heartbeat after a request of the older one was seen.
    Or for `DEAD_AFTER_SILENT_SECONDS` its VM was missing from the
    platform's list, this daemon ran without a pause and received no
    heartbeat of the VM, and neither did any live peer of the data centre.
    Missing heartbeats alone don't suffice, as a VM that is listed may be
    paused.

    Parameters
    ----------
    app : Application
        Gives time and identity.
    peers : Peers
        Asks the live peers of the data centre.
    membership : Membership
        Knows the last heartbeats and the platform's list.
    """

    def __init__(
        self,
        app: kernel.Application,
        peers: peer_messages.Peers,
        membership: memberships.Membership,
    ) -> None:
        self._app = app
        self._peers = peers
        self._membership = membership
        self._awake_since = app.clock.monotonic()
        self._ticked_at = self._awake_since
        self._absent_since_by_vm: dict[str, float] = {}
        self._first_seen_by_incarnation: dict[kernel.Incarnation, float] = {}
        peers.handle('silence-query', SilenceRequest, self._on_silence_request)
        peers.add_reply_type('silence', SilenceReply)

    def tick(self) -> None:
        """Forget the absence of VMs that are listed again.

        To be called every second. A gap of more than `PAUSE_SECONDS`
        between two calls means that this daemon was paused and may have
        missed heartbeats, so that all silences and absences count anew.
        """
        now = self._app.clock.monotonic()
        if now - self._ticked_at > PAUSE_SECONDS:
            self._awake_since = now
            self._absent_since_by_vm.clear()
        self._ticked_at = now
        for vm in list(self._absent_since_by_vm):
            if self._is_listed(vm):
                del self._absent_since_by_vm[vm]

    async def is_dead(self, incarnation: kernel.Incarnation) -> bool:
        """Return whether the incarnation is certainly dead."""
        self.tick()
        if self._is_superseded(incarnation):
            return True
        if incarnation.vm == self._app.identity.vm:
            return False
        if not self._is_long_absent(incarnation.vm):
            return False
        for vm in self._membership.live():
            if vm == self._app.identity.vm:
                continue
            reply = await self._peers.ask(vm, SilenceRequest(incarnation.vm))
            if reply.is_error():
                return False
            silence: SilenceReply = reply.ok
            if silence.listed or silence.seconds < DEAD_AFTER_SILENT_SECONDS:
                return False
        return not self._is_listed(incarnation.vm)

    def _is_superseded(self, incarnation: kernel.Incarnation) -> bool:
        if incarnation.vm == self._app.identity.vm:
            return incarnation < self._app.incarnation
        member = self._membership.members().get(incarnation.vm)
        if member is None or not member.incarnation:
            return False
        # If the VM's clock was set back, its live incarnation looks like the
        # older one. The one that looks newer has then ended, so it counts
        # only if it sends a heartbeat after a request of the older was seen.
        if not incarnation < kernel.Incarnation.parse(member.incarnation):
            return False
        first_seen = self._first_seen_by_incarnation.setdefault(
            incarnation, self._app.clock.monotonic()
        )
        if len(self._first_seen_by_incarnation) > MAX_SEEN_INCARNATIONS:
            del self._first_seen_by_incarnation[
                next(iter(self._first_seen_by_incarnation))
            ]
        return member.heard > first_seen + SUPERSEDED_MARGIN_SECONDS

    def _is_long_absent(self, vm: str) -> bool:
        now = self._app.clock.monotonic()
        if self._is_listed(vm):
            return False
        absent_seconds = now - self._absent_since_by_vm.setdefault(vm, now)
        return (
            min(absent_seconds, self._silent_seconds(vm))
            >= DEAD_AFTER_SILENT_SECONDS
        )

    def _silent_seconds(self, vm: str) -> float:
        member = self._membership.members().get(vm)
        heard_at = member.heard if member is not None else float('-inf')
        since = max(heard_at, self._awake_since)
        return self._app.clock.monotonic() - since

    def _is_listed(self, vm: str) -> bool:
        if vm == self._app.identity.vm or self._membership.list_revision == 0:
            return True
        member = self._membership.members().get(vm)
        return member is not None and member.listed

    async def _on_silence_request(
        self, sender: peer_messages.Sender, request: SilenceRequest
    ) -> SilenceReply:
        self.tick()
        return SilenceReply(
            self._silent_seconds(request.vm), self._is_listed(request.vm)
        )
