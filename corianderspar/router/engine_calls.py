"""Runs requests on engines: placement, prefill, decode and streaming."""

import asyncio
from typing import NamedTuple

from expression import Result

from corianderspar import kernel
from corianderspar import problems
from corianderspar.router import connections
from corianderspar.router import event_stream
from corianderspar.router import failover
from corianderspar.router import jobs
from corianderspar.router import model
from corianderspar.router import placement
from corianderspar.router import process_checks
from corianderspar.router import quarantine
from corianderspar.router import request_context
from corianderspar.router import retries
from corianderspar.router import store_view
from corianderspar.router import stream_origins
from corianderspar.router import telemetry
from corianderspar.router import upstream_notices
from corianderspar.router import upstream_permits
from corianderspar.router import upstreams

MAX_ROUNDS = 4  # of placement, prefill and decode for one request
MAX_SEARCHES = 3  # for a replacement of one run
PREFILL_TIMEOUT_SECONDS = 1.2  # queue 0.3 s, prefill 0.2 s, and slow engines
SILENCE_SECONDS = 1.2  # without an event, then another engine is sought
# For the engine that replaces a silent one to accept the request. Both may run
# it meanwhile, which has to end within 0.4 s.
HANDOVER_TIMEOUT_SECONDS = 0.3
RETURN_SHARE = 1 / 3  # of the time left, for a refused caller to return in
SHUTDOWN_WAIT_SECONDS = 1.0  # for engines, while this daemon shuts down
HOLD_REUSE_SHARE = 0.6  # of a prompt's hold time, for a retry to fetch it
RELEASE_TIMEOUT_SECONDS = 1.0  # for an engine to free a KV cache


class _Prefilled(NamedTuple):
    """A prompt whose KV cache is held at its prefill engine.

    Attributes
    ----------
    handle : PrefillHandle
        Identifies it at the prefill engine.
    expires_at : float
        Monotonic seconds until which a decode engine may fetch it.
    """

    handle: upstreams.PrefillHandle
    expires_at: float


class _Prepared(NamedTuple):
    """A request that is ready to be sent to a decode engine."""

    reservation: placement.HeldReservation
    engine: model.Upstream
    prefilled: _Prefilled | None


class _Run(NamedTuple):
    """A request that was sent to a decode engine.

    Attributes
    ----------
    prepared : _Prepared
        What it was sent with.
    progress : UpstreamRun
        What is known of its answer.
    began : float
        Monotonic seconds at which it was sent.
    pending : Task
        Ends when the head of the answer has arrived.
    """

    prepared: _Prepared
    progress: request_context.UpstreamRun
    began: float
    pending: asyncio.Task[Result[upstreams.Answer, upstreams.Failure]]


class _RoundResult(NamedTuple):
    """How one round of placement, prefill and decode ended.

    Attributes
    ----------
    is_complete : bool
        Whether the caller has its whole answer.
    reason : str
        Why it has not, for the log and the caller.
    failed_instance : str
        Instance that the next round excludes; empty for none.
    is_crash : bool
        Whether the engine's connection broke while it had the request.
    prefilled : _Prefilled or None
        A prompt that the next round may use.
    is_final : bool
        Whether no other round may follow.
    replacement : _Run or None
        The run that goes on in the place of a silent one.
    """

    is_complete: bool
    reason: str = ''
    failed_instance: str = ''
    is_crash: bool = False
    prefilled: _Prefilled | None = None
    is_final: bool = False
    replacement: _Run | None = None


