"""The edge's side of homes: submissions, leases and their renewal."""

import asyncio
import collections
import contextlib

from expression import Result
import msgspec

from corianderspar import canceller
from corianderspar import engine_table
from corianderspar import executions
from corianderspar import homes
from corianderspar import kernel
from corianderspar import messenger as messengers
from corianderspar import outbox
from corianderspar import peers as peer_messages
from corianderspar import placement_messages as messages
from corianderspar import pool
from corianderspar import pool_shards
from corianderspar import shard_history
from corianderspar import spill
from corianderspar import suspects

ASK_SECONDS = 0.25
ASK_TRIES = 2
ASK_AGAIN_SECONDS = 2.0
CRASH_SECONDS = 2.0
RETRY_SECONDS = 0.05

_ENCODER = msgspec.msgpack.Encoder()

Waiter = asyncio.Future[messages.SubmitReply | None]


class SchedulerClient:
    """Every request of this daemon that waits for or holds a grant.

    Each second all of them are listed to their homes. What a home does
    not know it asks for in full; what is not listed it drops.

    Parameters
    ----------
    app : Application
        Gives time and the incarnation.
    messenger : Messenger
        Sends to peers and to this daemon itself.
    where : Homes
        Picks the home of a shard here.
    spilling : Spill
        Knows the shards of other data centres.
    table : EngineTable
        Says whether a model has engines here.
    suspected : Suspects
        Is told of a crash that no home takes note of.
    cancelling : Canceller
        Cancels what an engine holds though nothing here wants it.
    counts : collections.Counter
        Counts ``home_silent``, ``late_grant`` and ``strays``.
    """

    def __init__(
        self,
        app: kernel.Application,
        messenger: messengers.Messenger,
        where: homes.Homes,
        spilling: spill.Spill,
        table: engine_table.EngineTable,
        suspected: suspects.Suspects,
        cancelling: canceller.Canceller,
        counts: collections.Counter[str],
    ) -> None:
        self._app = app
        self._messenger = messenger
        self._where = where
        self._spill = spilling
        self._table = table
        self._suspected = suspected
        self._cancelling = cancelling
        self._counts = counts
        self._outbox = outbox.Outbox(app, messenger)
        self._number = 0
        self._executions_by_number: dict[int, executions.Execution] = {}
        self._waiters_by_number: dict[int, Waiter] = {}
        self._history_by_model: dict[str, shard_history.ShardHistory] = {}
        messenger.handle('booked', self._on_booked)
        messenger.handle('lease-query', self._on_lease_query)
        messenger.handle('missing', self._on_missing)
        messenger.handle('held', self._on_held)

    def __len__(self) -> int:
        """Return how many requests wait or hold a grant."""
        return len(self._executions_by_number)

    # For executions

    def new_number(self) -> int:
        """Return a number that no request of this incarnation had."""
        self._number += 1
        return self._number

    async def submit(
        self, execution: executions.Execution, job: pool.Job
    ) -> messages.SubmitReply:
        """Return the home's decision on a job, however long it takes."""
        number = execution.number
        deadline = self._app.clock.monotonic() + job.max_wait
        self._executions_by_number[number] = execution
        execution.remote_data_centre = ''
        try:
            while True:
                if not execution.remote_data_centre:
                    execution.remote_data_centre = self._place(
                        execution.request.model
                    )
                left = max(0.0, deadline - self._app.clock.monotonic())
                booking = await self._submit_once(
                    execution, job._replace(max_wait=left)
                )
                if booking is not None:
                    return booking
        finally:
            self._waiters_by_number.pop(number, None)

    async def regrant(
        self, execution: executions.Execution, code: str
    ) -> pool.Grant | None:
        """Return a new grant after a failed transfer."""
        self._outbox.flush()
        grant = execution.grant
        message = messages.RegrantRequest(
            execution.request.model,
            execution.run_id,
            grant.decode if grant is not None else '',
            code,
        )
        reply = await self._messenger.ask(execution.home, message, ASK_SECONDS)
        if reply.is_error():
            self._where.mark_unresponsive(execution.home)
            return None
        rebooked: messages.RegrantReply = reply.ok
        return rebooked.grant

    async def report_crash(
        self, execution: executions.Execution, upstream: str
    ) -> None:
        """Report that an engine died under a request."""
        message = messages.CrashReport(
            execution.request.model,
            upstream,
            execution.number,
            execution.fingerprint,
        )
        reply = await self._messenger.ask(
            execution.home, message, CRASH_SECONDS
        )
        if reply.is_error():
            self._where.mark_unresponsive(execution.home)
            self._suspected.crashed(upstream, [execution.fingerprint])

    def report_progress(
        self,
        execution: executions.Execution,
        update: messages.ProgressUpdate,
        urgent: bool = False,
    ) -> None:
        """Tell the home how a request has come on."""
        if execution.home:
            self._outbox.add(
                execution.home, execution.request.model, update, urgent
            )

    def remove(self, number: int, is_complete: bool) -> None:
        """Forget a number, and keep the length of a whole answer."""
        execution = self._executions_by_number.pop(number, None)
        if execution is None or not is_complete:
            return
        request = execution.request
        self._learned(request.model).add_answer(
            request.account, request.route, execution.tokens
        )

    def record_prefill(self, execution: executions.Execution) -> None:
        """Keep that an engine has a prompt cached now."""
        job, grant = execution.job, execution.grant
        if job is not None and grant is not None:
            learned = self._learned(execution.request.model)
            learned.add_prefill(grant.prefill, job.blocks)

    def _learned(self, model: str) -> shard_history.ShardHistory:
        return self._history_by_model.setdefault(
            model, shard_history.ShardHistory()
        )

    # Submitting

    async def _submit_once(
        self, execution: executions.Execution, job: pool.Job
    ) -> messages.SubmitReply | None:
        """Submit once; None if it has to be done again."""
        home = self._choose_home(execution)
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_number[execution.number] = waiter
        message = messages.SubmitRequest(
            execution.request.model,
            job,
            bool(execution.remote_data_centre),
            execution.first_token_remaining(),
        )
        reply = await self._ask(home, message)
        if reply.is_error():
            self._counts['home_silent'] += 1
            self._where.mark_unresponsive(home)
            execution.remote_data_centre = ''
            await self._app.clock.sleep(RETRY_SECONDS)
            return None
        booking: messages.SubmitReply = reply.ok
        if booking.state == 'waiting':
            late = await self._late(waiter)
            if late is None:
                return None
            booking = late
        return await self._judge(execution, home, booking)

    async def _ask(
        self, home: str, message: messages.SubmitRequest
    ) -> Result[messages.SubmitReply, peer_messages.PeerError]:
        reply = await self._messenger.ask(home, message, ASK_SECONDS)
        for _ in range(ASK_TRIES - 1):
            # Another request may have found the home silent before.
            if reply.is_ok() or self._where.is_unresponsive(home):
                return reply
            reply = await self._messenger.ask(home, message, ASK_SECONDS)
        return reply

    async def _late(self, waiter: Waiter) -> messages.SubmitReply | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ASK_AGAIN_SECONDS):
                return await waiter
        return None

    async def _judge(
        self,
        execution: executions.Execution,
        home: str,
        booking: messages.SubmitReply,
    ) -> messages.SubmitReply | None:
        if booking.state == 'granted':
            execution.registered_home = home
            return booking
        code = booking.problem.code if booking.problem is not None else ''
        if execution.remote_data_centre:
            self._spill.refused(
                execution.remote_data_centre, execution.request.model
            )
            execution.remote_data_centre = ''
            return None
        if code == 'closing':
            await self._app.clock.sleep(RETRY_SECONDS)
            return None
        return booking

    def _place(self, model: str) -> str:
        """Return the other data centre to use, empty for this one."""
        here = bool(self._table.engines_of_model(model))
        state = self._spill.choose(model, here)
        return state.data_centre if state is not None else ''

    def _choose_home(self, execution: executions.Execution) -> str:
        home = self._home_of(execution)
        if execution.home and home != execution.home:
            update = messages.ProgressUpdate(
                execution.number, 'release', 0, 0, 'gone'
            )
            self.report_progress(execution, update, urgent=True)
        execution.home = home
        return home

    def _home_of(self, execution: executions.Execution) -> str:
        model = execution.request.model
        if execution.remote_data_centre:
            remote = self._spill.home(execution.remote_data_centre, model)
            return remote or execution.home
        return self._where.home(model)

    # Moving to other homes, and leases

    def update_homes(self) -> None:
        """Move what is here to the homes as they are seen now."""
        moved = set()
        for execution in self._executions_by_number.values():
            home = self._home_of(execution)
            if not execution.home or home == execution.home:
                continue
            waiter = self._waiters_by_number.get(execution.number)
            if execution.grant is not None:
                execution.home = home
                moved.add(home)
            elif waiter is not None and not waiter.done():
                waiter.set_result(None)
        for home in sorted(moved):
            self.send_leases(home)

    def homes_with_leases(self) -> list[str]:
        """Return the homes that have leases of this daemon."""
        return sorted(
            {
                execution.home
                for execution in self._executions_by_number.values()
                if execution.home
            }
        )

    def send_leases(self, vm: str) -> None:
        """Renew all leases at a home."""
        leases = self._leases(vm)
        if leases.items:
            self._messenger.tell(vm, leases)

    def provide_leases(self, vm: str) -> bytes | None:
        """Return all leases at a home, for a heartbeat."""
        leases = self._leases(vm)
        return _ENCODER.encode(leases) if leases.items else None

    def flush(self) -> None:
        """Send all steps that wait."""
        self._outbox.flush()

    def _leases(self, vm: str) -> messages.Leases:
        # A step sent later than the list could speak of what it lacks.
        self._outbox.flush()
        numbers_by_model: dict[str, list[int]] = {}
        for number, execution in self._executions_by_number.items():
            if execution.home == vm:
                model = execution.request.model
                numbers_by_model.setdefault(model, []).append(number)
        return messages.Leases(
            tuple(
                self._lease(vm, model, numbers)
                for model, numbers in numbers_by_model.items()
            )
        )

    def _lease(
        self, vm: str, model: str, numbers: list[int]
    ) -> messages.Lease:
        waiting, held, moved = [], [], []
        for number in numbers:
            execution = self._executions_by_number[number]
            reservation = execution.reservation()
            if reservation is None:
                waiting.append(number)
                continue
            held.append(number)
            if execution.registered_home != vm:
                execution.registered_home = vm
                moved.append(reservation)
        return messages.Lease(model, tuple(waiting), tuple(held), tuple(moved))

    # Messages from homes

    async def _on_booked(
        self, sender: peer_messages.Sender, message: messages.DeferredReply
    ) -> None:
        number = pool_shards.request_number(message.request_id)
        execution = self._executions_by_number.get(number)
        waiter = self._waiters_by_number.get(number)
        if execution is None or execution.home != sender.vm:
            # The lease of that home will not list it.
            self._counts['late_grant'] += 1
        elif waiter is not None and not waiter.done():
            waiter.set_result(message.booking)

    async def _on_lease_query(
        self, sender: peer_messages.Sender, query: messages.LeasesRequest
    ) -> messages.Leases:
        moved = [
            reservation
            for execution in self._executions_by_number.values()
            if execution.request.model == query.model
            and not execution.remote_data_centre
            and (reservation := execution.reservation()) is not None
        ]
        lease = messages.Lease(query.model, (), (), tuple(moved))
        learned = self._learned(query.model)
        return messages.Leases(
            (lease,), learned.answer_lengths(), learned.cached_blocks()
        )

    async def _on_missing(
        self,
        sender: peer_messages.Sender,
        message: messages.UnknownReservations,
    ) -> None:
        found = False
        for number in message.numbers:
            execution = self._executions_by_number.get(number)
            if (
                execution is not None
                and execution.registered_home == sender.vm
            ):
                execution.registered_home = ''
                found = True
        if found:
            self.send_leases(sender.vm)

    async def _on_held(
        self, sender: peer_messages.Sender, message: messages.UntrackedRequests
    ) -> None:
        for number in message.numbers:
            if number not in self._executions_by_number:
                self._counts['strays'] += 1
                request = pool_shards.request_id(
                    str(self._app.incarnation), number
                )
                self._cancelling.cancel((message.upstream,), request)
