"""Tests of requests to plain services, sent through `dispatch.Dispatch`."""

import asyncio

from corianderspar import clock
from corianderspar import configuration
from corianderspar import fake_plain
from corianderspar import fake_plain_fleet
from corianderspar import membership


def run(scenario, shape=None, seed=1):
    """Run a scenario on a started fleet and return its result."""

    async def main():
        fleet = fake_plain_fleet.Fleet(seed, shape)
        await fleet.start()
        result = await scenario(fleet)
        await fleet.stop()
        return result

    return clock.run_virtual(main())


def always(fault):
    return lambda call: fault


def only_once(fault):
    faults = [fault]
    return lambda call: faults.pop() if faults else ''


def fill_budget(fleet, vm='vm0'):
    fleet.dispatch(vm).retrier.budget.balance = 10.0


def test_idempotent_request_is_answered():
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


def test_other_data_centre_is_used_if_own_has_no_upstream():
    async def scenario(fleet):
        config = fleet.apps_by_vm['vm0'].find(
            'configuration', configuration.Configuration
        )
        config.adopt(fleet.catalogue(2, ('desk0', 'desk2')))
        await fleet.call('vm0', fleet.request(b'a', True))
        return fleet.ledger.executions[0].upstream

    assert run(scenario) in ('desk1', 'desk3')


def test_requests_to_empty_pool_are_not_run():
    async def scenario(fleet):
        config = fleet.apps_by_vm['vm0'].find(
            'configuration', configuration.Configuration
        )
        config.adopt(fleet.catalogue(2, tuple(fleet.services_by_name)))
        idempotent = await fleet.call('vm0', fleet.request(b'a', True))
        non_idempotent = await fleet.call('vm0', fleet.request(b'b'))
        return idempotent.error, non_idempotent.error, fleet.ledger.calls

    idempotent, non_idempotent, calls = run(scenario)
    assert (idempotent.code, idempotent.ran, calls) == ('no_upstream', 'no', 0)
    assert (non_idempotent.code, non_idempotent.ran) == ('no_upstream', 'no')
    assert non_idempotent.retry_after is not None


def test_idempotent_request_is_retried_at_another_upstream():
    async def scenario(fleet):
        fill_budget(fleet)
        fleet.set_fault(only_once('die_after'))
        outcome = await fleet.call('vm0', fleet.request(b'a', True))
        return outcome, fleet.ledger.executions

    outcome, executions = run(scenario)
    assert outcome.ok.status == 200
    assert len({run.upstream for run in executions}) == 2


def test_non_idempotent_request_is_never_retried_after_it_was_sent():
    async def scenario(fleet):
        seen = []
        for fault in fake_plain.FAULTS:
            fill_budget(fleet)
            fleet.set_fault(always(fault))
            body = fault.encode()
            outcome = await fleet.call('vm0', fleet.request(body))
            sent_count = fleet.ledger.handed_by_body[body]
            runs = fleet.ledger.runs(body)
            seen.append((fault, sent_count, runs, outcome))
            await asyncio.sleep(60)
        return seen

    for fault, sent_count, runs, outcome in run(scenario):
        assert sent_count <= 1, fault
        if outcome.is_error() and outcome.error.ran == 'no':
            assert runs == 0, fault
        if outcome.is_error() and runs:
            assert outcome.error.ran == 'unknown', fault


def test_non_idempotent_request_is_retried_after_refused_connection():
    async def scenario(fleet):
        fleet.set_fault(only_once('refuse'))
        outcome = await fleet.call('vm0', fleet.request(b'a'))
        return outcome, fleet.ledger

    outcome, ledger = run(scenario)
    assert outcome.ok.status == 200
    assert (ledger.calls, ledger.handed_by_body[b'a']) == (2, 1)


def test_reply_to_another_request_is_not_passed_on():
    async def scenario(fleet):
        fill_budget(fleet)
        for name in fleet.services_by_name:
            fleet.services_by_name[name].fault = always('')
        await fleet.call('vm0', fleet.request(b'other', True))
        fleet.set_fault(always('crossed'))
        idempotent = await fleet.call('vm0', fleet.request(b'a', True))
        non_idempotent = await fleet.call('vm0', fleet.request(b'b'))
        return idempotent, non_idempotent

    idempotent, non_idempotent = run(scenario)
    assert (idempotent.error.code, idempotent.error.ran) == (
        'upstream_died',
        'unknown',
    )
    assert non_idempotent.error.ran == 'unknown'


