"""Cancellation of requests at engines, repeated until confirmed."""

import asyncio
import collections
import contextlib

from corianderspar import engine_table
from corianderspar import kernel

CONFIRM_TIMEOUT_SECONDS = 0.3
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0


class Canceller:
    """Runs one task for each cancellation that is not confirmed yet.

    A task repeats its call with backoff until the engine confirms, or
    until the engine has no client any more: one that left the catalogue
    keeps its client unless it is listed again at another address.

    Parameters
    ----------
    app : Application
        Gives time, and runs the tasks.
    table : EngineTable
        Finds the engines' clients.
    counts : collections.Counter
        Counts ``cancel_unconfirmed``.
    """

    def __init__(
        self,
        app: kernel.Application,
        table: engine_table.EngineTable,
        counts: collections.Counter[str],
    ) -> None:
        self._app = app
        self._table = table
        self._counts = counts
        self._pending: set[tuple[str, str]] = set()

    def __len__(self) -> int:
        """Return the number of unconfirmed cancellations."""
        return len(self._pending)

    def cancel(self, upstreams: tuple[str, ...], request_id: str) -> None:
        """Start to cancel a request at several engines."""
        if self._app.aborted:
            return
        for upstream in upstreams:
            if (upstream, request_id) not in self._pending:
                self._pending.add((upstream, request_id))
                self._app.spawn(
                    'placement',
                    'cancel',
                    self._cancel_until_confirmed(upstream, request_id),
                )

    async def _cancel_until_confirmed(
        self, upstream: str, request_id: str
    ) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        try:
            while not await self._cancel_once(upstream, request_id):
                self._counts['cancel_unconfirmed'] += 1
                await self._app.clock.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
        finally:
            self._pending.discard((upstream, request_id))

    async def _cancel_once(self, upstream: str, request_id: str) -> bool:
        """Return whether the engine confirmed or has no client any more."""
        client = self._table.current_or_former_client(upstream)
        if client is None:
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_TIMEOUT_SECONDS):
                return await client.cancel(request_id)
        return False
