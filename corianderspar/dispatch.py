"""The service ``dispatch``: requests to pools of plain services."""

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import at_most_once
from corianderspar import configuration
from corianderspar import forwarding
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import plain_requests
from corianderspar import problems
from corianderspar import retries
from corianderspar import selection
from corianderspar import ticket_records

PlainRequest = plain_requests.PlainRequest

KEY_HEADERS = frozenset(('authorization', 'proxy-authorization'))
LOCAL_HEADERS = frozenset(
    (
        'idempotency-key',
        'corianderspar-ticket',
        plain_requests.REQUEST_ID_HEADER,
    )
)


class Dispatch:
    """Routes plain requests by what they allow.

    Idempotent ones are retried and hedged within a budget. Others are
    handed to an upstream at most once: with a ticket once for all sends
    of the ticket, without one once for each send.

    Parameters
    ----------
    client_factory : callable
        Makes the client of an upstream from its name and entry.
    limits : ticket_records.Limits or None
        Bounds on the records of tickets.
    policy : retries.Policy or None
        Which further attempts idempotent requests get.
    """

    name = 'dispatch'
    requires: tuple[str, ...] = ('peers', 'membership', 'configuration')

    def __init__(
        self,
        client_factory: selection.ClientFactory,
        limits: ticket_records.Limits | None = None,
        policy: retries.Policy | None = None,
    ) -> None:
        self._client_factory = client_factory
        self._limits = limits
        self._policy = policy

    async def start(self, app: kernel.Application) -> None:
        """Follow the catalogue and take forwarded requests."""
        self._app = app
        self._members = app.find('membership', membership.Membership)
        self.selector = selection.UpstreamSelector(app, self._client_factory)
        self.attempt_sender = plain_requests.AttemptSender(app, self.selector)
        self.attempt_sender.on_leaving = self._members.send_now
        self.retrier = retries.Retrier(
            self.attempt_sender, app.clock, self._policy
        )
        self.once = at_most_once.AtMostOnceExecutor(
            app, self.attempt_sender, self.retrier.budget, self._limits
        )
        self.forwarder = forwarding.TicketForwarder(app, self.once)
        self._members.add_section(
            'leaving', self.selector.provide_leaving, self._hear_leaving
        )
        found = app.find('configuration', configuration.Configuration)
        found.on_catalogue.append(self.selector.adopt)
        if found.catalogue is not None:
            self.selector.adopt(found.catalogue)

    async def stop(self) -> None:
        """Nothing to hand on: a drain has waited for all requests."""

    async def send(
        self, request: plain_requests.PlainRequest
    ) -> plain_requests.Outcome:
        """Send a request to its pool and return how it ended.

        Parameters
        ----------
        request : PlainRequest
            Admitted already, and free of keys.

        Returns
        -------
        Result
            The upstream's whole reply, or a problem whose ``ran`` says
            whether an upstream ran the request; ``'no'`` is final.
        """
        deadline = self._app.clock.monotonic() + request.timeout
        request = request._replace(headers=_passed(request.headers))
        if request.ticket:
            outcome = await self.forwarder.present(request, deadline)
        elif request.repeatable:
            outcome = await self.retrier.send(request, deadline)
        elif request.idempotency_key:
            outcome = await self._require_ticket(request)
        else:
            outcome = await self.once.send_once(request, deadline)
        self._record(request, outcome)
        return outcome

    async def issue_ticket(
        self, account: str, route: str
    ) -> Result[str, problems.Problem]:
        """Return a ticket, of this daemon unless it drains.

        Parameters
        ----------
        account, route : str
            Whom and what it is for.
        """
        text = ''
        if not self.once.stopped_issuing:
            text = self.once.issue(account, route)
        if not text:
            text = await self.forwarder.issue(account, route)
        if not text and self.once.stopped_issuing:
            # The last daemon of its data centre; its drain waits for it.
            text = self.once.issue(account, route)
        if not text:
            return Error(
                at_most_once.ticket_problem(
                    'tickets_exhausted', 503, 'no', 1.0
                )
            )
        return Ok(text)

    def stop_issuing(self) -> None:
        """Have further tickets issued by peers; a drain begins."""
        self.once.stopped_issuing = True

    async def _require_ticket(
        self, request: plain_requests.PlainRequest
    ) -> plain_requests.Outcome:
        issued = await self.issue_ticket(request.account, request.route)
        if issued.is_error():
            return Error(issued.error)
        refused = at_most_once.ticket_problem(
            'ticket_required', 428, 'no', 0.0
        )
        return Error(refused._replace(ticket=issued.ok))

    def _hear_leaving(self, sender: peers.Sender, content: bytes) -> None:
        if not self.selector.accept_leaving(content):
            return
        own = self._app.identity
        if own.vm in self._members.relays(own.data_centre):
            self._members.send_now()

    def _record(
        self,
        request: plain_requests.PlainRequest,
        outcome: plain_requests.Outcome,
    ) -> None:
        fields = {'request': request.request_id, 'pool': request.pool}
        if outcome.is_ok():
            self._app.events.add('plain.answered', **fields)
            return
        error = outcome.error
        self._app.events.add(
            'plain.refused', code=error.code, ran=error.ran, **fields
        )


def _passed(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that may leave this daemon."""
    dropped = KEY_HEADERS | LOCAL_HEADERS
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)
