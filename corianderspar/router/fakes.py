"""In-memory implementations of the router's interfaces, for tests.

They stand for the platform's store, the upstreams and the callers.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import http_io
from corianderspar import problems
from corianderspar.router import connections
from corianderspar.router import model
from corianderspar.router import store
from corianderspar.router import upstreams

# Of an answer that an upstream begins, before the request crashes it.
POISON_SECONDS = 0.07
TRANSFER_PARTS = 5  # in which a configuration arrives
ENGINE_DOWN_SECONDS = 3.0  # from a crash until the engine is back


class _Write(NamedTuple):
    """A write to a `FakeStore`, and when it was made."""

    written_at: float
    change: store.Change


class FakeStore:
    """The platform's store; each VM reads it through a client of its own.

    Attributes
    ----------
    down : bool
        Whether all calls fail as unreachable.
    refused_vms : set of str
        VMs whose calls are refused.
    silent_vms : set of str
        VMs whose calls get no answer.
    transfer_seconds : float
        For which a configuration takes to arrive, in several parts.
    call_count : int
        Number of calls of all clients, including those that failed.
    era, revision : int
        Position of the last change.
    """

    def __init__(self) -> None:
        self.down = False
        self.refused_vms: set[str] = set()
        self.silent_vms: set[str] = set()
        self.transfer_seconds = 0.0
        self.call_count = 0
        self.era = 1
        self.revision = 1
        self._writes: list[_Write] = []
        self._oldest_kept = 1
        self._changed = asyncio.Event()

    def client(self, vm: str) -> 'FakeStoreClient':
        """Return the client of a VM."""
        return FakeStoreClient(self, vm)

    def publish(self, configuration: model.Configuration) -> None:
        """Write a configuration."""
        self._write(configuration=configuration)

    def register(self, upstream: model.Upstream) -> None:
        """Write a registration."""
        self._write(instance=upstream.instance, upstream=upstream)

    def remove(self, instance: str) -> None:
        """Remove a registration."""
        self._write(instance=instance)

    def evacuate(self, data_centre: str) -> None:
        """Write the evacuation of a data centre."""
        self._write(data_centre=data_centre)

    def take_back(self, data_centre: str) -> None:
        """Remove the evacuation of a data centre."""
        self._write(data_centre=data_centre, is_removed=True)

    def compact(self) -> None:
        """Drop the history; watches from an older revision then fail."""
        self._oldest_kept = self.revision + 1
        self.revision += 1
        self._notify_watchers()

    def return_from_copy(self, age: float) -> list[store.Change]:
        """Go back to the state of ``age`` seconds ago, in a new era.

        Returns
        -------
        list of Change
            What was lost, in the order in which it was written.
        """
        now = asyncio.get_running_loop().time()
        kept = [w for w in self._writes if w.written_at <= now - age]
        lost = self._writes[len(kept) :]
        self._writes = kept
        self.era += 1
        self.revision = kept[-1].change.revision if kept else 1
        self._oldest_kept = 1
        self._notify_watchers()
        return [write.change for write in lost]

    def write_again(self, change: store.Change) -> None:
        """Write what was lost; it gets a revision of the present era."""
        self._write(
            change.configuration,
            change.instance,
            change.upstream,
            change.data_centre,
            change.is_removed,
        )

    def snapshot(self) -> store.Changes:
        """Return the configuration and all registrations."""
        newest_by_key = {
            (w.change.instance, w.change.data_centre): w.change
            for w in self._writes
        }
        changes = tuple(
            change
            for change in newest_by_key.values()
            if change.upstream is not None
            or change.configuration is not None
            or (change.data_centre and not change.is_removed)
        )
        return store.Changes(self.revision, changes, self.era)

    def changes_since(
        self, revision: int
    ) -> Result[store.Changes, store.StoreError]:
        """Return the changes after a revision."""
        if revision + 1 < self._oldest_kept or revision > self.revision:
            return Error(store.StoreError('compacted', era=self.era))
        changes = tuple(
            w.change for w in self._writes if w.change.revision > revision
        )
        return Ok(store.Changes(self.revision, changes, self.era))

    async def wait_for_change(self, timeout: float) -> None:
        """Return at the next change, or after ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return

    def _write(
        self,
        configuration: model.Configuration | None = None,
        instance: str = '',
        upstream: model.Upstream | None = None,
        data_centre: str = '',
        is_removed: bool = False,
    ) -> None:
        self.revision += 1
        change = store.Change(
            self.revision,
            configuration,
            instance,
            upstream,
            data_centre=data_centre,
            is_removed=is_removed,
        )
        self._writes.append(_Write(asyncio.get_running_loop().time(), change))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class FakeStoreClient:
    """One VM's client of a `FakeStore`; implements `store.StoreClient`."""

    def __init__(self, fake_store: FakeStore, vm: str) -> None:
        self._store = fake_store
        self._vm = vm

    async def read(
        self, _on_progress: store.ProgressHook | None = None
    ) -> Result[store.Changes, store.StoreError]:
        """Read the configuration and all registrations."""
        self._store.call_count += 1
        await self._wait_if_silent()
        return self._check_access() or Ok(self._store.snapshot())

    async def watch(
        self,
        revision: int,
        wait: float,
        on_progress: store.ProgressHook | None = None,
    ) -> Result[store.Changes, store.StoreError]:
        """Wait for changes after a revision, for ``wait`` seconds."""
        self._store.call_count += 1
        await self._wait_if_silent()
        error = self._check_access()
        if error is not None:
            return error
        changes = self._store.changes_since(revision)
        if changes.is_ok() and not changes.ok.changes:
            await self._store.wait_for_change(wait)
            await self._wait_if_silent()
            changes = self._store.changes_since(revision)
        if changes.is_ok():
            await self._transfer(changes.ok, on_progress)
        return self._check_access() or changes

    async def _transfer(
        self, found: store.Changes, on_progress: store.ProgressHook | None
    ) -> None:
        if all(change.configuration is None for change in found.changes):
            return
        for _part in range(TRANSFER_PARTS):
            await asyncio.sleep(self._store.transfer_seconds / TRANSFER_PARTS)
            if on_progress is not None:
                on_progress()

    async def _wait_if_silent(self) -> None:
        while self._vm in self._store.silent_vms:
            await self._store.wait_for_change(1.0)

    def _check_access(self) -> Result[store.Changes, store.StoreError] | None:
        fake_store = self._store
        if fake_store.down:
            return Error(store.StoreError('unreachable'))
        if self._vm in fake_store.refused_vms:
            return Error(store.StoreError('refused', era=fake_store.era))
        return None


