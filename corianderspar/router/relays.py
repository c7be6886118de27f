"""Which daemons read the store, and whom the others ask.

Load it answers: a fleet of many daemons, where each change of the store
would cost a call of every one of them. A few daemons of each data centre
read the store; the others ask one of those. Daemons that differ in whom
they hear differ in their relays, and then a few more read the store: what
is known carries the age of its proof, whoever tells it.
"""

from corianderspar import kernel
from corianderspar import rendezvous
from corianderspar.router import membership

RELAYS_PER_DATA_CENTRE = 2  # one may fail without a pause for the others
SILENT_SECONDS = 2.0  # a relay that did not answer is passed over


class Relays:
    """Relays by rendezvous hashing over the daemons that are heard.

    Parameters
    ----------
    app : Application
        Gives the clock, the log and this daemon's place.
    view : Membership
        Says who is heard.
    """

    def __init__(
        self, app: kernel.Application, view: membership.Membership
    ) -> None:
        self._app = app
        self._membership = view
        self._silent_until: dict[str, float] = {}

    def of(self) -> str | None:
        """Return the VM to ask.

        None if this daemon reads the store; empty if it should ask, and all
        relays are passed over.
        """
        live = self._membership.live()
        if len(live) <= membership.SMALL_FLEET_DAEMONS:
            return None
        own = self._app.identity
        here = [
            vm
            for vm in live
            if vm == own.vm
            or self._membership.members()[vm].data_centre == own.data_centre
        ]
        now = self._app.clock.monotonic()
        ranked = rendezvous.rank('store', here)[:RELAYS_PER_DATA_CENTRE]
        if own.vm in ranked:
            return None
        for vm in ranked:
            if self._silent_until.get(vm, 0.0) <= now:
                return vm
        return ''

    def note_silent(self, relay: str, why: str) -> None:
        """Pass a relay over for a while, since it gave no new proof."""
        now = self._app.clock.monotonic()
        self._silent_until[relay] = now + SILENT_SECONDS
        self._membership.reconnect(relay)
        self._app.events.add('relay.silent', relay=relay, why=why)
