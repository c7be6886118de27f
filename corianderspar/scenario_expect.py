"""The steps of scenarios that say what callers and upstreams must see."""

import asyncio
from collections.abc import Callable
import operator

from corianderspar import scenario_caller
from corianderspar import scenario_language
from corianderspar import scenario_world

World = scenario_world.World
Step = scenario_language.Step
Use = scenario_language.Use

DEFAULT_SECONDS = 5.0
RATE_SLACK_SECONDS = 0.01

COMPARE: dict[str, Callable[[float, float], bool]] = {
    '==': operator.eq,
    '<=': operator.le,
    '>=': operator.ge,
    '<': operator.lt,
    '>': operator.gt,
}


async def status(
    world: World, name: Use, wanted: float, within: float | None
) -> str:
    """Expect a reply with an HTTP status."""
    reply = await _reply(world, name, within)
    if reply is None:
        return 'no reply yet'
    return '' if reply.status == wanted else f'{reply.status} {reply.code}'


async def code(
    world: World, name: Use, wanted: str, within: float | None
) -> str:
    """Expect a refusal with a code; ``lost`` for a broken connection."""
    reply = await _reply(world, name, within)
    if reply is None:
        return 'no reply yet'
    return '' if reply.code == wanted else f'{reply.status} {reply.code}'


async def ran(world: World, name: Use, wanted: str) -> str:
    """Expect what a reply says of whether the request ran."""
    reply = await _reply(world, name, None)
    if reply is None:
        return 'no reply yet'
    return '' if reply.ran == wanted else f'{reply.ran} {reply.code}'


async def same_answer(world: World, first: Use, second: Use) -> str:
    """Expect two sends to have got the same answer."""
    replies = [await _reply(world, name, None) for name in (first, second)]
    if None in replies or replies[0] != replies[1]:
        return f'{replies[0]} and {replies[1]}'
    return ''


async def runs(world: World, name: Use, sign: str, wanted: float) -> str:
    """Expect how often upstreams ran a request."""
    seen = world.runs_by_body()[world.calls_by_name[name.name].body]
    return _compared(seen, sign, wanted)


async def work(
    world: World, upstream: Use, sign: str, wanted: float, seconds: float
) -> str:
    """Expect how many requests an upstream ran lately."""
    since = world.now - seconds
    seen = sum(
        run.upstream == upstream.name and run.at >= since
        for run in world.ledger.executions
    )
    return _compared(seen, sign, wanted)


async def version_everywhere(
    world: World, sign: str, wanted: float, within: float | None
) -> str:
    """Expect the version in force at every running daemon."""

    def holds() -> bool:
        seen = world.fleet.versions().values()
        return all(COMPARE[sign](version, wanted) for version in seen)

    await world.until(holds, within or 0.0)
    return '' if holds() else str(world.fleet.versions())


async def version_at(
    world: World, vm: Use, sign: str, wanted: float, within: float | None
) -> str:
    """Expect the version in force at one daemon."""

    def holds() -> bool:
        seen = world.fleet.configuration(vm.name).version
        return COMPARE[sign](seen, wanted)

    await world.until(holds, within or 0.0)
    return '' if holds() else str(world.fleet.versions()[vm.name])


async def same_content(world: World, within: float | None) -> str:
    """Expect the same content in force at every running daemon."""

    def seen() -> set[tuple[int, bytes]]:
        return {
            world.fleet.configuration(vm).key for vm in world.fleet.apps_by_vm
        }

    await world.until(lambda: len(seen()) == 1, within or 0.0)
    return '' if len(seen()) == 1 else f'{len(seen())} contents'


async def ready(world: World, vm: Use, within: float | None) -> str:
    """Expect a daemon to serve."""
    service = world.fleet.configuration(vm.name)
    await world.until(service.ready.is_set, within or 0.0)
    return '' if service.ready.is_set() else 'not ready'


async def not_ready(world: World, vm: Use) -> str:
    """Expect a daemon not to serve."""
    service = world.fleet.configuration(vm.name)
    return 'ready' if service.ready.is_set() else ''


async def refused(world: World, version: float, within: float | None) -> str:
    """Expect the same findings on a version at every running daemon."""

    def seen() -> list[str]:
        return [_findings(world, vm, int(version)) for vm in _vms(world)]

    def holds() -> bool:
        found = seen()
        return bool(found[0]) and all(one == found[0] for one in found)

    await world.until(holds, within or 0.0)
    return '' if holds() else str(sorted({*seen()}))


async def listed(world: World, vm: Use, within: float | None) -> str:
    """Expect every daemon to know that a VM is listed."""

    def lacking() -> list[str]:
        return [
            name
            for name in _vms(world)
            if name != vm.name
            and vm.name
            not in [
                line.name
                for line in world.fleet.configuration(name).vm_list.vms
            ]
        ]

    await world.until(lambda: not lacking(), within or 0.0)
    return f'unknown at {lacking()}' if lacking() else ''


