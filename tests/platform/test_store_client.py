import asyncio
import base64
import contextlib
import json
from urllib import parse

import pytest

from corianderspar import http_server
from corianderspar.platform import store_client
from corianderspar.router import connections
from tests.platform import fakes
from tests.router import endless

TIMEOUT_SECONDS = 5.0  # per step; longer means that it hangs


async def open_client():
    server = fakes.FakeStoreServer()
    host, port = (await server.start()).rsplit(':', 1)
    pool = connections.ConnectionPool()
    return server, store_client.HttpStoreClient(host, int(port), pool), pool


async def test_all_pages_are_read():
    server, client, pool = await open_client()
    server.write('op/config', fakes.CONFIGURATION)
    for number in range(5):
        server.write(f'servers/i-{number}', b'not readable')
    server.write('my/other', b'x')
    async with asyncio.timeout(TIMEOUT_SECONDS):
        changes = (await client.read()).ok
    assert changes.revision == server.revision
    assert [c.configuration.version for c in changes.changes[:1]] == [3]
    assert [c.instance for c in changes.changes[1:]] == [
        f'i-{number}' for number in range(5)
    ]
    assert all(c.fault for c in changes.changes[1:])
    pool.close()
    await server.stop()


NESTED = b'[' * 2000 + b']' * 2000
UNREADABLE = [
    b'{"document": ' + NESTED + b'}',
    NESTED,
    b'',
    b'null',
    b'\xff\xfe',
    b'{"service": ' + NESTED + b'}',
]


@pytest.mark.parametrize('key', ['servers/i-1', 'op/config'])
@pytest.mark.parametrize('value', UNREADABLE, ids=range(len(UNREADABLE)))
async def test_unreadable_entry_leaves_the_others(key, value):
    """Guards against a store that is followed no more for one bad entry."""
    server, client, pool = await open_client()
    before = server.revision
    server.write(key, value)
    server.write('op/evacuate/z', b'')
    async with asyncio.timeout(TIMEOUT_SECONDS):
        for changes in (await client.read(), await client.watch(before, 1.0)):
            unreadable, evacuation = sorted(
                changes.ok.changes, key=lambda change: change.revision
            )
            assert unreadable.fault
            assert unreadable.upstream is None
            assert unreadable.configuration is None
            assert evacuation.data_centre == 'z'
    pool.close()
    await server.stop()


class RawStore:
    """Answers with items as they are encoded here, a page for each prefix."""

    def __init__(self, *raw_items, tail=b'}'):
        self.raw_items = raw_items
        self.tail = tail

    async def __call__(self, scope, receive, send):
        await receive()
        query = parse.parse_qs(scope['query_string'])
        prefix = query.get(b'prefix', [b''])[0]
        name = b'events' if scope['path'] == '/-/kv-watch' else b'items'
        body = b'{"%s": [%s], "has_more": false, "as_of": 40%s' % (
            name,
            b', '.join(i for i in self.raw_items if prefix in i),
            self.tail,
        )
        length = (('content-length', str(len(body))),)
        await fakes.send_head(send, 200, length)
        await fakes.send_chunk(send, body, False)


@contextlib.asynccontextmanager
async def client_of(answers):
    server = http_server.HttpServer(answers, '127.0.0.1:0')
    await server.start()
    host, port = server.address.rsplit(':', 1)
    pool = connections.ConnectionPool()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        yield store_client.HttpStoreClient(host, int(port), pool)
    pool.close()
    await server.abort()


def encode_item(key, value, revision):
    encoded = base64.b64encode(json.dumps(value).encode())
    return b'{"key": "%s", "rev": %d, "value": "%s"}' % (
        key.encode(),
        revision,
        encoded,
    )


