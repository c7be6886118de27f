"""The ledgers of all accounts, on the terms that this VM holds."""

from typing import NamedTuple

from corianderspar import shares
from corianderspar import token_bucket


class _Book(NamedTuple):
    """A ledger and the change of the share that its terms come from."""

    ledger: token_bucket.TokenBucket
    number: int


class AccountBuckets:
    """Ledgers, made when an account is first used here.

    An account that was not used here accrues all the same: its ledger
    begins at the oldest change that is kept, and takes the terms of each
    later one at that one's moment.

    Parameters
    ----------
    held : VmShare
        What this VM holds.
    """

    def __init__(self, held: shares.VmShare) -> None:
        self._shares = held
        self._books_by_account: dict[str, _Book] = {}

    def find(self, account: str) -> token_bucket.TokenBucket:
        """Return an account's ledger on the terms of this moment."""
        self._shares.expire_leases()
        book = self._books_by_account.get(account)
        last = self._shares.changes[-1]
        if book is None or book.number < last.number:
            book = self._renew(account, book)
            self._books_by_account[account] = book
        return book.ledger

    def knows(self, account: str) -> bool:
        """Return whether this VM holds a part of an account."""
        return self._shares.changes[-1].rate_limit(account).burst > 0

    def rate(self, account: str) -> float:
        """Return the rate of this VM's part of an account."""
        return self._shares.changes[-1].rate_limit(account).rate

    def prune(self, accounts: set[str]) -> None:
        """Forget accounts that no version in force knows."""
        for account in self._books_by_account.keys() - accounts:
            del self._books_by_account[account]

    def _renew(self, account: str, book: _Book | None) -> _Book:
        first = self._shares.changes[0]
        if book is None:
            known = token_bucket.TokenBucket(
                first.at, *first.rate_limit(account)
            )
            number = first.number
        else:
            known, number = book
        if number < first.number - 1:
            # What was held meanwhile is not known any more.
            known.change(first.at, 0.0, 0.0)
        for change in self._shares.changes:
            if change.number > number:
                known.change(change.at, *change.rate_limit(account))
        return _Book(known, self._shares.changes[-1].number)
