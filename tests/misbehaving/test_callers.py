"""Guards against callers that end, hang or fill up a daemon.

Each test has processes of its own and checks only that the daemon lives, what
it holds at most, and that an ordinary caller is answered afterwards.
"""

import asyncio
import signal

import pytest

from tests.misbehaving import crowd
from tests.platform import test_process

PIPELINERS = 8
LENGTH = 'content-length: 0\r\n'
CHAT_LINES = 'x-token-count: 1460,80\r\nx-model: m\r\n' + LENGTH
LONG = 'y' * 8000
PARTS = ','.join(f'{number:08x}:10' for number in range(500))
MANY_CALLERS = 600  # twice the sockets of the machine
MAX_LOG_BYTES = 4 * 2**20

SENT_AHEAD = {
    'no body': crowd.head('/order/1', LENGTH),
    'body': crowd.head('/order/1', 'content-length: 2000\r\n') + b'x' * 2000,
    'unknown path': crowd.head('/none/1', LENGTH),
    'long path': crowd.head(f'/none/{LONG}', LENGTH),
    'unknown key': crowd.head('/order/1', LENGTH, key=LONG),
    'long header': crowd.head('/order/1', f'x-a: {LONG}\r\n' + LENGTH),
    'long id': crowd.head('/order/1', f'x-request-id: {LONG}\r\n' + LENGTH),
    'stream': crowd.head('/chat/1', CHAT_LINES),
    'many parts': crowd.head(
        '/chat/1', f'x-prompt-prefix: {PARTS}\r\n' + CHAT_LINES
    ),
    'upgrade': crowd.head(
        '/order/1', 'connection: upgrade\r\nupgrade: websocket\r\n' + LENGTH
    ),
    'no request': b'GET /',
}


@pytest.mark.parametrize('request_bytes', SENT_AHEAD.values(), ids=SENT_AHEAD)
async def test_requests_sent_ahead_are_not_kept(tmp_path, request_bytes):
    async with crowd.Machine(tmp_path) as machine:
        await crowd.run_crowd(
            machine.ports['front'], PIPELINERS, crowd.ahead(request_bytes)
        )
        await machine.check()


@pytest.mark.parametrize('name', ['ready', 'metrics'])
async def test_pages_asked_ahead_are_not_kept(tmp_path, name):
    request = crowd.head(f'/-/{name}', method='GET')
    async with crowd.Machine(tmp_path) as machine:
        await crowd.run_crowd(
            machine.ports[name], PIPELINERS, crowd.ahead(request)
        )
        await machine.check()
        assert await machine.is_ready()


@pytest.mark.parametrize(
    ('answer_bytes', 'callers'), [(64 * 1024, 8), (1024 * 1024, 100)]
)
async def test_answers_that_nobody_reads_are_bounded(
    tmp_path, answer_bytes, callers
):
    request = crowd.head('/order/look/1', LENGTH)
    async with crowd.Machine(tmp_path) as machine:
        plain = machine.upstreams_by_name['s1']
        plain.answer_bytes = answer_bytes
        await crowd.run_crowd(
            machine.ports['front'], callers, crowd.ahead(request)
        )
        plain.answer_bytes = 100
        await machine.check()


async def test_answers_asked_once_and_not_read_are_bounded(tmp_path):
    request = crowd.head('/order/look/1', LENGTH)
    async with crowd.Machine(tmp_path) as machine:
        plain = machine.upstreams_by_name['s1']
        plain.answer_bytes = 1024 * 1024

        async def ask_and_wait(caller):
            await caller.send(request)
            await asyncio.sleep(crowd.CROWD_SECONDS)

        await crowd.run_crowd(machine.ports['front'], 150, ask_and_wait)
        plain.answer_bytes = 100
        await machine.check()


async def test_unfinished_bodies_are_bounded_together(tmp_path):
    size = crowd.BODY_BYTES
    request = crowd.head('/order/1', f'content-length: {size}\r\n')
    async with crowd.Machine(tmp_path) as machine:
        await crowd.run_crowd(
            machine.ports['front'],
            150,
            crowd.stay(request + b'x' * (size - 1)),
        )
        await machine.check()


async def test_bodies_of_many_callers_are_bounded_together(tmp_path):
    size = crowd.BODY_BYTES
    request = crowd.head('/order/1', f'content-length: {size}\r\n')
    async with crowd.Machine(tmp_path) as machine:
        plain = machine.upstreams_by_name['s1']
        plain.work_seconds = 1.0
        await crowd.run_crowd(
            machine.ports['front'], 150, crowd.stay(request + b'x' * size)
        )
        plain.work_seconds = 0.0
        await machine.check()


