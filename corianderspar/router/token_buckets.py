"""Token buckets of client accounts, synchronised between daemons.

The buckets must hold the limit of an account that sends several times its
rate through all daemons at once, while daemons restart, freeze or are
separated by a network partition.

Each daemon counts the tokens that it charged to each account, less refunds,
and sends these running totals to its peers in heartbeats. It refills a
bucket at the account's rate and subtracts its own charges and the increase
of its peers' totals. The totals are cumulative, so a repeated report does no
harm. While some peers are silent, a bucket refills only at the share of the
daemons that are live, because the silent ones may still grant the rest. It
refills a little faster where the operator's tolerance allows it.

Reports are late by a heartbeat. In that time several daemons may grant the
same tokens, and a full bucket loses the refill for which a late report would
have made room. Requests are therefore charged at the home of their account,
whose bucket sees them in order. The totals are used when no home answers,
and by the next home when the home changes.

A bucket may be overdrawn by a part of the operator's slack, by all requests
alike. The rest of the slack covers the races between daemons and a restart
of the fleet.

Refused callers are told to retry one after another, at the pace at which
tokens arrive, rather than all at once.
"""

import collections
from typing import NamedTuple

# Of the slack. A window may see three such overdrafts, which leave two fifths
# for late reports.
OVERDRAFT_SHARE = 0.2
# Full buckets, each with its overdraft, that a window may see in addition to
# the refill: one on either side of a network partition, and one after a
# restart of the fleet.
BURSTS_IN_WINDOW = 3
REFILL_SPARE_SHARE = 0.8  # of the window's spare tokens; the rest is margin
IDLE_RESET_SECONDS = 4.0  # or the time to fill the bucket, if that is longer


class LimitTolerance(NamedTuple):
    """What the operator lets the fleet use beyond an account's limit.

    In a window of ``window`` seconds all daemons together may grant
    ``(rate * window + burst) * (1 + excess) + slack`` tokens.
    """

    slack: float = 0.0
    excess: float = 0.0
    window: float = 8.0

    def refill_share(
        self, live_share: float, rate: float, burst: float
    ) -> float:
        """Return the share of the rate at which a bucket refills here.

        It is the share of the daemons that are live, because the silent
        ones may grant the rest, raised by the tokens that the window has to
        spare.
        """
        refill = rate * self.window
        max_tokens = (refill + burst) * (1 + self.excess) + self.slack
        overdraft = self.slack * OVERDRAFT_SHARE
        spare = max_tokens - refill - BURSTS_IN_WINDOW * (burst + overdraft)
        increase = max(spare, 0.0) * REFILL_SPARE_SHARE / refill
        return min(live_share * (1 + increase), 1.0)


class ChargeResult(NamedTuple):
    """Whether a request may use its tokens now.

    Attributes
    ----------
    granted : bool
        Whether the tokens were taken.
    level : float
        Tokens left in the bucket; negative if it is overdrawn.
    retry_after : float
        Seconds after which the caller should retry; 0 if granted.
    """

    granted: bool
    level: float
    retry_after: float


class _Bucket(NamedTuple):
    """State of one bucket.

    Attributes
    ----------
    level : float
        Tokens in the bucket; negative if it is overdrawn.
    awaiting_retry : float
        Tokens of refused requests that were told to retry later.
    updated_at : float
        Monotonic seconds of the last refill.
    """

    level: float
    awaiting_retry: float
    updated_at: float


class TokenBuckets:
    """Buckets of all client accounts, as one daemon sees them.

    Parameters
    ----------
    tolerance : LimitTolerance
        What the operator allows beyond limits.

    Attributes
    ----------
    charged_by_account : Counter
        Tokens that this daemon charged, less refunds.
    """

    def __init__(
        self,
        tolerance: LimitTolerance = LimitTolerance(),  # noqa: B008
    ) -> None:
        self.charged_by_account: collections.Counter[str] = (
            collections.Counter()
        )
        self._tolerance = tolerance
        self._buckets_by_account: dict[str, _Bucket] = {}
        self._totals_by_incarnation: dict[str, dict[str, int]] = {}
        self._live_share = 1.0

    def charge(
        self,
        account: str,
        rate: float,
        burst: float,
        tokens: int,
        now: float,
    ) -> ChargeResult:
        """Take tokens out of an account's bucket, or refuse.

        Parameters
        ----------
        account : str
            Name of the account.
        rate, burst : float
            Tokens per second, and tokens at once; a rate of 0 is no limit.
        tokens : int
            Cost of the request. A request above the burst is granted while
            the bucket is full, and leaves a debt.
        now : float
            Monotonic seconds.
        """
        if rate <= 0:
            self.charged_by_account[account] += tokens
            return ChargeResult(True, 0.0, 0.0)
        bucket = self._refill(account, rate, burst, now)
        overdraft = self._tolerance.slack * OVERDRAFT_SHARE
        needed = min(float(tokens), burst) - overdraft
        if bucket.level < needed:
            awaiting_retry = bucket.awaiting_retry + tokens
            self._buckets_by_account[account] = bucket._replace(
                awaiting_retry=awaiting_retry
            )
            retry_after = (
                needed - bucket.level + bucket.awaiting_retry
            ) / rate
            return ChargeResult(False, bucket.level, retry_after)
        level = bucket.level - tokens
        self._buckets_by_account[account] = bucket._replace(level=level)
        self.charged_by_account[account] += tokens
        return ChargeResult(True, level, 0.0)

    def refund(self, account: str, tokens: int) -> None:
        """Return the tokens of a request that certainly did not run."""
        self.charged_by_account[account] -= tokens
        self._add(account, tokens)

    def update_peer_totals(
        self, incarnation: str, totals_by_account: dict[str, int]
    ) -> None:
        """Subtract what one incarnation of a peer charged since last time.

        The first totals of an incarnation cover its whole lifetime. They may
        empty a bucket that is younger than the incarnation, but leave no
        debt for what was charged before the bucket existed.
        """
        is_new = incarnation not in self._totals_by_incarnation
        known = self._totals_by_incarnation.setdefault(incarnation, {})
        for account, total in totals_by_account.items():
            increase = total - known.get(account, 0)
            known[account] = total
            bucket = self._buckets_by_account.get(account)
            if is_new and bucket is not None:
                increase = min(increase, max(round(bucket.level), 0))
            self._add(account, -increase)

    def forget_peer(self, incarnation: str) -> None:
        """Drop the totals of an incarnation that ended."""
        self._totals_by_incarnation.pop(incarnation, None)

    def set_live_share(self, share: float) -> None:
        """Set the share of the known daemons that are live, 0 to 1."""
        self._live_share = share

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
        # Totals are reported late, so a debt that they leave in an unused
        # bucket is not reliable.
        reset_after = max(IDLE_RESET_SECONDS, burst / rate)
        if bucket is None or now - bucket.updated_at > reset_after:
            bucket = _Bucket(burst, 0.0, now)
        share = self._tolerance.refill_share(self._live_share, rate, burst)
        refill = (now - bucket.updated_at) * rate * share
        bucket = _Bucket(
            min(bucket.level + refill, burst),
            max(bucket.awaiting_retry - refill, 0.0),
            now,
        )
        self._buckets_by_account[account] = bucket
        return bucket
