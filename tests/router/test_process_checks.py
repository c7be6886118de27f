"""Streams at engines that may not be the process that the store lists."""

import asyncio

import pytest

from tests.router import test_stream_versions as streams


@pytest.mark.parametrize('version_count', [1, 2])
def test_reports_do_not_grow_with_streams(version_count):
    """Guards against a report for each stream."""

    async def main(fleet):
        for _ in range(streams.WAVES):
            played = await streams.begin(fleet)
            for stream in played:
                await stream.finish()
        count = fleet.upstreams.report_count
        engines = 2 * version_count
        assert count <= (version_count - 1) * engines * streams.WAVES

    streams.run_fleet(main, streams.engines(version_count))


def test_reports_do_not_grow_with_streams_that_go_on():
    """Guards against many connections at once to the engines that are left."""

    async def main(fleet):
        played = []
        for _ in range(4):
            played += await streams.begin(fleet)
        fleet.upstreams.crash(
            fleet.store_view('vm1').upstreams_by_instance['d1']
        )
        for stream in played:
            await stream.finish()
        assert all(stream.is_whole for stream in played)
        assert fleet.upstreams.report_count <= len(fleet.apps_by_vm)

    engines = [
        each._replace(port=1000 + number)
        for number, each in enumerate(streams.engines(1))
    ]
    streams.run_fleet(main, engines)


@pytest.mark.parametrize('is_taken_up', [True, False])
def test_streams_go_on_after_their_engine_has_crashed(is_taken_up):
    """Guards against a stream that is refused as its engine is gone."""

    async def main(fleet):
        played = await streams.begin(fleet)
        await asyncio.sleep(0.3)
        by_instance = fleet.store_view('vm1').upstreams_by_instance
        if is_taken_up:
            for stream in played:
                await stream.leave()
            await asyncio.sleep(0.1)
        fleet.upstreams.crash(by_instance['d1'])
        if is_taken_up:
            assert await streams.take_up(played, 'vm2') >= streams.MIN_SHARE
        for stream in played:
            await stream.finish()
        assert sum(s.is_whole for s in played) >= streams.MIN_SHARE * len(
            played
        )
        assert not streams.mixed(played)

    # The one that crashes does not share its address.
    engines = [
        each._replace(port=1000 + number)
        for number, each in enumerate(streams.engines(2))
    ]
    streams.run_fleet(main, engines)


@pytest.mark.parametrize('is_broken', [True, False])
def test_first_engine_of_a_new_version_that_returns_under_its_name(is_broken):
    """Guards against its first streams being taken for the old version's."""

    async def main(fleet):
        engine = fleet.store_view('vm1').upstreams_by_instance['d1']
        returned = engine._replace(version='v2', started_ms=6000)
        fleet.upstreams.replace(engine, returned)
        played = await streams.begin(fleet)
        fleet.store.register(returned)
        await asyncio.sleep(0.2)
        if is_broken:
            fleet.upstreams.reset(engine)
            await asyncio.sleep(0.2)
        for stream in played:
            await stream.leave()
        await streams.take_up(played, 'vm2')
        for stream in played:
            await stream.leave()
        assert {v for s in played for v in s.versions} == {'v1', 'v2'}
        assert not streams.mixed(played)

    streams.run_fleet(main, streams.engines(1))


def test_first_engine_of_a_new_version_is_no_place_to_go_on():
    """Guards against an engine that goes on before its version is listed."""

    async def main(fleet):
        by_instance = fleet.store_view('vm1').upstreams_by_instance
        played = await streams.begin(fleet)
        engine = by_instance['d2']
        fleet.upstreams.replace(
            engine, engine._replace(version='v2', started_ms=6000)
        )
        await asyncio.sleep(0.1)
        fleet.upstreams.reset(by_instance['d1'])
        for stream in played:
            await stream.finish()
        assert len(streams.mixed(played)) <= streams.MAX_MIXED

    streams.run_fleet(main, streams.engines(1))
