"""Estimates of which prefix blocks the prefill engines have cached."""

import collections

from corianderspar import engine

EVENT_LAG_SECONDS = 2.0


class EngineCache:
    """An estimate of the blocks that one engine has cached, in LRU order.

    Blocks that were sent to the engine count as cached until as many
    others as its memory holds have been sent since. The engine's cache
    events correct the estimate. They come late, so a removal is ignored for
    a block that was sent within the last `EVENT_LAG_SECONDS`. Some may be
    lost, so the estimate doesn't rely on them alone.

    Parameters
    ----------
    capacity : int
        Blocks that the engine's memory holds.

    Attributes
    ----------
    sequence_gaps : int
        Gaps in the sequence numbers of events; each means lost events.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.sequence_gaps = 0
        self._sequence: int | None = None
        self._sent_at_by_block: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of blocks that count as cached."""
        return len(self._sent_at_by_block)

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks that count as cached."""
        for count, block in enumerate(blocks):
            if block not in self._sent_at_by_block:
                return count
        return len(blocks)

    def note_sent(self, blocks: tuple[int, ...], now: float) -> None:
        """Record that a prompt with these blocks is sent to the engine."""
        for block in reversed(blocks):
            self._sent_at_by_block[block] = now
            self._sent_at_by_block.move_to_end(block)
        self._evict()

    def note_prefilled(
        self, blocks: tuple[int, ...], cached: int, now: float
    ) -> None:
        """Record a prefill and the leading blocks that were cached before it.

        The engine now has all blocks, as it has computed the others.
        """
        if cached < len(blocks):
            self.note_sent(blocks, now)

    def discard(self, blocks: tuple[int, ...]) -> None:
        """Remove blocks that were sent but never computed."""
        for block in blocks:
            self._sent_at_by_block.pop(block, None)

    def apply_event(self, event: engine.CacheEvent, now: float) -> None:
        """Correct the estimate by a cache event of the engine."""
        if self._sequence is not None:
            if event.sequence <= self._sequence:
                return
            if event.sequence > self._sequence + 1:
                self.sequence_gaps += 1
        self._sequence = event.sequence
        for block in event.removed:
            if (
                self._sent_at_by_block.get(block, now)
                < now - EVENT_LAG_SECONDS
            ):
                del self._sent_at_by_block[block]
        for block in event.added:
            if block not in self._sent_at_by_block:
                self._sent_at_by_block[block] = now - EVENT_LAG_SECONDS
                self._sent_at_by_block.move_to_end(block, last=False)
        self._evict()

    def clear(self) -> None:
        """Remove all blocks, as after a crash of the engine."""
        self._sequence = None
        self._sent_at_by_block.clear()

    def _evict(self) -> None:
        while len(self._sent_at_by_block) > self.capacity:
            self._sent_at_by_block.popitem(last=False)
