"""Tests of the client that resends until the outcome is known."""

import asyncio

import httpx
import pytest

from corianderspar import fake_plain_fleet
from corianderspar import ticket_client
from tests.test_dispatch import always
from tests.test_dispatch import run


class FaultyBalancer:
    """Passes requests to random daemons of a fleet and injects faults.

    Each response takes the next of the faults: ``'lost'`` drops the response,
    ``'page'`` replaces it by an error page.
    """

    def __init__(self, fleet, faults=()):
        self.fleet = fleet
        self.faults = list(faults)

    def client(self):
        transport = httpx.MockTransport(self.handle)
        client = httpx.AsyncClient(
            transport=transport, base_url='http://balancer'
        )
        return ticket_client.TicketClient(client)

    async def handle(self, request):
        vm = self.fleet.rng.choice(list(self.fleet.apps_by_vm))
        if request.url.path == ticket_client.TICKETS_PATH:
            ticket = await self.fleet.ticket(vm)
            return httpx.Response(201, json={'ticket': ticket})
        ticket = request.headers[ticket_client.TICKET_HEADER]
        outcome = await self.fleet.call(
            vm, self.fleet.request(request.content, ticket=ticket)
        )
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'lost' or outcome is None:
            raise httpx.ReadError('connection lost')
        if fault == 'page':
            return httpx.Response(502, text='<html>bad gateway</html>')
        return to_response(outcome)


def to_response(outcome):
    if outcome.is_ok():
        headers = {ticket_client.RAN_HEADER: 'yes'}
        reply = outcome.ok
        return httpx.Response(
            reply.status, headers=headers, content=reply.body
        )
    problem = outcome.error
    headers = {
        ticket_client.RAN_HEADER: problem.ran,
        ticket_client.CODE_HEADER: problem.code,
    }
    if problem.ticket:
        headers[ticket_client.TICKET_HEADER] = problem.ticket
    if problem.retry_after is not None:
        headers['Retry-After'] = str(problem.retry_after)
    return httpx.Response(problem.status, headers=headers)


def send_order(faults=(), before=None):
    async def scenario(fleet):
        if before is not None:
            before(fleet)
        client = FaultyBalancer(fleet, faults).client()
        response = await client.send('POST', '/orders', b'order')
        return response, fleet.ledger.runs(b'order')

    return scenario


def test_a_request_with_lost_responses_runs_once():
    response, runs = run(send_order(['lost', 'page', 'lost']))
    assert response.status_code == 200
    assert runs == 1


def test_a_request_that_did_not_run_is_resent_with_a_new_ticket():
    def before(fleet):
        faults = ['leaving', 'leaving']
        fleet.set_fault(lambda call: faults.pop() if faults else '')

    response, runs = run(send_order(before=before))
    assert response.status_code == 200
    assert runs == 1


def test_an_unknown_outcome_is_raised_without_a_resend():
    async def scenario(fleet):
        fleet.set_fault(always('die_after'))
        client = FaultyBalancer(fleet).client()
        with pytest.raises(ticket_client.OutcomeUnknown):
            await client.send('POST', '/orders', b'order')
        return fleet.ledger.runs(b'order')

    assert run(scenario) == 1


def test_a_dead_issuer_is_an_unknown_outcome():
    async def scenario(fleet):
        balancer = FaultyBalancer(fleet)
        client = balancer.client()

        async def kill_all_but_one():
            await asyncio.sleep(0.001)
            for vm in fleet.vms[:-1]:
                await fleet.kill(vm)

        task = asyncio.create_task(kill_all_but_one())
        fleet.set_fault(always('late'))
        with pytest.raises(ticket_client.OutcomeUnknown):
            await client.send('POST', '/orders', b'order')
        await task
        return fleet.ledger.runs(b'order')

    assert run(scenario) <= 1


def test_a_request_that_cannot_run_is_refused():
    async def scenario(fleet):
        client = FaultyBalancer(fleet).client()
        with pytest.raises(ticket_client.RequestRefused):
            await client.send('POST', '/orders', b'x' * 300_000)
        return fleet.ledger.calls

    assert run(scenario, fake_plain_fleet.Shape(vms=2)) == 0


def test_a_lost_answer_is_distinguished_from_a_lost_request():
    async def scenario(fleet):
        client = FaultyBalancer(fleet, ['lost']).client()
        with pytest.raises(ticket_client.AnswerLost):
            await client.send('POST', '/orders', b'x' * 262_140)
        return fleet.ledger.runs(b'x' * 262_140)

    assert run(scenario, fake_plain_fleet.Shape(vms=1, upstreams=1)) == 1
