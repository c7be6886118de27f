"""HTTP client of the platform's store. Calls are not retried."""

import asyncio
import base64
from typing import Annotated
from typing import TypeVar
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import decoding
from corianderspar import lenient_json
from corianderspar.platform import protocol
from corianderspar.platform import store_values
from corianderspar.router import connections
from corianderspar.router import store

MAX_BODY_BYTES = 8 * 1024 * 1024  # a page holds about 1 MB
# Of an answer that is scanned for its parts: two pages. A larger one takes so
# long that the call would be given up.
MAX_SCANNED_BYTES = 2 * 1024 * 1024
MAX_PAGES = 1000  # of one prefix; those of other writers may hold one item
# Keys and values of one read that can be used, as encoded; ten times those of
# 3,300 engines.
MAX_READ_BYTES = 32 * 1024 * 1024
MAX_REGISTRATION_BYTES = 16 * 1024  # as encoded; most have a few hundred
MAX_FAULTS = 1000  # of one read; further ones are counted only
MAX_KEY_BYTES = 200  # of a key that is logged
HTTP_GONE = 410  # the revision of a watch was compacted

_PREFIXES = tuple(
    prefix.encode()
    for prefix in (
        protocol.CONFIGURATION_KEY,
        protocol.UPSTREAM_PREFIX,
        protocol.EVACUATION_PREFIX,
    )
)

ReplyT = TypeVar('ReplyT', bound=msgspec.Struct)


# What daemons pass on to each other holds integers of 64 bits.
_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Item(msgspec.Struct):
    key: str
    rev: _Revision
    value: str = ''
    deleted: bool = False


