"""Rate and burst of client accounts: admission, extension and refund."""

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

STEP_SECONDS = 1.0
RETRY_LEAST_SECONDS = 0.1
WAIT_LEAST_SECONDS = 0.05
WAIT_MOST_SECONDS = 1.0
FOUND_SECONDS = 5.0
DEFAULT_BOUNDS = lease_tiers.TimingBounds()


class AccountView(NamedTuple):
    """What this VM holds of an account.

    Attributes
    ----------
    part : float
        This VM's part of its data centre's share, from 0 to 1.
    tokens : float
        What may be spent here now, without borrowing.
    lent, borrowed : float
        Tokens lent to other VMs and borrowed from them now.
    """

    part: float
    tokens: float
    lent: float
    borrowed: float


class Found(NamedTuple):
    """Tokens that there were in all, when all lenders had been asked."""

    at: float
    tokens: float


Charge = charges.Charge


class RateLimiter:
    """The service ``limits``: no account gets more than its rate and burst.

    Parameters
    ----------
    bounds : TimingBounds
        What the limits rely on.

    Attributes
    ----------
    counts : Counter
        Of requests granted and refused, and of waits.
    shares : VmShare
        What this VM holds; there once the service has started.
    """

    name = 'limits'
    requires: tuple[str, ...] = ('peers', 'membership', 'configuration')

    def __init__(
        self, bounds: lease_tiers.TimingBounds = DEFAULT_BOUNDS
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._bounds = bounds
        self._locks_by_account: dict[str, asyncio.Lock] = {}
        self._found_by_account: dict[str, Found] = {}
        self._extending: collections.Counter[str] = collections.Counter()

    async def start(self, app: kernel.Application) -> None:
        """Begin to ask for a part; it holds none yet."""
        self._app = app
        self._config = app.find('configuration', configuration.Configuration)
        self.shares = shares.VmShare(app, self._bounds)
        view = app.find('membership', membership.Membership)
        view.on_superseded.append(self.shares.retire)
        self._books = account_buckets.AccountBuckets(self.shares)
        self.loans = loans.Loans(app, self._books, self._bounds)
        app.spawn(self.name, 'step', self._follow())
        app.spawn(self.name, 'ask', self._ask_elsewhere())

    async def stop(self) -> None:
        """Leave this VM's part to a neighbour."""
        self.shares.step()
        await self.shares.hand_off()

    async def admit(
        self, account: str, tokens: int, wait: float
    ) -> Result[Charge, problems.Problem]:
        """Grant tokens for a new request.

        Parameters
        ----------
        account : str
            Whose request it is.
        tokens : int
            Of the prompt and the predicted first piece of the answer.
        wait : float
            Seconds that the request may wait.

        Returns
        -------
        Result
            The charge, or ``account_unknown``, ``request_too_large`` or
            ``rate_limited``; all of them say truly that nothing ran.
        """
        found = self._account(account)
        if found is None:
            return Error(_unknown())
        if tokens > found.burst:
            return Error(_too_large(tokens, found.burst))
        tokens = max(0, tokens)
        charge = Charge(self, account)
        clock = self._app.clock
        until = clock.monotonic() + wait
        while not await self._try(charge, tokens):
            found = self._account(account)
            if found is None:
                return Error(_unknown())
            remaining = until - clock.monotonic()
            if remaining <= 0:
                return Error(self._refuse(account, found, tokens))
            pause = self._seconds_short(account, found, tokens)
            await clock.sleep(min(remaining, pause))
        self.counts['granted'] += 1
        return Ok(charge)

    async def extend(self, charge: Charge, tokens: int) -> None:
        """Wait until a charge has grown; used by `Charge.extend`."""
        account = charge.account
        self._extending[account] += 1
        try:
            while not await self._try(charge, tokens, is_admitted=True):
                self.counts['extension_waits'] += 1
                found = self._account(account)
                pause = WAIT_MOST_SECONDS
                if found is not None:
                    pause = self._seconds_short(account, found, tokens)
                await self._app.clock.sleep(pause)
        finally:
            self._extending[account] -= 1
            self._extending += collections.Counter()

    def refund(self, charge: Charge, used: float) -> None:
        """Give back what was not used; used by `Charge.settle`."""
        used = max(0.0, used)
        for loan in charge.borrowed:
            spent = min(used, loan.tokens)
            used -= spent
            self.loans.give_back(charge.account, loan, loan.tokens - spent)
        for part in charge.own_parts:
            spent = min(used, part.entry.tokens)
            used -= spent
            part.book.refund(part.entry, part.entry.tokens - spent)
        if used > 0:
            self.counts['overdrawn'] += 1
            now = self._app.clock.monotonic()
            self._books.find(charge.account).overdraw(now, used)

    def view(self, account: str) -> AccountView | None:
        """Return what this VM holds of an account; None if unknown."""
        if self._account(account) is None:
            return None
        now = self.shares.expire_leases()
        book = self._books.find(account)
        return AccountView(
            self.shares.fraction(),
            book.balance(now),
            book.lent(now),
            self.loans.borrowed(account),
        )

    async def _follow(self) -> None:
        while True:
            self.shares.step()
            self.loans.step()
            self._prune()
            await self._app.clock.sleep(STEP_SECONDS)

    def _prune(self) -> None:
        now = self._app.clock.monotonic()
        for account, found in list(self._found_by_account.items()):
            if now - found.at > FOUND_SECONDS:
                del self._found_by_account[account]
        for account, lock in list(self._locks_by_account.items()):
            if not lock.locked():
                del self._locks_by_account[account]

    async def _ask_elsewhere(self) -> None:
        while True:
            await self.shares.query_other_data_centres()
            await self._app.clock.sleep(STEP_SECONDS)

    def _account(self, name: str) -> catalogue.Account | None:
        found = self._config.catalogue
        return found.accounts_by_name.get(name) if found else None

    async def _try(
        self, charge: Charge, tokens: float, is_admitted: bool = False
    ) -> bool:
        account = charge.account
        if self._extending[account] and not is_admitted:
            return False
        if self._grant(charge, tokens):
            return True
        # One task of an account asks at a time, and after all have been
        # asked in vain nobody asks for more than there can be since.
        async with self._lock(account):
            if self._grant(charge, tokens):
                return True
            if self._is_dry(account, tokens):
                return False
            short = tokens - self._spendable(account)
            await self.loans.borrow(account, short)
            granted = self._grant(charge, tokens)
            if not granted:
                self._note_found(account)
                self.loans.give_back_all(account)
        return granted

    def _lock(self, account: str) -> asyncio.Lock:
        return self._locks_by_account.setdefault(account, asyncio.Lock())

    def _is_dry(self, account: str, tokens: float) -> bool:
        """Return whether the fleet can't have so many tokens yet."""
        found = self._account(account)
        last = self._found_by_account.get(account)
        if found is None or last is None:
            return False
        seconds = self._app.clock.monotonic() - last.at
        return tokens > last.tokens + seconds * found.rate

    def _note_found(self, account: str) -> None:
        now = self._app.clock.monotonic()
        found = Found(now, self._spendable(account))
        self._found_by_account[account] = found

    def _spendable(self, account: str) -> float:
        book = self._books.find(account)
        own = max(0.0, book.balance(self._app.clock.monotonic()))
        return own + self.loans.borrowed(account)

    def _grant(self, charge: Charge, tokens: float) -> bool:
        """Grant all of it or nothing, at one moment."""
        account = charge.account
        book = self._books.find(account)
        now = self._app.clock.monotonic()
        own = max(0.0, book.balance(now))
        if own + self.loans.borrowed(account) < tokens:
            return False
        # What is borrowed ends soon, what is our own stays.
        borrowed = self.loans.spend(account, tokens)
        rest = tokens - sum(loan.tokens for loan in borrowed)
        if rest > 0:
            entry = book.spend(now, min(rest, own))
            assert entry is not None, 'the balance was enough'
            charge.own_parts.append(charges.OwnPart(book, entry))
        charge.borrowed.extend(borrowed)
        charge.covered += tokens
        return True

    def _seconds_short(
        self, account: str, found: catalogue.Account, tokens: float
    ) -> float:
        short = max(0.0, tokens - self._spendable(account))
        seconds = short / found.rate
        return min(WAIT_MOST_SECONDS, max(WAIT_LEAST_SECONDS, seconds))

    def _refuse(
        self, account: str, found: catalogue.Account, tokens: float
    ) -> problems.Problem:
        short = max(0.0, tokens - self._spendable(account))
        seconds = max(RETRY_LEAST_SECONDS, short / found.rate)
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


def _unknown() -> problems.Problem:
    return problems.Problem(
        'account_unknown', 403, 'no', 'no such client account'
    )


def _too_large(tokens: float, burst: float) -> problems.Problem:
    return problems.Problem(
        'request_too_large',
        413,
        'no',
        f'{tokens:.0f} tokens are more than the burst of {burst:.0f}',
    )
