"""Forwarding of requests with tickets to the daemon that issued the ticket.

Only the issuer, a single incarnation of a daemon, may run such a request and
knows whether it ran.
"""

import asyncio
from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import at_most_once
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import plain_client
from corianderspar import plain_requests
from corianderspar import problems
from corianderspar import ticket_records
from corianderspar import tickets

MAX_BODY_BYTES = 256 << 10  # of a request, and of a reply with its headers
MAX_FORWARDED = 1000  # forwarded requests that run at the same time
ISSUE_TIMEOUT_SECONDS = 0.5
ISSUER_CHECK_SECONDS = 0.5
FIRST_TIMEOUT_SECONDS = 1.0  # of a forwarded request; doubles with each resend


class ForwardRequest(NamedTuple):
    """A request whose ticket was issued by the receiver."""

    request: plain_requests.PlainRequest


class ForwardReply(NamedTuple):
    """The outcome of a forwarded request.

    Attributes
    ----------
    request_id : str
        Of the request. A different one shows that the reply is meant for a
        request of another incarnation.
    reply : PlainReply or None
        The complete reply of the upstream.
    problem : Problem or None
        Why there is no reply.
    """

    request_id: str
    reply: plain_client.PlainReply | None
    problem: problems.Problem | None


class TicketRequest(NamedTuple):
    """Asks a peer for a ticket, since the sender issues none."""

    account: str
    route: str


class TicketReply(NamedTuple):
    """A ticket issued by the sender; empty if it can issue none."""

    account: str
    route: str
    ticket: str


