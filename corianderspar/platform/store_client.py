"""The platform's store over HTTP; each call is made once."""

import base64
import binascii
from typing import TypeVar
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar.platform import protocol
from corianderspar.platform import store_values
from corianderspar.router import connections
from corianderspar.router import store

MOST_BYTES = 8 * 1024 * 1024  # of an answer; a page holds about 1 MB
PAGES_MOST = 1000  # of one reading; each holds 50 items or more
GONE = 410

T = TypeVar('T')


class _Item(msgspec.Struct):
    key: str
    rev: int
    value: str = ''
    deleted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    # The store's revision at the time of this page.
    as_of: int


class _Events(msgspec.Struct):
    events: list[_Item]
    as_of: int


class HttpStoreClient:
    """The store, as `store.StoreClient`.

    Parameters
    ----------
    host, port : str, int
        Where it is.
    pool : ConnectionPool
        Carries the calls.
    """

    def __init__(
        self, host: str, port: int, pool: connections.ConnectionPool
    ) -> None:
        self._host = host
        self._port = port
        self._pool = pool

    async def read(self) -> Result[store.Changes, store.StoreError]:
        """Read the configuration and all registrations."""
        items: list[_Item] = []
        revision = 0
        for prefix in (protocol.CONFIGURATION_KEY, protocol.UPSTREAM_PREFIX):
            after = ''
            for _page in range(PAGES_MOST):
                query = {'prefix': prefix}
                if after:
                    query['after'] = after
                page = await self._get(
                    protocol.STORE_RANGE_PATH, query, _Range
                )
                if page.is_error():
                    return Error(page.error)
                revision = revision or page.ok.as_of
                items.extend(page.ok.items)
                if not page.ok.has_more or not page.ok.items:
                    break
                after = page.ok.items[-1].key
        changes = tuple(filter(None, (_change(item) for item in items)))
        return Ok(store.Changes(revision, changes))

    async def watch(
        self, revision: int, wait: float
    ) -> Result[store.Changes, store.StoreError]:
        """Wait for changes of anything."""
        query = {
            'prefix': '',
            'after': str(revision),
            'wait_ms': str(int(wait * 1000)),
        }
        found = await self._get(protocol.STORE_WATCH_PATH, query, _Events)
        if found.is_error():
            return Error(found.error)
        events = (_change(item) for item in found.ok.events)
        return Ok(store.Changes(found.ok.as_of, tuple(filter(None, events))))

    async def _get(
        self, path: str, query: dict[str, str], form: type[T]
    ) -> Result[T, store.StoreError]:
        target = f'{path}?{parse.urlencode(query)}'
        host = f'{self._host}:{self._port}'.encode()
        call = connections.Request('GET', target, ((b'host', host),))
        try:
            reply = await self._pool.send(self._host, self._port, call)
            async with reply:
                body = await reply.read(MOST_BYTES)
        except connections.UpstreamError as error:
            return Error(store.StoreError('unreachable', error.detail))
        if reply.status == GONE:
            return Error(store.StoreError('compacted'))
        if reply.status != 200:
            return Error(store.StoreError('refused', f'status {reply.status}'))
        try:
            return Ok(msgspec.json.decode(body, type=form))
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return Error(store.StoreError('unreachable', f'answer: {error}'))


def _change(item: _Item) -> store.Change | None:
    """Decode an item; None for keys that are not ours to read."""
    if item.key == protocol.CONFIGURATION_KEY:
        if item.deleted:
            return store.Change(item.rev, fault='configuration deleted')
        try:
            document = store_values.decode_configuration(_value(item))
        except store_values.DecodeError as error:
            return store.Change(item.rev, fault=f'configuration: {error}')
        return store.Change(item.rev, configuration=document)
    if not item.key.startswith(protocol.UPSTREAM_PREFIX):
        return None
    instance = item.key.removeprefix(protocol.UPSTREAM_PREFIX)
    if item.deleted:
        return store.Change(item.rev, instance=instance)
    try:
        found = store_values.decode_upstream(instance, _value(item))
    except store_values.DecodeError as error:
        return store.Change(item.rev, instance=instance, fault=str(error))
    return store.Change(item.rev, instance=instance, upstream=found)


def _value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise store_values.DecodeError(str(error)) from error
