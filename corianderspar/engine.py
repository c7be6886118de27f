"""The seam towards engines: calls, reports and errors."""

from collections.abc import AsyncIterator
from typing import Literal
from typing import NamedTuple
from typing import Protocol

from expression import Result

MEMORY_PIECE_TOKENS = 2048
BLOCK_TOKENS = 256

Role = Literal['prefill', 'decode']


class PrefillCall(NamedTuple):
    """Compute the KV cache of a prompt.

    Attributes
    ----------
    request_id : str
        Starts with the incarnation that sent the call, then ``#``.
    model : str
        Name of the model.
    prompt : str
        The text.
    priority : int
        Higher runs first.
    """

    request_id: str
    model: str
    prompt: str
    priority: int = 0


class PrefillResult(NamedTuple):
    """A KV cache held by a prefill engine for a short time.

    Attributes
    ----------
    handle : str
        Names the result at that engine.
    computed_tokens, cached_tokens : int
        How much of the prompt was computed, and how much was cached.
    lives : float
        Seconds until the engine drops it.
    """

    handle: str
    computed_tokens: int
    cached_tokens: int
    lives: float


class TransferCall(NamedTuple):
    """Have a decode engine import a prefill result.

    Attributes
    ----------
    request_id, handle : str
        The request and the result.
    source : str
        Address of the prefill engine, ip:port.
    """

    request_id: str
    handle: str
    source: str


class DecodeCall(NamedTuple):
    """Generate an answer from an imported KV cache.

    Attributes
    ----------
    request_id, model, prompt : str
        The request; the prompt lets an engine resume without a transfer.
    max_tokens : int
        Most tokens of the whole answer.
    start : int
        Position of the first token wanted; above 0 to resume.
    prefix : str
        The answer's text before ``start``.
    priority : int
        Higher runs first.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    start: int = 0
    prefix: str = ''
    priority: int = 0


class Piece(NamedTuple):
    """A part of an answer.

    Attributes
    ----------
    request_id : str
        Whose answer it is.
    position : int
        Index of its first token in the answer.
    tokens : int
        How many tokens it holds.
    text : str
        Its text.
    finish : str
        Empty, or why the answer ends here: ``stop`` or ``length``.
    """

    request_id: str
    position: int
    tokens: int
    text: str
    finish: str = ''


class EngineLoad(NamedTuple):
    """What an engine reports of itself, with a lag.

    Attributes
    ----------
    role, model : str
        What it does now.
    slots, pieces : int
        How many requests, and pieces of `MEMORY_PIECE_TOKENS`, it can hold.
    used_pieces : int
        Pieces held.
    requests : tuple of str
        Ids of the requests it holds.
    queued_tokens : int
        Prompt tokens waiting for prefill.
    fence : int
        Highest fencing number seen; 0 where they are ignored.
    leaving : bool
        Whether it takes no new work.
    """

    role: str
    model: str
    slots: int
    pieces: int
    used_pieces: int
    requests: tuple[str, ...]
    queued_tokens: int = 0
    fence: int = 0
    leaving: bool = False


class CacheEvent(NamedTuple):
    """Prefix blocks that came into or left an engine's cache.

    Attributes
    ----------
    sequence : int
        Counts up; a gap means that events are missing.
    added, removed : tuple of int
        Block hashes as `corianderspar.prompts.block_hashes` gives them.
    """

    sequence: int
    added: tuple[int, ...]
    removed: tuple[int, ...]


class Order(NamedTuple):
    """A command to an engine.

    Attributes
    ----------
    kind : str
        ``load``, ``unload`` or ``role``.
    value : str
        The model, adapter or role.
    fence : int
        An engine that honours fencing refuses one below the highest seen.
    """

    kind: str
    value: str
    fence: int


class EngineError(NamedTuple):
    """Why an engine did not do as asked.

    Attributes
    ----------
    code : str
        ``full``, ``leaving``, ``expired`` (no such prefill result),
        ``fenced``, ``refused``, ``unreachable`` (nothing was sent),
        ``died`` (the connection broke), ``stalled``.
    ran : bool
        Whether it may have begun to run the request.
    """

    code: str
    ran: bool


class EngineFailure(Exception):
    """Raised out of a stream of pieces; holds the `EngineError`."""

    def __init__(self, error: EngineError) -> None:
        super().__init__(error.code)
        self.error = error


class EngineClient(Protocol):
    """One engine, as the system sees it."""

    async def prefill(
        self, call: PrefillCall
    ) -> Result[PrefillResult, EngineError]:
        """Compute a prompt's KV cache."""
        ...

    async def transfer(self, call: TransferCall) -> Result[None, EngineError]:
        """Import a prefill result from another engine."""
        ...

    def decode(self, call: DecodeCall) -> AsyncIterator[Piece]:
        """Generate; raises `EngineFailure`, and ends only after a finish."""
        ...

    async def cancel(self, request_id: str) -> bool:
        """Stop a request and free its memory; True when confirmed."""
        ...

    async def load(self) -> Result[EngineLoad, EngineError]:
        """Read the engine's report."""
        ...

    def events(self) -> AsyncIterator[CacheEvent]:
        """Follow the cache events; raises `EngineFailure`."""
        ...

    async def order(self, order: Order) -> Result[None, EngineError]:
        """Give a command."""
        ...
