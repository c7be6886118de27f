"""Rate limits of client accounts: admission, extension and refund.

Each VM keeps a token bucket for its share of an account's rate and burst. A
request that the local bucket does not cover borrows tokens from other VMs.
"""

import asyncio
import collections
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import account_buckets
from corianderspar import catalogue
from corianderspar import charges
from corianderspar import configuration
from corianderspar import kernel
from corianderspar import lease_tiers
from corianderspar import loans
from corianderspar import membership
from corianderspar import problems
from corianderspar import shares

STEP_INTERVAL_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.1
MIN_POLL_SECONDS = 0.05
MAX_POLL_SECONDS = 1.0
FLEET_BALANCE_SECONDS = 5.0
DEFAULT_BOUNDS = lease_tiers.TimingBounds()


class AccountView(NamedTuple):
    """The state of an account at this VM.

    Attributes
    ----------
    part : float
        Fraction of its data centre's share that this VM holds, from 0 to 1.
    tokens : float
        Balance of the local bucket, without borrowed tokens.
    lent, borrowed : float
        Tokens that are on loan to other VMs, and from them.
    """

    part: float
    tokens: float
    lent: float
    borrowed: float


class FleetBalance(NamedTuple):
    """Tokens of an account that were found when all lenders had been asked.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    tokens : float
        The sum of the local balance and of what could be borrowed.
    """

    at: float
    tokens: float


Charge = charges.Charge


