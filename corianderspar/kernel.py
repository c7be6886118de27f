"""The micro-kernel: an application whose services find each other."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import graphlib
import random
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import runtime_checkable
from typing import TypeVar

from corianderspar import clock as clocks
from corianderspar import timeline

T = TypeVar('T')

NONCE_BITS = 48


class Incarnation(NamedTuple):
    """One run of one daemon; a restart makes a new one.

    Attributes
    ----------
    vm : str
        Name of the VM.
    started : int
        Wall clock at the start, milliseconds since the epoch.
    nonce : str
        Random part, so that two starts in a millisecond differ.
    """

    vm: str
    started: int
    nonce: str

    def __str__(self) -> str:
        """Return the form used in identifiers, ``vm/started/nonce``."""
        return f'{self.vm}/{self.started}/{self.nonce}'

    @classmethod
    def parse(cls, text: str) -> 'Incarnation':
        """Read the form that ``str`` gives.

        Raises
        ------
        ValueError
            If the text has another form.

        Examples
        --------
        >>> Incarnation.parse('vm1/17/ab').started
        17
        """
        vm, started, nonce = text.split('/')
        return cls(vm, int(started), nonce)


class Identity(NamedTuple):
    """Who an application is.

    Attributes
    ----------
    vm : str
        Name of the VM, unique in the fleet.
    data_centre : str
        Name of the VM's data centre.
    region : str
        Name of the data centre's region.
    """

    vm: str
    data_centre: str
    region: str = ''


@runtime_checkable
class Service(Protocol):
    """A part of an application, found by its name."""

    @property
    def name(self) -> str:
        """What other services find it by."""
        ...

    @property
    def requires(self) -> tuple[str, ...]:
        """Names of the services that start before it."""
        ...

    async def start(self, app: 'Application') -> None:
        """Begin work; every required service has started."""
        ...

    async def stop(self) -> None:
        """End work; every required service is still running."""
        ...


class Failure(NamedTuple):
    """A background task of a service that ended with an exception."""

    service: str
    task: str
    error: BaseException


class Application:
    """Owns services and their tasks; starts and stops them in order.

    Parameters
    ----------
    identity : Identity
        The VM and data centre this application runs in.
    clock : Clock
        Source of time for all services.
    rng : random.Random
        Source of randomness for all services.

    Examples
    --------
    >>> app = Application(Identity('vm1', 'szeged'))
    >>> app.identity.data_centre
    'szeged'
    """

    def __init__(
        self,
        identity: Identity,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.identity = identity
        self.clock = clock or clocks.SystemClock()
        self.rng = rng or random.Random()  # noqa: S311
        self.incarnation = Incarnation(
            identity.vm,
            int(self.clock.wall() * 1000) if clock is None else 0,
            f'{self.rng.getrandbits(NONCE_BITS):012x}',
        )
        self.events = timeline.EventBuffer(str(self.incarnation), self.clock)
        self.aborted = False
        self.failures: list[Failure] = []
        self.on_failure: list[Callable[[Failure], None]] = []
        self.on_started: list[Callable[[], None]] = []
        self.on_stopped: list[Callable[[], None]] = []
        self._services_by_name: dict[str, Service] = {}
        self._running: list[Service] = []
        self._tasks_by_service: dict[str, set[asyncio.Task[Any]]] = {}

    def add(self, service: Service) -> None:
        """Register a service before `start`.

        Raises
        ------
        ValueError
            If the name is taken.
        """
        if service.name in self._services_by_name:
            raise ValueError(f'service {service.name!r} exists already')
        self._services_by_name[service.name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service of that name.

        Raises
        ------
        LookupError
            If there is none, or it is no ``kind``.
        """
        service = self._services_by_name.get(name)
        if not isinstance(service, kind):
            raise LookupError(f'no service {name!r} of type {kind}')
        return service

    def has(self, name: str) -> bool:
        """Return whether a service of that name is registered."""
        return name in self._services_by_name

    async def start(self) -> None:
        """Start all services, each after those it requires.

        If one fails, those already started are stopped again and the
        exception goes on.
        """
        if self.incarnation.started == 0:
            started = int(self.clock.wall() * 1000)
            self.incarnation = self.incarnation._replace(started=started)
            self.events.process = str(self.incarnation)
        try:
            for service in self._ordered():
                await service.start(self)
                self._running.append(service)
        except BaseException:
            await self.stop()
            raise
        for hook in self.on_started:
            hook()

    async def stop(self) -> None:
        """Stop all running services in the reverse order."""
        while self._running:
            service = self._running.pop()
            try:
                await service.stop()
            except Exception as error:  # noqa: BLE001
                self._report(Failure(service.name, 'stop', error))
            await self._cancel_tasks(service.name)
        for hook in self.on_stopped:
            hook()

    async def abort(self) -> None:
        """End at once, as a killed process would: nothing is handed on.

        Clean-up that runs as tasks are cancelled can tell by `aborted`
        that it must do nothing.
        """
        self.aborted = True
        self._running.clear()
        for name in list(self._tasks_by_service):
            await self._cancel_tasks(name)

    def spawn(
        self, service: str, task: str, work: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a task owned by a service.

        The task is cancelled when the service has stopped; if it fails,
        the failure is kept in `failures` and given to `on_failure`.
        """
        handle = asyncio.create_task(work, name=f'{service}:{task}')
        owned = self._tasks_by_service.setdefault(service, set())
        owned.add(handle)

        def ended(done: asyncio.Task[Any]) -> None:
            owned.discard(done)
            if done.cancelled():
                return
            error = done.exception()
            if error is not None:
                self._report(Failure(service, task, error))

        handle.add_done_callback(ended)
        return handle

    def _ordered(self) -> list[Service]:
        graph = {
            service.name: set(service.requires)
            for service in self._services_by_name.values()
        }
        missing = {
            need
            for needs in graph.values()
            for need in needs
            if need not in graph
        }
        if missing:
            raise LookupError(f'services not registered: {sorted(missing)}')
        order = graphlib.TopologicalSorter(graph).static_order()
        return [self._services_by_name[name] for name in order]

    def _report(self, failure: Failure) -> None:
        self.failures.append(failure)
        self.events.add(
            'service.failed',
            service=failure.service,
            task=failure.task,
            error=type(failure.error).__name__,
        )
        for hook in self.on_failure:
            hook(failure)

    async def _cancel_tasks(self, service: str) -> None:
        tasks = list(self._tasks_by_service.pop(service, ()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
