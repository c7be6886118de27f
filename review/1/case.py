"""One entry of another writer in the store, then a change of a route."""

import asyncio
import copy
from pathlib import Path
import sys

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent))

import standin  # noqa: E402

CONFIG_MS = 2000
STABLE_MS = 3000
WATCH_SECONDS = 12.0  # after the change
INTERVAL_SECONDS = 0.2
# JSON whose brackets are nested 2,000 deep, 4 KB.
DEPTH = 2000
UNREADABLE = b'{"document": ' + b'[' * DEPTH + b']' * DEPTH + b'}'
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'catalogue',
            'host': 'h.example',
            'prefix': '/look/',
            'kind': 'idempotent',
            'timeout_ms': 2000,
            'goal_ms': 400,
            'service': 'shop-old',
            'attempts': 2,
            'public': True,
        },
        {
            'name': 'order',
            'host': 'h.example',
            'prefix': '/order/',
            'kind': 'non_idempotent',
            'timeout_ms': 2000,
            'goal_ms': 400,
            'service': 'shop-old',
            'attempts': 1,
        },
    ],
    'services': [
        {'name': 'shop-old', 'health_path': '/healthz'},
        {'name': 'shop-new', 'health_path': '/healthz'},
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
            'api_keys': ['k1'],
            'unit': 'tokens',
            'default_tokens': 200,
            'rate_per_s': 36000,
            'burst': 36000,
        }
    ],
}


async def case() -> int:
    changed = copy.deepcopy(CONFIGURATION)
    changed['version'] = 7
    for route in changed['routes']:
        route['service'] = 'shop-new'
    services = (
        ('i-old-1', 'shop-old'),
        ('i-old-2', 'shop-old'),
        ('i-new-1', 'shop-new'),
        ('i-new-2', 'shop-new'),
    )
    async with standin.System(HERE, CONFIGURATION, services) as system:
        record = system.record
        await asyncio.sleep(STABLE_MS / 1000 + 1)
        for daemon in system.daemons:
            ending = await system.ask(daemon, '/look/1', 'before', is_quiet=True)
            if ending is None or ending.status != 200:
                raise standin.CannotRun('not served before the disruption')
        if standin.IS_TROUBLED:
            system.store.write('servers/i-other-writer', UNREADABLE)
            record.add(
                'another writer writes servers/i-other-writer, '
                f'{len(UNREADABLE)} bytes that are no entry'
            )
        await asyncio.sleep(1.0)
        acknowledged = system.write_configuration(changed)
        sent_at = {}
        number = 0
        endings = {'public': {}, 'with a key': {}}
        while record.now() < acknowledged + WATCH_SECONDS:
            for daemon in system.daemons:
                number += 1
                for kind, path, key in (
                    ('public', '/look/', ''),
                    ('with a key', '/order/', 'k1'),
                ):
                    request_id = f'{kind[0]}{number}'
                    sent_at[request_id] = record.now()
                    ending = await system.ask(
                        daemon, f'{path}{number}', request_id, key
                    )
                    status = ending.status if ending else None
                    if sent_at[request_id] > acknowledged + 5.0:
                        counts = endings[kind]
                        counts[status] = counts.get(status, 0) + 1
            await asyncio.sleep(INTERVAL_SECONDS)
        late = [
            (request_id, instance)
            for instance, server in system.servers.items()
            if server.service == 'shop-old'
            for _at, request_id, _tenant in server.runs
            if sent_at.get(request_id, 0.0) > acknowledged + CONFIG_MS / 1000
        ]
        ready = [await daemon.is_ready() for daemon in system.daemons]
        lines = (
            f'requests sent later than {CONFIG_MS} ms after the '
            f'acknowledgement of version 7 and run by the service of '
            f'version 3: {len(late)}',
            f'statuses of requests sent later than 5 s after it: {endings}',
            f'ready at the end: {ready}',
        )
        for line in lines:
            record.add(line)
            print(line)
        return standin.BROKEN if late else standin.HELD


standin.run(case)
