"""A small client that sends an order again until its outcome is known."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import httpx

TICKETS_PATH = '/tickets'
TICKET_HEADER = 'Corianderspar-Ticket'
RAN_HEADER = 'Corianderspar-Ran'
CODE_HEADER = 'Corianderspar-Code'
MAX_SENDS = 20
RETRY_DELAY_SECONDS = 0.5

Sleep = Callable[[float], Awaitable[None]]


class RequestRefused(Exception):
    """The request did not run, and sending it again would not help."""

    def __init__(self, response: httpx.Response) -> None:
        super().__init__(response.headers.get(CODE_HEADER, ''))
        self.response = response


class OutcomeUnknown(Exception):
    """Whether the request ran can't be found out; ask a person."""


class AnswerLost(Exception):
    """The request ran once; its answer can't be had any more."""


class TicketClient:
    """Sends requests that must not run twice.

    Parameters
    ----------
    client : httpx.AsyncClient
        Has the base URL of the balancer and the key in its headers.
    sleep : callable
        Waits that many seconds.

    Examples
    --------
    ::

        orders = TicketClient(httpx.AsyncClient(base_url=..., headers=...))
        response = await orders.send('POST', '/orders', b'{"copies": 300}')
    """

    def __init__(
        self, client: httpx.AsyncClient, sleep: Sleep = asyncio.sleep
    ) -> None:
        self._client = client
        self._sleep = sleep

    async def send(
        self, method: str, path: str, content: bytes
    ) -> httpx.Response:
        """Return the one answer of the request.

        Raises
        ------
        RequestRefused
            It did not run.
        AnswerLost
            It ran; the answer is gone.
        OutcomeUnknown
            It ran once or not at all.
        """
        ticket = ''
        for _send in range(MAX_SENDS):
            ticket = ticket or await self._take(path)
            response = await self._once(method, path, content, ticket)
            if response is None:
                await self._sleep(RETRY_DELAY_SECONDS)
                continue
            if CODE_HEADER not in response.headers:
                return response
            ticket = self._next_ticket(response, ticket)
            await self._sleep(float(response.headers['Retry-After']))
        raise OutcomeUnknown(path)

    async def _once(
        self, method: str, path: str, content: bytes, ticket: str
    ) -> httpx.Response | None:
        """Return a response of the system; None for any other or none."""
        try:
            response = await self._client.request(
                method, path, content=content, headers={TICKET_HEADER: ticket}
            )
        except httpx.TransportError:
            return None
        # A balancer's own error page says nothing about the request.
        return response if RAN_HEADER in response.headers else None

    def _next_ticket(self, response: httpx.Response, ticket: str) -> str:
        """Return the ticket for the next send; empty to take a new one."""
        ran = response.headers[RAN_HEADER]
        again = 'Retry-After' in response.headers
        if ran == 'yes':
            raise AnswerLost(response.headers[CODE_HEADER])
        if ran == 'unknown':
            if not again:
                raise OutcomeUnknown(response.headers[CODE_HEADER])
            return ticket
        if not again:
            raise RequestRefused(response)
        # "Not run" used the old ticket up, so a new one is safe.
        return response.headers.get(TICKET_HEADER, '')

    async def _take(self, path: str) -> str:
        for _send in range(MAX_SENDS):
            try:
                response = await self._client.post(
                    TICKETS_PATH, json={'path': path}
                )
            except httpx.TransportError:
                await self._sleep(RETRY_DELAY_SECONDS)
                continue
            if response.status_code in (200, 201):
                return str(response.json()['ticket'])
            if response.status_code != 503:
                raise RequestRefused(response)
            await self._sleep(RETRY_DELAY_SECONDS)
        raise RequestRefused(response)
