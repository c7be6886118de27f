"""What a client account is charged for its requests at the edge."""

from corianderspar import configuration
from corianderspar import kernel
from corianderspar import problems
from corianderspar import rate_limiter
from corianderspar import request_context

WAIT_SECONDS_BY_CLASS = {'patient': 30.0, 'guarded': 3.0, 'ordinary': 1.0}


class AccountCharges:
    """Charges calls, and knows the weight of their accounts.

    Parameters
    ----------
    app : Application
        Has the services ``limits`` and ``configuration``.
    """

    def __init__(self, app: kernel.Application) -> None:
        self._limits = app.find('limits', rate_limiter.RateLimiter)
        self._config = app.find('configuration', configuration.Configuration)

    async def charge(
        self, context: request_context.RequestContext, tokens: int
    ) -> rate_limiter.Charge:
        """Charge the first tokens of a request.

        Raises
        ------
        RequestError
            If the account has none for it in time.
        """
        if not context.account:
            return rate_limiter.Charge.free()
        service_class = context.matched.entry.service_class
        wait = min(
            WAIT_SECONDS_BY_CLASS[service_class],
            context.matched.entry.limits.timeout,
        )
        result = await self._limits.admit(context.account, tokens, wait)
        if result.is_error():
            raise request_context.RequestError(
                problems.for_ticket(result.error, context.ticket)
            )
        return result.ok

    def weight(self, account: str) -> float:
        """Return an account's weight when engines are short."""
        found = self._config.catalogue
        if found is None or account not in found.accounts_by_name:
            return 1.0
        return found.accounts_by_name[account].weight
