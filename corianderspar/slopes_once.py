"""Cost of ticket records and of plain requests against their number."""

import asyncio
import time
import tracemalloc
from typing import NamedTuple

from expression import Ok

from corianderspar import clock
from corianderspar import fake_plain_fleet
from corianderspar import fits
from corianderspar import plain_client
from corianderspar import ticket_records
from corianderspar import tickets

RECORDS = (1000, 2000, 4000, 8000)
ANSWER_BYTES = 200
REQUESTS = (500, 1000, 1500, 2000)
ONE = fake_plain_fleet.Shape(vms=1, upstreams=4, data_centres=1)


class Point(NamedTuple):
    """One measured point of a slope.

    Attributes
    ----------
    series : str
        What was measured.
    x, y : float
        How many, and what that many cost.
    x_unit, y_unit : str
        Units of both.
    """

    series: str
    x: float
    y: float
    x_unit: str
    y_unit: str


def points() -> list[Point]:
    """Return the points of all series; takes a few seconds."""
    found = []
    for count in RECORDS:
        for answer, series in (
            (0, 'ticket_issued_memory'),
            (ANSWER_BYTES, 'ticket_answered_memory'),
        ):
            used = _records(count, answer)
            found.append(Point(series, count, used, 'records', 'bytes'))
    for count in REQUESTS:
        for repeatable, series in (
            (True, 'lookup_processor'),
            (False, 'order_processor'),
        ):
            seconds = clock.run_virtual(_requests(count, repeatable))
            found.append(Point(series, count, seconds, 'requests', 's'))
    return found


def series() -> tuple[fits.Series, ...]:
    """Return the points as series for straight lines."""
    return fits.group(
        fits.Row(
            f'once_{point.series}',
            point.x_unit,
            point.y_unit,
            point.x,
            point.y,
        )
        for point in points()
    )


def _records(count: int, answer: int) -> float:
    """Return bytes that so many records take, with answers if any."""

    async def fill() -> float:
        kept = ticket_records.TicketRecords(
            clock.VirtualClock(), ticket_records.Limits(max_records=count + 1)
        )
        signer = tickets.TicketSigner('vm1/1/a')
        tracemalloc.start()
        before, _peak = tracemalloc.get_traced_memory()
        for number in range(count):
            ticket = signer.verify(signer.issue('parish', 'orders', 60.0))
            assert ticket is not None
            kept.add(ticket.nonce, ticket.account)
            if answer:
                record = kept.claim(ticket.nonce, b'%016d' % number)
                assert record is not None
                reply = plain_client.PlainReply(200, (), bytes(answer))
                kept.finish(ticket.nonce, record, Ok(reply))
        after, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return float(after - before)

    return clock.run_virtual(fill())


async def _requests(count: int, repeatable: bool) -> float:
    """Return processor seconds of so many requests through dispatch.

    The fake upstreams' and the heartbeats' share is in it; an order is
    one with a ticket, issue included.
    """
    fleet = fake_plain_fleet.Fleet(1, ONE)
    await fleet.start()
    found = fleet.dispatch('vm0')
    since = time.process_time()
    for number in range(count):
        ticket = '' if repeatable else await fleet.ticket('vm0')
        request = fleet.request(b'%d' % number, repeatable, ticket)
        await found.send(request)
        await asyncio.sleep(0)
    seconds = time.process_time() - since
    await fleet.stop()
    return seconds


def main() -> None:
    """Print the points, one a line, with their quotient."""
    for point in points():
        print(
            f'series={point.series} x={point.x:g} {point.x_unit}'
            f' y={point.y:.4g} {point.y_unit}'
            f' each={point.y / point.x:.4g}'
        )


if __name__ == '__main__':
    main()
