"""Application that starts, connects and stops named services."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import graphlib
from pathlib import Path
import random
import traceback
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import runtime_checkable
from typing import TypeVar

from corianderspar import clock as clocks
from corianderspar import timeline
from corianderspar import watchdog

T = TypeVar('T')

NONCE_BITS = 48
RESTART_SECONDS = 0.5  # from the failure of a task to its next run
SOUND_SECONDS = 5.0  # a task that runs for longer is no longer failing
MAX_FAILURES_IN_ROW = 3  # from which on the application is impaired
MAX_SILENCE_SECONDS = 5.0  # of a task that works at least once a second
MAX_KEPT_FAILURES = 100
MAX_PLACES = 5  # innermost calls that the log shows of a task that waits


class Incarnation(NamedTuple):
    """Identifier of one run of a daemon; each restart gets a new one.

    Attributes
    ----------
    vm : str
        Name of the VM.
    started : int
        Wall clock time of the start, milliseconds since the epoch.
    nonce : str
        Random part that tells apart two starts in one millisecond.
    """

    vm: str
    started: int
    nonce: str

    def __str__(self) -> str:
        """Return the form used in identifiers, ``vm/started/nonce``."""
        return f'{self.vm}/{self.started}/{self.nonce}'

    @classmethod
    def parse(cls, text: str) -> 'Incarnation':
        """Return the incarnation that ``str`` wrote as this text.

        Raises
        ------
        ValueError
            If the text is not of the form ``vm/started/nonce``.

        Examples
        --------
        >>> Incarnation.parse('vm1/17/ab').started
        17
        """
        vm, started, nonce = text.split('/')
        return cls(vm, int(started), nonce)


class Identity(NamedTuple):
    """Name and location of the VM that runs an application.

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
    """Part of an application that other services find by name."""

    @property
    def name(self) -> str:
        """Name by which other services find this one."""
        ...

    @property
    def requires(self) -> tuple[str, ...]:
        """Names of the services that must start before this one."""
        ...

    async def start(self, app: 'Application') -> None:
        """Start; every required service is running."""
        ...

    async def stop(self) -> None:
        """Stop; every required service is still running."""
        ...


class TaskEndedError(Exception):
    """A task that a service depends on returned."""


class TaskSilentError(Exception):
    """A task that a service depends on made no progress."""


class Failure(NamedTuple):
    """Exception raised by a task or by the ``stop`` of a service."""

    service: str
    task: str
    error: BaseException

    @property
    def place(self) -> str:
        """Where the exception was raised, ``file:line``.

        Unlike its text, that never holds anything of a request.
        """
        frames = traceback.extract_tb(self.error.__traceback__)
        if not frames:
            return '-'
        return f'{Path(frames[-1].filename).name}:{frames[-1].lineno}'


def _is_cancelled() -> bool:
    """Return whether somebody cancelled the current task."""
    current = asyncio.current_task()
    return current is not None and current.cancelling() > 0


def waiting_place(task: asyncio.Task[Any]) -> str:
    """Return where in the code a task waits, outermost call first.

    `asyncio.Task.get_stack` tells of the outermost call only.

    Examples
    --------
    >>> async def main():
    ...     task = asyncio.ensure_future(asyncio.sleep(1.0))
    ...     await asyncio.sleep(0.0)
    ...     return waiting_place(task).startswith('tasks.py:')
    >>> asyncio.run(main())
    True
    """
    places: list[str] = []
    awaited: Any = task.get_coro()
    while awaited is not None:
        frame = getattr(awaited, 'cr_frame', None)
        if frame is not None:
            name = Path(frame.f_code.co_filename).name
            places.append(f'{name}:{frame.f_lineno}')
        awaited = getattr(awaited, 'cr_await', None)
    return ' > '.join(places[-MAX_PLACES:]) or '-'


class _Health(NamedTuple):
    """Failures of a task that is run again.

    Attributes
    ----------
    failures : int
        In a row, each less than `SOUND_SECONDS` after its run began.
    failed_at : float
        Monotonic seconds of the last one.
    """

    failures: int
    failed_at: float


