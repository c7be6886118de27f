"""Token buckets of all accounts, with this VM's rate and burst of each."""

from typing import NamedTuple

from corianderspar import shares
from corianderspar import token_bucket


class _AppliedBucket(NamedTuple):
    """A bucket, and the number of the last change applied to it."""

    bucket: token_bucket.TokenBucket
    change_number: int


class AccountBuckets:
    """Token buckets, each made when its account is first used at this VM.

    An account accrues tokens also before its first use: its bucket starts at
    the oldest change of this VM's share that is kept, and each later change
    is applied at its own time.

    Parameters
    ----------
    vm_share : VmShare
        This VM's shares of the accounts.
    """

    def __init__(self, vm_share: shares.VmShare) -> None:
        self._vm_share = vm_share
        self._applied_by_account: dict[str, _AppliedBucket] = {}

    def find(self, account: str) -> token_bucket.TokenBucket:
        """Return an account's bucket with its present rate and burst."""
        self._vm_share.expire_leases()
        applied = self._applied_by_account.get(account)
        last = self._vm_share.changes[-1]
        if applied is None or applied.change_number < last.number:
            applied = self._apply_changes(account, applied)
            self._applied_by_account[account] = applied
        return applied.bucket

    def has_share(self, account: str) -> bool:
        """Return whether this VM holds a share of an account."""
        return self._vm_share.changes[-1].rate_limit(account).burst > 0

    def rate(self, account: str) -> float:
        """Return this VM's share of an account's rate, in tokens a second."""
        return self._vm_share.changes[-1].rate_limit(account).rate

    def prune(self, accounts: set[str]) -> None:
        """Drop the buckets of accounts that are in no version in force."""
        for account in self._applied_by_account.keys() - accounts:
            del self._applied_by_account[account]

    def _apply_changes(
        self, account: str, applied: _AppliedBucket | None
    ) -> _AppliedBucket:
        first = self._vm_share.changes[0]
        if applied is None:
            bucket = token_bucket.TokenBucket(
                first.at, *first.rate_limit(account)
            )
            number = first.number
        else:
            bucket, number = applied
        if number < first.number - 1:
            # Changes in between were dropped, so it is not known what this VM
            # held meanwhile: the bucket is emptied.
            bucket.set_limits(first.at, 0.0, 0.0)
        for change in self._vm_share.changes:
            if change.number > number:
                bucket.set_limits(change.at, *change.rate_limit(account))
        return _AppliedBucket(bucket, self._vm_share.changes[-1].number)
