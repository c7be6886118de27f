"""Plain routes: a request passed on, and tickets for it."""

import msgspec

from corianderspar import account_charges
from corianderspar import calls
from corianderspar import dispatch
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import metrics
from corianderspar import request_context

IDEMPOTENCY_HEADER = 'idempotency-key'
PLAIN_TOKENS = 1
JSON_TYPE = ('content-type', 'application/json')


class PlainRoute:
    """Answers calls of plain routes.

    Parameters
    ----------
    app : Application
        Has the services ``dispatch`` and ``metrics``.
    charging : AccountCharges
        Charges the accounts.
    """

    def __init__(
        self, app: kernel.Application, charging: account_charges.AccountCharges
    ) -> None:
        self._clock = app.clock
        self._charges = charging
        self._dispatch = app.find('dispatch', dispatch.Dispatch)
        self._metrics = app.find('metrics', metrics.Metrics)

    async def answer(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        """Send a request to its pool and pass the reply on.

        Raises
        ------
        RequestError
            If there is no reply.
        """
        headers_by_name = dict(context.request.headers)
        charge = await self._charges.charge(context, PLAIN_TOKENS)
        ran = True
        try:
            result = await self._dispatch.send(
                calls.PlainRequest(
                    request_id=context.request_id,
                    account=context.account,
                    route=context.matched.label,
                    pool=context.matched.route.target,
                    method=exchange.method,
                    path=context.path,
                    query=context.request.query,
                    headers=context.request.headers,
                    body=context.request.body,
                    timeout=context.remaining(self._clock.monotonic()),
                    repeatable=context.matched.route.repeatable,
                    ticket=context.ticket,
                    idempotency_key=headers_by_name.get(
                        IDEMPOTENCY_HEADER, ''
                    ),
                )
            )
            ran = result.is_ok() or result.error.ran != 'no'
        finally:
            # Also when the caller has gone while the service may run it.
            charge.settle(PLAIN_TOKENS if ran else 0)
        reply = request_context.unwrap(result)
        own = (
            ('corianderspar-ran', 'yes'),
            ('corianderspar-request-id', context.request_id),
        )
        await exchange.answer(reply.status, reply.headers + own, reply.body)
        self._metrics.requests.labels(context.matched.label, 'ok', 'yes').inc()

    async def issue_ticket(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        """Answer with a new ticket for the call's route."""
        issued = request_context.unwrap(
            await self._dispatch.issue_ticket(
                context.account, context.matched.label
            )
        )
        content = msgspec.json.encode({'ticket': issued})
        await exchange.answer(201, (JSON_TYPE,), content)
