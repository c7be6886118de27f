"""Requests to plain services, and a single attempt at one upstream."""

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
FAILURE_STATUSES = frozenset((502, 503, 504))  # of a failed attempt
# The expiry of a shorter timeout does not count as a failure of the upstream,
# since the caller left it too little time.
MIN_COUNTED_TIMEOUT_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0

# HTTP statuses for callers, by code of `plain_client.PlainError`.
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
        Identifier assigned by the edge.
    account : str
        The client account; empty on open routes.
    route, pool : str
        Name of the route, and the pool that serves it.
    method, path, query : str
        As the caller sent them.
    headers : tuple of (str, str)
        In order, without credentials.
    body : bytes
        Complete body.
    timeout : float
        Seconds until the caller's deadline.
    repeatable : bool
        Whether the request is idempotent; set in the catalogue's route.
    ticket, idempotency_key : str
        As the caller sent them; empty for none.
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
    """Sends a request to one upstream and records the result.

    Parameters
    ----------
    app : kernel.Application
        Gives time, events and the incarnation.
    selector : selection.UpstreamSelector
        Records the start, end and result of each attempt.

    Attributes
    ----------
    attempt_count : int
        Attempts so far; numbers their request ids.
    on_leaving : callable
        Called when an upstream was found to be leaving.
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
        self, request: PlainRequest, upstream: str, deadline: float
    ) -> AttemptResult:
        """Send a request to one upstream, once.

        Parameters
        ----------
        request : PlainRequest
            What to send.
        upstream : str
            Name of the upstream.
        deadline : float
            Seconds on the monotonic clock.

        Returns
        -------
        Result
            The reply or an error. An exception of the client counts as a
            broken connection after the request was sent.
        """
        self.attempt_count += 1
        request_id = f'{self._app.incarnation}#p{self.attempt_count}'
        client = self.selector.client(upstream)
        if client is None:
            return Error(plain_client.PlainError('unreachable', False))
        self.selector.begin(upstream)
        try:
            # Nothing yields to the event loop between this check and the
            # client's first step, so no other task can use up the time.
            timeout = self.remaining(deadline)
            if timeout <= 0:
                return Error(plain_client.PlainError('timeout', False))
            call = _make_call(request, request_id, timeout)
            result = await self._send(client, call)
        finally:
            self.selector.end(upstream)
        result = _check_request_id(result, request_id)
        self._record(request, upstream, result, timeout)
        return result

    async def _send(
        self, client: plain_client.PlainClient, call: plain_client.PlainCall
    ) -> AttemptResult:
        try:
            async with asyncio.timeout(call.timeout):
                return await client.send(call)
        except TimeoutError:
            return Error(plain_client.PlainError('timeout', True))
        except Exception:  # noqa: BLE001
            return Error(plain_client.PlainError('died', True))

    def _record(
        self,
        request: PlainRequest,
        upstream: str,
        result: AttemptResult,
        timeout: float,
    ) -> None:
        if result.is_ok():
            failed = result.ok.status in FAILURE_STATUSES
            self.selector.outlier_detector.record(upstream, not failed)
            return
        error = result.error
        self._app.events.add(
            'upstream.failed',
            request=request.request_id,
            upstream=upstream,
            code=error.code,
        )
        if error.code == 'leaving':
            if self.selector.mark_leaving(upstream):
                self.on_leaving()
            return
        too_short = (
            error.code == 'timeout' and timeout < MIN_COUNTED_TIMEOUT_SECONDS
        )
        if error.code not in ('invalid', 'too_large') and not too_short:
            self.selector.outlier_detector.record(upstream, False)


def attempt_problem(
    error: plain_client.PlainError,
    ran: problems.Ran,
    retry_after: float | None,
) -> problems.Problem:
    """Return the problem to report to the caller of a failed attempt."""
    return problems.Problem(
        f'upstream_{error.code}',
        STATUSES_BY_CODE.get(error.code, 502),
        ran,
        f'the upstream gave no reply ({error.code})',
        retry_after,
    )


def no_upstream_problem(ran: problems.Ran) -> problems.Problem:
    """Return the problem to report if no upstream can take a request."""
    return problems.Problem(
        'no_upstream',
        503,
        ran,
        'no upstream of the pool takes work now',
        RETRY_AFTER_SECONDS,
    )


def _make_call(
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


def _check_request_id(result: AttemptResult, request_id: str) -> AttemptResult:
    """Return the reply, or an error if it has another request's id."""
    if result.is_error():
        return result
    for name, value in result.ok.headers:
        if name.lower() == REQUEST_ID_HEADER and value != request_id:
            return Error(plain_client.PlainError('died', True))
    return result