class RateLimiter:
    """The service ``limits``: holds accounts to their rate and burst.

    Parameters
    ----------
    bounds : TimingBounds
        Assumptions on clocks, leases and the list of VMs.

    Attributes
    ----------
    counts : Counter
        Requests granted and refused, waits of extensions, and overdrafts.
    shares : VmShare
        This VM's shares of the accounts; set when the service starts.
    loans : Loans
        Tokens on loan; set when the service starts.
    """

    name = 'limits'
    requires: tuple[str, ...] = ('peers', 'membership', 'configuration')

    def __init__(
        self, bounds: lease_tiers.TimingBounds = DEFAULT_BOUNDS
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._bounds = bounds
        self._locks_by_account: dict[str, asyncio.Lock] = {}
        self._fleet_balance_by_account: dict[str, FleetBalance] = {}
        self._extending: collections.Counter[str] = collections.Counter()

    async def start(self, app: kernel.Application) -> None:
        """Begin to join the VMs that hold shares; this VM holds none yet."""
        self._app = app
        self._config = app.find('configuration', configuration.Configuration)
        self.shares = shares.VmShare(app, self._bounds)
        service = app.find('membership', membership.Membership)
        service.on_superseded.append(self.shares.retire)
        self._buckets = account_buckets.AccountBuckets(self.shares)
        self.loans = loans.Loans(app, self._buckets, self._bounds)
        app.keep_running(self.name, 'step', self._run_steps)
        app.keep_running(self.name, 'ask', self._run_queries)

    async def stop(self) -> None:
        """Hand this VM's share off to another VM of its data centre."""
        self.shares.step()
        await self.shares.hand_off()

    async def admit(
        self, account: str, tokens: int, timeout: float
    ) -> Result[Charge, problems.Problem]:
        """Grant tokens for a new request.

        Parameters
        ----------
        account : str
            The account that is charged.
        tokens : int
            Tokens of the prompt and of the predicted first piece of the
            answer.
        timeout : float
            Seconds for which the request may wait for tokens.

        Returns
        -------
        Result
            The charge, or one of the problems ``account_unknown``,
            ``request_too_large`` and ``rate_limited``. All of them report
            that the request did not run.
        """
        limits = self._limits_of(account)
        if limits is None:
            return Error(_unknown_account())
        if tokens > limits.burst:
            return Error(_request_too_large(tokens, limits.burst))
        tokens = max(0, tokens)
        charge = Charge(self, account)
        clock = self._app.clock
        deadline = clock.monotonic() + timeout
        while not await self._grant_or_borrow(charge, tokens):
            limits = self._limits_of(account)
            if limits is None:
                return Error(_unknown_account())
            remaining = deadline - clock.monotonic()
            if remaining <= 0:
                return Error(self._refuse(account, limits, tokens))
            delay = self._poll_delay(account, limits, tokens)
            await clock.sleep(min(remaining, delay))
        self.counts['granted'] += 1
        return Ok(charge)

    async def extend(self, charge: Charge, tokens: int) -> None:
        """Wait until a charge has more tokens; see `Charge.extend`."""
        account = charge.account
        self._extending[account] += 1
        try:
            while not await self._grant_or_borrow(
                charge, tokens, is_admitted=True
            ):
                self.counts['extension_waits'] += 1
                limits = self._limits_of(account)
                delay = MAX_POLL_SECONDS
                if limits is not None:
                    delay = self._poll_delay(account, limits, tokens)
                await self._app.clock.sleep(delay)
        finally:
            self._extending[account] -= 1
            # Adding an empty counter removes accounts whose count is 0.
            self._extending += collections.Counter()

    def refund(self, charge: Charge, used: float) -> None:
        """Return tokens that were not used; see `Charge.settle`."""
        used = max(0.0, used)
        for loan in charge.borrowed:
            spent = min(used, loan.tokens)
            used -= spent
            self.loans.return_unused(charge.account, loan, loan.tokens - spent)
        for debit in charge.local_debits:
            spent = min(used, debit.entry.tokens)
            used -= spent
            debit.bucket.refund(debit.entry, debit.entry.tokens - spent)
        if used > 0:
            self.counts['overdrawn'] += 1
            now = self._app.clock.monotonic()
            self._buckets.find(charge.account).overdraw(now, used)

    def view(self, account: str) -> AccountView | None:
        """Return the state of an account at this VM; None if unknown."""
        if self._limits_of(account) is None:
            return None
        now = self.shares.expire_leases()
        bucket = self._buckets.find(account)
        return AccountView(
            self.shares.fraction(),
            bucket.balance(now),
            bucket.lent(now),
            self.loans.borrowed(account),
        )

    async def _run_steps(self) -> None:
        while True:
            self.shares.step()
            self.loans.expire()
            self._prune()
            await self._app.clock.sleep(STEP_INTERVAL_SECONDS)

    def _prune(self) -> None:
        now = self._app.clock.monotonic()
        for account, balance in list(self._fleet_balance_by_account.items()):
            if now - balance.at > FLEET_BALANCE_SECONDS:
                del self._fleet_balance_by_account[account]
        for account, lock in list(self._locks_by_account.items()):
            if not lock.locked():
                del self._locks_by_account[account]

    async def _run_queries(self) -> None:
        while True:
            await self.shares.query_other_data_centres()
            await self._app.clock.sleep(STEP_INTERVAL_SECONDS)

    def _limits_of(self, account: str) -> catalogue.Account | None:
        current = self._config.catalogue
        return current.accounts_by_name.get(account) if current else None

    async def _grant_or_borrow(
        self, charge: Charge, tokens: float, is_admitted: bool = False
    ) -> bool:
        account = charge.account
        if self._extending[account] and not is_admitted:
            return False
        if self._grant(charge, tokens):
            return True
        # One task per account asks the lenders at a time. After they could
        # not cover a request, they are asked again only for what may have
        # been refilled since.
        async with self._lock(account):
            if self._grant(charge, tokens):
                return True
            if self._is_exhausted(account, tokens):
                return False
            missing = tokens - self._spendable(account)
            await self.loans.borrow(account, missing)
            granted = self._grant(charge, tokens)
            if not granted:
                self._record_fleet_balance(account)
                self.loans.return_all(account)
        return granted

    def _lock(self, account: str) -> asyncio.Lock:
        return self._locks_by_account.setdefault(account, asyncio.Lock())

    def _is_exhausted(self, account: str, tokens: float) -> bool:
        """Return whether the fleet can't have refilled so many tokens yet."""
        limits = self._limits_of(account)
        last = self._fleet_balance_by_account.get(account)
        if limits is None or last is None:
            return False
        seconds = self._app.clock.monotonic() - last.at
        return tokens > last.tokens + seconds * limits.rate

    def _record_fleet_balance(self, account: str) -> None:
        now = self._app.clock.monotonic()
        balance = FleetBalance(now, self._spendable(account))
        self._fleet_balance_by_account[account] = balance

    def _spendable(self, account: str) -> float:
        bucket = self._buckets.find(account)
        local = max(0.0, bucket.balance(self._app.clock.monotonic()))
        return local + self.loans.borrowed(account)

    def _grant(self, charge: Charge, tokens: float) -> bool:
        """Charge all the tokens at once, or none of them."""
        account = charge.account
        bucket = self._buckets.find(account)
        now = self._app.clock.monotonic()
        local = max(0.0, bucket.balance(now))
        if local + self.loans.borrowed(account) < tokens:
            return False
        # Borrowed tokens come first, because they expire.
        borrowed = self.loans.spend(account, tokens)
        rest = tokens - sum(loan.tokens for loan in borrowed)
        if rest > 0:
            entry = bucket.spend(now, min(rest, local))
            assert entry is not None, (
                'bucket refused tokens within its balance'
            )
            charge.local_debits.append(charges.LocalDebit(bucket, entry))
        charge.borrowed.extend(borrowed)
        charge.charged_tokens += tokens
        return True

    def _poll_delay(
        self, account: str, limits: catalogue.Account, tokens: float
    ) -> float:
        missing = max(0.0, tokens - self._spendable(account))
        seconds = missing / limits.rate
        return min(MAX_POLL_SECONDS, max(MIN_POLL_SECONDS, seconds))

    def _refuse(
        self, account: str, limits: catalogue.Account, tokens: float
    ) -> problems.Problem:
        missing = max(0.0, tokens - self._spendable(account))
        seconds = max(MIN_RETRY_AFTER_SECONDS, missing / limits.rate)
        if not self.shares.fraction():
            seconds = max(seconds, self._bounds.lease)
        self.counts['refused'] += 1
        self._app.events.add('limits.refused', account=account)
        return problems.Problem(
            'rate_limited',
            429,
            'no',
            'the account is over its rate and burst',
            seconds,
        )


def _unknown_account() -> problems.Problem:
    return problems.Problem(
        'account_unknown', 403, 'no', 'no such client account'
    )


def _request_too_large(tokens: float, burst: float) -> problems.Problem:
    return problems.Problem(
        'request_too_large',
        413,
        'no',
        f'{tokens:.0f} tokens are more than the burst of {burst:.0f}',
    )
