"""Placing a request at engines, prefilling it and sending it to decode."""

import asyncio
import math

from corianderspar import kernel
from corianderspar.router import engine_runs
from corianderspar.router import event_stream
from corianderspar.router import jobs
from corianderspar.router import model
from corianderspar.router import placement
from corianderspar.router import process_checks
from corianderspar.router import quarantine
from corianderspar.router import request_context
from corianderspar.router import retries
from corianderspar.router import store_view
from corianderspar.router import telemetry
from corianderspar.router import upstream_notices
from corianderspar.router import upstream_permits
from corianderspar.router import upstreams

PREFILL_TIMEOUT_SECONDS = 1.2  # queue 0.3 s, prefill 0.2 s, and slow engines
SHUTDOWN_WAIT_SECONDS = 1.0  # for engines, while this daemon shuts down
HOLD_REUSE_SHARE = 0.6  # of a prompt's hold time, for a retry to fetch it
RELEASE_TIMEOUT_SECONDS = 1.0  # for an engine to free a KV cache


class EngineSends:
    """The steps from a request to its run at a decode engine.

    Parameters
    ----------
    app : Application
        Finds the services that it uses.
    owner : str
        Name of the service that owns its tasks.
    calls : UpstreamCalls
        The client for the engines.
    """

    def __init__(
        self,
        app: kernel.Application,
        owner: str,
        calls: upstreams.UpstreamCalls,
    ) -> None:
        self._app = app
        self._owner = owner
        self._calls = calls
        # Version of a configuration, and whether its ranks differ.
        self._ranks_of_version = (-1, False)
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._placement = app.find('placement', placement.Placement)
        self._quarantine = app.find('quarantine', quarantine.Quarantine)
        self._retry_budgets = app.find('retries', retries.RetryBudgets)
        self._telemetry = app.find('telemetry', telemetry.Telemetry)
        self._notices = app.find('notices', upstream_notices.UpstreamNotices)
        self._permits = app.find('permits', upstream_permits.UpstreamPermits)
        self._process_checks = app.find(
            'process_checks', process_checks.ProcessChecks
        )

    async def place(
        self,
        context: request_context.RequestContext,
        excluded: tuple[str, ...],
        is_prefilled: bool,
    ) -> placement.HeldReservation | jobs.Refusal:
        """Wait for room at engines.

        Parameters
        ----------
        context : RequestContext
            The request.
        excluded : tuple of str
            Instances that do not get it.
        is_prefilled : bool
            Whether its prompt needs no prefill engine.
        """
        now = self._app.clock.monotonic()
        token_counts = context.request.token_counts or model.TokenCounts(
            0, 0, 0
        )
        context.stage = 'waiting for room'
        route = context.matched.route
        timeout = context.remaining(now)
        has_begun = context.exchange.status != 0
        if has_begun:
            # The answer is lost unless another engine resumes it, so it goes
            # before new requests while the caller waits for its next event.
            timeout = min(timeout, route.event_timeout)
        else:
            timeout = min(timeout, context.arrived + route.event_timeout - now)
        if context.exchange.close_connection and not has_begun:
            timeout = min(timeout, SHUTDOWN_WAIT_SECONDS)
        reservation = await self._placement.acquire(
            context.matched.service.name,
            (token_counts.prompt, token_counts.expected_output),
            context.priority,
            timeout,
            (
                *excluded,
                *self._notices.paused_instances(context.matched.service.name),
            ),
            is_prefilled,
            has_begun,
            context.origin.version if context.origin else None,
            context.account,
            context.account_weight,
            context.return_after(math.inf, now),
        )
        waited = self._app.clock.monotonic() - now
        if isinstance(reservation, jobs.Refusal):
            reservation = reservation._replace(
                retry_after=context.return_after(
                    reservation.retry_after, now + waited
                )
            )
            self._app.events.add(
                'request.no_room',
                request=context.request.request_id,
                rank=context.priority,
                account=context.account or '-',
                why=reservation.reason,
                come_back=f'{reservation.retry_after:.2f}',
                waited=f'{waited:.3f}',
            )
        else:
            self._app.events.add(
                'request.placed',
                request=context.request.request_id,
                rank=context.priority,
                account=context.account or '-',
                prefill=reservation.grant.prefill or '-',
                decode=reservation.grant.decode,
                home=reservation.home,
                prompt=token_counts.prompt,
                expected=token_counts.expected_output,
                after=context.request.after_event,
                begun_by=context.request.begun_by or '-',
                most=token_counts.max_output,
                waited=f'{waited:.3f}',
                store_age=f'{self._store_view.staleness():.2f}',
            )
        return reservation

    async def prepare(
        self,
        context: request_context.RequestContext,
        reservation: placement.HeldReservation,
        prefilled: engine_runs.Prefilled | None,
    ) -> engine_runs.Prepared | engine_runs.RoundResult:
        """Prefill the prompt unless that is done; check the decode engine."""
        by_instance = self._store_view.upstreams_by_instance
        decode_engine = by_instance.get(reservation.grant.decode)
        if decode_engine is None:
            reason = 'decode engine unknown'
            return engine_runs.RoundResult(
                False, reason, reservation.grant.decode, prefilled=prefilled
            )
        if prefilled is None and reservation.grant.prefill:
            prefill_engine = by_instance.get(reservation.grant.prefill)
            if prefill_engine is None:
                reason = 'prefill engine unknown'
                return engine_runs.RoundResult(
                    False, reason, reservation.grant.prefill
                )
            refused = self._refuse_unusable(
                context, prefill_engine, None
            ) or self._refuse_other_version(context, decode_engine, None)
            if refused is not None:
                return refused
            connect_failure = await self._connect(
                context, reservation, decode_engine
            )
            if connect_failure is not None:
                return connect_failure
            await self._quarantine.check_again(context)
            prefill_result = await self._prefill(
                context, reservation, prefill_engine
            )
            if isinstance(prefill_result, engine_runs.RoundResult):
                return prefill_result
            prefilled = prefill_result
        refused = self._refuse_unusable(
            context, decode_engine, prefilled
        ) or await self._refuse_other_process(
            context, decode_engine, prefilled
        )
        if refused is not None:
            return refused
        try:
            await self._quarantine.check_again(context)
            if context.reached_count and not await self._withdraw_retry(
                context
            ):
                self.release(prefilled)
                return engine_runs.NO_RETRY_BUDGET
            refused = await self._refuse_cold(
                context, reservation, decode_engine, prefilled
            )
            if refused is not None:
                return refused
        except BaseException:
            self.release(prefilled)
            raise
        return engine_runs.Prepared(reservation, decode_engine, prefilled)

    def _refuse_unusable(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        prefilled: engine_runs.Prefilled | None,
    ) -> engine_runs.RoundResult | None:
        """Return the end of a round if an engine wants no requests now.

        The engine may have stated that after it was granted, or to this
        daemon alone.
        """
        reason = self._notices.refusal_reason(engine)
        if not reason:
            return None
        return self._not_sent(context, engine, reason, prefilled)

    async def _refuse_cold(
        self,
        context: request_context.RequestContext,
        reservation: placement.HeldReservation,
        engine: model.Upstream,
        prefilled: engine_runs.Prefilled | None,
    ) -> engine_runs.RoundResult | None:
        """Return the end of a round if a cold engine may get no request.

        The home counted the request unless the engine turned cold later. The
        grant may have become too old since.
        """
        if not self._permits.may_turn_cold(engine):
            return None
        if self._permits.is_cold(engine):
            # The request is sent at once afterwards, not after connecting.
            refused = await self._connect(context, reservation, engine)
            if refused is not None:
                return refused._replace(prefilled=prefilled)
        if not await self._permits.may_send(
            engine,
            reservation.granted_after,
            engine.instance in reservation.cold,
        ):
            return self._not_sent(context, engine, 'it is cold', prefilled)
        return self._refuse_unusable(context, engine, prefilled)

    def _not_sent(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        reason: str,
        prefilled: engine_runs.Prefilled | None,
    ) -> engine_runs.RoundResult:
        self._app.events.add(
            'request.not_sent',
            request=context.request.request_id,
            upstream=engine.instance,
            why=reason,
        )
        return engine_runs.RoundResult(
            False, reason, engine.instance, prefilled=prefilled
        )

    def _refuse_other_version(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        prefilled: engine_runs.Prefilled | None,
    ) -> engine_runs.RoundResult | None:
        """Return the end of a round if an engine may not go on the stream.

        The home that granted it may know another process of that instance.
        """
        if context.may_go_on_at(engine):
            return None
        reason = f'version {engine.version!r} did not begin the stream'
        return self._not_sent(context, engine, reason, prefilled)

    async def _refuse_other_process(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        prefilled: engine_runs.Prefilled | None,
    ) -> engine_runs.RoundResult | None:
        """Return the end of a round if an engine may have been replaced.

        An engine may return under its instance at another version, and take
        requests before the store lists its new process here.
        """
        by_instance = self._store_view.upstreams_by_instance
        engine = by_instance.get(engine.instance, engine)
        refused = self._refuse_other_version(context, engine, prefilled)
        if (
            refused is not None
            or context.origin is None
            or not engine.started_ms
        ):
            return refused
        reason = await self._process_checks.refusal_reason(engine)
        if reason:
            return self._not_sent(context, engine, reason, prefilled)
        return None

    async def _connect(
        self,
        context: request_context.RequestContext,
        reservation: placement.HeldReservation,
        engine: model.Upstream,
    ) -> engine_runs.RoundResult | None:
        """Connect to the decode engine before the prefill.

        A prefill for an engine that cannot be reached would be wasted.
        """
        began = self._app.clock.monotonic()
        result = await self._calls.connect(engine)
        if result.is_ok():
            return None
        reason = result.error.detail
        self._placement.report(reservation, 'silent', engine.instance)
        self.log_send(context, engine, began, 'connect', reason)
        return engine_runs.RoundResult(False, reason, engine.instance)

    async def _prefill(
        self,
        context: request_context.RequestContext,
        reservation: placement.HeldReservation,
        engine: model.Upstream,
    ) -> engine_runs.Prefilled | engine_runs.RoundResult:
        if context.has_prefill_budget:
            context.has_prefill_budget = False
        elif context.prefill_count and not await self._withdraw_retry(context):
            return engine_runs.NO_RETRY_BUDGET
        refused = await self._refuse_cold(context, reservation, engine, None)
        if refused is not None:
            return refused
        context.prefill_count += 1
        context.stage = 'prefill'
        context.upstream = engine.instance
        began = self._app.clock.monotonic()
        call = asyncio.create_task(
            self._calls.prefill(
                engine, context.request, self._call_options(context, None)
            )
        )
        try:
            await asyncio.wait((call,), timeout=PREFILL_TIMEOUT_SECONDS)
            if not call.done():
                self._placement.report(reservation, 'silent', engine.instance)
                context.has_prefill_budget = await self._withdraw_retry(
                    context
                )
            if context.has_prefill_budget and not call.done():
                self._telemetry.count_send('prefill', False)
                self.log_send(context, engine, began, 'prefill', 'silent')
                return engine_runs.RoundResult(
                    False, 'prefill silent', engine.instance
                )
            # Without a budget for another engine, this one is the only hope.
            result = await asyncio.shield(call)
        except asyncio.CancelledError:
            if call.done() and call.result().is_ok():
                handle = call.result().ok
                self.release(engine_runs.Prefilled(handle, began))
            raise
        finally:
            call.cancel()
        if result.is_error():
            failure = result.error
            if failure.fault is upstreams.Fault.NOT_SENT:
                context.prefill_count -= 1
            elif (
                failure.fault is upstreams.Fault.BROKEN
                and not failure.is_alive
            ):
                self._quarantine.record_broken(
                    context, request_context.UpstreamRun(engine)
                )
            if failure.misdirected or (
                failure.fault is not upstreams.Fault.REFUSED
            ):
                self._placement.report(reservation, 'silent', engine.instance)
            self._telemetry.count_send('prefill', False)
            self.log_send(context, engine, began, 'prefill', failure.detail)
            return engine_runs.RoundResult(
                False, failure.detail, engine.instance
            )
        self._placement.report(reservation, 'read')
        self._telemetry.count_send('prefill', True)
        self.log_send(context, engine, began, 'prefill', 'ok')
        engine_limits = context.matched.service.engine
        hold_seconds = engine_limits.kv_hold_seconds if engine_limits else 0.0
        expires_at = (
            self._app.clock.monotonic() + hold_seconds * HOLD_REUSE_SHARE
        )
        return engine_runs.Prefilled(result.ok, expires_at)

    def send(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        prepared: engine_runs.Prepared,
    ) -> engine_runs.Run:
        """Send a request to its decode engine."""
        context.stage = 'decode'
        context.upstream = prepared.engine.instance
        context.send_count += 1
        context.reached_count += 1
        # Counted before the send, since a caller that disconnects cancels it
        # at any point.
        context.run_count += 1
        prefilled = prepared.prefilled
        call = self._calls.run(
            prepared.engine,
            context.request,
            self._call_options(context, parser.last),
            prefilled.handle if prefilled else None,
        )
        return engine_runs.Run(
            prepared,
            request_context.UpstreamRun(prepared.engine),
            self._app.clock.monotonic(),
            asyncio.create_task(call),
        )

    def end(self, run: engine_runs.Run, event: str) -> None:
        """Close a run, and report its end to the home."""
        run.pending.cancel()
        if not run.pending.done() or run.pending.cancelled():
            self.release(run.prepared.prefilled)
        elif run.pending.exception() is None and run.pending.result().is_ok():
            run.pending.result().ok.close()
        self._placement.report(run.prepared.reservation, event)

    def handle_failure(
        self,
        context: request_context.RequestContext,
        run: engine_runs.Run,
        failure: upstreams.Failure,
    ) -> engine_runs.RoundResult:
        """Return the end of a round whose decode engine gave no answer."""
        reservation, engine, prefilled = run.prepared
        self._telemetry.count_send('decode', False)
        self.log_send(context, engine, run.began, 'decode', failure.detail)
        instance = engine.instance
        if failure.fault is upstreams.Fault.BROKEN:
            self.release(prefilled)
            self._placement.report(reservation, 'silent', instance)
            is_crash = not failure.is_alive
            return engine_runs.RoundResult(
                False, failure.detail, instance, is_crash
            )
        context.run_count -= 1
        if failure.fault is upstreams.Fault.NOT_SENT:
            context.reached_count -= 1
            self._placement.report(reservation, 'silent', instance)
            return engine_runs.RoundResult(
                False, failure.detail, instance, prefilled=prefilled
            )
        if failure.misdirected:
            # Another engine has its address: it restarted, and the store
            # does not list the new instance yet.
            self._placement.report(reservation, 'silent', instance)
            return engine_runs.RoundResult(
                False, failure.detail, instance, prefilled=prefilled
            )
        # The engine is full, or the prompt is no longer held at the prefill
        # engine; a refusal does not say which. If a second decode engine
        # refuses, the prompt is taken as gone.
        self._placement.report(reservation, 'full', instance)
        if reservation.grant.prefill:
            return engine_runs.RoundResult(
                False, failure.detail, instance, prefilled=prefilled
            )
        self.release(prefilled)
        return engine_runs.RoundResult(False, failure.detail)

    def may_resume(self, context: request_context.RequestContext) -> bool:
        """Return whether another engine may go on with a request."""
        route = context.matched.route
        return (
            route.retry_policy is model.RetryPolicy.RESUME
            and context.run_count < route.attempts
        )

    async def is_begin_known(
        self, context: request_context.RequestContext
    ) -> bool:
        """Return whether it is certain which version began the stream."""
        begun = context.begun
        return begun is None or await self._process_checks.has_begun(
            begun.process, begun.engine.version
        )

    def _call_options(
        self, context: request_context.RequestContext, after_event: int | None
    ) -> upstreams.CallOptions:
        now = self._app.clock.monotonic()
        token_counts = context.request.token_counts
        max_bytes = self._store_view.limits.answer_bytes
        if token_counts is not None:
            max_bytes = event_stream.max_stream_bytes(token_counts.max_output)
        return upstreams.CallOptions(
            context.account,
            context.remaining(now),
            context.priority if self._has_ranks() else None,
            after_event,
            max_bytes,
        )

    def _has_ranks(self) -> bool:
        """Return whether requests at engines compete by their ranks."""
        configuration = self._store_view.configuration
        if configuration is None:
            return False
        version, has_ranks = self._ranks_of_version
        if version != configuration.version:
            has_ranks = configuration.has_engine_ranks()
            self._ranks_of_version = configuration.version, has_ranks
        return has_ranks

    async def _withdraw_retry(
        self, context: request_context.RequestContext
    ) -> bool:
        return await self._retry_budgets.withdraw(
            context.matched.service.name, context.request.request_id
        )

    def release(self, prefilled: engine_runs.Prefilled | None) -> None:
        """Let an engine free a prefilled prompt that is not needed."""
        if prefilled is None or self._permits.is_cold(
            prefilled.handle.upstream
        ):
            # A cold engine frees it when its hold time is over.
            return
        self._app.spawn(
            self._owner, 'release', self._release_handle(prefilled.handle)
        )

    async def _release_handle(self, handle: upstreams.PrefillHandle) -> None:
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await self._calls.release(handle)
        except TimeoutError:
            # The engine frees it anyway when its hold time is over.
            self._app.events.add(
                'prefill.not_released', upstream=handle.upstream.instance
            )

    def log_send(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        began: float,
        stage: str,
        result: str,
    ) -> None:
        """Log a send and how it ended."""
        now = self._app.clock.monotonic()
        self._app.events.add(
            'request.sent',
            request=context.request.request_id,
            upstream=engine.instance,
            stage=stage,
            seconds=f'{now - began:.3f}',
            result=result,
        )