CONFIGURATION_ITEM = encode_item('op/config', fakes.CONFIGURATION, 35)
EVACUATION_ITEM = encode_item('op/evacuate/z', {}, 36)
DEEP = b'[' * 3000 + b']' * 3000
UNREADABLE_ITEMS = [
    b'{"key": "servers/i-1", "rev": 31, "value": "\xff"}',
    b'{"key": "servers/i-1", "rev": 31, "value": "\\ud800"}',
    b'{"key": "servers/i-1", "rev": 31, "value": null}',
    b'{"key": "servers/i-1", "rev": 31, "value": {"a": [1, "]}"]}}',
    b'{"key": "servers/i-1", "rev": 31, "value": NaN}',
    b'{"key": "servers/i-1", "rev": 31, "value": %s}' % DEEP,
    b'{"key": "servers/i-1", "rev": 31.5, "value": ""}',
    b'{"key": "servers/i-1", "value": ""}',
    b'{"key": "servers/i-1", "rev": 31, "deleted": null}',
    b'{"key": "servers/i-1", "rev": 18446744073709551616, "value": ""}',
    b'{"key": "op/config", "rev": 31, "value": null}',
    b'{"key": "op/config", "rev": 31, "deleted": null}',
    b'{"key": "servers/\xff", "rev": 31, "value": ""}',
    b'{"key": "servers/\\ud800", "rev": 31, "value": ""}',
    b'{"key": null, "rev": 31, "value": "servers/"}',
    b'{"key": 7, "rev": 31, "value": "op/config"}',
    b'{"key": {"servers/": 1}, "rev": 31, "value": ""}',
    b'{"rev": 31, "value": "servers/"}',
    b'"servers/i-1"',
    b'["op/config", null]',
]


@pytest.mark.parametrize('item', UNREADABLE_ITEMS, ids=range(20))
async def test_unreadable_item_leaves_the_others(item):
    """Guards against a store that is followed no more for one bad item."""
    raw = RawStore(item, CONFIGURATION_ITEM, EVACUATION_ITEM)
    async with client_of(raw) as client:
        for result in (await client.read(), await client.watch(30, 0.1)):
            changes = result.ok.changes
            assert result.ok.revision == 40
            assert [c.data_centre for c in changes if c.data_centre] == ['z']
            (configured,) = filter(lambda c: c.configuration, changes)
            assert configured.configuration.version == 3
            (unreadable,) = filter(lambda c: c.fault, changes)
            assert unreadable.upstream is None
            assert unreadable.configuration is None
            names_it = b'"key": "servers/i-1"' in item
            assert unreadable.instance == ('i-1' if names_it else '')
            assert unreadable.revision in (31, 40)
            hides = b'"key": "op/config"' in item
            assert result.ok.hides_configuration == hides


@pytest.mark.parametrize(
    'field',
    [b'NaN', b'"\xff"', b'"\\udfff"', b'"]}\\""', DEEP],
    ids=range(5),
)
async def test_field_that_is_not_read_may_be_unreadable(field):
    """Guards against a configuration that is ignored for it."""
    item = CONFIGURATION_ITEM[:-1] + b', "created": %s}' % field
    async with client_of(RawStore(item, EVACUATION_ITEM)) as client:
        for result in (await client.read(), await client.watch(30, 0.1)):
            changes = sorted(result.ok.changes)
            assert [c.revision for c in changes] == [35, 36]
            assert changes[0].configuration.version == 3


@pytest.mark.parametrize(
    'answers',
    [
        RawStore(EVACUATION_ITEM, tail=b''),
        RawStore(EVACUATION_ITEM, tail=b'0000000000000000000}'),
        RawStore(EVACUATION_ITEM + b']'),
        RawStore(EVACUATION_ITEM + b'"'),
        RawStore(*([b'{}'] * 20_000)),
        RawStore(encode_item('my/other', 'x' * 7 * 1024 * 1024, 31)),
        RawStore(b'null', encode_item('my/other', 'x' * 2 * 2**20, 31)),
    ],
    ids=['cut', 'revision', 'bracket', 'string', 'many', 'large', 'slow'],
)
async def test_changes_that_stay_unusable_are_told_from_an_outage(answers):
    """Guards against asking for the same changes again for ever."""
    async with client_of(answers) as client:
        assert (await client.watch(30, 0.1)).error.code == 'unusable'


