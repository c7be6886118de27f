"""Messages between the edge of a request and the home of its shard."""

from typing import Literal
from typing import NamedTuple

from corianderspar import peers as peer_messages
from corianderspar import pool
from corianderspar import problems

ProgressKind = Literal['started', 'prefilled', 'decoding', 'tokens', 'release']


class SubmitRequest(NamedTuple):
    """Ask the home for room; asked again, it gives the same answer.

    Attributes
    ----------
    model : str
        Names the shard within the data centre.
    job : Job
        What wants room.
    spilled : bool
        Whether it comes from another data centre.
    first_token : float or None
        Seconds within which the first token is wanted; None if only the
        job's own wait counts.
    """

    model: str
    job: pool.Job
    spilled: bool = False
    first_token: float | None = None


class SubmitReply(NamedTuple):
    """What the home says to a job.

    Attributes
    ----------
    state : {'waiting', 'granted', 'refused'}
        How it stands.
    grant : Grant or None
        Where it runs.
    problem : Problem or None
        Why it was refused.
    """

    state: Literal['waiting', 'granted', 'refused']
    grant: pool.Grant | None = None
    problem: problems.Problem | None = None


class DeferredReply(NamedTuple):
    """What became of a job that was waiting."""

    request_id: str
    booking: SubmitReply


class ProgressUpdate(NamedTuple):
    """How far a request has come.

    Attributes
    ----------
    number : int
        Its number; with the sender's incarnation it is the id.
    kind : str
        What happened.
    tokens, cached : int
        Prompt tokens computed and cached, or answer tokens in all.
    outcome : str
        How a released one ended.
    """

    number: int
    kind: ProgressKind
    tokens: int = 0
    cached: int = 0
    outcome: str = ''


class ProgressReport(NamedTuple):
    """Steps of several requests of one shard, in order."""

    model: str
    items: tuple[ProgressUpdate, ...]


class RegrantRequest(NamedTuple):
    """Ask for another decode engine while the prefill result lives.

    Attributes
    ----------
    model, request_id : str
        Whose transfer failed.
    upstream, code : str
        The decode engine, and its error.
    """

    model: str
    request_id: str
    upstream: str
    code: str


class RegrantReply(NamedTuple):
    """The new grant, or None if the job has to be submitted again."""

    grant: pool.Grant | None


class CrashReport(NamedTuple):
    """An engine died under a request of the sender.

    Attributes
    ----------
    model, upstream : str
        Which engine.
    number : int
        The request's.
    fingerprint : str
        Stands for its model and prompt.
    """

    model: str
    upstream: str
    number: int
    fingerprint: str


class CrashReportReply(NamedTuple):
    """The crash was recorded, and the news of it told."""

    suspects: int


class Lease(NamedTuple):
    """The requests of one edge at one shard.

    Attributes
    ----------
    model : str
        Names the shard.
    waiting, held : tuple of int
        Numbers of those that wait for a grant and those that hold one.
    moved : tuple of Reservation
        In full, those that another home had granted.
    """

    model: str
    waiting: tuple[int, ...]
    held: tuple[int, ...]
    moved: tuple[pool.Reservation, ...] = ()


class AnswerLength(NamedTuple):
    """An answer that came to its end.

    Attributes
    ----------
    account, route : str
        Whose it was.
    tokens : int
        How long it was.
    """

    account: str
    route: str
    tokens: int


class CachedBlocks(NamedTuple):
    """Prompt blocks that an engine computed, the latest first."""

    upstream: str
    blocks: tuple[int, ...]


class Leases(NamedTuple):
    """All that an edge has at one home.

    Attributes
    ----------
    items : tuple of Lease
        One for each model.
    lengths : tuple of Length
        In the reply to `LeasesRequest`, the latest answers' lengths, from
        which the new home predicts those to come.
    warm : tuple of CachedBlocks
        In that reply, what prefill engines have cached.
    """

    items: tuple[Lease, ...]
    lengths: tuple[AnswerLength, ...] = ()
    warm: tuple[CachedBlocks, ...] = ()


class LeasesRequest(NamedTuple):
    """A new home asks for all reservations at a shard, in full."""

    model: str


class UnknownReservations(NamedTuple):
    """The home does not know these; the edge sends them in full."""

    model: str
    numbers: tuple[int, ...]


class UntrackedRequests(NamedTuple):
    """Requests of the receiver that an engine holds, not in the ledger."""

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
    """Make all types known to the codec."""
    for kind, body in TYPES_BY_KIND.items():
        peers.reply_type(kind, body)
