"""Tests of message channels, in memory and on sockets."""

import asyncio
import random
import socket

from corianderspar import channel
from corianderspar import clock


def test_messages_sent_at_the_same_time_arrive_in_order():
    async def main():
        network = channel.MemoryNetwork(random.Random(1))
        source = channel.MemoryChannel(network, 'vm1', 'vm1:1')
        target = channel.MemoryChannel(network, 'vm2', 'vm2:1')
        await target.open()
        source.connect('vm2', 'vm2:1')
        for number in range(50):
            source.send('vm2', bytes([number]))
        await asyncio.sleep(1)
        return [await target.receive() for number in range(50)]

    received = clock.run_virtual(main())
    assert received == [bytes([number]) for number in range(50)]


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


async def test_bursts_over_sockets_arrive_in_order_and_let_other_tasks_run():
    address = f'127.0.0.1:{_free_port()}'
    source = channel.NngChannel(f'127.0.0.1:{_free_port()}')
    target = channel.NngChannel(address)
    await target.open()
    source.connect('vm2', address)
    received: list[bytes] = []
    turns = 0

    async def receive_all() -> None:
        while len(received) < 300:
            received.append(await target.receive())

    async with asyncio.timeout(10):
        receiving = asyncio.create_task(receive_all())
        for number in range(300):
            for _attempt in range(1000):
                if source.send('vm2', b'%d' % number):
                    break
                await asyncio.sleep(0.001)
        while not receiving.done():
            turns += 1
            await asyncio.sleep(0)
    assert received == [b'%d' % number for number in range(300)]
    assert turns > 1
    await source.close()
    await target.close()


async def test_queue_for_an_absent_peer_is_bounded():
    source = channel.NngChannel(
        f'127.0.0.1:{_free_port()}', max_queued_messages=8
    )
    assert not source.send('vm2', b'not connected')
    source.connect('vm2', f'127.0.0.1:{_free_port()}')
    sent = [source.send('vm2', b'x') for _ in range(100)]
    assert any(sent) and not sent[-1]
    source.disconnect('vm2')
    assert not source.send('vm2', b'x')
    await source.close()


async def test_closing_cancels_a_task_that_receives():
    target = channel.NngChannel(f'127.0.0.1:{_free_port()}')
    await target.open()
    receiving = asyncio.create_task(target.receive())
    await asyncio.sleep(0)
    await target.close()
    receiving.cancel()
    await asyncio.wait((receiving,))
    assert receiving.cancelled()