class LargePages:
    """Holds entries of other writers, one on a page, then a good one."""

    def __init__(self, value, count):
        self.value = value
        self.count = count

    async def __call__(self, scope, receive, send):
        await receive()
        query = dict(parse.parse_qsl(scope['query_string'].decode()))
        number = int(query.get('after', '/').rpartition('/')[2] or 0) + 1
        item = {'key': f'{query["prefix"]}{number:05}', 'rev': 1}
        body = {'items': [item], 'has_more': True, 'as_of': 1}
        if query['prefix'] != 'servers/':
            body = body | {'items': [], 'has_more': False}
        elif number <= self.count:
            item['value'] = self.value
        else:
            entry = json.dumps(REGISTRATION).encode()
            item['value'] = base64.b64encode(entry).decode()
            body['has_more'] = False
        await fakes.send_reply(send, 200, body)


REGISTRATION = {
    'service': 's',
    'addr': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 1,
}
PADDING = 'x' * 1024 * 1024
LARGE_REGISTRATION = base64.b64encode(
    json.dumps(REGISTRATION | {'note': PADDING}).encode()
).decode()


@pytest.mark.parametrize('value', [PADDING, LARGE_REGISTRATION])
async def test_entries_of_other_writers_do_not_end_a_read(value):
    """Guards against a daemon that never has a state for their size."""
    async with client_of(LargePages(value, 40)) as client:
        changes = (await client.read()).ok.changes
    assert [c.instance for c in changes if c.upstream] == ['00041']
    assert sum(bool(c.fault) for c in changes) == 40


async def test_pages_without_end_are_an_error(monkeypatch):
    """Guards against a part of the store that is taken for all of it."""
    monkeypatch.setattr(store_client, 'MAX_PAGES', 20)
    monkeypatch.setattr(store_client, 'MAX_FAULTS', 4)
    async with client_of(LargePages('', 20)) as client:
        assert (await client.read()).error.code == 'unreachable'
    async with client_of(LargePages('', 19)) as client:
        *_, last, excess = (await client.read()).ok.changes
    assert last.upstream and excess.fault == '15 more entries'


async def test_read_whose_page_trickles_makes_no_progress():
    """The daemon then gives the call up, and asks its peers."""
    progress = []
    async with endless.EndlessServer(
        endless.CHUNKED % (200, b''), endless.chunk(b' '), 0.01
    ) as server:
        pool = connections.ConnectionPool()
        client = store_client.HttpStoreClient('127.0.0.1', server.port, pool)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.6):
                await client.read(lambda: progress.append(1))
        assert not progress
        pool.close()


async def test_watch_returns_changes():
    server, client, pool = await open_client()
    before = server.revision
    watching = asyncio.create_task(client.watch(before, 3.0))
    await asyncio.sleep(0.05)
    server.write('servers/i-1', None)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        changes = (await watching).ok
    assert changes.revision == before + 1
    assert changes.changes[0].instance == 'i-1'
    assert changes.changes[0].upstream is None
    async with asyncio.timeout(TIMEOUT_SECONDS):
        changes = (await client.watch(server.revision, 0.05)).ok
    assert changes.changes == ()
    pool.close()
    await server.stop()


async def test_evacuations_are_read_and_watched():
    server, client, pool = await open_client()
    server.write('op/config', fakes.CONFIGURATION)
    server.write('op/evacuate/buda-a', b'{}')
    async with asyncio.timeout(TIMEOUT_SECONDS):
        read = (await client.read()).ok
        server.write('op/evacuate/buda-a', None)
        watched = (await client.watch(read.revision, 0.05)).ok
    assert [c.data_centre for c in read.changes] == ['', 'buda-a']
    assert not read.changes[1].is_removed
    assert [(c.data_centre, c.is_removed) for c in watched.changes] == [
        ('buda-a', True)
    ]
    pool.close()
    await server.stop()


