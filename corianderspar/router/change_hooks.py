"""Hooks of services that have to know of changes.

A hook that raises keeps neither the other hooks nor the caller from going
on. It is called again until it succeeds, as its service would otherwise work
with what it knew before.
"""

from collections.abc import Callable
from typing import NamedTuple

from corianderspar import kernel

RETRY_SECONDS = 0.5  # between calls of a hook that raised
MAX_FAILURES_IN_ROW = 3  # from which on `ChangeHooks.is_failing`


class _Failing(NamedTuple):
    """A hook that raised.

    Attributes
    ----------
    call : callable
        Calls it with what it was called with last.
    failures : int
        In a row.
    retry_at : float
        Monotonic seconds.
    """

    call: Callable[[], None]
    failures: int
    retry_at: float


class ChangeHooks:
    """Calls hooks, and again those that raised.

    Parameters
    ----------
    app : Application
        Reports the failures.
    service : str
        Owner of the hooks, for the log.
    """

    def __init__(self, app: kernel.Application, service: str) -> None:
        self._app = app
        self._service = service
        self._failing_by_key: dict[tuple[str, int], _Failing] = {}

    def call(self, name: str, number: int, call: Callable[[], None]) -> None:
        """Call a hook.

        Parameters
        ----------
        name : str
            Of the list of hooks, for the log.
        number : int
            Of the hook in that list.
        call : callable
            Calls the hook; called again until it does not raise, unless
            another call of that hook replaces it.
        """
        key = name, number
        try:
            call()
        except Exception as error:  # noqa: BLE001
            before = self._failing_by_key.get(key)
            self._failing_by_key[key] = _Failing(
                call,
                before.failures + 1 if before is not None else 1,
                self._app.clock.monotonic() + RETRY_SECONDS,
            )
            self._app.report_failure(
                kernel.Failure(self._service, f'{name}[{number}]', error)
            )
            return
        self._failing_by_key.pop(key, None)

    def retry_due(self) -> None:
        """Call again the hooks that raised, each after `RETRY_SECONDS`."""
        now = self._app.clock.monotonic()
        for (name, number), failing in list(self._failing_by_key.items()):
            if failing.retry_at <= now:
                self.call(name, number, failing.call)

    @property
    def is_failing(self) -> bool:
        """Whether a service cannot take a change up, call after call."""
        return any(
            failing.failures >= MAX_FAILURES_IN_ROW
            for failing in self._failing_by_key.values()
        )
