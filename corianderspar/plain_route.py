"""Plain routes: a request passed on, and tickets for it."""

import msgspec

from corianderspar import dispatch
from corianderspar import edge_call
from corianderspar import edge_charges
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import metrics
from corianderspar import plain_requests

IDEMPOTENCY_HEADER = 'idempotency-key'
PLAIN_TOKENS = 1
JSON_TYPE = ('content-type', 'application/json')


class PlainRoute:
    """Answers calls of plain routes.

    Parameters
    ----------
    app : Application
        Has the services ``dispatch`` and ``metrics``.
    charging : Charges
        Charges the accounts.
    """

    def __init__(
        self, app: kernel.Application, charging: edge_charges.Charges
    ) -> None:
        self._clock = app.clock
        self._charges = charging
        self._dispatch = app.find('dispatch', dispatch.Dispatch)
        self._metrics = app.find('metrics', metrics.Metrics)

    async def answer(
        self, exchange: http_io.Exchange, call: edge_call.Call
    ) -> None:
        """Send a request to its pool and pass the reply on.

        Raises
        ------
        Refused
            If there is no reply.
        """
        headers_by_name = dict(call.request.headers)
        charge = await self._charges.admit(call, PLAIN_TOKENS)
        ran = True
        try:
            result = await self._dispatch.send(
                plain_requests.PlainRequest(
                    request_id=call.request_id,
                    account=call.account,
                    route=call.match.label,
                    pool=call.match.route.target,
                    method=exchange.method,
                    path=call.path,
                    query=call.request.query,
                    headers=call.request.headers,
                    body=call.request.body,
                    timeout=call.left(self._clock.monotonic()),
                    repeatable=call.match.route.repeatable,
                    ticket=call.ticket,
                    idempotency_key=headers_by_name.get(
                        IDEMPOTENCY_HEADER, ''
                    ),
                )
            )
            ran = result.is_ok() or result.error.ran != 'no'
        finally:
            # Also when the caller has gone while the service may run it.
            charge.settle(PLAIN_TOKENS if ran else 0)
        reply = edge_call.unwrap(result)
        own = (
            ('corianderspar-ran', 'yes'),
            ('corianderspar-request-id', call.request_id),
        )
        await exchange.answer(reply.status, reply.headers + own, reply.body)
        self._metrics.requests.labels(call.match.label, 'ok', 'yes').inc()

    async def give_ticket(
        self, exchange: http_io.Exchange, call: edge_call.Call
    ) -> None:
        """Answer with a new ticket for the call's route."""
        issued = edge_call.unwrap(
            await self._dispatch.issue_ticket(call.account, call.match.label)
        )
        content = msgspec.json.encode({'ticket': issued})
        await exchange.answer(201, (JSON_TYPE,), content)
