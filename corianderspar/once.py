"""Requests that may not be repeated: handed to an upstream at most once."""

import asyncio
import hashlib

from expression import Error
from expression import Ok

from corianderspar import kernel
from corianderspar import outcomes
from corianderspar import plain_client
from corianderspar import plain_requests
from corianderspar import problems
from corianderspar import retries
from corianderspar import tickets

MAX_CONNECT_ATTEMPTS = 3


class Once:
    """Runs non-repeatable requests of this incarnation's own tickets.

    Parameters
    ----------
    app : kernel.Application
        Owns the tasks; its incarnation must be final.
    owned : plain_requests.AttemptSender
        Makes the attempts.
    budget : retries.RetryBudget
        Pays for a second connection after a refused one.
    limits : outcomes.Limits or None
        Bounds on the records.
    """

    def __init__(
        self,
        app: kernel.Application,
        owned: plain_requests.AttemptSender,
        budget: retries.RetryBudget,
        limits: outcomes.Limits | None = None,
    ) -> None:
        self.outcomes = outcomes.Outcomes(app.clock, limits)
        self.tickets = tickets.Tickets(str(app.incarnation))
        self.closed = False
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
        if not self.outcomes.room(account):
            return ''
        use_by = self._app.clock.monotonic() + self.outcomes.limits.use
        text = self.tickets.issue(account, route, use_by)
        ticket = self.tickets.verify(text)
        assert ticket is not None, 'a ticket just issued is valid'
        self.outcomes.add(ticket.nonce, account)
        return text

    async def present(
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
            return Error(refusal('home_gone', 410, 'unknown'))
        ticket = self.tickets.verify(request.ticket)
        if ticket is None:
            return Error(refusal('ticket_invalid', 400, 'no'))
        if (ticket.account, ticket.route) != (request.account, request.route):
            # A route may have got another name since the request ran.
            return Error(refusal('ticket_mismatch', 403, 'unknown'))
        record = self.outcomes.get(ticket.nonce)
        if record is None:
            return Error(refusal('ticket_expired', 410, 'unknown'))
        digest = request_digest(request)
        if not record.unused:
            return await self._recorded(record, digest, deadline)
        claimed = self.outcomes.claim(ticket.nonce, digest)
        if claimed is None:
            refused = refusal('ticket_expired', 410, 'no', 0.0)
            return self._spend(request, ticket.nonce, digest, refused)
        task = self._app.spawn(
            'dispatch', 'once', self._run(request, ticket.nonce, claimed)
        )
        await asyncio.wait([task], timeout=self._calls.remaining(deadline))
        if not task.done():
            return Error(refusal('in_flight', 504, 'unknown', 1.0))
        return task.result()

    async def hand_over(
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
        record: outcomes.Record,
    ) -> plain_requests.Outcome:
        deadline = self._app.clock.monotonic() + request.timeout
        outcome = await self.hand_over(request, deadline)
        outcome = self._with_ticket(request, outcome)
        self.outcomes.finish(nonce, record, outcome)
        return outcome

    async def _recorded(
        self, record: outcomes.Record, digest: bytes, deadline: float
    ) -> plain_requests.Outcome:
        """Return what became of the request that used the ticket."""
        if record.digest != digest:
            return Error(refusal('ticket_reused', 422, _ran(record)))
        assert record.ended is not None, 'a claimed record has an end'
        try:
            async with asyncio.timeout(self._calls.remaining(deadline)):
                await record.ended.wait()
        except TimeoutError:
            return Error(refusal('in_flight', 504, 'unknown', 1.0))
        if record.outcome is None:
            return Error(refusal('answer_dropped', 410, 'yes'))
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
        self.outcomes.spend(nonce, digest, outcome)
        return outcome

    def _with_ticket(
        self,
        request: plain_requests.PlainRequest,
        outcome: plain_requests.Outcome,
    ) -> plain_requests.Outcome:
        """Add a fresh ticket to a refusal that used up the old one."""
        if outcome.is_ok() or outcome.error.ran != 'no' or self.closed:
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


def refusal(
    code: str,
    status: int,
    ran: problems.Ran,
    retry_after: float | None = None,
) -> problems.Problem:
    """Return the problem of that code, with its message."""
    return problems.Problem(
        code, status, ran, MESSAGES_BY_CODE[code], retry_after
    )


def _ran(record: outcomes.Record) -> problems.Ran:
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
