"""Token buckets of all accounts, with this VM's rate and burst of each."""

from typing import NamedTuple

from corianderspar import shares
from corianderspar import token_bucket


class _AppliedBucket(NamedTuple):
    """A bucket, and the number of the last snapshot applied to it."""

    bucket: token_bucket.TokenBucket
    snapshot_number: int


class AccountBuckets:
    """Token buckets, each made when its account is first used at this VM.

    An account accrues tokens also before its first use: its bucket starts at
    the oldest snapshot that is kept, and each later snapshot is applied at
    the moment at which it was taken.

    Parameters
    ----------
    held : Shares
        This VM's shares of the accounts.
    """

    def __init__(self, held: shares.Shares) -> None:
        self._shares = held
        self._applied_by_account: dict[str, _AppliedBucket] = {}

    def find(self, account: str) -> token_bucket.TokenBucket:
        """Return an account's bucket with its present rate and burst."""
        self._shares.now()
        applied = self._applied_by_account.get(account)
        last = self._shares.snapshots[-1]
        if applied is None or applied.snapshot_number < last.number:
            applied = self._apply_snapshots(account, applied)
            self._applied_by_account[account] = applied
        return applied.bucket

    def has_share(self, account: str) -> bool:
        """Return whether this VM holds a share of an account."""
        return self._shares.snapshots[-1].terms(account).burst > 0

    def rate(self, account: str) -> float:
        """Return this VM's share of an account's rate, in tokens a second."""
        return self._shares.snapshots[-1].terms(account).rate

    def prune(self, accounts: set[str]) -> None:
        """Drop the buckets of accounts that are in no version in force."""
        for account in self._applied_by_account.keys() - accounts:
            del self._applied_by_account[account]

    def _apply_snapshots(
        self, account: str, applied: _AppliedBucket | None
    ) -> _AppliedBucket:
        first = self._shares.snapshots[0]
        if applied is None:
            bucket = token_bucket.TokenBucket(first.at, *first.terms(account))
            number = first.number
        else:
            bucket, number = applied
        if number < first.number - 1:
            # Snapshots in between were dropped, so it is not known what this
            # VM held meanwhile: the bucket is emptied.
            bucket.set_limits(first.at, 0.0, 0.0)
        for snapshot in self._shares.snapshots:
            if snapshot.number > number:
                bucket.set_limits(snapshot.at, *snapshot.terms(account))
        return _AppliedBucket(bucket, self._shares.snapshots[-1].number)
