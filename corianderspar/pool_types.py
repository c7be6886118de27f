"""What the scheduler of a pool takes, grants and reports."""

from typing import NamedTuple
from typing import Protocol

from corianderspar import catalogue


class Job(NamedTuple):
    """A request that wants room on a prefill and a decode engine.

    Attributes
    ----------
    request_id, account, route : str
        Which request it is and whom it counts for.
    weight : float
        The account's weight when engines are short.
    service_class : {'patient', 'guarded', 'ordinary'}
        How it is treated when room is short.
    prompt_tokens : int
        Tokens of the prompt.
    blocks : tuple of int
        As `corianderspar.prompts.block_hashes` gives them.
    max_tokens : int
        Answer tokens that the caller reserves.
    max_wait : float
        Seconds within which it must be granted.
    exclusive : bool
        Whether it may have crashed an engine: no two such jobs share one.
    excluded : tuple of str
        Engines that it must not use.
    """

    request_id: str
    account: str
    weight: float
    service_class: catalogue.ServiceClass
    route: str
    prompt_tokens: int
    blocks: tuple[int, ...]
    max_tokens: int
    max_wait: float
    exclusive: bool = False
    excluded: tuple[str, ...] = ()


class Grant(NamedTuple):
    """Room on a prefill and a decode engine.

    Attributes
    ----------
    request_id : str
        The job's.
    prefill, decode : str
        Names of upstreams.
    delay : float
        Seconds to wait before the prefill starts; in a grant that
        `rebook` gives, before the transfer starts.
    pieces : int
        Memory pieces reserved on the decode engine.
    transfer_seconds : float
        How long the transfer is booked for, once it starts.
    """

    request_id: str
    prefill: str
    decode: str
    delay: float
    pieces: int
    transfer_seconds: float


class Reservation(NamedTuple):
    """What a home knows of a granted job, enough to rebuild its ledger.

    Attributes
    ----------
    job : Job
        Its blocks are left out.
    grant : Grant
        Where it runs.
    decoding : bool
        Whether its answer streams.
    tokens : int
        Answer tokens that have come.
    """

    job: Job
    grant: Grant
    decoding: bool
    tokens: int


class ShardSummary(NamedTuple):
    """The state of a shard in short, for spill to other data centres.

    Attributes
    ----------
    free_slots : int
        Decode slots that are free.
    backlog : int
        Jobs that wait.
    expected_wait : float
        Seconds that a new account's job is expected to wait.
    """

    free_slots: int
    backlog: int
    expected_wait: float


class EventCallback(Protocol):
    """Takes events, as `corianderspar.timeline.Ring.add` does."""

    def __call__(self, name: str, **fields: object) -> object:
        """Take note of an event."""
        ...
