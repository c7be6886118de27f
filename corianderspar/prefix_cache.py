"""What each prefill engine has cached, from own knowledge and events."""

import collections

from corianderspar import engine

EVENT_LAG_SECONDS = 2.0


class EngineCache:
    """The blocks believed cached at one engine, least recent first.

    Blocks that were sent to the engine count as cached until as many
    others were sent after them as its memory holds. Events correct that:
    they come late, so a removal is not believed of a block that was sent
    within `EVENT_LAG_SECONDS` seconds, and events may be missing, so they are
    never the only source.

    Parameters
    ----------
    capacity : int
        Blocks that the engine's memory holds.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.sequence_gaps = 0
        self._sequence: int | None = None
        self._sent_by_block: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many blocks are believed cached."""
        return len(self._sent_by_block)

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are believed cached."""
        for count, block in enumerate(blocks):
            if block not in self._sent_by_block:
                return count
        return len(blocks)

    def note_sent(self, blocks: tuple[int, ...], now: float) -> None:
        """Take note that a prompt with these blocks goes to the engine."""
        for block in reversed(blocks):
            self._sent_by_block[block] = now
            self._sent_by_block.move_to_end(block)
        self._trim()

    def note_prefilled(
        self, blocks: tuple[int, ...], cached: int, now: float
    ) -> None:
        """Take note of how many leading blocks the engine had cached.

        The engine has all of them now, as it has computed the rest.
        """
        if cached < len(blocks):
            self.note_sent(blocks, now)

    def discard(self, blocks: tuple[int, ...]) -> None:
        """Forget blocks that were never computed after all."""
        for block in blocks:
            self._sent_by_block.pop(block, None)

    def apply_event(self, event: engine.CacheEvent, now: float) -> None:
        """Correct what is believed by a late and perhaps gapped event."""
        if self._sequence is not None:
            if event.sequence <= self._sequence:
                return
            if event.sequence > self._sequence + 1:
                self.sequence_gaps += 1
        self._sequence = event.sequence
        for block in event.removed:
            if self._sent_by_block.get(block, now) < now - EVENT_LAG_SECONDS:
                del self._sent_by_block[block]
        for block in event.added:
            if block not in self._sent_by_block:
                self._sent_by_block[block] = now - EVENT_LAG_SECONDS
                self._sent_by_block.move_to_end(block, last=False)
        self._trim()

    def clear(self) -> None:
        """Forget everything, as after the engine's death."""
        self._sequence = None
        self._sent_by_block.clear()

    def _trim(self) -> None:
        while len(self._sent_by_block) > self.capacity:
            self._sent_by_block.popitem(last=False)
