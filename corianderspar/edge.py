"""The edge: serves callers over HTTP, one task for each request."""

import asyncio
from typing import Any

from corianderspar import account_charges
from corianderspar import catalogue
from corianderspar import completions
from corianderspar import configuration
from corianderspar import digests
from corianderspar import drain
from corianderspar import engine_route
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import keys
from corianderspar import metrics
from corianderspar import overload
from corianderspar import plain_route
from corianderspar import problems
from corianderspar import redaction
from corianderspar import request_context
from corianderspar import routes
from corianderspar import settings

OWN_PREFIX = '/-/'
LIVE_PATH = '/-/live'
READY_PATH = '/-/ready'
TICKETS_PATH = '/-/tickets'
UPLOADS = '(uploads)'
WRITE_LOOKS = 4


class Running:
    """A request's task, and why it was told to end."""

    def __init__(self) -> None:
        self.task: asyncio.Task[Any] | None = None
        self.reason: problems.Problem | None = None

    def end(self, reason: problems.Problem) -> None:
        """Have the task end, with this as the caller's answer."""
        self.reason = reason
        if self.task is not None:
            self.task.cancel()


class Edge:
    """The service ``edge``: an ASGI application for callers.

    Parameters
    ----------
    bounds : LimitSettings
        Bounds on callers' requests.
    """

    name = 'edge'
    requires = (
        'configuration',
        'keys',
        'limits',
        'placement',
        'dispatch',
        'drain',
        'metrics',
    )

    def __init__(self, bounds: settings.LimitSettings) -> None:
        self._bounds = bounds
        self._table: routes.RouteTable | None = None
        self._count = 0
        self._running_by_digest: dict[str, set[Running]] = {}

    async def start(self, app: kernel.Application) -> None:
        """Follow the catalogue and the withdrawal of keys."""
        self._app = app
        self._config = app.find('configuration', configuration.Configuration)
        self._keys = app.find('keys', keys.Authenticator)
        self._drain = app.find('drain', drain.Drain)
        self._metrics = app.find('metrics', metrics.Metrics)
        most = overload.AdmissionLimits(in_flight=self._bounds.requests)
        self._admission = overload.Admission(app.rng, most)
        charging = account_charges.AccountCharges(app)
        self._engine_route = engine_route.EngineRoute(app, charging)
        self._plain_route = plain_route.PlainRoute(app, charging)
        self._config.on_catalogue.append(self._adopt)
        if self._config.catalogue is not None:
            self._adopt(self._config.catalogue, None)
        self._keys.on_revoked.append(self._withdraw)

    async def stop(self) -> None:
        """Nothing to do: the drain has let every request end."""

    @property
    def is_ready(self) -> bool:
        """What the readiness probe answers."""
        return self._config.ready.is_set() and self._drain.ready

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: http_io.Receive,
        send: http_io.Send,
    ) -> None:
        """Serve one exchange."""
        if scope['type'] != 'http':
            return
        exchange = http_io.Exchange(
            scope, receive, send, self._bounds.write_seconds
        )
        # A caller that keeps its connection would never reach another VM.
        exchange.close_connection = not self._drain.ready
        self._count += 1
        request_id = f'{self._app.incarnation}#{self._count}'
        try:
            await self._serve(exchange, request_id)
        except http_io.CallerDisconnected:
            self._app.events.add('caller.gone', request=request_id)
        except Exception as error:  # noqa: BLE001
            await self._crash(exchange, request_id, error)

    async def _crash(
        self, exchange: http_io.Exchange, request_id: str, error: Exception
    ) -> None:
        self._app.events.add(
            'edge.crashed', request=request_id, error=type(error).__name__
        )
        problem = problems.Problem(
            'internal', 500, 'unknown', 'a fault of the daemon'
        )
        self._count_outcome('', problem)
        if exchange.status == 0:
            await exchange.send_error(request_id, problem)

    async def _serve(
        self, exchange: http_io.Exchange, request_id: str
    ) -> None:
        if await self._serve_own(exchange):
            return
        ticket = dict(exchange.headers).get(request_context.TICKET_HEADER, '')
        try:
            context = await self._accept(exchange, request_id)
            permit = request_context.unwrap(
                self._admission.admit(
                    context.account, len(context.request.body)
                )
            )
        except request_context.RequestError as refused:
            problem = problems.for_ticket(refused.problem, ticket)
            self._count_outcome('', problem)
            await exchange.send_error(request_id, problem)
            return
        inflight = self._drain.inflight
        with (
            permit,
            inflight.track(request_id, context.matched.label, context.arrived),
        ):
            self._metrics.inflight.set(len(inflight))
            await self._run(exchange, context)
        self._metrics.inflight.set(len(inflight))

    async def _serve_own(self, exchange: http_io.Exchange) -> bool:
        if exchange.raw_path == LIVE_PATH:
            await exchange.answer(200, (), b'live\n')
            return True
        if exchange.raw_path == READY_PATH:
            if self.is_ready:
                await exchange.answer(200, (), b'ready\n')
            else:
                await exchange.answer(503, (), b'not ready\n')
            return True
        return False

    async def _accept(
        self, exchange: http_io.Exchange, request_id: str
    ) -> request_context.RequestContext:
        arrived = self._app.clock.monotonic()
        path = request_context.unwrap(
            redaction.normalise_path(exchange.raw_path)
        )
        match, path = self._match(path, exchange)
        most_bytes = min(match.entry.limits.max_body, self._bounds.body_bytes)
        size = exchange.expected_body_bytes(most_bytes)
        # Bodies on their way in count as those of one account, so that
        # slow senders can't fill the daemon.
        with request_context.unwrap(self._admission.admit(UPLOADS, size)):
            body = request_context.unwrap(
                await exchange.read_body(most_bytes, self._bounds.body_seconds)
            )
        request = request_context.unwrap(
            redaction.redact(exchange.headers, path, exchange.query, body)
        )
        account, digest = self._authenticate(match, request)
        clean = request._replace(key=None)
        return request_context.RequestContext(
            request_id, match, account, digest, path, clean, arrived
        )

    def _match(
        self, path: str, exchange: http_io.Exchange
    ) -> tuple[routes.RouteMatch, str]:
        if self._table is None or not self._config.ready.is_set():
            raise request_context.RequestError(
                problems.Problem(
                    'no_catalogue', 503, 'no', 'no catalogue yet', 1.0
                )
            )
        if path.startswith(TICKETS_PATH + '/') and exchange.method == 'POST':
            match = self._table.find(path[len(TICKETS_PATH) :])
        else:
            match = self._table.find(path)
        if match is None:
            raise request_context.RequestError(
                problems.Problem('no_route', 404, 'no', 'no such route')
            )
        return match, path

    def _authenticate(
        self, match: routes.RouteMatch, request: redaction.RedactedRequest
    ) -> tuple[str, str]:
        found = self._keys.authenticate(request.key)
        if match.route.open and found.is_error():
            # Open to all, so also to a caller whose key is not valid.
            return '', ''
        account = request_context.unwrap(found)
        return account, digests.digest_of(request.key or '')

    async def _run(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        running = Running()
        running.task = asyncio.create_task(self._work(exchange, context))
        leaving = asyncio.create_task(exchange.wait_disconnected())
        owned = self._running_by_digest.setdefault(context.key_digest, set())
        owned.add(running)
        try:
            await self._watch(exchange, running.task, leaving)
            if not running.task.done():
                running.task.cancel()
            await self._conclude(exchange, context, running)
        finally:
            leaving.cancel()
            running.task.cancel()
            owned.discard(running)
            if not owned:
                self._running_by_digest.pop(context.key_digest, None)

    async def _watch(
        self,
        exchange: http_io.Exchange,
        task: asyncio.Task[Any],
        leaving: asyncio.Task[None],
    ) -> None:
        """Return when the work is done, or its caller has gone."""
        look = exchange.write_timeout / WRITE_LOOKS
        while not exchange.is_write_stalled():
            done, _ = await asyncio.wait(
                (task, leaving),
                timeout=look,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return

    async def _conclude(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
        running: Running,
    ) -> None:
        assert running.task is not None
        try:
            await running.task
        except request_context.RequestError as refused:
            self._count_outcome(context.matched.label, refused.problem)
            await self._fail(exchange, context, refused.problem)
        except asyncio.CancelledError:
            if running.reason is None:
                raise http_io.CallerDisconnected from None
            await self._fail(exchange, context, running.reason)

    async def _fail(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
        problem: problems.Problem,
    ) -> None:
        self._app.events.add(
            'request.failed',
            request=context.request_id,
            account=context.account,
            code=problem.code,
            ran=problem.ran,
        )
        if exchange.status == 0:
            await exchange.send_error(context.request_id, problem)
            return
        event = completions.error_event(context.request_id, problem)
        async with exchange.limit_write_time():
            await exchange.write(event, more=False)

    async def _work(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        self._app.events.add(
            'request.accepted',
            request=context.request_id,
            account=context.account,
            route=context.matched.label,
        )
        if context.path.startswith(TICKETS_PATH):
            await self._plain_route.issue_ticket(exchange, context)
        elif context.matched.route.kind == 'engine':
            await self._engine_route.answer(exchange, context)
        else:
            await self._plain_route.answer(exchange, context)
        self._app.events.add(
            'request.answered',
            request=context.request_id,
            account=context.account,
            status=exchange.status,
        )

    def _adopt(
        self, found: catalogue.Catalogue, _before: catalogue.Catalogue | None
    ) -> None:
        self._table = routes.RouteTable(found)
        self._metrics.catalogue_version.set(found.version)

    def _withdraw(self, _account: str, digest: str) -> None:
        for running in list(self._running_by_digest.get(digest, ())):
            running.end(
                problems.Problem(
                    'key_withdrawn', 401, 'unknown', 'the key was withdrawn'
                )
            )

    def _count_outcome(self, label: str, problem: problems.Problem) -> None:
        self._metrics.requests.labels(label, problem.code, problem.ran).inc()
