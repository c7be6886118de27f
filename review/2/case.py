"""A server that fails a part of its requests, with 503, after it ran them."""

import asyncio
from pathlib import Path
import sys

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent))

import standin  # noqa: E402
from tests.platform import scripted  # noqa: E402

STABLE_MS = 3000
GREY_SECONDS = 6.5  # `for_s` of srv_grey in the site file
# Of each nine requests to one of three servers: 0.44, x of srv_grey is 0.45.
GREY_NUMBERS = (0, 2, 4, 6)
GREY_ROUND = 9
INTERVAL_SECONDS = 0.09  # 10.5 orders a second
WORK_SECONDS = 0.06
DEADLINE_MS = 3000
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'print-order',
            'host': 'h.example',
            'prefix': '/order/',
            'kind': 'non_idempotent',
            'timeout_ms': 1500,
            'goal_ms': 400,
            'priority': 2,
            'service': 'order-shop',
            'attempts': 1,
        },
    ],
    'services': [{'name': 'order-shop', 'health_path': '/healthz'}],
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


class GreyServer(standin.Server):
    """A server that fails some requests once it has run them.

    Its 503 bears its stamp and no `X-Not-Run`, since the request has run.
    """

    is_grey = False
    grey_count = 0

    async def _run(self, request, writer) -> None:
        number = self.grey_count % GREY_ROUND
        self.grey_count += self.is_grey
        if not (self.is_grey and number in GREY_NUMBERS):
            await super()._run(request, writer)
            return
        request_id = request.headers['x-request-id']
        async with self.slots:
            self.runs.append((self.record.now(), request_id, ''))
            await asyncio.sleep(self.work)
            self.record.add(
                f'{self.instance}: has run {request_id} and fails with 503, '
                'without X-Not-Run'
            )
        body = b'the order is placed, its confirmation failed'
        writer.write(
            scripted.framed(body, 503, headers=scripted.echo(request))
        )


async def case() -> int:
    system = standin.System(HERE, CONFIGURATION, ())
    record = system.record
    for number in (1, 2, 3):
        server = GreyServer(record, f'i-shop-{number}', 'order-shop')
        server.work = WORK_SECONDS
        system.servers[server.instance] = server
    async with system:
        await asyncio.sleep(STABLE_MS / 1000 + 1)
        system.servers['i-shop-1'].is_grey = standin.IS_TROUBLED
        endings: dict[str, int] = {}
        attempts_by_order: dict[int, list[str]] = {}

        async def client(number: int) -> None:
            """Place an order; retry once after a promise that it didn't run."""
            attempts = attempts_by_order.setdefault(number, [])
            for attempt in ('a', 'b'):
                daemon = system.daemons[
                    (number + len(attempts)) % len(system.daemons)
                ]
                request_id = f'o{number}{attempt}'
                attempts.append(request_id)
                ending = await system.ask(
                    daemon,
                    f'/order/{number}',
                    request_id,
                    'k1',
                    deadline_ms=DEADLINE_MS,
                )
                endings[request_id] = ending.status if ending else 0
                if endings[request_id] not in (408, 421, 429, 503):
                    return

        clients = []
        began = record.now()
        while record.now() < began + GREY_SECONDS:
            clients.append(asyncio.create_task(client(len(clients))))
            await asyncio.sleep(INTERVAL_SECONDS)
        await asyncio.gather(*clients)
        ran = {
            request_id
            for server in system.servers.values()
            for _at, request_id, _tenant in server.runs
        }
        refused = [
            request_id
            for request_id, status in endings.items()
            if status in (408, 421, 429, 503) and request_id in ran
        ]
        doubled = [
            number
            for number, attempts in attempts_by_order.items()
            if sum(attempt in ran for attempt in attempts) > 1
        ]
        lines = (
            f'orders: {len(attempts_by_order)}',
            'attempts that ran and were answered 408, 421, 429 or 503: '
            f'{len(refused)}',
            f'orders that ran twice, as their clients trusted that: '
            f'{len(doubled)}',
        )
        for line in lines:
            record.add(line)
            print(line)
        return standin.BROKEN if refused else standin.HELD


standin.run(case)
