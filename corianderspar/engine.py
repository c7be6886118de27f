"""The interface of engines: calls, load reports, cache events, errors."""

from collections.abc import AsyncIterator
from typing import Literal
from typing import NamedTuple
from typing import Protocol

from expression import Result

MEMORY_PIECE_TOKENS = 2048  # unit in which a decode engine allots memory
BLOCK_TOKENS = 256  # of a block of the prefix cache

Role = Literal['prefill', 'decode']


class PrefillCall(NamedTuple):
    """A call that computes the KV cache of a prompt.

    Attributes
    ----------
    request_id : str
        The incarnation of the sender, ``#`` and a number, so that
        requests of a daemon that no longer runs can be recognised.
    model : str
        Name of the model.
    prompt : str
        Text of the prompt.
    priority : int
        Calls with a higher priority run first.
    """

    request_id: str
    model: str
    prompt: str
    priority: int = 0


class PrefillResult(NamedTuple):
    """A KV cache that a prefill engine holds for a limited time.

    Attributes
    ----------
    handle : str
        Identifies the KV cache at that engine.
    computed_tokens, cached_tokens : int
        Tokens of the prompt that were computed, and that were found in
        the prefix cache.
    lives : float
        Seconds until the engine frees it.
    """

    handle: str
    computed_tokens: int
    cached_tokens: int
    lives: float


class TransferCall(NamedTuple):
    """A call that makes a decode engine fetch a KV cache.

    Attributes
    ----------
    request_id : str
        Id of the request.
    handle : str
        Identifies the KV cache at the prefill engine.
    source : str
        Address of the prefill engine, ip:port.
    """

    request_id: str
    handle: str
    source: str


class DecodeCall(NamedTuple):
    """A call that generates an answer from a transferred KV cache.

    Attributes
    ----------
    request_id, model, prompt : str
        The request. An engine needs the prompt to resume an answer without
        a transfer.
    max_tokens : int
        Maximum number of tokens of the whole answer.
    start : int
        Position in the answer of the first token to generate; above 0 to
        resume an answer.
    prefix : str
        Text of the answer before ``start``.
    priority : int
        Calls with a higher priority run first.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    start: int = 0
    prefix: str = ''
    priority: int = 0


class Piece(NamedTuple):
    """A piece of an answer: consecutive tokens.

    Attributes
    ----------
    request_id : str
        Id of the request that it answers.
    position : int
        Index in the answer of the first token.
    tokens : int
        Number of tokens.
    text : str
        Text of the tokens.
    finish : str
        Why the answer ends with this piece, ``stop`` or ``length``; empty
        if it goes on.
    """

    request_id: str
    position: int
    tokens: int
    text: str
    finish: str = ''


class EngineLoad(NamedTuple):
    """The load that an engine reports; it may be out of date.

    Attributes
    ----------
    role, model : str
        The role that the engine has and the model that it has loaded.
    slots, pieces : int
        Capacity: number of requests, and of memory pieces of
        `MEMORY_PIECE_TOKENS` each.
    used_pieces : int
        Memory pieces in use.
    requests : tuple of str
        Ids of the requests that the engine holds.
    queued_tokens : int
        Prompt tokens that wait for prefill.
    fence : int
        Highest fencing number seen; 0 if the engine ignores them.
    leaving : bool
        Whether the engine drains and takes no new requests.
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
    """Blocks that were added to or removed from an engine's prefix cache.

    Attributes
    ----------
    sequence : int
        Increases by one with each event; a gap means that events were lost.
    added, removed : tuple of int
        Hashes of the blocks, from `corianderspar.prompts.block_hashes`.
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
        Fencing number. An engine that honours fencing refuses an order
        whose number is below the highest that it has seen.
    """

    kind: str
    value: str
    fence: int


class EngineError(NamedTuple):
    """Why a call to an engine failed.

    Attributes
    ----------
    code : str
        ``full`` (no free slot or memory), ``leaving`` (takes no new requests),
        ``expired`` (the KV cache is no longer held), ``fenced`` (the fencing
        number is too low), ``refused``, ``unreachable`` (nothing was sent),
        ``died`` (the connection broke), ``stalled`` (no reply in time),
        ``malformed`` (the reply could not be parsed) or ``wrong_end`` (the
        stream ended before the answer).
    ran : bool
        Whether the engine may have started to run the request.
    """

    code: str
    ran: bool


class EngineFailure(Exception):
    """Raised by the streams of an engine client; carries the error."""

    def __init__(self, error: EngineError) -> None:
        super().__init__(error.code)
        self.error = error


class EngineClient(Protocol):
    """Interface of the client of one engine."""

    async def prefill(
        self, call: PrefillCall
    ) -> Result[PrefillResult, EngineError]:
        """Compute the KV cache of a prompt."""
        ...

    async def transfer(self, call: TransferCall) -> Result[None, EngineError]:
        """Make the engine fetch a KV cache from a prefill engine."""
        ...

    def decode(self, call: DecodeCall) -> AsyncIterator[Piece]:
        """Stream an answer.

        The stream ends only after a piece with ``finish``.

        Raises
        ------
        EngineFailure
            If the answer cannot be completed.
        """
        ...

    async def cancel(self, request_id: str) -> bool:
        """Stop a request and free its memory; return whether confirmed."""
        ...

    async def load(self) -> Result[EngineLoad, EngineError]:
        """Return the load that the engine reports."""
        ...

    def events(self) -> AsyncIterator[CacheEvent]:
        """Stream the events of the prefix cache.

        Raises
        ------
        EngineFailure
            If the connection fails.
        """
        ...

    async def order(self, order: Order) -> Result[None, EngineError]:
        """Send a command to the engine."""
        ...
