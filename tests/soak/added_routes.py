"""Routes that an operator adds, asked for at daemons that are processes.

Each daemon reaches one store through a link of its own. Whatever happens, a
daemon in touch with the store has to serve a route within `CONFIG_SECONDS`
of the store's acknowledgement.
"""

import argparse
import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import copy
from pathlib import Path
import re
import signal
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

import httpx

from tests.platform import fakes
from tests.platform import scripted
from tests.soak import proxy
from tests.soak import soak
from tests.soak import store

CONFIG_SECONDS = 2.0  # from an acknowledgement until all daemons know
MARGIN_SECONDS = 0.02
STABLE_SECONDS = 3.0  # in touch, until a daemon is judged
VERSION_SECONDS = 0.4  # between two configurations
BEFORE_SECONDS = 3.0
TROUBLE_SECONDS = 8.0
REST_SECONDS = 8.0
ANSWER_SECONDS = 6.0  # for which a caller waits
STARTED = b'event=daemon.started'
NESTED = b'[' * 3000 + b']' * 3000
SLOW_BYTES_PER_SECOND = 5e6 / 8
STORE_EVENTS = re.compile(
    rb'event=(service\.failed|service\.restarted|store\.lost|store\.behind'
    rb'|store\.unreadable|store\.regained|store\.compacted|keys_unproved)'
)
DETAILS = re.compile(
    rb'event=(?:store\.lost|service\.failed) process=\S+ counter=\d+ (.*)'
)
# Items under `servers/` as another writer may leave them; REV is a number.
ITEM = b'{"key":"servers/w","value":"e30=","rev":REV,"created":1,"lease":0}'
FOREIGN_BY_NAME = {
    'key-bytes': ITEM.replace(b'servers/w', b'servers/\xff\xfe'),
    'key-surrogate': ITEM.replace(b'servers/w', rb'servers/\ud800'),
    'value-null': ITEM.replace(b'"e30="', b'null'),
    'value-number': ITEM.replace(b'"e30="', b'17'),
    'value-object': ITEM.replace(b'"e30="', b'{"service":"shop"}'),
    'revision-float': ITEM.replace(b'REV', b'REV.5'),
    'deleted-null': ITEM.replace(b'"lease"', b'"deleted":null,"lease"'),
    'revision-huge': ITEM.replace(b'REV', b'1' * 30),
    'field-nested': ITEM.replace(b'"lease":0', b'"lease":0,"x":' + NESTED),
}


class Asked(NamedTuple):
    """A request for a route."""

    daemon: str
    is_added: bool
    is_keyed: bool
    status: int  # 0 for no answer
    is_judged: bool  # the daemon had been in touch for `STABLE_SECONDS`
    is_rest: bool  # all trouble had been over for that time


