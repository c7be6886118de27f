"""HTTP client of the platform's store. Calls are not retried."""

import base64
from typing import TypeVar
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import decoding
from corianderspar.platform import protocol
from corianderspar.platform import store_values
from corianderspar.router import connections
from corianderspar.router import store

MAX_BODY_BYTES = 8 * 1024 * 1024  # a page holds about 1 MB
MAX_PAGES = 1000  # of one read; each page holds 50 items or more
# Keys and values of one read, as encoded; ten times those of 3,300 engines.
MAX_READ_BYTES = 32 * 1024 * 1024
HTTP_GONE = 410  # the revision of a watch was compacted

T = TypeVar('T')


class _Item(msgspec.Struct):
    key: str
    rev: int
    value: str = ''
    deleted: bool = False


class _RangeReply(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    # The store's revision when this page was read.
    as_of: int


class _WatchReply(msgspec.Struct):
    events: list[_Item]
    as_of: int


class HttpStoreClient:
    """Client of the store; implements `store.StoreClient`.

    Parameters
    ----------
    host, port : str, int
        Address of the store.
    pool : ConnectionPool
        Connections to the store.

    Attributes
    ----------
    address : tuple of (str, int)
        Where the next call goes.
    """

    def __init__(
        self, host: str, port: int, pool: connections.ConnectionPool
    ) -> None:
        self.address = host, port
        self._pool = pool

    async def read(
        self, on_progress: store.ProgressHook | None = None
    ) -> Result[store.Changes, store.StoreError]:
        """Read the configuration, registrations and evacuations."""
        items: list[_Item] = []
        revision = 0
        era = 0
        size = 0
        for prefix in (
            protocol.CONFIGURATION_KEY,
            protocol.UPSTREAM_PREFIX,
            protocol.EVACUATION_PREFIX,
        ):
            after = ''
            for _page in range(MAX_PAGES):
                query = {'prefix': prefix}
                if after:
                    query['after'] = after
                page = await self._get(
                    protocol.STORE_RANGE_PATH,
                    query,
                    _RangeReply,
                    on_progress,
                )
                if page.is_error():
                    return Error(page.error)
                if on_progress is not None:
                    on_progress()
                reply, page_era = page.ok
                if revision and page_era != era:
                    return Error(
                        store.StoreError(
                            'era_changed',
                            f'pages of eras {era} and {page_era}',
                            page_era,
                        )
                    )
                era = page_era
                revision = revision or reply.as_of
                items.extend(reply.items)
                size += sum(len(i.key) + len(i.value) for i in reply.items)
                if size > MAX_READ_BYTES:
                    return _endless_read(f'more than {size} bytes', era)
                if not reply.has_more or not reply.items:
                    break
                if reply.items[-1].key <= after:
                    return _endless_read('pages go back', era)
                after = reply.items[-1].key
        changes = tuple(filter(None, (_decode_change(item) for item in items)))
        return Ok(store.Changes(revision, changes, era))

    async def watch(
        self,
        revision: int,
        wait: float,
        on_progress: store.ProgressHook | None = None,
    ) -> Result[store.Changes, store.StoreError]:
        """Wait for changes of any key, for ``wait`` seconds."""
        query = {
            'prefix': '',
            'after': str(revision),
            'wait_ms': str(int(wait * 1000)),
        }
        reply = await self._get(
            protocol.STORE_WATCH_PATH, query, _WatchReply, on_progress
        )
        if reply.is_error():
            return Error(reply.error)
        watched, era = reply.ok
        changes = (_decode_change(item) for item in watched.events)
        return Ok(
            store.Changes(watched.as_of, tuple(filter(None, changes)), era)
        )

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        reply_type: type[T],
        on_progress: store.ProgressHook | None,
    ) -> Result[tuple[T, int], store.StoreError]:
        """Return the decoded body of an answer, and the era it states."""
        target = f'{path}?{parse.urlencode(query)}'
        host, port = self.address
        request = connections.Request(
            'GET', target, ((b'host', f'{host}:{port}'.encode()),)
        )
        try:
            response = await self._pool.send(host, port, request)
            async with response:
                body = await response.read(MAX_BODY_BYTES, on_progress)
        except connections.UpstreamError as error:
            return Error(store.StoreError('unreachable', error.detail))
        stated_era = response.header(protocol.STORE_ERA)
        try:
            era = int(stated_era) if stated_era is not None else 0
        except ValueError:
            return Error(
                store.StoreError('unreachable', f'era {stated_era!r}')
            )
        if response.status == HTTP_GONE:
            return Error(store.StoreError('compacted', era=era))
        if response.status != 200:
            return Error(
                store.StoreError('refused', f'status {response.status}', era)
            )
        try:
            return Ok((msgspec.json.decode(body, type=reply_type), era))
        except decoding.ERRORS as error:
            return Error(store.StoreError('unreachable', f'answer: {error}'))


def _endless_read(
    detail: str, era: int
) -> Result[store.Changes, store.StoreError]:
    return Error(store.StoreError('unreachable', detail, era))


def _decode_change(item: _Item) -> store.Change | None:
    """Return the change of an item; None for keys of other systems."""
    if item.key == protocol.CONFIGURATION_KEY:
        if item.deleted:
            return store.Change(item.rev, fault='configuration deleted')
        try:
            configuration = store_values.decode_configuration(
                _decode_value(item)
            )
        except store_values.DecodeError as error:
            return store.Change(item.rev, fault=f'configuration: {error}')
        return store.Change(item.rev, configuration=configuration)
    if item.key.startswith(protocol.EVACUATION_PREFIX):
        return store.Change(
            item.rev,
            data_centre=item.key.removeprefix(protocol.EVACUATION_PREFIX),
            is_removed=item.deleted,
        )
    if not item.key.startswith(protocol.UPSTREAM_PREFIX):
        return None
    instance = item.key.removeprefix(protocol.UPSTREAM_PREFIX)
    if item.deleted:
        return store.Change(item.rev, instance=instance)
    try:
        upstream = store_values.decode_upstream(instance, _decode_value(item))
    except store_values.DecodeError as error:
        return store.Change(item.rev, instance=instance, fault=str(error))
    return store.Change(item.rev, instance=instance, upstream=upstream)


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise store_values.DecodeError(str(error)) from error
