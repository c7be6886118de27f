"""Requests that are not idempotent: sent to an upstream at most once."""

import asyncio
import hashlib

from expression import Error
from expression import Ok

from corianderspar import kernel
from corianderspar import plain_client
from corianderspar import plain_requests
from corianderspar import problems
from corianderspar import retries
from corianderspar import ticket_records
from corianderspar import tickets

MAX_CONNECT_ATTEMPTS = 3


class AtMostOnceExecutor:
    """Issues tickets and runs each ticket's request at most once.

    Parameters
    ----------
    app : kernel.Application
        Owns the tasks; its incarnation must be final.
    attempt_sender : plain_requests.AttemptSender
        Sends requests to upstreams.
    budget : retries.RetryBudget
        Retry budget; limits connection attempts after a refused one.
    limits : ticket_records.Limits or None
        Bounds on the records.
    """

    def __init__(
        self,
        app: kernel.Application,
        attempt_sender: plain_requests.AttemptSender,
        budget: retries.RetryBudget,
        limits: ticket_records.Limits | None = None,
    ) -> None:
        self.records = ticket_records.TicketRecords(app.clock, limits)
        self.signer = tickets.TicketSigner(str(app.incarnation))
        self.stopped_issuing = False
        self._app = app
        self._attempt_sender = attempt_sender
        self._budget = budget

    def issue(self, account: str, route: str) -> str:
        """Return a new ticket, or an empty text if there is no capacity.

        Parameters
        ----------
        account, route : str
            Client account and route for which the ticket is valid.
        """
        if not self.records.has_capacity(account):
            return ''
        expires_at = self._app.clock.monotonic() + self.records.limits.lifetime
        text = self.signer.issue(account, route, expires_at)
        ticket = self.signer.verify(text)
        assert ticket is not None, 'a newly issued ticket must verify'
        self.records.add(ticket.nonce, account)
        return text

    async def execute(
        self, request: plain_requests.PlainRequest, deadline: float
    ) -> plain_requests.Outcome:
        """Run the request of a ticket, or return its recorded outcome.

        Only tickets of this incarnation are accepted.

        Parameters
        ----------
        request : PlainRequest
            With a ticket.
        deadline : float
            Seconds on the monotonic clock. The request itself runs to its
            end and is recorded even if its caller stops waiting.
        """
        unverified = tickets.parse(request.ticket)
        if unverified is not None and unverified.incarnation != str(
            self._app.incarnation
        ):
            # The ticket is of an earlier incarnation, which may have run
            # the request.
            return Error(ticket_problem('home_gone', 410, 'unknown'))
        ticket = self.signer.verify(request.ticket)
        if ticket is None:
            return Error(ticket_problem('ticket_invalid', 400, 'no'))
        if (ticket.account, ticket.route) != (request.account, request.route):
            # The route may have been renamed after the request ran.
            return Error(ticket_problem('ticket_mismatch', 403, 'unknown'))
        record = self.records.get(ticket.nonce)
        if record is None:
            return Error(ticket_problem('ticket_expired', 410, 'unknown'))
        digest = request_digest(request)
        if not record.is_unused:
            return await self._await_outcome(record, digest, deadline)
        claimed = self.records.claim(ticket.nonce, digest)
        if claimed is None:
            refused = ticket_problem('ticket_expired', 410, 'no', 0.0)
            return self._refuse(request, ticket.nonce, digest, refused)
        task = self._app.spawn(
            'dispatch', 'once', self._run(request, ticket.nonce, claimed)
        )
        await asyncio.wait(
            [task], timeout=self._attempt_sender.remaining(deadline)
        )
        if not task.done():
            return Error(ticket_problem('in_flight', 504, 'unknown', 1.0))
        return task.result()

    async def send_once(
        self, request: plain_requests.PlainRequest, deadline: float
    ) -> plain_requests.Outcome:
        """Send a request to at most one upstream.

        Another upstream is tried only if the connection failed before any
        part of the request was sent.

        Returns
        -------
        Result
            The reply, or a problem whose ``ran`` is ``'no'`` if the request
            was not sent or an upstream that is leaving refused it, and
            ``'unknown'`` otherwise.
        """
        self._budget.deposit()
        tried: list[str] = []
        while True:
            name = self._attempt_sender.selector.choose(
                request.pool, False, tried
            )
            if name is None:
                return Error(plain_requests.no_upstream_problem('no'))
            tried.append(name)
            result = await self._attempt_sender.attempt(
                request, name, deadline
            )
            if result.is_ok():
                return Ok(result.ok)
            error = result.error
            if not self._may_try_another(error, tried, deadline):
                return Error(_final_problem(error))

    def _may_try_another(
        self, error: plain_client.PlainError, tried: list[str], deadline: float
    ) -> bool:
        return (
            not error.sent
            and error.code == 'unreachable'
            and len(tried) < MAX_CONNECT_ATTEMPTS
            and self._attempt_sender.remaining(deadline) > 0
            and self._budget.withdraw()
        )

    async def _run(
        self,
        request: plain_requests.PlainRequest,
        nonce: str,
        record: ticket_records.Record,
    ) -> plain_requests.Outcome:
        deadline = self._app.clock.monotonic() + request.timeout
        outcome = await self.send_once(request, deadline)
        outcome = self._with_new_ticket(request, outcome)
        self.records.finish(nonce, record, outcome)
        return outcome

    async def _await_outcome(
        self, record: ticket_records.Record, digest: bytes, deadline: float
    ) -> plain_requests.Outcome:
        """Return the outcome of the request that claimed the record."""
        if record.digest != digest:
            return Error(ticket_problem('ticket_reused', 422, _ran(record)))
        assert record.ended is not None, 'a claimed record must have an event'
        try:
            async with asyncio.timeout(
                self._attempt_sender.remaining(deadline)
            ):
                await record.ended.wait()
        except TimeoutError:
            return Error(ticket_problem('in_flight', 504, 'unknown', 1.0))
        if record.outcome is None:
            return Error(ticket_problem('answer_dropped', 410, 'yes'))
        return record.outcome

    def _refuse(
        self,
        request: plain_requests.PlainRequest,
        nonce: str,
        digest: bytes,
        refused: problems.Problem,
    ) -> plain_requests.Outcome:
        """Record the refusal of an unused ticket as its outcome.

        Otherwise a delayed copy of the request could run after its caller
        was told that it did not run.
        """
        outcome = self._with_new_ticket(request, Error(refused))
        self.records.refuse(nonce, digest, outcome)
        return outcome

    def _with_new_ticket(
        self,
        request: plain_requests.PlainRequest,
        outcome: plain_requests.Outcome,
    ) -> plain_requests.Outcome:
        """Add a new ticket to an outcome whose request did not run."""
        if (
            outcome.is_ok()
            or outcome.error.ran != 'no'
            or self.stopped_issuing
        ):
            return outcome
        new_ticket = self.issue(request.account, request.route)
        return Error(outcome.error._replace(ticket=new_ticket))