class Behaviour(NamedTuple):
    """How an upstream handles requests.

    Attributes
    ----------
    delay : float
        Seconds until the answer begins, or until a prefill is done.
    status : int
        HTTP status of the answers.
    fault : Fault or None
        Why calls fail; None if they are answered.
    events : int
        Number of events in a stream.
    event_interval : float
        Seconds before each event.
    breaks_after : int or None
        Number of the event after which a stream breaks; None if it is whole.
    silent_after : int or None
        Number of the event after which a stream pauses once; None for no
        pause.
    silence : float
        Seconds of that pause.
    stray : bytes
        Sent without end instead of a break; empty for none.
    misdirected : bool
        Whether a failure says that another instance has the address.
    is_genuine : bool
        Whether its answers are proven to be its own.
    is_alive : bool
        Whether it still sends when its call fails or its stream breaks.
    connect_delay : float
        Seconds until a connection is made.
    accepts_connections : bool
        Whether connecting succeeds although requests are not sent, which is
        the fault `upstreams.Fault.NOT_SENT`.
    notice : Notice
        What each answer states about the upstream.
    is_framed : bool
        Whether an answer states its end; else it ends with the connection.
    """

    delay: float = 0.05
    status: int = 200
    fault: upstreams.Fault | None = None
    events: int = 5
    event_interval: float = 0.05
    breaks_after: int | None = None
    silent_after: int | None = None
    silence: float = 0.0
    stray: bytes = b''
    misdirected: bool = False
    is_genuine: bool = True
    is_alive: bool = False
    connect_delay: float = 0.0
    accepts_connections: bool = False
    notice: upstreams.Notice = upstreams.Notice()
    is_framed: bool = True


class RecordedCall(NamedTuple):
    """A call to an upstream, as the caller of the interface made it.

    Its kind is 'run', 'prefill' or 'decode'. ``vm`` is the VM that made it.
    """

    kind: str
    instance: str
    request: model.CallerRequest
    options: upstreams.CallOptions
    vm: str


