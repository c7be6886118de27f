"""Jobs of a scheduler, and what it decides and keeps about them."""

import math
from typing import NamedTuple

from corianderspar.router import model

# Of the time that callers have left; they return after that at the latest.
RETURN_SHARE = 1 / 3


class Job(NamedTuple):
    """A request that a scheduler is to place.

    Attributes
    ----------
    job_id : str
        Unique in the fleet.
    owner : str
        Incarnation of the daemon that submits the job.
    prompt_tokens : int
        Length of the prompt.
    length_hint : int
        Length of the answer in tokens, as the caller estimates it.
    priority : int
        0 is the highest.
    arrived_at : float
        Seconds on the scheduler's clock.
    deadline : float
        When the caller gives up without an event; seconds on the scheduler's
        clock.
    data_centre : str
        Of the submitting daemon.
    excluded : tuple of str
        Instances that failed this request.
    is_prefilled : bool
        Whether an engine still holds the prefilled prompt.
    has_partial_answer : bool
        Whether the caller already has a part of the answer. Such a job is
        refused only when its deadline cannot be met.
    version : str or None
        Software version of which the decode engine has to be; None for any.
    output_tokens : int
        Length of the answer as the scheduler predicts it.
    excluded_data_centres : tuple of str
        Data centres whose engines the daemon may not use.
    account : str
        Client account; empty if unknown.
    weight : float
        Share of the account within its rank; 0 if unknown.
    return_within : float
        Seconds after which its caller returns in any case if it is refused.
    """

    job_id: str
    owner: str
    prompt_tokens: int
    length_hint: int
    priority: int
    arrived_at: float
    deadline: float
    data_centre: str
    excluded: tuple[str, ...] = ()
    is_prefilled: bool = False
    has_partial_answer: bool = False
    version: str | None = None
    output_tokens: int = 0
    excluded_data_centres: tuple[str, ...] = ()
    account: str = ''
    weight: float = 0.0
    return_within: float = math.inf

    @property
    def kv_tokens(self) -> int:
        """KV cache memory that the job needs, in tokens."""
        return self.prompt_tokens + self.output_tokens

    def may_use(self, engine: model.Upstream) -> bool:
        """Return whether the job does not exclude an engine."""
        return (
            engine.instance not in self.excluded
            and engine.data_centre not in self.excluded_data_centres
        )


class Grant(NamedTuple):
    """The engines that a job gets.

    Attributes
    ----------
    prefill : str
        Instance that prefills the prompt; empty if the decode engine does.
    decode : str
        Instance that generates the answer.
    """

    prefill: str
    decode: str


class Refusal(NamedTuple):
    """A job that is not placed.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller should retry.
    reason : str
        Reported to the caller and logged.
    """

    retry_after: float
    reason: str


Decision = Grant | Refusal


class Reservation(NamedTuple):
    """What a scheduler sets aside for a granted job.

    Attributes
    ----------
    job : Job
        The job that holds it.
    grant : Grant
        The engines that it is on.
    granted_at : float
        Seconds on the scheduler's clock.
    prefilled_at : float or None
        When prefill ended and the answer began to grow; None before that.
    cold : tuple of str
        Those of the engines that were cold, whose requests are counted.
    """

    job: Job
    grant: Grant
    granted_at: float
    prefilled_at: float | None
    cold: tuple[str, ...] = ()

    @property
    def is_prefilled(self) -> bool:
        """Whether the prompt has been prefilled."""
        return self.prefilled_at is not None


class Load(NamedTuple):
    """Load of an engine from reservations of other schedulers.

    Attributes
    ----------
    tokens : int
        KV cache memory.
    requests : int
        Number of requests that hold it.
    """

    tokens: int
    requests: int