def request_digest(request: plain_requests.PlainRequest) -> bytes:
    """Return a digest of the method, path, query and body of a request.

    Headers are left out, because a resend may carry different ones if it
    takes another path to this daemon.
    """
    digest = hashlib.sha256()
    for part in (
        request.method.encode(),
        request.path.encode(),
        request.query.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()[:16]


MESSAGES_BY_CODE = {
    'answer_dropped': 'the request ran; its answer is no longer kept',
    'answer_too_large': 'the request ran; its answer is too long to pass on',
    'home_gone': 'the daemon that issued the ticket has ended',
    'home_silent': 'the daemon that issued the ticket gives no reply',
    'home_unreachable': 'the daemon that issued the ticket is not reachable',
    'in_flight': 'the request is still running',
    'overloaded': 'too many requests are waiting',
    'request_too_large': 'the body is too long for a request with a ticket',
    'ticket_expired': 'the ticket is too old',
    'ticket_invalid': 'this is no valid ticket',
    'ticket_mismatch': 'the ticket is for another client account or route',
    'ticket_required': 'send the request again with this ticket',
    'ticket_reused': 'the ticket was used with another request',
    'tickets_exhausted': 'no further tickets can be issued now',
}


def ticket_problem(
    code: str,
    status: int,
    ran: problems.Ran,
    retry_after: float | None = None,
) -> problems.Problem:
    """Return the problem with that code and the message that belongs to it.

    Parameters
    ----------
    code : str
        A key of `MESSAGES_BY_CODE`.
    status : int
        HTTP status code.
    ran : {'no', 'yes', 'unknown'}
        Whether an upstream ran the request.
    retry_after : float or None
        Seconds after which the caller may retry; None for never.
    """
    return problems.Problem(
        code, status, ran, MESSAGES_BY_CODE[code], retry_after
    )


def _ran(record: ticket_records.Record) -> problems.Ran:
    """Return whether the request that claimed a record ran."""
    if record.is_running:
        return 'unknown'
    if record.outcome is None or record.outcome.is_ok():
        return 'yes'
    return record.outcome.error.ran


def _final_problem(error: plain_client.PlainError) -> problems.Problem:
    # An upstream that is leaving reports that it did not run the request.
    # No other upstream is tried even then, because the request was sent.
    ran: problems.Ran = 'unknown'
    if not error.sent or error.code == 'leaving':
        ran = 'no'
    can_retry = ran == 'no' and error.code != 'invalid'
    retry_after = plain_requests.RETRY_AFTER_SECONDS if can_retry else None
    return plain_requests.attempt_problem(error, ran, retry_after)
