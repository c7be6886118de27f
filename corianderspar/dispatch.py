"""The service ``dispatch``: sends requests to pools of plain services."""

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

CREDENTIAL_HEADERS = frozenset(('authorization', 'proxy-authorization'))
# Meant for this daemon only. Each attempt gets a request id of its own.
LOCAL_HEADERS = frozenset(
    (
        'idempotency-key',
        'corianderspar-ticket',
        plain_requests.REQUEST_ID_HEADER,
    )
)


class Dispatch:
    """Sends each plain request as often as it may run.

    Idempotent requests are retried and hedged within a retry budget. Other
    requests reach an upstream at most once: with a ticket once for all
    resends with that ticket, without a ticket once per send.

    Parameters
    ----------
    client_factory : callable
        Makes the client of an upstream from its name and catalogue entry.
    limits : ticket_records.Limits or None
        Limits on the records of tickets.
    policy : retries.Policy or None
        Which further attempts are made for idempotent requests.
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
        """Begin to follow the catalogue and to accept forwarded requests."""
        self._app = app
        self._membership = app.find('membership', membership.Membership)
        self.selector = selection.UpstreamSelector(app, self._client_factory)
        self.attempt_sender = plain_requests.AttemptSender(app, self.selector)
        self.attempt_sender.on_leaving = self._membership.send_now
        self.retrier = retries.Retrier(
            self.attempt_sender, app.clock, self._policy
        )
        self.executor = at_most_once.AtMostOnceExecutor(
            app, self.attempt_sender, self.retrier.budget, self._limits
        )
        self.forwarder = forwarding.TicketForwarder(app, self.executor)
        self._membership.add_section(
            'leaving', self.selector.provide_leaving, self._on_leaving_section
        )
        config = app.find('configuration', configuration.Configuration)
        config.on_catalogue.append(self.selector.adopt)
        if config.catalogue is not None:
            self.selector.adopt(config.catalogue)

    async def stop(self) -> None:
        """Do nothing: the drain before it has waited for all requests."""

    async def send(
        self, request: plain_requests.PlainRequest
    ) -> plain_requests.Outcome:
        """Send a request to its pool and return the reply or a problem.

        Parameters
        ----------
        request : PlainRequest
            An admitted request, without credentials.

        Returns
        -------
        Result
            The upstream's complete reply, or a problem whose ``ran`` says
            whether an upstream ran the request; ``'no'`` is a guarantee.
        """
        deadline = self._app.clock.monotonic() + request.timeout
        request = request._replace(headers=_forwardable(request.headers))
        if request.ticket:
            outcome = await self.forwarder.execute(request, deadline)
        elif request.repeatable:
            outcome = await self.retrier.send(request, deadline)
        elif request.idempotency_key:
            outcome = await self._require_ticket(request)
        else:
            outcome = await self.executor.send_once(request, deadline)
        self._record(request, outcome)
        return outcome

    async def issue_ticket(
        self, account: str, route: str
    ) -> Result[str, problems.Problem]:
        """Return a ticket; if this daemon is draining, one of a peer.

        Parameters
        ----------
        account, route : str
            The client account and the route that may use it.
        """
        ticket = ''
        if not self.executor.stopped_issuing:
            ticket = self.executor.issue(account, route)
        if not ticket:
            ticket = await self.forwarder.issue(account, route)
        if not ticket and self.executor.stopped_issuing:
            # No peer can issue one: this is the last daemon of its data
            # centre. Its drain waits until the ticket is used or expires.
            ticket = self.executor.issue(account, route)
        if not ticket:
            return Error(
                at_most_once.ticket_problem(
                    'tickets_exhausted', 503, 'no', 1.0
                )
            )
        return Ok(ticket)

    def stop_issuing(self) -> None:
        """Let peers issue all further tickets, since a drain begins."""
        self.executor.stopped_issuing = True

    async def _require_ticket(
        self, request: plain_requests.PlainRequest
    ) -> plain_requests.Outcome:
        issued = await self.issue_ticket(request.account, request.route)
        if issued.is_error():
            return Error(issued.error)
        problem = at_most_once.ticket_problem(
            'ticket_required', 428, 'no', 0.0
        )
        return Error(problem._replace(ticket=issued.ok))

    def _on_leaving_section(
        self, sender: peers.Sender, content: bytes
    ) -> None:
        if not self.selector.accept_leaving(content):
            return
        own = self._app.identity
        if own.vm in self._membership.relays(own.data_centre):
            self._membership.send_now()

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


def _forwardable(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are forwarded to an upstream."""
    dropped = CREDENTIAL_HEADERS | LOCAL_HEADERS
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)
