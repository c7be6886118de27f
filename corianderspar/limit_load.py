"""Callers inside their limits, and an ideal bucket to judge refusals by."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

from corianderspar import limit_trials
from corianderspar import naive_limits
from corianderspar import token_bucket

PROMPT_TOKENS = (50, 500)
ANSWER_TOKENS = (20, 150)
FIRST_PIECE = 100
RESERVED = 2000
RUN_SECONDS = 2.0
WAIT_SECONDS = 0.5
MEAN_TOKENS = 360.0

Choose = Callable[[random.Random, float], str]


class Outcome(NamedTuple):
    """How one request fared.

    Attributes
    ----------
    at : float
        Seconds of its arrival.
    account : str
        Whose it was.
    tokens : float
        What it asked for.
    granted, inside : bool
        Whether it was granted, and whether it was inside rate and burst.
    """

    at: float
    account: str
    tokens: float
    granted: bool
    inside: bool


class Load:
    """Callers of several accounts before a fleet.

    Parameters
    ----------
    trial : Trial
        The fleet.
    rate, burst : float
        Limits by which requests are judged, of each account.
    seed : int
        Of the requests.

    Attributes
    ----------
    outcomes : list of Outcome
        Every request whose daemon was there.
    """

    def __init__(
        self,
        trial: limit_trials.Trial,
        rate: float,
        burst: float,
        seed: int,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self.seed = seed
        self._trial = trial
        self._rate = rate
        self._burst = burst
        self._rng = random.Random(seed)  # noqa: S311
        self._ideal_by_name: dict[str, token_bucket.TokenBucket] = {}

    def begin(self, account: str, demand: float, choose: Choose) -> None:
        """Let an account's callers begin.

        Parameters
        ----------
        account : str
            Its name.
        demand : float
            Tokens asked for, over the rate.
        choose : callable
            Gets a source of randomness and the time; returns the VM.
        """
        self._trial.spawn(self._keep_asking(account, demand, choose))

    async def _keep_asking(
        self, account: str, demand: float, choose: Choose
    ) -> None:
        mean = MEAN_TOKENS / (demand * self._rate)
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / mean))
            vm = choose(self._rng, loop.time())
            self._trial.spawn(self._ask(account, vm))

    async def _ask(self, account: str, vm: str) -> None:
        prompt = self._rng.randint(*PROMPT_TOKENS)
        answer = self._rng.randint(*ANSWER_TOKENS)
        tokens = prompt + FIRST_PIECE
        app = self._trial.fleet.apps_by_vm.get(vm)
        if app is None:
            return
        service = self._trial.limits(vm)
        is_naive = isinstance(service, naive_limits.NaiveLimits)
        now = asyncio.get_running_loop().time()
        ideal = self._ideal(account)
        inside = ideal.balance(now) >= tokens
        charged = prompt + RESERVED if is_naive else tokens
        result = await service.admit(account, charged, WAIT_SECONDS)
        granted = result.is_ok()
        self.outcomes.append(Outcome(now, account, tokens, granted, inside))
        if not granted:
            return
        entry = ideal.spend(asyncio.get_running_loop().time(), tokens)
        await asyncio.sleep(RUN_SECONDS)
        if self._trial.fleet.apps_by_vm.get(vm) is not app:
            return
        more = max(0, answer - FIRST_PIECE)
        await result.ok.extend(more)
        result.ok.settle(prompt + answer)
        if entry is not None:
            ideal.refund(entry, max(0, FIRST_PIECE - answer))
        ideal.overdraw(asyncio.get_running_loop().time(), more)

    def _ideal(self, account: str) -> token_bucket.TokenBucket:
        made = token_bucket.TokenBucket(0.0, self._rate, self._burst)
        return self._ideal_by_name.setdefault(account, made)


def at_one(vm: str) -> Choose:
    """Return a choice of always the same VM."""
    return lambda rng, now: vm


def at_any(vms: Sequence[str]) -> Choose:
    """Return a choice of any of some VMs."""
    return lambda rng, now: rng.choice(vms)


def moving(vms: Sequence[str]) -> Choose:
    """Return a choice of another VM every second."""
    return lambda rng, now: vms[int(now) % len(vms)]
