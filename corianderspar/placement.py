"""The service that schedules requests on engines and relays the answers."""

import asyncio
import collections
from collections.abc import AsyncGenerator

from corianderspar import cancellation
from corianderspar import catalogue
from corianderspar import configuration as configurations
from corianderspar import engine
from corianderspar import engine_reconciler
from corianderspar import engine_request
from corianderspar import engine_table
from corianderspar import executions
from corianderspar import failure_detector
from corianderspar import home_shards
from corianderspar import homes
from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import messenger as messengers
from corianderspar import peers as peer_messages
from corianderspar import poison
from corianderspar import pool_shards
from corianderspar import problems
from corianderspar import scheduler_client
from corianderspar import spill
from corianderspar import transfer_limits

__all__ = ['EngineRequest', 'Placement', 'EngineRequestError']

EngineRequest = engine_request.EngineRequest
EngineRequestError = engine_request.EngineRequestError

TICK_SECONDS = 1.0
PAUSE_SECONDS = 3.0
DRAIN_TIMEOUT_SECONDS = 120.0
DRAIN_POLL_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0


class Placement:
    """The service ``placement``: a client of homes, and itself a home.

    Parameters
    ----------
    engine_factory : callable
        Makes the client of an engine from its name and catalogue entry.
    """

    name = 'placement'
    requires = ('peers', 'membership', 'configuration')

    def __init__(self, engine_factory: engine_table.ClientFactory) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._engine_factory = engine_factory
        self._running_by_id: dict[
            str, tuple[executions.Execution, asyncio.Task[None]]
        ] = {}

    async def start(self, app: kernel.Application) -> None:
        """Register with the membership and adopt the current catalogue."""
        self._app = app
        self._membership = app.find('membership', memberships.Membership)
        configuration = app.find('configuration', configurations.Configuration)
        self._create_components(app, configuration)
        self._membership.add_section(
            'leases',
            self._scheduler_client.provide_leases,
            self._shards.accept_leases,
        )
        self._membership.on_change.append(self._update_homes)
        configuration.on_catalogue.append(self._adopt_catalogue)
        if configuration.catalogue is not None:
            self._adopt_catalogue(configuration.catalogue, None)
        app.keep_running(self.name, 'tick', self._run_periodically)

    async def stop(self) -> None:
        """Drain: wait for running answers and for the handoff of the shards.

        Waits for `DRAIN_TIMEOUT_SECONDS` at most.
        """
        self._membership.leaving = True
        self._membership.send_now()
        self._update_homes()
        deadline = self._app.clock.monotonic() + DRAIN_TIMEOUT_SECONDS
        while (
            self._app.clock.monotonic() < deadline and not self._is_drained()
        ):
            await self._app.clock.sleep(DRAIN_POLL_SECONDS)
        self._scheduler_client.flush()
        self._shards.close()

    async def run(
        self, request: EngineRequest
    ) -> AsyncGenerator[engine.Piece, None]:
        """Run a request; yield the pieces of its complete answer in order.

        Closing the iterator, or cancelling the task that awaits it,
        cancels the request at its home and at the engines.

        Raises
        ------
        EngineRequestError
            If the answer can't be completed.
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
                yield _merge_waiting(piece, execution.pieces)
            await asyncio.wait({task})
            if execution.problem is not None or not execution.is_complete:
                raise EngineRequestError(
                    execution.problem or _incomplete_problem(execution, task)
                )
        finally:
            task.cancel()
            self._running_by_id.pop(request.request_id, None)

    def cancel(self, request_id: str, code: str = 'withdrawn') -> bool:
        """Cancel a request, as when its account's key was withdrawn.

        Its `run` raises `EngineRequestError` with this code.

        Returns
        -------
        bool
            Whether such a request was running.
        """
        running = self._running_by_id.get(request_id)
        if running is None:
            return False
        execution, task = running
        execution.set_problem(
            problems.Problem(code, 401, 'unknown', 'The key was withdrawn.')
        )
        task.cancel()
        return True

    def running_count(self) -> int:
        """Return how many requests this daemon runs for its callers."""
        return len(self._running_by_id)

    def shard(self, model: str) -> pool_shards.Shard | None:
        """Return the shard of a model if this daemon hosts it."""
        return self._shards.shard(model)

    def home(self, model: str) -> str:
        """Return the VM that this daemon sees as home of a model's shard."""
        return self._homes.home(model)

    def _create_components(
        self,
        app: kernel.Application,
        configuration: configurations.Configuration,
    ) -> None:
        peers = app.find('peers', peer_messages.Peers)
        messenger = messengers.Messenger(app, peers)
        self._table = engine_table.EngineTable(
            app.identity.data_centre, self._engine_factory
        )
        self._canceller = cancellation.Canceller(app, self._table, self.counts)
        self._homes = homes.Homes(app, self._membership)
        self._detector = failure_detector.FailureDetector(
            app, peers, self._membership
        )
        quarantine = poison.Quarantine(app, peers, self._membership)
        self._shards = home_shards.HomeShards(
            app,
            messenger,
            self._membership,
            self._homes,
            self._table,
            quarantine,
            self._canceller,
            self._detector,
            engine_reconciler.EngineReconciler(
                app, configuration, self._table.client
            ),
        )
        self._scheduler_client = scheduler_client.SchedulerClient(
            app,
            messenger,
            self._homes,
            spill.SpillPolicy(
                app, self._membership, self._shards.shard_states
            ),
            self._table,
            quarantine,
            self._canceller,
            self.counts,
        )
        self._parts = executions.Dependencies(
            app,
            self._scheduler_client,
            self._table,
            self._canceller,
            quarantine,
            transfer_limits.TransferTimeouts(app.clock),
            self.counts,
        )

    def _adopt_catalogue(
        self,
        new: catalogue.Catalogue,
        previous: catalogue.Catalogue | None,
    ) -> None:
        self._table.adopt(new)
        self._shards.set_engines()
        self._update_homes()

    def _update_homes(self) -> None:
        """Move requests to the current homes; host this daemon's shards."""
        self._scheduler_client.update_homes()
        self._shards.host_own_shards()

    async def _run_periodically(self) -> None:
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
            self._detector.tick()
            self._update_homes()
            self._renew_leases()
            self._shards.tick()

    def _renew_leases(self) -> None:
        """Renew the leases that no heartbeat carries."""
        own = self._app.identity.vm
        members = self._membership.members()
        data_centre = self._app.identity.data_centre
        for vm in self._scheduler_client.homes_with_leases():
            member = members.get(vm)
            is_remote = (
                member is not None and member.data_centre != data_centre
            )
            if vm == own or is_remote:
                self._scheduler_client.send_leases(vm)

    def _is_drained(self) -> bool:
        if self._running_by_id or len(self._canceller):
            return False
        return self._membership.live() == [] or self._shards.is_idle


def _merge_waiting(
    first: engine.Piece, queue: asyncio.Queue[engine.Piece | None]
) -> engine.Piece:
    """Return a piece merged with those that wait in the queue.

    A busy event loop then has fewer pieces to relay.
    """
    if queue.empty():
        return first
    pieces = [first]
    while not queue.empty():
        following = queue.get_nowait()
        if following is None:
            queue.put_nowait(None)
            break
        pieces.append(following)
    return first._replace(
        tokens=sum(piece.tokens for piece in pieces),
        text=''.join(piece.text for piece in pieces),
        finish=pieces[-1].finish,
    )


def _incomplete_problem(
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
