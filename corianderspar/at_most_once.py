"""Requests that may not be repeated: handed to an upstream at most once."""

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
    """Runs non-repeatable requests of this incarnation's own tickets.

    Parameters
    ----------
    app : kernel.Application
        Owns the tasks; its incarnation must be final.
    owned : plain_requests.AttemptSender
        Makes the attempts.
    budget : retries.RetryBudget
        Pays for a second connection after a refused one.
    limits : ticket_records.Limits or None
        Bounds on the records.
    """

    def __init__(
        self,
        app: kernel.Application,
        owned: plain_requests.AttemptSender,
        budget: retries.RetryBudget,
        limits: ticket_records.Limits | None = None,
    ) -> None:
        self.records = ticket_records.TicketRecords(app.clock, limits)
        self.signer = tickets.TicketSigner(str(app.incarnation))
        self.stopped_issuing = False
        self._app = app
        self._calls = owned
        self._budget = budget

    def issue(self, account: str, route: str) -> str:
        """Return a new ticket, or an empty text if there is no room.

        Parameters
        ----------
        account, route : str
            Whom and what it is for.
        """
        if not self.records.has_capacity(account):
            return ''
        expires_at = self._app.clock.monotonic() + self.records.limits.lifetime
        text = self.signer.issue(account, route, expires_at)
        ticket = self.signer.verify(text)
        assert ticket is not None, 'a ticket just issued is valid'
        self.records.add(ticket.nonce, account)
        return text

    async def execute(
        self, request: plain_requests.PlainRequest, deadline: float
    ) -> plain_requests.Outcome:
        """Run a request whose ticket names this incarnation, or not.

        Parameters
        ----------
        request : PlainRequest
            With a ticket.
        deadline : float
            Seconds on the monotonic clock; the request itself goes on to
            its end and is recorded, also if its caller stops waiting.
        """
        named = tickets.parse(request.ticket)
        if named is not None and named.incarnation != str(
            self._app.incarnation
        ):
            # Sent to the incarnation before this one, which may have run
            # it.
            return Error(ticket_problem('home_gone', 410, 'unknown'))
        ticket = self.signer.verify(request.ticket)
        if ticket is None:
            return Error(ticket_problem('ticket_invalid', 400, 'no'))
        if (ticket.account, ticket.route) != (request.account, request.route):
            # A route may have got another name since the request ran.
            return Error(ticket_problem('ticket_mismatch', 403, 'unknown'))
        record = self.records.get(ticket.nonce)
        if record is None:
            return Error(ticket_problem('ticket_expired', 410, 'unknown'))
        digest = request_digest(request)
        if not record.unused:
            return await self._recorded(record, digest, deadline)
        claimed = self.records.claim(ticket.nonce, digest)
        if claimed is None:
            refused = ticket_problem('ticket_expired', 410, 'no', 0.0)
            return self._spend(request, ticket.nonce, digest, refused)
        task = self._app.spawn(
            'dispatch', 'once', self._run(request, ticket.nonce, claimed)
        )
        await asyncio.wait([task], timeout=self._calls.remaining(deadline))
        if not task.done():
            return Error(ticket_problem('in_flight', 504, 'unknown', 1.0))
        return task.result()

    async def send_once(
        self, request: plain_requests.PlainRequest, deadline: float
    ) -> plain_requests.Outcome:
        """Hand a request to one upstream, whatever fails.

        Another upstream is tried only after a connection that provably
        carried nothing.

        Returns
        -------
        Result
            The reply; or a problem whose ``ran`` is ``'no'`` if nothing
            was handed over, and ``'unknown'`` if anything could have been.
        """
        self._budget.deposit()
        tried: list[str] = []
        while True:
            name = self._calls.selector.choose(request.pool, False, tried)
            if name is None:
                return Error(plain_requests.no_upstream_problem('no'))
            tried.append(name)
            result = await self._calls.attempt(request, name, deadline)
            if result.is_ok():
                return Ok(result.ok)
            error = result.error
            if not self._may_go_on(error, tried, deadline):
                return Error(_ending(error))

    def _may_go_on(
        self, error: plain_client.PlainError, tried: list[str], deadline: float
    ) -> bool:
        return (
            not error.sent
            and error.code == 'unreachable'
            and len(tried) < MAX_CONNECT_ATTEMPTS
            and self._calls.remaining(deadline) > 0
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
        outcome = self._with_ticket(request, outcome)
        self.records.finish(nonce, record, outcome)
        return outcome

    async def _recorded(
        self, record: ticket_records.Record, digest: bytes, deadline: float
    ) -> plain_requests.Outcome:
        """Return what became of the request that used the ticket."""
        if record.digest != digest:
            return Error(ticket_problem('ticket_reused', 422, _ran(record)))
        assert record.ended is not None, 'a claimed record has an end'
        try:
            async with asyncio.timeout(self._calls.remaining(deadline)):
                await record.ended.wait()
        except TimeoutError:
            return Error(ticket_problem('in_flight', 504, 'unknown', 1.0))
        if record.outcome is None:
            return Error(ticket_problem('answer_dropped', 410, 'yes'))
        return record.outcome

    def _spend(
        self,
        request: plain_requests.PlainRequest,
        nonce: str,
        digest: bytes,
        refused: problems.Problem,
    ) -> plain_requests.Outcome:
        """Refuse an unused ticket for good, so that "not run" stays true.

        A copy of the request that is still on its way must not run after
        its caller was told that it did not.
        """
        outcome = self._with_ticket(request, Error(refused))
        self.records.refuse(nonce, digest, outcome)
        return outcome

    def _with_ticket(
        self,
        request: plain_requests.PlainRequest,
        outcome: plain_requests.Outcome,
    ) -> plain_requests.Outcome:
        """Add a fresh ticket to a refusal that used up the old one."""
        if (
            outcome.is_ok()
            or outcome.error.ran != 'no'
            or self.stopped_issuing
        ):
            return outcome
        fresh = self.issue(request.account, request.route)
        return Error(outcome.error._replace(ticket=fresh))


def request_digest(request: plain_requests.PlainRequest) -> bytes:
    """Return the digest that tells one request from another.

    Headers are left out: a resend over another path differs in them.
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
    """Return the problem of that code, with its message."""
    return problems.Problem(
        code, status, ran, MESSAGES_BY_CODE[code], retry_after
    )


def _ran(record: ticket_records.Record) -> problems.Ran:
    """Return whether the request that used a record ran."""
    if record.running:
        return 'unknown'
    if record.outcome is None or record.outcome.is_ok():
        return 'yes'
    return record.outcome.error.ran


def _ending(error: plain_client.PlainError) -> problems.Problem:
    # A leaving upstream states that it ran nothing; still no other one
    # gets the request, because it was handed over.
    ran: problems.Ran = 'unknown'
    if not error.sent or error.code == 'leaving':
        ran = 'no'
    again = ran == 'no' and error.code != 'invalid'
    retry_after = plain_requests.RETRY_AFTER_SECONDS if again else None
    return plain_requests.attempt_problem(error, ran, retry_after)
