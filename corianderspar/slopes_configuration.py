"""Slopes of configuration: spread against members, load against accounts."""

import asyncio
import gc
import statistics
import time
import tracemalloc
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import clock
from corianderspar import fake_fleet
from corianderspar import fits
from corianderspar import platform_reader
from corianderspar import shards
from corianderspar import version_store

MEMBERS = (3, 9, 30, 90)
ACCOUNTS = (1_000, 2_000, 5_000, 10_000)
DATA_CENTRES = 8
SPREAD_ACCOUNTS = 2_000
CHANGES = 9
IDLE_SECONDS = 20
START_SECONDS = 60
SPREAD_SECONDS = 30
LOOK_SECONDS = 0.01
MEBIBYTE = 1 << 20


class Point(NamedTuple):
    """One measured point of a slope.

    Attributes
    ----------
    name : str
        What was measured.
    against : str
        ``members`` or ``accounts``.
    size : int
        How many of them.
    value : float
        The figure, in ``unit``.
    unit : str
        Its unit.
    """

    name: str
    against: str
    size: int
    value: float
    unit: str

    def __str__(self) -> str:
        """Return the line to print."""
        return (
            f'slope={self.name} {self.against}={self.size}'
            f' value={self.value:.4g} unit={self.unit}'
        )


def points() -> list[Point]:
    """Measure all points, those of members on virtual time."""
    found = []
    for members in MEMBERS:
        found.extend(clock.run_virtual(spread(members)))
    for accounts in ACCOUNTS:
        found.extend(load(accounts))
    return found


def series() -> tuple[fits.Series, ...]:
    """Return the points as series for straight lines."""
    return fits.group(
        fits.Row(
            f'configuration_{point.name}',
            point.against,
            point.unit,
            point.size,
            point.value,
        )
        for point in points()
    )


