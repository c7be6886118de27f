"""After a kill of all daemons no stream can be taken up."""

import asyncio
from pathlib import Path
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
import small_platform as sp  # noqa: E402

KEY = 'key-of-parish'
EVENTS, EVENT_SECONDS = 70, 0.1  # of an answer
STREAMS = 24
DEADLINE_MS = 14000
LEFT_MS = 7000  # of it at the take-up, at least
RESTART_SECONDS = 0.5  # from a kill to the start
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
            'rate_per_s': 72000,
            'burst': 72000,
        }
    ],
}


class Case:
    def __init__(self, record, folder):
        self.record = record
        self.folder = folder

    def follow(self, daemon, stream, number, deadline_ms=DEADLINE_MS):
        return asyncio.create_task(
            sp.follow(
                self.record,
                daemon,
                stream,
                KEY,
                {
                    'X-Model': 'm',
                    'X-Token-Count': f'400,{EVENTS}',
                    'X-Prompt-Prefix': f'5c1e07a2:200,{number}:200',
                },
                deadline_ms,
            )
        )

    async def play(self):
        store = sp.Store()
        await store.listen()
        store.write('op/config', CONFIGURATION)
        zones = ('buda-a', 'pest-b', 'csepel-c')
        engines = [
            sp.Engine(store, self.record, 'llm', zone, phase)
            for zone in zones
            for phase in ('prefill', 'decode')
        ]
        daemons = [
            sp.Daemon(self.record, self.folder, f'front-{zone}-1', zone)
            for zone in zones
        ]
        streams = [sp.Stream(f'/blurb/{number}') for number in range(STREAMS)]
        new = [sp.Stream(f'/blurb/new-{number}') for number in range(STREAMS)]
        try:
            for engine in engines:
                engine.events, engine.event_seconds = EVENTS, EVENT_SECONDS
                await engine.start()
            seeds = [daemon.control for daemon in daemons]
            for daemon in daemons:
                await daemon.start(store, seeds, bootstrap=True)
            for daemon in daemons:
                await daemon.wait_ready()
            # Longer than twice the time-out of the route.
            await asyncio.sleep(30.0)
            following = [
                self.follow(daemons[number % 3], stream, number)
                for number, stream in enumerate(streams)
            ]
            await asyncio.sleep(2.0)
            if sp.TROUBLE:
                for daemon in daemons:
                    daemon.signal(9)
                await asyncio.gather(*(daemon.kill() for daemon in daemons))
                await asyncio.wait(following)
                await asyncio.sleep(RESTART_SECONDS)
                for daemon in daemons:
                    await daemon.start(store, seeds)
                for daemon in daemons:
                    await daemon.wait_ready()
            else:
                # The connections of the callers break off, and no more.
                for task in following:
                    task.cancel()
            # The machines are in touch again.
            await asyncio.sleep(sp.STABLE_SECONDS + 0.5)
            taking_up = [
                self.follow(daemons[(number + 1) % 3], stream, number, LEFT_MS)
                for number, stream in enumerate(streams)
            ]
            await asyncio.wait(taking_up)
            beginning = [
                self.follow(daemons[number % 3], stream, f'new-{number}')
                for number, stream in enumerate(new)
            ]
            await asyncio.wait(beginning)
        finally:
            for daemon in daemons:
                await daemon.kill()
            for engine in engines:
                engine.close()
            store.close()
        taken_up = [stream for stream in streams if len(stream.attempts) > 1]
        went_on = sum(stream.statuses[-1] == 200 for stream in taken_up)
        began = sum(stream.statuses[-1] == 200 for stream in new)
        self.record.add(
            f'{went_on} of {len(taken_up)} streams that were taken up went on, '
            f'{began} of {len(new)} new ones began'
        )
        share_on, share_new = went_on / len(taken_up), began / len(new)
        return sp.BROKEN if share_on < share_new / 2 else sp.HOLDS


async def case(record, folder):
    return await Case(record, folder).play()


sp.run(case, FOLDER)
