"""Tests that a request with a ticket runs at most once under failures."""

import asyncio

from corianderspar import configuration
from corianderspar import fake_plain_fleet
from corianderspar import peers
from corianderspar import plain_client
from corianderspar import ticket_records
from corianderspar import tickets
from tests.test_dispatch import always
from tests.test_dispatch import run


def send(fleet, vm, ticket, body=b'order', timeout=5.0):
    request = fleet.request(body, ticket=ticket, timeout=timeout)
    return fleet.call(vm, request)


def adopt(fleet, vm, document):
    app = fleet.apps_by_vm[vm]
    found = app.find('configuration', configuration.Configuration)
    found.adopt(document)


def shape_with_limits(**limits):
    return fake_plain_fleet.Shape(limits=ticket_records.Limits(**limits))


def test_every_daemon_returns_the_recorded_answer():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        seen = [await send(fleet, vm, ticket) for vm in fleet.vms * 2]
        return seen, fleet.ledger.runs(b'order')

    seen, runs = run(scenario)
    assert runs == 1
    assert len({outcome.ok for outcome in seen}) == 1


def test_concurrent_copies_share_one_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm2')
        copies = [send(fleet, vm, ticket) for vm in fleet.vms * 5]
        seen = await asyncio.gather(*copies)
        return seen, fleet.ledger.runs(b'order')

    seen, runs = run(scenario)
    assert runs == 1
    assert len({outcome.ok for outcome in seen}) == 1


def test_an_unknown_outcome_is_recorded():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.set_fault(always('die_after'))
        first = await send(fleet, 'vm0', ticket)
        fleet.set_fault(always(''))
        second = await send(fleet, 'vm1', ticket)
        return first.error, second.error, fleet.ledger.runs(b'order')

    first, second, runs = run(scenario)
    assert first == second
    assert (first.ran, runs) == ('unknown', 1)


def test_not_run_is_final_and_includes_a_new_ticket():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        adopt(fleet, 'vm0', fleet.catalogue(2, tuple(fleet.services_by_name)))
        refused = await send(fleet, 'vm0', ticket)
        adopt(fleet, 'vm0', fleet.catalogue(3))
        late_copy = await send(fleet, 'vm1', ticket)
        before = fleet.ledger.runs(b'order')
        again = await send(fleet, 'vm1', refused.error.ticket)
        return refused, late_copy, before, again, fleet.ledger

    refused, late_copy, before, again, ledger = run(scenario)
    assert refused.error.ran == 'no'
    assert late_copy == refused
    assert before == 0
    assert again.ok.status == 200
    assert ledger.runs(b'order') == 1


def test_a_dead_issuer_gives_an_unknown_outcome_and_no_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await fleet.kill('vm0')
        silent = await send(fleet, 'vm1', ticket, timeout=2.0)
        await fleet.start_vm('vm0')
        await asyncio.sleep(3)
        gone = [await send(fleet, vm, ticket) for vm in ('vm0', 'vm1')]
        return silent, gone, fleet.ledger.runs(b'order')

    silent, gone, runs = run(scenario)
    assert (silent.error.code, silent.error.ran) == ('home_silent', 'unknown')
    assert {(one.error.code, one.error.ran) for one in gone} == {
        ('home_gone', 'unknown')
    }
    assert runs == 0


def test_a_waiting_request_notices_a_restarted_issuer():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.set_fault(always('late'))
        waiting = asyncio.create_task(send(fleet, 'vm1', ticket, timeout=60.0))
        await asyncio.sleep(1)
        await fleet.kill('vm0')
        await fleet.start_vm('vm0')
        since = asyncio.get_running_loop().time()
        outcome = await waiting
        seconds = asyncio.get_running_loop().time() - since
        return outcome, seconds, fleet.ledger.runs(b'order')

    outcome, seconds, runs = run(scenario)
    assert outcome.error.ran == 'unknown'
    assert runs == 1
    assert seconds < 3


