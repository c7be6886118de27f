"""Slopes of a daemon's own process: time and memory for its callers."""

import asyncio
import collections.abc
import contextlib
import functools
import os
from pathlib import Path
import sys
import tempfile
import time
from typing import NamedTuple

import httpx
import msgspec

from corianderspar import catalogue
from corianderspar import fits
from corianderspar import platform_client
from corianderspar import standins

SITES = (
    standins.Site('prefill-1', 'szeged', 'prefill'),
    standins.Site('decode-1', 'szeged', 'decode'),
    standins.Site('decode-2', 'szeged', 'decode'),
    standins.Site('decode-3', 'szeged', 'decode'),
)
ANSWER_LENGTHS = (16, 64, 128, 256, 384, 512)
LOOKUP_COUNTS = (50, 100, 200, 300, 400)
ACCOUNT_COUNTS = (1, 2500, 5000, 10_000)
OPEN_COUNTS = (1, 1000, 2500, 5000, 9000)
ENGINE_COUNTS = (2, 8, 16, 32)
IDLE_SECONDS = 10.0
CONCURRENCY = 8
ANSWERS = 24
LATENCY_CALLS = 200
READY_LOOKS = 600
LOOK_SECONDS = 0.05
SETTLE_SECONDS = 1.0
BLURBS = '/blurbs/v1/completions'

SETTINGS = """
[vm]
name = "ev1"
data_centre = "szeged"
[listen]
callers = "{callers}"
peers = "{peers}"
admin = "{admin}"
[platform]
addresses = ["{platform}"]
[limits]
drain_seconds = 0.0
replay_seconds = 0.0
[shares]
list_lag = 0.1
lease = 3.0
long_lease = 3.0
loan = 0.1
"""


class Latency(NamedTuple):
    """Added latency of a lookup, seconds, and the calls behind it."""

    direct: float
    through: float
    calls: int


class Process:
    """A daemon in a process of its own, with its meter.

    Parameters
    ----------
    outside : Standins
        What it meets.
    child : Process
        The daemon.
    callers : str
        Where it serves, ip:port.
    """

    def __init__(
        self,
        outside: standins.Standins,
        child: asyncio.subprocess.Process,
        callers: str,
    ) -> None:
        self.outside = outside
        self.callers = callers
        self._child = child
        self._pid = child.pid

    def send_signal(self, number: int) -> None:
        """Send the daemon a signal."""
        self._child.send_signal(number)

    async def wait(self) -> int:
        """Return the daemon's exit code when it has ended."""
        return await self._child.wait()

    def cpu_seconds(self) -> float:
        """Return the processor time used so far, user and system."""
        stat = Path(f'/proc/{self._pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def memory(self) -> float:
        """Return resident memory in bytes."""
        pages = Path(f'/proc/{self._pid}/statm').read_text().split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE')

    def client(self) -> httpx.AsyncClient:
        """Return an HTTP client with the account's key."""
        headers = {'authorization': f'Bearer {self.outside.key.key}'}
        bounds = httpx.Limits(
            max_connections=None, max_keepalive_connections=None
        )
        return httpx.AsyncClient(
            base_url=f'http://{self.callers}',
            headers=headers,
            limits=bounds,
            timeout=60.0,
            trust_env=False,
        )


@contextlib.asynccontextmanager
async def running(
    accounts: int = 1, sites: tuple[standins.Site, ...] = SITES
) -> collections.abc.AsyncIterator[Process]:
    """Run a daemon process against stand-ins in this process.

    Parameters
    ----------
    accounts : int
        How many client accounts the catalogue holds.
    sites : tuple of Site
        The engines.
    """
    outside = standins.Standins(sites)
    for number in range(accounts - 1):
        digest = f'sha256:{number:064x}'
        outside.accounts_by_name[f'account-{number}'] = catalogue.Account(
            100.0, 1000.0, {'szeged': 1.0}, (digest,)
        )
    await outside.start()
    callers, peers, admin = (standins.free_address() for _ in range(3))
    outside.list_vms(
        (platform_client.ListedVm('ev1', 'szeged', 'default', peers),)
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'daemon.toml'
        path.write_text(
            SETTINGS.format(
                callers=callers,
                peers=peers,
                admin=admin,
                platform=outside.platform_address,
            )
        )
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'corianderspar.daemon',
            str(path),
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            process = Process(outside, child, callers)
            await _wait_ready(process)
            yield process
        finally:
            if child.returncode is None:
                child.kill()
            await child.wait()
            await outside.stop()


async def _wait_ready(process: Process) -> None:
    async with process.client() as client:
        for _look in range(READY_LOOKS):
            with contextlib.suppress(httpx.HTTPError):
                body = {'prompt': 'ready? answer=1', 'max_tokens': 1}
                if (await client.post(BLURBS, json=body)).is_success:
                    return
            await asyncio.sleep(LOOK_SECONDS)
    raise TimeoutError('the daemon is not ready')


async def _many(
    count: int,
    one: collections.abc.Callable[[int], collections.abc.Awaitable[None]],
) -> None:
    numbers = iter(range(count))

    async def worker() -> None:
        for number in numbers:
            await one(number)

    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))


