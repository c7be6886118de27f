"""Records of tickets: issued, running, and how their requests ended."""

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
        Most records, issued and unused tickets included.
    max_account_fraction : float
        Most of them that one client account may hold.
    max_answer_bytes : int
        Longest answer that is kept.
    max_total_bytes : int
        Most bytes of all answers together.
    lifetime : float
        Seconds from issue in which a ticket may start its request.
    retention : float
        Seconds from issue, and again from the end of the request, that
        a record is kept.
    """

    max_records: int = MAX_RECORDS
    max_account_fraction: float = MAX_ACCOUNT_FRACTION
    max_answer_bytes: int = MAX_ANSWER_BYTES
    max_total_bytes: int = MAX_TOTAL_BYTES
    lifetime: float = LIFETIME_SECONDS
    retention: float = RETENTION_SECONDS


class Record:
    """One ticket's record; it is claimed once and never given back.

    Attributes
    ----------
    account : str
        Whose ticket it is.
    expires_at, retained_until : float
        Seconds on the monotonic clock.
    digest : bytes
        Of the request that claimed it; empty while it is unused.
    ended : asyncio.Event or None
        Set when the request has ended; None while it is unused.
    outcome : Result or None
        How it ended; a kept answer whose bytes were dropped is None too.
    size : int
        Bytes of the kept answer.
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
    def unused(self) -> bool:
        """Whether no request claimed it and none was refused for good."""
        return self.ended is None

    @property
    def running(self) -> bool:
        """Whether its request has been claimed and has not ended."""
        return self.ended is not None and not self.ended.is_set()


class TicketRecords:
    """All records of one incarnation, bounded in number and bytes.

    Answers are dropped first, oldest first; records only when their time
    is over. When there is no room, no new ticket is issued.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : Limits
        Bounds.
    """

    def __init__(
        self, clock: clocks.Clock, limits: Limits | None = None
    ) -> None:
        self.limits = limits or Limits()
        self.kept_bytes = 0
        self._clock = clock
        self._set_event = asyncio.Event()
        self._set_event.set()
        self._records_by_nonce: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._kept_by_nonce: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._counts_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._records_by_nonce)

    def has_capacity(self, account: str) -> bool:
        """Return whether a ticket may be issued to a client account."""
        self._expire()
        most = self.limits.max_records * self.limits.max_account_fraction
        return (
            len(self._records_by_nonce) < self.limits.max_records
            and self._counts_by_account[account] < most
        )

    def add(self, nonce: str, account: str) -> Record:
        """Make the record of a new ticket; see `has_capacity` first."""
        now = self._clock.monotonic()
        record = Record(
            account, now + self.limits.lifetime, now + self.limits.retention
        )
        self._records_by_nonce[nonce] = record
        self._counts_by_account[account] += 1
        return record

    def get(self, nonce: str) -> Record | None:
        """Return a record, or None once it has fallen out."""
        self._expire()
        return self._records_by_nonce.get(nonce)

    def claim(self, nonce: str, digest: bytes) -> Record | None:
        """Take an unused record for one request.

        Returns
        -------
        Record or None
            None if it was claimed before, is too old, or is unknown. Of
            all calls with a nonce at most one gets the record, ever.
        """
        record = self.get(nonce)
        if record is None or not record.unused:
            return None
        if self._clock.monotonic() >= record.expires_at:
            return None
        record.digest = digest
        record.ended = asyncio.Event()
        return record

    def refuse(
        self, nonce: str, digest: bytes, outcome: plain_requests.Outcome
    ) -> None:
        """End an unused record with a refusal, for good."""
        record = self._records_by_nonce[nonce]
        record.digest = digest
        record.ended = asyncio.Event()
        self.finish(nonce, record, outcome)

    def finish(
        self, nonce: str, record: Record, outcome: plain_requests.Outcome
    ) -> None:
        """Record how a claimed request ended."""
        record.outcome = outcome
        # An answer is kept for as long after its end as a ticket after
        # its issue, so that a long request can be asked about too.
        record.retained_until = self._clock.monotonic() + self.limits.retention
        self._records_by_nonce.move_to_end(nonce)
        assert record.ended is not None
        record.ended.set()
        # Whoever waits holds the event; the record needs it no more.
        record.ended = self._set_event
        if outcome.is_ok():
            self._keep_answer(nonce, record, outcome.ok)

    def count_unfinished(self) -> int:
        """Return how many tickets are running or may still start one."""
        now = self._clock.monotonic()
        return sum(
            record.running or (record.unused and record.expires_at > now)
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
        self._kept_by_nonce[nonce] = record
        while self.kept_bytes > self.limits.max_total_bytes:
            _oldest, dropped = self._kept_by_nonce.popitem(last=False)
            self._drop_answer(dropped)

    def _drop_answer(self, record: Record) -> None:
        self.kept_bytes -= record.size
        record.size = 0
        record.outcome = None

    def _expire(self) -> None:
        """Drop the oldest records whose time is over."""
        now = self._clock.monotonic()
        while self._records_by_nonce:
            nonce, record = next(iter(self._records_by_nonce.items()))
            if now < record.retained_until:
                return
            if record.running:
                # A running request keeps its record, so that nothing can
                # make its ticket look unknown while it runs.
                record.retained_until = now + self.limits.retention
                self._records_by_nonce.move_to_end(nonce)
                continue
            del self._records_by_nonce[nonce]
            if self._kept_by_nonce.pop(nonce, None) is not None:
                self._drop_answer(record)
            self._counts_by_account[record.account] -= 1
            if not self._counts_by_account[record.account]:
                del self._counts_by_account[record.account]


def reply_bytes(reply: plain_client.PlainReply) -> int:
    """Return the bytes that a reply takes, headers included.

    Examples
    --------
    >>> reply_bytes(plain_client.PlainReply(200, (('a', 'b'),), b'body'))
    6
    """
    headers = sum(len(name) + len(value) for name, value in reply.headers)
    return headers + len(reply.body)
