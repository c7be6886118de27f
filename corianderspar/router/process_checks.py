"""Whether an engine still is the process that the store lists.

An engine may return under its instance at another software version, and take
requests before the store lists its new process. What the answer of a stream
says does not tell the two apart, but the engine's report does.

The processes of an instance follow each other, and each connection leads to
one of them. A stream that was sent when a process was listed, over a
connection that was open before that process reported, is therefore a stream
of that process. So one report confirms all streams of an engine that began
before it, and takes nothing from the time to their first event.

Streams are checked where versions are mixed or the state is old. There, one
that nobody has confirmed may go on only once the process that is listed has
reported. The engine that is to go on with a stream is asked everywhere, as it
may be the first one of a new version.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import kernel
from corianderspar.router import model
from corianderspar.router import store_view
from corianderspar.router import upstream_permits
from corianderspar.router import upstreams

REPORT_TIMEOUT_SECONDS = 0.3  # for an engine to tell which process it is
CHECK_DELAY_SECONDS = 0.1  # in which streams are gathered for one report
RETRY_SECONDS = 1.0  # after a report that did not come
# After two versions of a service were registered, an engine of the one that
# is gone may return.
MIXED_SECONDS = 30.0


class Process(NamedTuple):
    """A process that began a stream, as far as that is known.

    Attributes
    ----------
    instance : str
        Of the engine; empty if the process was confirmed.
    started_ms : int
        Its start as it was listed, as in `Upstream`.
    must_report : bool
        Whether another process may have begun the stream unless this one
        reports.
    """

    instance: str = ''
    started_ms: int = 0
    must_report: bool = False


CONFIRMED = Process()


class BegunStream:
    """A stream that began at an engine.

    Attributes
    ----------
    engine : Upstream
        As it was listed when the stream was sent.
    connected_at : float
        Seconds of the event loop at which its connection was open.
    process : Process
        What is known of the process that began it.
    """

    def __init__(
        self, engine: model.Upstream, connected_at: float, must_report: bool
    ) -> None:
        self.engine = engine
        self.connected_at = connected_at
        self.process = Process(engine.instance, engine.started_ms, must_report)


class ProcessChecks:
    """The service ``process_checks``.

    Parameters
    ----------
    calls : UpstreamCalls
        The client for the engines.
    """

    name = 'process_checks'
    requires: tuple[str, ...] = ('beliefs', 'permits')

    def __init__(self, calls: upstreams.UpstreamCalls) -> None:
        self._calls = calls
        self._versions_by_service: dict[str, set[str]] = {}
        self._mixed_at_by_service: dict[str, float] = {}
        # Times of the event loop at which a report was asked for that named
        # the listed process.
        self._reported_at: dict[tuple[str, int], float] = {}
        self._unconfirmed: dict[tuple[str, int], set[BegunStream]] = {}
        self._running_reports: dict[
            tuple[str, int], asyncio.Task[Result[int, str]]
        ] = {}

    async def start(self, app: kernel.Application) -> None:
        """Begin to follow the registrations."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._permits = app.find('permits', upstream_permits.UpstreamPermits)
        self._store_view.on_upstreams_change.append(self._on_upstreams_changed)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def may_be_replaced(self, engine: model.Upstream) -> bool:
        """Return whether another version may run where an engine did."""
        if self._store_view.staleness() > store_view.STALE_SECONDS:
            return True
        if len(self._versions_by_service.get(engine.service, ())) > 1:
            return True
        mixed_at = self._mixed_at_by_service.get(engine.service)
        now = self._app.clock.monotonic()
        return mixed_at is not None and now - mixed_at < MIXED_SECONDS

    async def refusal_reason(self, engine: model.Upstream) -> str:
        """Return why a stream may not go on at an engine; or empty.

        Where versions are not mixed, an engine that does not report is taken
        for the listed process.
        """
        return await self._doubt(
            engine, self.may_be_replaced(engine), self._share_report
        )

    async def _doubt(
        self,
        engine: model.Upstream,
        must_report: bool,
        report: Callable[[model.Upstream], Awaitable[Result[int, str]]],
    ) -> str:
        """Return why an engine may not be the listed process; or empty."""
        if not must_report and self._permits.is_cold(engine):
            return ''  # a report would take the place of a request
        now = self._app.clock.monotonic()
        if not await self._permits.may_send(engine, now, is_counted=False):
            return 'it is cold' if must_report else ''
        found = await report(engine)
        if found.is_error():
            return found.error if must_report else ''
        if found.ok != engine.started_ms:
            return _other_process(engine, found.ok)
        return ''

    def begin(
        self, engine: model.Upstream, connected_at: float
    ) -> BegunStream:
        """Follow a stream that begins, until `end`.

        Parameters
        ----------
        engine : Upstream
            Where it begins, as it was listed when the stream was sent.
        connected_at : float
            Seconds of the event loop at which its connection was open.
        """
        must_report = bool(engine.started_ms) and self.may_be_replaced(engine)
        stream = BegunStream(engine, connected_at, must_report)
        if not must_report:
            return stream
        key = _key(engine)
        if self._reported_at.get(key, float('-inf')) >= connected_at:
            stream.process = CONFIRMED
        elif key in self._unconfirmed:
            self._unconfirmed[key].add(stream)
        else:
            self._unconfirmed[key] = {stream}
            self._app.spawn(self.name, 'check', self._check(engine))
        return stream

    def end(self, stream: BegunStream) -> None:
        """Follow a stream no longer."""
        unconfirmed = self._unconfirmed.get(_key(stream.engine))
        if unconfirmed is not None:
            unconfirmed.discard(stream)

    def is_doubtful(self, process: Process, version: str) -> bool:
        """Return whether another version may have begun a stream.

        Parameters
        ----------
        process : Process
            What is known of the process that began it.
        version : str
            The version that was listed.
        """
        if not process.instance or process.must_report:
            return process.must_report
        listed = self._listed(process)
        return (
            listed is not None
            and listed.started_ms != process.started_ms
            and listed.version != version
        )

    async def has_begun(self, process: Process, version: str) -> bool:
        """Return whether it is certain which version began a stream.

        The parameters are those of `is_doubtful`.
        """
        if not self.is_doubtful(process, version):
            return True
        listed = self._listed(process)
        reason = 'another process is listed'
        if listed is None:
            reason = 'it is not listed'
        elif listed.started_ms == process.started_ms:
            reason = await self._doubt(listed, True, self._report)
        if reason:
            self._app.events.add(
                'stream.unconfirmed',
                upstream=process.instance,
                started_ms=process.started_ms,
                version=version,
                why=reason,
            )
        return not reason

    def _listed(self, process: Process) -> model.Upstream | None:
        return self._store_view.upstreams_by_instance.get(process.instance)

    async def _check(self, engine: model.Upstream) -> None:
        """Ask an engine for reports while streams of it are unconfirmed."""
        key = _key(engine)
        delay = CHECK_DELAY_SECONDS
        try:
            while True:
                await self._app.clock.sleep(delay)
                if not self._unconfirmed[key]:
                    return
                delay = RETRY_SECONDS
                if self._permits.is_cold(engine):
                    continue  # a report would take the place of a request
                found = await self._report(engine)
                if found.is_ok() and found.ok == engine.started_ms:
                    # Streams that began meanwhile may be left.
                    delay = CHECK_DELAY_SECONDS
                    continue
                self._app.events.add(
                    'upstream.unconfirmed',
                    instance=engine.instance,
                    version=engine.version,
                    streams=len(self._unconfirmed[key]),
                    why=found.error
                    if found.is_error()
                    else _other_process(engine, found.ok),
                )
                if found.is_ok():
                    return
        finally:
            del self._unconfirmed[key]

    async def _share_report(self, engine: model.Upstream) -> Result[int, str]:
        """Return what `_report` does, for all that wait at the same time.

        Many streams go on at one engine when another one has crashed.
        """
        key = _key(engine)
        running = self._running_reports.get(key)
        if running is None:
            running = self._app.spawn(
                self.name, 'report', self._report(engine)
            )
            self._running_reports[key] = running
            running.add_done_callback(
                lambda _done: self._running_reports.pop(key, None)
            )
        return await asyncio.shield(running)

    async def _report(self, engine: model.Upstream) -> Result[int, str]:
        """Return the start of the process that an engine is, or an error."""
        asked_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
                found = await self._calls.started_ms(engine)
        except TimeoutError:
            return Error('no report')
        if found.is_error():
            return Error(f'no report: {found.error.detail}')
        if found.ok == engine.started_ms:
            key = _key(engine)
            self._reported_at[key] = asked_at
            for stream in list(self._unconfirmed.get(key, ())):
                if stream.connected_at <= asked_at:
                    stream.process = CONFIRMED
                    self._unconfirmed[key].discard(stream)
        return Ok(found.ok)

    def _on_upstreams_changed(self) -> None:
        now = self._app.clock.monotonic()
        versions_by_service: dict[str, set[str]] = {}
        listed: set[tuple[str, int]] = set()
        for upstream in self._store_view.upstreams_by_instance.values():
            versions_by_service.setdefault(upstream.service, set()).add(
                upstream.version
            )
            listed.add(_key(upstream))
        for service, versions in self._versions_by_service.items():
            if len(versions) > 1 or versions != versions_by_service.get(
                service, versions
            ):
                self._mixed_at_by_service[service] = now
        self._versions_by_service = versions_by_service
        for key in self._reported_at.keys() - listed:
            del self._reported_at[key]


def _key(engine: model.Upstream) -> tuple[str, int]:
    return engine.instance, engine.started_ms


def _other_process(engine: model.Upstream, started_ms: int) -> str:
    return f'process of {started_ms}, expected {engine.started_ms}'
