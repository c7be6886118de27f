"""The steps of scenarios that have upstreams fail."""

import random
from typing import get_args

from corianderspar import fake_engine
from corianderspar import fake_plain
from corianderspar import scenario_language
from corianderspar import scenario_world

World = scenario_world.World
Step = scenario_language.Step
Use = scenario_language.Use

MANY = 1000


async def refuse_work(world: World, upstream: Use) -> None:
    """Have an upstream itself refuse new work, as it leaves."""
    world.services_by_name[upstream.name].leaving = True


async def set_fault(
    world: World, upstream: Use, fault: str, percent: float | None
) -> None:
    """Have a fault befall requests to an upstream."""
    if fault not in fake_plain.FAULTS:
        raise ValueError(f'one of {", ".join(fake_plain.FAULTS)}')
    part = 1.0 if percent is None else percent / 100
    seed = world.fleet.rng.getrandbits(32)
    rng = random.Random(seed)  # noqa: S311

    def decide(_: object) -> fake_plain.Fault:
        if rng.random() >= part:
            return ''
        return next(one for one in get_args(fake_plain.Fault) if one == fault)

    world.services_by_name[upstream.name].fault = decide


async def mend(world: World, upstream: Use) -> None:
    """End an upstream's faults."""
    service = world.services_by_name[upstream.name]
    service.fault = fake_plain.no_fault
    service.up = True
    service.leaving = False


async def kill_upstream(world: World, upstream: Use) -> None:
    """Break an upstream's connections and have it refuse new ones."""
    world.services_by_name[upstream.name].go_down()


async def slow_down(world: World, upstream: Use, seconds: float) -> None:
    """Have each request at an upstream take that long."""
    service = world.services_by_name[upstream.name]
    service.work = fake_plain.fixed_work(seconds)


async def break_engine(world: World, upstream: Use, fault: str) -> None:
    """Have an engine fail in one way, until it is mended."""
    faults_by_name = {
        'full': fake_engine.Faults(refuse='full'),
        'leaving': fake_engine.Faults(refuse='leaving'),
        'late': fake_engine.Faults(late=0.5),
        'crossing': fake_engine.Faults(crossed=MANY),
        'doubling': fake_engine.Faults(duplicated=MANY),
        'cutting': fake_engine.Faults(cut_after=10),
        'stalling-prefill': fake_engine.Faults(stalled=('prefill',)),
        'stalling-transfer': fake_engine.Faults(stalled=('transfer',)),
        'stalling-decode': fake_engine.Faults(stalled=('decode',)),
        'stalling-cancel': fake_engine.Faults(stalled=('cancel',)),
    }
    if fault not in faults_by_name:
        raise ValueError(f'one of {", ".join(faults_by_name)}')
    engine = world.engines_by_name[upstream.name]
    engine.faults = faults_by_name[fault]


async def poison(world: World, word: str) -> None:
    """Have a word in a prompt kill every engine that runs it."""
    for engine in world.engines_by_name.values():
        engine.faults = fake_engine.Faults(deadly=word)


async def mend_engine(world: World, upstream: Use) -> None:
    """End an engine's faults; a dead one comes back empty."""
    engine = world.engines_by_name[upstream.name]
    engine.faults = fake_engine.Faults()
    if not engine.alive:
        engine.restart()


async def kill_engine(world: World, upstream: Use) -> None:
    """End an engine at once, with all that it holds."""
    world.engines_by_name[upstream.name].die()


STEPS = (
    Step('"have" upstream "refuse" "new" "work"', refuse_work),
    Step('"break" upstream "with" NAME [NUMBER "percent"]', set_fault),
    Step('"mend" upstream', mend),
    Step('"kill" "upstream" upstream', kill_upstream),
    Step('"slow" upstream "to" SECONDS', slow_down),
    Step('"engine" upstream "is" NAME', break_engine),
    Step('"engine" upstream "is" "well"', mend_engine),
    Step('"kill" "engine" upstream', kill_engine),
    Step('"poison" "engines" "by" NAME', poison),
)
