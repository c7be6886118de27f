"""Batching of progress updates to the homes of shards."""

from corianderspar import kernel
from corianderspar import messenger as messengers
from corianderspar import placement_messages

FLUSH_SECONDS = 0.02
MAX_QUEUED_UPDATES = 256


class ProgressBatcher:
    """Collects updates for `FLUSH_SECONDS`, and sends one report per shard.

    An update with a request's number of tokens replaces an earlier one of
    the same request that is still queued.

    Parameters
    ----------
    app : Application
        Gives time, and runs the sending task.
    messenger : Messenger
        Sends the reports.
    """

    def __init__(
        self, app: kernel.Application, messenger: messengers.Messenger
    ) -> None:
        self._app = app
        self._messenger = messenger
        self._updates_by_shard: dict[
            tuple[str, str], list[placement_messages.ProgressUpdate]
        ] = {}
        self._is_flush_scheduled = False

    def add(
        self,
        home: str,
        model: str,
        update: placement_messages.ProgressUpdate,
        urgent: bool,
    ) -> None:
        """Queue an update; an urgent one is sent at once, with all queued."""
        if self._app.aborted:
            return
        updates = self._updates_by_shard.setdefault((home, model), [])
        if update.kind == 'tokens':
            updates[:] = [
                other
                for other in updates
                if other.kind != 'tokens' or other.number != update.number
            ]
        updates.append(update)
        if urgent or len(updates) >= MAX_QUEUED_UPDATES:
            self.flush()
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._app.spawn('placement', 'outbox', self._flush_after_delay())

    def flush(self) -> None:
        """Send all queued updates."""
        queued_by_shard = self._updates_by_shard
        self._updates_by_shard = {}
        for (home, model), updates in queued_by_shard.items():
            self._messenger.tell(
                home, placement_messages.ProgressReport(model, tuple(updates))
            )

    async def _flush_after_delay(self) -> None:
        await self._app.clock.sleep(FLUSH_SECONDS)
        self._is_flush_scheduled = False
        self.flush()
