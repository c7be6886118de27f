"""A machine that is added while the seed is down has quotas of its own."""

import asyncio
import collections
from pathlib import Path
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
import small_platform as sp  # noqa: E402

KEY = 'key-of-parish'
RATE = BURST = 36000  # tokens a second, and at once
WINDOW_SECONDS, EXCESS, SLACK = 8, 0.25, 140000
LIMIT = (RATE * WINDOW_SECONDS + BURST) * (1 + EXCESS) + SLACK
PROMPT, OUTPUT = 3000, 70
CALLS_PER_SECOND = 15  # of the tenant, at each machine
PRESS_SECONDS = 20
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-blurb',
            'host': 'shop.example',
            'prefix': '/blurb/',
            'kind': 'streaming',
            'timeout_ms': 14000,
            'goal_ms': 900,
            'priority': 1,
            'service': 'llm',
            'attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'gap_goal_ms': 300,
        },
    ],
    'services': [
        {
            'name': 'llm',
            'health_path': '/healthz',
            'engine': {'slots': 64, 'kv_tokens': 39101, 'kv_hold_s': 0.5},
        }
    ],
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
            'rate_per_s': RATE,
            'burst': BURST,
        }
    ],
}


class Case:
    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.tasks = set()
        self.answers = collections.Counter()

    async def blurb(self, daemon, number):
        _id, reply = await sp.call(
            self.record,
            daemon,
            'POST',
            f'/blurb/{number}',
            KEY,
            4000,
            b'text',
            {
                'X-Model': 'm',
                'X-Token-Count': f'{PROMPT},{OUTPUT}',
                'X-Prompt-Prefix': f'p{number}:{PROMPT}',
            },
        )
        self.answers[daemon.node, reply.status if reply else 0] += 1

    async def press(self, daemons):
        for number in range(PRESS_SECONDS * CALLS_PER_SECOND):
            for daemon in daemons:
                task = asyncio.create_task(self.blurb(daemon, number))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / CALLS_PER_SECOND)
        await asyncio.sleep(4.5)

    async def play(self):
        store = sp.Store()
        await store.listen()
        store.write('op/config', CONFIGURATION)
        zones = ('buda-a', 'pest-b', 'csepel-c')
        engines = [
            sp.Engine(store, self.record, 'llm', zone, phase)
            for zone in zones
            for phase in ('prefill', 'decode', 'decode')
        ]
        daemons = [
            sp.Daemon(self.record, self.folder, f'front-{zone}-1', zone)
            for zone in zones
        ]
        added = sp.Daemon(self.record, self.folder, 'front-pest-b-2', 'pest-b')
        seeds = [daemons[0].control]
        try:
            for engine in engines:
                await engine.start()
            for daemon in daemons:
                await daemon.start(store, seeds, bootstrap=True)
            for daemon in daemons:
                await daemon.wait_ready()
            await asyncio.sleep(4.0)
            if sp.TROUBLE:
                # The machine of the seed loses power.
                daemons[0].signal(9)
                await daemons[0].kill()
                await asyncio.sleep(2.0)
            # A spare machine is added.
            await added.start(store, seeds)
            await added.wait_ready()
            await asyncio.sleep(4.0)
            await self.press([*daemons[1:], added])
        finally:
            for daemon in (*daemons, added):
                await daemon.kill()
            for task in list(self.tasks):
                task.cancel()
            for engine in engines:
                engine.close()
            store.close()
        return self.judge(engines)

    def judge(self, engines):
        runs = sorted(
            (at, sum(map(int, head.headers['x-token-count'].split(','))))
            for engine in engines
            for at, head in engine.runs
        )
        most, start, total = 0, 0, 0
        for at, tokens in runs:
            total += tokens
            while runs[start][0] < at - WINDOW_SECONDS:
                total -= runs[start][1]
                start += 1
            most = max(most, total)
        self.record.add('answers:', dict(self.answers))
        self.record.add(
            f'{len(runs)} runs; most tokens of the tenant in '
            f'{WINDOW_SECONDS} s: {most}; allowed: {LIMIT:.0f}'
        )
        return sp.BROKEN if most > LIMIT else sp.HOLDS


async def case(record, folder):
    return await Case(record, folder).play()


sp.run(case, FOLDER)
