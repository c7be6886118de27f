"""In-memory twins of the router's seams: store, upstreams and callers."""

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


class FakeStore:
    """The store; `client` gives each VM its own view.

    Attributes
    ----------
    down : bool
        Whether it answers nobody.
    refused_vms : set of str
        VMs that it refuses.
    call_count : int
        Calls that reached it.
    """

    def __init__(self) -> None:
        self.down = False
        self.refused_vms: set[str] = set()
        self.call_count = 0
        self.revision = 1
        self._history: list[store.Change] = []
        self._kept_from = 1
        self._configuration: model.Configuration | None = None
        self._upstreams_by_instance: dict[str, model.Upstream] = {}
        self._change = asyncio.Event()

    def client(self, vm: str) -> 'FakeStoreClient':
        """Return what a VM reads it through."""
        return FakeStoreClient(self, vm)

    def publish(self, configuration: model.Configuration) -> None:
        """Write a configuration."""
        self._configuration = configuration
        self._write(configuration=configuration)

    def register(self, upstream: model.Upstream) -> None:
        """Write a registration."""
        self._upstreams_by_instance[upstream.instance] = upstream
        self._write(instance=upstream.instance, upstream=upstream)

    def remove(self, instance: str) -> None:
        """Remove a registration."""
        self._upstreams_by_instance.pop(instance, None)
        self._write(instance=instance)

    def compact(self) -> None:
        """Forget all changes; watches from before them fail."""
        self._history.clear()
        self._kept_from = self.revision + 1
        self.revision += 1
        self._wake()

    def snapshot(self) -> store.Changes:
        """Return everything."""
        found = [
            store.Change(self.revision, instance=name, upstream=upstream)
            for name, upstream in self._upstreams_by_instance.items()
        ]
        if self._configuration is not None:
            found.append(
                store.Change(self.revision, configuration=self._configuration)
            )
        return store.Changes(self.revision, tuple(found))

    def changes_since(
        self, revision: int
    ) -> Result[store.Changes, store.StoreError]:
        """Return what changed after a revision."""
        if revision + 1 < self._kept_from:
            return Error(store.StoreError('compacted'))
        found = [c for c in self._history if c.revision > revision]
        return Ok(store.Changes(self.revision, tuple(found)))

    async def wait_for_change(self, seconds: float) -> None:
        """Return at the next change, or after some time."""
        try:
            async with asyncio.timeout(seconds):
                await self._change.wait()
        except TimeoutError:
            return

    def _write(
        self,
        configuration: model.Configuration | None = None,
        instance: str = '',
        upstream: model.Upstream | None = None,
    ) -> None:
        self.revision += 1
        self._history.append(
            store.Change(self.revision, configuration, instance, upstream)
        )
        self._wake()

    def _wake(self) -> None:
        self._change.set()
        self._change = asyncio.Event()


class FakeStoreClient:
    """One VM's view of a `FakeStore`, as `store.StoreClient`."""

    def __init__(self, state: FakeStore, vm: str) -> None:
        self._state = state
        self._vm = vm

    async def read(self) -> Result[store.Changes, store.StoreError]:
        """Read everything."""
        self._state.call_count += 1
        return self._refusal() or Ok(self._state.snapshot())

    async def watch(
        self, revision: int, wait: float
    ) -> Result[store.Changes, store.StoreError]:
        """Wait for changes."""
        self._state.call_count += 1
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        found = self._state.changes_since(revision)
        if found.is_ok() and not found.ok.changes:
            await self._state.wait_for_change(wait)
            found = self._state.changes_since(revision)
        return self._refusal() or found

    def _refusal(self) -> Result[store.Changes, store.StoreError] | None:
        state = self._state
        if state.down:
            return Error(store.StoreError('unreachable'))
        if self._vm in state.refused_vms:
            return Error(store.StoreError('refused'))
        return None


class Behaviour(NamedTuple):
    """What an upstream does with requests.

    Attributes
    ----------
    delay : float
        Until it answers, or has read a prompt.
    status : int
        Of its answers.
    fault : Fault or None
        Set if it gives none.
    events : int
        Of a stream.
    event_interval : float
        Between them.
    breaks_after : int or None
        Number of the event after which it breaks off.
    misdirected : bool
        Whether it refuses since it is another instance.
    accepts_connections : bool
        Whether it takes connections, if it is reached no more when a
        request is sent.
    """

    delay: float = 0.05
    status: int = 200
    fault: upstreams.Fault | None = None
    events: int = 5
    event_interval: float = 0.05
    breaks_after: int | None = None
    misdirected: bool = False
    accepts_connections: bool = False


class RecordedCall(NamedTuple):
    """A call that reached an upstream."""

    kind: str
    instance: str
    request: model.CallerRequest
    options: upstreams.CallOptions


