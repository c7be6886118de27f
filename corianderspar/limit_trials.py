"""Drives accounts' requests through a fleet and counts what is granted."""

import asyncio
from collections.abc import Iterable
import random
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import fake_fleet
from corianderspar import kernel
from corianderspar import lease_tiers
from corianderspar import rate_limiter

TOLERANCE = 1e-6


class Grant(NamedTuple):
    """Tokens that a caller got and used."""

    at: float
    tokens: float


class Tally:
    """What callers got of one account, counted outside the daemons.

    Attributes
    ----------
    granted, refused : int
        Requests.
    """

    def __init__(self) -> None:
        self.granted = 0
        self.refused = 0
        self._grants: list[Grant] = []

    def add(self, at: float, tokens: float) -> int:
        """Count a grant; returns its number."""
        self._grants.append(Grant(at, tokens))
        return len(self._grants) - 1

    def use(self, number: int, tokens: float) -> None:
        """Correct a grant to what was used of it."""
        self._grants[number] = self._grants[number]._replace(tokens=tokens)

    def used(self, since: float = 0.0, until: float = float('inf')) -> float:
        """Return tokens used of the grants in a time."""
        return sum(
            grant.tokens for grant in self._grants if since <= grant.at < until
        )

    def overrun(
        self,
        rate: float,
        burst: float,
        since: float = 0.0,
        until: float = float('inf'),
    ) -> float:
        """Return the most tokens by which any interval was over a limit.

        Parameters
        ----------
        rate, burst : float
            Tokens a second, and at once.
        since, until : float
            Only intervals within this time are looked at, in seconds.
        """
        worst = self.peak(rate, since, until) - burst
        return worst if worst > TOLERANCE else 0.0

    def peak(
        self, rate: float, since: float = 0.0, until: float = float('inf')
    ) -> float:
        """Return the most tokens by which any interval was over a rate."""
        grants = sorted(
            grant for grant in self._grants if since <= grant.at < until
        )
        total = 0.0
        worst = 0.0
        # The least of (granted before i) - rate * time of i.
        least = float('inf')
        for grant in grants:
            least = min(least, total - rate * grant.at)
            total += grant.tokens
            worst = max(worst, total - rate * grant.at - least)
        return worst


def account(
    rate: float, burst: float, shares_by_data_centre: dict[str, float]
) -> catalogue.Account:
    """Return an account without keys."""
    return catalogue.Account(rate, burst, shares_by_data_centre)


def whole(
    version: int, accounts_by_name: dict[str, catalogue.Account]
) -> catalogue.Catalogue:
    """Return a catalogue that holds only accounts."""
    return catalogue.Catalogue(version, {}, accounts_by_name, {})


class Trial:
    """A fleet whose daemons hold limits, and callers before it.

    Parameters
    ----------
    seed : int
        Of all randomness.
    bounds : TimingBounds
        What the limits rely on.
    kind : type
        The service ``limits``; another one for comparison.

    Attributes
    ----------
    fleet : FakeFleet
        To be hurt.
    tallies_by_account : dict of str to Tally
        What callers got.
    """

    def __init__(
        self,
        seed: int,
        bounds: lease_tiers.TimingBounds,
        kind: type = rate_limiter.RateLimiter,
    ) -> None:
        self.fleet = fake_fleet.FakeFleet(seed, self._build)
        self.rng = random.Random(seed)  # noqa: S311
        self.tallies_by_account: dict[str, Tally] = {}
        self._bounds = bounds
        self._kind = kind
        self._tasks: set[asyncio.Task[None]] = set()

    def _build(
        self, fleet: fake_fleet.FakeFleet, app: kernel.Application
    ) -> None:
        fake_fleet.build_coordination(fleet, app)
        app.add(self._kind(self._bounds))

    def limits(self, vm: str) -> rate_limiter.RateLimiter:
        """Return the limits of a running daemon."""
        return self.fleet.apps_by_vm[vm].find('limits', self._kind)

    def tally(self, name: str) -> Tally:
        """Return what callers of an account got."""
        return self.tallies_by_account.setdefault(name, Tally())

    async def call(
        self,
        vm: str,
        name: str,
        tokens: int,
        used: float,
        seconds: float = 0.0,
        wait: float = 0.0,
    ) -> bool | None:
        """Make one request.

        Parameters
        ----------
        vm : str
            Where it arrives.
        name : str
            The account.
        tokens, used : int, float
            Charged at admission, and used in the end.
        seconds : float
            How long it runs.
        wait : float
            How long it may wait.

        Returns
        -------
        bool or None
            Whether it was granted; None if the daemon is not there.
        """
        app = self.fleet.apps_by_vm.get(vm)
        if app is None or self.fleet.clocks_by_vm[vm].is_paused:
            return None
        tally = self.tally(name)
        loop = asyncio.get_running_loop()
        result = await self.limits(vm).admit(name, tokens, wait)
        if result.is_error():
            tally.refused += 1
            return False
        tally.granted += 1
        number = tally.add(loop.time(), tokens)
        if seconds:
            await asyncio.sleep(seconds)
        if self.fleet.apps_by_vm.get(vm) is app:
            result.ok.settle(used)
            tally.use(number, used)
        return True

    async def drain(self, name: str) -> None:
        """Take all of an account that there is, everywhere at once."""
        for vm in list(self.fleet.apps_by_vm):
            held = self.limits(vm).view(name)
            tokens = int(held.tokens) if held else 0
            if tokens > 0:
                await self.call(vm, name, tokens, tokens)

    async def keep_draining(self, name: str, interval: float) -> None:
        """Drain an account again and again, every so many seconds."""
        while True:
            await self.drain(name)
            await asyncio.sleep(interval)

    def begin_calls(
        self,
        name: str,
        vms: Iterable[str],
        interval: float,
        most: int,
        wait: float = 0.0,
    ) -> None:
        """Let callers of an account keep asking, at each of some VMs.

        Parameters
        ----------
        name : str
            The account.
        vms : iterable of str
            Where the requests arrive.
        interval : float
            Mean seconds between requests at a VM.
        most : int
            Most tokens of one.
        wait : float
            How long each may wait.
        """
        for vm in vms:
            work = self._keep_calling(name, vm, interval, most, wait)
            self.spawn(work)

    def spawn(self, work: 'asyncio._CoroutineLike[None]') -> None:
        """Run something beside until the trial is closed."""
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)

    async def close(self) -> None:
        """End the callers and the fleet."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.fleet.close()

    async def _keep_calling(
        self, name: str, vm: str, interval: float, most: int, wait: float
    ) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / interval))
            tokens = self.rng.randint(1, most)
            used = tokens * self.rng.choice([0.1, 1.0, 1.0])
            seconds = self.rng.choice([0.0, 0.5, 5.0])
            self.spawn(self._call(vm, name, tokens, used, seconds, wait))

    async def _call(
        self,
        vm: str,
        name: str,
        tokens: int,
        used: float,
        seconds: float,
        wait: float,
    ) -> None:
        await self.call(vm, name, tokens, used, seconds, wait)