class FakeUpstreams:
    """All upstreams; each VM calls them through a client of its own.

    Attributes
    ----------
    behaviours_by_instance : dict of str to Behaviour
        Behaviours that differ from the default.
    default_behaviour : Behaviour
        That of all other upstreams.
    calls : list of RecordedCall
        Calls of `run` and `prefill`, oldest first.
    released_handles : list of str
        Handles of the prefills that were released.
    open_answers : int
        Number of answers that have not been closed.
    read_answers : int
        Number of answers that were read whole.
    report_count : int
        Number of reports that were asked for.
    poison_parts : set of str
        Parts of prompts; an engine that begins an answer to a prompt with
        one of them crashes.
    poison_targets : set of str
        Targets of requests; an upstream that begins an answer to one of
        them crashes.
    is_prefill_poisoned : bool
        Whether such a request crashes prefill engines, too.
    crash_times : list of float
        When upstreams crashed, seconds of the event loop.
    versions_by_instance : dict of str to str
        Software versions that differ from those registered.
    started_ms_by_instance : dict of str to int
        Starts of processes that differ from those registered.
    down_seconds : float
        Time from a crash until the upstream is back as a new instance; it is
        registered under that name only then.

    Parameters
    ----------
    fake_store : FakeStore or None
        Where upstreams that crashed register again; without one they stay
        down.
    """

    def __init__(self, fake_store: FakeStore | None = None) -> None:
        self.poison_parts: set[str] = set()
        self.poison_targets: set[str] = set()
        self.is_prefill_poisoned = False
        self.crash_times: list[float] = []
        self.down_seconds = ENGINE_DOWN_SECONDS
        self._store = fake_store
        self._interrupted_by_instance: dict[str, asyncio.Event] = {}
        self._down_addresses: set[str] = set()
        self._ended_instances: set[str] = set()
        self._restarts: set[asyncio.Task[None]] = set()
        self.behaviours_by_instance: dict[str, Behaviour] = {}
        self.versions_by_instance: dict[str, str] = {}
        self.started_ms_by_instance: dict[str, int] = {}
        self.default_behaviour = Behaviour()
        self.calls: list[RecordedCall] = []
        self.released_handles: list[str] = []
        self.open_answers = 0
        self.read_answers = 0
        self.report_count = 0

    def client(self, vm: str) -> 'FakeUpstreamCalls':
        """Return the client of a VM."""
        return FakeUpstreamCalls(self, vm)

    def kinds_and_instances(self) -> list[tuple[str, str]]:
        """Return kind and instance of each call."""
        return [(call.kind, call.instance) for call in self.calls]

    def behaviour(self, upstream: model.Upstream) -> Behaviour:
        """Return the present behaviour of an upstream."""
        return self.behaviours_by_instance.get(
            upstream.instance, self.default_behaviour
        )

    def version(self, upstream: model.Upstream) -> str:
        """Return the software version that an upstream runs."""
        return self.versions_by_instance.get(
            upstream.instance, upstream.version
        )

    def is_down(self, upstream: model.Upstream) -> bool:
        """Return whether nothing listens at an upstream's address."""
        return upstream.address in self._down_addresses

    def is_ended(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream crashed; another may be there now."""
        return upstream.instance in self._ended_instances

    def is_poison(self, request: model.CallerRequest) -> bool:
        """Return whether a request crashes the upstream that answers it."""
        return (
            request.target in self.poison_targets
            or not self.poison_parts.isdisjoint(request.prompt_parts)
        )

    def replace(
        self, upstream: model.Upstream, returned: model.Upstream
    ) -> None:
        """End an upstream, which is back at once as another process.

        The new process has the same instance; it is not registered.
        """
        self.versions_by_instance[upstream.instance] = returned.version
        self.started_ms_by_instance[upstream.instance] = returned.started_ms
        self.reset(upstream)

    def reset(self, upstream: model.Upstream) -> None:
        """Break all connections to an upstream, which goes on running."""
        interrupted = self._interrupted_by_instance.pop(
            upstream.instance, None
        )
        if interrupted is not None:
            interrupted.set()

    def crash(self, upstream: model.Upstream) -> None:
        """End an upstream and what runs there; it is back after a while."""
        if self.is_ended(upstream):
            return
        self.crash_times.append(asyncio.get_running_loop().time())
        self._ended_instances.add(upstream.instance)
        self._down_addresses.add(upstream.address)
        self.reset(upstream)
        if self._store is not None:
            restart = asyncio.create_task(self._restart(self._store, upstream))
            self._restarts.add(restart)
            restart.add_done_callback(self._restarts.discard)

    async def is_interrupted(
        self, upstream: model.Upstream, seconds: float
    ) -> bool:
        """Wait; return early, with True, if the connections break."""
        if self.is_ended(upstream):
            return True
        interrupted = self._interrupted_by_instance.setdefault(
            upstream.instance, asyncio.Event()
        )
        try:
            async with asyncio.timeout(seconds):
                return await interrupted.wait()
        except TimeoutError:
            return False

    async def _restart(
        self, fake_store: FakeStore, upstream: model.Upstream
    ) -> None:
        await asyncio.sleep(self.down_seconds)
        name, _, number = upstream.instance.partition('+')
        self._down_addresses.remove(upstream.address)
        fake_store.remove(upstream.instance)
        fake_store.register(
            upstream._replace(instance=f'{name}+{int(number or 0) + 1}')
        )


class FakeUpstreamCalls:
    """One VM's calls to upstreams; implements `upstreams.UpstreamCalls`."""

    def __init__(self, fake_upstreams: FakeUpstreams, vm: str) -> None:
        self.on_notice: list[upstreams.NoticeHook] = []
        self._upstreams = fake_upstreams
        self._vm = vm

    async def connect(
        self, upstream: model.Upstream, timeout: float | None = None
    ) -> Result[None, upstreams.Failure]:
        """Connect; fail if the upstream accepts no connections."""
        behaviour = self._upstreams.behaviour(upstream)
        await asyncio.sleep(behaviour.connect_delay)
        is_unreachable = (
            behaviour.fault is upstreams.Fault.NOT_SENT
            and not behaviour.accepts_connections
        )
        if is_unreachable or self._upstreams.is_down(upstream):
            return Error(
                upstreams.Failure(
                    upstreams.Fault.NOT_SENT, 'connection refused'
                )
            )
        return Ok(None)

    async def started_ms(
        self, upstream: model.Upstream
    ) -> Result[int, upstreams.Failure]:
        """Return the start of the process that an upstream runs now."""
        self._upstreams.report_count += 1
        connected = await self.connect(upstream)
        if connected.is_error():
            return Error(connected.error)
        return Ok(
            self._upstreams.started_ms_by_instance.get(
                upstream.instance, upstream.started_ms
            )
        )

    async def run(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
        source: upstreams.PrefillHandle | None = None,
    ) -> Result[upstreams.Answer, upstreams.Failure]:
        """Run a request, or decode it from a prefill."""
        kind = 'run' if source is None else 'decode'
        behaviour, failure = await self._call(kind, upstream, request, options)
        if failure is not None:
            return Error(failure)
        return Ok(
            FakeAnswer(self._upstreams, behaviour, upstream, request, options)
        )

    async def prefill(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
    ) -> Result[upstreams.PrefillHandle, upstreams.Failure]:
        """Prefill a request."""
        _behaviour, failure = await self._call(
            'prefill', upstream, request, options
        )
        if failure is not None:
            return Error(failure)
        if self._upstreams.is_prefill_poisoned and self._upstreams.is_poison(
            request
        ):
            self._upstreams.crash(upstream)
            return Error(upstreams.Failure(upstreams.Fault.BROKEN, 'reset'))
        handle = f'{upstream.instance}/{request.request_id}'
        return Ok(upstreams.PrefillHandle(upstream, handle))

    async def release(self, handle: upstreams.PrefillHandle) -> None:
        """Release the KV cache memory of a prefill."""
        self._upstreams.released_handles.append(handle.handle)

    async def _call(
        self,
        kind: str,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
    ) -> tuple[Behaviour, upstreams.Failure | None]:
        """Record a call; return the behaviour, and a failure if it fails."""
        self._upstreams.calls.append(
            RecordedCall(kind, upstream.instance, request, options, self._vm)
        )
        behaviour = self._upstreams.behaviour(upstream)
        if (
            behaviour.fault is upstreams.Fault.NOT_SENT
            or self._upstreams.is_down(upstream)
        ):
            return behaviour, upstreams.Failure(
                upstreams.Fault.NOT_SENT, 'connection refused'
            )
        if self._upstreams.is_ended(upstream):
            return behaviour, upstreams.Failure(
                upstreams.Fault.REFUSED, 'another instance', True
            )
        if await self._upstreams.is_interrupted(upstream, behaviour.delay):
            return behaviour, upstreams.Failure(
                upstreams.Fault.BROKEN, 'reset'
            )
        for hook in self.on_notice:
            hook(upstream, behaviour.notice)
        if behaviour.fault is None:
            return behaviour, None
        return behaviour, upstreams.Failure(
            behaviour.fault,
            behaviour.fault.value,
            behaviour.misdirected,
            behaviour.is_alive,
        )


class FakeAnswer:
    """An answer of `FakeUpstreams`; implements `upstreams.Answer`."""

    def __init__(
        self,
        fake_upstreams: FakeUpstreams,
        behaviour: Behaviour,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
    ) -> None:
        self.status = behaviour.status
        self.is_genuine = behaviour.is_genuine
        self.is_framed = behaviour.is_framed
        self.connected_at = asyncio.get_running_loop().time()
        self.headers: http_io.Headers = (('served-by', upstream.instance),)
        self._upstreams = fake_upstreams
        self._behaviour = behaviour
        self._upstream = upstream
        self._request = request
        self._last_event = options.after_event or 0
        self._is_open = True
        fake_upstreams.open_answers += 1

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield events if the request has token counts, else a text."""
        if self._upstreams.is_poison(self._request):
            await self._wait(POISON_SECONDS)
            self._upstreams.crash(self._upstream)
            if self.is_framed:
                raise connections.UpstreamError('reset', sent=True)
            return
        if self._request.token_counts is None or self.status != 200:
            yield f'{self._request.request_id} {self._request.target}'.encode()
            return
        for number in range(self._last_event + 1, self._behaviour.events + 1):
            await self._wait(self._behaviour.event_interval)
            yield self._event(number)
            if number == self._behaviour.breaks_after:
                while self._behaviour.stray:
                    await self._wait(self._behaviour.event_interval)
                    yield self._behaviour.stray
                raise connections.UpstreamError(
                    'reset', sent=True, is_alive=self._behaviour.is_alive
                )
            if number == self._behaviour.silent_after:
                await self._wait(self._behaviour.silence)

    def _event(self, number: int) -> bytes:
        """Return an event; its data names the version, if there is one."""
        version = self._upstreams.version(self._upstream)
        data = f'{self._request.target} {version}'.rstrip()
        return f'id: {number}\ndata: {data}\n\n'.encode()

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body."""
        self._upstreams.read_answers += 1
        body = b''.join([part async for part in self.chunks()])
        if len(body) > max_bytes:
            raise connections.UpstreamError('body too long', sent=True)
        return body

    async def _wait(self, seconds: float) -> None:
        if await self._upstreams.is_interrupted(self._upstream, seconds):
            raise connections.UpstreamError('reset', sent=True)

    def close(self) -> None:
        """End the call; more calls of it do nothing."""
        if self._is_open:
            self._is_open = False
            self._upstreams.open_answers -= 1


class FakeCallerFormat:
    """Callers' HTTP format; implements `edge.CallerFormat`.

    The headers id, key, time, sizes and parts hold the request id, the API
    key, the timeout in seconds, the token counts and the parts of the prompt;
    after and begun_by hold the last event of a stream that is taken up, and
    the attempt that began it.
    """

    def read_head(
        self, exchange: http_io.Exchange
    ) -> Result[model.CallerRequest, problems.Problem]:
        """Decode a request's head."""
        by_name = dict(exchange.headers)
        token_counts = None
        if 'sizes' in by_name:
            prompt, max_output = by_name['sizes'].split(',')
            token_counts = model.TokenCounts(
                int(prompt), int(max_output), int(max_output)
            )
        return Ok(
            model.CallerRequest(
                by_name['id'],
                exchange.method,
                exchange.raw_path,
                by_name.get('host', ''),
                exchange.raw_path,
                (),
                by_name.get('key', ''),
                float(by_name.get('time', '10')),
                token_counts,
                int(by_name['after']) if 'after' in by_name else None,
                prompt_parts=tuple(by_name.get('parts', '').split(',')[:-1]),
                begun_by=by_name.get('begun_by', ''),
            )
        )

    def error_answer(
        self, request_id: str, problem: problems.Problem
    ) -> tuple[http_io.Headers, bytes]:
        """Return the headers and the body that report a problem."""
        headers = [('ran', problem.ran), ('id', request_id)]
        if problem.retry_after is not None:
            headers.append(('retry-after', str(problem.retry_after)))
        return tuple(headers), problem.code.encode()
