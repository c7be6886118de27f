"""The edge: serves callers over HTTP, with one task for each request.

A request is read, matched with a route, authenticated and admitted. Then the
engine route or the plain route answers it, until its caller disconnects or
its API key is revoked.
"""

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

DAEMON_PATH_PREFIX = '/-/'  # of paths that the daemon answers itself
LIVE_PATH = '/-/live'
READY_PATH = '/-/ready'
TICKETS_PATH = '/-/tickets'
UPLOAD_ACCOUNT = '(uploads)'  # admission account of bodies being read
STALL_CHECKS = 4  # per write timeout


class RunningRequest:
    """The task of a request, and the problem for which it was cancelled."""

    def __init__(self) -> None:
        self.task: asyncio.Task[Any] | None = None
        self.problem: problems.Problem | None = None

    def cancel(self, problem: problems.Problem) -> None:
        """Cancel the task, and answer the caller with ``problem``."""
        self.problem = problem
        if self.task is not None:
            self.task.cancel()


class Edge:
    """The service ``edge``, an ASGI application.

    Parameters
    ----------
    limits : LimitSettings
        Limits on callers' requests.
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

    def __init__(self, limits: settings.LimitSettings) -> None:
        self._limits = limits
        self._table: routes.RouteTable | None = None
        self._request_count = 0
        self._running_by_key_digest: dict[str, set[RunningRequest]] = {}

    async def start(self, app: kernel.Application) -> None:
        """Look up the services, and follow catalogues and revoked keys."""
        self._app = app
        self._config = app.find('configuration', configuration.Configuration)
        self._keys = app.find('keys', keys.Authenticator)
        self._drain = app.find('drain', drain.Drain)
        self._metrics = app.find('metrics', metrics.Metrics)
        admission_limits = overload.AdmissionLimits(
            in_flight=self._limits.requests
        )
        self._admission = overload.Admission(app.rng, admission_limits)
        charges = account_charges.AccountCharges(app)
        self._engine_route = engine_route.EngineRoute(app, charges)
        self._plain_route = plain_route.PlainRoute(app, charges)
        self._config.on_catalogue.append(self._adopt_catalogue)
        if self._config.catalogue is not None:
            self._adopt_catalogue(self._config.catalogue, None)
        self._keys.on_revoked.append(self._on_key_revoked)

    async def stop(self) -> None:
        """Do nothing: the drain has waited for all requests to end."""

    @property
    def is_ready(self) -> bool:
        """Whether a load balancer should send callers here."""
        return self._config.ready.is_set() and self._drain.ready

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: http_io.Receive,
        send: http_io.Send,
    ) -> None:
        """Answer a caller's request."""
        if scope['type'] != 'http':
            return
        exchange = http_io.Exchange(
            scope, receive, send, self._limits.write_seconds
        )
        # While draining: a caller that keeps its connection would never reach
        # another VM.
        exchange.close_connection = not self._drain.ready
        self._request_count += 1
        request_id = f'{self._app.incarnation}#{self._request_count}'
        try:
            await self._serve(exchange, request_id)
        except http_io.CallerDisconnected:
            self._app.events.add('caller.gone', request=request_id)
        except Exception as error:  # noqa: BLE001
            await self._send_internal_error(exchange, request_id, error)

    async def _send_internal_error(
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
        if await self._serve_probe(exchange):
            return
        ticket = dict(exchange.headers).get(request_context.TICKET_HEADER, '')
        try:
            context = await self._read_request(exchange, request_id)
            permit = request_context.unwrap(
                self._admission.admit(
                    context.account, len(context.request.body)
                )
            )
        except request_context.RequestError as error:
            problem = problems.for_ticket(error.problem, ticket)
            self._count_outcome('', problem)
            await exchange.send_error(request_id, problem)
            return
        inflight = self._drain.inflight
        with (
            permit,
            inflight.track(request_id, context.matched.label, context.arrived),
        ):
            self._metrics.inflight.set(len(inflight))
            await self._run_until_end(exchange, context)
        self._metrics.inflight.set(len(inflight))

    async def _serve_probe(self, exchange: http_io.Exchange) -> bool:
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

    async def _read_request(
        self, exchange: http_io.Exchange, request_id: str
    ) -> request_context.RequestContext:
        arrived = self._app.clock.monotonic()
        path = request_context.unwrap(
            redaction.normalise_path(exchange.raw_path)
        )
        matched, path = self._match_route(path, exchange)
        max_bytes = min(matched.entry.limits.max_body, self._limits.body_bytes)
        size = exchange.expected_body_bytes(max_bytes)
        # Bodies being read share the limits of one account, so that slow
        # callers can't use up the capacity of the daemon.
        with request_context.unwrap(
            self._admission.admit(UPLOAD_ACCOUNT, size)
        ):
            body = request_context.unwrap(
                await exchange.read_body(max_bytes, self._limits.body_seconds)
            )
        request = request_context.unwrap(
            redaction.redact(exchange.headers, path, exchange.query, body)
        )
        account, key_digest = self._authenticate(matched, request)
        keyless_request = request._replace(key=None)
        return request_context.RequestContext(
            request_id,
            matched,
            account,
            key_digest,
            path,
            keyless_request,
            arrived,
        )

    def _match_route(
        self, path: str, exchange: http_io.Exchange
    ) -> tuple[routes.RouteMatch, str]:
        if self._table is None or not self._config.ready.is_set():
            raise request_context.RequestError(
                problems.Problem(
                    'no_catalogue', 503, 'no', 'no catalogue yet', 1.0
                )
            )
        if path.startswith(TICKETS_PATH + '/') and exchange.method == 'POST':
            matched = self._table.find(path[len(TICKETS_PATH) :])
        else:
            matched = self._table.find(path)
        if matched is None:
            raise request_context.RequestError(
                problems.Problem('no_route', 404, 'no', 'no such route')
            )
        return matched, path

    def _authenticate(
        self, matched: routes.RouteMatch, request: redaction.RedactedRequest
    ) -> tuple[str, str]:
        result = self._keys.authenticate(request.key)
        if matched.route.open and result.is_error():
            # An open route also serves callers whose key is not valid.
            return '', ''
        account = request_context.unwrap(result)
        return account, digests.digest_of(request.key or '')

    async def _run_until_end(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        running = RunningRequest()
        running.task = asyncio.create_task(self._answer(exchange, context))
        disconnect = asyncio.create_task(exchange.wait_disconnected())
        same_key_requests = self._running_by_key_digest.setdefault(
            context.key_digest, set()
        )
        same_key_requests.add(running)
        try:
            await self._wait(exchange, running.task, disconnect)
            if not running.task.done():
                running.task.cancel()
            await self._conclude(exchange, context, running)
        finally:
            disconnect.cancel()
            running.task.cancel()
            same_key_requests.discard(running)
            if not same_key_requests:
                self._running_by_key_digest.pop(context.key_digest, None)

    async def _wait(
        self,
        exchange: http_io.Exchange,
        task: asyncio.Task[Any],
        disconnect: asyncio.Task[None],
    ) -> None:
        """Wait until the task ends, or the caller disconnects or stalls."""
        check_interval = exchange.write_timeout / STALL_CHECKS
        while not exchange.is_write_stalled():
            done, _ = await asyncio.wait(
                (task, disconnect),
                timeout=check_interval,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return

    async def _conclude(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
        running: RunningRequest,
    ) -> None:
        assert running.task is not None
        try:
            await running.task
        except request_context.RequestError as error:
            self._count_outcome(context.matched.label, error.problem)
            await self._send_error(exchange, context, error.problem)
        except asyncio.CancelledError:
            if running.problem is None:
                raise http_io.CallerDisconnected from None
            await self._send_error(exchange, context, running.problem)

    async def _send_error(
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
        error_event = completions.error_event(context.request_id, problem)
        async with exchange.limit_write_time():
            await exchange.write(error_event, more=False)

    async def _answer(
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

    def _adopt_catalogue(
        self,
        adopted: catalogue.Catalogue,
        _previous: catalogue.Catalogue | None,
    ) -> None:
        self._table = routes.RouteTable(adopted)
        self._metrics.catalogue_version.set(adopted.version)

    def _on_key_revoked(self, _account: str, key_digest: str) -> None:
        for running in list(self._running_by_key_digest.get(key_digest, ())):
            running.cancel(
                problems.Problem(
                    'key_withdrawn', 401, 'unknown', 'the key was withdrawn'
                )
            )

    def _count_outcome(self, label: str, problem: problems.Problem) -> None:
        self._metrics.requests.labels(label, problem.code, problem.ran).inc()
