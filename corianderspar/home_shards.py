"""The shards that this daemon hosts as their home."""

import asyncio

import msgspec

from corianderspar import cancellation
from corianderspar import catalogue
from corianderspar import engine
from corianderspar import engine_reconciler
from corianderspar import engine_table
from corianderspar import engine_watch
from corianderspar import failure_detector
from corianderspar import homes
from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import messenger as messengers
from corianderspar import peers
from corianderspar import placement_messages
from corianderspar import poison
from corianderspar import pool
from corianderspar import pool_shards
from corianderspar import spill

REBUILD_TIMEOUT_SECONDS = 0.3
UNUSED_SHARD_SECONDS = 10.0
NO_ENGINE_WAIT_SECONDS = 3600.0

_DECODER = msgspec.msgpack.Decoder(placement_messages.Leases)


class _HostedShard:
    """A shard, the watch on its engines, and when it was last used."""

    def __init__(
        self,
        shard: pool_shards.Shard,
        watch: engine_watch.EngineWatch,
        now: float,
    ) -> None:
        self.shard = shard
        self.watch = watch
        self.used_at = now


class HomeShards:
    """Handles the messages of edges to the homes of shards.

    A daemon hosts every shard that an edge asks it for, also if it isn't
    the home in its own view. Two daemons may therefore host one shard at
    once; only the engines' refusals then keep their grants from exceeding
    what an engine can hold. A new home grants nothing before it has read
    its engines' reports and received its peers' reservations, which it
    awaits for `REBUILD_TIMEOUT_SECONDS` at most.

    Parameters
    ----------
    app : Application
        Gives time, randomness and identity.
    messenger : Messenger
        Sends to edges.
    membership : Membership
        The live members.
    home_lookup : Homes
        The homes of shards, as seen by this daemon.
    table : EngineTable
        Finds engines.
    quarantine : Quarantine
        Records crashes.
    canceller : Canceller
        Cancels requests of dead daemons.
    detector : FailureDetector
        Tells which daemons are dead.
    reconciler : EngineReconciler
        Assigns engines their model and role.
    """

    def __init__(
        self,
        app: kernel.Application,
        messenger: messengers.Messenger,
        membership: memberships.Membership,
        home_lookup: homes.Homes,
        table: engine_table.EngineTable,
        quarantine: poison.Quarantine,
        canceller: cancellation.Canceller,
        detector: failure_detector.FailureDetector,
        reconciler: engine_reconciler.EngineReconciler,
    ) -> None:
        self._app = app
        self._messenger = messenger
        self._membership = membership
        self._homes = home_lookup
        self._table = table
        self._quarantine = quarantine
        self._canceller = canceller
        self._detector = detector
        self._reconciler = reconciler
        self._hosted_by_model: dict[str, _HostedShard] = {}
        messenger.handle('submit', self._on_submit)
        messenger.handle_inline('steps', self._on_progress)
        messenger.handle_inline('leases', self._on_leases)
        messenger.handle('transfer-failed', self._on_regrant)
        messenger.handle('crashed', self._on_crash_report)

    def shard(self, model: str) -> pool_shards.Shard | None:
        """Return the shard of a model if this daemon hosts it."""
        hosted = self._hosted_by_model.get(model)
        return hosted.shard if hosted is not None else None

    def set_engines(self) -> None:
        """Update the hosted shards' engines from a new catalogue."""
        for model, hosted in self._hosted_by_model.items():
            hosted.watch.set_engines(self._table.engines_of_model(model))

    def host_own_shards(self) -> None:
        """Host all shards whose home is this daemon, as it sees it."""
        for model in self._table.models():
            if self._homes.home(model) == self._app.identity.vm:
                self._host(model).used_at = self._app.clock.monotonic()

    def tick(self) -> None:
        """Drop expired leases and unused shards; call each second."""
        now = self._app.clock.monotonic()
        for model, hosted in list(self._hosted_by_model.items()):
            hosted.shard.expire_leases()
            if not hosted.shard.is_idle:
                hosted.used_at = now
            elif now - hosted.used_at > UNUSED_SHARD_SECONDS:
                self._close(hosted)
                del self._hosted_by_model[model]

    def close(self) -> None:
        """Refuse waiting jobs; the edges submit them to the next homes."""
        for hosted in self._hosted_by_model.values():
            self._close(hosted)

    @property
    def is_idle(self) -> bool:
        """Whether no edge has a waiting or granted request here."""
        return all(
            hosted.shard.is_idle for hosted in self._hosted_by_model.values()
        )

    def shard_states(self) -> list[spill.ShardState]:
        """Return the states of the hosted shards whose home this is."""
        own = self._app.identity
        return [
            spill.ShardState(model, own.data_centre, own.vm, _summary(hosted))
            for model, hosted in self._hosted_by_model.items()
            if self._homes.home(model) == own.vm
        ]

    async def on_load_report(
        self, name: str, upstream: catalogue.Upstream, load: engine.EngineLoad
    ) -> None:
        """Pass a load report to the reconciler if this is the home."""
        if self._homes.home(upstream.pool) == self._app.identity.vm:
            await self._reconciler.reconcile(name, upstream, load)

    def accept_leases(self, sender: peers.Sender, content: bytes) -> None:
        """Accept the leases section of a heartbeat."""
        self._on_leases(sender, _DECODER.decode(content))

    def _host(self, model: str) -> _HostedShard:
        """Return the hosted shard of a model; host it from now on if new."""
        hosted = self._hosted_by_model.get(model)
        if hosted is not None:
            return hosted
        app = self._app
        shard = pool_shards.Shard(
            app,
            self._messenger,
            model,
            pool.PoolScheduler(app.clock, app.rng, app.events.add),
            self._quarantine,
            self._read_load,
        )
        watch = engine_watch.EngineWatch(
            app,
            shard,
            self._table.client,
            self._detector,
            self._canceller.cancel,
            self._report_untracked,
            self,
        )
        hosted = _HostedShard(shard, watch, app.clock.monotonic())
        self._hosted_by_model[model] = hosted
        watch.set_engines(self._table.engines_of_model(model))
        app.events.add('shard.home', model=model)
        app.spawn('placement', 'rebuild', self._rebuild(hosted))
        return hosted

    def _close(self, hosted: _HostedShard) -> None:
        hosted.watch.close()
        hosted.shard.close()

    async def _rebuild(self, hosted: _HostedShard) -> None:
        """Rebuild the reservations from engines' reports and peers' leases."""
        # The previous home probably crashed, so its reply isn't awaited.
        previous = self._homes.home(hosted.shard.model)
        awaited = [self._request_leases(hosted.shard, self._app.identity.vm)]
        for vm in self._membership.live():
            if vm == self._app.identity.vm:
                continue
            request = self._request_leases(hosted.shard, vm)
            if vm == previous or self._homes.is_unresponsive(vm):
                self._app.spawn('placement', 'gather', request)
            else:
                awaited.append(request)
        await hosted.watch.read_all_loads()
        hosted.shard.restore_history(await asyncio.gather(*awaited))
        hosted.shard.ready.set()

    async def _request_leases(
        self, shard: pool_shards.Shard, vm: str
    ) -> placement_messages.Leases:
        request = placement_messages.LeasesRequest(shard.model)
        reply = await self._messenger.ask(vm, request, REBUILD_TIMEOUT_SECONDS)
        if reply.is_error():
            return placement_messages.Leases(())
        leases: placement_messages.Leases = reply.ok
        for lease in leases.leases:
            shard.restore_reservations(lease.moved_reservations)
        return leases

    async def _read_load(self, name: str) -> engine.EngineLoad | None:
        client = self._table.client(name)
        if client is None:
            return None
        try:
            async with asyncio.timeout(engine_watch.LOAD_TIMEOUT_SECONDS):
                load = await client.load()
        except TimeoutError:
            return None
        return load.ok if load.is_ok() else None

    def _report_untracked(
        self,
        incarnation: kernel.Incarnation,
        upstream: str,
        numbers: tuple[int, ...],
    ) -> None:
        """Tell a daemon of its requests at an engine that have no grant."""
        member = self._membership.members().get(incarnation.vm)
        current = member.incarnation if member is not None else ''
        if incarnation.vm == self._app.identity.vm:
            current = str(self._app.incarnation)
        if current == str(incarnation):
            untracked = placement_messages.UntrackedRequests(upstream, numbers)
            self._messenger.tell(incarnation.vm, untracked)

    # Messages from edges

    async def _on_submit(
        self, sender: peers.Sender, message: placement_messages.SubmitRequest
    ) -> placement_messages.SubmitReply:
        return await self._host(message.model).shard.submit(sender, message)

    def _on_progress(
        self, sender: peers.Sender, report: placement_messages.ProgressReport
    ) -> None:
        shard = self.shard(report.model)
        if shard is not None:
            shard.apply_progress(sender, report)

    def _on_leases(
        self, sender: peers.Sender, leases: placement_messages.Leases
    ) -> None:
        for lease in leases.leases:
            unknown = self._host(lease.model).shard.renew_leases(sender, lease)
            if unknown:
                reply = placement_messages.UnknownReservations(
                    lease.model, unknown
                )
                self._messenger.tell(sender.vm, reply)

    async def _on_regrant(
        self, sender: peers.Sender, message: placement_messages.RegrantRequest
    ) -> placement_messages.RegrantReply:
        hosted = self._host(message.model)
        if message.error_code == 'full':
            # The reservations were incomplete: another home may grant too.
            await hosted.watch.refresh_load(message.upstream)
        return placement_messages.RegrantReply(
            hosted.shard.regrant(message.request_id, message.error_code)
        )

    async def _on_crash_report(
        self, sender: peers.Sender, message: placement_messages.CrashReport
    ) -> placement_messages.CrashReportReply:
        shard = self._host(message.model).shard
        return placement_messages.CrashReportReply(
            await shard.record_crash(sender, message)
        )


def _summary(hosted: _HostedShard) -> pool.ShardSummary:
    summary = hosted.shard.summary()
    if hosted.watch.has_usable_engines():
        return summary
    return summary._replace(free_slots=0, expected_wait=NO_ENGINE_WAIT_SECONDS)
