"""What a request was granted: extended while it streams, settled once."""

from typing import NamedTuple
from typing import Protocol

from corianderspar import loans
from corianderspar import token_bucket


class Limiter(Protocol):
    """What a charge came from."""

    async def extend(self, charge: 'Charge', tokens: int) -> None:
        """Wait until a charge has grown."""
        ...

    def refund(self, charge: 'Charge', used: float) -> None:
        """Take back what was not used."""
        ...


class OwnPart(NamedTuple):
    """What a charge took from this VM's ledger."""

    book: token_bucket.TokenBucket
    entry: token_bucket.Entry


class Charge:
    """Tokens that a request was granted; `settle` must end it.

    Parameters
    ----------
    limits : Limiter or None
        Where it was granted; None for a charge that costs nothing.
    account : str
        Whose tokens they are.

    Attributes
    ----------
    covered : float
        Tokens granted so far.

    Examples
    --------
    >>> charge = Charge.free()
    >>> charge.settle(100)
    >>> charge.covered
    0.0
    """

    def __init__(
        self, limits: Limiter | None = None, account: str = ''
    ) -> None:
        self.covered = 0.0
        self.account = account
        self.own_parts: list[OwnPart] = []
        self.borrowed: list[loans.BorrowedTokens] = []
        self._limits = limits
        self._is_settled = False

    @staticmethod
    def free() -> 'Charge':
        """Return a charge for a request that costs nothing."""
        return Charge()

    async def extend(self, tokens: int) -> None:
        """Wait until more tokens are granted; admitted requests go first.

        Parameters
        ----------
        tokens : int
            Beyond those granted before.
        """
        if self._limits is not None and tokens > 0:
            await self._limits.extend(self, tokens)

    def settle(self, used_tokens: float) -> None:
        """Give back what was granted and not used; later calls do nothing.

        Parameters
        ----------
        used_tokens : float
            What the whole request used.
        """
        if self._limits is not None and not self._is_settled:
            self._is_settled = True
            self._limits.refund(self, used_tokens)
