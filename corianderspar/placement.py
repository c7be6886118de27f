"""The service that places requests on engines and relays their answers."""

import asyncio
import collections
from collections.abc import AsyncGenerator

from corianderspar import canceller
from corianderspar import catalogue
from corianderspar import configuration as configurations
from corianderspar import engine
from corianderspar import engine_request
from corianderspar import engine_table
from corianderspar import executions
from corianderspar import home_shards
from corianderspar import homes
from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import messenger as messengers
from corianderspar import orders
from corianderspar import peers as peer_messages
from corianderspar import pool_shards
from corianderspar import problems
from corianderspar import reaper
from corianderspar import scheduler_client
from corianderspar import spill
from corianderspar import suspects
from corianderspar import transfer_limits

__all__ = ['EngineRequest', 'Placement', 'EngineRequestError']

EngineRequest = engine_request.EngineRequest
EngineRequestError = engine_request.EngineRequestError

TICK_SECONDS = 1.0
PAUSE_SECONDS = 3.0
DRAIN_SECONDS = 120.0
DRAIN_STEP_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0


class Placement:
    """The service ``placement``.

    Parameters
    ----------
    engines : callable
        Makes the client of an engine from its name and catalogue entry.
    """

    name = 'placement'
    requires = ('peers', 'membership', 'configuration')

    def __init__(self, engines: engine_table.ClientFactory) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._factory = engines
        self._running_by_id: dict[
            str, tuple[executions.Execution, asyncio.Task[None]]
        ] = {}

    async def start(self, app: kernel.Application) -> None:
        """Join the peers and take the catalogue in force."""
        self._app = app
        self._membership = app.find('membership', memberships.Membership)
        configuration = app.find('configuration', configurations.Configuration)
        self._make_parts(app, configuration)
        self._membership.add_section(
            'leases',
            self._scheduler_client.provide_leases,
            self._shards.accept_leases,
        )
        self._membership.on_change.append(self._look_around)
        configuration.on_catalogue.append(self._adopt)
        if configuration.catalogue is not None:
            self._adopt(configuration.catalogue, None)
        app.spawn(self.name, 'tick', self._tick())

    async def stop(self) -> None:
        """Let every answer end, and hand the shards on."""
        self._membership.leaving = True
        self._membership.send_now()
        self._look_around()
        end = self._app.clock.monotonic() + DRAIN_SECONDS
        while self._app.clock.monotonic() < end and not self._drained():
            await self._app.clock.sleep(DRAIN_STEP_SECONDS)
        self._scheduler_client.flush()
        self._shards.close()

    async def run(
        self, request: EngineRequest
    ) -> AsyncGenerator[engine.Piece, None]:
        """Run a request; yields its whole answer, in order.

        Closing the iterator, or cancelling the task that awaits it,
        cancels the work wherever it is.

        Raises
        ------
        EngineRequestError
            If the answer can't be given whole.
        """
        execution = executions.Execution(self._parts, request)
        task = self._app.spawn(self.name, 'run', execution.run())
        task.add_done_callback(lambda _: execution.wake_reader())
        self._running_by_id[request.request_id] = (execution, task)
        try:
            while execution.problem is None:
                if execution.pieces.empty() and task.done():
                    break
                piece = await execution.pieces.get()
                if piece is None:
                    break
                yield _joined(piece, execution.pieces)
            await asyncio.wait({task})
            if execution.problem is not None or not execution.is_complete:
                raise EngineRequestError(
                    execution.problem or _stopped(execution, task)
                )
        finally:
            task.cancel()
            self._running_by_id.pop(request.request_id, None)

    def cancel(self, request_id: str, code: str = 'withdrawn') -> bool:
        """End a request, as when its account's key was withdrawn.

        Its `run` raises a problem of this code.

        Returns
        -------
        bool
            Whether such a request was running.
        """
        found = self._running_by_id.get(request_id)
        if found is None:
            return False
        execution, task = found
        execution.set_problem(
            problems.Problem(code, 401, 'unknown', 'The key was withdrawn.')
        )
        task.cancel()
        return True

    def running_count(self) -> int:
        """Return how many requests are under way here."""
        return len(self._running_by_id)

    def shard(self, model: str) -> pool_shards.Shard | None:
        """Return the shard of a model if this daemon acts as its home."""
        return self._shards.shard(model)

    def home(self, model: str) -> str:
        """Return the VM that is home of a model's shard, as seen here."""
        return self._homes.home(model)

    def _make_parts(
        self,
        app: kernel.Application,
        configuration: configurations.Configuration,
    ) -> None:
        peers = app.find('peers', peer_messages.Peers)
        messenger = messengers.Messenger(app, peers)
        self._table = engine_table.EngineTable(
            app.identity.data_centre, self._factory
        )
        self._cancelling = canceller.Canceller(app, self._table, self.counts)
        self._homes = homes.Homes(app, self._membership)
        self._reaper = reaper.Reaper(app, peers, self._membership)
        suspected = suspects.Suspects(app, peers, self._membership)
        self._shards = home_shards.HomeShards(
            app,
            messenger,
            self._membership,
            self._homes,
            self._table,
            suspected,
            self._cancelling,
            self._reaper,
            orders.Orders(app, configuration, self._table.client),
        )
        self._scheduler_client = scheduler_client.SchedulerClient(
            app,
            messenger,
            self._homes,
            spill.Spill(app, self._membership, self._shards.shard_states),
            self._table,
            suspected,
            self._cancelling,
            self.counts,
        )
        self._parts = executions.Dependencies(
            app,
            self._scheduler_client,
            self._table,
            self._cancelling,
            suspected,
            transfer_limits.TransferLimits(app.clock),
            self.counts,
        )

    def _adopt(
        self,
        found: catalogue.Catalogue,
        before: catalogue.Catalogue | None,
    ) -> None:
        self._table.adopt(found)
        self._shards.set_engines()
        self._look_around()

    def _look_around(self) -> None:
        """Act on the membership as it is seen now."""
        self._scheduler_client.update_homes()
        self._shards.host_own_shards()

    async def _tick(self) -> None:
        clock = self._app.clock
        last = awake_since = clock.monotonic()
        while True:
            await clock.sleep(TICK_SECONDS)
            now = clock.monotonic()
            if now - last > PAUSE_SECONDS:
                awake_since = now
            last = now
            for execution, _task in list(self._running_by_id.values()):
                execution.check_stall(awake_since)
            self._reaper.watch()
            self._look_around()
            self._renew()
            self._shards.tick()

    def _renew(self) -> None:
        """Renew the leases that no heartbeat carries."""
        own = self._app.identity.vm
        members = self._membership.members()
        here = self._app.identity.data_centre
        for vm in self._scheduler_client.homes_with_leases():
            member = members.get(vm)
            far = member is not None and member.data_centre != here
            if vm == own or far:
                self._scheduler_client.send_leases(vm)

    def _drained(self) -> bool:
        if self._running_by_id or len(self._cancelling):
            return False
        return self._membership.live() == [] or self._shards.is_idle


def _joined(
    first: engine.Piece, waiting: asyncio.Queue[engine.Piece | None]
) -> engine.Piece:
    """Return a piece and those that wait behind it as one.

    A busy event loop so has fewer pieces to pass on.
    """
    if waiting.empty():
        return first
    parts = [first]
    while not waiting.empty():
        following = waiting.get_nowait()
        if following is None:
            waiting.put_nowait(None)
            break
        parts.append(following)
    return first._replace(
        tokens=sum(part.tokens for part in parts),
        text=''.join(part.text for part in parts),
        finish=parts[-1].finish,
    )


def _stopped(
    execution: executions.Execution, task: asyncio.Task[None]
) -> problems.Problem:
    if not task.cancelled() and task.exception() is not None:
        return problems.Problem(
            'internal', 500, execution.ran, 'The daemon failed.', None
        )
    return problems.Problem(
        'stopped',
        503,
        execution.ran,
        'The daemon stopped.',
        RETRY_AFTER_SECONDS,
    )
