"""Service that decides whether a request may be retried.

In a small fleet each daemon has its own part of the fleet's retry budget.
Divided among many daemons, the parts would be too small for any of them to
retry a request when an upstream fails. In a large fleet the home of a
service therefore counts for all daemons, and a daemon decides alone only if
no home answers.
"""

import collections
from typing import NamedTuple

from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import homes
from corianderspar.router import membership
from corianderspar.router import retry_budget

ASK_TIMEOUT_SECONDS = 0.12  # 40 times the network delay
# Of the slack. Two homes at once, as after the death of a home or during a
# network partition, and all daemons that decide alone stay within it.
HOME_SLACK_SHARE = 0.45
FALLBACK_SLACK_SHARE = 0.1


class RetryRequest(NamedTuple):
    """Asks the home of a service for one retry.

    Attributes
    ----------
    service : str
        Name of the service.
    requests : int
        Requests of the sender in the last window that it has not reported
        before; retries are not counted.
    """

    service: str
    requests: int


class RetryReply(NamedTuple):
    """Whether the request may be retried."""

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
        self._parameters = ratio, slack, window
        self._own_budgets_by_service: dict[str, retry_budget.RetryBudget] = {}
        self._home_budgets_by_service: dict[str, retry_budget.RetryBudget] = {}
        self._fallback_budgets_by_service: dict[
            str, retry_budget.RetryBudget
        ] = {}
        self._unreported: collections.Counter[str] = collections.Counter()

    async def start(self, app: kernel.Application) -> None:
        """Begin to answer as a home."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._homes = homes.Homes(app, self._membership)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want_repeat', RetryRequest, self._on_retry_request)
        self._peers.add_reply_type('repeat', RetryReply)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def deposit(self, service: str) -> None:
        """Count a request to a service."""
        ratio, slack, window = self._parameters
        now = self._app.clock.monotonic()
        _get_or_create(
            self._own_budgets_by_service, service, ratio, slack, window
        ).deposit(now)
        self._unreported[service] += 1

    async def withdraw(self, service: str, request_id: str) -> bool:
        """Count a retry and return true if the budget allows it."""
        if self._membership.is_large:
            granted, decided_by = await self._ask_home(service)
        else:
            now = self._app.clock.monotonic()
            budget = _get_or_create(
                self._own_budgets_by_service, service, *self._parameters
            )
            granted = budget.withdraw(now, self._membership.size())
            decided_by = self._app.identity.vm
        if not granted:
            self._app.events.add(
                'request.not_repeated',
                request=request_id,
                service=service,
                why='budget',
                home=decided_by,
                daemons=self._membership.size(),
            )
        return granted

    async def _ask_home(self, service: str) -> tuple[bool, str]:
        """Return whether a retry is granted, and which VM decided."""
        key = f'retries/{service}'
        home = self._homes.home(key)
        now = self._app.clock.monotonic()
        own_budget = _get_or_create(
            self._own_budgets_by_service, service, *self._parameters
        )
        unreported = min(
            self._unreported.pop(service, 0), own_budget.requests(now)
        )
        request = RetryRequest(service, unreported)
        if home == self._app.identity.vm:
            return self._decide_as_home(request), home
        reply = await self._peers.ask(home, request, ASK_TIMEOUT_SECONDS)
        if reply.is_ok():
            return bool(reply.ok.granted), home
        self._homes.mark_unresponsive(home, key, reply.error.code)
        _ratio, slack, window = self._parameters
        fallback = _get_or_create(
            self._fallback_budgets_by_service,
            service,
            0.0,
            slack * FALLBACK_SLACK_SHARE,
            window,
        )
        return (
            fallback.withdraw(now, self._membership.size()),
            self._app.identity.vm,
        )

    async def _on_retry_request(
        self, _sender: peers.Sender, request: RetryRequest
    ) -> RetryReply:
        return RetryReply(self._decide_as_home(request))

    def _decide_as_home(self, request: RetryRequest) -> bool:
        ratio, slack, window = self._parameters
        budget = _get_or_create(
            self._home_budgets_by_service,
            request.service,
            ratio,
            slack * HOME_SLACK_SHARE,
            window,
        )
        now = self._app.clock.monotonic()
        for _request in range(request.requests):
            budget.deposit(now)
        # On one side of a network partition, use only its part of the slack.
        return budget.withdraw(now, 1 / self._membership.live_share())


def _get_or_create(
    budgets_by_service: dict[str, retry_budget.RetryBudget],
    service: str,
    ratio: float,
    slack: float,
    window: float,
) -> retry_budget.RetryBudget:
    budget = budgets_by_service.get(service)
    if budget is None:
        budget = retry_budget.RetryBudget(ratio, slack, window)
        budgets_by_service[service] = budget
    return budget
