"""The shards whose home this daemon is, or was taken for."""

import asyncio

import msgspec

from corianderspar import canceller
from corianderspar import catalogue
from corianderspar import engine
from corianderspar import engine_table
from corianderspar import engine_watch
from corianderspar import homes
from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import messenger as messengers
from corianderspar import orders
from corianderspar import peers as peer_messages
from corianderspar import placement_messages as messages
from corianderspar import pool
from corianderspar import pool_shards
from corianderspar import reaper
from corianderspar import spill
from corianderspar import suspects

REBUILD_SECONDS = 0.3
RETIRE_SECONDS = 10.0
NO_ENGINE_WAIT_SECONDS = 3600.0

_DECODER = msgspec.msgpack.Decoder(messages.Leases)


class _Home:
    """A shard and what follows its engines."""

    def __init__(
        self,
        shard: pool_shards.Shard,
        watch: engine_watch.EngineWatch,
        now: float,
    ) -> None:
        self.shard = shard
        self.watch = watch
        self.wanted = now


class HomeShards:
    """Answers edges for the shards whose home they take this daemon for.

    Whoever is asked acts as home: two daemons may do so at once, and
    only the engines' own refusals then keep them apart. A new home
    grants nothing before it has read its engines' reports and heard its
    peers' reservations, `REBUILD_SECONDS` at most.

    Parameters
    ----------
    app : Application
        Gives time, randomness and identity.
    messenger : Messenger
        Sends to edges.
    membership : Membership
        Who is alive.
    where : Homes
        Which shards are this daemon's.
    table : EngineTable
        Finds engines.
    suspected : Suspects
        Is told of crashes.
    cancelling : Canceller
        Cancels dead daemons' work.
    reaping : Reaper
        Says who is dead.
    ordering : Orders
        Brings engines to their model and role.
    """

    def __init__(
        self,
        app: kernel.Application,
        messenger: messengers.Messenger,
        membership: memberships.Membership,
        where: homes.Homes,
        table: engine_table.EngineTable,
        suspected: suspects.Suspects,
        cancelling: canceller.Canceller,
        reaping: reaper.Reaper,
        ordering: orders.Orders,
    ) -> None:
        self._app = app
        self._messenger = messenger
        self._membership = membership
        self._where = where
        self._table = table
        self._suspected = suspected
        self._cancelling = cancelling
        self._reaper = reaping
        self._orders = ordering
        self._homes_by_model: dict[str, _Home] = {}
        messenger.handle('submit', self._on_submit)
        messenger.handle_inline('steps', self._on_steps)
        messenger.handle_inline('leases', self._on_leases)
        messenger.handle('transfer-failed', self._on_transfer_failed)
        messenger.handle('crashed', self._on_crashed)

    def shard(self, model: str) -> pool_shards.Shard | None:
        """Return the shard of a model if this daemon acts as its home."""
        home = self._homes_by_model.get(model)
        return home.shard if home is not None else None

    def set_engines(self) -> None:
        """Take the engines of a new catalogue."""
        for model, home in self._homes_by_model.items():
            home.watch.set_engines(self._table.engines_of_model(model))

    def host_own_shards(self) -> None:
        """Act as home for all shards that are this daemon's by its view."""
        for model in self._table.models():
            if self._where.home(model) == self._app.identity.vm:
                self._act(model).wanted = self._app.clock.monotonic()

    def tick(self) -> None:
        """Drop lapsed leases and shards that moved away; each second."""
        now = self._app.clock.monotonic()
        for model, home in list(self._homes_by_model.items()):
            home.shard.expire_leases()
            if not home.shard.is_idle:
                home.wanted = now
            elif now - home.wanted > RETIRE_SECONDS:
                self._close(home)
                del self._homes_by_model[model]

    def close(self) -> None:
        """Refuse what waits; its edges turn to the next homes."""
        for home in self._homes_by_model.values():
            self._close(home)

    @property
    def is_idle(self) -> bool:
        """Whether no edge has anything here."""
        return all(
            home.shard.is_idle for home in self._homes_by_model.values()
        )

    def shard_states(self) -> list[spill.State]:
        """Return the state of each shard that is this daemon's."""
        own = self._app.identity
        return [
            spill.State(model, own.data_centre, own.vm, _summary(home))
            for model, home in self._homes_by_model.items()
            if self._where.home(model) == own.vm
        ]

    async def on_load_report(
        self, name: str, upstream: catalogue.Upstream, load: engine.EngineLoad
    ) -> None:
        """Have an engine ordered, unless another daemon is its home."""
        if self._where.home(upstream.pool) == self._app.identity.vm:
            await self._orders.reported(name, upstream, load)

    def accept_leases(
        self, sender: peer_messages.Sender, content: bytes
    ) -> None:
        """Take the leases out of a heartbeat."""
        self._on_leases(sender, _DECODER.decode(content))

    def _act(self, model: str) -> _Home:
        home = self._homes_by_model.get(model)
        if home is not None:
            return home
        app = self._app
        shard = pool_shards.Shard(
            app,
            self._messenger,
            model,
            pool.PoolScheduler(app.clock, app.rng, app.events.add),
            self._suspected,
            self._read,
        )
        watch = engine_watch.EngineWatch(
            app,
            shard,
            self._table.client,
            self._reaper,
            self._cancelling.cancel,
            self._remind,
            self,
        )
        home = _Home(shard, watch, app.clock.monotonic())
        self._homes_by_model[model] = home
        watch.set_engines(self._table.engines_of_model(model))
        app.events.add('shard.home', model=model)
        app.spawn('placement', 'rebuild', self._rebuild(home))
        return home

    def _close(self, home: _Home) -> None:
        home.watch.close()
        home.shard.close()

    async def _rebuild(self, home: _Home) -> None:
        """Fill the ledger from engines' reports and peers' leases."""
        # The home before this one is likely dead, and not waited for.
        before = self._where.home(home.shard.model)
        work = [self._gather(home.shard, self._app.identity.vm)]
        for vm in self._membership.live():
            if vm == self._app.identity.vm:
                continue
            gathering = self._gather(home.shard, vm)
            if vm == before or self._where.is_unresponsive(vm):
                self._app.spawn('placement', 'gather', gathering)
            else:
                work.append(gathering)
        await home.watch.read_all_loads()
        home.shard.adopt_history(await asyncio.gather(*work))
        home.shard.ready.set()

    async def _gather(
        self, shard: pool_shards.Shard, vm: str
    ) -> messages.Leases:
        query = messages.LeasesRequest(shard.model)
        reply = await self._messenger.ask(vm, query, REBUILD_SECONDS)
        if reply.is_error():
            return messages.Leases(())
        leases: messages.Leases = reply.ok
        for lease in leases.items:
            shard.adopt_reservations(lease.moved)
        return leases

    async def _read(self, name: str) -> engine.EngineLoad | None:
        client = self._table.client(name)
        if client is None:
            return None
        try:
            async with asyncio.timeout(engine_watch.LOAD_TIMEOUT_SECONDS):
                read = await client.load()
        except TimeoutError:
            return None
        return read.ok if read.is_ok() else None

    def _remind(
        self,
        incarnation: kernel.Incarnation,
        upstream: str,
        numbers: tuple[int, ...],
    ) -> None:
        member = self._membership.members().get(incarnation.vm)
        current = member.incarnation if member is not None else ''
        if incarnation.vm == self._app.identity.vm:
            current = str(self._app.incarnation)
        if current == str(incarnation):
            held = messages.UntrackedRequests(upstream, numbers)
            self._messenger.tell(incarnation.vm, held)

    # Messages from edges

    async def _on_submit(
        self, sender: peer_messages.Sender, message: messages.SubmitRequest
    ) -> messages.SubmitReply:
        return await self._act(message.model).shard.submit(sender, message)

    def _on_steps(
        self, sender: peer_messages.Sender, message: messages.ProgressReport
    ) -> None:
        shard = self.shard(message.model)
        if shard is not None:
            shard.apply_progress(sender, message)

    def _on_leases(
        self, sender: peer_messages.Sender, leases: messages.Leases
    ) -> None:
        for lease in leases.items:
            missing = self._act(lease.model).shard.renew_leases(sender, lease)
            if missing:
                again = messages.UnknownReservations(lease.model, missing)
                self._messenger.tell(sender.vm, again)

    async def _on_transfer_failed(
        self, sender: peer_messages.Sender, message: messages.RegrantRequest
    ) -> messages.RegrantReply:
        home = self._act(message.model)
        if message.code == 'full':
            # The ledger was wrong; another home may be at work.
            await home.watch.refresh_load(message.upstream)
        return messages.RegrantReply(
            home.shard.regrant(message.request_id, message.code)
        )

    async def _on_crashed(
        self, sender: peer_messages.Sender, message: messages.CrashReport
    ) -> messages.CrashReportReply:
        shard = self._act(message.model).shard
        return messages.CrashReportReply(
            await shard.record_crash(sender, message)
        )


def _summary(home: _Home) -> pool.ShardSummary:
    summary = home.shard.summary()
    if home.watch.has_usable_engines():
        return summary
    return summary._replace(free_slots=0, expected_wait=NO_ENGINE_WAIT_SECONDS)
