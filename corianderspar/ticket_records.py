"""Records of issued tickets and of the outcomes of their requests."""

import asyncio
import collections
from typing import NamedTuple

from corianderspar import clock as clocks
from corianderspar import plain_client
from corianderspar import plain_requests

MAX_RECORDS = 20_000
MAX_ACCOUNT_FRACTION = 0.5
MAX_ANSWER_BYTES = 256 << 10
MAX_TOTAL_BYTES = 16 << 20
LIFETIME_SECONDS = 30.0
RETENTION_SECONDS = 300.0


class Limits(NamedTuple):
    """Bounds on the records of one incarnation.

    Attributes
    ----------
    max_records : int
        Largest number of records, those of unused tickets included.
    max_account_fraction : float
        Largest fraction of the records that one client account may hold.
    max_answer_bytes : int
        Size of the longest answer that is kept.
    max_total_bytes : int
        Largest size of all kept answers together.
    lifetime : float
        Seconds after its issue in which a ticket can start its request.
    retention : float
        Seconds for which a record is kept after the issue of the ticket,
        and again after the end of its request.
    """

    max_records: int = MAX_RECORDS
    max_account_fraction: float = MAX_ACCOUNT_FRACTION
    max_answer_bytes: int = MAX_ANSWER_BYTES
    max_total_bytes: int = MAX_TOTAL_BYTES
    lifetime: float = LIFETIME_SECONDS
    retention: float = RETENTION_SECONDS


class Record:
    """State of one ticket; at most one request ever claims it.

    Attributes
    ----------
    account : str
        Client account that the ticket was issued to.
    expires_at, retained_until : float
        When the ticket can no longer start its request, and when the
        record may be removed; seconds on the monotonic clock.
    digest : bytes
        Digest of the request that claimed it; empty while unused.
    ended : asyncio.Event or None
        Set when the request has ended; None while unused.
    outcome : Result or None
        Outcome of the request; None until it has ended, and also if its
        answer was too long to keep or has been dropped.
    size : int
        Size of the kept answer in bytes.
    """

    __slots__ = (
        'account',
        'digest',
        'ended',
        'retained_until',
        'outcome',
        'size',
        'expires_at',
    )

    def __init__(
        self, account: str, expires_at: float, retained_until: float
    ) -> None:
        self.account = account
        self.expires_at = expires_at
        self.retained_until = retained_until
        self.digest = b''
        self.ended: asyncio.Event | None = None
        self.outcome: plain_requests.Outcome | None = None
        self.size = 0

    @property
    def is_unused(self) -> bool:
        """Whether no request has claimed the record or been refused."""
        return self.ended is None

    @property
    def is_running(self) -> bool:
        """Whether a request claimed the record and has not ended."""
        return self.ended is not None and not self.ended.is_set()


