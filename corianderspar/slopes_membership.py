"""Measures what heartbeats cost a daemon, by the size of the fleet."""

import asyncio
import collections
import time
from typing import NamedTuple

from corianderspar import clock
from corianderspar import fake_fleet
from corianderspar import fits
from corianderspar import kernel
from corianderspar import keys
from corianderspar import limit_trials
from corianderspar import peers
from corianderspar import rate_limiter

SETTLE_SECONDS = 20.0
MEASURED_SECONDS = 30.0
SIZES = (3, 9, 30, 45, 90)
DATA_CENTRES = (1, 2, 4, 8)
VMS_EACH = 3


class Cost(NamedTuple):
    """What a daemon spends on heartbeats, in a second.

    Attributes
    ----------
    messages, sent_bytes : float
        Sent by the daemon that sends most.
    processor : float
        Milliseconds of processor time, the mean of all daemons.
    """

    messages: float
    sent_bytes: float
    processor: float


def _build(fleet: fake_fleet.FakeFleet, app: kernel.Application) -> None:
    fake_fleet.build_coordination(fleet, app)
    app.add(keys.Authenticator())
    app.add(rate_limiter.RateLimiter())


async def _measure(places_by_vm: dict[str, str]) -> Cost:
    fleet = fake_fleet.FakeFleet(1, _build)
    fleet.list_vms(places_by_vm)
    fleet.publish(limit_trials.whole(1, {}))
    await fleet.start_all()
    await asyncio.sleep(SETTLE_SECONDS)
    before_by_vm = {
        vm: collections.Counter(_counts(app))
        for vm, app in fleet.apps_by_vm.items()
    }
    start = time.process_time()
    await asyncio.sleep(MEASURED_SECONDS)
    processor = time.process_time() - start
    spent = [
        _counts(app) - before_by_vm[vm] for vm, app in fleet.apps_by_vm.items()
    ]
    await fleet.close()
    return Cost(
        max(counts['sent'] for counts in spent) / MEASURED_SECONDS,
        max(counts['sent_bytes'] for counts in spent) / MEASURED_SECONDS,
        processor * 1000 / MEASURED_SECONDS / len(places_by_vm),
    )


def _counts(app: kernel.Application) -> collections.Counter[str]:
    return app.find('peers', peers.Peers).counts


def _fleet(data_centres: int, vms_each: int) -> dict[str, str]:
    return {
        f'vm{place}-{number}': f'dc{place}'
        for place in range(data_centres)
        for number in range(vms_each)
    }


def _series(
    name: str, x: str, costs_by_x: dict[int, Cost]
) -> list[fits.Series]:
    units = ('messages/s', 'bytes/s', 'ms/s')
    return [
        fits.Series(
            f'{name}_{field}',
            x,
            f'{units[index]} for each daemon',
            tuple(
                fits.Point(size, cost[index])
                for size, cost in costs_by_x.items()
            ),
        )
        for index, field in enumerate(Cost._fields)
    ]


def series() -> tuple[fits.Series, ...]:
    """Measure fleets of several sizes in one process.

    Returns
    -------
    tuple of Series
        Messages, bytes and processor time a second for each daemon: over
        the VMs of one data centre, and over data centres of `VMS_EACH`.
        Messages and bytes grow up to `membership.PEERS_PER_SECOND` peers
        a second and stay there: a line through them says too little
        between 12 and 45 VMs, so take the point at 45.
    """
    near_by_size = {
        size: clock.run_virtual(_measure(_fleet(1, size))) for size in SIZES
    }
    far_by_count = {
        count: clock.run_virtual(_measure(_fleet(count, VMS_EACH)))
        for count in DATA_CENTRES
    }
    return (
        *_series('heartbeats_near', 'VMs of a data centre', near_by_size),
        *_series('heartbeats_far', 'data centres', far_by_count),
    )


def main() -> None:
    """Print every series with its fit."""
    for line in series():
        fit = fits.fit(line)
        print(line.name, *(f'{p.x:g}:{p.y:.4g}' for p in line.points))
        print(f'  {fit.intercept:.4g} + {fit.slope:.4g} * x', fit.error)


if __name__ == '__main__':
    main()
