"""Tests of the daemon as a process, with a fake store and upstreams."""

import asyncio
import contextlib
import copy
import os
from pathlib import Path
import signal
import sys

import httpx
import pytest

from tests.platform import fakes
from tests.router import endless

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_SECONDS = 20.0  # per step; longer means that it hangs
POLL_INTERVAL_SECONDS = 0.05
INTERPRETER_START_SECONDS = 0.2
POLL_COUNT = int(TIMEOUT_SECONDS / POLL_INTERVAL_SECONDS)
HEADERS = {
    'host': 'h.example',
    'x-request-id': 'r1',
    'x-api-key': 'k1',
    'x-deadline-ms': '4000',
}
CHAT_HEADERS_LONG_TIMEOUT = {
    **HEADERS,
    'x-deadline-ms': '14000',
    'x-token-count': '1460,80',
}
CHAT_HEADERS = {**HEADERS, 'x-token-count': '1460,80', 'x-model': 'm'}


class System:
    """A daemon process with a fake store and fake upstreams."""

    upstream_type = fakes.FakeUpstreamServer
    further_settings = ''
    upstreams = (
        ('p1', 'llm', 'prefill'),
        ('d1', 'llm', 'decode'),
        ('d2', 'llm', 'decode'),
        ('s1', 'shop', ''),
    )

    def __init__(
        self, path, during_start=None, configuration=fakes.CONFIGURATION
    ):
        self.path = path / 'local.toml'
        self.during_start = during_start
        self.configuration = configuration
        self.output = b''

    async def __aenter__(self):
        self.store = fakes.FakeStoreServer()
        self.store_address = await self.store.start()
        self.store.write('op/config', self.configuration)
        self.upstreams_by_name = {}
        for name, service, phase in self.upstreams:
            upstream = self.upstream_type(name, service, phase)
            self.upstreams_by_name[name] = upstream
            await upstream.start(self.store)
        self.ports = {
            name: fakes.free_port()
            for name in ('front', 'ready', 'control', 'metrics')
        }
        self.path.write_text(
            fakes.SETTINGS_TEMPLATE.format(
                name='front-1',
                seeds='',
                store=self.store_address,
                **self.ports,
            )
            + self.further_settings
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
        if self.during_start is not None:
            # The interpreter takes some time before it runs deploy/start.py.
            # Until then a signal has its default action.
            await asyncio.sleep(INTERPRETER_START_SECONDS)
            await self.during_start(self.process)
        self.reader = asyncio.create_task(self._read())
        self.client = httpx.AsyncClient(timeout=TIMEOUT_SECONDS)
        for _ in range(POLL_COUNT):
            if await self.is_ready():
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return self

    async def __aexit__(self, *_):
        await self.client.aclose()
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self.reader
        for upstream in self.upstreams_by_name.values():
            await upstream.stop()
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

    async def wait_for_output(self, text):
        for _ in range(POLL_COUNT):
            if text in self.output:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        raise AssertionError(f'{text} not in {self.output}')

    def url(self, name, path):
        return f'http://127.0.0.1:{self.ports[name]}{path}'

    async def post(self, path, headers=HEADERS, content=b'body'):
        return await self.client.post(
            self.url('front', path), headers=headers, content=content
        )


async def test_requests_are_served_end_to_end(tmp_path):
    async with System(tmp_path) as system:
        answer = await system.post('/order/1')
        assert answer.status_code == 200
        assert answer.headers['x-response-stamp'] == 'stamp.1'
        method, path, headers, body = system.upstreams_by_name['s1'].requests[
            -1
        ]
        assert (method, path, body) == ('POST', '/order/1', b'body')
        assert headers['x-tenant'] == 'parish'
        assert 'x-api-key' not in headers
        assert int(headers['x-deadline-ms']) <= 4000

        answer = await system.post('/chat/1', CHAT_HEADERS)
        assert answer.status_code == 200
        assert answer.content.count(b'\n\n') == 5
        assert (
            system.upstreams_by_name['p1'].requests[0][2]['x-stage']
            == 'prefill'
        )
        decode = (
            system.upstreams_by_name['d1'].requests
            + system.upstreams_by_name['d2'].requests
        )[0]
        assert decode[2]['x-kv-from'].endswith('/abc')

        assert (await system.post('/none/1')).status_code == 404
        bad = HEADERS | {'x-api-key': 'nobody'}
        assert (await system.post('/order/1', bad)).status_code == 401
        page = await system.client.get(system.url('metrics', '/metrics'))
        for line in (
            'corianderspar_router_requests_total{kind="plain",status="200"} 1',
            'corianderspar_router_sends_total{answered="true",stage="decode"}',
            'corianderspar_router_first_event_seconds_count 1.0',
            'corianderspar_router_configuration_version 3.0',
            'corianderspar_router_store_answers_total{outcome="ok"}',
            'corianderspar_router_failed_tasks 0.0',
        ):
            assert line in page.text


async def test_broken_stream_resumes_at_another_engine(tmp_path):
    async with System(tmp_path) as system:
        system.upstreams_by_name['d1'].breaks_after = 2
        system.upstreams_by_name['d2'].breaks_after = 2
        answer = asyncio.create_task(system.post('/chat/1', CHAT_HEADERS))
        await asyncio.sleep(0.06)
        for name in ('d1', 'd2'):
            system.upstreams_by_name[name].breaks_after = None
        content = (await answer).content
        numbers = [
            int(part[4]) - 48 for part in content.split(b'\n\n') if part
        ]
        assert numbers == [1, 2, 3, 4, 5]


async def test_part_that_crashes_engines_is_refused(tmp_path):
    async with System(tmp_path) as system:

        def post(number, *parts):
            entries = ','.join(f'{part}:9' for part in (*parts, number))
            return system.post(
                f'/chat/{number}', CHAT_HEADERS | {'x-prompt-prefix': entries}
            )

        for name in ('d1', 'd2'):
            system.upstreams_by_name[name].poison_part = 'bad'
        assert (await post(1, 'first')).content.count(b'\n\n') == 5
        await post(2, 'first', 'bad')
        await system.wait_for_output(b'event=part.convicted')
        assert system.output.count(b'event=part.convicted') == 1
        for name in ('d1', 'd2'):
            system.store.write(f'servers/{name}', None)
        engine = fakes.FakeUpstreamServer('d3', 'llm', 'decode')
        system.upstreams_by_name['d3'] = engine
        engine.poison_part = 'bad'
        await engine.start(system.store)
        for number in range(POLL_COUNT):
            sound = await post(f'a{number}', 'first')
            if sound.status_code == 200:
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        assert sound.content.count(b'\n\n') == 5
        refused = await post(3, 'first', 'bad')
        assert refused.status_code == 503
        assert refused.text.startswith('quarantined: part bad')
        assert 'retry-after' not in refused.headers
        assert all(
            'bad' not in r[2]['x-prompt-prefix'] for r in engine.requests
        )


async def test_refusal_of_an_upstream_has_retry_after(tmp_path):
    async with System(tmp_path) as system:
        system.upstreams_by_name['s1'].refuses = True
        answer = await system.post('/order/1')
        assert answer.status_code == 503
        assert float(answer.headers['retry-after']) > 0


async def test_sigterm_drains_open_streams(tmp_path):
    async with System(tmp_path) as system:
        for name in ('d1', 'd2'):
            system.upstreams_by_name[name].event_count = 60
        running = asyncio.create_task(system.post('/chat/1', CHAT_HEADERS))
        await asyncio.sleep(0.2)
        system.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert not await system.is_ready()
        late = await system.post('/order/1')
        assert late.status_code == 200
        assert late.headers['connection'] == 'close'
        assert (await running).content.count(b'\n\n') == 60
        async with asyncio.timeout(TIMEOUT_SECONDS):
            assert await system.process.wait() == 0
        await system.reader
        assert b'event=daemon.stopped' in system.output
        assert b'event=service.failed' not in system.output
        assert b'k1' not in system.output


async def test_stream_beyond_the_drain_period_is_cut(tmp_path):
    async with System(tmp_path) as system:
        for name in ('d1', 'd2'):
            system.upstreams_by_name[name].event_count = 1000
        running = asyncio.create_task(
            system.post('/chat/1', CHAT_HEADERS_LONG_TIMEOUT)
        )
        await asyncio.sleep(0.2)
        system.process.send_signal(signal.SIGTERM)
        with pytest.raises(httpx.TransportError):
            await running
        async with asyncio.timeout(TIMEOUT_SECONDS):
            assert await system.process.wait() == 0
        await system.reader
        assert b'event=daemon.cutting' in system.output
        assert b'event=daemon.stopped' in system.output
        assert b'Traceback' not in system.output


async def test_sighup_reloads_seeds(tmp_path):
    async with System(tmp_path) as system:
        text = system.path.read_text()
        system.path.write_text(text.replace('[]', '["127.0.0.1:1"]'))
        system.process.send_signal(signal.SIGHUP)
        await system.wait_for_output(b'event=daemon.reloaded')
        system.path.write_text('node = ')
        system.process.send_signal(signal.SIGHUP)
        await system.wait_for_output(b'event=settings.invalid')
        assert (await system.post('/order/1')).status_code == 200


@pytest.mark.parametrize('is_signalled', [True, False])
async def test_store_at_another_address_is_followed(tmp_path, is_signalled):
    """Guards against daemons that ask where the store no longer is."""
    document = copy.deepcopy(fakes.CONFIGURATION)
    document['version'] += 4
    document['routes'][1]['prefix'] = '/added/'
    async with System(tmp_path) as system:
        moved = fakes.FakeStoreServer()
        moved.entries_by_key = dict(system.store.entries_by_key)
        moved.history = list(system.store.history)
        moved.revision = system.store.revision
        address = await moved.start()
        try:
            await system.store.stop()
            text = system.path.read_text()
            system.path.write_text(text.replace(system.store_address, address))
            if is_signalled:
                system.process.send_signal(signal.SIGHUP)
            moved.write('op/config', document)
            for _ in range(POLL_COUNT):
                answer = await system.post('/added/1')
                if answer.status_code == 200:
                    break
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            assert answer.status_code == 200
            assert await system.is_ready()
        finally:
            await moved.stop()


async def test_sighup_during_start_does_not_end_the_process(tmp_path):
    async def send_sighups(process):
        for _ in range(60):
            await asyncio.sleep(0.01)
            process.send_signal(signal.SIGHUP)

    async with System(tmp_path, send_sighups) as system:
        assert system.process.returncode is None
        assert (await system.post('/order/1')).status_code == 200


def peak_memory_bytes(pid):
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024
    raise AssertionError('no peak in the status of the process')


async def test_endless_answers_leave_memory_and_other_requests_alone(
    tmp_path,
):
    async with (
        System(tmp_path) as system,
        endless.EndlessServer(
            endless.UNFRAMED % (200, b''), b'x' * 65536
        ) as plain,
        endless.EndlessServer(
            endless.CHUNKED % (200, b''), endless.chunk(b'x' * 1000) * 60
        ) as engine,
    ):
        for name, service, phase, server in (
            ('s2', 'shop', '', plain),
            ('d3', 'llm', 'decode', engine),
        ):
            fakes.FakeUpstreamServer(name, service, phase).register(
                system.store, f'127.0.0.1:{server.port}'
            )
        await system.wait_for_output(b'd3')
        before = peak_memory_bytes(system.process.pid)
        for _round in range(2):
            answers = await asyncio.gather(
                *(system.post('/order/look/1') for _ in range(8)),
                *(system.post('/chat/1', CHAT_HEADERS) for _ in range(4)),
                *(system.post('/order/1') for _ in range(3)),
            )
            assert {a.status_code for a in answers[:12]} == {200}
            assert all(a.content.count(b'\n\n') == 5 for a in answers[8:12])
            assert {a.status_code for a in answers[12:]} <= {200, 502}
        assert plain.requests and engine.requests
        added = peak_memory_bytes(system.process.pid) - before
        assert added < 32 * endless.MIB
        await system.wait_for_output(b'body too long')
        await system.wait_for_output(b'event too long')
        assert b'event=request.at_crash' not in system.output
