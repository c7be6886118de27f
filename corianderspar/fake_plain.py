"""The in-memory twin of a plain service, with faults."""

import asyncio
import collections
from collections.abc import Callable
from typing import Literal
from typing import NamedTuple

from expression import Error
from expression import Ok

from corianderspar import clock as clocks
from corianderspar import plain_client
from corianderspar import plain_requests

Fault = Literal[
    '',
    'crash',
    'crossed',
    'die_after',
    'die_before',
    'error',
    'late',
    'leaving',
    'refuse',
    'stall',
]
FAULTS: tuple[Fault, ...] = (
    'crash',
    'crossed',
    'die_after',
    'die_before',
    'error',
    'late',
    'leaving',
    'refuse',
    'stall',
)

LINK_SECONDS = 0.0005
LATE_SECONDS = 20.0
RESTART_SECONDS = 1.0
WORK_SECONDS = 0.002


class Execution(NamedTuple):
    """One run of a request, as the upstreams saw it.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    upstream : str
        Where it ran.
    body : bytes
        Tells requests apart.
    """

    at: float
    upstream: str
    body: bytes


class Ledger:
    """What all upstreams of a test saw, kept outside the system.

    Attributes
    ----------
    executions : list of Execution
        In order of time.
    handed_by_body : Counter of bytes
        How often a request reached an upstream, run or not.
    calls : int
        Attempts, refused connections included.
    """

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.handed_by_body: collections.Counter[bytes] = collections.Counter()
        self.calls = 0

    def runs(self, body: bytes) -> int:
        """Return how often a request ran."""
        return sum(run.body == body for run in self.executions)

    def runs_by_body(self) -> collections.Counter[bytes]:
        """Return how often each request ran."""
        return collections.Counter(run.body for run in self.executions)


def no_fault(_call: plain_client.PlainCall) -> Fault:
    """Return that a call meets no fault."""
    return ''


def fixed_work(seconds: float) -> Callable[[], float]:
    """Return a source of equal working times, in seconds."""
    return lambda: seconds


class FakePlain:
    """One plain service that outlives the daemons before it.

    Parameters
    ----------
    name : str
        The upstream's name.
    ledger : Ledger
        Shared by all services of a test.
    fault : callable
        Decides what befalls each call.
    work : callable
        Returns seconds that the next request takes; `WORK_SECONDS` if
        None.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        fault: Callable[[plain_client.PlainCall], Fault] = no_fault,
        work: Callable[[], float] | None = None,
    ) -> None:
        self.name = name
        self.fault = fault
        self.work = work or fixed_work(WORK_SECONDS)
        self.up = True
        self.leaving = False
        self.last_reply: plain_client.PlainReply | None = None
        self._ledger = ledger
        self._connections: set[asyncio.Task[plain_requests.AttemptResult]] = (
            set()
        )

    def client(self, clock: clocks.Clock) -> 'FakeClient':
        """Return the client that a daemon with that clock uses."""
        return FakeClient(self, clock)

    def connect(self, call: plain_client.PlainCall) -> Fault:
        """Count a connection and return what befalls it."""
        self._ledger.calls += 1
        return self.fault(call) if self.up else 'refuse'

    def accept(
        self, call: plain_client.PlainCall, fault: Fault
    ) -> asyncio.Task[plain_requests.AttemptResult]:
        """Take a request that has left the client."""
        self._ledger.handed_by_body[call.body] += 1
        task = asyncio.create_task(self._serve(call, fault))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)
        return task

    def go_down(self) -> None:
        """Break all connections and refuse new ones."""
        self.up = False
        own = asyncio.current_task()
        for task in list(self._connections):
            if task is not own:
                task.cancel()

    async def _serve(
        self, call: plain_client.PlainCall, fault: Fault
    ) -> plain_requests.AttemptResult:
        if self.leaving or fault == 'leaving':
            return Error(plain_client.PlainError('leaving', True))
        if fault == 'die_before':
            return Error(plain_client.PlainError('died', True))
        if fault == 'stall':
            await asyncio.Event().wait()
        await asyncio.sleep(self.work())
        reply = self._execute(call)
        if fault == 'crash':
            self.go_down()
            asyncio.get_running_loop().call_later(RESTART_SECONDS, self._rise)
        if fault in ('crash', 'die_after'):
            return Error(plain_client.PlainError('died', True))
        if fault == 'late':
            await asyncio.sleep(LATE_SECONDS)
        if fault == 'error':
            return Ok(reply._replace(status=503))
        if fault == 'crossed':
            reply, self.last_reply = self.last_reply or reply, reply
            other = (plain_requests.REQUEST_ID_HEADER, 'vm0/0/0#p0')
            return Ok(reply._replace(headers=(other,)))
        self.last_reply = reply
        return Ok(reply)

    def _execute(
        self, call: plain_client.PlainCall
    ) -> plain_client.PlainReply:
        now = asyncio.get_running_loop().time()
        number = len(self._ledger.executions)
        self._ledger.executions.append(Execution(now, self.name, call.body))
        answer = b'%s ran as %d at %s' % (
            call.body,
            number,
            self.name.encode(),
        )
        echo = (plain_requests.REQUEST_ID_HEADER, call.request_id)
        return plain_client.PlainReply(200, (echo,), answer)

    def _rise(self) -> None:
        self.up = True


class FakeClient:
    """Takes one daemon's requests to a `FakePlain`.

    What has left the daemon goes on at the upstream, also when the client
    is cancelled or its VM dies.

    Parameters
    ----------
    service : FakePlain
        The upstream.
    clock : Clock
        Of the daemon; a paused one sends nothing before it goes on.
    """

    def __init__(self, service: FakePlain, clock: clocks.Clock) -> None:
        self._service = service
        self._clock = clock

    async def send(
        self, call: plain_client.PlainCall
    ) -> plain_requests.AttemptResult:
        """Send a request once, as `plain_client.PlainClient` says."""
        fault = self._service.connect(call)
        await asyncio.sleep(LINK_SECONDS)
        if fault == 'refuse':
            return Error(plain_client.PlainError('unreachable', False))
        served = await self._leave(call, fault)
        await asyncio.wait([served])
        await asyncio.sleep(LINK_SECONDS)
        if served.cancelled():
            return Error(plain_client.PlainError('died', True))
        return served.result()

    async def _leave(
        self, call: plain_client.PlainCall, fault: Fault
    ) -> asyncio.Task[plain_requests.AttemptResult]:
        clock = self._clock
        if not isinstance(clock, clocks.VirtualClock) or not clock.is_paused:
            return self._service.accept(call, fault)
        # A process that wakes may write before it sees that its time is
        # over, so not even a cancellation takes the request back.
        return await asyncio.shield(self._leave_late(clock, call, fault))

    async def _leave_late(
        self,
        clock: clocks.VirtualClock,
        call: plain_client.PlainCall,
        fault: Fault,
    ) -> asyncio.Task[plain_requests.AttemptResult]:
        await clock.wait_running()
        return self._service.accept(call, fault)
