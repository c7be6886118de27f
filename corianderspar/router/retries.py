"""The service that says whether a request may be sent once more."""

from corianderspar import kernel
from corianderspar.router import budget
from corianderspar.router import fleet


class Retries:
    """The service ``retries``: one budget for each service.

    Parameters
    ----------
    ratio, slack, window : float
        As in `budget.RetryBudget`.
    """

    name = 'retries'
    requires: tuple[str, ...] = ('fleet',)

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._bounds = ratio, slack, window
        self._budgets_by_service: dict[str, budget.RetryBudget] = {}

    async def start(self, app: kernel.Application) -> None:
        """Find the parts it uses."""
        self._app = app
        self._fleet = app.find('fleet', fleet.Fleet)

    async def stop(self) -> None:
        """Nothing to hand on."""

    def first(self, service: str) -> None:
        """Count a request for a service."""
        self._budget(service).first(self._app.clock.monotonic())

    def extra(self, service: str, request_id: str) -> bool:
        """Count one more send, if the budget allows it."""
        now = self._app.clock.monotonic()
        if self._budget(service).extra(now, self._fleet.size()):
            return True
        self._app.events.add(
            'request.not_repeated',
            request=request_id,
            service=service,
            why='budget',
            daemons=self._fleet.size(),
        )
        return False

    def _budget(self, service: str) -> budget.RetryBudget:
        known = self._budgets_by_service.get(service)
        if known is None:
            known = budget.RetryBudget(*self._bounds)
            self._budgets_by_service[service] = known
        return known
