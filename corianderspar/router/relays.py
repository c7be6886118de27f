"""Choice of the daemons that read the store for others.

In a large fleet each change of the store would otherwise cost a call by
every daemon. Two root relays read the store. Two relays in each data centre
ask a root relay, and the other daemons ask a relay of their data centre. So
the calls to the store grow neither with the daemons nor with the data centres.

Daemons that disagree on which members are alive disagree on the relays, in
which case a few more read the store; the state is correct whoever passes it
on, as its staleness comes with it.
"""

import enum
from typing import NamedTuple

from corianderspar import kernel
from corianderspar import rendezvous
from corianderspar.router import membership

ROOT_RELAYS = 2  # with one failed the others can go on at once
RELAYS_PER_DATA_CENTRE = 2
SKIP_SECONDS = 2.0  # during which a relay that failed to answer is skipped
# Seconds for which a relay holds a reply if nothing changes. The staleness of
# a follower is at most that of a root relay and the sum of both.
ROOT_HOLD_SECONDS = 0.5
HOLD_SECONDS = 1.0
# Beyond a long poll of the store and the holds of replies. A source whose
# state is older than that has lost the store.
STALENESS_MARGIN_SECONDS = 0.4


class Role(enum.Enum):
    """What a daemon does to know the state of the store."""

    READER = 'reader'  # reads the store
    RELAY = 'relay'  # asks a root relay, for its data centre
    FOLLOWER = 'follower'  # asks a relay of its data centre


class Source(NamedTuple):
    """Where a daemon gets the state from.

    Attributes
    ----------
    role : Role
        The role of this daemon.
    vm : str
        VM of the relay to ask; empty for a reader, and if all relays are
        skipped at present.
    hold : float
        Seconds for which that relay may hold its reply.
    max_staleness : float
        Seconds; the state of a relay is never as old as that while it is in
        touch with the store.
    """

    role: Role
    vm: str = ''
    hold: float = 0.0
    max_staleness: float = float('inf')


class Relays:
    """Relays by rendezvous hashing over the live daemons.

    Parameters
    ----------
    app : Application
        Provides the clock, the event log and this daemon's identity.
    members : Membership
        Provides the live daemons.
    poll_seconds : float
        Of a long poll of the store.
    """

    def __init__(
        self,
        app: kernel.Application,
        members: membership.Membership,
        poll_seconds: float,
    ) -> None:
        self._app = app
        self._membership = members
        self._root_staleness = poll_seconds + STALENESS_MARGIN_SECONDS
        self._unresponsive_until_by_vm: dict[str, float] = {}
        self._turn = 0

    def choose(self) -> Source:
        """Return where this daemon gets the state from."""
        live = self._membership.live()
        if len(live) <= membership.SMALL_FLEET_DAEMONS:
            return Source(Role.READER)
        own = self._app.identity
        roots = rendezvous.rank('store', live)[:ROOT_RELAYS]
        if own.vm in roots:
            return Source(Role.READER)
        local = [
            vm
            for vm in live
            if vm == own.vm
            or self._membership.members()[vm].data_centre == own.data_centre
        ]
        relays = rendezvous.rank('store', local)[:RELAYS_PER_DATA_CENTRE]
        if own.vm in relays:
            return Source(
                Role.RELAY,
                self._next_responsive(roots),
                ROOT_HOLD_SECONDS,
                self._root_staleness,
            )
        return Source(
            Role.FOLLOWER,
            self._next_responsive(relays),
            HOLD_SECONDS,
            self._root_staleness + ROOT_HOLD_SECONDS,
        )

    def random_root(self) -> str:
        """Return a root relay; empty for a daemon that reads the store."""
        live = self._membership.live()
        if len(live) <= membership.SMALL_FLEET_DAEMONS:
            return ''
        roots = rendezvous.rank('store', live)[:ROOT_RELAYS]
        if self._app.identity.vm in roots:
            return ''
        return self._app.rng.choice(roots)

    def _next_responsive(self, relays: list[str]) -> str:
        """Return the relays by turns, so that one cut off costs one hold."""
        now = self._app.clock.monotonic()
        responsive = [
            vm
            for vm in relays
            if self._unresponsive_until_by_vm.get(vm, 0.0) <= now
        ]
        if not responsive:
            return ''
        self._turn += 1
        return responsive[self._turn % len(responsive)]

    def mark_unresponsive(self, relay: str, reason: str) -> None:
        """Skip a relay for `SKIP_SECONDS`, as it gave no verified state."""
        now = self._app.clock.monotonic()
        self._unresponsive_until_by_vm[relay] = now + SKIP_SECONDS
        self._membership.reconnect(relay)
        self._app.events.add('relay.silent', relay=relay, why=reason)
