"""What fake engines did, for checks from the outside."""

from typing import NamedTuple


class Run(NamedTuple):
    """An engine that began to run a request.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    engine, kind, request_id : str
        Where, ``prefill``, ``transfer`` or ``decode``, and which.
    digest : int
        Hash of the prompt; 0 for a transfer.
    """

    at: float
    engine: str
    kind: str
    request_id: str
    digest: int


class Prefill(NamedTuple):
    """A prefill that ended, perhaps before its time.

    Attributes
    ----------
    engine, request_id : str
        Where and which.
    computed, cached : int
        Tokens of the prompt.
    again : int
        Tokens computed though another live engine had them cached.
    """

    engine: str
    request_id: str
    computed: int
    cached: int
    again: int


class Memory(NamedTuple):
    """A change of the memory that a decode engine holds for a request.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    engine, request_id : str
        Where and which.
    pieces : int
        Pieces held from then on.
    """

    at: float
    engine: str
    request_id: str
    pieces: int


class Records:
    """All that the fake engines of one network did."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.prefills: list[Prefill] = []
        self.memory: list[Memory] = []
        self.decoded: set[str] = set()
        self.paused: list[tuple[float, str]] = []

    def prefill_tokens(self) -> int:
        """Return the prompt tokens that were computed."""
        return sum(prefill.computed for prefill in self.prefills)

    def wasted_tokens(self) -> int:
        """Return the tokens computed in vain.

        They were never decoded, or another live engine had them cached.
        A second prefill of a request counts as never decoded, too.
        """
        wasted = 0
        seen: set[str] = set()
        for prefill in reversed(self.prefills):
            key = prefill.request_id
            if key not in self.decoded or key in seen:
                wasted += prefill.computed
            else:
                wasted += prefill.again
            seen.add(key)
        return wasted

    def held_until(self, end: float) -> dict[str, float]:
        """Return when the last memory of each request was freed.

        Parameters
        ----------
        end : float
            When the run ended; taken for what is still held.
        """
        held: dict[tuple[str, str], int] = {}
        until: dict[str, float] = {}
        for change in self.memory:
            held[change.engine, change.request_id] = change.pieces
            until[change.request_id] = change.at
        for (_engine, request_id), pieces in held.items():
            if pieces:
                until[request_id] = end
        return until