def test_a_forward_to_a_new_incarnation_is_not_reported_as_invalid():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await send(fleet, 'vm0', ticket)
        await fleet.kill('vm0')
        await fleet.start_vm('vm0')
        await asyncio.sleep(3)
        # In other data centres, only relays receive the issuer's heartbeats.
        seen = [
            (await send(fleet, vm, ticket)).error
            for vm in ('vm1', 'vm3', 'vm5')
        ]
        return seen, fleet.ledger.runs(b'order')

    seen, runs = run(scenario, fake_plain_fleet.Shape(vms=6))
    assert runs == 1
    for error in seen:
        assert (error.code, error.ran) == ('home_gone', 'unknown')


def test_a_forward_to_a_paused_issuer_runs_once():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.clocks_by_vm['vm0'].pause()
        seen = [
            await send(fleet, vm, ticket, timeout=1.0)
            for vm in ('vm1', 'vm2', 'vm3')
        ]
        fleet.clocks_by_vm['vm0'].resume()
        await asyncio.sleep(5)
        last = await send(fleet, 'vm3', ticket)
        return seen, last, fleet.ledger.runs(b'order')

    seen, last, runs = run(scenario)
    assert {outcome.error.ran for outcome in seen} == {'unknown'}
    assert last.ok.status == 200
    assert runs == 1


def test_a_pause_between_check_and_send_runs_once():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        first = asyncio.create_task(send(fleet, 'vm0', ticket, timeout=2.0))
        await asyncio.sleep(0.0001)
        fleet.clocks_by_vm['vm0'].pause()
        outcome = await first
        before = fleet.ledger.runs(b'order')
        fleet.clocks_by_vm['vm0'].resume()
        await asyncio.sleep(1)
        again = await send(fleet, 'vm1', ticket)
        return outcome, before, again, fleet.ledger.runs(b'order')

    outcome, before, again, runs = run(scenario)
    assert (before, runs) == (0, 1)
    assert outcome.error.ran == 'unknown'
    assert again.error.ran == 'unknown'


def test_no_request_of_a_partitioned_issuer_is_reported_as_not_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await send(fleet, 'vm0', ticket)
        fleet.network.partition({'vm0', 'vm2'}, {'vm1', 'vm3'})
        partitioned = await send(fleet, 'vm1', ticket, timeout=1.0)
        fleet.network.heal()
        return partitioned, await send(fleet, 'vm1', ticket)

    partitioned, healed = run(scenario)
    assert partitioned.error.ran == 'unknown'
    assert healed.ok.status == 200


def test_a_lost_forward_is_resent_and_runs_once():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.network.partition({'vm0'}, {'vm1'})
        waiting = asyncio.create_task(send(fleet, 'vm1', ticket))
        await asyncio.sleep(1.5)
        fleet.network.heal()
        outcome = await waiting
        return outcome, fleet.ledger.runs(b'order')

    outcome, runs = run(scenario)
    assert outcome.ok.status == 200
    assert runs == 1


def test_a_slow_request_is_forwarded_again_and_runs_once():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        for service in fleet.services_by_name.values():
            service.work = lambda: 8.0
        outcome = await send(fleet, 'vm1', ticket, timeout=10.0)
        return outcome, fleet.ledger.runs(b'order')

    outcome, runs = run(scenario)
    assert outcome.ok.status == 200
    assert runs == 1


def test_a_disconnected_caller_does_not_stop_its_request():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        task = asyncio.create_task(send(fleet, 'vm0', ticket))
        await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.sleep(1)
        return await send(fleet, 'vm1', ticket), fleet.ledger.runs(b'order')

    outcome, runs = run(scenario)
    assert outcome.ok.status == 200
    assert runs == 1


