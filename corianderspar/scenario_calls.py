"""The steps of scenarios that callers take."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from corianderspar import scenario_language
from corianderspar import scenario_world

World = scenario_world.World
Call = scenario_world.Call
Definition = scenario_language.Definition
Step = scenario_language.Step
Use = scenario_language.Use

TICKET_SECONDS = 3.0


async def take_ticket(
    world: World, name: Definition, vm: Use, path: str, key: Use
) -> str:
    """Take a ticket as a caller; what it is for is sent by its name."""
    call = Call(name.name, path, scenario_world.key_of(key.name))
    reply = await world.take_ticket(name.name, call, vm.name)
    return '' if call.ticket else f'{reply.status} {reply.code}'


async def try_ticket(
    world: World, name: Definition, vm: Use, path: str, key: Use
) -> None:
    """Take a ticket if the daemon gives one within a few seconds."""
    call = Call(name.name, path, scenario_world.key_of(key.name))
    try:
        async with asyncio.timeout(TICKET_SECONDS):
            await world.take_ticket(name.name, call, vm.name)
    except TimeoutError:
        return


async def send(
    world: World, name: Definition, vm: Use, path: str, key: Use | None
) -> None:
    """Send a request; go on without waiting for its reply."""
    text = scenario_world.key_of(key.name) if key else ''
    world.send(name.name, Call(name.name, path, text), vm.name)


async def complete(
    world: World,
    form: str,
    name: Definition,
    vm: Use,
    path: str,
    key: Use,
    prompt_tokens: float,
    answer_tokens: float,
) -> None:
    """Ask an engine route, for a whole answer or a stream."""
    prompt = prompt_of(name.name, int(prompt_tokens), int(answer_tokens))
    call = Call(prompt, path, scenario_world.key_of(key.name), '', form)
    world.send(name.name, call, vm.name)


async def send_again(
    world: World, first: Use, name: Definition, vm: Use
) -> None:
    """Send a request again, with its ticket if it has one."""
    before = world.calls_by_name[first.name]
    call = Call(
        before.body, before.path, before.key, before.ticket, before.form
    )
    world.send(name.name, call, vm.name)


async def cancel(world: World, name: Use) -> None:
    """Break a caller's connection."""
    world.calls_by_name[name.name].gone.set()


async def load(
    world: World,
    name: Definition,
    rate: float,
    seconds: float,
    vms: tuple[Use, ...],
    path: str,
    key: Use,
) -> None:
    """Send requests evenly, to the VMs that the balancer would choose."""
    text = scenario_world.key_of(key.name)
    _drive(
        world,
        name.name,
        _Pace(rate, seconds),
        vms,
        lambda one: Call(one, path, text),
    )


async def complete_load(
    world: World,
    name: Definition,
    rate: float,
    seconds: float,
    vms: tuple[Use, ...],
    path: str,
    key: Use,
    prompt_tokens: float,
    answer_tokens: float,
) -> None:
    """Ask an engine route for streams, evenly."""
    text = scenario_world.key_of(key.name)

    def made(one: str) -> Call:
        prompt = prompt_of(one, int(prompt_tokens), int(answer_tokens))
        return Call(prompt, path, text, '', 'stream')

    _drive(world, name.name, _Pace(rate, seconds), vms, made)


class _Pace(NamedTuple):
    rate: float
    seconds: float


def _drive(
    world: World,
    name: str,
    pace: _Pace,
    vms: tuple[Use, ...],
    made: Callable[[str], scenario_world.Call],
) -> None:
    sent: list[scenario_world.Call] = []
    world.calls_by_load[name] = sent

    async def drive() -> None:
        for number in range(round(pace.rate * pace.seconds)):
            ready = [vm.name for vm in vms if world.serves(vm.name)]
            one = f'{name}.{number}'
            call = made(one)
            sent.append(call)
            to = ready[number % len(ready)] if ready else vms[0].name
            world.send(one, call, to)
            await asyncio.sleep(1 / pace.rate)

    world.tasks.append(asyncio.create_task(drive()))


def prompt_of(name: str, tokens: int, answer_tokens: int) -> str:
    """Return a prompt of that many tokens that asks for an answer's.

    Examples
    --------
    >>> prompt_of('a', 3, 7)
    'a feast answer=7'
    """
    words = ' feast' * max(1, tokens - 2)
    return f'{name}{words} answer={answer_tokens}'


STEPS = (
    Step(
        '"ticket" new_call "from" vm "for" PATH "key" key',
        take_ticket,
    ),
    Step('"try" "ticket" new_call vm PATH "key" key', try_ticket),
    Step('"send" new_call "to" vm PATH ["key" key]', send),
    Step(
        'FORM new_call "to" vm PATH "key" key "prompt" NUMBER "answer" NUMBER',
        complete,
    ),
    Step('"send" call "again" "as" new_call "to" vm', send_again),
    Step('"cancel" call', cancel),
    Step(
        '"load" new_load NUMBER "per" "second" "for" SECONDS'
        ' "on" vms PATH "key" key',
        load,
    ),
    Step(
        '"streams" new_load NUMBER "per" "second" "for" SECONDS'
        ' "on" vms PATH "key" key "prompt" NUMBER "answer" NUMBER',
        complete_load,
    ),
)
