"""Scripted faults for limits, while an account asks for too much."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from corianderspar import catalogue
from corianderspar import clock
from corianderspar import lease_tiers
from corianderspar import limit_trials
from corianderspar import rate_limiter

BOUNDS = lease_tiers.TimingBounds(
    list_lag=30.0, lease=10.0, long_lease=60.0, loan=0.5, pause=5.0
)
Fault = Callable[[limit_trials.Trial], Awaitable[None]]

SIX = {
    'a1': 'szeged',
    'a2': 'szeged',
    'a3': 'szeged',
    'b1': 'baja',
    'b2': 'baja',
    'c1': 'mako',
}
THIRDS = {'szeged': 0.4, 'baja': 0.4, 'mako': 0.2}
ACCOUNT = 'club'
RATE = 100.0
BURST = 100.0
START = 110.0


def whole(
    version: int = 1,
    rate: float = RATE,
    burst: float = BURST,
    shares: dict[str, float] = THIRDS,
) -> catalogue.Catalogue:
    """Return a catalogue of one account."""
    account = limit_trials.account(rate, burst, shares)
    return limit_trials.whole(version, {ACCOUNT: account})


async def begin(
    seed: int, kind: type = rate_limiter.RateLimiter
) -> limit_trials.Trial:
    """Start a fleet whose one account asks for too much."""
    made = limit_trials.Trial(seed, BOUNDS, kind)
    made.fleet.list_vms(SIX)
    made.fleet.publish(whole())
    await made.fleet.start_all()
    await asyncio.sleep(START)
    await made.drain(ACCOUNT)
    made.begin_calls(ACCOUNT, [*SIX, 'a4'], 2.0, 60)
    made.spawn(made.keep_draining(ACCOUNT, 0.25))
    await asyncio.sleep(10)
    return made


async def home_dead(made: limit_trials.Trial) -> None:
    """Let a VM die; the list drops it later."""
    await made.fleet.kill('b1')
    await asyncio.sleep(20)
    made.fleet.list_vms({v: p for v, p in SIX.items() if v != 'b1'})
    await asyncio.sleep(110)


async def dropped_though_running(made: limit_trials.Trial) -> None:
    """Drop a VM that runs, sees an older list and reaches nobody."""
    without = {vm: place for vm, place in SIX.items() if vm != 'a1'}
    for _ in range(2):
        made.fleet.network.partition({'a1'})
        made.fleet.platform.cut_readers = {'a1'}
        made.fleet.list_vms(without)
        await asyncio.sleep(60)
        made.fleet.list_vms(SIX)
        made.fleet.network.heal()
        made.fleet.platform.cut_readers = set()
        await asyncio.sleep(8)


async def others_restart(made: limit_trials.Trial) -> None:
    """Restart all neighbours of a VM that was dropped though it runs."""
    made.fleet.network.partition({'a1'})
    made.fleet.platform.cut_readers = {'a1'}
    made.fleet.list_vms({vm: at for vm, at in SIX.items() if vm != 'a1'})
    await asyncio.sleep(3)
    for vm in ('a2', 'a3'):
        await made.fleet.kill(vm)
        await made.fleet.start(vm)
    await asyncio.sleep(80)


async def restart_loop(made: limit_trials.Trial) -> None:
    """Let a VM die and start again and again."""
    for _ in range(8):
        await made.fleet.kill('a1')
        await asyncio.sleep(1)
        await made.fleet.start('a1')
        await asyncio.sleep(15)


async def pause_of_a_minute(made: limit_trials.Trial) -> None:
    """Pause a VM for a minute; it is dropped and listed meanwhile."""
    made.fleet.pause('a1')
    await asyncio.sleep(5)
    made.fleet.list_vms({v: p for v, p in SIX.items() if v != 'a1'})
    await asyncio.sleep(55)
    made.fleet.resume('a1')
    await asyncio.sleep(10)
    made.fleet.list_vms(SIX)
    await asyncio.sleep(60)


async def short_pauses(made: limit_trials.Trial) -> None:
    """Pause a VM for some seconds, again and again."""
    for seconds in (3, 6, 12, 24):
        made.fleet.pause('a2')
        await asyncio.sleep(seconds)
        made.fleet.resume('a2')
        await asyncio.sleep(20)


async def lagging_list(made: limit_trials.Trial) -> None:
    """Let VMs come and go behind a list that lags by thirty seconds."""
    made.fleet.platform.list_lag = 30.0
    await made.fleet.kill('a1')
    made.fleet.list_vms({v: p for v, p in SIX.items() if v != 'a1'})
    await asyncio.sleep(10)
    made.fleet.list_vms({**SIX, 'a4': 'szeged'})
    await made.fleet.start('a4')
    await asyncio.sleep(40)
    await made.fleet.start('a1')
    await asyncio.sleep(100)


async def two_views(made: limit_trials.Trial) -> None:
    """Cut off two VMs, which see an older list than the others."""
    made.fleet.platform.cut_readers = {'a1', 'a2'}
    made.fleet.network.partition({'a1', 'a2'})
    made.fleet.list_vms({**SIX, 'a4': 'szeged'})
    await made.fleet.start('a4')
    await asyncio.sleep(60)
    made.fleet.network.heal()
    await asyncio.sleep(10)
    made.fleet.network.partition({'a1', 'a4'})
    await asyncio.sleep(60)
    made.fleet.network.heal()
    made.fleet.platform.cut_readers = set()
    await asyncio.sleep(60)


async def join_and_leave(made: limit_trials.Trial) -> None:
    """Let VMs join, leave gracefully and come back."""
    made.fleet.list_vms({**SIX, 'a4': 'szeged'})
    await made.fleet.start('a4')
    await asyncio.sleep(30)
    await made.fleet.stop('a1')
    await asyncio.sleep(5)
    made.fleet.list_vms(
        {**{v: p for v, p in SIX.items() if v != 'a1'}, 'a4': 'szeged'}
    )
    await asyncio.sleep(30)
    await made.fleet.stop('b1')
    await asyncio.sleep(2)
    made.fleet.list_vms({**SIX, 'a4': 'szeged'})
    await made.fleet.start('b1')
    await made.fleet.start('a1')
    await asyncio.sleep(60)


async def data_centre_cut_off(made: limit_trials.Trial) -> None:
    """Cut off a data centre while the rate is lowered."""
    made.fleet.network.partition({'b1', 'b2'})
    made.fleet.platform.cut_readers = {'b1', 'b2'}
    made.fleet.publish(whole(2, RATE / 2, BURST / 2))
    await asyncio.sleep(60)
    await made.fleet.kill('b2')
    await asyncio.sleep(60)
    await made.fleet.start('b2')
    made.fleet.network.heal()
    made.fleet.platform.cut_readers = set()
    await asyncio.sleep(60)


async def platform_down(made: limit_trials.Trial) -> None:
    """Take the platform down; a VM dies and starts again."""
    made.fleet.platform.down = True
    await asyncio.sleep(80)
    await made.fleet.kill('a2')
    await asyncio.sleep(15)
    await made.fleet.start('a2')
    await asyncio.sleep(60)
    made.fleet.platform.down = False
    await asyncio.sleep(20)


async def shares_moved(made: limit_trials.Trial) -> None:
    """Move shares between data centres, one of which is cut off."""
    made.fleet.network.partition({'b1', 'b2'})
    made.fleet.platform.cut_readers = {'b1', 'b2'}
    moved = {'szeged': 0.8, 'baja': 0.1, 'mako': 0.1}
    made.fleet.publish(whole(2, shares=moved))
    await asyncio.sleep(60)
    made.fleet.publish(whole(3))
    await asyncio.sleep(2)
    made.fleet.publish(whole(4, shares=moved))
    made.fleet.network.heal()
    made.fleet.platform.cut_readers = set()
    await asyncio.sleep(60)


async def shares_moved_to_new_daemons(made: limit_trials.Trial) -> None:
    """Move shares to a data centre that restarts as another is cut off."""
    for vm in ('a1', 'a2', 'a3'):
        await made.fleet.kill(vm)
    made.fleet.network.partition({'b1', 'b2'})
    made.fleet.platform.cut_readers = {'b1', 'b2'}
    moved = {'szeged': 0.9, 'baja': 0.05, 'mako': 0.05}
    made.fleet.publish(whole(2, shares=moved))
    for vm in ('a1', 'a2', 'a3'):
        await made.fleet.start(vm)
    await asyncio.sleep(60)


async def rate_lowered(made: limit_trials.Trial) -> None:
    """Lower the rate."""
    made.fleet.publish(whole(2, RATE / 4, BURST / 4))
    await asyncio.sleep(60)


async def a_mix(made: limit_trials.Trial) -> None:
    """Do many of these on a network that loses messages."""
    made.fleet.network.loss_rate = 0.2
    await home_dead(made)
    made.fleet.platform.list_lag = 30.0
    made.fleet.list_vms(SIX)
    await made.fleet.start('b1')
    made.fleet.pause('a1')
    await asyncio.sleep(60)
    made.fleet.resume('a1')
    made.fleet.network.partition({'a1', 'b1', 'c1'})
    await asyncio.sleep(30)
    made.fleet.network.heal()
    await asyncio.sleep(30)


FAULTS: tuple[Fault, ...] = (
    home_dead,
    dropped_though_running,
    others_restart,
    restart_loop,
    pause_of_a_minute,
    short_pauses,
    lagging_list,
    two_views,
    join_and_leave,
    data_centre_cut_off,
    platform_down,
    shares_moved,
    shares_moved_to_new_daemons,
    rate_lowered,
    a_mix,
)


def run(
    fault: Fault, seed: int, kind: type = rate_limiter.RateLimiter
) -> limit_trials.Tally:
    """Return what the account got, on virtual time.

    Raises
    ------
    RuntimeError
        If a task of a daemon failed.
    """

    async def main() -> limit_trials.Tally:
        made = await begin(seed, kind)
        await fault(made)
        await made.drain(ACCOUNT)
        await made.close()
        if made.fleet.failures:
            raise RuntimeError(str(made.fleet.failures))
        return made.tally(ACCOUNT)

    return clock.run_virtual(main())
