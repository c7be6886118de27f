"""What an edge learned of a shard, kept to teach the shard's next home."""

import collections

from corianderspar import placement_messages as messages

MOST_LENGTHS = 200
MOST_BLOCKS = 4096


class ShardHistory:
    """The latest answers' lengths and prompts' blocks of one model.

    Examples
    --------
    >>> learned = ShardHistory()
    >>> learned.add_prefill('p1', (11, 12))
    >>> learned.add_prefill('p1', (11, 13))
    >>> learned.cached_blocks()
    (CachedBlocks(upstream='p1', blocks=(11, 13, 12)),)
    """

    def __init__(self) -> None:
        self._lengths: collections.deque[messages.AnswerLength] = (
            collections.deque(maxlen=MOST_LENGTHS)
        )
        self._blocks: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def add_answer(self, account: str, route: str, tokens: int) -> None:
        """Keep the length of a whole answer."""
        self._lengths.append(messages.AnswerLength(account, route, tokens))

    def add_prefill(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Keep that an engine computed a prompt with these blocks."""
        for block in reversed(blocks):
            self._blocks[upstream, block] = None
            self._blocks.move_to_end((upstream, block))
        while len(self._blocks) > MOST_BLOCKS:
            self._blocks.popitem(last=False)

    def answer_lengths(self) -> tuple[messages.AnswerLength, ...]:
        """Return the lengths, oldest first."""
        return tuple(self._lengths)

    def cached_blocks(self) -> tuple[messages.CachedBlocks, ...]:
        """Return each engine's blocks, the latest first."""
        blocks_by_upstream: dict[str, list[int]] = {}
        for upstream, block in reversed(self._blocks):
            blocks_by_upstream.setdefault(upstream, []).append(block)
        return tuple(
            messages.CachedBlocks(upstream, tuple(blocks))
            for upstream, blocks in sorted(blocks_by_upstream.items())
        )
