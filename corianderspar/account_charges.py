"""Charging of client accounts for the requests that the edge serves."""

from corianderspar import configuration
from corianderspar import kernel
from corianderspar import problems
from corianderspar import rate_limiter
from corianderspar import request_context

MAX_WAIT_SECONDS_BY_CLASS = {
    'patient': 30.0,
    'guarded': 3.0,
    'ordinary': 1.0,
}


class AccountCharges:
    """Charges accounts for requests, and looks up their weights.

    Parameters
    ----------
    app : Application
        Provides the services ``limits`` and ``configuration``.
    """

    def __init__(self, app: kernel.Application) -> None:
        self._rate_limiter = app.find('limits', rate_limiter.RateLimiter)
        self._config = app.find('configuration', configuration.Configuration)

    async def charge(
        self, context: request_context.RequestContext, tokens: int
    ) -> rate_limiter.Charge:
        """Charge the first tokens of a request.

        A request without an account costs nothing.

        Raises
        ------
        RequestError
            If the account has no tokens for it in time.
        """
        if not context.account:
            return rate_limiter.Charge.free()
        service_class = context.matched.entry.service_class
        max_wait = min(
            MAX_WAIT_SECONDS_BY_CLASS[service_class],
            context.matched.entry.limits.timeout,
        )
        result = await self._rate_limiter.admit(
            context.account, tokens, max_wait
        )
        if result.is_error():
            raise request_context.RequestError(
                problems.for_ticket(result.error, context.ticket)
            )
        return result.ok

    def weight(self, account: str) -> float:
        """Return an account's weight, used when engines are scarce."""
        current = self._config.catalogue
        if current is None or account not in current.accounts_by_name:
            return 1.0
        return current.accounts_by_name[account].weight
