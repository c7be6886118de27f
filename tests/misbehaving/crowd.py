"""Callers that misbehave, and what a daemon holds meanwhile."""

import asyncio
import contextlib
import itertools
import os
import socket
import struct

from tests.platform import fakes
from tests.platform import test_process

CROWD_SECONDS = 4.0
SAMPLE_SECONDS = 0.01
RECEIVE_BUFFER_BYTES = 4096  # of callers that read nothing
RETRY_SECONDS = 0.1
NO_LINGER = struct.pack('ii', 1, 0)  # close() then resets the connection
MEMORY_MB = 128
SOCKETS = 300
FILES = 200  # of the descriptors of a machine
LIMITS = f"""
[limits]
memory_mb = {MEMORY_MB}
max_fds = {SOCKETS + FILES}
"""
BODY_BYTES = 1024 * 1024  # largest body of the configuration
CONFIGURATION = fakes.CONFIGURATION | {
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': BODY_BYTES,
        'header_timeout_ms': 4000,
        'idle_timeout_ms': 8000,
    },
    # Callers that misbehave have an account of their own.
    'tenants': [
        *fakes.CONFIGURATION['tenants'],
        {'name': 'crowd', 'api_keys': ['c1'], 'unit': 'requests'},
    ],
}


class Upstream(fakes.FakeUpstreamServer):
    """An upstream whose plain answers may be large, or slow."""

    answer_bytes = 100
    work_seconds = 0.0

    async def __call__(self, scope, receive, send):
        is_plain = not self.phase and not scope['path'].startswith('/-/')
        if not is_plain:
            await super().__call__(scope, receive, send)
            return
        while (await receive()).get('more_body'):
            pass
        await asyncio.sleep(self.work_seconds)
        request_id = dict(scope['headers'])[b'x-request-id'].decode()
        headers = (
            ('x-request-id', request_id),
            ('x-response-stamp', 'stamp.1'),
            ('content-length', str(self.answer_bytes)),
        )
        await fakes.send_head(send, 200, headers)
        await fakes.send_chunk(send, b'x' * self.answer_bytes, False)


class Machine(test_process.System):
    """A daemon whose settings state little memory and few descriptors.

    Attributes
    ----------
    peak_sockets : int
        Most sockets and pipes that were seen open at a time.
    """

    upstream_type = Upstream
    further_settings = LIMITS

    def __init__(self, path):
        super().__init__(path, configuration=CONFIGURATION)
        self.peak_sockets = 0

    async def __aenter__(self):
        await super().__aenter__()
        self._sampler = asyncio.create_task(self._sample())
        return self

    async def __aexit__(self, *exception):
        self._sampler.cancel()
        await super().__aexit__(*exception)

    async def _sample(self):
        while True:
            self.peak_sockets = max(self.peak_sockets, self.open_sockets())
            await asyncio.sleep(SAMPLE_SECONDS)

    def open_sockets(self):
        count = 0
        folder = f'/proc/{self.process.pid}/fd'
        with contextlib.suppress(FileNotFoundError):  # the process has ended
            for name in os.listdir(folder):
                with contextlib.suppress(FileNotFoundError):
                    target = os.readlink(f'{folder}/{name}')
                    count += target.startswith(('socket:', 'pipe:'))
        return count

    async def ask(self):
        """Send an ordinary request; return as the answers ask."""
        answer = await self.post('/order/1')
        while answer.status_code == 503:
            await asyncio.sleep(
                float(answer.headers.get('retry-after', RETRY_SECONDS))
            )
            answer = await self.post('/order/1')
        return answer

    async def check(self):
        """Check what has to hold, however callers behave."""
        async with asyncio.timeout(test_process.TIMEOUT_SECONDS):
            answer = await self.ask()
        assert answer.status_code == 200, answer.text
        assert self.process.returncode is None
        memory = test_process.peak_memory_bytes(self.process.pid)
        assert memory < MEMORY_MB * 10**6, f'{memory} bytes'
        assert self.peak_sockets <= SOCKETS, f'{self.peak_sockets} sockets'
        assert b'Traceback' not in self.output


class Caller:
    """A connection of a caller that reads nothing unless it says so."""

    def __init__(self, port, buffer_bytes=RECEIVE_BUFFER_BYTES):
        self._port = port
        self._buffer_bytes = buffer_bytes
        self._loop = asyncio.get_running_loop()

    async def connect(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._buffer_bytes
        )
        await self._loop.sock_connect(self.socket, ('127.0.0.1', self._port))

    async def send(self, data):
        await self._loop.sock_sendall(self.socket, data)

    async def read(self):
        return await self._loop.sock_recv(self.socket, 65536)

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.socket.close()


async def run_crowd(port, count, behave, seconds=CROWD_SECONDS):
    """Let callers misbehave for some time; then close their connections.

    Parameters
    ----------
    port : int
        Port of the daemon.
    count : int
        Number of callers.
    behave : coroutine function
        Called with each `Caller`, connected, again and again.
    seconds : float
        Time from the first connection.
    """

    async def go_on():
        while True:
            caller = Caller(port)
            try:
                await caller.connect()
                await behave(caller)
            except OSError:
                await asyncio.sleep(RETRY_SECONDS)  # refused, or cut off
            finally:
                caller.socket.close()

    tasks = [asyncio.create_task(go_on()) for _ in range(count)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def head(path, lines='', method='POST', key='c1'):
    return (
        f'{method} {path} HTTP/1.1\r\nhost: h.example\r\n'
        f'x-request-id: r1\r\nx-api-key: {key}\r\n'
        f'x-deadline-ms: 4000\r\n{lines}\r\n'
    ).encode()


def ahead(*requests):
    """Return a behaviour: the requests, over and over, and no reading."""
    block = b''.join(
        itertools.islice(itertools.cycle(requests), len(requests) * 20)
    )

    async def behave(caller):
        while True:
            await caller.send(block)

    return behave


def stay(first=b'', is_answered=False):
    """Return a behaviour: one piece of data, then nothing at all."""

    async def behave(caller):
        await caller.send(first)
        if is_answered:
            await caller.read()
        while await caller.read():
            pass

    return behave


def pieces(first, piece):
    """Return a behaviour: a head, then the same piece without an end."""

    async def behave(caller):
        await caller.send(first)
        while True:
            await caller.send(piece * 4096)

    return behave


async def reset_early(caller):
    """Send three requests and leave before they can be answered."""
    await caller.send(head('/order/1', 'content-length: 0\r\n') * 3)
    await asyncio.sleep(0.01)
    caller.reset()
