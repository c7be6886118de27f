"""The plain way to limit accounts, for comparison: a fixed cut per VM."""

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import configuration
from corianderspar import kernel
from corianderspar import lease_tiers
from corianderspar import problems
from corianderspar import rate_limiter


class NaiveCharge(rate_limiter.Charge):
    """A charge that is never refunded."""

    async def extend(self, tokens: int) -> None:
        """Do nothing: the reservation was charged."""

    def settle(self, used_tokens: float) -> None:
        """Do nothing: the reservation stays charged."""


class NaiveLimits:
    """Each VM has its own bucket of the rate over the number of VMs.

    It charges what a caller reserves, and begins with a full bucket.

    Parameters
    ----------
    bounds : TimingBounds
        Not used.
    """

    name = 'limits'
    requires: tuple[str, ...] = ('configuration',)

    def __init__(self, bounds: lease_tiers.TimingBounds | None = None) -> None:
        self._tokens_by_account: dict[str, float] = {}
        self._at_by_account: dict[str, float] = {}

    async def start(self, app: kernel.Application) -> None:
        """Begin with full buckets."""
        self._app = app
        self._config = app.find('configuration', configuration.Configuration)

    async def stop(self) -> None:
        """Hand nothing on."""

    async def admit(
        self, account: str, tokens: int, wait: float
    ) -> Result[rate_limiter.Charge, problems.Problem]:
        """Grant tokens at once, or refuse."""
        held = self.view(account)
        if held is None or held.tokens < tokens:
            return Error(problems.Problem('rate_limited', 429, 'no', '', 1.0))
        self._tokens_by_account[account] = held.tokens - tokens
        return Ok(NaiveCharge())

    def view(self, account: str) -> rate_limiter.AccountView | None:
        """Return what this VM holds of an account."""
        whole = self._config.catalogue
        listed = len(self._config.vm_list.vms)
        found = whole.accounts_by_name.get(account) if whole else None
        if found is None or not listed:
            return None
        now = self._app.clock.monotonic()
        since = self._at_by_account.get(account, now)
        tokens = self._tokens_by_account.get(account, found.burst / listed)
        tokens += (now - since) * found.rate / listed
        tokens = min(found.burst / listed, tokens)
        self._tokens_by_account[account] = tokens
        self._at_by_account[account] = now
        return rate_limiter.AccountView(1 / listed, tokens, 0.0, 0.0)
