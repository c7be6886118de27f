"""Tests of the graceful shutdown."""

import asyncio

from corianderspar import drain
from corianderspar import fake_plain_fleet
from corianderspar import membership
from corianderspar import tickets
from tests.test_dispatch import run

SETTINGS = drain.Settings(
    balancer_seconds=2.0, replay_seconds=3.0, timeout_seconds=60.0
)
NINE_VMS = fake_plain_fleet.Shape(9, 6, 3, shutdown=SETTINGS)


def find_drain(fleet, vm):
    return fleet.apps_by_vm[vm].find('drain', drain.Drain)


def test_a_second_signal_reports_unfinished_work():
    async def scenario(fleet):
        drain_service = find_drain(fleet, 'vm0')
        with drain_service.inflight.track('r1', 'orders'):
            first = drain_service.request_shutdown()
            await asyncio.sleep(10)
            second = drain_service.request_shutdown()
            early = drain_service.phase
        await asyncio.wait_for(drain_service.wait(), 10)
        return first, second, early, drain_service.phase, drain_service.ready

    first, second, early, late, ready = run(scenario, NINE_VMS)
    assert first[0] == 'phase=serving'
    assert second[0] == 'phase=finishing'
    assert second[1].startswith('request=r1 route=orders seconds=')
    assert (early, late, ready) == ('finishing', 'done', False)


def test_a_drain_ends_at_its_timeout():
    async def scenario(fleet):
        drain_service = find_drain(fleet, 'vm0')
        with drain_service.inflight.track('r1'):
            return await drain_service.drain()

    assert run(scenario, NINE_VMS) is False


def test_handoff_precedes_the_announcement_to_peers():
    async def scenario(fleet):
        drain_service = find_drain(fleet, 'vm0')
        members = fleet.apps_by_vm['vm0'].find(
            'membership', membership.Membership
        )
        seen = []

        async def hook():
            seen.append(members.leaving)

        busy = [3, 2, 1, 0]
        drain_service.pending_counts.append(
            lambda: busy.pop(0) if len(busy) > 1 else 0
        )
        drain_service.handoff_hooks.append(hook)
        assert await drain_service.drain()
        return seen, members.leaving, len(busy)

    assert run(scenario, NINE_VMS) == ([False], True, 1)


def test_a_ticket_issued_before_the_drain_is_served_during_it():
    async def scenario(fleet):
        ticket = await fleet.ticket('vm0')
        drain_service = find_drain(fleet, 'vm0')
        drain_service.request_shutdown()
        await asyncio.sleep(20)
        phase = drain_service.phase
        request = fleet.request(b'order', ticket=ticket)
        first = await fleet.call('vm1', request)
        again = await fleet.call('vm2', request)
        fresh = await fleet.ticket('vm0')
        return phase, first, again, fresh

    phase, first, again, fresh = run(scenario, NINE_VMS)
    assert phase == 'finishing'
    assert first.ok == again.ok
    assert not tickets.parse(fresh).incarnation.startswith('vm0/')


def test_the_last_daemon_issues_tickets_while_it_drains():
    async def scenario(fleet):
        find_drain(fleet, 'vm0').request_shutdown()
        await asyncio.sleep(0.1)
        ticket = await fleet.ticket('vm0')
        request = fleet.request(b'order', ticket=ticket)
        return await fleet.call('vm0', request)

    shape = fake_plain_fleet.Shape(1, 2, 1, shutdown=SETTINGS)
    assert run(scenario, shape).ok.status == 200


async def follow_readiness(fleet, ready):
    """Update the ready daemons with a delay, as a load balancer does."""
    while True:
        ready[:] = fleet.ready()
        await asyncio.sleep(1.5)


async def send_load(fleet, caller, seen, ready, until):
    """Send idempotent requests and requests with tickets to ready daemons."""
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until:
        number += 1
        vm = fleet.rng.choice(ready)
        body = b'%d/%d' % (caller, number)
        if number % 2:
            request = fleet.request(body, True)
        else:
            ticket = await fleet.ticket(vm)
            await asyncio.sleep(fleet.rng.uniform(0, 4))
            vm = fleet.rng.choice(ready)
            request = fleet.request(body, False, ticket)
        seen.append((body, await fleet.call(vm, request)))
        await asyncio.sleep(fleet.rng.uniform(0, 0.5))


def test_a_rolling_restart_neither_interrupts_nor_refuses_requests():
    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        seen = [[] for _caller in range(12)]
        for service in fleet.services_by_name.values():
            service.work = lambda: fleet.rng.uniform(0.01, 1.0)
        until = loop.time() + 400
        ready = list(fleet.vms)
        balancer = asyncio.create_task(follow_readiness(fleet, ready))
        callers = [
            asyncio.create_task(send_load(fleet, caller, part, ready, until))
            for caller, part in enumerate(seen)
        ]
        for vm in fleet.vms:
            await fleet.restart(vm)
            await asyncio.sleep(3)
        took = loop.time()
        await asyncio.gather(*callers)
        balancer.cancel()
        return took, [pair for part in seen for pair in part]

    took, seen = run(scenario, NINE_VMS)
    interrupted = [body for body, outcome in seen if outcome is None]
    refused = [one for _body, one in seen if one and one.is_error()]
    assert took < 400
    assert len(seen) > 2000
    assert (interrupted, refused) == ([], [])
