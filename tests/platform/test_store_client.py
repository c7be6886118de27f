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
        server.era = 'x'
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
