"""The naive version to measure against: round robin, retry any error."""

import asyncio

from expression import Error

from corianderspar import fake_plain
from corianderspar import fake_plain_fleet
from corianderspar import kernel
from corianderspar import plain_client
from corianderspar import plain_requests
from corianderspar import problems

ATTEMPTS = 3


class NaiveFleet(fake_plain_fleet.Fleet):
    """Daemons that retry whatever fails and restart without a drain."""

    def __init__(
        self, seed: int, shape: fake_plain_fleet.Shape | None = None
    ) -> None:
        super().__init__(seed, shape)
        self._turn = 0

    async def serve(
        self, app: kernel.Application, request: plain_requests.PlainRequest
    ) -> plain_requests.Outcome:
        """Try upstreams in turn until one replies."""
        for _attempt in range(ATTEMPTS):
            client = self._next(app)
            call = plain_client.PlainCall(
                f'{app.incarnation}#n{self._turn}',
                request.method,
                request.path,
                request.query,
                request.headers,
                request.body,
                request.timeout / ATTEMPTS,
            )
            try:
                async with asyncio.timeout(call.timeout):
                    result = await client.send(call)
            except TimeoutError:
                continue
            if result.is_ok() and result.ok.status < 500:
                return result.map_error(_refusal)
        return Error(_refusal(None))

    async def restart(self, vm: str) -> None:
        """End a VM's daemon and start it anew."""
        await self.kill(vm)
        await self.start_vm(vm)

    def _next(self, app: kernel.Application) -> fake_plain.FakeClient:
        self._turn += 1
        services = list(self.services_by_name.values())
        service = services[self._turn % len(services)]
        return service.client(self.clocks_by_vm[app.identity.vm])


def _refusal(_error: plain_client.PlainError | None) -> problems.Problem:
    return problems.Problem('failed', 503, 'no', 'no upstream replied')
