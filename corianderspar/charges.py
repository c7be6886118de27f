"""Charges for requests: extended while they stream, settled once."""

from typing import NamedTuple
from typing import Protocol

from corianderspar import loans
from corianderspar import token_bucket


class Limiter(Protocol):
    """Interface of the limiter that made a charge."""

    async def extend(self, charge: 'Charge', tokens: int) -> None:
        """Wait until a charge has more tokens."""
        ...

    def refund(self, charge: 'Charge', used: float) -> None:
        """Return tokens that were not used."""
        ...


class LocalDebit(NamedTuple):
    """The tokens that a charge took from a bucket of this VM."""

    bucket: token_bucket.TokenBucket
    entry: token_bucket.Entry


class Charge:
    """Tokens charged for a request; `settle` must end the charge.

    Parameters
    ----------
    limiter : Limiter or None
        The limiter that made it; None for a charge that costs nothing.
    account : str
        The account that is charged.

    Attributes
    ----------
    charged_tokens : float
        Tokens charged so far.
    local_debits : list of LocalDebit
        What was taken from this VM's bucket.
    borrowed : list of BorrowedTokens
        What was taken from loans of other VMs.

    Examples
    --------
    >>> charge = Charge.free()
    >>> charge.settle(100)
    >>> charge.charged_tokens
    0.0
    """

    def __init__(
        self, limiter: Limiter | None = None, account: str = ''
    ) -> None:
        self.charged_tokens = 0.0
        self.account = account
        self.local_debits: list[LocalDebit] = []
        self.borrowed: list[loans.BorrowedTokens] = []
        self._limiter = limiter
        self._is_settled = False

    @staticmethod
    def free() -> 'Charge':
        """Return a charge for a request that costs nothing."""
        return Charge()

    async def extend(self, tokens: int) -> None:
        """Wait until more tokens are charged.

        Extensions take precedence over new requests of the account.

        Parameters
        ----------
        tokens : int
            Tokens beyond those charged before.
        """
        if self._limiter is not None and tokens > 0:
            await self._limiter.extend(self, tokens)

    def settle(self, used_tokens: float) -> None:
        """Refund the tokens that were not used; later calls do nothing.

        Parameters
        ----------
        used_tokens : float
            Tokens that the whole request used. Those beyond the charged
            ones become a debt.
        """
        if self._limiter is not None and not self._is_settled:
            self._is_settled = True
            self._limiter.refund(self, used_tokens)