async def service_calls(
    world: World, sign: str, wanted: float, seconds: float
) -> str:
    """Expect a rate of calls on the service, over the time to come."""
    before = world.fleet.platform.calls_by_reader.total()
    await asyncio.sleep(seconds)
    spent = world.fleet.platform.calls_by_reader.total() - before
    return _compared(spent / seconds, sign, wanted)


async def load_status(
    world: World, name: Use, wanted: float, sign: str, count: float
) -> str:
    """Expect how many requests of a load got a status."""
    seen = sum(
        call.reply is not None and call.reply.status == wanted
        for call in world.calls_by_load[name.name]
    )
    return _compared(seen, sign, count)


async def load_lost(world: World, name: Use, sign: str, count: float) -> str:
    """Expect how many requests of a load were cut, or are still open."""
    seen = sum(
        call.reply is None or call.reply.code == scenario_caller.LOST
        for call in world.calls_by_load[name.name]
    )
    return _compared(seen, sign, count)


async def memory_free(world: World, within: float | None) -> str:
    """Expect that no engine holds memory for any request."""
    await world.until(lambda: not world.held(), within or 0.0)
    return f'held: {", ".join(world.held())}' if world.held() else ''


async def held(world: World, sign: str, wanted: float) -> str:
    """Expect for how many requests engines hold memory."""
    return _compared(len({*world.held()}), sign, wanted)


async def alive(world: World, sign: str, wanted: float) -> str:
    """Expect how many engines have not died."""
    seen = sum(one.alive for one in world.engines_by_name.values())
    return _compared(seen, sign, wanted)


async def within_rate(world: World, account: Use) -> str:
    """Expect that plain services ran no more for an account than allowed."""
    # Seen from outside: each request costs one token as it first runs.
    entry = world.document['accounts_by_name'][account.name]
    bodies = {
        call.body.encode()
        for call in world.calls_by_name.values()
        if world.account_of(call) == account.name
    }
    level = 0.0
    most = 0.0
    last = 0.0
    for run in world.ledger.executions:
        if run.body not in bodies:
            continue
        bodies.discard(run.body)
        level = max(0.0, level - (run.at - last) * entry['rate']) + 1
        last = run.at
        most = max(most, level)
    slack = 1 + entry['rate'] * RATE_SLACK_SECONDS
    over = most > entry['burst'] + slack
    return f'{most:g} at once beyond the rate' if over else ''


async def _reply(
    world: World, name: Use, within: float | None
) -> scenario_world.Reply | None:
    call = world.calls_by_name[name.name]
    seconds = DEFAULT_SECONDS if within is None else within
    await world.until(lambda: call.reply is not None, seconds)
    return call.reply


def _compared(seen: float, sign: str, wanted: float) -> str:
    return '' if COMPARE[sign](seen, wanted) else f'{seen:g}'


def _vms(world: World) -> list[str]:
    return list(world.fleet.apps_by_vm)


def _findings(world: World, vm: str, version: int) -> str:
    known = world.fleet.configuration(vm).versions
    return '; '.join(
        str(finding)
        for refusal in known.rejected_by_key.values()
        if refusal.key.number == version
        for finding in refusal.findings
    )


STEPS = (
    Step('"expect" call "status" NUMBER ["within" SECONDS]', status),
    Step('"expect" call "code" NAME ["within" SECONDS]', code),
    Step('"expect" call "ran" NAME', ran),
    Step('"expect" call "answer" "same" "as" call', same_answer),
    Step('"expect" call "runs" COMPARE NUMBER', runs),
    Step(
        '"expect" "work" "at" upstream COMPARE NUMBER "in" "last" SECONDS',
        work,
    ),
    Step(
        '"expect" "version" COMPARE NUMBER "everywhere" ["within" SECONDS]',
        version_everywhere,
    ),
    Step(
        '"expect" "version" "at" vm COMPARE NUMBER ["within" SECONDS]',
        version_at,
    ),
    Step(
        '"expect" "same" "content" "everywhere" ["within" SECONDS]',
        same_content,
    ),
    Step('"expect" "ready" vm ["within" SECONDS]', ready),
    Step('"expect" "not" "ready" vm', not_ready),
    Step(
        '"expect" "refused" "version" NUMBER "everywhere" ["within" SECONDS]',
        refused,
    ),
    Step('"expect" "listed" vm ["within" SECONDS]', listed),
    Step(
        '"expect" "service" "calls" COMPARE NUMBER "per" "second"'
        ' "over" SECONDS',
        service_calls,
    ),
    Step('"expect" "load" load "status" NUMBER COMPARE NUMBER', load_status),
    Step('"expect" "engine" "memory" "free" ["within" SECONDS]', memory_free),
    Step('"expect" "engines" "hold" COMPARE NUMBER', held),
    Step('"expect" "engines" "alive" COMPARE NUMBER', alive),
    Step('"expect" account "within" "its" "rate"', within_rate),
    Step('"expect" "load" load "lost" COMPARE NUMBER', load_lost),
)
