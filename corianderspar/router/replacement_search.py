"""The search for an engine in the place of a silent one."""

import asyncio

from expression import Result

from corianderspar import kernel
from corianderspar.router import engine_runs
from corianderspar.router import engine_sends
from corianderspar.router import event_stream
from corianderspar.router import jobs
from corianderspar.router import placement
from corianderspar.router import quarantine
from corianderspar.router import request_context
from corianderspar.router import upstreams

# For the engine that replaces a silent one to accept the request. Both may run
# it meanwhile, which has to end within 0.4 s.
HANDOVER_TIMEOUT_SECONDS = 0.3


class ReplacementSearch:
    """Finds another engine for a request whose own one is silent.

    Parameters
    ----------
    app : Application
        Finds the services that it uses.
    sends : EngineSends
        Sends the request to the other engine.
    """

    def __init__(
        self, app: kernel.Application, sends: engine_sends.EngineSends
    ) -> None:
        self._app = app
        self._sends = sends
        self._placement = app.find('placement', placement.Placement)
        self._quarantine = app.find('quarantine', quarantine.Quarantine)

    async def find(
        self,
        context: request_context.RequestContext,
        parser: event_stream.EventParser,
        run: engine_runs.Run,
        excluded: tuple[str, ...],
    ) -> engine_runs.Run | None:
        """Send a request to another engine as its own one is silent.

        Returns
        -------
        Run or None
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
            self._sends.may_resume(context)
            and await self._sends.is_begin_known(context)
        ):
            return None
        run.progress.is_suspected = True
        self._placement.report(run.prepared.reservation, 'silent', silent)
        replacement: engine_runs.Run | None = None
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
    ) -> engine_runs.Run | None:
        """Send a request to another engine; return the run unless it fails."""
        reservation = await self._sends.place(context, excluded, False)
        if isinstance(reservation, jobs.Refusal):
            return None
        replacement: engine_runs.Run | None = None
        is_taken = False
        try:
            prepared = await self._sends.prepare(context, reservation, None)
            if isinstance(prepared, engine_runs.RoundResult):
                self._sends.release(prepared.prefilled)
                return None
            replacement = self._sends.send(context, parser, prepared)
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
                self.drop(context, replacement)

    def drop(
        self, context: request_context.RequestContext, run: engine_runs.Run
    ) -> None:
        """End a run that is not followed."""
        if run.pending.done() and run.pending.result().is_error():
            failed = self._sends.handle_failure(
                context, run, run.pending.result().error
            )
            self._sends.release(failed.prefilled)
            if failed.is_crash:
                self._quarantine.record_broken(context, run.progress)
        else:
            self._sends.log_send(
                context, run.prepared.engine, run.began, 'decode', 'abandoned'
            )
        self._sends.end(run, 'ended')

    def clear_suspicion(self, run: engine_runs.Run) -> None:
        """Report that an engine was silent, and is no longer."""
        if run.progress.is_suspected:
            run.progress.is_suspected = False
            self._placement.report(
                run.prepared.reservation,
                'spoke',
                run.prepared.engine.instance,
            )


def _is_accepted(
    result: Result[upstreams.Answer, upstreams.Failure],
) -> bool:
    return result.is_ok() and result.ok.status == 200 and result.ok.is_genuine
