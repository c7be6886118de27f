"""Limits of client accounts, by what all daemons say that they granted.

Load it answers: one account at several times its rate, entering through
all daemons at once, with daemons that restart, freeze or are cut off.

Each daemon counts the tokens it granted by account, less those it took
back, and tells the running totals to its peers. A daemon refills a bucket at
the account's rate and takes out what it grants and what it hears, so that a
repeated report does no harm. For peers that fell silent, the bucket refills
only at the share of those that are heard, because the silent ones may still
grant the rest.

Reports are late by a heartbeat, in which daemons may grant the same tokens
twice. A bucket may be overdrawn by a part of what the operator allows beyond
the limit; the rest is left for such races and for a fleet that restarts.
"""

import collections
from typing import NamedTuple



OVERDRAFT_SHARE = 0.125  # of the slack; see above


class Grant(NamedTuple):
    """Whether tokens may be used now.

    Attributes
    ----------
    granted : bool
        Whether they were taken.
    level : float
        Tokens left in the bucket; negative after late reports.
    wait : float
        Seconds until the tokens would be there.
    """

    granted: bool
    level: float
    wait: float


class _Bucket(NamedTuple):
    level: float
    at: float


class Quota:
    """Buckets of all client accounts, as one daemon sees them.

    Parameters
    ----------
    slack : float
        Tokens beyond rate and burst that the operator allows the fleet in
        a window.
    """

    def __init__(self, slack: float = 0.0) -> None:
        self._overdraft = slack * OVERDRAFT_SHARE
        self.granted_by_account: collections.Counter[str] = (
            collections.Counter()
        )
        self._buckets_by_account: dict[str, _Bucket] = {}
        self._heard_by_peer: dict[str, dict[str, int]] = {}
        self._share = 1.0

    def take(
        self, account: str, rate: float, burst: float, tokens: int, now: float
    ) -> Grant:
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
        """
        if rate <= 0:
            self.granted_by_account[account] += tokens
            return Grant(True, 0.0, 0.0)
        level = self._refill(account, rate, burst, now)
        needed = min(float(tokens), burst) - self._overdraft
        if level < needed:
            return Grant(False, level, (needed - level) / rate)
        self._buckets_by_account[account] = _Bucket(level - tokens, now)
        self.granted_by_account[account] += tokens
        return Grant(True, level - tokens, 0.0)

    def give_back(self, account: str, tokens: int) -> None:
        """Return tokens of a request that surely did not run."""
        self.granted_by_account[account] -= tokens
        bucket = self._buckets_by_account.get(account)
        if bucket is not None:
            self._buckets_by_account[account] = bucket._replace(
                level=bucket.level + tokens
            )

    def hear(self, peer: str, totals_by_account: dict[str, int]) -> None:
        """Take note of the totals of one incarnation of a peer."""
        known = self._heard_by_peer.setdefault(peer, {})
        for account, total in totals_by_account.items():
            more = total - known.get(account, 0)
            known[account] = total
            bucket = self._buckets_by_account.get(account)
            if bucket is not None:
                self._buckets_by_account[account] = bucket._replace(
                    level=bucket.level - more
                )

    def forget(self, peer: str) -> None:
        """Drop the totals of an incarnation that ended."""
        self._heard_by_peer.pop(peer, None)

    def set_share(self, share: float) -> None:
        """Set the share of the known daemons that are heard, 0 to 1."""
        self._share = share

    def _refill(
        self, account: str, rate: float, burst: float, now: float
    ) -> float:
        bucket = self._buckets_by_account.get(account)
        if bucket is None:
            bucket = _Bucket(burst, now)
        level = bucket.level + (now - bucket.at) * rate * self._share
        level = min(level, burst)
        self._buckets_by_account[account] = _Bucket(level, now)
        return level
