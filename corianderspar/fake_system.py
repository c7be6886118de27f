"""Whole daemons, engines, plain services and callers in memory."""

import asyncio
from collections.abc import AsyncIterator
import random
from typing import Any

from expression import Result

from corianderspar import assembly
from corianderspar import caller
from corianderspar import catalogue
from corianderspar import channel
from corianderspar import clock as clocks
from corianderspar import edge
from corianderspar import engine
from corianderspar import fake_engine
from corianderspar import fake_fleet
from corianderspar import fake_plain
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import plain_client
from corianderspar import settings


class HeldEngine:
    """An engine as a VM that may be paused calls it.

    Parameters
    ----------
    served : EngineClient
        The engine.
    clock : VirtualClock
        Of the VM: nothing comes back while it is paused.
    """

    def __init__(
        self, served: engine.EngineClient, clock: clocks.VirtualClock
    ) -> None:
        self._served = served
        self._clock = clock

    async def prefill(
        self, call: engine.PrefillCall
    ) -> Result[engine.PrefillResult, engine.EngineError]:
        """Compute a prompt's KV cache."""
        return await self._held(self._served.prefill(call))

    async def transfer(
        self, call: engine.TransferCall
    ) -> Result[None, engine.EngineError]:
        """Import a prefill result from another engine."""
        return await self._held(self._served.transfer(call))

    async def decode(
        self, call: engine.DecodeCall
    ) -> AsyncIterator[engine.Piece]:
        """Generate an answer."""
        await self._clock.wait_running()
        async for piece in self._served.decode(call):
            await self._clock.wait_running()
            yield piece

    async def cancel(self, request_id: str) -> bool:
        """Stop a request and free its memory."""
        return await self._held(self._served.cancel(request_id))

    async def load(self) -> Result[engine.EngineLoad, engine.EngineError]:
        """Read the engine's report."""
        return await self._held(self._served.load())

    async def events(self) -> AsyncIterator[engine.CacheEvent]:
        """Follow the cache events."""
        async for event in self._served.events():
            await self._clock.wait_running()
            yield event

    async def order(
        self, order: engine.Order
    ) -> Result[None, engine.EngineError]:
        """Give a command."""
        return await self._held(self._served.order(order))

    async def _held(self, work: Any) -> Any:
        await self._clock.wait_running()
        result = await work
        await self._clock.wait_running()
        return result


class RecordedPlain:
    """A plain service's client that notes the headers on their way.

    Parameters
    ----------
    inner : PlainClient
        Where requests go on to.
    seen : list of (str, str)
        Gets all headers.
    """

    def __init__(
        self, inner: plain_client.PlainClient, seen: list[tuple[str, str]]
    ) -> None:
        self._inner = inner
        self._seen = seen

    async def send(
        self, call: plain_client.PlainCall
    ) -> Result[plain_client.PlainReply, plain_client.PlainError]:
        """Hand the request on."""
        self._seen.extend(call.headers)
        return await self._inner.send(call)


class FakeSystem(fake_fleet.FakeFleet):
    """A fleet of whole daemons before fake upstreams.

    Parameters
    ----------
    seed : int
        Of all randomness.
    bounds : LimitSettings or None
        Bounds of each daemon.

    Attributes
    ----------
    engines_by_name : dict of str to FakeEngine
        The engines.
    services_by_name : dict of str to FakePlain
        The plain services.
    ledger : Ledger
        What the plain services ran.
    headers_seen : list of (str, str)
        What reached them.
    """

    def __init__(
        self, seed: int = 1, bounds: settings.LimitSettings | None = None
    ) -> None:
        super().__init__(seed, self._add_services)
        self.engines_by_name: dict[str, fake_engine.FakeEngine] = {}
        self.services_by_name: dict[str, fake_plain.FakePlain] = {}
        self.ledger = fake_plain.Ledger()
        self.headers_seen: list[tuple[str, str]] = []
        self.engine_network = fake_engine.FakeNetwork()
        self._bounds = bounds or settings.LimitSettings(drain_seconds=0.0)

    def add_upstreams(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Make the upstreams of a catalogue; known ones are left."""
        for name, upstream in upstreams_by_name.items():
            if upstream.kind == 'plain':
                self._add_plain(name)
            elif name not in self.engines_by_name:
                self.engines_by_name[name] = fake_engine.FakeEngine(
                    clocks.VirtualClock(),
                    random.Random(len(self.engines_by_name)),  # noqa: S311
                    name,
                    upstream,
                    self.engine_network,
                )

    def publish(self, whole: catalogue.Catalogue) -> None:
        """Publish a catalogue and have its upstreams run."""
        self.add_upstreams(whole.upstreams_by_name)
        super().publish(whole)

    def exchange(self, vm: str) -> caller.Exchange:
        """Return a new exchange of a caller with a daemon."""
        return caller.Exchange(self.apps_by_vm[vm].find('edge', edge.Edge))

    async def send(
        self,
        vm: str,
        method: str,
        path: str,
        headers: http_io.Headers = (),
        body: bytes = b'',
    ) -> caller.Answer:
        """Send a request to a daemon and return the whole answer."""
        return await self.exchange(vm).run(method, path, headers, body)

    def sending(
        self,
        vm: str,
        method: str,
        path: str,
        headers: http_io.Headers = (),
        body: bytes = b'',
    ) -> asyncio.Task[caller.Answer]:
        """Begin to send a request."""
        work = self.send(vm, method, path, headers, body)
        return asyncio.create_task(work)

    def _add_plain(self, name: str) -> None:
        if name not in self.services_by_name:
            self.services_by_name[name] = fake_plain.FakePlain(
                name, self.ledger
            )

    def _add_services(
        self, _fleet: fake_fleet.FakeFleet, app: kernel.Application
    ) -> None:
        vm = app.identity.vm
        clock = self.clocks_by_vm[vm]
        address = fake_fleet.address(vm)

        def engines(
            name: str, _upstream: catalogue.Upstream
        ) -> engine.EngineClient:
            return HeldEngine(self.engines_by_name[name], clock)

        def services(
            name: str, _upstream: catalogue.Upstream
        ) -> plain_client.PlainClient:
            client = self.services_by_name[name].client(clock)
            return RecordedPlain(client, self.headers_seen)

        adapters = assembly.Adapters(
            channel.MemoryChannel(self.network, vm, address, clock),
            self.platform.client(vm, clock),
            engines,
            services,
            clock,
            app.rng,
        )
        assembly.add_services(
            app, assembly.Addresses(address), adapters, self._bounds
        )
