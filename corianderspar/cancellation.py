"""Cancels work at engines until they confirm."""

import asyncio
import collections
import contextlib

from corianderspar import engine_table
from corianderspar import kernel

CONFIRM_SECONDS = 0.3
RETRY_SECONDS = 0.05
RETRY_MOST_SECONDS = 2.0


class Canceller:
    """Runs one task for each cancel that is not confirmed yet.

    It goes on until the engine confirms, or its client is gone because
    the engine left the catalogue and was replaced at another address.

    Parameters
    ----------
    app : Application
        Gives time, and runs the tasks.
    table : EngineTable
        Finds the engines.
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
        self._open: set[tuple[str, str]] = set()

    def __len__(self) -> int:
        """Return how many cancels are not confirmed."""
        return len(self._open)

    def cancel(self, upstreams: tuple[str, ...], request_id: str) -> None:
        """Cancel a request at these engines."""
        if self._app.aborted:
            return
        for upstream in upstreams:
            if (upstream, request_id) not in self._open:
                self._open.add((upstream, request_id))
                self._app.spawn(
                    'placement', 'cancel', self._repeat(upstream, request_id)
                )

    async def _repeat(self, upstream: str, request_id: str) -> None:
        delay = RETRY_SECONDS
        try:
            while not await self._confirmed(upstream, request_id):
                self._counts['cancel_unconfirmed'] += 1
                await self._app.clock.sleep(delay)
                delay = min(2 * delay, RETRY_MOST_SECONDS)
        finally:
            self._open.discard((upstream, request_id))

    async def _confirmed(self, upstream: str, request_id: str) -> bool:
        client = self._table.current_or_former_client(upstream)
        if client is None:
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_SECONDS):
                return await client.cancel(request_id)
        return False
