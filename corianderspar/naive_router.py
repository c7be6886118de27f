"""The naive router: one call after another, no limits, no failures."""

from typing import Any
from typing import NamedTuple

import msgspec

from corianderspar import catalogue
from corianderspar import digests
from corianderspar import engine
from corianderspar import http_io
from corianderspar import plain_client

TIMEOUT_SECONDS = 60.0


class Seen(NamedTuple):
    """What a caller sees of an answer.

    Attributes
    ----------
    status : int
        HTTP status code.
    content : str
        Text of a completion, or body of a plain reply; empty for errors.
    """

    status: int
    content: str


class NaiveRouter:
    """Routes by the catalogue alone, one request at a time.

    Parameters
    ----------
    whole : Catalogue
        Routes, accounts and upstreams.
    engines, services : dict
        Clients of the upstreams by name.
    """

    def __init__(
        self,
        whole: catalogue.Catalogue,
        engines: dict[str, Any],
        services: dict[str, Any],
    ) -> None:
        self._whole = whole
        self._engines = engines
        self._services = services
        self._count = 0
        self._digests = {
            digest
            for account in whole.accounts_by_name.values()
            for digest in account.digests
        }

    async def send(
        self, method: str, path: str, headers: http_io.Headers, body: bytes
    ) -> Seen:
        """Serve one request."""
        route = self._route(path)
        if route is None:
            return Seen(404, '')
        if not route.open and not self._known(headers):
            return Seen(401, '')
        self._count += 1
        if route.kind == 'plain':
            return await self._pass_on(route, method, path, body)
        return await self._complete(route, body)

    def _route(self, path: str) -> catalogue.Route | None:
        found = [
            route
            for entry in self._whole.entries_by_name.values()
            for route in entry.routes_by_name.values()
            if path == route.path or path.startswith(route.path + '/')
        ]
        return max(found, key=lambda route: len(route.path), default=None)

    def _known(self, headers: http_io.Headers) -> bool:
        for name, value in headers:
            key = value.removeprefix('Bearer ')
            if name == 'authorization' and digests.digest_of(key):
                return digests.digest_of(key) in self._digests
        return False

    def _upstream(self, pool: str, role: str) -> str:
        for name, upstream in self._whole.upstreams_by_name.items():
            if upstream.pool == pool and upstream.role == role:
                return name
        raise LookupError(pool)

    async def _pass_on(
        self, route: catalogue.Route, method: str, path: str, body: bytes
    ) -> Seen:
        client = self._services[self._upstream(route.target, '')]
        call = plain_client.PlainCall(
            f'naive#{self._count}', method, path, '', (), body, TIMEOUT_SECONDS
        )
        reply = (await client.send(call)).ok
        return Seen(reply.status, reply.body.decode())

    async def _complete(self, route: catalogue.Route, body: bytes) -> Seen:
        try:
            fields = msgspec.json.decode(body)
            prompt = fields['prompt']
            assert isinstance(prompt, str)
        except (msgspec.MsgspecError, KeyError, TypeError, AssertionError):
            return Seen(400, '')
        request_id = f'naive#{self._count}'
        first = self._upstream(route.target, 'prefill')
        second = self._upstream(route.target, 'decode')
        result = await self._engines[first].prefill(
            engine.PrefillCall(request_id, route.target, prompt)
        )
        source = self._whole.upstreams_by_name[first].address
        await self._engines[second].transfer(
            engine.TransferCall(request_id, result.ok.handle, source)
        )
        decode = engine.DecodeCall(
            request_id, route.target, prompt, fields['max_tokens']
        )
        parts = [
            piece.text async for piece in self._engines[second].decode(decode)
        ]
        return Seen(200, ''.join(parts))