async def test_bodies_in_tiny_chunks_leave_time_for_others(tmp_path):
    request = crowd.head('/order/1', 'transfer-encoding: chunked\r\n')
    async with crowd.Machine(tmp_path) as machine:
        sending = asyncio.create_task(
            crowd.run_crowd(
                machine.ports['front'],
                30,
                crowd.pieces(request, b'1\r\nx\r\n'),
                seconds=10 * test_process.TIMEOUT_SECONDS,
            )
        )
        await asyncio.sleep(crowd.CROWD_SECONDS)
        await machine.check()
        sending.cancel()
        await machine.check()


@pytest.mark.parametrize('name', ['front', 'ready', 'metrics', 'control'])
async def test_connections_without_a_request_are_bounded(tmp_path, name):
    async with crowd.Machine(tmp_path) as machine:
        await crowd.run_crowd(machine.ports[name], MANY_CALLERS, crowd.stay())
        await machine.check()
        assert len(machine.output) < MAX_LOG_BYTES


@pytest.mark.parametrize(
    'request_bytes',
    [crowd.head('/order/1', LENGTH), crowd.head('/none/1', LENGTH), b'GET /'],
    ids=['answered', 'refused', 'half a head'],
)
async def test_kept_connections_are_bounded(tmp_path, request_bytes):
    async with crowd.Machine(tmp_path) as machine:
        await crowd.run_crowd(
            machine.ports['front'], MANY_CALLERS, crowd.stay(request_bytes)
        )
        await machine.check()
        assert len(machine.output) < MAX_LOG_BYTES


@pytest.mark.parametrize('lines', ['', 'a:\r\n' * 3500], ids=['', 'fields'])
async def test_requests_in_flight_are_bounded(tmp_path, lines):
    request = crowd.head('/order/1', lines + LENGTH)
    async with crowd.Machine(tmp_path) as machine:
        plain = machine.upstreams_by_name['s1']
        plain.work_seconds = 1.0
        await crowd.run_crowd(
            machine.ports['front'], MANY_CALLERS, crowd.stay(request)
        )
        plain.work_seconds = 0.0
        await machine.check()


async def test_callers_that_reset_and_return_are_bounded(tmp_path):
    async with crowd.Machine(tmp_path) as machine:
        await crowd.run_crowd(machine.ports['front'], 100, crowd.reset_early)
        await machine.check()


@pytest.mark.parametrize('name', ['unknown path', 'unknown key'])
async def test_refusals_fill_no_log(tmp_path, name):
    request = SENT_AHEAD[name]

    async def ask(caller):
        while True:
            await caller.send(request)
            await caller.read()

    async with crowd.Machine(tmp_path) as machine:
        await crowd.run_crowd(machine.ports['front'], PIPELINERS, ask)
        await machine.check()
        assert len(machine.output) < MAX_LOG_BYTES


async def test_bytes_of_strangers_on_the_port_of_peers(tmp_path):
    async with crowd.Machine(tmp_path) as machine:
        # A peer's greeting, then messages of 512 KiB.
        message = (1 << 19).to_bytes(8, 'big') + b'x' * (1 << 19)
        greeting = b'\0SP\0\0\x50\0\0'

        async def send_messages(caller):
            await caller.send(greeting)
            while True:
                await caller.send(message)

        await crowd.run_crowd(
            machine.ports['control'], PIPELINERS, send_messages
        )
        await machine.check()


async def test_settings_change_amid_a_crowd(tmp_path):
    async with crowd.Machine(tmp_path) as machine:

        async def change():
            while True:
                machine.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)

        changing = asyncio.create_task(change())
        await crowd.run_crowd(
            machine.ports['front'],
            PIPELINERS,
            crowd.ahead(*SENT_AHEAD.values()),
        )
        changing.cancel()
        await machine.check()


async def test_a_crowd_holds_up_no_shutdown(tmp_path):
    async with crowd.Machine(tmp_path) as machine:
        pipelining = asyncio.create_task(
            crowd.run_crowd(
                machine.ports['front'],
                PIPELINERS,
                crowd.ahead(SENT_AHEAD['no body'], SENT_AHEAD['stream']),
                seconds=test_process.TIMEOUT_SECONDS,
            )
        )
        staying = asyncio.create_task(
            crowd.run_crowd(
                machine.ports['front'],
                100,
                crowd.stay(SENT_AHEAD['no body']),
                seconds=test_process.TIMEOUT_SECONDS,
            )
        )
        await asyncio.sleep(crowd.CROWD_SECONDS / 2)
        machine.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(test_process.TIMEOUT_SECONDS):
            assert await machine.process.wait() == 0
        for task in (pipelining, staying):
            task.cancel()
        await machine.reader
        assert b'event=daemon.stopped' in machine.output
        assert machine.peak_sockets <= crowd.SOCKETS
