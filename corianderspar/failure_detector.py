"""Finds engine work whose daemon is dead, and never a live one's."""

from typing import NamedTuple

from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import peers as peer_messages

DEAD_AFTER_SILENT_SECONDS = 60.0
WATCH_GAP_SECONDS = 3.0
SPEAKS_SECONDS = 1.5
MOST_SEEN = 1024
ID_SEPARATOR = '#'


class SilenceRequest(NamedTuple):
    """Asks a peer how long it has not heard a VM."""

    vm: str


class SilenceReply(NamedTuple):
    """How long a VM was not heard.

    Attributes
    ----------
    seconds : float
        Since the last heartbeat, or since this daemon began to listen
        without a break.
    listed : bool
        Whether the platform's list names the VM here.
    """

    seconds: float
    listed: bool


def incarnation_of(request_id: str) -> kernel.Incarnation | None:
    """Return the incarnation that an engine's request id names.

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
    """Says which incarnations are dead beyond doubt.

    An incarnation is dead when a newer one of the same VM was heard from
    that VM itself, after the older one's work was seen; or when its VM
    has not been in the platform's list and has not been heard for
    `DEAD_AFTER_SILENT_SECONDS` by this daemon, which was awake all that time,
    nor by any live peer of the data centre. Silence alone is never
    enough: a listed VM may be paused.

    Parameters
    ----------
    app : Application
        Gives time and identity.
    peers, membership : Peers, Membership
        Who was heard, and the platform's list.
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
        self._watched = self._awake_since
        self._absent_since_by_vm: dict[str, float] = {}
        self._seen_by_incarnation: dict[kernel.Incarnation, float] = {}
        peers.handle('silence-query', SilenceRequest, self._answer)
        peers.reply_type('silence', SilenceReply)

    def tick(self) -> None:
        """Note which VMs that were asked for the list lacks.

        Call it every second.

        A gap between two calls means that this daemon was paused, and
        that it may have missed heartbeats: all waits begin anew.
        """
        now = self._app.clock.monotonic()
        if now - self._watched > WATCH_GAP_SECONDS:
            self._awake_since = now
            self._absent_since_by_vm.clear()
        self._watched = now
        for vm in list(self._absent_since_by_vm):
            if self._listed(vm):
                del self._absent_since_by_vm[vm]

    async def is_dead(self, incarnation: kernel.Incarnation) -> bool:
        """Return whether the incarnation is dead beyond doubt."""
        self.tick()
        if self._superseded(incarnation):
            return True
        if incarnation.vm == self._app.identity.vm:
            return False
        if not self._long_gone(incarnation.vm):
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
        return not self._listed(incarnation.vm)

    def _superseded(self, incarnation: kernel.Incarnation) -> bool:
        if incarnation.vm == self._app.identity.vm:
            return incarnation < self._app.incarnation
        member = self._membership.members().get(incarnation.vm)
        if member is None or not member.incarnation:
            return False
        # A clock that was set back would make a live incarnation look the
        # older one; but then the one that looks newer speaks no more.
        if not incarnation < kernel.Incarnation.parse(member.incarnation):
            return False
        seen = self._seen_by_incarnation.setdefault(
            incarnation, self._app.clock.monotonic()
        )
        if len(self._seen_by_incarnation) > MOST_SEEN:
            del self._seen_by_incarnation[
                next(iter(self._seen_by_incarnation))
            ]
        return member.heard > seen + SPEAKS_SECONDS

    def _long_gone(self, vm: str) -> bool:
        now = self._app.clock.monotonic()
        if self._listed(vm):
            return False
        absent = now - self._absent_since_by_vm.setdefault(vm, now)
        return min(absent, self._silent(vm)) >= DEAD_AFTER_SILENT_SECONDS

    def _silent(self, vm: str) -> float:
        member = self._membership.members().get(vm)
        heard = member.heard if member is not None else float('-inf')
        since = max(heard, self._awake_since)
        return self._app.clock.monotonic() - since

    def _listed(self, vm: str) -> bool:
        if vm == self._app.identity.vm or self._membership.list_revision == 0:
            return True
        member = self._membership.members().get(vm)
        return member is not None and member.listed

    async def _answer(
        self, sender: peer_messages.Sender, query: SilenceRequest
    ) -> SilenceReply:
        self.tick()
        return SilenceReply(self._silent(query.vm), self._listed(query.vm))
