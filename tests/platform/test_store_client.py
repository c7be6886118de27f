import asyncio

from corianderspar.platform import store_client
from corianderspar.router import connections
from tests.platform import fakes

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
