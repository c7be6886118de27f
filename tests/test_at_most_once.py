"""Tests of requests with tickets: run at most once, whatever fails."""

import asyncio

from corianderspar import configuration
from corianderspar import fake_plain_fleet
from corianderspar import peers
from corianderspar import plain_client
from corianderspar import ticket_records
from corianderspar import tickets
from tests.test_dispatch import always
from tests.test_dispatch import run


def present(fleet, vm, ticket, body=b'order', timeout=5.0):
    request = fleet.request(body, ticket=ticket, timeout=timeout)
    return fleet.call(vm, request)


def adopt(fleet, vm, document):
    app = fleet.apps_by_vm[vm]
    found = app.find('configuration', configuration.Configuration)
    found.adopt(document)


def small(**limits):
    return fake_plain_fleet.Shape(limits=ticket_records.Limits(**limits))


def test_every_daemon_gives_the_recorded_answer():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        seen = [await present(fleet, vm, ticket) for vm in fleet.vms * 2]
        return seen, fleet.ledger.runs(b'order')

    seen, runs = run(scenario)
    assert runs == 1
    assert len({outcome.ok for outcome in seen}) == 1


def test_copies_sent_at_once_share_one_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm2')
        copies = [present(fleet, vm, ticket) for vm in fleet.vms * 5]
        seen = await asyncio.gather(*copies)
        return seen, fleet.ledger.runs(b'order')

    seen, runs = run(scenario)
    assert runs == 1
    assert len({outcome.ok for outcome in seen}) == 1


def test_an_unknown_end_stays_the_recorded_one():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.set_fault(always('die_after'))
        first = await present(fleet, 'vm0', ticket)
        fleet.set_fault(always(''))
        second = await present(fleet, 'vm1', ticket)
        return first.error, second.error, fleet.ledger.runs(b'order')

    first, second, runs = run(scenario)
    assert first == second
    assert (first.ran, runs) == ('unknown', 1)


def test_not_run_is_final_and_brings_a_fresh_ticket():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        adopt(fleet, 'vm0', fleet.catalogue(2, tuple(fleet.services_by_name)))
        refused = await present(fleet, 'vm0', ticket)
        adopt(fleet, 'vm0', fleet.catalogue(3))
        late_copy = await present(fleet, 'vm1', ticket)
        before = fleet.ledger.runs(b'order')
        again = await present(fleet, 'vm1', refused.error.ticket)
        return refused, late_copy, before, again, fleet.ledger

    refused, late_copy, before, again, ledger = run(scenario)
    assert refused.error.ran == 'no'
    assert late_copy == refused
    assert before == 0
    assert again.ok.status == 200
    assert ledger.runs(b'order') == 1


def test_a_dead_home_leaves_the_end_unknown_and_runs_nothing():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await fleet.kill('vm0')
        silent = await present(fleet, 'vm1', ticket, timeout=2.0)
        await fleet.start_vm('vm0')
        await asyncio.sleep(3)
        gone = [await present(fleet, vm, ticket) for vm in ('vm0', 'vm1')]
        return silent, gone, fleet.ledger.runs(b'order')

    silent, gone, runs = run(scenario)
    assert (silent.error.code, silent.error.ran) == ('home_silent', 'unknown')
    assert {(one.error.code, one.error.ran) for one in gone} == {
        ('home_gone', 'unknown')
    }
    assert runs == 0


def test_a_restarted_home_is_told_at_once_while_waiting():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.set_fault(always('late'))
        waiting = asyncio.create_task(
            present(fleet, 'vm1', ticket, timeout=60.0)
        )
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


def test_a_forward_that_reaches_a_new_incarnation_is_not_called_invalid():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await present(fleet, 'vm0', ticket)
        await fleet.kill('vm0')
        await fleet.start_vm('vm0')
        await asyncio.sleep(3)
        # Of another data centre only the relays hear heartbeats.
        seen = [
            (await present(fleet, vm, ticket)).error
            for vm in ('vm1', 'vm3', 'vm5')
        ]
        return seen, fleet.ledger.runs(b'order')

    seen, runs = run(scenario, fake_plain_fleet.Shape(vms=6))
    assert runs == 1
    for error in seen:
        assert (error.code, error.ran) == ('home_gone', 'unknown')


def test_a_forward_that_waited_in_a_paused_home_runs_once():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.clocks_by_vm['vm0'].pause()
        seen = [
            await present(fleet, vm, ticket, timeout=1.0)
            for vm in ('vm1', 'vm2', 'vm3')
        ]
        fleet.clocks_by_vm['vm0'].resume()
        await asyncio.sleep(5)
        last = await present(fleet, 'vm3', ticket)
        return seen, last, fleet.ledger.runs(b'order')

    seen, last, runs = run(scenario)
    assert {outcome.error.ran for outcome in seen} == {'unknown'}
    assert last.ok.status == 200
    assert runs == 1


