"""Slopes of placement: peer messages and processor time per request."""

import asyncio
import collections
from collections.abc import Coroutine
from collections.abc import Generator
import time
from typing import Any
from typing import NamedTuple

from corianderspar import clock as clocks
from corianderspar import fits
from corianderspar import kernel
from corianderspar import peers
from corianderspar import placement_trial
from corianderspar import pool_trial
from corianderspar import workload

REQUESTS = (50, 100, 200, 300, 400)
ANSWERS = (16, 64, 128, 256, 384)
ANSWER_REQUESTS = 240
ANSWER = 80
PROMPT_WORDS = 600
SECONDS = 40.0
SEED = 5


class Point(NamedTuple):
    """One measured value.

    Attributes
    ----------
    name : str
        What was measured.
    against : str
        What ``size`` counts: requests, or tokens of an answer.
    size : int
        How many.
    value : float
        In ``unit``, all requests together.
    unit : str
        Its unit.
    """

    name: str
    against: str
    size: int
    value: float
    unit: str


class Cost(NamedTuple):
    """What a run cost.

    Attributes
    ----------
    messages, bytes : float
        Sent between daemons.
    home, edge : float
        Processor seconds of the tasks of the home, and of the edges; the
        edges' hold the stand-in engines' side of each call.
    """

    messages: float
    bytes: float
    home: float
    edge: float


UNITS = {'messages': '1', 'bytes': 'bytes', 'home': 's', 'edge': 's'}


def points() -> list[Point]:
    """Measure all points on virtual time; processor time is real."""
    idle = cost([])
    found = []
    for count in REQUESTS:
        spent = cost(_arrivals(count, ANSWER))
        found += _points('requests', count, spent, idle)
    for tokens in ANSWERS:
        spent = cost(_arrivals(ANSWER_REQUESTS, tokens))
        found += _points('answer_tokens', tokens, spent, idle)
    return found


def series() -> tuple[fits.Series, ...]:
    """Return the points as series for straight lines."""
    points_by_series: dict[tuple[str, str, str], list[fits.Point]] = {}
    for point in points():
        key = point.name, point.against, point.unit
        points_by_series.setdefault(key, []).append(
            fits.Point(point.size, point.value)
        )
    return tuple(
        fits.Series(f'placement_{name}_{against}', against, unit, tuple(found))
        for (name, against, unit), found in points_by_series.items()
    )


def cost(arrivals: list[workload.Arrival]) -> Cost:
    """Run a workload for `SECONDS` and return what it cost."""
    trial = placement_trial.PlacementTrial(
        pool_trial.Setup(dies='', slots=40), arrivals, SEED
    )
    meters: dict[str, _Meter] = {}
    started = trial.fleet.start_all

    async def start_metered() -> None:
        await started()
        for vm, app in trial.fleet.apps_by_vm.items():
            meters[vm] = _Meter(app)

    trial.fleet.start_all = start_metered  # type: ignore[method-assign]

    async def run() -> str:
        await trial.run()
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, SECONDS - loop.time()))
        return trial.service('vm1').home(pool_trial.MODEL)

    home = clocks.run_virtual(run())
    counts: collections.Counter[str] = collections.Counter()
    for app in trial.fleet.apps_by_vm.values():
        counts.update(app.find('peers', peers.Peers).counts)
    spent = {vm: meter.seconds for vm, meter in meters.items()}
    edges = sum(seconds for vm, seconds in spent.items() if vm != home)
    return Cost(counts['sent'], counts['sent_bytes'], spent[home], edges)


class _Meter:
    """Adds up the processor time of the tasks that an application starts.

    Parameters
    ----------
    app : Application
        Tasks that it spawns from now on are timed.
    """

    def __init__(self, app: kernel.Application) -> None:
        self.seconds = 0.0
        self._spawn = app.spawn
        app.spawn = self._timed_spawn  # type: ignore[method-assign]

    def _timed_spawn(
        self, service: str, task: str, coroutine: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        return self._spawn(service, task, self._timed(coroutine))

    async def _timed(self, work: Coroutine[Any, Any, Any]) -> Any:
        return await _Timed(work, self)


class _Timed:
    """Awaits a coroutine and times each of its steps."""

    def __init__(self, work: Coroutine[Any, Any, Any], meter: _Meter) -> None:
        self._work = work
        self._meter = meter

    def __await__(self) -> Generator[Any, Any, Any]:
        value, error = None, None
        while True:
            began = time.thread_time()
            try:
                if error is not None:
                    waited = self._work.throw(error)
                else:
                    waited = self._work.send(value)
            except StopIteration as stop:
                return stop.value
            finally:
                self._meter.seconds += time.thread_time() - began
            value, error = None, None
            try:
                value = yield waited
            except BaseException as raised:  # noqa: BLE001
                error = raised


def _arrivals(count: int, tokens: int) -> list[workload.Arrival]:
    rate = max(REQUESTS) / (SECONDS / 2)
    return [
        workload.Arrival(
            number / rate,
            f'r{number}',
            f'account{number % 5}',
            'draft',
            f'{number} ' + 'word ' * PROMPT_WORDS + f'answer={tokens}',
            1.0,
            'patient',
            8 * tokens,
            tokens,
            None,
        )
        for number in range(count)
    ]


def _points(against: str, size: int, spent: Cost, idle: Cost) -> list[Point]:
    return [
        Point(name, against, size, value - before, UNITS[name])
        for name, value, before in zip(Cost._fields, spent, idle, strict=True)
    ]


def main() -> None:
    """Print the series and their lines."""
    for found in series():
        line = fits.fit(found)
        print(
            f'slope={found.name} value={line.slope:.4g} unit={found.y}'
            f' residual={line.residual:.3g} error={line.error:.3g}'
        )


if __name__ == '__main__':
    main()