_NO_RETRY_BUDGET = _RoundResult(
    False, 'no budget for another send', is_final=True
)


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
        # Version of a configuration, and whether its ranks differ.
        self._ranks_of_version = (-1, False)

    async def start(self, app: kernel.Application) -> None:
        """Look up the services that it uses."""
        self._app = app
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
        self._origins = app.find(
            'stream_origins', stream_origins.StreamOrigins
        )

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
        result = _RoundResult(False)
        for number in range(MAX_ROUNDS):
            if number and not (
                self._may_retry(context)
                and await self._is_begin_known(context)
            ):
                break
            prefilled = self._unless_expired(result.prefilled)
            reservation: placement.HeldReservation | jobs.Refusal | None = None
            try:
                reservation = await self._place(
                    context, excluded, prefilled is not None
                )
            finally:
                if not isinstance(reservation, placement.HeldReservation):
                    self._release(prefilled)
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
        self._release(result.prefilled)
        raise context.error('engines_failed', result.reason)

    def _record_failure(
        self,
        context: request_context.RequestContext,
        result: _RoundResult,
        excluded: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return the instances that the next round excludes."""
        if result.is_crash and context.engine_run is not None:
            self._quarantine.record_broken(context, context.engine_run)
        if not result.failed_instance:
            return excluded
        return (*excluded, result.failed_instance)

    def _unless_expired(
        self, prefilled: _Prefilled | None
    ) -> _Prefilled | None:
        if (
            prefilled is None
            or self._app.clock.monotonic() < prefilled.expires_at
        ):
            return prefilled
        self._release(prefilled)
        return None

    def _may_retry(self, context: request_context.RequestContext) -> bool:
        route = context.matched.route
        if (
            context.run_count
            and route.retry_policy is not model.RetryPolicy.RESUME
        ):
            return False
        return context.run_count < route.attempts

    async def _place(
        self,
        context: request_context.RequestContext,
        excluded: tuple[str, ...],
        is_prefilled: bool,
    ) -> placement.HeldReservation | jobs.Refusal:
        now = self._app.clock.monotonic()
        token_counts = context.request.token_counts or model.TokenCounts(
            0, 0, 0
        )
        context.stage = 'waiting for room'
        route = context.matched.route
        timeout = context.remaining(now)
        objective = context.arrived + route.objective - now
        has_begun = context.exchange.status != 0
        if has_begun:
            # The answer is lost unless another engine resumes it, so it goes
            # before new requests while the caller waits for its next event.
            timeout = objective = min(timeout, route.event_timeout)
        else:
            timeout = min(timeout, context.arrived + route.event_timeout - now)
        if context.exchange.close_connection and not has_begun:
            timeout = min(timeout, SHUTDOWN_WAIT_SECONDS)
        reservation = await self._placement.acquire(
            context.matched.service.name,
            (token_counts.prompt, token_counts.expected_output),
            context.priority,
            objective,
            timeout,
            (
                *excluded,
                *self._notices.paused_instances(context.matched.service.name),
            ),
            is_prefilled,
            context.is_retry,
            has_begun,
            context.origin.version if context.origin else None,
            # Accounts compete where requests are ranked; elsewhere the
            # earliest deadline goes first.
            context.account if self._has_ranks() else '',
            context.account_weight if self._has_ranks() else 0.0,
        )
        waited = self._app.clock.monotonic() - now
        if isinstance(reservation, jobs.Refusal):
            # Callers return once, after at most this share of their time.
            time_left = context.remaining(now + waited)
            reservation = reservation._replace(
                retry_after=max(
                    min(reservation.retry_after, time_left * RETURN_SHARE), 0.0
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

    async def _round(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        reservation: placement.HeldReservation,
        prefilled: _Prefilled | None,
        excluded: tuple[str, ...],
    ) -> _RoundResult:
        is_sent = False
        try:
            prepared = await self._prepare(context, reservation, prefilled)
            if isinstance(prepared, _RoundResult):
                return prepared
            run = self._send(context, parser, prepared)
            is_sent = True
        finally:
            if not is_sent:
                self._placement.report(reservation, 'ended')
        return await self._follow(context, parser, run, excluded)

    async def _prepare(
        self,
        context: request_context.RequestContext,
        reservation: placement.HeldReservation,
        prefilled: _Prefilled | None,
    ) -> _Prepared | _RoundResult:
        """Prefill the prompt unless that is done; check the decode engine."""
        by_instance = self._store_view.upstreams_by_instance
        decode_engine = by_instance.get(reservation.grant.decode)
        if decode_engine is None:
            reason = 'decode engine unknown'
            return _RoundResult(
                False, reason, reservation.grant.decode, prefilled=prefilled
            )
        if prefilled is None and reservation.grant.prefill:
            prefill_engine = by_instance.get(reservation.grant.prefill)
            if prefill_engine is None:
                reason = 'prefill engine unknown'
                return _RoundResult(False, reason, reservation.grant.prefill)
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
            if isinstance(prefill_result, _RoundResult):
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
                self._release(prefilled)
                return _NO_RETRY_BUDGET
            refused = await self._refuse_cold(
                context, reservation, decode_engine, prefilled
            )
            if refused is not None:
                return refused
        except BaseException:
            self._release(prefilled)
            raise
        return _Prepared(reservation, decode_engine, prefilled)

    def _refuse_unusable(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        prefilled: _Prefilled | None,
    ) -> _RoundResult | None:
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
        prefilled: _Prefilled | None,
    ) -> _RoundResult | None:
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
        prefilled: _Prefilled | None,
    ) -> _RoundResult:
        self._app.events.add(
            'request.not_sent',
            request=context.request.request_id,
            upstream=engine.instance,
            why=reason,
        )
        return _RoundResult(
            False, reason, engine.instance, prefilled=prefilled
        )

    def _refuse_other_version(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        prefilled: _Prefilled | None,
    ) -> _RoundResult | None:
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
        prefilled: _Prefilled | None,
    ) -> _RoundResult | None:
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
            or not self._process_checks.may_be_replaced(engine)
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
    ) -> _RoundResult | None:
        """Connect to the decode engine before the prefill.

        A prefill for an engine that cannot be reached would be wasted.
        """
        began = self._app.clock.monotonic()
        result = await self._calls.connect(engine)
        if result.is_ok():
            return None
        reason = result.error.detail
        self._placement.report(reservation, 'silent', engine.instance)
        self._log_send(context, engine, began, 'connect', reason)
        return _RoundResult(False, reason, engine.instance)

    async def _prefill(
        self,
        context: request_context.RequestContext,
        reservation: placement.HeldReservation,
        engine: model.Upstream,
    ) -> _Prefilled | _RoundResult:
        if context.has_prefill_budget:
            context.has_prefill_budget = False
        elif context.prefill_count and not await self._withdraw_retry(context):
            return _NO_RETRY_BUDGET
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
                self._log_send(context, engine, began, 'prefill', 'silent')
                return _RoundResult(False, 'prefill silent', engine.instance)
            # Without a budget for another engine, this one is the only hope.
            result = await asyncio.shield(call)
        except asyncio.CancelledError:
            if call.done() and call.result().is_ok():
                handle = call.result().ok
                self._release(_Prefilled(handle, began))
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
            self._log_send(context, engine, began, 'prefill', failure.detail)
            return _RoundResult(False, failure.detail, engine.instance)
        self._placement.report(reservation, 'read')
        self._telemetry.count_send('prefill', True)
        self._log_send(context, engine, began, 'prefill', 'ok')
        engine_limits = context.matched.service.engine
        hold_seconds = engine_limits.kv_hold_seconds if engine_limits else 0.0
        expires_at = (
            self._app.clock.monotonic() + hold_seconds * HOLD_REUSE_SHARE
        )
        return _Prefilled(result.ok, expires_at)

    def _send(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        prepared: _Prepared,
    ) -> _Run:
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
        return _Run(
            prepared,
            request_context.UpstreamRun(prepared.engine),
            self._app.clock.monotonic(),
            asyncio.create_task(call),
        )

    def _end(self, run: _Run, event: str) -> None:
        """Close a run, and report its end to the home."""
        run.pending.cancel()
        if not run.pending.done() or run.pending.cancelled():
            self._release(run.prepared.prefilled)
        elif run.pending.exception() is None and run.pending.result().is_ok():
            run.pending.result().ok.close()
        self._placement.report(run.prepared.reservation, event)

    async def _follow(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        run: _Run,
        excluded: tuple[str, ...],
    ) -> _RoundResult:
        """Pass on the answer of a run.

        While its engine is silent, another one is sought if the request may
        run once more. The run goes on until that engine has accepted it.
        """
        engine = run.prepared.engine
        context.engine_run = run.progress
        began_after = parser.last
        result = _RoundResult(False, 'silent')
        search = failover.Failover(
            SILENCE_SECONDS,
            lambda: self._find_replacement(context, parser, run, excluded),
            lambda replacement: self._drop(context, replacement),
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
            self._end(run, 'whole' if result.is_complete else 'ended')

    async def _find_replacement(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        run: _Run,
        excluded: tuple[str, ...],
    ) -> _Run | None:
        """Send a request to another engine as its own one is silent.

        Returns
        -------
        _Run or None
            A run that was accepted or has not been answered yet; None if the
            present run is all that there is.
        """
        silent = run.prepared.engine.instance
        stage, upstream = context.stage, context.upstream
        self._app.events.add(
            'request.silent',
            request=context.request.request_id,
            upstream=silent,
            last=parser.last,
            stage=stage,
        )
        if not (
            self._may_resume(context) and await self._is_begin_known(context)
        ):
            return None
        run.progress.is_suspected = True
        self._placement.report(run.prepared.reservation, 'silent', silent)
        replacement: _Run | None = None
        try:
            replacement = await self._send_elsewhere(
                context, parser, (*excluded, silent)
            )
        except request_context.RequestError as error:
            self._app.events.add(
                'request.not_moved',
                request=context.request.request_id,
                why=error.problem.message,
            )
        except Exception as error:  # noqa: BLE001 - the run goes on
            self._app.events.add(
                'request.fault',
                request=context.request.request_id,
                error=repr(error),
            )
        finally:
            if replacement is None:
                context.stage, context.upstream = stage, upstream
        return replacement

    async def _send_elsewhere(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        excluded: tuple[str, ...],
    ) -> _Run | None:
        """Send a request to another engine; return the run unless it fails."""
        reservation = await self._place(context, excluded, False)
        if isinstance(reservation, jobs.Refusal):
            return None
        replacement: _Run | None = None
        is_taken = False
        try:
            prepared = await self._prepare(context, reservation, None)
            if isinstance(prepared, _RoundResult):
                self._release(prepared.prefilled)
                return None
            replacement = self._send(context, parser, prepared)
            await asyncio.wait(
                (replacement.pending,), timeout=HANDOVER_TIMEOUT_SECONDS
            )
            is_taken = not replacement.pending.done() or _is_accepted(
                replacement.pending.result()
            )
            return replacement if is_taken else None
        finally:
            if replacement is None:
                self._placement.report(reservation, 'ended')
            elif not is_taken:
                self._drop(context, replacement)

    def _drop(
        self, context: request_context.RequestContext, run: _Run
    ) -> None:
        """End a run that is not followed."""
        if run.pending.done() and run.pending.result().is_error():
            failed = self._handle_decode_failure(
                context, run, run.pending.result().error
            )
            self._release(failed.prefilled)
            if failed.is_crash:
                self._quarantine.record_broken(context, run.progress)
        else:
            self._log_send(
                context, run.prepared.engine, run.began, 'decode', 'abandoned'
            )
        self._end(run, 'ended')

    def _clear_suspicion(self, run: _Run) -> None:
        if run.progress.is_suspected:
            run.progress.is_suspected = False
            self._placement.report(
                run.prepared.reservation,
                'spoke',
                run.prepared.engine.instance,
            )

    async def _is_begin_known(
        self, context: request_context.RequestContext
    ) -> bool:
        """Return whether it is certain which version began the stream."""
        begun = context.begun
        return begun is None or await self._process_checks.has_begun(
            begun.process, begun.engine.version
        )

    def _may_resume(self, context: request_context.RequestContext) -> bool:
        route = context.matched.route
        return (
            route.retry_policy is model.RetryPolicy.RESUME
            and context.run_count < route.attempts
        )

    async def _receive(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        run: _Run,
        search: failover.Failover[_Run],
    ) -> _RoundResult:
        """Wait for the head of a run's answer, and pass the answer on."""
        engine = run.prepared.engine
        result = await run.pending
        search.end_wait()
        if result.is_error():
            return self._handle_decode_failure(context, run, result.error)
        self._telemetry.count_send('decode', True)
        answer = result.ok
        if answer.status != 200 or not answer.is_genuine:
            return await self._forward_failure(
                context, engine, answer, run.began
            )
        return await self._stream(context, parser, run, answer, search)

    def _handle_decode_failure(
        self,
        context: request_context.RequestContext,
        run: _Run,
        failure: upstreams.Failure,
    ) -> _RoundResult:
        reservation, engine, prefilled = run.prepared
        self._telemetry.count_send('decode', False)
        self._log_send(context, engine, run.began, 'decode', failure.detail)
        instance = engine.instance
        if failure.fault is upstreams.Fault.BROKEN:
            self._release(prefilled)
            self._placement.report(reservation, 'silent', instance)
            is_crash = not failure.is_alive
            return _RoundResult(False, failure.detail, instance, is_crash)
        context.run_count -= 1
        if failure.fault is upstreams.Fault.NOT_SENT:
            context.reached_count -= 1
            self._placement.report(reservation, 'silent', instance)
            return _RoundResult(
                False, failure.detail, instance, prefilled=prefilled
            )
        if failure.misdirected:
            # Another engine has its address: it restarted, and the store
            # does not list the new instance yet.
            self._placement.report(reservation, 'silent', instance)
            return _RoundResult(
                False, failure.detail, instance, prefilled=prefilled
            )
        # The engine is full, or the prompt is no longer held at the prefill
        # engine; a refusal does not say which. If a second decode engine
        # refuses, the prompt is taken as gone.
        self._placement.report(reservation, 'full', instance)
        if reservation.grant.prefill:
            return _RoundResult(
                False, failure.detail, instance, prefilled=prefilled
            )
        self._release(prefilled)
        return _RoundResult(False, failure.detail)

    async def _forward_failure(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        answer: upstreams.Answer,
        began: float,
    ) -> _RoundResult:
        """Pass an engine's error answer on, unless a retry is allowed."""
        self._log_send(context, engine, began, 'decode', str(answer.status))
        reason = f'status {answer.status}'
        if context.exchange.status or not answer.is_genuine:
            return _RoundResult(False, reason, engine.instance)
        if self._may_retry(context):
            return _RoundResult(False, reason, engine.instance)
        if answer.status in problems.NOT_RUN_STATUSES:
            # The caller would take it for a promise.
            reason += ', but the request may have run'
            return _RoundResult(False, reason, engine.instance)
        try:
            body = await answer.read(event_stream.MAX_EVENT_BYTES)
        except connections.UpstreamError as error:
            return _RoundResult(False, error.detail, engine.instance)
        await context.exchange.answer(answer.status, answer.headers, body)
        return _RoundResult(True)

    async def _stream(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        run: _Run,
        answer: upstreams.Answer,
        search: failover.Failover[_Run],
    ) -> _RoundResult:
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
                self._clear_suspicion(run)
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
            return _RoundResult(True)
        reason = reason or 'ended within an event'
        self._log_stream(context, engine, began, resumed_after, parser, reason)
        instance = engine.instance
        self._placement.report(run.prepared.reservation, 'silent', instance)
        parser.discard_incomplete()
        return _RoundResult(False, reason, instance, is_crash)

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
        if configuration is None or not self._placement.has_strict_ranks:
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

    def _release(self, prefilled: _Prefilled | None) -> None:
        if prefilled is None or self._permits.is_cold(
            prefilled.handle.upstream
        ):
            # A cold engine frees it when its hold time is over.
            return
        self._app.spawn(
            self.name, 'release', self._release_handle(prefilled.handle)
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

    def _log_send(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        began: float,
        stage: str,
        result: str,
    ) -> None:
        now = self._app.clock.monotonic()
        self._app.events.add(
            'request.sent',
            request=context.request.request_id,
            upstream=engine.instance,
            stage=stage,
            seconds=f'{now - began:.3f}',
            result=result,
        )

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


def _is_accepted(
    result: Result[upstreams.Answer, upstreams.Failure],
) -> bool:
    return result.is_ok() and result.ok.status == 200 and result.ok.is_genuine