def test_a_pause_between_check_and_send_runs_once():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        first = asyncio.create_task(present(fleet, 'vm0', ticket, timeout=2.0))
        await asyncio.sleep(0.0001)
        fleet.clocks_by_vm['vm0'].pause()
        outcome = await first
        before = fleet.ledger.runs(b'order')
        fleet.clocks_by_vm['vm0'].resume()
        await asyncio.sleep(1)
        again = await present(fleet, 'vm1', ticket)
        return outcome, before, again, fleet.ledger.runs(b'order')

    outcome, before, again, runs = run(scenario)
    assert (before, runs) == (0, 1)
    assert outcome.error.ran == 'unknown'
    assert again.error.ran == 'unknown'


def test_a_partitioned_home_is_never_said_not_to_have_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await present(fleet, 'vm0', ticket)
        fleet.network.partition({'vm0', 'vm2'}, {'vm1', 'vm3'})
        cut = await present(fleet, 'vm1', ticket, timeout=1.0)
        fleet.network.heal()
        return cut, await present(fleet, 'vm1', ticket)

    cut, healed = run(scenario)
    assert cut.error.ran == 'unknown'
    assert healed.ok.status == 200


def test_a_lost_forward_is_sent_again_and_runs_once():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.network.partition({'vm0'}, {'vm1'})
        waiting = asyncio.create_task(present(fleet, 'vm1', ticket))
        await asyncio.sleep(1.5)
        fleet.network.heal()
        outcome = await waiting
        return outcome, fleet.ledger.runs(b'order')

    outcome, runs = run(scenario)
    assert outcome.ok.status == 200
    assert runs == 1


def test_a_slow_order_is_asked_for_again_and_runs_once():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        for service in fleet.services_by_name.values():
            service.work = lambda: 8.0
        outcome = await present(fleet, 'vm1', ticket, timeout=10.0)
        return outcome, fleet.ledger.runs(b'order')

    outcome, runs = run(scenario)
    assert outcome.ok.status == 200
    assert runs == 1


def test_a_gone_caller_does_not_stop_its_order():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        task = asyncio.create_task(present(fleet, 'vm0', ticket))
        await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.sleep(1)
        return await present(fleet, 'vm1', ticket), fleet.ledger.runs(b'order')

    outcome, runs = run(scenario)
    assert outcome.ok.status == 200
    assert runs == 1


def test_a_ticket_is_for_one_request_account_and_route():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        other = fleet.request(b'order', ticket=ticket)
        stolen = await fleet.call('vm0', other._replace(account='other'))
        moved = await fleet.call('vm1', other._replace(route='other'))
        await present(fleet, 'vm0', ticket)
        changed = await present(fleet, 'vm0', ticket, b'another order')
        forged = await present(fleet, 'vm1', ticket[:-4] + 'AAAA')
        return [one.error for one in (stolen, moved, changed, forged)]

    stolen, moved, changed, forged = run(scenario)
    assert (stolen.code, stolen.ran) == ('ticket_mismatch', 'unknown')
    assert (moved.code, moved.ran) == ('ticket_mismatch', 'unknown')
    assert (changed.code, changed.ran) == ('ticket_reused', 'yes')
    assert forged.code == 'ticket_invalid'


def test_a_route_renamed_after_the_run_is_no_not_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        request = fleet.request(b'order', ticket=ticket)
        await fleet.call('vm0', request)
        renamed = await fleet.call('vm1', request._replace(route='renamed'))
        return renamed.error.ran, fleet.ledger.runs(b'order')

    assert run(scenario) == ('unknown', 1)


def test_a_key_without_a_ticket_is_given_one():
    async def scenario(fleet):
        request = fleet.request(b'order')._replace(idempotency_key='k1')
        refused = await fleet.call('vm1', request)
        handed = fleet.ledger.calls
        ticket = refused.error.ticket
        accepted = await fleet.call('vm2', request._replace(ticket=ticket))
        return refused.error, handed, accepted

    refused, handed, accepted = run(scenario)
    assert (refused.status, refused.code) == (428, 'ticket_required')
    assert (refused.ran, handed) == ('no', 0)
    assert accepted.ok.status == 200


def test_an_old_ticket_is_refused_and_then_forgotten():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await asyncio.sleep(ticket_records.LIFETIME_SECONDS)
        old = await present(fleet, 'vm1', ticket)
        again = await present(fleet, 'vm1', ticket)
        await asyncio.sleep(ticket_records.RETENTION_SECONDS + 1)
        forgotten = await present(fleet, 'vm1', ticket)
        return old, again, forgotten.error, fleet.ledger.runs(b'order')

    old, again, forgotten, runs = run(scenario)
    assert (old.error.code, old.error.ran) == ('ticket_expired', 'no')
    assert old == again
    assert old.error.ticket
    assert (forgotten.code, forgotten.ran) == ('ticket_expired', 'unknown')
    assert runs == 0


