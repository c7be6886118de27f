"""The steps of scenarios that run a fleet, and their table."""

import asyncio

from corianderspar import drain
from corianderspar import scenario_calls
from corianderspar import scenario_catalogue
from corianderspar import scenario_expect
from corianderspar import scenario_language
from corianderspar import scenario_upstreams
from corianderspar import scenario_world

World = scenario_world.World
Step = scenario_language.Step
Use = scenario_language.Use

READY_SECONDS = 20.0
SETTLE_SECONDS = 75.0


async def start_all(world: World) -> str:
    """Publish the catalogue and start every VM; wait until all serve."""
    world.publish()
    for vm in world.places_by_vm:
        await world.start(vm)
    if await world.until(lambda: _all_ready(world), READY_SECONDS):
        await asyncio.sleep(SETTLE_SECONDS)
        return ''
    return 'not all ready'


async def start_unpublished(world: World) -> None:
    """Start every VM before anything was published."""
    for vm in world.places_by_vm:
        await world.start(vm)


async def start(world: World, vm: Use) -> None:
    """Start a VM's daemon."""
    await world.start(vm.name)


async def wait(world: World, seconds: float) -> None:
    """Let time pass."""
    await asyncio.sleep(seconds)


async def kill(world: World, vm: Use) -> None:
    """End a daemon at once."""
    await world.fleet.kill(vm.name)


async def restart(world: World, vm: Use) -> None:
    """End a daemon at once and start it at the same address."""
    await world.fleet.kill(vm.name)
    await world.start(vm.name)


async def shut_down(world: World, vm: Use) -> None:
    """Drain a daemon, and stop it when that is done."""
    drained = world.find(vm.name, 'drain', drain.Drain)
    drained.request_shutdown()
    await drained.wait()
    await world.fleet.stop(vm.name)


async def remove_vm(world: World, vm: Use) -> None:
    """Take a VM off the platform's list."""
    del world.places_by_vm[vm.name]
    world.fleet.list_vms(world.places_by_vm)


async def pause(world: World, vm: Use) -> None:
    """Stop a daemon's process for a while."""
    world.fleet.pause(vm.name)


async def resume(world: World, vm: Use) -> None:
    """Let a paused process go on."""
    world.fleet.resume(vm.name)


async def partition(
    world: World, some: tuple[Use, ...], others: tuple[Use, ...]
) -> None:
    """Cut VMs off from others."""
    world.fleet.network.partition(_names(some), _names(others))


async def heal(world: World) -> None:
    """End all partitions and all loss."""
    world.fleet.network.heal()
    world.fleet.network.loss_rate = 0.0


async def lose(world: World, percent: float) -> None:
    """Lose a part of the messages between daemons."""
    world.fleet.network.loss_rate = percent / 100


async def set_service(world: World, state: str) -> None:
    """Have the configuration service be up, down, hung, stale or fresh."""
    service = world.fleet.platform
    if state not in ('up', 'down', 'hung', 'stale', 'fresh'):
        raise ValueError('one of up, down, hung, stale, fresh')
    if state == 'stale':
        service.stale_at = world.now
    elif state == 'fresh':
        service.stale_at = None
    else:
        service.down = state == 'down'
        service.hung = state == 'hung'
    service.wake()


async def rewind(world: World, seconds: float) -> None:
    """Have the configuration service give what it gave that long ago."""
    world.fleet.platform.stale_at = max(0.0, world.now - seconds)
    world.fleet.platform.wake()


async def cut_readers(world: World, vms: tuple[Use, ...]) -> None:
    """Cut VMs off from the platform."""
    world.fleet.platform.cut_readers = _names(vms)
    world.fleet.platform.wake()


async def join_readers(world: World) -> None:
    """Let all VMs reach the platform again."""
    world.fleet.platform.cut_readers = set()


async def lag_list(world: World, seconds: float) -> None:
    """Have the platform's list of VMs show changes late."""
    world.fleet.platform.list_lag = seconds


def _names(vms: tuple[Use, ...]) -> set[str]:
    return {vm.name for vm in vms}


def _all_ready(world: World) -> bool:
    return all(
        world.fleet.configuration(vm).ready.is_set()
        for vm in world.fleet.apps_by_vm
    )


STEPS = (
    *scenario_catalogue.STEPS,
    Step('"start" "all"', start_all),
    Step('"start" "unpublished"', start_unpublished),
    Step('"start" vm', start),
    Step('"wait" SECONDS', wait),
    Step('"kill" vm', kill),
    Step('"restart" vm', restart),
    Step('"shut" "down" vm', shut_down),
    Step('"remove" vm', remove_vm),
    Step('"pause" vm', pause),
    Step('"resume" vm', resume),
    Step('"partition" vms "from" vms', partition),
    Step('"heal"', heal),
    Step('"lose" NUMBER "percent"', lose),
    Step('"service" NAME', set_service),
    Step('"rewind" "the" "service" SECONDS', rewind),
    Step('"cut" vms "off" "the" "service"', cut_readers),
    Step('"join" "the" "service"', join_readers),
    Step('"lag" "the" "list" SECONDS', lag_list),
    *scenario_upstreams.STEPS,
    *scenario_calls.STEPS,
    *scenario_expect.STEPS,
)
