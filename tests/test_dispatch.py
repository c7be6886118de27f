"""Tests of plain requests from their callers' side."""

import asyncio

from corianderspar import clock
from corianderspar import configuration
from corianderspar import fake_plain
from corianderspar import fake_plain_fleet
from corianderspar import membership


def run(scenario, shape=None, seed=1):
    """Run a scenario on a started fleet and return what it returned."""

    async def main():
        fleet = fake_plain_fleet.Fleet(seed, shape)
        await fleet.start()
        result = await scenario(fleet)
        await fleet.stop()
        return result

    return clock.run_virtual(main())


def always(fault):
    return lambda call: fault


def once_then_none(fault):
    faults = [fault]
    return lambda call: faults.pop() if faults else ''


def earn_budget(fleet, vm='vm0'):
    fleet.dispatch(vm).retrier.budget.balance = 10.0


def test_a_lookup_is_answered():
    async def scenario(fleet):
        return await fleet.call('vm0', fleet.request(b'a', True))

    outcome = run(scenario)
    assert outcome.ok.status == 200
    assert outcome.ok.body.startswith(b'a ran as 0')


def test_own_data_centre_is_preferred():
    async def scenario(fleet):
        for number in range(20):
            await fleet.call('vm0', fleet.request(b'%d' % number, True))
        return {run.upstream for run in fleet.ledger.executions}

    assert run(scenario) == {'desk0', 'desk2'}


def test_another_data_centre_helps_out():
    async def scenario(fleet):
        found = fleet.apps_by_vm['vm0'].find(
            'configuration', configuration.Configuration
        )
        found.adopt(fleet.catalogue(2, ('desk0', 'desk2')))
        await fleet.call('vm0', fleet.request(b'a', True))
        return fleet.ledger.executions[0].upstream

    assert run(scenario) in ('desk1', 'desk3')


def test_an_empty_pool_is_a_true_not_run():
    async def scenario(fleet):
        found = fleet.apps_by_vm['vm0'].find(
            'configuration', configuration.Configuration
        )
        found.adopt(fleet.catalogue(2, tuple(fleet.services_by_name)))
        lookup = await fleet.call('vm0', fleet.request(b'a', True))
        order = await fleet.call('vm0', fleet.request(b'b'))
        return lookup.error, order.error, fleet.ledger.calls

    lookup, order, calls = run(scenario)
    assert (lookup.code, lookup.ran, calls) == ('no_upstream', 'no', 0)
    assert (order.code, order.ran) == ('no_upstream', 'no')
    assert order.retry_after is not None


def test_a_lookup_is_retried_elsewhere():
    async def scenario(fleet):
        earn_budget(fleet)
        fleet.set_fault(once_then_none('die_after'))
        outcome = await fleet.call('vm0', fleet.request(b'a', True))
        return outcome, fleet.ledger.executions

    outcome, executions = run(scenario)
    assert outcome.ok.status == 200
    assert len({run.upstream for run in executions}) == 2


def test_an_order_is_never_retried_after_it_was_sent():
    async def scenario(fleet):
        seen = []
        for fault in fake_plain.FAULTS:
            earn_budget(fleet)
            fleet.set_fault(always(fault))
            body = fault.encode()
            outcome = await fleet.call('vm0', fleet.request(body))
            handed = fleet.ledger.handed_by_body[body]
            runs = fleet.ledger.runs(body)
            seen.append((fault, handed, runs, outcome))
            await asyncio.sleep(60)
        return seen

    for fault, handed, runs, outcome in run(scenario):
        assert handed <= 1, fault
        if outcome.is_error() and outcome.error.ran == 'no':
            assert runs == 0, fault
        if outcome.is_error() and runs:
            assert outcome.error.ran == 'unknown', fault


def test_a_refused_connection_lets_an_order_try_another():
    async def scenario(fleet):
        fleet.set_fault(once_then_none('refuse'))
        outcome = await fleet.call('vm0', fleet.request(b'a'))
        return outcome, fleet.ledger

    outcome, ledger = run(scenario)
    assert outcome.ok.status == 200
    assert (ledger.calls, ledger.handed_by_body[b'a']) == (2, 1)


def test_a_crossed_reply_reaches_nobody():
    async def scenario(fleet):
        earn_budget(fleet)
        for name in fleet.services_by_name:
            fleet.services_by_name[name].fault = always('')
        await fleet.call('vm0', fleet.request(b'other', True))
        fleet.set_fault(always('crossed'))
        lookup = await fleet.call('vm0', fleet.request(b'a', True))
        order = await fleet.call('vm0', fleet.request(b'b'))
        return lookup, order

    lookup, order = run(scenario)
    assert (lookup.error.code, lookup.error.ran) == (
        'upstream_died',
        'unknown',
    )
    assert order.error.ran == 'unknown'


def test_a_request_that_crashes_upstreams_takes_two_at_most():
    async def scenario(fleet):
        earn_budget(fleet)
        fleet.set_fault(lambda call: 'crash' if call.body == b'poison' else '')
        outcome = await fleet.call('vm0', fleet.request(b'poison', True))
        return outcome, fleet.ledger.runs(b'poison')

    outcome, runs = run(scenario)
    assert outcome.error.ran == 'unknown'
    assert runs == 2


