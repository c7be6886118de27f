"""Requests with tickets, passed to the incarnation that a ticket names."""

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

FORWARD_BYTES = 256 << 10
MAX_FORWARDS = 1000
ISSUE_TIMEOUT = 0.5
LOOK_SECONDS = 0.5
FIRST_ASK_SECONDS = 1.0


class ForwardRequest(NamedTuple):
    """A request whose ticket names the receiver's incarnation."""

    request: plain_requests.PlainRequest


class ForwardReply(NamedTuple):
    """What became of a forwarded request.

    Attributes
    ----------
    request_id : str
        As it came; a reply for another incarnation's question differs.
    reply : PlainReply or None
        The whole answer.
    problem : Problem or None
        Why there is none.
    """

    request_id: str
    reply: plain_client.PlainReply | None
    problem: problems.Problem | None


class TicketRequest(NamedTuple):
    """Asks a peer for a ticket, because the asker issues none now."""

    account: str
    route: str


class TicketReply(NamedTuple):
    """A ticket of the sender's incarnation; empty if it had no room."""

    account: str
    route: str
    ticket: str


class TicketForwarder:
    """Passes requests to their tickets' incarnations, and takes them.

    Parameters
    ----------
    app : kernel.Application
        Gives time and the own incarnation.
    owned : at_most_once.AtMostOnceExecutor
        Runs requests of own tickets.
    """

    def __init__(
        self, app: kernel.Application, owned: at_most_once.AtMostOnceExecutor
    ) -> None:
        self.running_count = 0
        self._app = app
        self._once = owned
        self._members = app.find('membership', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle(
            'once.forward', ForwardRequest, self._on_forward_request
        )
        self._peers.handle(
            'once.issue', TicketRequest, self._on_ticket_request
        )
        self._peers.add_reply_type('once.forwarded', ForwardReply)
        self._peers.add_reply_type('once.issued', TicketReply)

    async def present(
        self, request: plain_requests.PlainRequest, deadline: float
    ) -> plain_requests.Outcome:
        """Have a request with a ticket run where the ticket says.

        A daemon that is not the ticket's home can't know what another
        sent there before, so only the home itself says ``ran='no'``; the
        exceptions are texts and sizes that no daemon would ever run.
        """
        ticket = tickets.parse(request.ticket)
        if ticket is None:
            return Error(
                at_most_once.ticket_problem('ticket_invalid', 400, 'no')
            )
        if len(request.body) > FORWARD_BYTES:
            return Error(
                at_most_once.ticket_problem('request_too_large', 413, 'no')
            )
        if ticket.incarnation == str(self._app.incarnation):
            return await self._once.execute(request, deadline)
        gone = self._lost(ticket.incarnation)
        if gone is not None:
            return Error(gone)
        return await self._ask(request, ticket.incarnation, deadline)

    async def issue(self, account: str, route: str) -> str:
        """Return a ticket of the first peer that has room; else empty."""
        own = self._app.identity.vm
        live = [vm for vm in self._members.live() if vm != own]
        self._app.rng.shuffle(live)
        for vm in live[:3]:
            asked = TicketRequest(account, route)
            reply = await self._peers.ask(vm, asked, ISSUE_TIMEOUT)
            if reply.is_ok() and _matches(reply.ok, asked):
                return reply.ok.ticket
        return ''

    async def _ask(
        self,
        request: plain_requests.PlainRequest,
        incarnation: str,
        deadline: float,
    ) -> plain_requests.Outcome:
        clock = self._app.clock
        seconds = FIRST_ASK_SECONDS
        while True:
            remaining = deadline - clock.monotonic()
            message = ForwardRequest(request._replace(timeout=remaining))
            timeout = min(seconds, remaining)
            answered = await self._ask_once(incarnation, message, timeout)
            if answered.is_ok() or answered.error.code != 'timeout':
                return _outcome(request, answered)
            gone = self._lost(incarnation)
            if gone is not None:
                return Error(gone)
            if clock.monotonic() >= deadline:
                return _outcome(request, answered)
            seconds *= 2

    async def _ask_once(
        self, incarnation: str, message: ForwardRequest, timeout: float
    ) -> Result[Any, peers.PeerError]:
        """Ask a ticket's home; give up as soon as it is known to be gone.

        Asking again is safe: the home runs a ticket once, and each copy
        of the question gets the one outcome.
        """
        vm = kernel.Incarnation.parse(incarnation).vm
        task = asyncio.create_task(self._peers.ask(vm, message, timeout))
        try:
            while not task.done():
                await asyncio.wait([task], timeout=LOOK_SECONDS)
                if self._lost(incarnation) is not None:
                    break
            if task.done():
                return task.result()
            return Error(peers.PeerError('timeout', vm))
        finally:
            task.cancel()

    def _lost(self, incarnation: str) -> problems.Problem | None:
        """Return the refusal if an incarnation can't answer any more."""
        home = kernel.Incarnation.parse(incarnation)
        if home.vm == self._app.identity.vm:
            return at_most_once.ticket_problem('home_gone', 410, 'unknown')
        member = self._members.members().get(home.vm)
        if member is None:
            return at_most_once.ticket_problem(
                'home_unreachable', 503, 'unknown', 1.0
            )
        if not member.incarnation:
            return None
        if kernel.Incarnation.parse(member.incarnation) > home:
            return at_most_once.ticket_problem('home_gone', 410, 'unknown')
        return None

    async def _on_forward_request(
        self, _sender: peers.Sender, message: ForwardRequest
    ) -> ForwardReply:
        request = message.request
        if self.running_count >= MAX_FORWARDS:
            # A copy may run already, so this is no "not run".
            refused = at_most_once.ticket_problem(
                'overloaded', 503, 'unknown', 1.0
            )
            return ForwardReply(request.request_id, None, refused)
        self.running_count += 1
        try:
            deadline = self._app.clock.monotonic() + request.timeout
            outcome = await self._once.execute(request, deadline)
        finally:
            self.running_count -= 1
        return _forwarded(request, outcome)

    async def _on_ticket_request(
        self, _sender: peers.Sender, asked: TicketRequest
    ) -> TicketReply:
        text = ''
        if not self._once.stopped_issuing:
            text = self._once.issue(asked.account, asked.route)
        return TicketReply(asked.account, asked.route, text)


def _matches(reply: Any, asked: TicketRequest) -> bool:
    return isinstance(reply, TicketReply) and (
        (reply.account, reply.route) == asked and bool(reply.ticket)
    )


def _forwarded(
    request: plain_requests.PlainRequest, outcome: plain_requests.Outcome
) -> ForwardReply:
    if outcome.is_error():
        return ForwardReply(request.request_id, None, outcome.error)
    if ticket_records.reply_bytes(outcome.ok) > FORWARD_BYTES:
        refused = at_most_once.ticket_problem('answer_too_large', 502, 'yes')
        return ForwardReply(request.request_id, None, refused)
    return ForwardReply(request.request_id, outcome.ok, None)


def _outcome(
    request: plain_requests.PlainRequest,
    answered: Result[Any, peers.PeerError],
) -> plain_requests.Outcome:
    """Return what the home said, or that this is not known."""
    if answered.is_error():
        if answered.error.code == 'unreachable':
            refused = at_most_once.ticket_problem(
                'home_unreachable', 503, 'unknown', 1.0
            )
        else:
            refused = at_most_once.ticket_problem(
                'home_silent', 504, 'unknown', 1.0
            )
        return Error(refused)
    reply = answered.ok
    crossed = (
        not isinstance(reply, ForwardReply)
        or reply.request_id != request.request_id
    )
    if not crossed and reply.problem is not None:
        return Error(reply.problem)
    if not crossed and reply.reply is not None:
        return Ok(reply.reply)
    return Error(
        at_most_once.ticket_problem('home_silent', 504, 'unknown', 1.0)
    )
