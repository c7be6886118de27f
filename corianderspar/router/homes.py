"""Which daemon is home of a key, passing over those that do not answer."""

from corianderspar import kernel
from corianderspar import rendezvous
from corianderspar.router import membership

SILENT_SECONDS = 0.5  # a home that did not answer is not asked again


class Homes:
    """Homes by rendezvous hashing over the daemons that are heard.

    Each user has its own: a daemon may be too slow for one and not for
    another.

    Parameters
    ----------
    app : Application
        Gives the clock, the log and this daemon's name.
    view : Membership
        Says who is heard.
    """

    def __init__(
        self, app: kernel.Application, view: membership.Membership
    ) -> None:
        self._app = app
        self._membership = view
        self._silent_until: dict[str, float] = {}

    def home(self, key: str) -> str:
        """Return the VM that is home of a key; this one if all are silent."""
        now = self._app.clock.monotonic()
        live = [
            vm
            for vm in self._membership.live()
            if self._silent_until.get(vm, 0.0) <= now
        ]
        return rendezvous.home(key, live) or self._app.identity.vm

    def mark_unresponsive(self, home: str, key: str, why: str) -> None:
        """Pass a home over for a while, since it gave no answer."""
        now = self._app.clock.monotonic()
        self._silent_until[home] = now + SILENT_SECONDS
        self._membership.reconnect(home)
        self._app.events.add('home.silent', home=home, key=key, why=why)
