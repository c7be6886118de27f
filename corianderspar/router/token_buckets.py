"""Limits of client accounts, by what all daemons say that they granted.

Load it answers: one account at several times its rate, entering through
all daemons at once, with daemons that restart, freeze or are cut off.

Each daemon counts the tokens it granted by account, less those it took
back, and tells the running totals to its peers. A daemon refills a bucket at
the account's rate and takes out what it grants and what it hears, so that a
repeated report does no harm. For peers that fell silent, the bucket refills
only at the share of those that are heard, because the silent ones may still
grant the rest, and a little more where the operator's slack allows it.

Reports are late by a heartbeat, in which daemons may grant the same tokens
twice, and a full bucket takes no refill that a late report would have made
room for. So requests are charged at the home of their account, whose bucket
sees them in their order; the totals are for the time when no home answers,
and for the next home. A bucket may be overdrawn by a part of what the
operator allows beyond the limit; the rest is left for such races and for a
fleet that restarts.

Callers that are refused are told to come back one after another, at the
pace at which tokens come, and not all at the moment of the next ones. One
that has returned would hardly come again, so it may overdraw the bucket by
more than one that has a return left. So may a small request: a lookup would
else be refused for the sake of a thirtieth of a prompt.
"""

import collections
from typing import NamedTuple

OVERDRAFT_SHARE = 0.125  # of the slack; see above
FAVOURED_OVERDRAFT_SHARE = 0.2  # for returned callers and small requests
SMALL_SHARE = 0.1  # of the burst; requests up to it are small
# Bursts and overdrafts that a window may see beside the refill: of two sides
# of a cut, and of a fleet that restarts.
BURSTS_IN_WINDOW = 3
SPARE_SHARE = 0.8  # of what is then left, for the refill; the rest is margin
IDLE_SECONDS = 4.0  # or the time to fill it: an unused bucket begins anew
COME_BACK_MOST = 5.0  # seconds; callers wait no longer on our word


class LimitTolerance(NamedTuple):
    """What the operator lets the fleet use beyond an account's limit.

    In a window of ``window`` seconds all daemons together may grant
    ``(rate * window + burst) * (1 + excess) + slack`` tokens.
    """

    slack: float = 0.0
    excess: float = 0.0
    window: float = 8.0

    def refill_share(self, heard: float, rate: float, burst: float) -> float:
        """Return the share of the rate that refills a bucket here.

        Daemons that are silent may grant the rest, so it is the share of
        those that are heard, and more by what the window has to spare.
        """
        refill = rate * self.window
        most = (refill + burst) * (1 + self.excess) + self.slack
        overdraft = self.slack * FAVOURED_OVERDRAFT_SHARE
        spare = most - refill - BURSTS_IN_WINDOW * (burst + overdraft)
        more = max(spare, 0.0) * SPARE_SHARE / refill
        return min(heard * (1 + more), 1.0)


class ChargeResult(NamedTuple):
    """Whether tokens may be used now.

    Attributes
    ----------
    granted : bool
        Whether they were taken.
    level : float
        Tokens left in the bucket; negative if it is overdrawn.
    retry_after : float
        Seconds until the caller should come back; 0 if granted.
    """

    granted: bool
    level: float
    retry_after: float


class _Bucket(NamedTuple):
    """Tokens at a time, and those that refused callers were told of."""

    level: float
    promised: float
    at: float


class TokenBuckets:
    """Buckets of all client accounts, as one daemon sees them.

    Parameters
    ----------
    allowed : LimitTolerance
        What the operator allows beyond limits.

    Attributes
    ----------
    granted_by_account : Counter
        Tokens that this daemon granted, less those it took back.
    """

    def __init__(self, allowed: LimitTolerance = LimitTolerance()) -> None:  # noqa: B008
        self.granted_by_account: collections.Counter[str] = (
            collections.Counter()
        )
        self._allowed = allowed
        self._buckets_by_account: dict[str, _Bucket] = {}
        self._heard_by_peer: dict[str, dict[str, int]] = {}
        self._share = 1.0

    def charge(
        self,
        account: str,
        rate: float,
        burst: float,
        tokens: int,
        now: float,
        is_retry: bool = False,
    ) -> ChargeResult:
        """Take tokens out of an account's bucket.

        Parameters
        ----------
        account : str
            Name of the account.
        rate, burst : float
            Tokens a second, and tokens at once; a rate of 0 is no limit.
        tokens : int
            What the request counts for. A request above the burst passes
            while the bucket is full, and leaves a debt.
        now : float
            Monotonic seconds.
        is_retry : bool
            Whether the caller was refused before.
        """
        if rate <= 0:
            self.granted_by_account[account] += tokens
            return ChargeResult(True, 0.0, 0.0)
        bucket = self._refill(account, rate, burst, now)
        share = OVERDRAFT_SHARE
        if is_retry or tokens <= burst * SMALL_SHARE:
            share = FAVOURED_OVERDRAFT_SHARE
        needed = min(float(tokens), burst) - self._allowed.slack * share
        if bucket.level < needed:
            promised = bucket.promised + tokens
            self._buckets_by_account[account] = bucket._replace(
                promised=promised
            )
            wait = (needed - bucket.level + bucket.promised) / rate
            return ChargeResult(False, bucket.level, min(wait, COME_BACK_MOST))
        level = bucket.level - tokens
        self._buckets_by_account[account] = bucket._replace(level=level)
        self.granted_by_account[account] += tokens
        return ChargeResult(True, level, 0.0)

    def refund(self, account: str, tokens: int) -> None:
        """Return tokens of a request that surely did not run."""
        self.granted_by_account[account] -= tokens
        self._add(account, tokens)

    def add_peer_totals(
        self, peer: str, totals_by_account: dict[str, int]
    ) -> None:
        """Take note of the totals of one incarnation of a peer.

        The first totals of a peer are of all its time. They may empty a
        bucket that is younger, and leave no debt for what came before it.
        """
        is_new = peer not in self._heard_by_peer
        known = self._heard_by_peer.setdefault(peer, {})
        for account, total in totals_by_account.items():
            more = total - known.get(account, 0)
            known[account] = total
            bucket = self._buckets_by_account.get(account)
            if is_new and bucket is not None:
                more = min(more, max(round(bucket.level), 0))
            self._add(account, -more)

    def forget(self, peer: str) -> None:
        """Drop the totals of an incarnation that ended."""
        self._heard_by_peer.pop(peer, None)

    def set_heard_share(self, share: float) -> None:
        """Set the share of the known daemons that are heard, 0 to 1."""
        self._share = share

    def _add(self, account: str, tokens: int) -> None:
        bucket = self._buckets_by_account.get(account)
        if bucket is not None:
            self._buckets_by_account[account] = bucket._replace(
                level=bucket.level + tokens
            )

    def _refill(
        self, account: str, rate: float, burst: float, now: float
    ) -> _Bucket:
        bucket = self._buckets_by_account.get(account)
        # What an unused bucket heard came late, so its debt means little.
        unused = max(IDLE_SECONDS, burst / rate)
        if bucket is None or now - bucket.at > unused:
            bucket = _Bucket(burst, 0.0, now)
        share = self._allowed.refill_share(self._share, rate, burst)
        new = (now - bucket.at) * rate * share
        bucket = _Bucket(
            min(bucket.level + new, burst),
            max(bucket.promised - new, 0.0),
            now,
        )
        self._buckets_by_account[account] = bucket
        return bucket
