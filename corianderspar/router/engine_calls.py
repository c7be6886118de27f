"""Runs requests on engines: placement, prefill, decode and streaming."""

from corianderspar import kernel
from corianderspar import problems
from corianderspar.router import connections
from corianderspar.router import engine_runs
from corianderspar.router import engine_sends
from corianderspar.router import event_stream
from corianderspar.router import failover
from corianderspar.router import jobs
from corianderspar.router import model
from corianderspar.router import placement
from corianderspar.router import process_checks
from corianderspar.router import quarantine
from corianderspar.router import replacement_search
from corianderspar.router import request_context
from corianderspar.router import retries
from corianderspar.router import stream_origins
from corianderspar.router import telemetry
from corianderspar.router import upstream_notices
from corianderspar.router import upstreams

MAX_ROUNDS = 4  # of placement, prefill and decode for one request
MAX_SEARCHES = 3  # for a replacement of one run
SILENCE_SECONDS = 1.2  # without an event, then another engine is sought


class EngineCalls:
    """The service ``engine_calls``.

    Parameters
    ----------
    calls : UpstreamCalls
        The client for the engines.
    """

    name = 'engine_calls'
    requires: tuple[str, ...] = (
        'beliefs',
        'notices',
        'permits',
        'placement',
        'process_checks',
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
        self._placement = app.find('placement', placement.Placement)
        self._quarantine = app.find('quarantine', quarantine.Quarantine)
        self._retry_budgets = app.find('retries', retries.RetryBudgets)
        self._telemetry = app.find('telemetry', telemetry.Telemetry)
        self._notices = app.find('notices', upstream_notices.UpstreamNotices)
        self._process_checks = app.find(
            'process_checks', process_checks.ProcessChecks
        )
        self._origins = app.find(
            'stream_origins', stream_origins.StreamOrigins
        )
        self._sends = engine_sends.EngineSends(app, self.name, self._calls)
        self._search = replacement_search.ReplacementSearch(app, self._sends)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    async def answer(self, context: request_context.RequestContext) -> None:
        """Run a request and stream its answer to the caller.

        Raises
        ------
        RequestError
            If no engine completes the answer. An answer that has begun is
            left without its end.
        """
        self._quarantine.check(context)
        self._retry_budgets.deposit(context.matched.service.name)
        is_whole = False
        try:
            await self._run_rounds(context)
            is_whole = True
        finally:
            if context.begun is not None:
                self._process_checks.end(context.begun)
                if not is_whole:
                    self._origins.confirm(context)

    async def _run_rounds(
        self, context: request_context.RequestContext
    ) -> None:
        parser = event_stream.EventParser(context.request.after_event)
        excluded: tuple[str, ...] = ()
        result = engine_runs.RoundResult(False)
        for number in range(MAX_ROUNDS):
            if number and not (
                self._may_retry(context)
                and await self._sends.is_begin_known(context)
            ):
                break
            prefilled = self._unless_expired(result.prefilled)
            reservation: placement.HeldReservation | jobs.Refusal | None = None
            try:
                reservation = await self._sends.place(
                    context, excluded, prefilled is not None
                )
            finally:
                if not isinstance(reservation, placement.HeldReservation):
                    self._sends.release(prefilled)
            if isinstance(reservation, jobs.Refusal):
                pause = self._notices.pause_remaining(
                    context.matched.service.name
                )
                raise context.error(
                    'no_room',
                    reservation.reason,
                    max(reservation.retry_after, pause or 0.0),
                )
            result = await self._round(
                context, parser, reservation, prefilled, excluded
            )
            while result.replacement is not None:
                # An engine that was only silent may be used again.
                excluded = self._record_failure(context, result, excluded)
                result = await self._follow(
                    context, parser, result.replacement, excluded
                )
            if result.is_complete:
                if context.engine_run is not None:
                    self._quarantine.record_success(
                        context, context.engine_run
                    )
                return
            excluded = self._record_failure(context, result, excluded)
            if result.is_final:
                break
        self._sends.release(result.prefilled)
        raise context.error('engines_failed', result.reason)

    def _record_failure(
        self,
        context: request_context.RequestContext,
        result: engine_runs.RoundResult,
        excluded: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return the instances that the next round excludes."""
        if result.is_crash and context.engine_run is not None:
            self._quarantine.record_broken(context, context.engine_run)
        if not result.failed_instance:
            return excluded
        return (*excluded, result.failed_instance)

    def _unless_expired(
        self, prefilled: engine_runs.Prefilled | None
    ) -> engine_runs.Prefilled | None:
        if (
            prefilled is None
            or self._app.clock.monotonic() < prefilled.expires_at
        ):
            return prefilled
        self._sends.release(prefilled)
        return None

    def _may_retry(self, context: request_context.RequestContext) -> bool:
        route = context.matched.route
        if (
            context.run_count
            and route.retry_policy is not model.RetryPolicy.RESUME
        ):
            return False
        return context.run_count < route.attempts

    async def _round(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        reservation: placement.HeldReservation,
        prefilled: engine_runs.Prefilled | None,
        excluded: tuple[str, ...],
    ) -> engine_runs.RoundResult:
        is_sent = False
        try:
            prepared = await self._sends.prepare(
                context, reservation, prefilled
            )
            if isinstance(prepared, engine_runs.RoundResult):
                return prepared
            run = self._sends.send(context, parser, prepared)
            is_sent = True
        finally:
            if not is_sent:
                self._placement.report(reservation, 'ended')
        return await self._follow(context, parser, run, excluded)

    async def _follow(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        run: engine_runs.Run,
        excluded: tuple[str, ...],
    ) -> engine_runs.RoundResult:
        """Pass on the answer of a run.

        While its engine is silent, another one is sought if the request may
        run once more. The run goes on until that engine has accepted it.
        """
        engine = run.prepared.engine
        context.engine_run = run.progress
        began_after = parser.last
        result = engine_runs.RoundResult(False, 'silent')
        search = failover.Failover(
            SILENCE_SECONDS,
            lambda: self._search.find(context, parser, run, excluded),
            lambda replacement: self._search.drop(context, replacement),
            MAX_SEARCHES,
        )
        try:
            async with search:
                result = await self._receive(context, parser, run, search)
                if not result.is_complete:
                    await search.finish()
            if search.found is not None:
                reason = f'no event for {SILENCE_SECONDS:.1f} s'
                self._log_stream(
                    context,
                    engine,
                    run.began,
                    began_after,
                    parser,
                    reason,
                )
                parser.discard_incomplete()
                result = result._replace(replacement=search.found)
                self._app.events.add(
                    'request.moved',
                    request=context.request.request_id,
                    upstream=engine.instance,
                    to=search.found.prepared.engine.instance,
                    after=parser.last,
                    seconds=f'{self._app.clock.monotonic() - run.began:.3f}',
                )
            return result
        finally:
            self._sends.end(run, 'whole' if result.is_complete else 'ended')

    async def _receive(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        run: engine_runs.Run,
        search: failover.Failover[engine_runs.Run],
    ) -> engine_runs.RoundResult:
        """Wait for the head of a run's answer, and pass the answer on."""
        engine = run.prepared.engine
        result = await run.pending
        search.end_wait()
        if result.is_error():
            return self._sends.handle_failure(context, run, result.error)
        self._telemetry.count_send('decode', True)
        answer = result.ok
        if answer.status != 200 or not answer.is_genuine:
            return await self._forward_failure(
                context, engine, answer, run.began
            )
        return await self._stream(context, parser, run, answer, search)

    async def _forward_failure(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        answer: upstreams.Answer,
        began: float,
    ) -> engine_runs.RoundResult:
        """Pass an engine's error answer on, unless a retry is allowed."""
        self._sends.log_send(
            context, engine, began, 'decode', str(answer.status)
        )
        reason = f'status {answer.status}'
        if context.exchange.status or not answer.is_genuine:
            return engine_runs.RoundResult(False, reason, engine.instance)
        if self._may_retry(context):
            return engine_runs.RoundResult(False, reason, engine.instance)
        if answer.status in problems.NOT_RUN_STATUSES:
            # The caller would take it for a promise.
            reason += ', but the request may have run'
            return engine_runs.RoundResult(False, reason, engine.instance)
        try:
            body = await answer.read(event_stream.MAX_EVENT_BYTES)
        except connections.UpstreamError as error:
            return engine_runs.RoundResult(
                False, error.detail, engine.instance
            )
        await context.exchange.answer(answer.status, answer.headers, body)
        return engine_runs.RoundResult(True)

    async def _stream(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        run: engine_runs.Run,
        answer: upstreams.Answer,
        search: failover.Failover[engine_runs.Run],
    ) -> engine_runs.RoundResult:
        """Pass the answer on event by event."""
        engine = run.prepared.engine
        began = self._app.clock.monotonic()
        resumed_after = parser.last
        context.stage = 'streaming'
        chunks = answer.chunks()
        reason = ''
        is_crash = False
        search.begin_wait()
        try:
            while True:
                chunk = await anext(chunks, None)
                search.check()
                if chunk is None:
                    break
                events = parser.feed(chunk)
                content = b''.join(event.content for event in events)
                if all(event.is_comment for event in events):
                    # An engine that stalls may still send bytes that end no
                    # event, or comments. They do not end the silence.
                    if content and context.exchange.status:
                        await context.exchange.write(content)
                    continue
                search.end_wait()
                self._search.clear_suspicion(run)
                if context.origin is None:
                    context.origin = model.StreamOrigin(
                        engine.service, engine.version
                    )
                    context.begun = self._process_checks.begin(
                        engine, answer.connected_at
                    )
                if not context.exchange.status:
                    await self._origins.record(context)
                    now = self._app.clock.monotonic()
                    self._telemetry.observe_first_event(now - context.arrived)
                    await context.exchange.begin(200, answer.headers)
                self._quarantine.record_progress(context)
                await context.exchange.write(content)
                search.begin_wait()
        except connections.UpstreamError as error:
            reason = error.detail
            is_crash = not error.is_alive
        except event_stream.StreamError as error:
            reason = str(error)
        if not reason and self._quarantine.may_be_broken_off(context, answer):
            reason = 'ended without an event'
            is_crash = True
        if not reason and parser.is_between_events and context.exchange.status:
            await context.exchange.write(b'', more=False)
            self._log_stream(
                context, engine, began, resumed_after, parser, 'whole'
            )
            return engine_runs.RoundResult(True)
        reason = reason or 'ended within an event'
        self._log_stream(context, engine, began, resumed_after, parser, reason)
        instance = engine.instance
        self._placement.report(run.prepared.reservation, 'silent', instance)
        parser.discard_incomplete()
        return engine_runs.RoundResult(False, reason, instance, is_crash)

    def _log_stream(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        began: float,
        resumed_after: int | None,
        parser: event_stream.EventParser,
        result: str,
    ) -> None:
        now = self._app.clock.monotonic()
        self._app.events.add(
            'request.streamed',
            request=context.request.request_id,
            upstream=engine.instance,
            version=engine.version,
            after=resumed_after,
            last=parser.last,
            seconds=f'{now - began:.3f}',
            result=result,
        )