async def test_errors_have_distinct_codes():
    server, client, pool = await open_client()
    for status, code in ((410, 'compacted'), (503, 'refused')):
        server.status = status
        async with asyncio.timeout(TIMEOUT_SECONDS):
            assert (await client.watch(1, 0.1)).error.code == code
            assert (await client.read()).error.code == code
    await server.stop()
    pool.close()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        assert (await client.read()).error.code == 'unreachable'


async def test_era_is_read_from_every_answer():
    server, client, pool = await open_client()
    server.write('op/config', fakes.CONFIGURATION)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        assert (await client.read()).ok.era == 0
        server.era = '7'
        assert (await client.read()).ok.era == 7
        assert (await client.watch(0, 0.1)).ok.era == 7
        for status in (410, 503):
            server.status = status
            assert (await client.watch(1, 0.1)).error.era == 7
        server.status = 200
        for server.era in ('x', str(2**63), '9' * 5000):
            assert (await client.read()).error.code == 'unreachable'
    pool.close()
    await server.stop()


async def test_pages_of_two_eras_are_not_joined():
    server, client, pool = await open_client()
    for number in range(5):
        server.write(f'servers/i-{number}', b'not readable')
    server.next_eras = ['7', '7', '8']
    async with asyncio.timeout(TIMEOUT_SECONDS):
        error = (await client.read()).error
    assert error.code == 'era_changed' and error.era == 8
    pool.close()
    await server.stop()


class EndlessPages:
    """Answers each read with a page after which there is more."""

    def __init__(self, value, goes_back):
        self.value = value
        self.goes_back = goes_back
        self.pages = 0

    async def __call__(self, _scope, receive, send):
        await receive()
        self.pages += 1
        number = 0 if self.goes_back else self.pages
        item = {'key': f'op/{number:09}', 'rev': 1, 'value': self.value}
        await fakes.send_reply(
            send, 200, {'items': [item], 'has_more': True, 'as_of': 1}
        )


@pytest.mark.parametrize(
    ('pages', 'max_pages'),
    [
        (EndlessPages('', True), 2),
        (EndlessPages('x' * 1024 * 1024, False), 33),
    ],
    ids=['same', 'large'],
)
async def test_endless_pages_are_an_error(pages, max_pages):
    server = http_server.HttpServer(pages, '127.0.0.1:0')
    await server.start()
    host, port = server.address.rsplit(':', 1)
    pool = connections.ConnectionPool()
    client = store_client.HttpStoreClient(host, int(port), pool)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        assert (await client.read()).error.code == 'unreachable'
    assert pages.pages <= max_pages
    pool.close()
    await server.abort()


async def test_endless_body_of_the_store_is_an_error():
    async with endless.EndlessServer(
        endless.CHUNKED % (200, b''), endless.chunk(b' ' * 8000)
    ) as server:
        pool = connections.ConnectionPool()
        client = store_client.HttpStoreClient('127.0.0.1', server.port, pool)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            error = (await client.read()).error
        assert (error.code, error.detail) == ('unreachable', 'body too long')
        pool.close()


async def test_late_copy_of_an_answer_is_not_taken_for_the_next_one():
    """A watch that gets it would verify a state that may have changed."""
    revisions = iter((7, 8))

    async def answer(reader, writer):
        earlier = b''
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                body = b'{"events": [], "as_of": %d}' % next(revisions)
                head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
                writer.write(earlier + head % len(body) + body)
                earlier = head % len(body) + body
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    pool = connections.ConnectionPool()
    client = store_client.HttpStoreClient('127.0.0.1', port, pool)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        assert (await client.watch(7, 0.1)).ok.revision == 7
        assert (await client.watch(7, 0.1)).ok.revision == 8
    pool.close()
    server.close()
