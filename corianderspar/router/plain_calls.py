"""Sends requests to plain services, with retries where they are allowed."""

import asyncio

from expression import Result

from corianderspar import kernel
from corianderspar.router import connections
from corianderspar.router import jobs
from corianderspar.router import model
from corianderspar.router import plain_placement
from corianderspar.router import plain_scheduler
from corianderspar.router import plain_sends
from corianderspar.router import quarantine
from corianderspar.router import request_context
from corianderspar.router import retries
from corianderspar.router import selection
from corianderspar.router import store_view
from corianderspar.router import stream_origins
from corianderspar.router import telemetry
from corianderspar.router import upstream_notices
from corianderspar.router import upstream_pace
from corianderspar.router import upstream_permits
from corianderspar.router import upstreams

MAX_SENDS = 3  # of one request, including those that upstreams refuse
SILENCE_SECONDS = 0.7  # then an idempotent request is also sent elsewhere
MIN_RETRY_SECONDS = 0.1  # no retry with less than this left
# Of the wait for a permit, by which callers are told to return at different
# times.
RETURN_SPREAD = 0.5


class PlainCalls:
    """The service ``plain_calls``.

    Parameters
    ----------
    calls : UpstreamCalls
        The client for the upstreams.
    """

    name = 'plain_calls'
    requires: tuple[str, ...] = (
        'beliefs',
        'notices',
        'pace',
        'permits',
        'plain_placement',
        'quarantine',
        'retries',
        'stream_origins',
        'telemetry',
    )

    def __init__(self, calls: upstreams.UpstreamCalls) -> None:
        self._calls = calls

    async def start(self, app: kernel.Application) -> None:
        """Look up the services that it uses."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._retry_budgets = app.find('retries', retries.RetryBudgets)
        self._telemetry = app.find('telemetry', telemetry.Telemetry)
        self._notices = app.find('notices', upstream_notices.UpstreamNotices)
        self._windows = app.find('pace', upstream_pace.UpstreamPace).windows
        self._permits = app.find('permits', upstream_permits.UpstreamPermits)
        self._placement = app.find(
            'plain_placement', plain_placement.PlainPlacement
        )
        self._quarantine = app.find('quarantine', quarantine.Quarantine)
        self._origins = app.find(
            'stream_origins', stream_origins.StreamOrigins
        )
        self._selector = selection.UpstreamSelector(app.identity.data_centre)
        self._store_view.on_upstreams_change.append(self._on_upstreams_changed)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    async def answer(self, context: request_context.RequestContext) -> None:
        """Get an upstream's answer and pass it on to the caller.

        An idempotent request whose upstream is silent is also sent elsewhere,
        and the first answer without a failure counts. An error answer is
        passed on only if none follows, and not if a later send may have run
        unanswered.

        Raises
        ------
        RequestError
            If there is no answer to pass on.
        """
        self._quarantine.check(context)
        service = context.matched.service.name
        self._retry_budgets.deposit(service)
        excluded: list[str] = []
        running: list[plain_sends.Send] = []
        answer: plain_sends.CompleteAnswer | None = None
        answered_send = 0
        answered_by: model.Upstream | None = None
        reason = 'no upstream'
        try:
            while answer is None or answer.is_failure:
                upstream = await self._next_upstream(
                    context, excluded, bool(running)
                )
                if upstream is None:
                    self._release_grant(context)
                if upstream is not None:
                    excluded.append(upstream.instance)
                    running.append(self._send(context, upstream))
                elif not running:
                    break
                await self._wait_for_any(
                    context, running, upstream, answer is not None
                )
                ended = [send for send in running if send.task.done()]
                if not ended and upstream is None:
                    break  # an error answer waits no longer for a better one
                for send in ended:
                    result = send.task.result()
                    running.remove(send)
                    self._record_result(context, send, result)
                    if result.is_ok():
                        reason = f'status {result.ok.status}'
                        if answer is None or answer.is_failure:
                            answer, answered_send = result.ok, send.number
                            answered_by = send.run.upstream
                        continue
                    reason = result.error.detail
                    if (
                        answer is not None
                        and answer.is_failure
                        and result.error.fault is upstreams.Fault.BROKEN
                        and send.number > answered_send
                    ):
                        answer = None
        finally:
            self._release_grant(context)
            for send in running:
                self._abandon(context, send)
        if answer is None:
            self._quarantine.refuse_convicted(context)
            refusal = context.plain_refusal
            if refusal is not None and not context.run_count:
                raise context.error(
                    'no_room',
                    refusal.reason,
                    context.return_after(
                        refusal.retry_after, self._app.clock.monotonic()
                    ),
                )
            pause = self._notices.pause_remaining(service)
            if pause is not None:
                raise context.error('upstreams_paused', reason, pause)
            wait = self._permit_wait(service)
            if wait > 0.0:
                now = self._app.clock.monotonic()
                raise context.error(
                    'upstreams_limited',
                    reason,
                    context.return_after(wait, now),
                )
            raise context.error('upstream_failed', reason)
        if answer.is_untrue_refusal:
            raise context.error(
                'upstream_failed',
                f'status {answer.status}, but the request may have run',
            )
        if answer.status == 200 and answered_by is not None:
            context.origin = context.origin or model.StreamOrigin(
                answered_by.service, answered_by.version
            )
            await self._origins.record(context)
        await context.exchange.answer(
            answer.status, answer.headers, answer.body
        )

    async def _next_upstream(
        self,
        context: request_context.RequestContext,
        excluded: list[str],
        is_running: bool,
    ) -> model.Upstream | None:
        """Return where to send a request now; None if nowhere.

        While an earlier send is running, the home may not hold the request.
        """
        service = context.matched.service.name
        if context.send_count >= MAX_SENDS:
            return None
        if context.send_count and (
            not self._may_retry(context)
            or await self._quarantine.is_refused(context)
        ):
            return None
        upstream = await self._choose(context, excluded, not is_running)
        if upstream is None:
            return None
        if context.plain_grant is not None and (
            await self._quarantine.is_refused(context)
        ):
            return None  # it was convicted while it waited at the home
        if context.reached_count and not await self._retry_budgets.withdraw(
            service, context.request.request_id
        ):
            return None
        if self._is_refused(context, upstream):
            # It left, or was evacuated, while the budget was asked for.
            return await self._choose(
                context, [*excluded, upstream.instance], not is_running
            )
        return upstream

    async def _choose(
        self,
        context: request_context.RequestContext,
        excluded: list[str],
        may_wait: bool,
    ) -> model.Upstream | None:
        """Return the best upstream that may get a request.

        In a large fleet that is the home's choice, if the home has one.
        """
        skipped = list(excluded)
        may_ask = self._placement.is_in_use
        while True:
            # Some may have left while a permit was asked for.
            candidates = self._candidates(context, skipped)
            now = self._app.clock.monotonic()
            limited = {
                upstream.instance
                for upstream in candidates
                if self._permits.is_limited(upstream)
            }
            on_trial = [
                upstream
                for upstream in candidates
                if self._permits.is_trial_due(upstream)
                and not self._selector.is_suspect(upstream, now)
            ]
            unlimited = [
                upstream
                for upstream in candidates
                if upstream.instance not in limited
                and not self._selector.is_suspect(upstream, now)
            ]
            if may_ask and unlimited and not on_trial:
                may_ask = False
                upstream = await self._ask_home(context, unlimited, may_wait)
                if context.plain_refusal is not None:
                    return None
                if upstream is None:
                    continue
            else:
                upstream = self._selector.choose(
                    on_trial
                    or self._windows.with_room(
                        candidates, self._selector.in_flight, now
                    ),
                    (),
                    now,
                    limited,
                    self._app.rng if self._placement.is_in_use else None,
                    self._windows.instances,
                )
            if upstream is None:
                return None
            if await self._permits.acquire(upstream):
                if not self._is_refused(context, upstream):
                    return upstream
                skipped.append(upstream.instance)
                continue
            skipped.append(upstream.instance)
            self._app.events.add(
                'request.no_permit',
                request=context.request.request_id,
                upstream=upstream.instance,
                wait=f'{self._permits.wait(upstream):.2f}',
            )

    def _candidates(
        self, context: request_context.RequestContext, skipped: list[str]
    ) -> list[model.Upstream]:
        """Return the upstreams that may get a request now."""
        return [
            upstream
            for upstream in self._notices.usable(
                self._store_view.ready_upstreams(context.matched.service.name)
            )
            if upstream.instance not in skipped
            and context.may_go_on_at(upstream)
            and self._permits.wait(upstream) == 0.0
        ]

    async def _ask_home(
        self,
        context: request_context.RequestContext,
        usable: list[model.Upstream],
        may_wait: bool,
    ) -> model.Upstream | None:
        """Return the upstream that the home chooses among usable ones.

        Returns
        -------
        Upstream or None
            None if this daemon is to choose itself, or if the home refused
            the request; `plain_refusal` of the context tells.
        """
        self._release_grant(context)
        context.plain_refusal = None
        service = context.matched.service.name
        now = self._app.clock.monotonic()
        names = {upstream.instance for upstream in usable}
        timeout = max(context.remaining(now), 0.0)
        request = plain_placement.PlainRequest(
            service,
            self._placement.next_request_id(),
            context.priority,
            context.account,
            1.0,
            timeout if may_wait else 0.0,
            timeout,
            tuple(
                upstream.instance
                for upstream in self._store_view.ready_upstreams(service)
                if upstream.instance not in names
            ),
            False,
            self._app.identity.data_centre,
        )
        context.stage = 'asked home'
        grant, home = await self._placement.place(request)
        upstream: model.Upstream | None = None
        if grant.state == 'refused':
            context.plain_refusal = jobs.Refusal(
                grant.retry_after, grant.reason
            )
        elif grant.state == 'placed':
            context.plain_grant = plain_scheduler.HeldGrant(
                service, request.request_id, home, grant.instance
            )
            upstream = next(
                (u for u in usable if u.instance == grant.instance), None
            )
            if upstream is None or self._is_refused(context, upstream):
                # The home's view of the upstreams is another one.
                self._release_grant(context)
                upstream = None
        self._app.events.add(
            'request.placed_plain',
            request=context.request.request_id,
            placement=request.request_id,
            service=service,
            home=home,
            state=grant.state,
            upstream=grant.instance,
            is_used=upstream is not None,
            excluded=','.join(request.excluded),
            seconds=f'{self._app.clock.monotonic() - now:.3f}',
            come_back=f'{grant.retry_after:.3f}',
        )
        return upstream

    def _release_grant(self, context: request_context.RequestContext) -> None:
        """Give back a grant of a home that no send has used."""
        held = context.plain_grant
        if held is not None:
            context.plain_grant = None
            self._placement.report(held, 0.0, 'abandoned')

    def _is_refused(
        self, context: request_context.RequestContext, upstream: model.Upstream
    ) -> bool:
        """Return whether an upstream may get no request any more."""
        reason = self._notices.refusal_reason(upstream)
        if reason:
            self._app.events.add(
                'request.not_sent',
                request=context.request.request_id,
                upstream=upstream.instance,
                why=reason,
            )
        return bool(reason)

    def _permit_wait(self, service: str) -> float:
        """Return seconds until an upstream of a service may have a permit.

        Returns
        -------
        float
            0 unless all upstreams of the service are limited.
        """
        waits = [
            self._permits.wait(upstream)
            for upstream in self._store_view.ready_upstreams(service)
        ]
        if not waits or min(waits) == 0.0:
            return 0.0
        return min(waits) * self._app.rng.uniform(1.0, 1.0 + RETURN_SPREAD)

    async def _wait_for_any(
        self,
        context: request_context.RequestContext,
        running: list[plain_sends.Send],
        newest: model.Upstream | None,
        has_error_answer: bool,
    ) -> None:
        """Wait until a send has ended, or for a time of silence.

        Without another send to hope for, and without an error answer to pass
        on, there is no limit but the deadline of the caller.
        """
        may_retry = newest is not None and self._may_retry(context)
        is_limited = may_retry or has_error_answer
        ended, _running = await asyncio.wait(
            [send.task for send in running],
            timeout=SILENCE_SECONDS if is_limited else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not ended and newest is not None:
            self._app.events.add(
                'request.silent',
                request=context.request.request_id,
                upstream=newest.instance,
                stage=context.stage,
            )

    def _may_retry(self, context: request_context.RequestContext) -> bool:
        route = context.matched.route
        if (
            context.run_count
            and route.retry_policy is not model.RetryPolicy.ALWAYS
        ):
            return False
        if context.run_count >= route.attempts:
            return False
        now = self._app.clock.monotonic()
        return context.remaining(now) >= MIN_RETRY_SECONDS

    def _send(
        self, context: request_context.RequestContext, upstream: model.Upstream
    ) -> plain_sends.Send:
        began = self._app.clock.monotonic()
        context.send_count += 1
        context.reached_count += 1
        context.upstream = upstream.instance
        context.stage = 'sent'
        # Counted before the send, since a caller that disconnects cancels it
        # at any point.
        context.run_count += 1
        self._selector.begin(upstream)
        run = request_context.UpstreamRun(upstream)
        run.is_connecting = True
        held = context.plain_grant
        if held is not None and held.instance != upstream.instance:
            self._release_grant(context)
            held = None
        context.plain_grant = None
        call = self._call(context, run, context.remaining(began))
        return plain_sends.Send(
            context.send_count,
            run,
            began,
            asyncio.create_task(call),
            held,
        )

    def _record_result(
        self,
        context: request_context.RequestContext,
        send: plain_sends.Send,
        result: plain_sends.SendResult,
    ) -> None:
        """Count the result of a send that has ended."""
        now = self._app.clock.monotonic()
        is_success = result.is_ok() and result.ok.status < 500
        self._selector.end(
            send.run.upstream, now - send.began, is_success, now
        )
        fault = result.error.fault if result.is_error() else None
        if fault in (upstreams.Fault.NOT_SENT, upstreams.Fault.REFUSED):
            context.run_count -= 1
        if fault is upstreams.Fault.NOT_SENT:
            context.reached_count -= 1
            self._selector.mark_unreachable(send.run.upstream, now)
            self._windows.begin_cautiously(send.run.upstream, now)
        elif fault is upstreams.Fault.REFUSED:
            self._windows.record_refusal(send.run.upstream, now)
        elif is_success:
            self._windows.record_answer(
                send.run.upstream, now - send.began, now
            )
        else:
            self._windows.record_failure(send.run.upstream, now)
        if fault is upstreams.Fault.BROKEN and not result.error.is_alive:
            self._quarantine.record_broken(context, send.run)
        if is_success:
            self._quarantine.record_answer(
                context, send.run, result.ok.is_framed, not result.ok.body
            )
        if send.held is not None:
            outcome = 'answered' if is_success else 'failed'
            if fault is upstreams.Fault.REFUSED:
                outcome = 'refused'
            self._placement.report(send.held, now - send.began, outcome)
        self._telemetry.count_send('plain', fault is None)
        self._log_send(
            context,
            send,
            result.ok.status if fault is None else fault.value,
            '' if fault is None else result.error.detail,
        )

    def _abandon(
        self, context: request_context.RequestContext, send: plain_sends.Send
    ) -> None:
        """End a send whose answer is not needed any more."""
        send.task.cancel()
        if send.run.is_connecting:
            context.run_count -= 1
            context.reached_count -= 1
        now = self._app.clock.monotonic()
        self._selector.end(send.run.upstream, now - send.began, False, now)
        if send.held is not None:
            self._placement.report(send.held, now - send.began, 'abandoned')
        self._log_send(context, send, 'abandoned')

    async def _call(
        self,
        context: request_context.RequestContext,
        run: request_context.UpstreamRun,
        timeout: float,
    ) -> plain_sends.SendResult:
        upstream = run.upstream
        options = upstreams.CallOptions(
            context.account,
            timeout,
            after_event=context.request.after_event,
            max_answer_bytes=self._store_view.limits.answer_bytes,
        )
        # A request whose caller gives up before there is a connection has
        # surely not run.
        connected = await self._calls.connect(upstream, timeout)
        run.is_connecting = False
        if connected.is_error():
            return Result.Error(connected.error)
        result = await self._calls.run(upstream, context.request, options)
        if result.is_error():
            return Result.Error(result.error)
        answer = result.ok
        try:
            if not answer.is_genuine:
                return Result.Error(
                    upstreams.Failure(
                        upstreams.Fault.BROKEN,
                        f'unsigned answer {answer.status}',
                    )
                )
            body = await answer.read(options.max_answer_bytes)
        except connections.UpstreamError as error:
            return Result.Error(
                upstreams.Failure(upstreams.Fault.BROKEN, error.detail)
            )
        finally:
            answer.close()
        return Result.Ok(
            plain_sends.CompleteAnswer(
                answer.status, answer.headers, body, answer.is_framed
            )
        )

    def _log_send(
        self,
        context: request_context.RequestContext,
        send: plain_sends.Send,
        result: int | str,
        reason: str = '',
    ) -> None:
        now = self._app.clock.monotonic()
        self._app.events.add(
            'request.sent',
            request=context.request.request_id,
            upstream=send.run.upstream.instance,
            send=send.number,
            seconds=f'{now - send.began:.3f}',
            result=result,
            why=reason,
        )

    def _on_upstreams_changed(self) -> None:
        self._selector.retain(set(self._store_view.upstreams_by_instance))
