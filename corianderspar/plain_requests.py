"""One attempt of a plain request at one upstream."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from expression import Error
from expression import Result

from corianderspar import kernel
from corianderspar import plain_client
from corianderspar import problems
from corianderspar import selection

REQUEST_ID_HEADER = 'x-request-id'
FAILURE_STATUSES = frozenset((502, 503, 504))
SHORT_TIMEOUT_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0

STATUSES_BY_CODE = {
    'unreachable': 502,
    'died': 502,
    'timeout': 504,
    'leaving': 503,
    'invalid': 400,
    'too_large': 502,
}


class PlainRequest(NamedTuple):
    """A caller's request to a pool of plain services.

    Attributes
    ----------
    request_id : str
        The edge's name for it.
    account : str
        The client account; empty on open routes.
    route, pool : str
        Name of the route, and the pool that serves it.
    method, path, query : str
        As the caller sent them.
    headers : tuple of (str, str)
        In order, without any key.
    body : bytes
        Whole.
    timeout : float
        Seconds left of the caller's deadline.
    repeatable : bool
        Whether the request is idempotent.
    ticket, idempotency_key : str
        What the caller sent along; empty for none.
    """

    request_id: str
    account: str
    route: str
    pool: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    repeatable: bool
    ticket: str = ''
    idempotency_key: str = ''


Outcome = Result[plain_client.PlainReply, problems.Problem]
AttemptResult = Result[plain_client.PlainReply, plain_client.PlainError]


class AttemptSender:
    """Makes attempts and keeps the books on each upstream.

    Parameters
    ----------
    app : kernel.Application
        Gives time, events and the incarnation.
    selector : selection.UpstreamSelector
        Told of each start, end and result.
    """

    def __init__(
        self, app: kernel.Application, selector: selection.UpstreamSelector
    ) -> None:
        self.selector = selector
        self.attempt_count = 0
        self.on_leaving: Callable[[], None] = lambda: None
        self._app = app

    def remaining(self, deadline: float) -> float:
        """Return seconds until a deadline on the monotonic clock."""
        return deadline - self._app.clock.monotonic()

    async def attempt(
        self, request: PlainRequest, name: str, deadline: float
    ) -> AttemptResult:
        """Hand a request to one upstream, once.

        Parameters
        ----------
        request : PlainRequest
            What to send.
        name : str
            The upstream.
        deadline : float
            Seconds on the monotonic clock.

        Returns
        -------
        Result
            The reply, or an error; whatever the client raises counts as
            a death after sending.
        """
        self.attempt_count += 1
        request_id = f'{self._app.incarnation}#p{self.attempt_count}'
        client = self.selector.client(name)
        if client is None:
            return Error(plain_client.PlainError('unreachable', False))
        self.selector.begin(name)
        try:
            # No other task runs between this look at the clock and the
            # client's first step.
            timeout = self.remaining(deadline)
            if timeout <= 0:
                return Error(plain_client.PlainError('timeout', False))
            call = _call(request, request_id, timeout)
            result = await self._guarded(client, call)
        finally:
            self.selector.end(name)
        result = _uncrossed(result, request_id)
        self._note(request, name, result, timeout)
        return result

    async def _guarded(
        self, client: plain_client.PlainClient, call: plain_client.PlainCall
    ) -> AttemptResult:
        try:
            async with asyncio.timeout(call.timeout):
                return await client.send(call)
        except TimeoutError:
            return Error(plain_client.PlainError('timeout', True))
        except Exception:  # noqa: BLE001
            return Error(plain_client.PlainError('died', True))

    def _note(
        self,
        request: PlainRequest,
        name: str,
        result: AttemptResult,
        timeout: float,
    ) -> None:
        if result.is_ok():
            failed = result.ok.status in FAILURE_STATUSES
            self.selector.outlier_detector.record(name, not failed)
            return
        error = result.error
        self._app.events.add(
            'upstream.failed',
            request=request.request_id,
            upstream=name,
            code=error.code,
        )
        if error.code == 'leaving':
            if self.selector.mark_leaving(name):
                self.on_leaving()
            return
        impatient = error.code == 'timeout' and timeout < SHORT_TIMEOUT_SECONDS
        if error.code not in ('invalid', 'too_large') and not impatient:
            self.selector.outlier_detector.record(name, False)


def attempt_problem(
    error: plain_client.PlainError,
    ran: problems.Ran,
    retry_after: float | None,
) -> problems.Problem:
    """Return what the caller is told of a failed attempt."""
    return problems.Problem(
        f'upstream_{error.code}',
        STATUSES_BY_CODE.get(error.code, 502),
        ran,
        f'the upstream gave no reply ({error.code})',
        retry_after,
    )


def no_upstream_problem(ran: problems.Ran) -> problems.Problem:
    """Return what the caller is told when a pool has nobody to ask."""
    return problems.Problem(
        'no_upstream',
        503,
        ran,
        'no upstream of the pool takes work now',
        RETRY_AFTER_SECONDS,
    )


def _call(
    request: PlainRequest, request_id: str, timeout: float
) -> plain_client.PlainCall:
    return plain_client.PlainCall(
        request_id,
        request.method,
        request.path,
        request.query,
        request.headers,
        request.body,
        timeout,
    )


def _uncrossed(result: AttemptResult, request_id: str) -> AttemptResult:
    """Return the reply only if it names no other request."""
    if result.is_error():
        return result
    for name, value in result.ok.headers:
        if name.lower() == REQUEST_ID_HEADER and value != request_id:
            return Error(plain_client.PlainError('died', True))
    return result
