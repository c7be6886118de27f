"""Which daemon is the home of a shard, as seen by this daemon."""

from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import rendezvous

UNRESPONSIVE_SECONDS = 30.0


class Homes:
    """Picks homes by rendezvous hashing among the responsive live members.

    A member is unresponsive from a request that it did not answer until
    its next heartbeat, for `UNRESPONSIVE_SECONDS` at most. Two daemons may
    pick different homes: no guarantee depends on their agreement.

    Parameters
    ----------
    app : Application
        Gives time and identity.
    membership : Membership
        The live members.
    """

    def __init__(
        self, app: kernel.Application, membership: memberships.Membership
    ) -> None:
        self._app = app
        self._membership = membership
        self._unresponsive_since_by_vm: dict[str, float] = {}

    def home(self, model: str) -> str:
        """Return the VM that is home of a model's shard in this data centre.

        Unresponsive members are eligible if no other member is live; this
        VM is home if none is.
        """
        live = self._membership.live()
        responsive = [vm for vm in live if not self.is_unresponsive(vm)]
        own = self._app.identity
        key = f'shard/{own.data_centre}/{model}'
        return rendezvous.home(key, responsive or live) or own.vm

    def mark_unresponsive(self, vm: str) -> None:
        """Mark a member that did not answer a request as unresponsive."""
        if vm != self._app.identity.vm:
            self._unresponsive_since_by_vm[vm] = self._app.clock.monotonic()

    def is_unresponsive(self, vm: str) -> bool:
        """Return whether a member is unresponsive."""
        since = self._unresponsive_since_by_vm.get(vm)
        if since is None:
            return False
        member = self._membership.members().get(vm)
        heard = member is not None and member.heard > since
        if heard or self._app.clock.monotonic() - since > UNRESPONSIVE_SECONDS:
            del self._unresponsive_since_by_vm[vm]
            return False
        return True
