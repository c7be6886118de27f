"""Choice of the daemons that read the store for others.

In a large fleet each change of the store would otherwise cost a call by
every daemon. A few relays in each data centre read the store, and the other
daemons ask one of them. Daemons that disagree on which members are alive
disagree on the relays, in which case a few more read the store; the state is
correct whoever passes it on, as its staleness comes with it.
"""

from corianderspar import kernel
from corianderspar import rendezvous
from corianderspar.router import membership

RELAYS_PER_DATA_CENTRE = 2  # with one failed the others can go on at once
SKIP_SECONDS = 2.0  # during which a relay that failed to answer is skipped


class Relays:
    """Relays by rendezvous hashing over the live daemons.

    Parameters
    ----------
    app : Application
        Provides the clock, the event log and this daemon's identity.
    members : Membership
        Provides the live daemons.
    """

    def __init__(
        self, app: kernel.Application, members: membership.Membership
    ) -> None:
        self._app = app
        self._membership = members
        self._unresponsive_until_by_vm: dict[str, float] = {}

    def choose(self) -> str | None:
        """Return the VM of the relay to ask.

        Returns
        -------
        str or None
            None if this daemon is to read the store itself; empty if it is
            to ask a relay but all of them are skipped at present.
        """
        live = self._membership.live()
        if len(live) <= membership.SMALL_FLEET_DAEMONS:
            return None
        own = self._app.identity
        local = [
            vm
            for vm in live
            if vm == own.vm
            or self._membership.members()[vm].data_centre == own.data_centre
        ]
        now = self._app.clock.monotonic()
        ranked = rendezvous.rank('store', local)[:RELAYS_PER_DATA_CENTRE]
        if own.vm in ranked:
            return None
        for vm in ranked:
            if self._unresponsive_until_by_vm.get(vm, 0.0) <= now:
                return vm
        return ''

    def mark_unresponsive(self, relay: str, reason: str) -> None:
        """Skip a relay for `SKIP_SECONDS`, as it gave no verified state."""
        now = self._app.clock.monotonic()
        self._unresponsive_until_by_vm[relay] = now + SKIP_SECONDS
        self._membership.reconnect(relay)
        self._app.events.add('relay.silent', relay=relay, why=reason)