async def spread(members: int) -> list[Point]:
    """Measure how a change of one account spreads.

    Parameters
    ----------
    members : int
        How many daemons, in up to `DATA_CENTRES` data centres.

    Returns
    -------
    list of Point
        Median and worst spread time, calls on the service while idle, and
        what one change costs each daemon.
    """
    fleet = fake_fleet.FakeFleet()
    places = min(members // 3, DATA_CENTRES)
    fleet.list_vms(
        {f'vm{number}': f'dc{number % places}' for number in range(members)}
    )
    whole = example(SPREAD_ACCOUNTS, places)
    fleet.publish(whole)
    await fleet.start_all()
    await _until_everywhere(fleet, whole.version, START_SECONDS)
    await asyncio.sleep(platform_reader.WATCH_SECONDS)
    idle = await _idle(fleet)
    times = []
    extra_bytes = extra_messages = extra_calls = 0.0
    for number in range(CHANGES):
        whole = _changed(whole, number)
        before = _Counts.of(fleet)
        start = asyncio.get_running_loop().time()
        fleet.publish(whole)
        times.append(
            await _until_everywhere(fleet, whole.version, SPREAD_SECONDS)
        )
        await asyncio.sleep(platform_reader.WATCH_SECONDS)
        seconds = asyncio.get_running_loop().time() - start
        spent = _Counts.of(fleet).less(before)
        extra_bytes += spent.sent_bytes - idle.sent_bytes * seconds
        extra_messages += spent.messages - idle.messages * seconds
        extra_calls += spent.calls - idle.calls * seconds
    await fleet.close()
    share = members * CHANGES
    return [
        Point(
            'spread_median', 'members', members, statistics.median(times), 's'
        ),
        Point('spread_worst', 'members', members, max(times), 's'),
        Point('service_calls', 'members', members, idle.calls, '1/s'),
        Point(
            'service_calls_of_change',
            'members',
            members,
            extra_calls / CHANGES,
            'calls',
        ),
        Point(
            'heartbeats_of_daemon',
            'members',
            members,
            idle.sent_bytes / members,
            'B/s',
        ),
        Point(
            'bytes_of_change',
            'members',
            members,
            extra_bytes / share,
            'B/daemon',
        ),
        Point(
            'messages_of_change',
            'members',
            members,
            extra_messages / share,
            'messages/daemon',
        ),
    ]


def load(accounts: int) -> list[Point]:
    """Measure what a catalogue costs a daemon.

    Parameters
    ----------
    accounts : int
        How many client accounts it holds.

    Returns
    -------
    list of Point
        Processor time to check it whole and after one change, and memory.
    """
    values = shards.split(example(accounts, DATA_CENTRES))
    start = time.process_time()
    whole = shards.join(values).ok
    seconds = time.process_time() - start
    changed = _changed(whole, 0)
    del whole
    gc.collect()
    tracemalloc.start()
    known = _known(values)
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    after = shards.split(changed)
    for key, data in after.items():
        if key not in values:
            known.add_shard(key.rpartition('/')[2], data)
    manifest = shards.parse_manifest(after[shards.MANIFEST_KEY]).ok
    start = time.process_time()
    verdict = known.assemble(manifest)
    again = time.process_time() - start
    if verdict.is_error():
        raise ValueError(f'invalid: {verdict.error}')
    return [
        Point('load_time', 'accounts', accounts, seconds, 's'),
        Point('change_time', 'accounts', accounts, again, 's'),
        Point('load_memory', 'accounts', accounts, size / MEBIBYTE, 'MiB'),
        Point('load_peak', 'accounts', accounts, peak / MEBIBYTE, 'MiB'),
    ]


def example(accounts: int, places: int) -> catalogue.Catalogue:
    """Return a catalogue of that many client accounts and data centres."""
    shares = {f'dc{number}': 1 / places for number in range(places)}
    return catalogue.Catalogue(
        1,
        {},
        {
            f'account{number}': catalogue.Account(
                100.0, 1000.0, dict(shares), (_key_digest(number),)
            )
            for number in range(accounts)
        },
        {},
    )


class _Counts(NamedTuple):
    calls: float
    messages: float
    sent_bytes: float

    @classmethod
    def of(cls, fleet: fake_fleet.FakeFleet) -> '_Counts':
        return cls(
            fleet.platform.calls_by_reader.total(),
            fleet.network.message_count,
            fleet.network.byte_count,
        )

    def less(self, before: '_Counts') -> '_Counts':
        return _Counts(
            self.calls - before.calls,
            self.messages - before.messages,
            self.sent_bytes - before.sent_bytes,
        )


async def _idle(fleet: fake_fleet.FakeFleet) -> _Counts:
    before = _Counts.of(fleet)
    await asyncio.sleep(IDLE_SECONDS)
    spent = _Counts.of(fleet).less(before)
    return _Counts(*(value / IDLE_SECONDS for value in spent))


async def _until_everywhere(
    fleet: fake_fleet.FakeFleet, version: int, seconds: float
) -> float:
    took = await fleet.until(
        lambda: {*fleet.versions().values()} == {version},
        seconds,
        LOOK_SECONDS,
    )
    if took is None:
        raise TimeoutError(f'version {version} is not everywhere')
    return took


def _changed(whole: catalogue.Catalogue, number: int) -> catalogue.Catalogue:
    name = f'account{number}'
    account = whole.accounts_by_name[name]
    changed = account._replace(rate=account.rate + 1)
    return whole._replace(
        version=whole.version + 1,
        accounts_by_name={**whole.accounts_by_name, name: changed},
    )


def _known(values: dict[str, bytes]) -> version_store.VersionStore:
    known = version_store.VersionStore()
    for key, data in values.items():
        if key != shards.MANIFEST_KEY:
            known.add_shard(key.rpartition('/')[2], data)
    known.assemble(shards.parse_manifest(values[shards.MANIFEST_KEY]).ok)
    return known


def _key_digest(number: int) -> str:
    return f'sha256:{shards.digest_of(str(number).encode())}'