def test_poison_request_crashes_at_most_two_upstreams():
    async def scenario(fleet):
        fill_budget(fleet)
        fleet.set_fault(lambda call: 'crash' if call.body == b'poison' else '')
        outcome = await fleet.call('vm0', fleet.request(b'poison', True))
        return outcome, fleet.ledger.runs(b'poison')

    outcome, runs = run(scenario)
    assert outcome.error.ran == 'unknown'
    assert runs == 2


def test_final_failure_is_reported_without_delay():
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


def test_reply_after_deadline_is_dropped_and_ran_is_unknown():
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


def test_remaining_time_is_passed_to_the_upstream():
    async def scenario(fleet):
        timeouts = []

        def record(call):
            timeouts.append(call.timeout)
            return 'die_before' if len(timeouts) == 1 else ''

        fill_budget(fleet)
        for service in fleet.services_by_name.values():
            service.fault = record
        await fleet.call('vm0', fleet.request(b'a', True, timeout=3.0))
        return timeouts

    first, second = run(scenario)
    assert second < first <= 3.0


def test_request_after_its_deadline_is_not_run():
    async def scenario(fleet):
        non_idempotent = await fleet.call(
            'vm0', fleet.request(b'a', timeout=0.0)
        )
        return non_idempotent, fleet.ledger.calls

    outcome, calls = run(scenario)
    assert (outcome.error.ran, calls) == ('no', 0)


def test_credentials_and_local_headers_are_not_forwarded():
    async def scenario(fleet):
        seen = []

        def record(call):
            seen.append(call.headers)
            return ''

        fleet.set_fault(record)
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


def test_all_daemons_avoid_a_leaving_upstream_within_3_s():
    async def scenario(fleet):
        service = fleet.services_by_name['desk0']
        service.leaving = True
        for _number in range(20):
            await fleet.call('vm0', fleet.request(b'first', True))
        before = fleet.ledger.calls
        await asyncio.sleep(3.0)
        has_section = []
        for vm in fleet.vms:
            section = fleet.dispatch(vm).selector.provide_leaving('')
            has_section.append(section is not None)
        seen = []
        fleet.set_fault(lambda call: seen.append(call) or '')
        for number in range(40):
            vm = fleet.vms[number % len(fleet.vms)]
            await fleet.call(vm, fleet.request(b'%d' % number, True))
        runs = fleet.ledger.runs_by_body()
        upstreams = {run.upstream for run in fleet.ledger.executions}
        return before, has_section, len(seen), len(runs), upstreams

    _before, has_section, sent_count, _runs, upstreams = run(
        scenario, fake_plain_fleet.Shape(vms=9, upstreams=6, data_centres=3)
    )
    assert all(has_section)
    assert sent_count == 40
    assert 'desk0' not in upstreams


def test_leaving_state_expires():
    async def scenario(fleet):
        for vm in fleet.vms:
            fleet.dispatch(vm).selector.mark_leaving('desk0')
        await asyncio.sleep(40)
        return [
            fleet.dispatch(vm).selector.provide_leaving('') for vm in fleet.vms
        ]

    assert run(scenario) == [None] * 4


def test_non_idempotent_request_is_not_retried_if_upstream_leaves():
    async def scenario(fleet):
        fleet.set_fault(always('leaving'))
        outcome = await fleet.call('vm0', fleet.request(b'a'))
        return outcome, fleet.ledger

    outcome, ledger = run(scenario)
    assert (outcome.error.ran, ledger.runs(b'a')) == ('no', 0)
    assert ledger.handed_by_body[b'a'] == 1


def test_upstream_removed_from_catalogue_is_dropped():
    async def scenario(fleet):
        config = fleet.apps_by_vm['vm0'].find(
            'configuration', configuration.Configuration
        )
        document = fleet.catalogue(2)
        del document.upstreams_by_name['desk0']
        config.adopt(document)
        selector = fleet.dispatch('vm0').selector
        return selector.client('desk0'), selector.mark_leaving('desk0')

    assert run(scenario) == (None, False)


def test_invalid_leaving_section_is_ignored():
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