def test_giving_up_is_told_at_once():
    async def scenario(fleet):
        fleet.set_fault(always('refuse'))
        loop = asyncio.get_running_loop()
        since = loop.time()
        outcome = await fleet.call(
            'vm0', fleet.request(b'a', True, timeout=60.0)
        )
        return outcome, loop.time() - since

    outcome, seconds = run(scenario)
    assert outcome.error.ran == 'no'
    assert outcome.error.retry_after is not None
    assert seconds < 0.1


def test_a_late_reply_is_dropped_and_the_end_unknown():
    async def scenario(fleet):
        fleet.set_fault(always('late'))
        outcome = await fleet.call('vm0', fleet.request(b'a'))
        await asyncio.sleep(60)
        return outcome, fleet.ledger.runs(b'a')

    outcome, runs = run(scenario)
    assert (outcome.error.code, outcome.error.ran) == (
        'upstream_timeout',
        'unknown',
    )
    assert runs == 1


def test_the_deadline_goes_on_to_the_upstream():
    async def scenario(fleet):
        timeouts = []

        def note(call):
            timeouts.append(call.timeout)
            return 'die_before' if len(timeouts) == 1 else ''

        earn_budget(fleet)
        for service in fleet.services_by_name.values():
            service.fault = note
        await fleet.call('vm0', fleet.request(b'a', True, timeout=3.0))
        return timeouts

    first, second = run(scenario)
    assert second < first <= 3.0


def test_a_passed_deadline_is_not_run():
    async def scenario(fleet):
        order = await fleet.call('vm0', fleet.request(b'a', timeout=0.0))
        return order, fleet.ledger.calls

    outcome, calls = run(scenario)
    assert (outcome.error.ran, calls) == ('no', 0)


def test_keys_and_own_headers_stay_here():
    async def scenario(fleet):
        seen = []

        def note(call):
            seen.append(call.headers)
            return ''

        fleet.set_fault(note)
        request = fleet.request(b'a', True)._replace(
            headers=(
                ('Authorization', 'Bearer secret'),
                ('Corianderspar-Ticket', 'x'),
                ('Accept', 'text/plain'),
            )
        )
        await fleet.call('vm0', request)
        return seen

    assert run(scenario) == [(('Accept', 'text/plain'),)]


def test_a_leaving_upstream_gets_no_new_work_anywhere_within_3_s():
    async def scenario(fleet):
        service = fleet.services_by_name['desk0']
        service.leaving = True
        for _lookup in range(20):
            await fleet.call('vm0', fleet.request(b'first', True))
        before = fleet.ledger.calls
        await asyncio.sleep(3.0)
        told = []
        for vm in fleet.vms:
            marks = fleet.dispatch(vm).selector.provide_leaving('')
            told.append(marks is not None)
        seen = []
        fleet.set_fault(lambda call: seen.append(call) or '')
        for number in range(40):
            vm = fleet.vms[number % len(fleet.vms)]
            await fleet.call(vm, fleet.request(b'%d' % number, True))
        runs = fleet.ledger.runs_by_body()
        upstreams = {run.upstream for run in fleet.ledger.executions}
        return before, told, len(seen), len(runs), upstreams

    _before, told, handed, _runs, upstreams = run(
        scenario, fake_plain_fleet.Shape(vms=9, upstreams=6, data_centres=3)
    )
    assert all(told)
    assert handed == 40
    assert 'desk0' not in upstreams


def test_a_mark_of_leaving_ends_by_itself():
    async def scenario(fleet):
        for vm in fleet.vms:
            fleet.dispatch(vm).selector.mark_leaving('desk0')
        await asyncio.sleep(40)
        return [
            fleet.dispatch(vm).selector.provide_leaving('') for vm in fleet.vms
        ]

    assert run(scenario) == [None] * 4


def test_an_order_is_not_handed_on_by_a_leaving_upstream():
    async def scenario(fleet):
        fleet.set_fault(always('leaving'))
        outcome = await fleet.call('vm0', fleet.request(b'a'))
        return outcome, fleet.ledger

    outcome, ledger = run(scenario)
    assert (outcome.error.ran, ledger.runs(b'a')) == ('no', 0)
    assert ledger.handed_by_body[b'a'] == 1


def test_an_upstream_that_left_the_catalogue_is_forgotten():
    async def scenario(fleet):
        found = fleet.apps_by_vm['vm0'].find(
            'configuration', configuration.Configuration
        )
        document = fleet.catalogue(2)
        del document.upstreams_by_name['desk0']
        found.adopt(document)
        selector = fleet.dispatch('vm0').selector
        return selector.client('desk0'), selector.mark_leaving('desk0')

    assert run(scenario) == (None, False)


def test_nonsense_marks_are_ignored():
    async def scenario(fleet):
        view = fleet.apps_by_vm['vm0'].find(
            'membership', membership.Membership
        )
        selector = fleet.dispatch('vm0').selector
        assert view is not None
        return selector.accept_leaving(b'\xc1'), selector.accept_leaving(
            b'\x93\x01'
        )

    assert run(scenario) == (False, False)
