"""The edge: admits callers' requests, and answers each of them.

A request is read, matched with a route and an account, charged to the
account, and passed on to an upstream. If that gives no answer before the
deadline, the caller gets an error answer that says whether the request ran.
"""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import Protocol

from expression import Result

from corianderspar import digests
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import problems
from corianderspar.router import engine_calls
from corianderspar.router import model
from corianderspar.router import plain_calls
from corianderspar.router import rate_limiter
from corianderspar.router import request_context
from corianderspar.router import store_view
from corianderspar.router import stream_origins
from corianderspar.router import telemetry

ERROR_MARGIN_SECONDS = 0.05  # before the deadline, to send an error answer
BODY_TIMEOUT_SECONDS = 10.0  # for a whole body to arrive
WRITE_TIMEOUT_SECONDS = 30.0  # for one write; no request lasts longer
# After SIGTERM; a request that is complete later may not be answered before
# the process has to end.
LAST_REQUEST_SECONDS = 3.0
STOPPING_RETRY_SECONDS = 0.1  # another daemon serves it
NOT_READY_RETRY_SECONDS = 1.0  # while the configuration is not verified
# A denial waits for that long for a state that is new enough.
CONFIRM_SECONDS = 0.2
MAX_RUNNING = 8192  # requests, unless the daemon sets another number
DENIALS = (401, 404)  # final words: callers do not try again after them
STALENESS_MARGIN_SECONDS = 0.3  # for a clock that runs a little slow


class CallerFormat(Protocol):
    """The protocol of callers: request heads and error answers."""

    def read_head(
        self, exchange: http_io.Exchange
    ) -> Result[model.CallerRequest, problems.Problem]:
        """Parse a request's head; the body is still empty."""
        ...

    def error_answer(
        self, request_id: str, problem: problems.Problem
    ) -> tuple[http_io.Headers, bytes]:
        """Return the headers and body of an error answer."""
        ...


