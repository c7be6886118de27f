"""Homes of keys, skipping daemons that do not answer."""

from corianderspar import kernel
from corianderspar import rendezvous
from corianderspar.router import membership

SKIP_SECONDS = 0.5  # without requests to a home that did not answer


class Homes:
    """Homes by rendezvous hashing over the live daemons.

    Each user of this class has its own instance, since a daemon may be too
    slow for one kind of request and not for another.

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

    def home(self, key: str) -> str:
        """Return the VM that is home of a key.

        It is this VM if no live daemon is left.
        """
        now = self._app.clock.monotonic()
        live = [
            vm
            for vm in self._membership.live()
            if self._unresponsive_until_by_vm.get(vm, 0.0) <= now
        ]
        return rendezvous.home(key, live) or self._app.identity.vm

    def mark_unresponsive(self, home: str, key: str, reason: str) -> None:
        """Skip a home for `SKIP_SECONDS` because it did not answer."""
        now = self._app.clock.monotonic()
        self._unresponsive_until_by_vm[home] = now + SKIP_SECONDS
        self._membership.reconnect(home)
        self._app.events.add('home.silent', home=home, key=key, why=reason)