class _RangeReply(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    # The store's revision when this page was read.
    as_of: _Revision


class _WatchReply(msgspec.Struct):
    events: list[_Item]
    as_of: _Revision


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
        reading = _Reading()
        for prefix in (
            protocol.CONFIGURATION_KEY,
            protocol.UPSTREAM_PREFIX,
            protocol.EVACUATION_PREFIX,
        ):
            after = b''
            for _page in range(MAX_PAGES):
                query: dict[str, str | bytes] = {'prefix': prefix}
                if after:
                    query['after'] = after
                page = await self._get(
                    protocol.STORE_RANGE_PATH,
                    query,
                    _RangeReply,
                    on_progress,
                )
                if page.is_error():
                    if page.error.code == 'unusable':
                        return _failed_read(page.error.detail, page.error.era)
                    return Error(page.error)
                if on_progress is not None:
                    on_progress()
                reply, era = page.ok
                error = reading.add(reply, era)
                if error is not None:
                    return Error(error)
                # The configuration is the first of the keys that begin so.
                if (
                    not reply.has_more
                    or not reply.items
                    or prefix == protocol.CONFIGURATION_KEY
                ):
                    break
                before = after
                after = max(map(_raw_key, reply.items))
                if after <= before or not after.startswith(prefix.encode()):
                    return _failed_read('pages go back', era)
            else:
                return _failed_read(f'more than {MAX_PAGES} pages', era)
        return Ok(reading.finish())

    async def watch(
        self,
        revision: int,
        wait: float,
        on_progress: store.ProgressHook | None = None,
    ) -> Result[store.Changes, store.StoreError]:
        """Wait for changes of any key, for ``wait`` seconds."""
        query: dict[str, str | bytes] = {
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
        changes = []
        for item in watched.events:
            # The revisions rise; that of an unreadable item is unknown.
            revision = _revision(item, revision + 1)
            change = _decode_change(item, revision)
            if change is not None:
                changes.append(change)
        return Ok(store.Changes(watched.as_of, tuple(changes), era))

    async def _get(
        self,
        path: str,
        query: dict[str, str | bytes],
        reply_type: type[ReplyT],
        on_progress: store.ProgressHook | None,
    ) -> Result[tuple[ReplyT, int], store.StoreError]:
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
        except connections.TooLongError as error:
            return Error(store.StoreError('unusable', error.detail))
        except connections.UpstreamError as error:
            return Error(store.StoreError('unreachable', error.detail))
        stated_era = response.header(protocol.STORE_ERA)
        try:
            stated = int(stated_era) if stated_era is not None else 0
            era = msgspec.convert(stated, _Revision)
        except decoding.ERRORS:
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
            if len(body) > MAX_SCANNED_BYTES:
                return Error(
                    store.StoreError('unusable', f'answer: {error}', era)
                )
        # Decoded anew, without the parts that can't be read.
        try:
            # In a thread, as it takes long enough to delay requests.
            reply = await asyncio.to_thread(
                lenient_json.decode_struct, body, reply_type
            )
        except ValueError as error:
            return Error(store.StoreError('unusable', f'answer: {error}', era))
        return Ok((reply, era))


class _Reading:
    """Changes of the pages of a read."""

    def __init__(self) -> None:
        self._changes: list[store.Change] = []
        self._revision = 0
        self._era = 0
        self._size = 0
        self._faults = 0

    def add(self, page: _RangeReply, era: int) -> store.StoreError | None:
        """Decode a page; return an error if the read can't go on."""
        if self._revision and era != self._era:
            return store.StoreError(
                'era_changed', f'pages of eras {self._era} and {era}', era
            )
        self._era = era
        self._revision = self._revision or page.as_of
        for item in page.items:
            change = _decode_change(item, _revision(item, self._revision))
            if change is None:
                continue
            if change.fault and not change.data_centre:
                self._faults += 1
                if self._faults > MAX_FAULTS:
                    continue
            elif isinstance(item, _Item):
                self._size += len(item.key)
                # The value of an evacuation is not read.
                self._size += 0 if change.data_centre else len(item.value)
            self._changes.append(change)
        if self._size > MAX_READ_BYTES:
            detail = f'more than {MAX_READ_BYTES} bytes'
            return store.StoreError('unreachable', detail, era)
        return None

    def finish(self) -> store.Changes:
        """Return all changes; further faults are told of as one."""
        excess = self._faults - MAX_FAULTS
        if excess > 0:
            fault = f'{excess} more entries'
            self._changes.append(store.Change(self._revision, fault=fault))
        return store.Changes(self._revision, tuple(self._changes), self._era)


def _failed_read(
    detail: str, era: int
) -> Result[store.Changes, store.StoreError]:
    return Error(store.StoreError('unreachable', detail, era))


def _raw_key(item: _Item | lenient_json.Partial) -> bytes:
    """Return the bytes of a key; empty if there is none."""
    if isinstance(item, _Item):
        return item.key.encode()
    raw = item.raw_by_field.get('key', b'')
    return lenient_json.encode_text(lenient_json.decode_text(raw) or '')


def _revision(item: _Item | lenient_json.Partial, default: int) -> int:
    if isinstance(item, _Item):
        return item.rev
    return int(item.values_by_field.get('rev', default))


def _decode_change(
    item: _Item | lenient_json.Partial, revision: int
) -> store.Change | None:
    """Return the change of an item; None for keys of other systems."""
    if isinstance(item, lenient_json.Partial):
        return _decode_unreadable(item, revision)
    if item.key == protocol.CONFIGURATION_KEY:
        if item.deleted:
            return store.Change(revision, fault='configuration deleted')
        try:
            value = _decode_value(item)
        except store_values.DecodeError as error:
            return _hidden_configuration(revision, str(error))
        try:
            configuration = store_values.decode_configuration(value)
        except store_values.DecodeError as error:
            return store.Change(revision, fault=f'configuration: {error}')
        return store.Change(revision, configuration=configuration)
    if item.key.startswith(protocol.EVACUATION_PREFIX):
        return store.Change(
            revision,
            data_centre=item.key.removeprefix(protocol.EVACUATION_PREFIX),
            is_removed=item.deleted,
        )
    if not item.key.startswith(protocol.UPSTREAM_PREFIX):
        return None
    instance = item.key.removeprefix(protocol.UPSTREAM_PREFIX)
    if item.deleted:
        return store.Change(revision, instance=instance)
    try:
        if len(item.value) > MAX_REGISTRATION_BYTES:
            raise store_values.DecodeError(f'{len(item.value)} bytes')
        upstream = store_values.decode_upstream(instance, _decode_value(item))
    except store_values.DecodeError as error:
        return store.Change(revision, instance=instance, fault=str(error))
    return store.Change(revision, instance=instance, upstream=upstream)


def _decode_unreadable(
    item: lenient_json.Partial, revision: int
) -> store.Change | None:
    """Return the fault of an item; None for keys of other systems."""
    fault = f'item: {item.reason}'
    key = item.values_by_field.get('key')
    if key is None:
        raw = _raw_key(item)
        if raw and not raw.startswith(_PREFIXES):
            return None
        key_text = repr(raw[:MAX_KEY_BYTES])
        return store.Change(revision, fault=f'key {key_text}, {fault}')
    if key.startswith(protocol.EVACUATION_PREFIX):
        return store.Change(
            revision,
            fault=fault,
            data_centre=key.removeprefix(protocol.EVACUATION_PREFIX),
            is_removed=item.values_by_field.get('deleted', False),
        )
    if key.startswith(protocol.UPSTREAM_PREFIX):
        instance = key.removeprefix(protocol.UPSTREAM_PREFIX)
        return store.Change(revision, instance=instance, fault=fault)
    if key == protocol.CONFIGURATION_KEY:
        return _hidden_configuration(revision, fault)
    return None


def _hidden_configuration(revision: int, why: str) -> store.Change:
    return store.Change(
        revision, fault=f'configuration: {why}', hides_configuration=True
    )


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise store_values.DecodeError(str(error)) from error
