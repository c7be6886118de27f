"""Client for at-most-once requests: resends until the outcome is known."""

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
    """The request did not run, and a retry would not help."""

    def __init__(self, response: httpx.Response) -> None:
        super().__init__(response.headers.get(CODE_HEADER, ''))
        self.response = response


class OutcomeUnknown(Exception):
    """It can't be determined whether the request ran.

    A person has to find out, for example from the data of the upstream.
    """


class AnswerLost(Exception):
    """The request ran once, but its answer is no longer available."""


class TicketClient:
    """Sends requests that must not run twice.

    Parameters
    ----------
    client : httpx.AsyncClient
        Its base URL is that of the load balancer; its headers hold the
        API key.
    sleep : callable
        Coroutine function that waits for a number of seconds.

    Examples
    --------
    ::

        client = TicketClient(httpx.AsyncClient(base_url=..., headers=...))
        response = await client.send('POST', '/orders', b'{"copies": 300}')
    """

    def __init__(
        self, client: httpx.AsyncClient, sleep: Sleep = asyncio.sleep
    ) -> None:
        self._client = client
        self._sleep = sleep

    async def send(
        self, method: str, path: str, content: bytes
    ) -> httpx.Response:
        """Send a request until its answer is known, and return the answer.

        Raises
        ------
        RequestRefused
            The request did not run.
        AnswerLost
            The request ran, but its answer is no longer available.
        OutcomeUnknown
            The request ran once or not at all.
        """
        ticket = ''
        for _attempt in range(MAX_SENDS):
            ticket = ticket or await self._request_ticket(path)
            response = await self._send_once(method, path, content, ticket)
            if response is None:
                await self._sleep(RETRY_DELAY_SECONDS)
                continue
            if CODE_HEADER not in response.headers:
                return response
            ticket = self._next_ticket(response, ticket)
            await self._sleep(float(response.headers['Retry-After']))
        raise OutcomeUnknown(path)

    async def _send_once(
        self, method: str, path: str, content: bytes, ticket: str
    ) -> httpx.Response | None:
        """Return the daemon's response, or None if there was none."""
        try:
            response = await self._client.request(
                method, path, content=content, headers={TICKET_HEADER: ticket}
            )
        except httpx.TransportError:
            return None
        # An error page of the load balancer itself doesn't tell whether the
        # request ran.
        return response if RAN_HEADER in response.headers else None

    def _next_ticket(self, response: httpx.Response, ticket: str) -> str:
        """Return the ticket for the next send; empty to request a new one."""
        ran = response.headers[RAN_HEADER]
        can_retry = 'Retry-After' in response.headers
        if ran == 'yes':
            raise AnswerLost(response.headers[CODE_HEADER])
        if ran == 'unknown':
            if not can_retry:
                raise OutcomeUnknown(response.headers[CODE_HEADER])
            return ticket
        if not can_retry:
            raise RequestRefused(response)
        # The old ticket can't start a request any more, so that a new one
        # can't lead to a second run.
        return response.headers.get(TICKET_HEADER, '')

    async def _request_ticket(self, path: str) -> str:
        for _attempt in range(MAX_SENDS):
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