def test_a_ticket_is_valid_for_one_request_account_and_route():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        request = fleet.request(b'order', ticket=ticket)
        other_account = await fleet.call(
            'vm0', request._replace(account='other')
        )
        other_route = await fleet.call('vm1', request._replace(route='other'))
        await send(fleet, 'vm0', ticket)
        other_body = await send(fleet, 'vm0', ticket, b'another order')
        bad_signature = await send(fleet, 'vm1', ticket[:-4] + 'AAAA')
        return [
            one.error
            for one in (other_account, other_route, other_body, bad_signature)
        ]

    other_account, other_route, other_body, bad_signature = run(scenario)
    assert (other_account.code, other_account.ran) == (
        'ticket_mismatch',
        'unknown',
    )
    assert (other_route.code, other_route.ran) == (
        'ticket_mismatch',
        'unknown',
    )
    assert (other_body.code, other_body.ran) == ('ticket_reused', 'yes')
    assert bad_signature.code == 'ticket_invalid'


def test_a_route_renamed_after_the_run_is_not_reported_as_not_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        request = fleet.request(b'order', ticket=ticket)
        await fleet.call('vm0', request)
        renamed = await fleet.call('vm1', request._replace(route='renamed'))
        return renamed.error.ran, fleet.ledger.runs(b'order')

    assert run(scenario) == ('unknown', 1)


def test_an_idempotency_key_without_a_ticket_gets_a_ticket():
    async def scenario(fleet):
        request = fleet.request(b'order')._replace(idempotency_key='k1')
        refused = await fleet.call('vm1', request)
        calls_before = fleet.ledger.calls
        ticket = refused.error.ticket
        accepted = await fleet.call('vm2', request._replace(ticket=ticket))
        return refused.error, calls_before, accepted

    refused, calls_before, accepted = run(scenario)
    assert (refused.status, refused.code) == (428, 'ticket_required')
    assert (refused.ran, calls_before) == ('no', 0)
    assert accepted.ok.status == 200


def test_an_expired_ticket_is_refused_and_later_removed():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await asyncio.sleep(ticket_records.LIFETIME_SECONDS)
        old = await send(fleet, 'vm1', ticket)
        again = await send(fleet, 'vm1', ticket)
        await asyncio.sleep(ticket_records.RETENTION_SECONDS + 1)
        forgotten = await send(fleet, 'vm1', ticket)
        return old, again, forgotten.error, fleet.ledger.runs(b'order')

    old, again, forgotten, runs = run(scenario)
    assert (old.error.code, old.error.ran) == ('ticket_expired', 'no')
    assert old == again
    assert old.error.ticket
    assert (forgotten.code, forgotten.ran) == ('ticket_expired', 'unknown')
    assert runs == 0


def test_a_request_with_a_removed_record_is_refused_and_not_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await send(fleet, 'vm0', ticket)
        await asyncio.sleep(ticket_records.RETENTION_SECONDS + 1)
        seen = await send(fleet, 'vm0', ticket)
        return seen.error, fleet.ledger.runs(b'order')

    error, runs = run(scenario)
    assert (error.code, error.ran, runs) == ('ticket_expired', 'unknown', 1)


def test_requests_with_dropped_answers_are_reported_as_run():
    async def scenario(fleet):
        held = []
        for number in range(4):
            ticket = await fleet.ticket('vm0')
            body = b'order %d' % number
            held.append((ticket, body))
            await send(fleet, 'vm0', ticket, body)
        seen = [await send(fleet, 'vm1', *pair) for pair in held]
        return seen, fleet.dispatch('vm0').executor.records.kept_bytes

    seen, kept_bytes = run(scenario, shape_with_limits(max_total_bytes=160))
    dropped, kept = seen[0], seen[-1]
    assert (dropped.error.code, dropped.error.ran) == ('answer_dropped', 'yes')
    assert kept.ok.status == 200
    assert 0 < kept_bytes <= 160


