"""A plain service to route to: print orders, bookings and lookups."""

import asyncio
import itertools
from typing import Any

import litestar
from litestar import status_codes

FEASTS_BY_CODE = {
    'pentecost': 'Pentecost, fiftieth day of Easter',
    'purim': 'Purim, 14 Adar',
    'dormition': 'Dormition of the Mother of God, 15 August',
    'reformation': 'Reformation Day, 31 October',
}


class Shop:
    """Counts what was ordered and booked, for checks from outside.

    Parameters
    ----------
    delay : float
        Seconds that each write takes.
    """

    def __init__(self, delay: float = 0.0) -> None:
        self.orders: list[dict[str, Any]] = []
        self.seen_headers: list[dict[str, str]] = []
        self._delay = delay
        self._numbers = itertools.count(1)

    async def take(self, kind: str, body: Any) -> dict[str, Any]:
        """Record an order or booking and return its confirmation."""
        await asyncio.sleep(self._delay)
        record = {'kind': kind, 'number': next(self._numbers), 'body': body}
        self.orders.append(record)
        return record


def make_app(shop: Shop) -> litestar.Litestar:
    """Return the ASGI application of the plain service."""

    @litestar.post('/print/orders', status_code=status_codes.HTTP_201_CREATED)
    async def order(request: litestar.Request) -> dict[str, Any]:
        shop.seen_headers.append(dict(request.headers))
        return await shop.take('order', await request.json())

    @litestar.post('/bookings', status_code=status_codes.HTTP_201_CREATED)
    async def book(request: litestar.Request) -> dict[str, Any]:
        shop.seen_headers.append(dict(request.headers))
        return await shop.take('booking', await request.json())

    @litestar.get('/catalogue/{code:str}', sync_to_thread=False)
    def look_up(code: str, request: litestar.Request) -> litestar.Response:
        shop.seen_headers.append(dict(request.headers))
        title = FEASTS_BY_CODE.get(code)
        if title is None:
            return litestar.Response({'code': 'unknown'}, status_code=404)
        return litestar.Response({'code': code, 'title': title})

    return litestar.Litestar(
        [order, book, look_up], openapi_config=None, logging_config=None
    )