class TicketRecords:
    """All records of one incarnation, bounded in number and size.

    When the answers take too much memory, the oldest ones are dropped.
    Records themselves are removed only at the end of their retention; no
    ticket is issued while their number is at its limit.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : Limits or None
        Bounds; the defaults of `Limits` if None.

    Attributes
    ----------
    kept_bytes : int
        Size of all kept answers together.
    """

    def __init__(
        self, clock: clocks.Clock, limits: Limits | None = None
    ) -> None:
        self.limits = limits or Limits()
        self.kept_bytes = 0
        self._clock = clock
        self._finished_event = asyncio.Event()
        self._finished_event.set()
        self._records_by_nonce: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._answered_by_nonce: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._counts_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._records_by_nonce)

    def has_capacity(self, account: str) -> bool:
        """Return whether a ticket can be issued to a client account."""
        self._expire()
        max_per_account = (
            self.limits.max_records * self.limits.max_account_fraction
        )
        return (
            len(self._records_by_nonce) < self.limits.max_records
            and self._counts_by_account[account] < max_per_account
        )

    def add(self, nonce: str, account: str) -> Record:
        """Add the record of a new ticket; `has_capacity` must hold."""
        now = self._clock.monotonic()
        record = Record(
            account, now + self.limits.lifetime, now + self.limits.retention
        )
        self._records_by_nonce[nonce] = record
        self._counts_by_account[account] += 1
        return record

    def get(self, nonce: str) -> Record | None:
        """Return a record, or None if it is unknown or was removed."""
        self._expire()
        return self._records_by_nonce.get(nonce)

    def claim(self, nonce: str, digest: bytes) -> Record | None:
        """Claim an unused record for one request.

        Returns
        -------
        Record or None
            None if it was claimed before, has expired or is unknown. Of
            all calls with the same nonce, at most one gets the record.
        """
        record = self.get(nonce)
        if record is None or not record.is_unused:
            return None
        if self._clock.monotonic() >= record.expires_at:
            return None
        record.digest = digest
        record.ended = asyncio.Event()
        return record

    def refuse(
        self, nonce: str, digest: bytes, outcome: plain_requests.Outcome
    ) -> None:
        """Record a refusal as the final outcome of an unused ticket."""
        record = self._records_by_nonce[nonce]
        record.digest = digest
        record.ended = asyncio.Event()
        self.finish(nonce, record, outcome)

    def finish(
        self, nonce: str, record: Record, outcome: plain_requests.Outcome
    ) -> None:
        """Record the outcome of the request that claimed a record."""
        record.outcome = outcome
        # The retention starts again, so that the outcome of a long request
        # can be looked up for as long as that of a short one.
        record.retained_until = self._clock.monotonic() + self.limits.retention
        self._records_by_nonce.move_to_end(nonce)
        assert record.ended is not None
        record.ended.set()
        # Waiting callers have a reference to the event. To save memory, all
        # finished records share one event, which is always set.
        record.ended = self._finished_event
        if outcome.is_ok():
            self._keep_answer(nonce, record, outcome.ok)

    def count_unfinished(self) -> int:
        """Return how many requests run or can still be started."""
        now = self._clock.monotonic()
        return sum(
            record.is_running or (record.is_unused and record.expires_at > now)
            for record in self._records_by_nonce.values()
        )

    def _keep_answer(
        self, nonce: str, record: Record, reply: plain_client.PlainReply
    ) -> None:
        size = reply_bytes(reply)
        if size > self.limits.max_answer_bytes:
            record.outcome = None
            return
        record.size = size
        self.kept_bytes += size
        self._answered_by_nonce[nonce] = record
        while self.kept_bytes > self.limits.max_total_bytes:
            _nonce, oldest = self._answered_by_nonce.popitem(last=False)
            self._drop_answer(oldest)

    def _drop_answer(self, record: Record) -> None:
        self.kept_bytes -= record.size
        record.size = 0
        record.outcome = None

    def _expire(self) -> None:
        """Remove the records past their retention.

        They are ordered by `Record.retained_until`.
        """
        now = self._clock.monotonic()
        while self._records_by_nonce:
            nonce, record = next(iter(self._records_by_nonce.items()))
            if now < record.retained_until:
                return
            if record.is_running:
                # Keep the record while the request runs; otherwise a copy
                # of the request would find its ticket unknown.
                record.retained_until = now + self.limits.retention
                self._records_by_nonce.move_to_end(nonce)
                continue
            del self._records_by_nonce[nonce]
            if self._answered_by_nonce.pop(nonce, None) is not None:
                self._drop_answer(record)
            self._counts_by_account[record.account] -= 1
            if not self._counts_by_account[record.account]:
                del self._counts_by_account[record.account]


def reply_bytes(reply: plain_client.PlainReply) -> int:
    """Return the size of a reply in bytes, headers included.

    Examples
    --------
    >>> reply_bytes(plain_client.PlainReply(200, (('a', 'b'),), b'body'))
    6
    """
    headers = sum(len(name) + len(value) for name, value in reply.headers)
    return headers + len(reply.body)