class AddedRoutes(soak.Soak):
    """One run, with one trouble; see `TROUBLES`."""

    def __init__(
        self,
        seed: int,
        path: Path,
        trouble: str,
        count: int = 6,
        root: Path = soak.ROOT,
    ) -> None:
        super().__init__(seed, 0.0, path, count)
        self.root = root
        self.store: store.SoakStore = store.SoakStore()
        self.trouble = trouble
        self.routes_asked: list[Asked] = []
        self.ready = 0
        self.lag = 0.0  # seconds; of this process, at most
        self.fields: dict[str, Any] = {}  # of configurations, besides
        self._added: list[dict[str, Any]] = []
        self._sound_since_by_name = dict.fromkeys(
            (f'front-{number}' for number in range(count)), 0.0
        )
        self._harms_by_name: collections.Counter[str] = collections.Counter()
        self._over_at = float('inf')
        self._callers: dict[tuple[str, bool, bool], scripted.Caller] = {}
        self._locks = collections.defaultdict(asyncio.Lock)

    async def play(self) -> list[str]:
        """Run; return what was not served though it had to be."""
        await self._start()
        self.publish()
        background = [asyncio.create_task(self._watch_lag())]
        try:
            await self._all_ready(soak.READY_SECONDS)
            background.append(asyncio.create_task(self._operate()))
            await asyncio.sleep(BEFORE_SECONDS)
            await TROUBLES[self.trouble](self)
            self._over_at = time.monotonic()
            await asyncio.sleep(REST_SECONDS)
            self.is_over = True
            async with httpx.AsyncClient(timeout=1.0) as client:
                for daemon in self.daemons:
                    self.ready += await soak.is_ready(client, daemon)
        finally:
            self.is_over = True
            await asyncio.wait(background)
            for caller in self._callers.values():
                caller.writer.transport.abort()
            await self._stop()
        for task in background:
            task.result()
        return self._findings()

    def _choose_mood(self, _rng: Any) -> str:
        return 'sound'

    def publish(self) -> None:
        """Write the configuration with all routes so far."""
        document = copy.deepcopy(fakes.CONFIGURATION)
        look = document['routes'][2]
        first = look | {'name': 'open', 'prefix': '/open/', 'public': True}
        document['routes'] += [first, *self._added]
        self._publish(document | self.fields)

    async def _operate(self) -> None:
        """Add routes, and have each asked for when daemons must know it."""
        look = fakes.CONFIGURATION['routes'][2]
        async with asyncio.TaskGroup() as group:
            while not self.is_over:
                number = len(self._added)
                for prefix, is_public in ('/open-', True), ('/keyed-', False):
                    self._added.append(
                        look
                        | {
                            'name': f'{prefix}{number}',
                            'prefix': f'{prefix}{number}/',
                            'public': is_public,
                        }
                    )
                self.publish()
                for daemon in self.daemons:
                    for is_keyed in False, True:
                        kind = 'keyed' if is_keyed else 'open'
                        for is_added, prefix in (
                            (True, f'/{kind}-{number}/'),
                            (False, '/order/look/' if is_keyed else '/open/'),
                        ):
                            group.create_task(
                                self._ask_later(
                                    daemon, is_added, is_keyed, prefix
                                )
                            )
                await asyncio.sleep(VERSION_SECONDS)

    async def _ask_later(
        self, daemon: soak.Daemon, is_added: bool, is_keyed: bool, prefix: str
    ) -> None:
        await asyncio.sleep(CONFIG_SECONDS + MARGIN_SECONDS)
        place = daemon.name, is_added, is_keyed
        async with self._locks[place]:
            if self.is_over:
                return
            now = time.monotonic()
            since = self._sound_since_by_name[daemon.name]
            is_judged = now - since >= STABLE_SECONDS
            is_rest = now - self._over_at >= STABLE_SECONDS
            status = await self._ask_on(place, daemon, prefix)
            # Trouble that began meanwhile excuses what it struck.
            is_judged &= self._sound_since_by_name[daemon.name] == since
            self.routes_asked.append(Asked(*place, status, is_judged, is_rest))

    async def _ask_on(
        self, place: tuple[str, bool, bool], daemon: soak.Daemon, prefix: str
    ) -> int:
        """Ask on the kept connection, or on a new one."""
        headers = {
            'host': 'h.example',
            'x-request-id': f'{self.rng.getrandbits(64):016x}',
            'x-api-key': 'k1',
            'x-deadline-ms': str(int(ANSWER_SECONDS * 1000)),
        }
        caller = self._callers.pop(place, None)
        with contextlib.suppress(OSError):
            if caller is None:
                caller = scripted.Caller(daemon.ports['front'])
                await caller.__aenter__()
            caller.send(prefix, headers)
            ending = await caller.ending(ANSWER_SECONDS)
            if ending.is_whole and not ending.closes:
                self._callers[place] = caller
            else:
                caller.writer.transport.abort()
            return ending.status
        return 0

    async def _watch_lag(self) -> None:
        while not self.is_over:
            began = time.monotonic()
            await asyncio.sleep(0.05)
            self.lag = max(self.lag, time.monotonic() - began - 0.05)

    @contextlib.contextmanager
    def harm(self, daemons: Iterable[soak.Daemon]) -> Iterator[None]:
        """Judge no daemon of these inside, nor `STABLE_SECONDS` after."""
        names = [daemon.name for daemon in daemons]
        for name in names:
            self._harms_by_name[name] += 1
            self._sound_since_by_name[name] = float('inf')
        yield
        for name in names:
            self._harms_by_name[name] -= 1
            if not self._harms_by_name[name]:
                self._sound_since_by_name[name] = time.monotonic()

    def statuses(self, **wanted: bool) -> collections.Counter[int]:
        """Return how often each status came; `wanted` are fields."""
        return collections.Counter(
            one.status
            for one in self.routes_asked
            if all(getattr(one, name) == wanted[name] for name in wanted)
        )

    def logged(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return counts of events, and of what was lost or failed."""
        output = b'\n'.join(daemon.output for daemon in self.daemons)
        return tuple(
            {
                name.decode(errors='replace')[:150]: count
                for name, count in collections.Counter(found).most_common(6)
            }
            for found in (
                STORE_EVENTS.findall(output),
                DETAILS.findall(output),
            )
        )

    def summary(self) -> str:
        judged = self.statuses(is_added=True, is_judged=True)
        rest = self.statuses(is_added=True, is_judged=True, is_rest=True)
        keyed = self.statuses(is_keyed=True, is_judged=True)
        first = self.statuses(is_added=False, is_keyed=False, is_judged=True)
        events, details = self.logged()
        return (
            f'added {dict(judged)}, of these after the trouble {dict(rest)}; '
            f'keyed {keyed[200]}/{keyed.total()}; '
            f'first public {first[200]}/{first.total()}; '
            f'ready {self.ready}/{self.count}; lag {self.lag:.2f} s; '
            f'{events} {details}'
        )

    def _findings(self) -> list[str]:
        findings = []
        for is_added in True, False:
            for is_keyed in True, False:
                statuses = self.statuses(
                    is_added=is_added, is_keyed=is_keyed, is_judged=True
                )
                served, total = statuses[200], statuses.total()
                if served < total or not total:
                    findings.append(
                        f'{"added" if is_added else "first"} '
                        f'{"keyed" if is_keyed else "public"} routes: '
                        f'{served} of {total} served, {dict(statuses)}'
                    )
        if self.ready < self.count:
            findings.append(f'{self.ready} of {self.count} ready')
        return findings


Trouble = Callable[[AddedRoutes], Awaitable[None]]


async def _none(run: AddedRoutes) -> None:
    await asyncio.sleep(TROUBLE_SECONDS)


def _foreign(*items: bytes) -> Trouble:
    """Leave items of another writer, which are there at the next start."""

    async def trouble(run: AddedRoutes) -> None:
        for number, raw in enumerate(items):
            run.store.write(f'servers/w{number}', b'', raw)
        await asyncio.sleep(TROUBLE_SECONDS)
        await _kill(run, run.daemons)

    return trouble


async def _foreign_value_nested(run: AddedRoutes) -> None:
    run.store.write('servers/w', b'{"x":' + NESTED + b'}')
    await asyncio.sleep(TROUBLE_SECONDS / 2)
    await _kill(run, run.daemons)


async def _kill(run: AddedRoutes, daemons: list[soak.Daemon]) -> None:
    """Kill daemons; return once all run again."""
    starts = [daemon.output.count(STARTED) for daemon in daemons]
    with run.harm(daemons):
        for daemon in daemons:
            daemon.signal(signal.SIGKILL)
        for daemon, count in zip(daemons, starts, strict=True):
            for _look in range(int(soak.READY_SECONDS / soak.LOOK_SECONDS)):
                if daemon.output.count(STARTED) > count:
                    break
                await asyncio.sleep(soak.LOOK_SECONDS)


def _links(fault: proxy.Fault, step: int = 1) -> Trouble:
    """Harm the way to the store of each `step`-th daemon."""

    async def trouble(run: AddedRoutes) -> None:
        chosen = run.store_links[::step]
        with run.harm(run.daemons[::step]):
            for link in chosen:
                link.fault = fault
                if fault.refuses:
                    link.reset()
            await asyncio.sleep(TROUBLE_SECONDS)
            for link in chosen:
                link.fault = proxy.Fault()

    return trouble


def _store(*, is_sound: bool = False, **attributes: Any) -> Trouble:
    """Let the store answer in another way for a time."""

    async def trouble(run: AddedRoutes) -> None:
        # Another trouble may have changed what is there now.
        sound = vars(store.SoakStore())
        with run.harm([] if is_sound else run.daemons):
            vars(run.store).update(attributes)
            await asyncio.sleep(TROUBLE_SECONDS)
            vars(run.store).update({name: sound[name] for name in attributes})

    return trouble


async def _history_dropped(run: AddedRoutes) -> None:
    for _ in range(4):
        run.store.oldest = run.store.revision + 1
        run.store.write('other/a', b'1')
        await asyncio.sleep(TROUBLE_SECONDS / 4)


async def _frozen(run: AddedRoutes) -> None:
    with run.harm(run.daemons[::2]):
        for daemon in run.daemons[::2]:
            daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(TROUBLE_SECONDS)
        for daemon in run.daemons[::2]:
            daemon.signal(signal.SIGCONT)


async def _all_killed(run: AddedRoutes) -> None:
    await _kill(run, run.daemons)


async def _reloads(run: AddedRoutes) -> None:
    for number in range(40):
        daemon = run.daemons[number % len(run.daemons)]
        if daemon.handles_sighup():
            daemon.signal(signal.SIGHUP)
        await asyncio.sleep(TROUBLE_SECONDS / 40)


async def _large_entries(run: AddedRoutes) -> None:
    """Fill the store beyond one read, which daemons then need."""
    for number in range(60):
        run.store.write(f'servers/large-{number}', bytes(700_000))
        await asyncio.sleep(0.1)
    run.store.oldest = run.store.revision + 1
    run.store.write('other/a', b'1')
    await asyncio.sleep(TROUBLE_SECONDS / 2)


async def _large_watch(run: AddedRoutes) -> None:
    """Change more at once than one answer may hold, in four bursts."""
    for _ in range(4):
        for number in range(12):
            run.store.write(f'other/{number}', bytes(10**6))
        await asyncio.sleep(TROUBLE_SECONDS / 4)


async def _growing_rate(run: AddedRoutes) -> None:
    until = time.monotonic() + TROUBLE_SECONDS
    wait = 0.1
    while time.monotonic() < until:
        run.store.write('other/a', b'1')
        wait *= 0.97
        await asyncio.sleep(max(wait, 0.001))


async def _large_configuration(run: AddedRoutes) -> None:
    """Publish faster than the links carry."""
    with run.harm(run.daemons):
        run.fields = {'ballast': 'x' * 700_000}
        run.store.bytes_per_second = SLOW_BYTES_PER_SECOND
        until = time.monotonic() + TROUBLE_SECONDS
        while time.monotonic() < until:
            run.publish()
            await asyncio.sleep(0.3)
        run.fields = {}
        run.store.bytes_per_second = float('inf')


async def _number_huge(run: AddedRoutes) -> None:
    """Publish one version with a number that takes more than 64 bits."""
    run.fields = {'limits': {'max_body_bytes': 10**20}}
    run.publish()
    run.fields = {}
    await asyncio.sleep(TROUBLE_SECONDS)


def _counter_back(era: str | None) -> Trouble:
    """Return the store from a copy that is hundreds of changes old."""

    async def trouble(run: AddedRoutes) -> None:
        copied = run.store.copy()
        for _ in range(300):
            run.store.write('other/a', b'1')
            await asyncio.sleep(0.01)
        with run.harm(run.daemons):
            run.store.restore(copied)
            run.store.era = era
            await asyncio.sleep(TROUBLE_SECONDS / 2)

    return trouble


def _as_of(revision: int) -> Trouble:
    """Let the answers of a moment state another revision."""

    async def trouble(run: AddedRoutes) -> None:
        run.store.as_of = revision
        run.store.write('other/a', b'1')
        await asyncio.sleep(0.1)
        run.store.as_of = None

    return trouble


async def _one_ahead(run: AddedRoutes) -> None:
    """Let one daemon be ahead; then all have to ask their peers."""
    links = run.store_links[1:]
    with run.harm(run.daemons[1:]):
        for link in links:
            link.fault = SILENT
        await _as_of(2**40)(run)
        await asyncio.sleep(TROUBLE_SECONDS / 2)
        for link in links:
            link.fault = proxy.Fault()
            link.reset()


async def _pause_at_start(run: AddedRoutes) -> None:
    with run.harm(run.daemons):
        for link in run.store_links:
            link.fault = proxy.Fault(up=True, down=True)
        async with asyncio.TaskGroup() as group:
            group.create_task(_kill(run, run.daemons[:1]))
            await asyncio.sleep(4.0)
        for link in run.store_links:
            link.fault = proxy.Fault()


async def _series(run: AddedRoutes) -> None:
    """Begin six troubles of those that pass alone, by the seed."""
    names = sorted(TROUBLES.keys() - KNOWN_RED - {'series'})
    async with asyncio.TaskGroup() as group:
        for name in run.rng.sample(names, 6):
            run.faults.append(name)
            group.create_task(TROUBLES[name](run))
            await asyncio.sleep(run.rng.uniform(0.0, 2.0))


SILENT = proxy.Fault(up=True, down=True)
TROUBLES: dict[str, Trouble] = {
    'none': _none,
    'store-503': _store(status=503),
    'store-silent': _links(SILENT),
    'store-reset': _links(proxy.Fault(refuses=True)),
    'some-silent': _links(SILENT, 2),
    'some-reset': _links(proxy.Fault(refuses=True), 2),
    'history-dropped': _history_dropped,
    'frozen': _frozen,
    'killed': _all_killed,
    'reloads': _reloads,
    'value-nested': _foreign_value_nested,
    **{name: _foreign(raw) for name, raw in FOREIGN_BY_NAME.items()},
    'all-foreign': _foreign(*FOREIGN_BY_NAME.values()),
    'large-entries': _large_entries,
    'large-watch': _large_watch,
    'growing-rate': _growing_rate,
    'large-configuration': _large_configuration,
    'number-huge': _number_huge,
    'counter-back': _counter_back(None),
    'counter-back-era': _counter_back('1'),
    'as-of-ahead': _as_of(2**40),
    'as-of-huge': _as_of(2**70),
    'one-ahead': _one_ahead,
    'era-huge': _store(era=str(2**70)),
    'era-unreadable': _store(era='one'),
    'trickled': _store(bytes_per_second=4000.0, piece_bytes=200),
    'head-only': _store(manner='head'),
    'closing': _store(manner='closing', is_sound=True),
    'chunked': _store(manner='chunked', is_sound=True),
    'pause-at-start': _pause_at_start,
    'series': _series,
}

# Those that daemons get over too late.
KNOWN_RED = {'large-entries', 'counter-back', 'as-of-ahead', 'one-ahead'}


def main() -> int:
    """Play one trouble, or all; print what came of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--trouble', choices=[*TROUBLES, 'all'], default='all')
    parser.add_argument('--daemons', type=int, default=6)
    parser.add_argument('--root', type=Path, default=soak.ROOT)
    parser.add_argument('--logs', type=Path, help='a folder for the output')
    chosen = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    is_all = chosen.trouble == 'all'
    is_red = False
    for trouble in list(TROUBLES) if is_all else [chosen.trouble]:
        with tempfile.TemporaryDirectory() as folder:
            run = AddedRoutes(
                chosen.seed,
                Path(folder),
                trouble,
                chosen.daemons,
                chosen.root,
            )
            findings = asyncio.run(run.play())
        is_red |= bool(findings)
        print(f'{trouble} {chosen.seed} {run.faults}: {run.summary()}')
        for finding in findings:
            print(f'  {finding}')
        sys.stdout.flush()
        if chosen.logs:
            for daemon in run.daemons:
                name = f'{trouble}-{chosen.seed}-{daemon.name}.log'
                (chosen.logs / name).write_bytes(daemon.output)
    return int(is_red)


if __name__ == '__main__':
    sys.exit(main())