class FakeUpstreams:
    """All upstreams, as `upstreams.UpstreamCalls`.

    Attributes
    ----------
    behaviours_by_instance : dict of str to Behaviour
        Of those that differ from the default.
    calls : list of RecordedCall
        Calls in their order.
    released_handles : list of str
        Handles that were freed.
    open_answers : int
        Streams that have not ended.
    """

    def __init__(self) -> None:
        self.behaviours_by_instance: dict[str, Behaviour] = {}
        self.calls: list[RecordedCall] = []
        self.released_handles: list[str] = []
        self.open_answers = 0

    def kinds_and_instances(self) -> list[tuple[str, str]]:
        """Return kind and instance of each call."""
        return [(call.kind, call.instance) for call in self.calls]

    async def connect(
        self, upstream: model.Upstream
    ) -> Result[None, upstreams.Failure]:
        """Connect."""
        found = self._behaviour(upstream)
        is_gone = found.fault is upstreams.Fault.NOT_SENT
        if is_gone and not found.accepts_connections:
            return Error(
                upstreams.Failure(
                    upstreams.Fault.NOT_SENT, 'connection refused'
                )
            )
        return Ok(None)

    async def run(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
        source: upstreams.PrefillHandle | None = None,
    ) -> Result[upstreams.Answer, upstreams.Failure]:
        """Run a request."""
        kind = 'run' if source is None else 'decode'
        self.calls.append(
            RecordedCall(kind, upstream.instance, request, options)
        )
        found = self._behaviour(upstream)
        failure = await self._begin(found)
        if failure is not None:
            return Error(failure)
        return Ok(FakeAnswer(self, found, upstream, request, options))

    async def prefill(
        self,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
    ) -> Result[upstreams.PrefillHandle, upstreams.Failure]:
        """Read a prompt."""
        self.calls.append(
            RecordedCall('prefill', upstream.instance, request, options)
        )
        failure = await self._begin(self._behaviour(upstream))
        if failure is not None:
            return Error(failure)
        handle = f'{upstream.instance}/{request.request_id}'
        return Ok(upstreams.PrefillHandle(upstream, handle))

    async def release(self, handle: upstreams.PrefillHandle) -> None:
        """Free a prompt."""
        self.released_handles.append(handle.handle)

    def _behaviour(self, upstream: model.Upstream) -> Behaviour:
        return self.behaviours_by_instance.get(upstream.instance, Behaviour())

    async def _begin(self, found: Behaviour) -> upstreams.Failure | None:
        if found.fault is upstreams.Fault.NOT_SENT:
            return upstreams.Failure(found.fault, 'connection refused')
        await asyncio.sleep(found.delay)
        if found.fault is not None:
            return upstreams.Failure(
                found.fault, found.fault.value, found.misdirected
            )
        return None


class FakeAnswer:
    """An answer of a `FakeUpstreams`, as `upstreams.Answer`."""

    is_genuine = True

    def __init__(
        self,
        owner: FakeUpstreams,
        found: Behaviour,
        upstream: model.Upstream,
        request: model.CallerRequest,
        options: upstreams.CallOptions,
    ) -> None:
        self.status = found.status
        self.headers: http_io.Headers = (('served-by', upstream.instance),)
        self._owner = owner
        self._found = found
        self._upstream = upstream
        self._request = request
        self._after = options.after_event or 0
        self._is_open = True
        owner.open_answers += 1

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield a text, or events if the request has sizes."""
        if self._request.token_counts is None or self.status != 200:
            yield f'{self._request.request_id} {self._request.target}'.encode()
            return
        for number in range(self._after + 1, self._found.events + 1):
            await asyncio.sleep(self._found.event_interval)
            yield f'id: {number}\ndata: {self._request.target}\n\n'.encode()
            if number == self._found.breaks_after:
                raise connections.UpstreamError('reset', sent=True)

    def close(self) -> None:
        """End the call."""
        if self._is_open:
            self._is_open = False
            self._owner.open_answers -= 1


class FakeCallerFormat:
    """Callers that name id, key, time and sizes in headers of that name."""

    def read_head(
        self, exchange: http_io.Exchange
    ) -> Result[model.CallerRequest, problems.Problem]:
        """Read a request's head."""
        by_name = dict(exchange.headers)
        sizes = None
        if 'sizes' in by_name:
            prompt, output = by_name['sizes'].split(',')
            sizes = model.TokenCounts(int(prompt), int(output), int(output))
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
                sizes,
                None,
            )
        )

    def error_answer(
        self, request_id: str, problem: problems.Problem
    ) -> tuple[http_io.Headers, bytes]:
        """Return headers and text that tell of a problem."""
        headers = [('ran', problem.ran), ('id', request_id)]
        if problem.retry_after is not None:
            headers.append(('retry-after', str(problem.retry_after)))
        return tuple(headers), problem.code.encode()
