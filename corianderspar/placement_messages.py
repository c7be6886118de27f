"""Messages between an edge and the home of a shard.

An edge is the daemon that received a request from its caller. A shard is
the engines of one model in one data centre.
"""

from typing import Literal
from typing import NamedTuple

from corianderspar import peers as peer_messages
from corianderspar import pool
from corianderspar import problems

ProgressKind = Literal['started', 'prefilled', 'decoding', 'tokens', 'release']


class SubmitRequest(NamedTuple):
    """Ask the home to schedule a job.

    A job that was granted before gets the same grant again, so that the
    request may be resent.

    Attributes
    ----------
    model : str
        Names the shard within the data centre.
    job : Job
        The job to schedule.
    is_spilled : bool
        Whether it comes from another data centre.
    first_token_remaining : float or None
        Seconds within which the first token is due; None if only the
        job's ``max_wait`` counts.
    """

    model: str
    job: pool.Job
    is_spilled: bool = False
    first_token_remaining: float | None = None


class SubmitReply(NamedTuple):
    """The home's decision on a job.

    Attributes
    ----------
    state : {'waiting', 'granted', 'refused'}
        ``'waiting'`` if the decision follows in a `DeferredReply`.
    grant : Grant or None
        The engines, of a job that was granted.
    problem : Problem or None
        The reason, for a job that was refused.
    """

    state: Literal['waiting', 'granted', 'refused']
    grant: pool.Grant | None = None
    problem: problems.Problem | None = None


class DeferredReply(NamedTuple):
    """The decision on a job whose `SubmitReply` was ``'waiting'``."""

    request_id: str
    reply: SubmitReply


class ProgressUpdate(NamedTuple):
    """A step in the execution of a request.

    Attributes
    ----------
    number : int
        The request's number; with the sender's incarnation it is the id.
    kind : {'started', 'prefilled', 'decoding', 'tokens', 'release'}
        The step: its prefill was sent, its prefill ended, its decode
        began, answer tokens came, or it gave up its job or its engines.
    tokens, cached_tokens : int
        For ``'prefilled'``, prompt tokens computed and found in the cache;
        for ``'tokens'`` and ``'release'``, answer tokens so far and 0.
    outcome : {'', 'done', 'gone', 'failed', 'died'}
        For ``'release'``, how the request ended.
    """

    number: int
    kind: ProgressKind
    tokens: int = 0
    cached_tokens: int = 0
    outcome: str = ''


class ProgressReport(NamedTuple):
    """Updates on several requests of one shard, in order."""

    model: str
    updates: tuple[ProgressUpdate, ...]


class RegrantRequest(NamedTuple):
    """Ask for another decode engine after a failed transfer.

    The prefill result is still held by the prefill engine.

    Attributes
    ----------
    model, request_id : str
        The shard and the request.
    upstream, error_code : str
        The decode engine, and the code of its error.
    """

    model: str
    request_id: str
    upstream: str
    error_code: str


class RegrantReply(NamedTuple):
    """The new grant, or None if the job has to be submitted again."""

    grant: pool.Grant | None


class CrashReport(NamedTuple):
    """Report that an engine crashed while it ran a request of the sender.

    Attributes
    ----------
    model, upstream : str
        The shard and the engine.
    number : int
        The request's number.
    fingerprint : str
        Digest of the request's model and prompt.
    """

    model: str
    upstream: str
    number: int
    fingerprint: str


class CrashReportReply(NamedTuple):
    """The number of requests in flight at a crash that was recorded.

    Their fingerprints have been sent to the other daemons. The number is
    0 if the engine did not crash.
    """

    in_flight: int


class Lease(NamedTuple):
    """The requests of one edge at one shard.

    Attributes
    ----------
    model : str
        Names the shard.
    waiting_numbers, granted_numbers : tuple of int
        Numbers of the requests that wait for a grant and of those that
        have one.
    moved_reservations : tuple of Reservation
        Reservations that another home had granted.
    """

    model: str
    waiting_numbers: tuple[int, ...]
    granted_numbers: tuple[int, ...]
    moved_reservations: tuple[pool.Reservation, ...] = ()


class AnswerLength(NamedTuple):
    """The length of a complete answer.

    Attributes
    ----------
    account, route : str
        The account and route of its request.
    tokens : int
        Answer tokens.
    """

    account: str
    route: str
    tokens: int


class CachedBlocks(NamedTuple):
    """Prompt blocks that an engine computed, the latest first."""

    upstream: str
    blocks: tuple[int, ...]


class Leases(NamedTuple):
    """All leases of an edge at one home.

    Attributes
    ----------
    leases : tuple of Lease
        One for each model.
    answer_lengths : tuple of AnswerLength
        In the reply to `LeasesRequest`, the lengths of recent answers,
        from which the new home predicts those of future answers.
    cached_blocks : tuple of CachedBlocks
        In that reply, what the prefill engines have cached.
    """

    leases: tuple[Lease, ...]
    answer_lengths: tuple[AnswerLength, ...] = ()
    cached_blocks: tuple[CachedBlocks, ...] = ()


class LeasesRequest(NamedTuple):
    """Ask, as a new home, for all reservations at a shard."""

    model: str


class UnknownReservations(NamedTuple):
    """Numbers of granted requests whose reservations the home lacks.

    The edge answers with leases that contain these reservations.
    """

    model: str
    numbers: tuple[int, ...]


class UntrackedRequests(NamedTuple):
    """Requests of the receiver at an engine that the home has not granted.

    The receiver cancels those that it does not run.
    """

    upstream: str
    numbers: tuple[int, ...]


TYPES_BY_KIND: dict[str, type] = {
    'submit': SubmitRequest,
    'booking': SubmitReply,
    'booked': DeferredReply,
    'steps': ProgressReport,
    'transfer-failed': RegrantRequest,
    'rebooked': RegrantReply,
    'crashed': CrashReport,
    'crash-noted': CrashReportReply,
    'leases': Leases,
    'lease-query': LeasesRequest,
    'missing': UnknownReservations,
    'held': UntrackedRequests,
}


def register(peers: peer_messages.Peers) -> None:
    """Register all message types with the codec."""
    for kind, body in TYPES_BY_KIND.items():
        peers.add_reply_type(kind, body)
