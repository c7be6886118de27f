"""Tests that engines get orders to match the catalogue."""

import asyncio

from tests import placement_fleet as fleets

NAME = 'szeged-d1'


def update_upstream(fleet, **changes):
    upstreams = dict(fleet.upstreams)
    upstreams[NAME] = upstreams[NAME]._replace(**changes)
    fleet.publish(upstreams)


def sent_orders(fleet, name=NAME):
    return [
        (one.kind, one.value) for one in fleet.engines_by_name[name].orders
    ]


def test_a_changed_role_is_ordered_once_the_engine_is_empty():
    async def main():
        fleet = await fleets.three_vms().start()
        requests = [
            fleet.start_request('vm1', n, f'Feast {n}. answer=380')
            for n in range(8)
        ]
        await asyncio.sleep(1)
        busy = len(fleet.engines_by_name[NAME].batch.requests())
        update_upstream(fleet, role='prefill')
        await asyncio.sleep(9)
        orders_while_busy = sent_orders(fleet)
        texts = await asyncio.gather(*requests)
        await asyncio.sleep(30)
        return (
            busy,
            orders_while_busy,
            texts,
            sent_orders(fleet),
            fleet.engines_by_name[NAME].fence,
        )

    busy, orders_while_busy, texts, orders_at_end, _fence = fleets.run(main)
    assert busy > 0
    assert orders_while_busy == []
    assert texts == [
        fleets.expected_answer(f'Feast {n}. answer=380') for n in range(8)
    ]
    assert orders_at_end == [('role', 'prefill')]


def test_a_new_model_is_loaded_on_one_engine_at_a_time():
    async def main():
        fleet = await fleets.three_vms(decodes=3).start()
        loading, most, loaded = [], [], []

        def slow_order(name, engine):
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
            engine.order = slow_order(name, engine)
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


def test_the_version_is_the_fence_and_an_older_daemon_sends_no_order():
    async def main():
        fleet = await fleets.three_vms(honours_fencing=True).start()
        engine = fleet.engines_by_name[NAME]
        update_upstream(fleet, role='prefill')
        await asyncio.sleep(9)
        fence, version = engine.fence, fleet.version
        engine.fence = version + 5
        update_upstream(fleet, role='decode')
        await asyncio.sleep(30)
        return fence, version, sent_orders(fleet)

    fence, version, sent = fleets.run(main)
    assert fence == version
    assert sent == [('role', 'prefill')]


def test_an_ignored_order_is_sent_again_after_the_interval():
    async def main():
        fleet = await fleets.three_vms().start()
        update_upstream(fleet, role='prefill')
        engine = fleet.engines_by_name[NAME]
        times = []

        async def ignore(order):
            times.append(asyncio.get_running_loop().time())
            return fleets.order_accepted()

        engine.order = ignore
        await asyncio.sleep(30)
        return [b - a for a, b in zip(times, times[1:], strict=False)]

    gaps = fleets.run(main)
    assert len(gaps) >= 1
    assert min(gaps) >= 10


def test_a_home_that_resumes_with_an_old_catalogue_reverts_nothing():
    async def main():
        fleet = await fleets.three_vms().start()
        home = fleet.home()
        paused_app = fleet.apps_by_vm.pop(home)
        fleet.clocks_by_vm[home].pause()
        update_upstream(fleet, role='prefill')
        await asyncio.sleep(60)
        before = sent_orders(fleet)
        fleet.apps_by_vm[home] = paused_app
        fleet.clocks_by_vm[home].resume()
        await asyncio.sleep(2.5)
        fleet.publish()
        await asyncio.sleep(30)
        return before, sent_orders(fleet)

    before, after = fleets.run(main)
    assert before == after == [('role', 'prefill')]
