"""Requests of engines: room, prefill, decode, and the stream to the caller."""

import asyncio
from typing import NamedTuple

from corianderspar import kernel
from corianderspar.router import connections
from corianderspar.router import event_stream
from corianderspar.router import model
from corianderspar.router import placement
from corianderspar.router import poison
from corianderspar.router import quarantine
from corianderspar.router import request_context
from corianderspar.router import retries
from corianderspar.router import scheduler
from corianderspar.router import store_view
from corianderspar.router import telemetry
from corianderspar.router import upstreams

ROUNDS_MOST = 4  # of room, prefill and decode for one request
PREFILL_SECONDS = 1.2  # queue of 0.3 s, 0.2 s of reading, and slow engines
SILENT_SECONDS = 1.2  # between events before a stream goes on elsewhere
LEAVING_SECONDS = 1.0  # that a request may wait at a daemon that is leaving
HOLD_SHARE = 0.6  # of the time a prompt is kept, for another try to fetch it
RELEASE_SECONDS = 1.0  # for an engine to free a prompt


class _Kept(NamedTuple):
    """A prompt that was read and has not been taken yet.

    Attributes
    ----------
    handle : Handle
        Where it is.
    until : float
        Monotonic seconds until which another decode engine may take it.
    """

    handle: upstreams.PrefillHandle
    until: float


class _Round(NamedTuple):
    """How one round ended.

    Attributes
    ----------
    is_done : bool
        Whether the caller has its whole answer.
    why : str
        Otherwise, for the log and the caller.
    failed : str
        Instance that the next round leaves out; empty for none.
    crashed : bool
        Whether the engine broke off while it had the request.
    kept : _Kept or None
        A prompt for the next round.
    is_last : bool
        Whether no other round may follow.
    """

    is_done: bool
    why: str = ''
    failed: str = ''
    crashed: bool = False
    kept: _Kept | None = None
    is_last: bool = False


_NO_BUDGET = _Round(False, 'no budget for another send', is_last=True)


