"""KV cache memory that requests at one engine will hold together."""

from typing import NamedTuple


class MemoryUse(NamedTuple):
    """KV cache memory of one request, now and until it ends.

    Attributes
    ----------
    tokens : float
        Held now.
    remaining : float
        Tokens that the request is expected to add before it ends and frees
        all its memory. All requests add tokens at the same rate.
    """

    tokens: float
    remaining: float


def peak_memory(uses: list[MemoryUse]) -> float:
    """Return the largest memory that requests will hold together, in tokens.

    All requests grow at the same rate, so the peak is at the start or just
    before one of them ends.

    Examples
    --------
    >>> peak_memory([MemoryUse(100, 10), MemoryUse(200, 0)])
    300.0
    >>> peak_memory([MemoryUse(100, 50), MemoryUse(100, 20)])
    240.0
    """
    held = float(sum(use.tokens for use in uses))
    peak = held
    elapsed = 0.0
    growing = len(uses)
    for use in sorted(uses, key=lambda use: use.remaining):
        held += (use.remaining - elapsed) * growing
        peak = max(peak, held)
        elapsed = use.remaining
        growing -= 1
        held -= use.tokens + use.remaining
    return peak
