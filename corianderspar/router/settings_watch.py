"""Notices changes of the settings file that no signal announces."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from corianderspar import kernel

INTERVAL_SECONDS = 0.5  # between looks at the file


class _Stamp(NamedTuple):
    """What differs between two contents of a file.

    Attributes
    ----------
    inode, size, modified_ns : int
        As the file system states them.
    """

    inode: int
    size: int
    modified_ns: int


class SettingsWatch:
    """The service ``settings``.

    Parameters
    ----------
    path : Path
        The settings file.
    reload : callable
        Called after each change of the file, and by `reload_now`.
    """

    name = 'settings'
    requires: tuple[str, ...] = ()

    def __init__(self, path: Path, reload: Callable[[], None]) -> None:
        self._path = path
        self._reload = reload
        # The first look reads the file again, as it may have changed since
        # the settings were loaded.
        self._stamp: _Stamp | None = None

    async def start(self, app: kernel.Application) -> None:
        """Begin to look at the file."""
        self._app = app
        app.keep_running(self.name, 'watch', self._watch)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def reload_now(self) -> None:
        """Read the file again, as a signal asks for it."""
        # Before the file is read: a change while it is read is a later one.
        self._stamp = self._read_stamp()
        self._reload()

    async def _watch(self) -> None:
        while True:
            await self._app.clock.sleep(INTERVAL_SECONDS)
            stamp = self._read_stamp()
            if stamp is not None and stamp != self._stamp:
                self.reload_now()

    def _read_stamp(self) -> _Stamp | None:
        """Return the stamp of the file; None while there is none."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return _Stamp(status.st_ino, status.st_size, status.st_mtime_ns)
