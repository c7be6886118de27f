"""Deterministic answers of the fake engines, and a cached prompt reader."""

import functools
import re

import xxhash

from corianderspar import prompts

_WANTED = re.compile(r'\banswer=(\d+)\s*$')
MIN_ANSWER = 16
MAX_ANSWER = 144
WORDS = 4096
CACHED_PROMPTS = 8192


@functools.lru_cache(CACHED_PROMPTS)
def digest(prompt: str) -> int:
    """Return a 64-bit hash of a prompt."""
    return xxhash.xxh3_64_intdigest(prompt.encode())


@functools.lru_cache(CACHED_PROMPTS)
def read(prompt: str) -> tuple[int, tuple[int, ...]]:
    """Return a prompt's number of tokens and its block hashes."""
    return len(prompt.split()), prompts.block_hashes(prompt)


def answer_token(prompt: str, position: int) -> str:
    """Return one token of the answer, its leading blank included.

    A pure function of its arguments, so that a stream that was resumed
    can be compared with one that was not.

    Examples
    --------
    >>> answer_token('a prompt', 3) == answer_token('a prompt', 3)
    True
    """
    mixed = xxhash.xxh32_intdigest(position.to_bytes(4), digest(prompt) >> 32)
    return f' w{mixed % WORDS}'


def answer_length(prompt: str) -> int:
    """Return how many tokens the whole answer has.

    A prompt that ends in ``answer=80`` gets 80 tokens, another a number
    that its hash gives.

    Examples
    --------
    >>> answer_length('How long is Lent? answer=80')
    80
    """
    found = _WANTED.search(prompt[-32:])
    if found is not None:
        return int(found.group(1))
    return MIN_ANSWER + digest(prompt) % (MAX_ANSWER - MIN_ANSWER)


def answer(prompt: str, max_tokens: int) -> str:
    """Return the whole answer, cut at ``max_tokens``."""
    length = min(max_tokens, answer_length(prompt))
    return ''.join(answer_token(prompt, place) for place in range(length))
