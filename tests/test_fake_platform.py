"""Tests of the platform's in-memory twin."""

import asyncio

from corianderspar import clock
from corianderspar import fake_platform
from corianderspar import platform_client


def test_a_watch_ends_with_the_change_or_with_the_time():
    async def main():
        shared = fake_platform.FakePlatform()
        client = shared.client('vm1')
        asyncio.get_running_loop().call_later(3, shared.put, 'key', b'1')
        value = await client.watch('key', 0, 10)
        none = await client.watch('key', 1, 10)
        return value.ok, none.ok, shared.calls_by_reader['vm1']

    assert clock.run_virtual(main()) == (
        platform_client.Value(1, b'1'),
        None,
        2,
    )


def test_a_stale_service_gives_what_was():
    async def main():
        shared = fake_platform.FakePlatform()
        shared.put('key', b'1')
        shared.stale_at = 0.0
        await asyncio.sleep(1)
        shared.put('key', b'2')
        client = shared.client('vm1')
        old = await client.read('key')
        shared.stale_at = None
        return old.ok.data, (await client.read('key')).ok.data

    assert clock.run_virtual(main()) == (b'1', b'2')


def test_a_reader_can_be_cut_off_alone():
    async def main():
        shared = fake_platform.FakePlatform()
        shared.put('key', b'1')
        shared.cut_readers = {'vm1'}
        cut = await shared.client('vm1').read('key')
        fine = await shared.client('vm2').read('key')
        return cut.error.code, fine.is_ok()

    assert clock.run_virtual(main()) == ('unreachable', True)


def test_a_lagging_list_shows_changes_late():
    async def main():
        shared = fake_platform.FakePlatform()
        shared.list_lag = 5.0
        shared.list_vms(())
        client = shared.client('vm1')
        first = await client.vms()
        await asyncio.sleep(6)
        return first.ok.revision, (await client.vms()).ok.revision

    assert clock.run_virtual(main()) == (0, 1)
