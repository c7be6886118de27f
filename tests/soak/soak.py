"""Daemons as processes, callers, and faults from outside, by a seed."""

import asyncio
import contextlib
import copy
import os
from pathlib import Path
import random
import signal
import sys
import time

import httpx

from tests.platform import fakes
from tests.soak import ledger
from tests.soak import proxy

ROOT = Path(__file__).parent.parent.parent
READY_SECONDS = 20.0  # for daemons to start on a busy machine
LOOK_SECONDS = 0.1  # between questions whether a daemon is ready
RECOVER_SECONDS = 12.0  # after the last fault, until all are served again
GRACE_SECONDS = 6
CALLERS = 8
CALLER_SECONDS = 3.0  # that a caller waits
ENGINES = (
    ('p1', 'llm', 'prefill'),
    ('p2', 'llm', 'prefill'),
    ('d1', 'llm', 'decode'),
    ('d2', 'llm', 'decode'),
    ('s1', 'shop', ''),
    ('s2', 'shop', ''),
)


class Daemon:
    """One daemon process, started again whenever it ends."""

    def __init__(self, name: str, path: Path, ports: dict[str, int]) -> None:
        self.name = name
        self.path = path
        self.ports = ports
        self.output = b''
        self.expected = 0  # ends that the soak caused
        self.ends = 0
        self.stopping = False

    def url(self, port: str, path: str) -> str:
        return f'http://127.0.0.1:{self.ports[port]}{path}'

    def signal(self, number: int) -> None:
        """Send a signal to the process that this object started."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def run(self) -> None:
        while not self.stopping:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'deploy.start',
                cwd=ROOT,
                env=os.environ | {'CORIANDERSPAR_CONFIG': str(self.path)},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            assert self.process.stdout is not None
            while data := await self.process.stdout.read(65536):
                self.output += data
            await self.process.wait()
            self.ends += 1


class Soak:
    """One seed."""

    def __init__(self, seed: int, seconds: float, path: Path, count: int):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.path = path
        self.count = count
        self.asked: list[ledger.Asked] = []
        self.withdrawn: dict[str, float] = {}
        self.faults: list[str] = []
        self.version = fakes.CONFIGURATION['version']
        self.engines: list[fakes.FakeUpstreamServer] = []
        self.links: list[proxy.Proxy] = []
        self.daemons: list[Daemon] = []
        self.is_over = False

    async def play(self) -> list[str]:
        """Run; return what broke a promise."""
        await self._start()
        callers = [asyncio.create_task(self._call(n)) for n in range(CALLERS)]
        try:
            await self._all_ready(READY_SECONDS)
            until = time.monotonic() + self.seconds
            while time.monotonic() < until:
                await asyncio.sleep(self.rng.uniform(0.1, 0.8))
                await self._fault()
            self._heal()
            findings = await self._recovered()
        finally:
            self.is_over = True
            await asyncio.wait(callers)
            await self._stop()
        findings += [repr(c.exception()) for c in callers if c.exception()]
        return findings + self._checks()

    async def _start(self) -> None:
        self.store = fakes.FakeStoreServer()
        self.store.page_size = 50
        address = await self.store.start()
        self.store.write('op/config', fakes.CONFIGURATION)
        for name, service, phase in ENGINES:
            await self._add_engine(name, service, phase)
        names = ('front', 'ready', 'control', 'metrics')
        all_ports = [
            {name: fakes.free_port() for name in names}
            for _ in range(self.count)
        ]
        for number, ports in enumerate(all_ports):
            link = proxy.Proxy(address)
            self.links.append(link)
            seeds = f'"127.0.0.1:{all_ports[0]["control"]}"'
            path = self.path / f'{number}.toml'
            path.write_text(
                fakes.SETTINGS_TEMPLATE.format(
                    name=f'front-{number}',
                    seeds=seeds,
                    store=await link.start(),
                    **ports,
                )
            )
            self.daemons.append(Daemon(f'front-{number}', path, ports))
        self.running = [asyncio.create_task(d.run()) for d in self.daemons]

    async def _add_engine(self, name: str, service: str, phase: str) -> None:
        """Start an engine behind a link of its own."""
        engine = fakes.FakeUpstreamServer(name, service, phase)
        await engine.listen()
        link = proxy.Proxy(engine.address)
        self.links.append(link)
        engine.register(self.store, await link.start())
        self.engines.append(engine)

    async def _stop(self) -> None:
        for daemon in self.daemons:
            daemon.stopping = True
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        await asyncio.wait(self.running)
        for link in self.links:
            await link.stop()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()

    async def _all_ready(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        async with httpx.AsyncClient(timeout=1.0) as client:
            for daemon in self.daemons:
                for _look in range(int(seconds / LOOK_SECONDS)):
                    if await _is_ready(client, daemon):
                        break
                    if time.monotonic() > until:
                        raise TimeoutError(f'{daemon.name} is not ready')
                    await asyncio.sleep(LOOK_SECONDS)
                else:
                    raise TimeoutError(f'{daemon.name} is not ready')

    async def _fault(self) -> None:
        kind = self.rng.choice(
            (
                self._kill,
                self._end,
                self._pause,
                self._reload,
                self._harm_link,
                self._harm_link,
                self._reset_link,
                self._outage,
                self._new_version,
                self._replace_engine,
            )
        )
        self.faults.append(kind.__name__.strip('_'))
        await kind()

    async def _kill(self) -> None:
        daemon = self.rng.choice(self.daemons)
        daemon.expected += 1
        daemon.signal(signal.SIGKILL)

    async def _end(self) -> None:
        daemon = self.rng.choice(self.daemons)
        daemon.expected += 1
        daemon.signal(signal.SIGTERM)

    async def _pause(self) -> None:
        daemon = self.rng.choice(self.daemons)
        daemon.signal(signal.SIGSTOP)
        self._later(self.rng.uniform(0.2, 6.0), daemon.signal, signal.SIGCONT)

    async def _reload(self) -> None:
        self.rng.choice(self.daemons).signal(signal.SIGHUP)

    async def _harm_link(self) -> None:
        link = self.rng.choice(self.links)
        link.fault = self.rng.choice(
            (
                proxy.Fault(delay=0.2),
                proxy.Fault(up=True),
                proxy.Fault(down=True),
                proxy.Fault(up=True, down=True),
                proxy.Fault(refuses=True),
            )
        )
        self._later(self.rng.uniform(0.3, 4.0), self._mend, link)

    def _mend(self, link: proxy.Proxy) -> None:
        link.fault = proxy.Fault()

    async def _reset_link(self) -> None:
        self.rng.choice(self.links).reset()

    async def _outage(self) -> None:
        self.store.status = 503
        self._later(self.rng.uniform(0.3, 4.0), self._end_outage)

    def _end_outage(self) -> None:
        self.store.status = 200

    async def _new_version(self) -> None:
        """Withdraw the second key, or bring it back under another name."""
        self.version += self.rng.randrange(1, 5)
        document = copy.deepcopy(fakes.CONFIGURATION)
        document['version'] = self.version
        keys = document['tenants'][0]['api_keys']
        if self.rng.random() < 0.5 or 'k2' in self.withdrawn:
            keys.remove('k2')
            self.withdrawn.setdefault('k2', time.monotonic())
        self.store.write('op/config', document)

    async def _replace_engine(self) -> None:
        """Drain an engine's registration; another takes its work."""
        old = self.rng.choice(self.engines)
        await self._add_engine(
            f'{old.instance[0]}{len(self.engines)}', old.service, old.phase
        )
        self.store.write(f'servers/{old.instance}', None)

    def _later(self, seconds, function, *arguments) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, function, *arguments)

    def _heal(self) -> None:
        for link in self.links:
            self._mend(link)
        self._end_outage()
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)

    async def _recovered(self) -> list[str]:
        """Return what is still not served some time after the faults."""
        try:
            await self._all_ready(RECOVER_SECONDS + GRACE_SECONDS)
        except TimeoutError as error:
            return [f'{error} after the faults']
        await asyncio.sleep(2.0)
        since = time.monotonic()
        await asyncio.sleep(3.0)
        late = [one for one in self.asked if one.sent > since]
        late = [one for one in late if one.key not in self.withdrawn]
        served = [one for one in late if one.status == 200]
        if len(served) < 0.9 * len(late) or not late:
            return [f'{len(served)} of {len(late)} served after the faults']
        return []

    async def _call(self, number: int) -> None:
        """Be a caller that keeps its connection for as long as it lasts."""
        rng = random.Random(number)
        count = 0
        while not self.is_over:
            daemon = rng.choice(self.daemons)
            async with httpx.AsyncClient(timeout=CALLER_SECONDS) as client:
                for _ in range(20):
                    if self.is_over:
                        return
                    count += 1
                    if not await self._ask(client, daemon, number, count):
                        break
                    await asyncio.sleep(rng.uniform(0.01, 0.1))
            await asyncio.sleep(0.05)

    async def _ask(
        self,
        client: httpx.AsyncClient,
        daemon: Daemon,
        number: int,
        count: int,
    ) -> bool:
        """Ask once; return whether the connection can be used again."""
        kind = ('order', 'order/look', 'chat')[count % 3]
        request_id = f'{number:04x}{count:012x}'
        path = f'/{kind}/{request_id}'
        key = 'k2' if number % 4 == 0 else 'k1'
        headers = {
            'host': 'h.example',
            'x-request-id': request_id,
            'x-api-key': key,
            'x-deadline-ms': str(int(CALLER_SECONDS * 1000)),
        }
        if kind == 'chat':
            headers['x-token-count'] = '300,80'
        sent = time.monotonic()
        status, body = 0, b''
        try:
            answer = await client.post(
                daemon.url('front', path), headers=headers
            )
            status, body = answer.status_code, answer.content
        except httpx.HTTPError:
            pass  # an ending like others, with status 0
        self.asked.append(
            ledger.Asked(request_id, path, key, sent, status, body)
        )
        return status != 0

    def _checks(self) -> list[str]:
        findings = ledger.check(
            self.asked, ledger.runs(self.engines), self.withdrawn
        )
        for daemon in self.daemons:
            if daemon.ends > daemon.expected + 1:
                findings.append(f'{daemon.name} ended by itself')
            if b'Traceback' in daemon.output:
                at = daemon.output.index(b'Traceback')
                findings.append(f'{daemon.output[at : at + 600]!r}')
        return findings


async def _is_ready(client: httpx.AsyncClient, daemon: Daemon) -> bool:
    try:
        found = await client.get(daemon.url('ready', '/-/ready'))
    except httpx.HTTPError:
        return False
    return found.status_code == 200
