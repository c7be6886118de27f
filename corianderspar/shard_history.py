"""What an edge observed of a shard, kept for the shard's next home."""

import collections

from corianderspar import placement_messages

MAX_LENGTHS = 200
MAX_BLOCKS = 4096


class ShardHistory:
    """Lengths of recent answers and blocks of recent prompts of one model.

    Examples
    --------
    >>> history = ShardHistory()
    >>> history.add_prefill('p1', (11, 12))
    >>> history.add_prefill('p1', (11, 13))
    >>> history.cached_blocks()
    (CachedBlocks(upstream='p1', blocks=(11, 13, 12)),)
    """

    def __init__(self) -> None:
        self._lengths: collections.deque[placement_messages.AnswerLength] = (
            collections.deque(maxlen=MAX_LENGTHS)
        )
        self._blocks: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def add_answer(self, account: str, route: str, tokens: int) -> None:
        """Record the length of a complete answer."""
        self._lengths.append(
            placement_messages.AnswerLength(account, route, tokens)
        )

    def add_prefill(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Record that an engine computed a prompt with these blocks."""
        for block in reversed(blocks):
            self._blocks[upstream, block] = None
            self._blocks.move_to_end((upstream, block))
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def answer_lengths(self) -> tuple[placement_messages.AnswerLength, ...]:
        """Return the lengths, oldest first."""
        return tuple(self._lengths)

    def cached_blocks(self) -> tuple[placement_messages.CachedBlocks, ...]:
        """Return each engine's blocks, the latest first."""
        blocks_by_upstream: dict[str, list[int]] = {}
        for upstream, block in reversed(self._blocks):
            blocks_by_upstream.setdefault(upstream, []).append(block)
        return tuple(
            placement_messages.CachedBlocks(upstream, tuple(blocks))
            for upstream, blocks in sorted(blocks_by_upstream.items())
        )
