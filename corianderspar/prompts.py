"""Token counts and prefix block hashes of prompts."""

import re

import xxhash

from corianderspar import engine

_TOKEN = re.compile(r'\s*\S+')


def count_tokens(text: str) -> int:
    """Return the number of tokens in a text.

    As in the engines' published tokenizer, a token is a run of characters
    other than white space, with the white space before it.

    Examples
    --------
    >>> count_tokens('a feast  day')
    3
    """
    return len(_TOKEN.findall(text))


def split_tokens(text: str) -> list[str]:
    """Return the tokens of a text.

    Joined, they are the text without its trailing white space.

    Examples
    --------
    >>> split_tokens('a feast  day')
    ['a', ' feast', '  day']
    """
    return _TOKEN.findall(text)


def block_hashes(
    text: str, block_tokens: int = engine.BLOCK_TOKENS
) -> tuple[int, ...]:
    """Return the hash of each whole block and all blocks before it.

    Two prompts share a cached prefix up to the last hash that they share.

    Parameters
    ----------
    text : str
        The prompt.
    block_tokens : int
        Tokens in a block.

    Returns
    -------
    tuple of int
        One 64-bit hash for each whole block; a partial last block has
        none.

    Examples
    --------
    >>> a = block_hashes('x y z w', 2)
    >>> b = block_hashes('x y z v', 2)
    >>> a[0] == b[0], a[1] == b[1]
    (True, False)
    """
    tokens = split_tokens(text)
    hashes = []
    hasher = xxhash.xxh3_64()
    for end in range(block_tokens, len(tokens) + 1, block_tokens):
        block = ''.join(tokens[end - block_tokens : end])
        hasher.update(block.encode())
        hashes.append(hasher.intdigest())
    return tuple(hashes)