class EngineCalls:
    """The service ``engine_calls``.

    Parameters
    ----------
    calls : UpstreamCalls
        To the engines.
    """

    name = 'engine_calls'
    requires: tuple[str, ...] = (
        'beliefs',
        'placement',
        'quarantine',
        'retries',
        'telemetry',
    )

    def __init__(self, calls: upstreams.UpstreamCalls) -> None:
        self._calls = calls

    async def start(self, app: kernel.Application) -> None:
        """Find the parts it uses."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._placement = app.find('placement', placement.Placement)
        self._quarantine = app.find('quarantine', quarantine.Quarantine)
        self._retries = app.find('retries', retries.RetryBudgets)
        self._telemetry = app.find('telemetry', telemetry.Telemetry)

    async def stop(self) -> None:
        """Nothing to hand on."""

    async def answer(self, context: request_context.RequestContext) -> None:
        """Get the answer and pass it on as it comes.

        Raises
        ------
        RequestError
            If there is none. Where the answer had begun, it is left
            without its end.
        """
        request = context.request
        mark = poison.request_fingerprint(request, context.account)
        self._quarantine.check(context, mark)
        self._retries.deposit(context.matched.service.name)
        reader = event_stream.EventReader(request.after_event)
        excluded: tuple[str, ...] = ()
        ended = _Round(False)
        for number in range(ROUNDS_MOST):
            if number and not self._may_go_on(context):
                break
            kept = self._usable(ended.kept)
            room: placement.HeldReservation | scheduler.Refusal | None = None
            try:
                room = await self._room(context, excluded, kept is not None)
            finally:
                if not isinstance(room, placement.HeldReservation):
                    self._release(kept)
            if isinstance(room, scheduler.Refusal):
                raise context.refused('no_room', room.reason, room.retry_after)
            ended = _Round(False)
            try:
                ended = await self._round(context, reader, room, kept)
            finally:
                event = 'whole' if ended.is_done else 'ended'
                self._placement.report(room, event)
            if ended.is_done:
                self._quarantine.record_success(mark)
                return
            if ended.failed:
                excluded = (*excluded, ended.failed)
            if ended.crashed:
                self._quarantine.record_crash(context, mark)
            if ended.is_last:
                break
        self._release(ended.kept)
        raise context.refused('engines_failed', ended.why)

    def _usable(self, kept: _Kept | None) -> _Kept | None:
        if kept is None or self._app.clock.monotonic() < kept.until:
            return kept
        self._release(kept)
        return None

    def _may_go_on(self, context: request_context.RequestContext) -> bool:
        route = context.matched.route
        if (
            context.ran_on
            and route.retry_policy is not model.RetryPolicy.RESUME
        ):
            return False
        return context.ran_on < route.attempts

    async def _room(
        self,
        context: request_context.RequestContext,
        excluded: tuple[str, ...],
        is_read: bool,
    ) -> placement.HeldReservation | scheduler.Refusal:
        now = self._app.clock.monotonic()
        sizes = context.request.token_counts or model.TokenCounts(0, 0, 0)
        context.stage = 'waiting for room'
        route = context.matched.route
        patience = context.remaining(now)
        objective = context.arrived + route.objective - now
        has_begun = context.exchange.status != 0
        if has_begun:
            # Without room the answer is lost: it goes before new ones for as
            # long as its caller waits for the next event.
            patience = objective = min(patience, route.event_timeout)
        else:
            patience = min(
                patience, context.arrived + route.event_timeout - now
            )
        if context.exchange.closing and not has_begun:
            patience = min(patience, LEAVING_SECONDS)
        room = await self._placement.acquire(
            context.matched.service.name,
            (sizes.prompt, sizes.expected_output),
            context.priority,
            objective,
            patience,
            excluded,
            is_read,
            context.has_returned,
            has_begun,
        )
        waited = self._app.clock.monotonic() - now
        if isinstance(room, scheduler.Refusal):
            self._app.events.add(
                'request.no_room',
                request=context.request.request_id,
                why=room.reason,
                come_back=f'{room.retry_after:.2f}',
                waited=f'{waited:.3f}',
            )
        else:
            self._app.events.add(
                'request.placed',
                request=context.request.request_id,
                prefill=room.grant.prefill or '-',
                decode=room.grant.decode,
                home=room.home,
                prompt=sizes.prompt,
                expected=sizes.expected_output,
                most=sizes.max_output,
                waited=f'{waited:.3f}',
                store_age=f'{self._store_view.staleness():.2f}',
            )
        return room

    async def _round(
        self,
        context: request_context.RequestContext,
        reader: event_stream.EventReader,
        room: placement.HeldReservation,
        kept: _Kept | None,
    ) -> _Round:
        by_instance = self._store_view.upstreams_by_instance
        decode = by_instance.get(room.grant.decode)
        if decode is None:
            why = 'decode engine unknown'
            return _Round(False, why, room.grant.decode, kept=kept)
        if kept is None and room.grant.prefill:
            prefill = by_instance.get(room.grant.prefill)
            if prefill is None:
                why = 'prefill engine unknown'
                return _Round(False, why, room.grant.prefill)
            unreached = await self._reach(context, room, decode)
            if unreached is not None:
                return unreached
            found = await self._prefill(context, room, prefill)
            if isinstance(found, _Round):
                return found
            kept = found
        if context.reached and not await self._extra(context):
            self._release(kept)
            return _NO_BUDGET
        return await self._decode(context, reader, room, decode, kept)

    async def _reach(
        self,
        context: request_context.RequestContext,
        room: placement.HeldReservation,
        engine: model.Upstream,
    ) -> _Round | None:
        """Connect to the decode engine before a prompt is read for it."""
        began = self._app.clock.monotonic()
        result = await self._calls.connect(engine)
        if result.is_ok():
            return None
        why = result.error.detail
        self._placement.report(room, 'silent', engine.instance)
        self._log_send(context, engine, began, 'connect', why)
        return _Round(False, why, engine.instance)

    async def _prefill(
        self,
        context: request_context.RequestContext,
        room: placement.HeldReservation,
        engine: model.Upstream,
    ) -> _Kept | _Round:
        if context.reads and not await self._extra(context):
            return _NO_BUDGET
        context.reads += 1
        context.stage = 'prefill'
        context.upstream = engine.instance
        began = self._app.clock.monotonic()
        seconds = min(context.remaining(began), PREFILL_SECONDS)
        try:
            async with asyncio.timeout(max(seconds, 0.0)):
                result = await self._calls.prefill(
                    engine, context.request, self._options(context, None)
                )
        except TimeoutError:
            self._placement.report(room, 'silent', engine.instance)
            self._telemetry.count_send('prefill', False)
            self._log_send(context, engine, began, 'prefill', 'silent')
            return _Round(False, 'prefill silent', engine.instance)
        if result.is_error():
            failure = result.error
            if failure.fault is upstreams.Fault.NOT_SENT:
                context.reads -= 1
            if failure.misdirected or (
                failure.fault is not upstreams.Fault.REFUSED
            ):
                self._placement.report(room, 'silent', engine.instance)
            self._telemetry.count_send('prefill', False)
            self._log_send(context, engine, began, 'prefill', failure.detail)
            return _Round(False, failure.detail, engine.instance)
        self._placement.report(room, 'read')
        self._telemetry.count_send('prefill', True)
        self._log_send(context, engine, began, 'prefill', 'ok')
        limits = context.matched.service.engine
        hold = limits.kv_hold_seconds if limits else 0.0
        until = self._app.clock.monotonic() + hold * HOLD_SHARE
        return _Kept(result.ok, until)

    async def _decode(
        self,
        context: request_context.RequestContext,
        reader: event_stream.EventReader,
        room: placement.HeldReservation,
        engine: model.Upstream,
        kept: _Kept | None,
    ) -> _Round:
        context.stage = 'decode'
        context.upstream = engine.instance
        context.sends += 1
        context.reached += 1
        began = self._app.clock.monotonic()
        may_switch = (
            context.matched.route.retry_policy is model.RetryPolicy.RESUME
            and context.ran_on + 1 < context.matched.route.attempts
        )
        limit = SILENT_SECONDS if may_switch else context.remaining(began)
        # Counted before the send: a caller that leaves ends it anywhere.
        context.ran_on += 1
        is_open = True
        try:
            async with asyncio.timeout(max(limit, 0.0)):
                result = await self._calls.run(
                    engine,
                    context.request,
                    self._options(context, reader.last),
                    kept.handle if kept else None,
                )
            is_open = False
        except TimeoutError:
            self._placement.report(room, 'silent', engine.instance)
            self._telemetry.count_send('decode', False)
            self._log_send(context, engine, began, 'decode', 'silent')
            return _Round(False, 'decode silent', engine.instance)
        finally:
            if is_open:
                self._release(kept)
        if result.is_error():
            return self._decode_failed(
                context, room, engine, result.error, began, kept
            )
        self._telemetry.count_send('decode', True)
        answer = result.ok
        try:
            if answer.status != 200 or not answer.is_genuine:
                return await self._pass_failure(context, engine, answer, began)
            return await self._relay(context, reader, room, answer, limit)
        finally:
            answer.close()

    def _decode_failed(
        self,
        context: request_context.RequestContext,
        room: placement.HeldReservation,
        engine: model.Upstream,
        failure: upstreams.Failure,
        began: float,
        kept: _Kept | None,
    ) -> _Round:
        self._telemetry.count_send('decode', False)
        self._log_send(context, engine, began, 'decode', failure.detail)
        name = engine.instance
        if failure.fault is upstreams.Fault.BROKEN:
            self._release(kept)
            self._placement.report(room, 'silent', name)
            return _Round(False, failure.detail, name, crashed=True)
        context.ran_on -= 1
        if failure.fault is upstreams.Fault.NOT_SENT:
            context.reached -= 1
            self._placement.report(room, 'silent', name)
            return _Round(False, failure.detail, name, kept=kept)
        if failure.misdirected:
            # Another engine has its address: it started anew, and the store
            # does not say so yet.
            self._placement.report(room, 'silent', name)
            return _Round(False, failure.detail, name, kept=kept)
        # Full, or the prompt is not there any more: which one is not said.
        # A second refusal elsewhere means the latter.
        self._placement.report(room, 'full', name)
        if room.grant.prefill:
            return _Round(False, failure.detail, name, kept=kept)
        self._release(kept)
        return _Round(False, failure.detail)

    async def _pass_failure(
        self,
        context: request_context.RequestContext,
        engine: model.Upstream,
        answer: upstreams.Answer,
        began: float,
    ) -> _Round:
        """Pass on an engine's own failure, unless another may do better."""
        self._log_send(context, engine, began, 'decode', str(answer.status))
        why = f'status {answer.status}'
        if context.exchange.status or not answer.is_genuine:
            return _Round(False, why, engine.instance)
        if self._may_go_on(context):
            return _Round(False, why, engine.instance)
        try:
            body = b''.join([part async for part in answer.chunks()])
        except connections.UpstreamError as error:
            return _Round(False, error.detail, engine.instance)
        await context.exchange.answer(answer.status, answer.headers, body)
        return _Round(True)

    async def _relay(
        self,
        context: request_context.RequestContext,
        reader: event_stream.EventReader,
        room: placement.HeldReservation,
        answer: upstreams.Answer,
        limit: float,
    ) -> _Round:
        """Pass events on as they come."""
        engine = room.grant.decode
        began = self._app.clock.monotonic()
        first = reader.last
        context.stage = 'streaming'
        chunks = answer.chunks()
        why = ''
        crashed = False
        try:
            while True:
                async with asyncio.timeout(max(limit, 0.0)):
                    part = await anext(chunks, None)
                if part is None:
                    break
                pieces = reader.feed(part)
                if not pieces:
                    continue
                if not context.exchange.status:
                    now = self._app.clock.monotonic()
                    self._telemetry.observe_first_event(now - context.arrived)
                    await context.exchange.begin(200, answer.headers)
                content = b''.join(piece.content for piece in pieces)
                await context.exchange.write(content)
        except connections.UpstreamError as error:
            why = error.detail
            crashed = True
        except event_stream.StreamError as error:
            why = str(error)
        except TimeoutError:
            why = f'no event for {limit:.1f} s'
        if not why and reader.is_between_events and context.exchange.status:
            await context.exchange.write(b'', more=False)
            self._log_stream(context, engine, began, first, reader, 'whole')
            return _Round(True)
        why = why or 'ended within an event'
        self._log_stream(context, engine, began, first, reader, why)
        self._placement.report(room, 'silent', engine)
        reader.start_anew()
        return _Round(False, why, engine, crashed)

    def _options(
        self, context: request_context.RequestContext, after_event: int | None
    ) -> upstreams.CallOptions:
        now = self._app.clock.monotonic()
        return upstreams.CallOptions(
            context.account,
            context.remaining(now),
            context.priority,
            after_event,
        )

    async def _extra(self, context: request_context.RequestContext) -> bool:
        return await self._retries.withdraw(
            context.matched.service.name, context.request.request_id
        )

    def _release(self, kept: _Kept | None) -> None:
        if kept is None:
            return
        self._app.spawn(self.name, 'release', self._free(kept.handle))

    async def _free(self, handle: upstreams.PrefillHandle) -> None:
        try:
            async with asyncio.timeout(RELEASE_SECONDS):
                await self._calls.release(handle)
        except TimeoutError:
            # The engine drops it by itself soon after.
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
        engine: str,
        began: float,
        first: int | None,
        reader: event_stream.EventReader,
        result: str,
    ) -> None:
        now = self._app.clock.monotonic()
        self._app.events.add(
            'request.streamed',
            request=context.request.request_id,
            upstream=engine,
            after=first,
            last=reader.last,
            seconds=f'{now - began:.3f}',
            result=result,
        )