class Application:
    """Owner of services and their tasks, started in dependency order.

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
        # A virtual clock can only be read inside its event loop, so
        # `start` fills in the time for a clock that was passed in.
        self.incarnation = Incarnation(
            identity.vm,
            int(self.clock.wall() * 1000) if clock is None else 0,
            f'{self.rng.getrandbits(NONCE_BITS):012x}',
        )
        self.events = timeline.EventBuffer(str(self.incarnation), self.clock)
        self.aborted = False
        self.failures: list[Failure] = []
        self.failure_count = 0
        self.on_failure: list[Callable[[Failure], None]] = []
        self.on_started: list[Callable[[], None]] = []
        self.on_stopped: list[Callable[[], None]] = []
        self._services_by_name: dict[str, Service] = {}
        self._running: list[Service] = []
        self._tasks_by_service: dict[str, set[asyncio.Task[Any]]] = {}
        self._watchdog = watchdog.Watchdog(self.clock, self._on_silent)
        self._health_by_task: dict[tuple[str, str], _Health] = {}

    def add(self, service: Service) -> None:
        """Register a service; to be called before `start`.

        Raises
        ------
        ValueError
            If a service of that name is registered.
        """
        if service.name in self._services_by_name:
            raise ValueError(f'service {service.name!r} exists already')
        self._services_by_name[service.name] = service

    def find(self, name: str, service_type: type[T]) -> T:
        """Return the service of that name.

        Raises
        ------
        LookupError
            If there is none, or it is not a ``service_type``.
        """
        service = self._services_by_name.get(name)
        if not isinstance(service, service_type):
            raise LookupError(f'no service {name!r} of type {service_type}')
        return service

    def has(self, name: str) -> bool:
        """Return whether a service of that name is registered."""
        return name in self._services_by_name

    async def start(self) -> None:
        """Start all services, each after those it requires.

        If one fails, those already started are stopped and the exception
        is raised again.
        """
        if self.incarnation.started == 0:
            started = int(self.clock.wall() * 1000)
            self.incarnation = self.incarnation._replace(started=started)
            self.events.process = str(self.incarnation)
        try:
            for service in self._start_order():
                await service.start(self)
                self._running.append(service)
        except BaseException:
            await self.stop()
            raise
        for callback in self.on_started:
            callback()

    async def stop(self) -> None:
        """Stop all running services in reverse order of their start.

        A service that fails to stop is reported; the others still stop.
        """
        while self._running:
            service = self._running.pop()
            try:
                await service.stop()
            except Exception as error:  # noqa: BLE001
                self.report_failure(Failure(service.name, 'stop', error))
            await self._cancel_tasks(service.name)
        for callback in self.on_stopped:
            callback()

    async def abort(self) -> None:
        """Cancel all tasks without a handoff, as if the process was killed.

        Sets `aborted`, so that clean-up code in cancelled tasks knows that
        it must not send anything.
        """
        self.aborted = True
        self._running.clear()
        for name in list(self._tasks_by_service):
            await self._cancel_tasks(name)

    def spawn(
        self, service: str, task: str, coroutine: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a task owned by a service.

        The task is cancelled once the service has stopped. If it raises,
        the failure is added to `failures` and passed to each callback of
        `on_failure`. It is not run again; see `keep_running`.
        """
        running_task = asyncio.create_task(coroutine, name=f'{service}:{task}')
        owned = self._tasks_by_service.setdefault(service, set())
        owned.add(running_task)

        def on_done(done: asyncio.Task[Any]) -> None:
            owned.discard(done)
            if done.cancelled():
                return
            error = done.exception()
            if error is not None:
                self.report_failure(Failure(service, task, error))

        running_task.add_done_callback(on_done)
        return running_task

    def keep_running(
        self,
        service: str,
        task: str,
        run: Callable[[], Coroutine[Any, Any, Any]],
        max_silence: float | None = None,
        *,
        may_return: bool = False,
    ) -> asyncio.Task[Any]:
        """Run a coroutine function as a task, and again whenever it ends.

        The service depends on that task as long as it runs, so one bad input
        may not end it for good. Each end is reported like a failure in
        `spawn`: an exception, a return, and a cancellation that came from
        something it awaited. Only a cancellation of the task itself ends it.

        Parameters
        ----------
        service : str
            Owner of the task.
        task : str
            Name of the task, for the log.
        run : callable
            Returns the coroutine. A new run must be able to go on with the
            state that a failed one left.
        max_silence : float or None
            Seconds of running time between two calls of `report_progress` by
            the task, beyond which it is taken to hang: it is cancelled and
            run again. None for a task that may wait without a bound.
        may_return : bool
            Whether the work is done, and the task ends, once it returns.
        """
        running_task = self.spawn(
            service, task, self._run_again(service, task, run, may_return)
        )
        if max_silence is not None:
            self._watchdog.watch(running_task, max_silence)
        return running_task

    def report_progress(self) -> None:
        """Record that the current task does not hang; see `keep_running`.

        Does nothing in a task that is not watched.
        """
        self._watchdog.report()

    def check_progress(self) -> None:
        """Look for tasks that hang, should all of them do."""
        self._watchdog.check()

    def _on_silent(self, task: asyncio.Task[Any], seconds: float) -> None:
        service, _colon, name = task.get_name().partition(':')
        self.events.add(
            'service.silent',
            service=service,
            task=name,
            seconds=f'{seconds:.2f}',
            waits_at=waiting_place(task),
        )

    @property
    def is_impaired(self) -> bool:
        """Whether a task that the services depend on fails again and again.

        So does one that hung, until it makes progress.
        """
        if self._watchdog.has_silent:
            return True
        if not self._health_by_task:
            return False
        since = self.clock.monotonic() - SOUND_SECONDS
        return any(
            health.failures >= MAX_FAILURES_IN_ROW and health.failed_at > since
            for health in self._health_by_task.values()
        )

    async def _run_again(
        self,
        service: str,
        task: str,
        run: Callable[[], Coroutine[Any, Any, Any]],
        may_return: bool,
    ) -> None:
        key = service, task
        while True:
            began = self.clock.monotonic()
            error: BaseException
            try:
                await run()
                if may_return:
                    return
                error = TaskEndedError(f'task {task!r} of {service!r} ended')
            except (Exception, asyncio.CancelledError) as raised:  # noqa: BLE001
                error = raised
            if self._watchdog.end_run():
                error = TaskSilentError(f'task {task!r} of {service!r} hung')
            if _is_cancelled():
                raise asyncio.CancelledError
            self.report_failure(Failure(service, task, error))
            now = self.clock.monotonic()
            before = self._health_by_task.get(key)
            failures = 1
            if before is not None and now - began < SOUND_SECONDS:
                failures = before.failures + 1
            self._health_by_task[key] = _Health(failures, now)
            await self.clock.sleep(RESTART_SECONDS)
            self.events.add(
                'service.restarted',
                service=service,
                task=task,
                failures=failures,
            )

    def _start_order(self) -> list[Service]:
        graph = {
            service.name: set(service.requires)
            for service in self._services_by_name.values()
        }
        missing = {
            requirement
            for requirements in graph.values()
            for requirement in requirements
            if requirement not in graph
        }
        if missing:
            raise LookupError(f'services not registered: {sorted(missing)}')
        order = graphlib.TopologicalSorter(graph).static_order()
        return [self._services_by_name[name] for name in order]

    def report_failure(self, failure: Failure) -> None:
        """Log a failure, count it, and pass it to `on_failure`."""
        self.failure_count += 1
        self.failures.append(failure)
        del self.failures[:-MAX_KEPT_FAILURES]
        self.events.add(
            'service.failed',
            service=failure.service,
            task=failure.task,
            error=type(failure.error).__name__,
            place=failure.place,
        )
        for callback in self.on_failure:
            callback(failure)

    async def _cancel_tasks(self, service: str) -> None:
        tasks = list(self._tasks_by_service.pop(service, ()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
