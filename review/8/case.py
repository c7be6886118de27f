"""The store cuts a watch; a server that leaves then gets requests too long."""

import asyncio
from pathlib import Path
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
import small_platform as sp  # noqa: E402

KEY = 'key-of-parish'
DRAIN_SECONDS = 2.0  # `drain_ms`
# "it continues serving for `drain_ms` after the store has accepted that
# report and a little longer"
SERVES_SECONDS = 2.2
ROUNDS = 4
CALLS_PER_SECOND = 60
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-order',
            'host': 'shop.example',
            'prefix': '/order/',
            'kind': 'non_idempotent',
            'timeout_ms': 1500,
            'goal_ms': 300,
            'priority': 2,
            'service': 'shop',
            'attempts': 1,
            'public': False,
        },
    ],
    'services': [{'name': 'shop', 'health_path': '/healthz'}],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {
            'name': 'parish',
            'api_keys': [KEY],
            'unit': 'tokens',
            'default_tokens': 200,
            'rate_per_s': 36000,
            'burst': 36000,
        }
    ],
}


class Case:
    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.tasks = set()
        self.left_at = {}  # by server, when the store had accepted its removal
        self.late = []
        self.broken_off = []
        self.is_over = False

    async def work(self, server, head, _body):
        left_at = self.left_at.get(server)
        if left_at is not None:
            seconds = time.monotonic() - left_at
            if seconds > DRAIN_SECONDS:
                request_id = head.headers['x-request-id']
                self.late.append(request_id)
                self.record.add(
                    'late',
                    request_id,
                    f'{seconds * 1000:.0f} ms after the removal',
                )
        await asyncio.sleep(0.09)
        return b'{"order": "printed"}'

    async def orders(self, daemons):
        number = 0
        while not self.is_over:
            number += 1
            task = asyncio.create_task(
                sp.call(
                    self.record,
                    daemons[number % len(daemons)],
                    'POST',
                    f'/order/{number}',
                    KEY,
                    3000,
                    b'{"copies": 1}',
                )
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / CALLS_PER_SECOND)

    async def leave(self, store, server):
        """Let a server leave that does not report that it drains."""
        if sp.TROUBLE:
            count = store.cut_watches()
            self.record.add('the store cuts', count, 'watches that wait')
        server.vanish()
        self.left_at[server] = time.monotonic()
        self.record.add('removed', server.instance)
        await asyncio.sleep(SERVES_SECONDS)
        self.broken_off += list(server.running)
        self.record.add('exit of', server.instance)
        server.close()

    async def play(self):
        store = sp.Store()
        await store.listen()
        store.write('op/config', CONFIGURATION)
        zones = ('buda-a', 'pest-b', 'csepel-c')

        def new_server(zone):
            return sp.PlainServer(store, self.record, 'shop', zone, self.work)

        servers = [new_server(zone) for zone in zones]
        for server in servers:
            await server.start()
        daemons = [
            sp.Daemon(self.record, self.folder, f'front-{zone}-1', zone)
            for zone in zones
        ]
        try:
            seeds = [daemon.control for daemon in daemons]
            for daemon in daemons:
                await daemon.start(store, seeds, bootstrap=True)
            for daemon in daemons:
                await daemon.wait_ready()
            await asyncio.sleep(4.0)
            ordering = asyncio.create_task(self.orders(daemons))
            await asyncio.sleep(1.0)
            for number in range(ROUNDS):
                fresh = new_server(zones[number % 3])
                servers.append(fresh)
                await fresh.start()
                await asyncio.sleep(2.0)
                await self.leave(store, servers[number])
                await asyncio.sleep(1.0)
            self.is_over = True
            await ordering
            await asyncio.sleep(3.6)
        finally:
            self.is_over = True
            for daemon in daemons:
                await daemon.kill()
            for task in list(self.tasks):
                task.cancel()
            for server in servers:
                server.close()
            store.close()
        self.record.add(
            f'requests that reached a server later than drain_ms after its '
            f'removal: {len(self.late)}; allowed: 0; broken off by its exit: '
            f'{len(self.broken_off)}'
        )
        return sp.BROKEN if self.late else sp.HOLDS


async def case(record, folder):
    return await Case(record, folder).play()


sp.run(case, FOLDER)
