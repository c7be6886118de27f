"""The daemon as a process, between a store and engines of the form."""

import asyncio
import contextlib
import os
from pathlib import Path
import signal
import sys

import httpx
import pytest

from tests.platform import fakes

ROOT = Path(__file__).parent.parent.parent
SECONDS = 20.0  # no step takes longer unless it hangs
STEP_SECONDS = 0.05
INTERPRETER_SECONDS = 0.2
STEPS = int(SECONDS / STEP_SECONDS)
HEADERS = {
    'host': 'h.example',
    'x-request-id': 'r1',
    'x-api-key': 'k1',
    'x-deadline-ms': '4000',
}
CHAT_LONG = {
    **HEADERS,
    'x-deadline-ms': '14000',
    'x-token-count': '1460,80',
}
CHAT = {**HEADERS, 'x-token-count': '1460,80', 'x-model': 'm'}


class World:
    def __init__(self, path, meanwhile=None):
        self.path = path / 'local.toml'
        self.meanwhile = meanwhile
        self.output = b''

    async def __aenter__(self):
        self.store = fakes.FakeStoreServer()
        address = await self.store.start()
        self.store.write('op/config', fakes.CONFIGURATION)
        self.engines_by_name = {}
        for name, service, phase in (
            ('p1', 'llm', 'prefill'),
            ('d1', 'llm', 'decode'),
            ('d2', 'llm', 'decode'),
            ('s1', 'shop', ''),
        ):
            engine = fakes.FakeUpstreamServer(name, service, phase)
            self.engines_by_name[name] = engine
            await engine.start(self.store)
        self.ports = {
            name: fakes.free_port()
            for name in ('front', 'ready', 'control', 'metrics')
        }
        self.path.write_text(
            fakes.SETTINGS_TEMPLATE.format(
                name='front-1', seeds='', store=address, **self.ports
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'deploy.start',
            cwd=ROOT,
            env=os.environ | {'CORIANDERSPAR_CONFIG': str(self.path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        if self.meanwhile is not None:
            # The interpreter itself takes some time before any code runs.
            await asyncio.sleep(INTERPRETER_SECONDS)
            await self.meanwhile(self.process)
        self.reading = asyncio.create_task(self._read())
        self.client = httpx.AsyncClient(timeout=SECONDS)
        for _ in range(STEPS):
            if await self.is_ready():
                break
            await asyncio.sleep(STEP_SECONDS)
        return self

    async def __aexit__(self, *_):
        await self.client.aclose()
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self.reading
        for engine in self.engines_by_name.values():
            await engine.stop()
        await self.store.stop()

    async def _read(self):
        while data := await self.process.stdout.read(65536):
            self.output += data

    async def is_ready(self):
        try:
            answer = await self.client.get(self.url('ready', '/-/ready'))
        except httpx.TransportError:
            return False
        return answer.status_code == 200

    async def says(self, text):
        for _ in range(STEPS):
            if text in self.output:
                return
            await asyncio.sleep(STEP_SECONDS)
        raise AssertionError(f'{text} not in {self.output}')

    def url(self, name, path):
        return f'http://127.0.0.1:{self.ports[name]}{path}'

    async def post(self, path, headers=HEADERS, content=b'body'):
        return await self.client.post(
            self.url('front', path), headers=headers, content=content
        )


async def test_requests_are_served_end_to_end(tmp_path):
    async with World(tmp_path) as world:
        answer = await world.post('/order/1')
        assert answer.status_code == 200
        assert answer.headers['x-response-stamp'] == 'stamp.1'
        method, path, headers, body = world.engines_by_name['s1'].requests[-1]
        assert (method, path, body) == ('POST', '/order/1', b'body')
        assert headers['x-tenant'] == 'parish'
        assert 'x-api-key' not in headers
        assert int(headers['x-deadline-ms']) <= 4000

        answer = await world.post('/chat/1', CHAT)
        assert answer.status_code == 200
        assert answer.content.count(b'\n\n') == 5
        assert (
            world.engines_by_name['p1'].requests[0][2]['x-stage'] == 'prefill'
        )
        decode = (
            world.engines_by_name['d1'].requests
            + world.engines_by_name['d2'].requests
        )[0]
        assert decode[2]['x-kv-from'].endswith('/abc')

        assert (await world.post('/none/1')).status_code == 404
        bad = HEADERS | {'x-api-key': 'nobody'}
        assert (await world.post('/order/1', bad)).status_code == 401
        page = await world.client.get(world.url('metrics', '/metrics'))
        for line in (
            'corianderspar_router_requests_total{kind="plain",status="200"} 1',
            'corianderspar_router_sends_total{answered="true",stage="decode"}',
            'corianderspar_router_first_event_seconds_count 1.0',
            'corianderspar_router_configuration_version 3.0',
        ):
            assert line in page.text


async def test_a_stream_goes_on_at_the_other_engine(tmp_path):
    async with World(tmp_path) as world:
        world.engines_by_name['d1'].breaks_after = 2
        world.engines_by_name['d2'].breaks_after = 2
        answer = asyncio.create_task(world.post('/chat/1', CHAT))
        await asyncio.sleep(0.06)
        for name in ('d1', 'd2'):
            world.engines_by_name[name].breaks_after = None
        got = (await answer).content
        numbers = [int(part[4]) - 48 for part in got.split(b'\n\n') if part]
        assert numbers == [1, 2, 3, 4, 5]


async def test_a_full_engine_is_told_as_not_run(tmp_path):
    async with World(tmp_path) as world:
        world.engines_by_name['s1'].refuses = True
        answer = await world.post('/order/1')
        assert answer.status_code == 503
        assert float(answer.headers['retry-after']) > 0


async def test_sigterm_cuts_no_stream(tmp_path):
    async with World(tmp_path) as world:
        for name in ('d1', 'd2'):
            world.engines_by_name[name].event_count = 60
        running = asyncio.create_task(world.post('/chat/1', CHAT))
        await asyncio.sleep(0.2)
        world.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert not await world.is_ready()
        late = await world.post('/order/1')
        assert late.status_code == 200
        assert late.headers['connection'] == 'close'
        assert (await running).content.count(b'\n\n') == 60
        async with asyncio.timeout(SECONDS):
            assert await world.process.wait() == 0
        await world.reading
        assert b'event=daemon.stopped' in world.output
        assert b'event=service.failed' not in world.output
        assert b'k1' not in world.output


async def test_a_stream_that_outlasts_the_grace_looks_broken(tmp_path):
    async with World(tmp_path) as world:
        for name in ('d1', 'd2'):
            world.engines_by_name[name].event_count = 1000
        running = asyncio.create_task(world.post('/chat/1', CHAT_LONG))
        await asyncio.sleep(0.2)
        world.process.send_signal(signal.SIGTERM)
        with pytest.raises(httpx.TransportError):
            await running
        async with asyncio.timeout(SECONDS):
            assert await world.process.wait() == 0
        await world.reading
        assert b'event=daemon.cutting' in world.output
        assert b'event=daemon.stopped' in world.output
        assert b'Traceback' not in world.output


async def test_sighup_takes_new_seeds(tmp_path):
    async with World(tmp_path) as world:
        text = world.path.read_text()
        world.path.write_text(text.replace('[]', '["127.0.0.1:1"]'))
        world.process.send_signal(signal.SIGHUP)
        await world.says(b'event=daemon.reloaded')
        world.path.write_text('node = ')
        world.process.send_signal(signal.SIGHUP)
        await world.says(b'event=settings.invalid')
        assert (await world.post('/order/1')).status_code == 200


async def test_sighup_while_it_starts_does_not_end_it(tmp_path):
    async def hang_up(process):
        for _ in range(60):
            await asyncio.sleep(0.01)
            process.send_signal(signal.SIGHUP)

    async with World(tmp_path, hang_up) as world:
        assert world.process.returncode is None
        assert (await world.post('/order/1')).status_code == 200
