"""The service that says whether a request may be sent once more.

In a small fleet each daemon has a part of what the fleet may repeat. Split
among many daemons those parts are too small for any of them to repeat a
request when an upstream fails, so in a large fleet the home of a service
counts for all, and a daemon decides alone only if no home answers.
"""

import collections
from typing import NamedTuple

from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import homes
from corianderspar.router import membership
from corianderspar.router import retry_budget

ASK_SECONDS = 0.12  # for a home's answer; 40 times the way
# Of the slack: two homes at once, as after a death or in a cut, and all
# daemons that decide alone stay within it.
HOME_SHARE = 0.45
ALONE_SHARE = 0.1


class WantRepeat(NamedTuple):
    """Asks the home of a service for one more send.

    Attributes
    ----------
    service : str
        To which.
    requests : int
        First sends of the asker in the last window that it has not told
        before.
    """

    service: str
    requests: int


class RepeatAnswer(NamedTuple):
    """Whether the request may be sent once more."""

    granted: bool


class RetryBudgets:
    """The service ``retries``: one budget for each service.

    Parameters
    ----------
    ratio, slack, window : float
        As in `retry_budget.RetryBudget`.
    """

    name = 'retries'
    requires: tuple[str, ...] = ('peers', 'fleet')

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._bounds = ratio, slack, window
        self._budgets_by_service: dict[str, retry_budget.RetryBudget] = {}
        self._pools_by_service: dict[str, retry_budget.RetryBudget] = {}
        self._alone_by_service: dict[str, retry_budget.RetryBudget] = {}
        self._untold: collections.Counter[str] = collections.Counter()

    async def start(self, app: kernel.Application) -> None:
        """Begin to answer as a home."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._homes = homes.Homes(app, self._membership)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want_repeat', WantRepeat, self._answer)
        self._peers.reply_type('repeat', RepeatAnswer)

    async def stop(self) -> None:
        """Nothing to hand on."""

    def deposit(self, service: str) -> None:
        """Count a request for a service."""
        ratio, slack, window = self._bounds
        now = self._app.clock.monotonic()
        _of(self._budgets_by_service, service, ratio, slack, window).deposit(
            now
        )
        self._untold[service] += 1

    async def withdraw(self, service: str, request_id: str) -> bool:
        """Count one more send, if the budget allows it."""
        if self._membership.is_large:
            granted, who = await self._ask_home(service)
        else:
            now = self._app.clock.monotonic()
            known = _of(self._budgets_by_service, service, *self._bounds)
            granted = known.withdraw(now, self._membership.size())
            who = self._app.identity.vm
        if not granted:
            self._app.events.add(
                'request.not_repeated',
                request=request_id,
                service=service,
                why='budget',
                home=who,
                daemons=self._membership.size(),
            )
        return granted

    async def _ask_home(self, service: str) -> tuple[bool, str]:
        """Return whether a repeat is granted, and who decided."""
        key = f'retries/{service}'
        home = self._homes.home(key)
        now = self._app.clock.monotonic()
        known = _of(self._budgets_by_service, service, *self._bounds)
        untold = min(self._untold.pop(service, 0), known.requests(now))
        want = WantRepeat(service, untold)
        if home == self._app.identity.vm:
            return self._decide(want), home
        reply = await self._peers.ask(home, want, ASK_SECONDS)
        if reply.is_ok():
            return bool(reply.ok.granted), home
        self._homes.mark_unresponsive(home, key, reply.error.code)
        _ratio, slack, window = self._bounds
        alone = _of(
            self._alone_by_service, service, 0.0, slack * ALONE_SHARE, window
        )
        return alone.withdraw(
            now, self._membership.size()
        ), self._app.identity.vm

    async def _answer(
        self, _sender: peers.Sender, want: WantRepeat
    ) -> RepeatAnswer:
        return RepeatAnswer(self._decide(want))

    def _decide(self, want: WantRepeat) -> bool:
        ratio, slack, window = self._bounds
        pool = _of(
            self._pools_by_service,
            want.service,
            ratio,
            slack * HOME_SHARE,
            window,
        )
        now = self._app.clock.monotonic()
        for _request in range(want.requests):
            pool.deposit(now)
        # A side of a cut has its part of the slack.
        return pool.withdraw(now, 1 / self._membership.live_share())


def _of(
    by_service: dict[str, retry_budget.RetryBudget],
    service: str,
    ratio: float,
    slack: float,
    window: float,
) -> retry_budget.RetryBudget:
    known = by_service.get(service)
    if known is None:
        known = retry_budget.RetryBudget(ratio, slack, window)
        by_service[service] = known
    return known
