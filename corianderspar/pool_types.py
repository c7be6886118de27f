"""Requests to and results of the scheduler of a pool."""

from typing import NamedTuple
from typing import Protocol

from corianderspar import catalogue


class Job(NamedTuple):
    """A request that needs a prefill engine and a decode engine.

    Attributes
    ----------
    request_id, account, route : str
        Identifies the request, its client account and its route.
    weight : float
        The account's weight in the fair queue.
    service_class : {'patient', 'guarded', 'ordinary'}
        How the request is treated when capacity is short.
    prompt_tokens : int
        Tokens of the prompt.
    blocks : tuple of int
        Block hashes of the prompt, from `corianderspar.prompts.block_hashes`.
    max_tokens : int
        Most tokens of the answer, as the caller declares them.
    max_wait : float
        Seconds within which the job must be granted.
    exclusive : bool
        Whether the request may have crashed an engine. No two such jobs
        share an engine.
    excluded : tuple of str
        Names of engines that the job must not use.
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
    """The engines that a job gets.

    Attributes
    ----------
    request_id : str
        Id of the job's request.
    prefill, decode : str
        Names of the two engines.
    delay : float
        Seconds to wait before the prefill starts; in a grant from
        `pool.PoolScheduler.reschedule_transfer`, before the transfer starts.
    pieces : int
        Memory pieces reserved on the decode engine.
    transfer_seconds : float
        Expected duration of the KV cache transfer.
    """

    request_id: str
    prefill: str
    decode: str
    delay: float
    pieces: int
    transfer_seconds: float


class Reservation(NamedTuple):
    """What is set aside for a granted job, enough to rebuild a ledger.

    Attributes
    ----------
    job : Job
        The job without its block hashes.
    grant : Grant
        The engines that it got.
    decoding : bool
        Whether the decode engine generates its answer.
    tokens : int
        Answer tokens streamed so far.
    """

    job: Job
    grant: Grant
    decoding: bool
    tokens: int


class ShardSummary(NamedTuple):
    """The load of a shard, by which other data centres decide on spill.

    Attributes
    ----------
    free_slots : int
        Decode slots that are free.
    backlog : int
        Jobs that wait.
    expected_wait : float
        Seconds that the job of a new account is expected to wait.
    """

    free_slots: int
    backlog: int
    expected_wait: float


class EventCallback(Protocol):
    """Records events, as `corianderspar.timeline.EventBuffer.add` does."""

    def __call__(self, name: str, **fields: object) -> object:
        """Record an event."""
        ...