def test_what_fell_out_is_refused_and_never_run():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        await present(fleet, 'vm0', ticket)
        await asyncio.sleep(ticket_records.RETENTION_SECONDS + 1)
        seen = await present(fleet, 'vm0', ticket)
        return seen.error, fleet.ledger.runs(b'order')

    error, runs = run(scenario)
    assert (error.code, error.ran, runs) == ('ticket_expired', 'unknown', 1)


def test_dropped_answers_are_said_to_have_run():
    async def scenario(fleet):
        held = []
        for number in range(4):
            ticket = await fleet.ticket('vm0')
            body = b'order %d' % number
            held.append((ticket, body))
            await present(fleet, 'vm0', ticket, body)
        seen = [await present(fleet, 'vm1', *pair) for pair in held]
        return seen, fleet.dispatch('vm0').once.records.kept_bytes

    seen, kept_bytes = run(scenario, small(max_total_bytes=160))
    dropped, kept = seen[0], seen[-1]
    assert (dropped.error.code, dropped.error.ran) == ('answer_dropped', 'yes')
    assert kept.ok.status == 200
    assert 0 < kept_bytes <= 160


def test_no_ticket_is_issued_beyond_the_records():
    async def scenario(fleet):
        once = fleet.dispatch('vm0').once
        held = [once.issue(f'a{n}', 'orders') for n in range(12)]
        mine = [once.issue('mine', 'orders') for n in range(12)]
        return held, mine, len(once.records)

    held, mine, records = run(scenario, small(max_records=10))
    assert held.count('') == 2
    assert (mine.count(''), records) == (12, 10)


def test_one_account_can_not_hold_all_records():
    async def scenario(fleet):
        once = fleet.dispatch('vm0').once
        greedy = [once.issue('greedy', 'orders') for n in range(12)]
        return greedy.count(''), bool(once.issue('other', 'orders'))

    assert run(scenario, small(max_records=10)) == (7, True)


def test_a_daemon_without_room_asks_a_peer():
    async def scenario(fleet):
        while fleet.dispatch('vm0').once.issue(
            fake_plain_fleet.ACCOUNT, 'orders'
        ):
            pass
        ticket = await fleet.ticket('vm0')
        return tickets.parse(ticket).incarnation

    assert run(scenario, small(max_records=10)).startswith('vm2/')


def test_nobody_has_room_for_a_ticket():
    async def scenario(fleet):
        issued = await fleet.dispatch('vm0').issue_ticket('a', 'orders')
        return issued.error

    error = run(scenario, small(max_records=0))
    assert (error.code, error.status, error.ran) == (
        'tickets_exhausted',
        503,
        'no',
    )


def test_long_bodies_and_answers_are_not_forwarded():
    async def scenario(fleet):
        long_body = b'x' * (256 * 1024 + 1)
        ticket = await fleet.ticket('vm0')
        body = await present(fleet, 'vm1', ticket, long_body)
        handed = fleet.ledger.calls
        almost = long_body[:-10]
        answer = await present(fleet, 'vm1', ticket, almost)
        again = await present(fleet, 'vm0', ticket, almost)
        return body.error, handed, answer.error, again.error

    body, handed, answer, again = run(scenario)
    assert (body.code, body.ran, handed) == ('request_too_large', 'no', 0)
    assert (answer.code, answer.ran) == ('answer_too_large', 'yes')
    assert (again.code, again.ran) == ('answer_dropped', 'yes')


def test_a_reply_meant_for_an_older_incarnation_is_not_taken():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        service = fleet.apps_by_vm['vm1'].find('peers', peers.Peers)
        home = fleet.dispatch('vm0').forwarder
        answered = home._on_forward_request

        async def crossed(sender, message):
            reply = await answered(sender, message)
            return reply._replace(request_id='of an older incarnation')

        target = fleet.apps_by_vm['vm0'].find('peers', peers.Peers)
        target._handlers_by_kind['once.forward'] = crossed
        outcome = await present(fleet, 'vm1', ticket)
        return outcome.error, service

    error, _service = run(scenario)
    assert error.ran == 'unknown'


def test_a_home_with_too_many_forwards_says_unknown():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        fleet.dispatch('vm0').forwarder.running_count = 10_000
        outcome = await present(fleet, 'vm1', ticket)
        return outcome.error, fleet.ledger.calls

    error, calls = run(scenario)
    assert (error.code, error.ran, calls) == ('overloaded', 'unknown', 0)


def test_a_client_that_raises_counts_as_sent():
    class Broken:
        async def send(self, call):
            raise RuntimeError('bug')

    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        selector = fleet.dispatch('vm0').selector
        for name in fleet.services_by_name:
            selector._clients_by_name[name] = Broken()
        return await present(fleet, 'vm0', ticket)

    assert run(scenario).error.ran == 'unknown'


def test_reply_bytes_counts_headers():
    reply = plain_client.PlainReply(200, (('a', 'b'),), b'body')
    assert ticket_records.reply_bytes(reply) == 6
