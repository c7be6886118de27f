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
from corianderspar.router import store_view
from corianderspar.router import rate_limiter
from corianderspar.router import telemetry
from corianderspar.router import work as works

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

    def refusal(
        self, request_id: str, problem: problems.Problem
    ) -> tuple[http_io.Headers, bytes]:
        """Return headers and body that tell of a problem."""
        ...


class Front:
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
            work = await self._admit(exchange, request, arrived)
        except works.Refused as refused:
            await self._refuse(exchange, request.request_id, refused.problem)
            return
        await self._serve(work)

    async def _admit(
        self,
        exchange: http_io.Exchange,
        request: model.CallerRequest,
        arrived: float,
    ) -> works.Work:
        """Return a request that may be served.

        Raises
        ------
        Refused
            If it may not.
        """
        limits = (
            self._store_view.configuration.limits
            if self._store_view.configuration
            else model.CallerLimits()
        )
        body = await exchange.body(limits.body_bytes, BODY_SECONDS)
        if body.is_error():
            raise works.Refused(body.error)
        request = request._replace(body=body.ok)
        matched = self._match(request)
        work = works.Work(exchange, request, matched, arrived)
        await self._charge(work)
        return work

    def _match(self, request: model.CallerRequest) -> works.Matched:
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
        return works.Matched(config.version, route, service, account)

    def _draw(self, route: model.Route) -> str:
        weights = route.weights_by_service
        if len(weights) == 1:
            return next(iter(weights))
        names = list(weights)
        return self._app.rng.choices(names, list(weights.values()))[0]

    async def _charge(self, work: works.Work) -> None:
        account = work.matched.account
        if account is None:
            return
        tokens = work.tokens
        grant = await self._allowance.charge(
            account, tokens, work.has_returned
        )
        if not grant.granted:
            raise works.Refused(
                problems.Problem(
                    'over_rate',
                    429,
                    'no',
                    f'account {account.name!r} asks {tokens} tokens '
                    f'and has {grant.level:.0f}',
                    grant.retry_after,
                )
            )

    async def _serve(self, work: works.Work) -> None:
        now = self._app.clock.monotonic()
        calls = (
            self._engines.answer(work)
            if work.matched.service.engine
            else self._plain.answer(work)
        )
        doing = asyncio.create_task(calls)
        leaving = asyncio.create_task(work.exchange.gone())
        try:
            await asyncio.wait(
                (doing, leaving),
                timeout=max(work.remaining(now) - LAST_WORD_SECONDS, 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            is_late = not doing.done() and not leaving.done()
            if not doing.done():
                doing.cancel()
                await asyncio.wait((doing,))
            await self._conclude(work, doing, is_late)
        finally:
            leaving.cancel()
            doing.cancel()

    async def _conclude(
        self, work: works.Work, doing: asyncio.Task[None], is_late: bool
    ) -> None:
        problem: problems.Problem | None = None
        if doing.cancelled():
            if not is_late:
                self._log(work, 'caller left')
                return
            problem = _timed_out(work)
        else:
            error = doing.exception()
            if isinstance(error, works.Refused):
                problem = error.problem
            elif isinstance(error, http_io.CallerGone):
                self._log(work, 'caller left')
                return
            elif error is not None:
                self._app.events.add(
                    'request.fault',
                    request=work.request.request_id,
                    error=repr(error),
                )
                problem = work.refused('internal', 'internal fault').problem
        if problem is None:
            self._log(work, 'answered')
            return
        self._refund(work, problem)
        if work.exchange.status:
            # The answer had begun; without its end it looks broken.
            self._log(work, f'broken off: {problem.message}')
            return
        self._log(work, problem.code)
        await self._refuse(
            work.exchange, work.request.request_id, problem, work
        )

    def _refund(self, work: works.Work, problem: problems.Problem) -> None:
        account = work.matched.account
        if problem.ran != 'no' or account is None:
            return
        self._allowance.refund(account, work.tokens)

    async def _refuse(
        self,
        exchange: http_io.Exchange,
        request_id: str,
        problem: problems.Problem,
        work: works.Work | None = None,
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
            path='' if work else exchange.raw_path,
        )
        headers, body = self._form.refusal(request_id, problem)
        await exchange.answer(problem.status, headers, body)

    def _log(self, work: works.Work, ending: str) -> None:
        now = self._app.clock.monotonic()
        self._telemetry.count_request(work, now - work.arrived)
        self._app.events.add(
            'request.ended',
            request=work.request.request_id,
            account=work.account,
            route=work.matched.route.name,
            service=work.matched.service.name,
            version=work.matched.version,
            status=work.exchange.status,
            ending=ending,
            stage=work.stage,
            upstream=work.upstream,
            ran_on=work.ran_on,
            seconds=f'{now - work.arrived:.3f}',
        )


def _refused(code: str, status: int, message: str) -> works.Refused:
    wait = COME_BACK_SECONDS if status == 503 else None
    return works.Refused(problems.Problem(code, status, 'no', message, wait))


def _timed_out(work: works.Work) -> problems.Problem:
    if work.ran_on:
        return problems.Problem(
            'timeout', 504, 'unknown', f'no answer in time: {work.stage}'
        )
    return problems.Problem(
        'timeout',
        503,
        'no',
        f'no room in time: {work.stage}',
        works.NO_WAIT,
    )
