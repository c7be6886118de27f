"""Tests of orders that bring engines to the catalogue's state."""

import asyncio

from tests import placement_fleet as fleets

NAME = 'szeged-d1'


def change(fleet, **changes):
    upstreams = dict(fleet.upstreams)
    upstreams[NAME] = upstreams[NAME]._replace(**changes)
    fleet.publish(upstreams)


def orders(fleet, name=NAME):
    return [
        (one.kind, one.value) for one in fleet.engines_by_name[name].orders
    ]


def test_a_changed_role_is_ordered_once_the_engine_is_empty():
    async def main():
        fleet = await fleets.three_vms().start()
        asking = [
            fleet.start_request('vm1', n, f'Feast {n}. answer=380')
            for n in range(8)
        ]
        await asyncio.sleep(1)
        busy = len(fleet.engines_by_name[NAME].batch.requests())
        change(fleet, role='prefill')
        await asyncio.sleep(9)
        early = orders(fleet)
        texts = await asyncio.gather(*asking)
        await asyncio.sleep(30)
        return (
            busy,
            early,
            texts,
            orders(fleet),
            fleet.engines_by_name[NAME].fence,
        )

    busy, early, texts, late, _fence = fleets.run(main)
    assert busy > 0
    assert early == []
    assert texts == [
        fleets.expected_answer(f'Feast {n}. answer=380') for n in range(8)
    ]
    assert late == [('role', 'prefill')]


def test_a_new_model_is_loaded_on_one_engine_at_a_time():
    async def main():
        fleet = await fleets.three_vms(decodes=3).start()
        loading, most, loaded = [], [], []

        def slow(name, engine):
            async def order(given):
                loading.append(name)
                most.append(len(loading))
                asyncio.get_running_loop().call_later(5, end, given)
                return fleets.order_accepted()

            def end(given):
                loading.remove(name)
                loaded.append((name, given.kind, given.value))
                engine.model = given.value

            return order

        for name, engine in fleet.engines_by_name.items():
            engine.order = slow(name, engine)
        fleet.publish(
            {
                name: entry._replace(pool='shop') if '-d' in name else entry
                for name, entry in fleet.upstreams.items()
            }
        )
        await asyncio.sleep(60)
        return max(most), sorted(loaded)

    most, loaded = fleets.run(main)
    assert most == 1
    assert loaded == [(f'szeged-d{n}', 'load', 'shop') for n in range(3)]


def test_a_fence_is_the_version_and_an_older_daemon_keeps_still():
    async def main():
        fleet = await fleets.three_vms(honours_fencing=True).start()
        engine = fleet.engines_by_name[NAME]
        change(fleet, role='prefill')
        await asyncio.sleep(9)
        fence, version = engine.fence, fleet.version
        engine.fence = version + 5
        change(fleet, role='decode')
        await asyncio.sleep(30)
        return fence, version, orders(fleet)

    fence, version, given = fleets.run(main)
    assert fence == version
    assert given == [('role', 'prefill')]


def test_an_engine_that_forgets_is_ordered_again_after_it_settled():
    async def main():
        fleet = await fleets.three_vms().start()
        change(fleet, role='prefill')
        engine = fleet.engines_by_name[NAME]
        times = []

        async def forget(order):
            times.append(asyncio.get_running_loop().time())
            return fleets.order_accepted()

        engine.order = forget
        await asyncio.sleep(30)
        return [b - a for a, b in zip(times, times[1:], strict=False)]

    gaps = fleets.run(main)
    assert len(gaps) >= 1
    assert min(gaps) >= 10


def test_a_home_that_wakes_with_an_old_catalogue_undoes_nothing():
    async def main():
        fleet = await fleets.three_vms().start()
        home = fleet.home()
        asleep = fleet.apps_by_vm.pop(home)
        fleet.clocks_by_vm[home].pause()
        change(fleet, role='prefill')
        await asyncio.sleep(60)
        before = orders(fleet)
        fleet.apps_by_vm[home] = asleep
        fleet.clocks_by_vm[home].resume()
        await asyncio.sleep(2.5)
        fleet.publish()
        await asyncio.sleep(30)
        return before, orders(fleet)

    before, after = fleets.run(main)
    assert before == after == [('role', 'prefill')]
