"""Requests of plain services: sent, and sent once more where allowed."""

import asyncio
from typing import NamedTuple

from expression import Result

from corianderspar import http_io
from corianderspar import kernel
from corianderspar.router import connections
from corianderspar.router import model
from corianderspar.router import request_context
from corianderspar.router import retries
from corianderspar.router import selection
from corianderspar.router import store_view
from corianderspar.router import telemetry
from corianderspar.router import upstreams

SENDS_MOST = 3  # of one request, refused ones included
TRY_SECONDS = 0.7  # of a repeatable request before another upstream is tried
LAST_TRY_SECONDS = 0.1  # less than this left: no further try


class _Whole(NamedTuple):
    """An answer that came whole."""

    status: int
    headers: http_io.Headers
    body: bytes


class PlainCalls:
    """The service ``plain_calls``.

    Parameters
    ----------
    calls : UpstreamCalls
        To the upstreams.
    """

    name = 'plain_calls'
    requires: tuple[str, ...] = ('beliefs', 'retries', 'telemetry')

    def __init__(self, calls: upstreams.UpstreamCalls) -> None:
        self._calls = calls

    async def start(self, app: kernel.Application) -> None:
        """Find the parts it uses."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._retries = app.find('retries', retries.RetryBudgets)
        self._telemetry = app.find('telemetry', telemetry.Telemetry)
        self._selection = selection.UpstreamSelector(app.identity.data_centre)
        self._store_view.on_upstreams_change.append(self._refresh)

    async def stop(self) -> None:
        """Nothing to hand on."""

    async def answer(self, context: request_context.RequestContext) -> None:
        """Get the answer and pass it on.

        Raises
        ------
        RequestError
            If there is none.
        """
        service = context.matched.service.name
        self._retries.deposit(service)
        excluded: list[str] = []
        kept: _Whole | None = None
        why = 'no upstream'
        while context.sends < SENDS_MOST:
            upstream = self._selection.choose(
                self._store_view.ready_upstreams(service),
                excluded,
                self._app.clock.monotonic(),
            )
            if upstream is None:
                break
            if context.sends and not self._may_go_on(context):
                break
            if context.reached and not await self._retries.withdraw(
                service, context.request.request_id
            ):
                break
            excluded.append(upstream.instance)
            result = await self._send(context, upstream)
            if result.is_ok():
                kept = result.ok
                if kept.status < 500:
                    break
                why = f'status {kept.status}'
            else:
                why = result.error.detail
                if result.error.fault is upstreams.Fault.BROKEN:
                    kept = None
        if kept is None:
            raise context.refused('upstream_failed', why)
        await context.exchange.answer(kept.status, kept.headers, kept.body)

    def _may_go_on(self, context: request_context.RequestContext) -> bool:
        route = context.matched.route
        if (
            context.ran_on
            and route.retry_policy is not model.RetryPolicy.ALWAYS
        ):
            return False
        if context.ran_on >= route.attempts:
            return False
        now = self._app.clock.monotonic()
        return context.remaining(now) >= LAST_TRY_SECONDS

    async def _send(
        self, context: request_context.RequestContext, upstream: model.Upstream
    ) -> Result[_Whole, upstreams.Failure]:
        began = self._app.clock.monotonic()
        seconds = context.remaining(began)
        if (
            context.matched.route.retry_policy is model.RetryPolicy.ALWAYS
            and context.ran_on + 1 < context.matched.route.attempts
        ):
            seconds = min(seconds, TRY_SECONDS)
        context.sends += 1
        context.reached += 1
        context.upstream = upstream.instance
        context.stage = 'sent'
        # Counted before the send: a caller that leaves ends it anywhere.
        context.ran_on += 1
        self._selection.begin(upstream)
        ok = False
        try:
            async with asyncio.timeout(max(seconds, 0.0)):
                result = await self._call(context, upstream, seconds)
            ok = result.is_ok() and result.ok.status < 500
        except TimeoutError:
            result = Result.Error(
                upstreams.Failure(
                    upstreams.Fault.BROKEN, f'silent for {seconds:.2f} s'
                )
            )
        finally:
            now = self._app.clock.monotonic()
            self._selection.end(upstream, now - began, ok, now)
        fault = result.error.fault if result.is_error() else None
        if fault in (upstreams.Fault.NOT_SENT, upstreams.Fault.REFUSED):
            context.ran_on -= 1
        if fault is upstreams.Fault.NOT_SENT:
            context.reached -= 1
            self._selection.mark_unreachable(upstream, now)
        self._telemetry.count_send('plain', fault is None)
        self._app.events.add(
            'request.sent',
            request=context.request.request_id,
            upstream=upstream.instance,
            send=context.sends,
            seconds=f'{now - began:.3f}',
            result=result.ok.status if fault is None else fault.value,
            why='' if fault is None else result.error.detail,
        )
        return result

    async def _call(
        self,
        context: request_context.RequestContext,
        upstream: model.Upstream,
        seconds: float,
    ) -> Result[_Whole, upstreams.Failure]:
        options = upstreams.CallOptions(context.account, seconds)
        begun = await self._calls.run(upstream, context.request, options)
        if begun.is_error():
            return Result.Error(begun.error)
        answer = begun.ok
        try:
            parts = [part async for part in answer.chunks()]
        except connections.UpstreamError as error:
            return Result.Error(
                upstreams.Failure(upstreams.Fault.BROKEN, error.detail)
            )
        finally:
            answer.close()
        if not answer.is_genuine:
            return Result.Error(
                upstreams.Failure(
                    upstreams.Fault.BROKEN,
                    f'unsigned answer {answer.status}',
                )
            )
        return Result.Ok(
            _Whole(answer.status, answer.headers, b''.join(parts))
        )

    def _refresh(self) -> None:
        self._selection.retain(set(self._store_view.upstreams_by_instance))
