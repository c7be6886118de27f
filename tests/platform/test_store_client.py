import asyncio

from corianderspar.platform import store_client
from corianderspar.router import connections
from tests.platform import fakes

SECONDS = 5.0  # no step takes longer unless it hangs


async def opened():
    made = fakes.FakeStoreServer()
    host, port = (await made.start()).rsplit(':', 1)
    pool = connections.ConnectionPool()
    return made, store_client.HttpStoreClient(host, int(port), pool), pool


async def test_all_pages_are_read():
    made, client, pool = await opened()
    made.write('op/config', fakes.CONFIGURATION)
    for number in range(5):
        made.write(f'servers/i-{number}', b'not readable')
    made.write('my/other', b'x')
    async with asyncio.timeout(SECONDS):
        found = (await client.read()).ok
    assert found.revision == made.revision
    assert [c.configuration.version for c in found.changes[:1]] == [3]
    assert [c.instance for c in found.changes[1:]] == [
        f'i-{number}' for number in range(5)
    ]
    assert all(c.fault for c in found.changes[1:])
    pool.close()
    await made.stop()


async def test_changes_are_watched():
    made, client, pool = await opened()
    before = made.revision
    waiting = asyncio.create_task(client.watch(before, 3.0))
    await asyncio.sleep(0.05)
    made.write('servers/i-1', None)
    async with asyncio.timeout(SECONDS):
        found = (await waiting).ok
    assert found.revision == before + 1
    assert found.changes[0].instance == 'i-1'
    assert found.changes[0].upstream is None
    async with asyncio.timeout(SECONDS):
        found = (await client.watch(made.revision, 0.05)).ok
    assert found.changes == ()
    pool.close()
    await made.stop()


async def test_errors_are_told_apart():
    made, client, pool = await opened()
    for status, code in ((410, 'compacted'), (503, 'refused')):
        made.status = status
        async with asyncio.timeout(SECONDS):
            assert (await client.watch(1, 0.1)).error.code == code
            assert (await client.read()).error.code == code
    await made.stop()
    pool.close()
    async with asyncio.timeout(SECONDS):
        assert (await client.read()).error.code == 'unreachable'