class Edge:
    """The service ``front``, an ASGI application.

    Parameters
    ----------
    caller_format : CallerFormat
        Parses request heads and formats error answers.
    max_staleness_seconds : float
        Staleness of the configuration at which keys are no longer accepted.
    max_change_seconds : float
        Time after which a change of the configuration has to be in force. No
        request is denied for good by a state that is older.

    Attributes
    ----------
    stopping : bool
        Whether the daemon is shutting down; answers then close their
        connections.
    running : int
        Requests in flight.
    on_idle : list of callable
        Hooks that are called when the last request in flight ends.
    max_running : int
        Requests in flight beyond which others are refused.
    """

    name = 'front'
    requires: tuple[str, ...] = (
        'allowance',
        'beliefs',
        'engine_calls',
        'plain_calls',
        'stream_origins',
        'telemetry',
    )

    def __init__(
        self,
        caller_format: CallerFormat,
        max_staleness_seconds: float,
        max_change_seconds: float,
    ) -> None:
        self.stopping = False
        self.running = 0
        self.on_idle: list[Callable[[], None]] = []
        self.max_running = MAX_RUNNING
        self._stopping_since = 0.0
        self._admissions: set[asyncio.Timeout] = set()
        self._contexts_by_task: dict[
            asyncio.Task[None], request_context.RequestContext
        ] = {}
        self._caller_format = caller_format
        self._max_staleness_seconds = (
            max_staleness_seconds - STALENESS_MARGIN_SECONDS
        )
        self._max_denial_staleness = (
            max_change_seconds - STALENESS_MARGIN_SECONDS
        )

    async def start(self, app: kernel.Application) -> None:
        """Look up the services that it uses."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._engine_calls = app.find('engine_calls', engine_calls.EngineCalls)
        self._plain_calls = app.find('plain_calls', plain_calls.PlainCalls)
        self._telemetry = app.find('telemetry', telemetry.Telemetry)
        self._rate_limiter = app.find('allowance', rate_limiter.RateLimiter)
        self._origins = app.find(
            'stream_origins', stream_origins.StreamOrigins
        )

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def begin_shutdown(self) -> None:
        """Close each connection after its answer; refuse late requests."""
        self.stopping = True
        self._stopping_since = self._app.clock.monotonic()

    def answer_now(self) -> None:
        """Give all requests their final answers.

        An answer that has begun is broken off, and a request whose body has
        not arrived is refused.
        """
        now = asyncio.get_running_loop().time()
        for admission in self._admissions:
            admission.reschedule(now)
        for task, context in self._contexts_by_task.items():
            context.is_stopped = True
            task.cancel()

    @property
    def is_ready(self) -> bool:
        """Whether a load balancer should send callers here."""
        return (
            not self.stopping
            and not self._app.is_impaired
            and not self._store_view.is_impaired
            and self._store_view.configuration is not None
            and self._store_view.staleness() < self._max_staleness_seconds
        )

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: http_io.Receive,
        send: http_io.Send,
    ) -> None:
        """Answer a caller's request."""
        exchange = http_io.Exchange(
            scope, receive, send, WRITE_TIMEOUT_SECONDS
        )
        exchange.close_connection = self.stopping
        self.running += 1
        try:
            await self._answer(exchange)
        except http_io.CallerDisconnected:
            pass
        finally:
            self.running -= 1
            if not self.running:
                for hook in self.on_idle:
                    hook()

    async def _answer(self, exchange: http_io.Exchange) -> None:
        arrived = self._app.clock.monotonic()
        head = self._caller_format.read_head(exchange)
        if head.is_error():
            await self._send_error(exchange, '', head.error)
            return
        request = head.ok
        try:
            if self.running > self.max_running:
                raise _request_error(
                    'overloaded', 503, 'too many requests in flight'
                )
            context = await self._admit_in_time(exchange, request, arrived)
        except request_context.RequestError as error:
            await self._send_error(exchange, request.request_id, error.problem)
            return
        await self._serve(context)

    async def _admit_in_time(
        self,
        exchange: http_io.Exchange,
        request: model.CallerRequest,
        arrived: float,
    ) -> request_context.RequestContext:
        """Admit a request unless the daemon ends meanwhile."""
        admission = asyncio.timeout(None)
        self._admissions.add(admission)
        try:
            async with admission:
                return await self._admit(exchange, request, arrived)
        except TimeoutError:
            if not admission.expired():
                raise
            raise _stopping_error() from None
        finally:
            self._admissions.discard(admission)

    async def _admit(
        self,
        exchange: http_io.Exchange,
        request: model.CallerRequest,
        arrived: float,
    ) -> request_context.RequestContext:
        """Read the body, match the request with a route and charge it.

        Raises
        ------
        RequestError
            If the body is too large or too slow, no route or account
            matches, a stream that it takes up can't go on, or the account is
            over its rate.
        """
        body = await exchange.read_body(
            self._store_view.limits.body_bytes, BODY_TIMEOUT_SECONDS
        )
        if body.is_error():
            raise request_context.RequestError(body.error)
        now = self._app.clock.monotonic()
        if (
            self.stopping
            and now >= self._stopping_since + LAST_REQUEST_SECONDS
        ):
            raise _stopping_error()
        request = request._replace(body=body.ok)
        matched = await self._match_or_confirm(request)
        context = request_context.RequestContext(
            exchange, request, matched, arrived
        )
        if request.after_event is not None and matched.route.streaming:
            await self._bind(context)
        await self._charge(context)
        return context

    async def _bind(self, context: request_context.RequestContext) -> None:
        """Bind a request to what began the stream that it takes up.

        Raises
        ------
        RequestError
            If nobody knows it, or the route does not allow its service now.
        """
        lookup = await self._origins.find(context)
        origin = lookup.origin
        if origin is None:
            retry_after = None
            if lookup.may_others_know:
                retry_after = request_context.DEFAULT_RETRY_SECONDS
            raise request_context.RequestError(
                problems.Problem(
                    'stream_unknown',
                    503,
                    'no',
                    'no daemon knows which version began the stream',
                    retry_after,
                )
            )
        matched = context.matched
        weights = matched.route.weights_by_service
        services_by_name = self._require_configuration().services_by_name
        if (
            weights.get(origin.service, 0.0) <= 0.0
            or origin.service not in services_by_name
        ):
            raise request_context.RequestError(
                problems.Problem(
                    'stream_moved',
                    503,
                    'no',
                    f'route {matched.route.name!r} has no service '
                    f'{origin.service!r}, which began the stream',
                )
            )
        service = services_by_name[origin.service]
        context.matched = matched._replace(service=service)
        context.origin = origin

    def _require_configuration(self) -> model.Configuration:
        config = self._store_view.configuration
        if config is None:
            raise _request_error('starting', 503, 'no configuration yet')
        return config

    async def _match_or_confirm(
        self, request: model.CallerRequest
    ) -> request_context.RouteMatch:
        """Match a request; deny it only by a state that is new enough.

        Raises
        ------
        RequestError
            If no route or account matches, or that can't be told.
        """
        try:
            return self._match(request)
        except request_context.RequestError as error:
            problem = error.problem
            if problem.status not in DENIALS:
                raise
        # The state may have changed when this returns.
        if await self._store_view.renew(
            self._max_denial_staleness, CONFIRM_SECONDS
        ):
            return self._match(request)
        staleness = self._store_view.staleness()
        message = f'{problem.message}, as of {staleness:.1f} s ago'
        if problem.status == 404:
            raise _request_error('routes_unproved', 503, message)
        raise _request_error('keys_unproved', 503, message)

    def _match(
        self, request: model.CallerRequest
    ) -> request_context.RouteMatch:
        config = self._require_configuration()
        route = config.route(request.host, request.path)
        if route is None:
            raise _request_error('no_route', 404, 'no route for this path')
        account: model.Account | None = None
        if not route.public:
            staleness = self._store_view.staleness()
            if staleness >= self._max_staleness_seconds:
                raise _request_error(
                    'keys_unproved',
                    503,
                    f'keys were last checked {staleness:.1f} s ago',
                )
            account = config.accounts_by_digest.get(
                digests.digest_of(request.key)
            )
            if account is None:
                raise _request_error(
                    'key_unknown', 401, f'unknown key, {config.version}'
                )
        service = config.services_by_name[self._choose_service(route)]
        return request_context.RouteMatch(
            config.version, route, service, account
        )

    def _choose_service(self, route: model.Route) -> str:
        weights = route.weights_by_service
        if len(weights) == 1:
            return next(iter(weights))
        names = list(weights)
        return self._app.rng.choices(names, list(weights.values()))[0]

    async def _charge(self, context: request_context.RequestContext) -> None:
        account = context.matched.account
        if account is None:
            return
        tokens = context.tokens
        charge = await self._rate_limiter.charge(account, tokens)
        if not charge.granted:
            raise request_context.RequestError(
                problems.Problem(
                    'over_rate',
                    429,
                    'no',
                    f'account {account.name!r} asks {tokens} tokens '
                    f'and has {charge.level:.0f}',
                    context.return_after(
                        charge.retry_after, self._app.clock.monotonic()
                    ),
                )
            )

    async def _serve(self, context: request_context.RequestContext) -> None:
        now = self._app.clock.monotonic()
        answer = (
            self._engine_calls.answer(context)
            if context.matched.service.engine
            else self._plain_calls.answer(context)
        )
        answering = asyncio.create_task(answer)
        self._contexts_by_task[answering] = context
        disconnect = asyncio.create_task(context.exchange.wait_disconnected())
        try:
            await asyncio.wait(
                (answering, disconnect),
                timeout=max(
                    context.remaining(now) - ERROR_MARGIN_SECONDS, 0.0
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
            is_timed_out = not answering.done() and not disconnect.done()
            if not answering.done():
                answering.cancel()
                await asyncio.wait((answering,))
            await self._conclude(context, answering, is_timed_out)
        finally:
            del self._contexts_by_task[answering]
            disconnect.cancel()
            answering.cancel()

    async def _conclude(
        self,
        context: request_context.RequestContext,
        answering: asyncio.Task[None],
        is_timed_out: bool,
    ) -> None:
        problem: problems.Problem | None = None
        if answering.cancelled():
            if context.is_stopped:
                problem = context.error(
                    'stopping', 'the daemon shuts down', STOPPING_RETRY_SECONDS
                ).problem
            elif is_timed_out:
                problem = _timeout_problem(context)
            else:
                self._record_end(context, 'caller left')
                return
        else:
            error = answering.exception()
            if isinstance(error, request_context.RequestError):
                problem = error.problem
            elif isinstance(error, http_io.CallerDisconnected):
                self._record_end(context, 'caller left')
                return
            elif error is not None:
                self._app.events.add(
                    'request.fault',
                    request=context.request.request_id,
                    error=repr(error),
                )
                problem = context.error('internal', 'internal fault').problem
        if problem is None:
            self._record_end(context, 'answered')
            return
        self._refund(context, problem)
        if context.exchange.status:
            # The answer had begun: without its end, it is seen as truncated.
            self._record_end(context, f'broken off: {problem.message}')
            return
        self._record_end(context, problem.code)
        await self._send_error(
            context.exchange, context.request.request_id, problem, context
        )

    def _refund(
        self,
        context: request_context.RequestContext,
        problem: problems.Problem,
    ) -> None:
        account = context.matched.account
        if problem.ran != 'no' or account is None:
            return
        self._rate_limiter.refund(account, context.tokens)

    async def _send_error(
        self,
        exchange: http_io.Exchange,
        request_id: str,
        problem: problems.Problem,
        context: request_context.RequestContext | None = None,
    ) -> None:
        self._telemetry.count_refusal(problem)
        self._app.events.add(
            'request.refused',
            request=request_id,
            code=problem.code,
            status=problem.status,
            ran=problem.ran,
            come_back=problem.retry_after,
            message=problem.message,
            store_age=f'{self._store_view.staleness():.2f}',
            path='' if context else exchange.raw_path,
            **self._store_view.describe_doubt(),
        )
        headers, body = self._caller_format.error_answer(request_id, problem)
        await exchange.answer(problem.status, headers, body)

    def _record_end(
        self, context: request_context.RequestContext, outcome: str
    ) -> None:
        now = self._app.clock.monotonic()
        self._telemetry.count_request(context, now - context.arrived)
        self._app.events.add(
            'request.ended',
            request=context.request.request_id,
            account=context.account,
            route=context.matched.route.name,
            service=context.matched.service.name,
            version=context.matched.version,
            status=context.exchange.status,
            ending=outcome,
            stage=context.stage,
            upstream=context.upstream,
            ran_on=context.run_count,
            seconds=f'{now - context.arrived:.3f}',
        )


def _request_error(
    code: str, status: int, message: str
) -> request_context.RequestError:
    retry_after = NOT_READY_RETRY_SECONDS if status == 503 else None
    return request_context.RequestError(
        problems.Problem(code, status, 'no', message, retry_after)
    )


def _stopping_error() -> request_context.RequestError:
    return request_context.RequestError(
        problems.Problem(
            'stopping',
            503,
            'no',
            'the daemon shuts down',
            STOPPING_RETRY_SECONDS,
        )
    )


def _timeout_problem(
    context: request_context.RequestContext,
) -> problems.Problem:
    if context.run_count:
        return problems.Problem(
            'timeout', 504, 'unknown', f'no answer in time: {context.stage}'
        )
    return problems.Problem(
        'timeout',
        503,
        'no',
        f'no room in time: {context.stage}',
        request_context.DEFAULT_RETRY_SECONDS,
    )
