"""The callers' side: a request is checked, matched, charged and answered."""

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
from corianderspar.router import telemetry

LAST_WORD_SECONDS = 0.05  # before its time is over, a caller is answered
BODY_SECONDS = 10.0  # for a whole body to arrive
WRITE_SECONDS = 30.0  # no request lasts longer
COME_BACK_SECONDS = 1.0  # to a daemon that has no proof of its beliefs
PROOF_MARGIN_SECONDS = 0.3  # for a clock that runs a little slow


class CallerFormat(Protocol):
    """How callers speak: their heads, and answers of our own."""

    def read_head(
        self, exchange: http_io.Exchange
    ) -> Result[model.CallerRequest, problems.Problem]:
        """Read a request's head."""
        ...

    def error_answer(
        self, request_id: str, problem: problems.Problem
    ) -> tuple[http_io.Headers, bytes]:
        """Return headers and body that tell of a problem."""
        ...


class Edge:
    """The service ``front``, an ASGI application.

    Parameters
    ----------
    form : CallerFormat
        How callers speak.
    proof_seconds : float
        Oldest proof that a key is still valid.

    Attributes
    ----------
    stopping : bool
        Whether the daemon was told to end.
    """

    name = 'front'
    requires: tuple[str, ...] = (
        'allowance',
        'beliefs',
        'engine_calls',
        'plain_calls',
        'telemetry',
    )

    def __init__(self, form: CallerFormat, proof_seconds: float) -> None:
        self.stopping = False
        self.running = 0
        self.on_idle: list[Callable[[], None]] = []
        self._form = form
        self._proof_seconds = proof_seconds - PROOF_MARGIN_SECONDS

    async def start(self, app: kernel.Application) -> None:
        """Find the parts it uses."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._engines = app.find('engine_calls', engine_calls.EngineCalls)
        self._plain = app.find('plain_calls', plain_calls.PlainCalls)
        self._telemetry = app.find('telemetry', telemetry.Telemetry)
        self._allowance = app.find('allowance', rate_limiter.RateLimiter)

    async def stop(self) -> None:
        """Nothing to hand on."""

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            not self.stopping
            and self._store_view.configuration is not None
            and self._store_view.staleness() < self._proof_seconds
        )

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: http_io.Receive,
        send: http_io.Send,
    ) -> None:
        """Answer a request of a caller."""
        exchange = http_io.Exchange(scope, receive, send, WRITE_SECONDS)
        exchange.closing = self.stopping
        self.running += 1
        try:
            await self._answer(exchange)
        except http_io.CallerGone:
            pass
        finally:
            self.running -= 1
            if not self.running:
                for hook in self.on_idle:
                    hook()

    async def _answer(self, exchange: http_io.Exchange) -> None:
        arrived = self._app.clock.monotonic()
        head = self._form.read_head(exchange)
        if head.is_error():
            await self._refuse(exchange, '', head.error)
            return
        request = head.ok
        try:
            context = await self._admit(exchange, request, arrived)
        except request_context.RequestError as refused:
            await self._refuse(exchange, request.request_id, refused.problem)
            return
        await self._serve(context)

    async def _admit(
        self,
        exchange: http_io.Exchange,
        request: model.CallerRequest,
        arrived: float,
    ) -> request_context.RequestContext:
        """Return a request that may be served.

        Raises
        ------
        RequestError
            If it may not.
        """
        limits = (
            self._store_view.configuration.limits
            if self._store_view.configuration
            else model.CallerLimits()
        )
        body = await exchange.body(limits.body_bytes, BODY_SECONDS)
        if body.is_error():
            raise request_context.RequestError(body.error)
        request = request._replace(body=body.ok)
        matched = self._match(request)
        context = request_context.RequestContext(
            exchange, request, matched, arrived
        )
        await self._charge(context)
        return context

    def _match(
        self, request: model.CallerRequest
    ) -> request_context.RouteMatch:
        config = self._store_view.configuration
        if config is None:
            raise _refused('starting', 503, 'no configuration yet')
        route = config.route(request.host, request.path)
        if route is None:
            raise _refused('no_route', 404, 'no route for this path')
        account: model.Account | None = None
        if not route.public:
            age = self._store_view.staleness()
            if age >= self._proof_seconds:
                raise _refused(
                    'keys_unproved',
                    503,
                    f'keys were last checked {age:.1f} s ago',
                )
            account = config.accounts_by_digest.get(
                digests.digest_of(request.key)
            )
            if account is None:
                raise _refused(
                    'key_unknown', 401, f'unknown key, {config.version}'
                )
        service = config.services_by_name[self._draw(route)]
        return request_context.RouteMatch(
            config.version, route, service, account
        )

    def _draw(self, route: model.Route) -> str:
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
        grant = await self._allowance.charge(
            account, tokens, context.has_returned
        )
        if not grant.granted:
            raise request_context.RequestError(
                problems.Problem(
                    'over_rate',
                    429,
                    'no',
                    f'account {account.name!r} asks {tokens} tokens '
                    f'and has {grant.level:.0f}',
                    grant.retry_after,
                )
            )

    async def _serve(self, context: request_context.RequestContext) -> None:
        now = self._app.clock.monotonic()
        calls = (
            self._engines.answer(context)
            if context.matched.service.engine
            else self._plain.answer(context)
        )
        doing = asyncio.create_task(calls)
        leaving = asyncio.create_task(context.exchange.gone())
        try:
            await asyncio.wait(
                (doing, leaving),
                timeout=max(context.remaining(now) - LAST_WORD_SECONDS, 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            is_late = not doing.done() and not leaving.done()
            if not doing.done():
                doing.cancel()
                await asyncio.wait((doing,))
            await self._conclude(context, doing, is_late)
        finally:
            leaving.cancel()
            doing.cancel()

    async def _conclude(
        self,
        context: request_context.RequestContext,
        doing: asyncio.Task[None],
        is_late: bool,
    ) -> None:
        problem: problems.Problem | None = None
        if doing.cancelled():
            if not is_late:
                self._log(context, 'caller left')
                return
            problem = _timed_out(context)
        else:
            error = doing.exception()
            if isinstance(error, request_context.RequestError):
                problem = error.problem
            elif isinstance(error, http_io.CallerGone):
                self._log(context, 'caller left')
                return
            elif error is not None:
                self._app.events.add(
                    'request.fault',
                    request=context.request.request_id,
                    error=repr(error),
                )
                problem = context.refused('internal', 'internal fault').problem
        if problem is None:
            self._log(context, 'answered')
            return
        self._refund(context, problem)
        if context.exchange.status:
            # The answer had begun; without its end it looks broken.
            self._log(context, f'broken off: {problem.message}')
            return
        self._log(context, problem.code)
        await self._refuse(
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
        self._allowance.refund(account, context.tokens)

    async def _refuse(
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
        )
        headers, body = self._form.error_answer(request_id, problem)
        await exchange.answer(problem.status, headers, body)

    def _log(
        self, context: request_context.RequestContext, ending: str
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
            ending=ending,
            stage=context.stage,
            upstream=context.upstream,
            ran_on=context.ran_on,
            seconds=f'{now - context.arrived:.3f}',
        )


def _refused(
    code: str, status: int, message: str
) -> request_context.RequestError:
    wait = COME_BACK_SECONDS if status == 503 else None
    return request_context.RequestError(
        problems.Problem(code, status, 'no', message, wait)
    )


def _timed_out(context: request_context.RequestContext) -> problems.Problem:
    if context.ran_on:
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