def test_no_ticket_is_issued_beyond_the_record_limit():
    async def scenario(fleet):
        executor = fleet.dispatch('vm0').executor
        held = [executor.issue(f'a{n}', 'orders') for n in range(12)]
        mine = [executor.issue('mine', 'orders') for n in range(12)]
        return held, mine, len(executor.records)

    held, mine, records = run(scenario, shape_with_limits(max_records=10))
    assert held.count('') == 2
    assert (mine.count(''), records) == (12, 10)


def test_one_account_cannot_hold_all_records():
    async def scenario(fleet):
        executor = fleet.dispatch('vm0').executor
        greedy = [executor.issue('greedy', 'orders') for n in range(12)]
        return greedy.count(''), bool(executor.issue('other', 'orders'))

    assert run(scenario, shape_with_limits(max_records=10)) == (7, True)


def test_a_daemon_without_capacity_gets_a_ticket_from_a_peer():
    async def scenario(fleet):
        while fleet.dispatch('vm0').executor.issue(
            fake_plain_fleet.ACCOUNT, 'orders'
        ):
            pass
        ticket = await fleet.ticket('vm0')
        return tickets.parse(ticket).incarnation

    assert run(scenario, shape_with_limits(max_records=10)).startswith('vm2/')


def test_no_daemon_has_capacity_for_a_ticket():
    async def scenario(fleet):
        issued = await fleet.dispatch('vm0').issue_ticket('a', 'orders')
        return issued.error

    error = run(scenario, shape_with_limits(max_records=0))
    assert (error.code, error.status, error.ran) == (
        'tickets_exhausted',
        503,
        'no',
    )


def test_long_bodies_and_answers_are_not_forwarded():
    async def scenario(fleet):
        long_body = b'x' * (256 * 1024 + 1)
        ticket = await fleet.ticket('vm0')
        body = await send(fleet, 'vm1', ticket, long_body)
        calls_before = fleet.ledger.calls
        almost = long_body[:-10]
        answer = await send(fleet, 'vm1', ticket, almost)
        again = await send(fleet, 'vm0', ticket, almost)
        return body.error, calls_before, answer.error, again.error

    body, calls_before, answer, again = run(scenario)
    assert (body.code, body.ran, calls_before) == (
        'request_too_large',
        'no',
        0,
    )
    assert (answer.code, answer.ran) == ('answer_too_large', 'yes')
    assert (again.code, again.ran) == ('answer_dropped', 'yes')


def test_a_reply_for_an_older_incarnation_is_ignored():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        service = fleet.apps_by_vm['vm1'].find('peers', peers.Peers)
        forwarder = fleet.dispatch('vm0').forwarder
        original = forwarder._on_forward_request

        async def reply_for_other_request(sender, message):
            reply = await original(sender, message)
            return reply._replace(request_id='of an older incarnation')

        target = fleet.apps_by_vm['vm0'].find('peers', peers.Peers)
        target._handlers_by_kind['once.forward'] = reply_for_other_request
        outcome = await send(fleet, 'vm1', ticket)
        return outcome.error, service

    error, _service = run(scenario)
    assert error.ran == 'unknown'


def test_too_many_forwards_give_an_unknown_outcome():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.dispatch('vm0').forwarder.running_count = 10_000
        outcome = await send(fleet, 'vm1', ticket)
        return outcome.error, fleet.ledger.calls

    error, calls = run(scenario)
    assert (error.code, error.ran, calls) == ('overloaded', 'unknown', 0)


def test_an_exception_in_a_client_counts_as_sent():
    class RaisingClient:
        async def send(self, call):
            raise RuntimeError('bug')

    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        selector = fleet.dispatch('vm0').selector
        for name in fleet.services_by_name:
            selector._clients_by_name[name] = RaisingClient()
        return await send(fleet, 'vm0', ticket)

    assert run(scenario).error.ran == 'unknown'


def test_reply_bytes_counts_headers():
    reply = plain_client.PlainReply(200, (('a', 'b'),), b'body')
    assert ticket_records.reply_bytes(reply) == 6
