"""Which daemon is the home of a shard, as seen from here."""

from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import rendezvous

DOUBT_SECONDS = 30.0


class Homes:
    """Picks homes among the live members that are not in doubt.

    A member is in doubt from an unanswered question until its next
    heartbeat, `DOUBT_SECONDS` at most. Two daemons may see different
    homes; what is promised does not rest on their agreement.

    Parameters
    ----------
    app : Application
        Gives time and identity.
    membership : Membership
        Who is alive.
    """

    def __init__(
        self, app: kernel.Application, membership: memberships.Membership
    ) -> None:
        self._app = app
        self._membership = membership
        self._doubts_by_vm: dict[str, float] = {}

    def home(self, model: str) -> str:
        """Return the home of a model's shard in this data centre."""
        live = self._membership.live()
        trusted = [vm for vm in live if not self.is_unresponsive(vm)]
        own = self._app.identity
        key = f'shard/{own.data_centre}/{model}'
        return rendezvous.home(key, trusted or live) or own.vm

    def mark_unresponsive(self, vm: str) -> None:
        """Take note that a member did not answer."""
        if vm != self._app.identity.vm:
            self._doubts_by_vm[vm] = self._app.clock.monotonic()

    def is_unresponsive(self, vm: str) -> bool:
        """Return whether a member is in doubt."""
        since = self._doubts_by_vm.get(vm)
        if since is None:
            return False
        member = self._membership.members().get(vm)
        heard = member is not None and member.heard > since
        if heard or self._app.clock.monotonic() - since > DOUBT_SECONDS:
            del self._doubts_by_vm[vm]
            return False
        return True
