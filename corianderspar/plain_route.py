"""Plain routes: pass requests on to services, and issue tickets."""

import msgspec

from corianderspar import account_charges
from corianderspar import dispatch
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import metrics
from corianderspar import plain_requests
from corianderspar import request_context

IDEMPOTENCY_HEADER = 'idempotency-key'
TOKENS_PER_REQUEST = 1
JSON_CONTENT_TYPE = ('content-type', 'application/json')


class PlainRoute:
    """Answers requests on plain routes.

    Parameters
    ----------
    app : Application
        Provides the services ``dispatch`` and ``metrics``.
    charges : AccountCharges
        Charges the client accounts.
    """

    def __init__(
        self, app: kernel.Application, charges: account_charges.AccountCharges
    ) -> None:
        self._clock = app.clock
        self._charges = charges
        self._dispatch = app.find('dispatch', dispatch.Dispatch)
        self._metrics = app.find('metrics', metrics.Metrics)

    async def answer(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        """Send a request to its pool, and pass the reply on to the caller.

        Raises
        ------
        RequestError
            If the account has no tokens for it, or there is no reply.
        """
        headers_by_name = dict(context.request.headers)
        charge = await self._charges.charge(context, TOKENS_PER_REQUEST)
        ran = True
        try:
            result = await self._dispatch.send(
                plain_requests.PlainRequest(
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
            # Also runs if this task is cancelled because the caller has
            # disconnected: a service may still run the request.
            charge.settle(TOKENS_PER_REQUEST if ran else 0)
        reply = request_context.unwrap(result)
        own_headers = (
            ('corianderspar-ran', 'yes'),
            ('corianderspar-request-id', context.request_id),
        )
        await exchange.answer(
            reply.status, reply.headers + own_headers, reply.body
        )
        self._metrics.requests.labels(context.matched.label, 'ok', 'yes').inc()

    async def issue_ticket(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        """Answer with a new ticket for the request's route."""
        ticket = request_context.unwrap(
            await self._dispatch.issue_ticket(
                context.account, context.matched.label
            )
        )
        content = msgspec.json.encode({'ticket': ticket})
        await exchange.answer(201, (JSON_CONTENT_TYPE,), content)