async def _answer(client: httpx.AsyncClient, tokens: int, number: int) -> None:
    prompt = f'{number} feast days of the year answer={tokens}'
    body = {'prompt': prompt, 'max_tokens': tokens, 'stream': True}
    async with client.stream('POST', BLURBS, json=body) as response:
        async for _line in response.aiter_lines():
            pass
        if response.status_code != httpx.codes.OK:
            raise RuntimeError(f'HTTP {response.status_code}')


def text_of(line: str) -> str:
    """Return the text in a line of a streamed completion."""
    content = line.removeprefix('data: ')
    if not content.startswith('{"id"'):
        return ''
    return msgspec.json.decode(content)['choices'][0]['text']


async def token_series() -> fits.Series:
    """Processor time of a streamed answer over its tokens."""
    points = []
    async with running() as process, process.client() as client:
        await _many(ANSWERS, functools.partial(_answer, client, 8))
        for tokens in ANSWER_LENGTHS:
            before = process.cpu_seconds()
            await _many(ANSWERS, functools.partial(_answer, client, tokens))
            used = process.cpu_seconds() - before
            points.append(fits.Point(tokens, used / ANSWERS))
    return fits.Series(
        'answer_cpu',
        'tokens in the answer',
        'processor seconds per answer',
        tuple(points),
    )


async def lookup_series() -> fits.Series:
    """Processor time over the number of plain requests."""
    points = []
    async with running() as process, process.client() as client:

        async def one(_number: int) -> None:
            await client.get('/catalogue/pentecost')

        await _many(CONCURRENCY * 4, one)
        for count in LOOKUP_COUNTS:
            before = process.cpu_seconds()
            await _many(count, one)
            used = process.cpu_seconds() - before
            points.append(fits.Point(count, used))
    return fits.Series(
        'lookup_cpu', 'plain requests', 'processor seconds', tuple(points)
    )


async def report_series() -> fits.Series:
    """Processor time of a daemon without requests over its engines."""
    points = []
    for count in ENGINE_COUNTS:
        sites = tuple(
            standins.Site(
                f'engine-{number}',
                'szeged',
                'decode' if number else 'prefill',
            )
            for number in range(count)
        )
        async with running(sites=sites) as process:
            await asyncio.sleep(SETTLE_SECONDS)
            before = process.cpu_seconds()
            await asyncio.sleep(IDLE_SECONDS)
            used = process.cpu_seconds() - before
            points.append(fits.Point(count, used / IDLE_SECONDS * 1000))
    return fits.Series(
        'idle_cpu', 'engines of its shards', 'ms/s', tuple(points)
    )


async def account_series() -> fits.Series:
    """Resident memory over the number of client accounts."""
    points = []
    for count in ACCOUNT_COUNTS:
        async with running(accounts=count) as process:
            await asyncio.sleep(SETTLE_SECONDS)
            points.append(fits.Point(count, process.memory()))
    return fits.Series(
        'account_memory', 'client accounts', 'bytes resident', tuple(points)
    )


async def connection_series() -> fits.Series:
    """Resident memory over the number of idle connections."""
    points = []
    async with running() as process:
        host, port = process.callers.rsplit(':', 1)
        async with contextlib.AsyncExitStack() as stack:
            opened = 0
            for count in OPEN_COUNTS:
                while opened < count:
                    _reader, writer = await asyncio.open_connection(
                        host, int(port)
                    )
                    stack.callback(writer.close)
                    opened += 1
                await asyncio.sleep(SETTLE_SECONDS)
                points.append(fits.Point(count, process.memory()))
    return fits.Series(
        'connection_memory',
        'idle connections',
        'bytes resident',
        tuple(points),
    )


async def latency() -> Latency:
    """Return the median latency of a lookup, direct and through us."""
    async with running() as process, process.client() as client:
        direct_url = f'http://{process.outside.address("shop-1")}'
        direct, through = [], []
        for _call in range(LATENCY_CALLS):
            direct.append(
                await _timed(client, f'{direct_url}/catalogue/purim')
            )
            through.append(await _timed(client, '/catalogue/purim'))
    middle = LATENCY_CALLS // 2
    return Latency(
        sorted(direct)[middle], sorted(through)[middle], LATENCY_CALLS
    )


async def _timed(client: httpx.AsyncClient, url: str) -> float:
    start = time.perf_counter()
    response = await client.get(url)
    response.raise_for_status()
    return time.perf_counter() - start


def series() -> tuple[fits.Series, ...]:
    """Measure all series of this module."""
    return (
        asyncio.run(token_series()),
        asyncio.run(lookup_series()),
        asyncio.run(report_series()),
        asyncio.run(account_series()),
        asyncio.run(connection_series()),
    )
