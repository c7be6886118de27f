"""Steps of requests on their way to homes, batched per home."""

from corianderspar import kernel
from corianderspar import messenger as messengers
from corianderspar import placement_messages as messages

FLUSH_SECONDS = 0.02
MOST_STEPS = 256


class ProgressBatcher:
    """Collects steps for a moment and sends one message per home.

    A step that reports the number of tokens replaces an earlier one of
    the same request that still waits.

    Parameters
    ----------
    app : Application
        Gives time, and runs the sending task.
    messenger : Messenger
        Sends.
    """

    def __init__(
        self, app: kernel.Application, messenger: messengers.Messenger
    ) -> None:
        self._app = app
        self._messenger = messenger
        self._steps_by_shard: dict[
            tuple[str, str], list[messages.ProgressUpdate]
        ] = {}
        self._armed = False

    def add(
        self,
        home: str,
        model: str,
        step: messages.ProgressUpdate,
        urgent: bool,
    ) -> None:
        """Queue a step; an urgent one goes at once, with all before it."""
        if self._app.aborted:
            return
        steps = self._steps_by_shard.setdefault((home, model), [])
        if step.kind == 'tokens':
            steps[:] = [
                other
                for other in steps
                if other.kind != 'tokens' or other.number != step.number
            ]
        steps.append(step)
        if urgent or len(steps) >= MOST_STEPS:
            self.flush()
        elif not self._armed:
            self._armed = True
            self._app.spawn('placement', 'outbox', self._flush_later())

    def flush(self) -> None:
        """Send all that waits."""
        waiting = self._steps_by_shard
        self._steps_by_shard = {}
        for (home, model), steps in waiting.items():
            self._messenger.tell(
                home, messages.ProgressReport(model, tuple(steps))
            )

    async def _flush_later(self) -> None:
        await self._app.clock.sleep(FLUSH_SECONDS)
        self._armed = False
        self.flush()