class TicketForwarder:
    """Forwards requests to the issuers of their tickets and serves them.

    Parameters
    ----------
    app : kernel.Application
        Gives time and the own incarnation.
    executor : at_most_once.AtMostOnceExecutor
        Runs the requests whose tickets this daemon issued.

    Attributes
    ----------
    running_count : int
        Forwarded requests of peers that are running here.
    """

    def __init__(
        self,
        app: kernel.Application,
        executor: at_most_once.AtMostOnceExecutor,
    ) -> None:
        self.running_count = 0
        self._app = app
        self._executor = executor
        self._membership = app.find('membership', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle(
            'once.forward', ForwardRequest, self._on_forward_request
        )
        self._peers.handle(
            'once.issue', TicketRequest, self._on_ticket_request
        )
        self._peers.add_reply_type('once.forwarded', ForwardReply)
        self._peers.add_reply_type('once.issued', TicketReply)

    async def execute(
        self, request: plain_requests.PlainRequest, deadline: float
    ) -> plain_requests.Outcome:
        """Run a request with a ticket at the issuer of the ticket.

        Other daemons cannot know whether the issuer received the request
        before, so only the issuer answers with ``ran='no'``. The exceptions
        are invalid tickets and bodies over the limit, which no daemon runs.
        """
        ticket = tickets.parse(request.ticket)
        if ticket is None:
            return Error(
                at_most_once.ticket_problem('ticket_invalid', 400, 'no')
            )
        if len(request.body) > MAX_BODY_BYTES:
            return Error(
                at_most_once.ticket_problem('request_too_large', 413, 'no')
            )
        if ticket.incarnation == str(self._app.incarnation):
            return await self._executor.execute(request, deadline)
        problem = self._issuer_problem(ticket.incarnation)
        if problem is not None:
            return Error(problem)
        return await self._forward(request, ticket.incarnation, deadline)

    async def issue(self, account: str, route: str) -> str:
        """Return a ticket of the first of three peers that issues one.

        The result is empty if none does.
        """
        own = self._app.identity.vm
        peer_vms = [vm for vm in self._membership.live() if vm != own]
        self._app.rng.shuffle(peer_vms)
        for vm in peer_vms[:3]:
            message = TicketRequest(account, route)
            reply = await self._peers.ask(vm, message, ISSUE_TIMEOUT_SECONDS)
            if reply.is_ok() and _matches(reply.ok, message):
                return reply.ok.ticket
        return ''

    async def _forward(
        self,
        request: plain_requests.PlainRequest,
        incarnation: str,
        deadline: float,
    ) -> plain_requests.Outcome:
        clock = self._app.clock
        attempt_timeout = FIRST_TIMEOUT_SECONDS
        while True:
            remaining = deadline - clock.monotonic()
            message = ForwardRequest(request._replace(timeout=remaining))
            timeout = min(attempt_timeout, remaining)
            result = await self._forward_once(incarnation, message, timeout)
            if result.is_ok() or result.error.code != 'timeout':
                return _parse_reply(request, result)
            problem = self._issuer_problem(incarnation)
            if problem is not None:
                return Error(problem)
            if clock.monotonic() >= deadline:
                return _parse_reply(request, result)
            attempt_timeout *= 2

    async def _forward_once(
        self, incarnation: str, message: ForwardRequest, timeout: float
    ) -> Result[Any, peers.PeerError]:
        """Forward a request once; stop waiting if the issuer is gone.

        Sending it again is safe: the issuer runs the request of a ticket
        once, and each copy of the message gets the same outcome.
        """
        vm = kernel.Incarnation.parse(incarnation).vm
        task = asyncio.create_task(self._peers.ask(vm, message, timeout))
        try:
            while not task.done():
                await asyncio.wait([task], timeout=ISSUER_CHECK_SECONDS)
                if self._issuer_problem(incarnation) is not None:
                    break
            if task.done():
                return task.result()
            return Error(peers.PeerError('timeout', vm))
        finally:
            task.cancel()

    def _issuer_problem(self, incarnation: str) -> problems.Problem | None:
        """Return the refusal if an issuer can no longer reply, or None."""
        issuer = kernel.Incarnation.parse(incarnation)
        if issuer.vm == self._app.identity.vm:
            return at_most_once.ticket_problem('home_gone', 410, 'unknown')
        member = self._membership.members().get(issuer.vm)
        if member is None:
            return at_most_once.ticket_problem(
                'home_unreachable', 503, 'unknown', 1.0
            )
        if not member.incarnation:
            return None
        if kernel.Incarnation.parse(member.incarnation) > issuer:
            return at_most_once.ticket_problem('home_gone', 410, 'unknown')
        return None

    async def _on_forward_request(
        self, _sender: peers.Sender, message: ForwardRequest
    ) -> ForwardReply:
        request = message.request
        if self.running_count >= MAX_FORWARDED:
            # Another copy may be running, so ``ran`` is not 'no'.
            problem = at_most_once.ticket_problem(
                'overloaded', 503, 'unknown', 1.0
            )
            return ForwardReply(request.request_id, None, problem)
        self.running_count += 1
        try:
            deadline = self._app.clock.monotonic() + request.timeout
            outcome = await self._executor.execute(request, deadline)
        finally:
            self.running_count -= 1
        return _make_reply(request, outcome)

    async def _on_ticket_request(
        self, _sender: peers.Sender, message: TicketRequest
    ) -> TicketReply:
        ticket = ''
        if not self._executor.stopped_issuing:
            ticket = self._executor.issue(message.account, message.route)
        return TicketReply(message.account, message.route, ticket)


def _matches(reply: Any, message: TicketRequest) -> bool:
    return isinstance(reply, TicketReply) and (
        (reply.account, reply.route) == message and bool(reply.ticket)
    )


def _make_reply(
    request: plain_requests.PlainRequest, outcome: plain_requests.Outcome
) -> ForwardReply:
    if outcome.is_error():
        return ForwardReply(request.request_id, None, outcome.error)
    if ticket_records.reply_bytes(outcome.ok) > MAX_BODY_BYTES:
        problem = at_most_once.ticket_problem('answer_too_large', 502, 'yes')
        return ForwardReply(request.request_id, None, problem)
    return ForwardReply(request.request_id, outcome.ok, None)


def _parse_reply(
    request: plain_requests.PlainRequest,
    result: Result[Any, peers.PeerError],
) -> plain_requests.Outcome:
    """Return the outcome at the issuer, or that it is unknown."""
    if result.is_error():
        if result.error.code == 'unreachable':
            problem = at_most_once.ticket_problem(
                'home_unreachable', 503, 'unknown', 1.0
            )
        else:
            problem = at_most_once.ticket_problem(
                'home_silent', 504, 'unknown', 1.0
            )
        return Error(problem)
    reply = result.ok
    is_mismatched = (
        not isinstance(reply, ForwardReply)
        or reply.request_id != request.request_id
    )
    if not is_mismatched and reply.problem is not None:
        return Error(reply.problem)
    if not is_mismatched and reply.reply is not None:
        return Ok(reply.reply)
    return Error(
        at_most_once.ticket_problem('home_silent', 504, 'unknown', 1.0)
    )
