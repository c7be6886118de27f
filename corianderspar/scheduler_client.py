"""An edge's client of the homes' schedulers: jobs, grants and leases."""

import asyncio
import collections
import contextlib

from expression import Result
import msgspec

from corianderspar import cancellation
from corianderspar import engine_table
from corianderspar import executions
from corianderspar import homes
from corianderspar import kernel
from corianderspar import messenger as messengers
from corianderspar import peers
from corianderspar import placement_messages
from corianderspar import poison
from corianderspar import pool
from corianderspar import pool_shards
from corianderspar import progress_batcher
from corianderspar import shard_history
from corianderspar import spill

REPLY_TIMEOUT_SECONDS = 0.25
SUBMIT_ATTEMPTS = 2
RESUBMIT_SECONDS = 2.0
CRASH_REPLY_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.05

_ENCODER = msgspec.msgpack.Encoder()

Waiter = asyncio.Future[placement_messages.SubmitReply | None]


class SchedulerClient:
    """Submits jobs to homes and keeps leases on what they grant.

    Each second all requests of this daemon that wait or have a grant are
    listed to their homes. A home asks for the reservations that it does
    not know, and releases what is not listed.

    Parameters
    ----------
    app : Application
        Provides the clock and the incarnation.
    messenger : Messenger
        Sends to peers and to this daemon itself.
    home_lookup : Homes
        The homes of shards in this data centre.
    spill_policy : SpillPolicy
        The shards of other data centres.
    table : EngineTable
        Finds out whether a model has engines in this data centre.
    quarantine : Quarantine
        Records a crash if the home does not reply.
    canceller : Canceller
        Cancels requests at engines that this daemon does not run.
    counts : collections.Counter
        Counts ``home_silent`` (a home did not reply to a job),
        ``late_grant`` (a deferred reply for a request that has ended or
        has another home) and ``strays`` (a request at an engine that this
        daemon does not run).
    """

    def __init__(
        self,
        app: kernel.Application,
        messenger: messengers.Messenger,
        home_lookup: homes.Homes,
        spill_policy: spill.SpillPolicy,
        table: engine_table.EngineTable,
        quarantine: poison.Quarantine,
        canceller: cancellation.Canceller,
        counts: collections.Counter[str],
    ) -> None:
        self._app = app
        self._messenger = messenger
        self._homes = home_lookup
        self._spill_policy = spill_policy
        self._table = table
        self._quarantine = quarantine
        self._canceller = canceller
        self._counts = counts
        self._progress_batcher = progress_batcher.ProgressBatcher(
            app, messenger
        )
        self._last_number = 0
        self._executions_by_number: dict[int, executions.Execution] = {}
        self._waiters_by_number: dict[int, Waiter] = {}
        self._histories_by_model: dict[str, shard_history.ShardHistory] = {}
        messenger.handle('booked', self._on_deferred_reply)
        messenger.handle('lease-query', self._on_leases_request)
        messenger.handle('missing', self._on_unknown_reservations)
        messenger.handle('held', self._on_untracked_requests)

    def __len__(self) -> int:
        """Return how many requests wait or have a grant."""
        return len(self._executions_by_number)

    # For executions

    def new_number(self) -> int:
        """Return a number that this incarnation has not used before."""
        self._last_number += 1
        return self._last_number

    async def submit(
        self, execution: executions.Execution, job: pool.Job
    ) -> placement_messages.SubmitReply:
        """Return the home's decision on a job, however long it takes."""
        number = execution.number
        deadline = self._app.clock.monotonic() + job.max_wait
        self._executions_by_number[number] = execution
        execution.remote_data_centre = ''
        try:
            while True:
                if not execution.remote_data_centre:
                    execution.remote_data_centre = self._choose_data_centre(
                        execution.request.model
                    )
                remaining = max(0.0, deadline - self._app.clock.monotonic())
                reply = await self._submit_once(
                    execution, job._replace(max_wait=remaining)
                )
                if reply is not None:
                    return reply
        finally:
            self._waiters_by_number.pop(number, None)

    async def regrant(
        self, execution: executions.Execution, error_code: str
    ) -> pool.Grant | None:
        """Return a new grant after a failed transfer, None if none."""
        self._progress_batcher.flush()
        grant = execution.grant
        message = placement_messages.RegrantRequest(
            execution.request.model,
            execution.run_id,
            grant.decode if grant is not None else '',
            error_code,
        )
        reply = await self._messenger.ask(
            execution.home, message, REPLY_TIMEOUT_SECONDS
        )
        if reply.is_error():
            self._homes.mark_unresponsive(execution.home)
            return None
        regrant_reply: placement_messages.RegrantReply = reply.ok
        return regrant_reply.grant

    async def report_crash(
        self, execution: executions.Execution, upstream: str
    ) -> None:
        """Report that an engine crashed while it ran a request."""
        message = placement_messages.CrashReport(
            execution.request.model,
            upstream,
            execution.number,
            execution.fingerprint,
        )
        reply = await self._messenger.ask(
            execution.home, message, CRASH_REPLY_TIMEOUT_SECONDS
        )
        if reply.is_error():
            self._homes.mark_unresponsive(execution.home)
            self._quarantine.record_crash(upstream, [execution.fingerprint])

    def report_progress(
        self,
        execution: executions.Execution,
        update: placement_messages.ProgressUpdate,
        urgent: bool = False,
    ) -> None:
        """Report the progress of a request to its home.

        Parameters
        ----------
        execution : Execution
            The request.
        update : ProgressUpdate
            Its progress.
        urgent : bool
            Whether to send it at once.
        """
        if execution.home:
            self._progress_batcher.add(
                execution.home, execution.request.model, update, urgent
            )

    def remove(self, number: int, is_complete: bool) -> None:
        """Remove a run; record the length of its answer if complete."""
        execution = self._executions_by_number.pop(number, None)
        if execution is None or not is_complete:
            return
        request = execution.request
        self._history(request.model).add_answer(
            request.account, request.route, execution.tokens
        )

    def record_prefill(self, execution: executions.Execution) -> None:
        """Record that an engine has a request's prompt cached."""
        job, grant = execution.job, execution.grant
        if job is not None and grant is not None:
            history = self._history(execution.request.model)
            history.add_prefill(grant.prefill, job.blocks)

    def _history(self, model: str) -> shard_history.ShardHistory:
        return self._histories_by_model.setdefault(
            model, shard_history.ShardHistory()
        )

    # Jobs

    async def _submit_once(
        self, execution: executions.Execution, job: pool.Job
    ) -> placement_messages.SubmitReply | None:
        """Submit a job once; return None if it has to be submitted again."""
        home = self._choose_home(execution)
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_number[execution.number] = waiter
        message = placement_messages.SubmitRequest(
            execution.request.model,
            job,
            bool(execution.remote_data_centre),
            execution.first_token_remaining(),
        )
        result = await self._send_submit(home, message)
        if result.is_error():
            self._counts['home_silent'] += 1
            self._homes.mark_unresponsive(home)
            execution.remote_data_centre = ''
            await self._app.clock.sleep(RETRY_SECONDS)
            return None
        reply: placement_messages.SubmitReply = result.ok
        if reply.state == 'waiting':
            deferred = await self._deferred_reply(waiter)
            if deferred is None:
                return None
            reply = deferred
        return await self._accept_or_retry(execution, home, reply)

    async def _send_submit(
        self, home: str, message: placement_messages.SubmitRequest
    ) -> Result[placement_messages.SubmitReply, peers.PeerError]:
        result = await self._messenger.ask(
            home, message, REPLY_TIMEOUT_SECONDS
        )
        for _ in range(SUBMIT_ATTEMPTS - 1):
            # Another request may have found the home unresponsive already.
            if result.is_ok() or self._homes.is_unresponsive(home):
                return result
            result = await self._messenger.ask(
                home, message, REPLY_TIMEOUT_SECONDS
            )
        return result

    async def _deferred_reply(
        self, waiter: Waiter
    ) -> placement_messages.SubmitReply | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESUBMIT_SECONDS):
                return await waiter
        return None

    async def _accept_or_retry(
        self,
        execution: executions.Execution,
        home: str,
        reply: placement_messages.SubmitReply,
    ) -> placement_messages.SubmitReply | None:
        """Return a final decision, or None if the job can be retried."""
        if reply.state == 'granted':
            execution.registered_home = home
            return reply
        code = reply.problem.code if reply.problem is not None else ''
        if execution.remote_data_centre:
            self._spill_policy.note_refusal(
                execution.remote_data_centre, execution.request.model
            )
            execution.remote_data_centre = ''
            return None
        if code == 'closing':
            await self._app.clock.sleep(RETRY_SECONDS)
            return None
        return reply

    def _choose_data_centre(self, model: str) -> str:
        """Return the other data centre to use, empty for this one."""
        has_engines = bool(self._table.engines_of_model(model))
        state = self._spill_policy.choose(model, has_engines)
        return state.data_centre if state is not None else ''

    def _choose_home(self, execution: executions.Execution) -> str:
        home = self._home(execution)
        if execution.home and home != execution.home:
            update = placement_messages.ProgressUpdate(
                execution.number, 'release', 0, 0, 'gone'
            )
            self.report_progress(execution, update, urgent=True)
        execution.home = home
        return home

    def _home(self, execution: executions.Execution) -> str:
        model = execution.request.model
        if execution.remote_data_centre:
            remote = self._spill_policy.home(
                execution.remote_data_centre, model
            )
            return remote or execution.home
        return self._homes.home(model)

    # Changes of homes, and leases

    def update_homes(self) -> None:
        """Move requests whose shard has another home now.

        A granted request takes its reservation to the new home; a waiting
        one is submitted there again.
        """
        new_homes = set()
        for execution in self._executions_by_number.values():
            home = self._home(execution)
            if not execution.home or home == execution.home:
                continue
            waiter = self._waiters_by_number.get(execution.number)
            if execution.grant is not None:
                execution.home = home
                new_homes.add(home)
            elif waiter is not None and not waiter.done():
                waiter.set_result(None)
        for home in sorted(new_homes):
            self.send_leases(home)

    def homes_with_leases(self) -> list[str]:
        """Return the homes at which this daemon has leases."""
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
        if leases.leases:
            self._messenger.tell(vm, leases)

    def provide_leases(self, vm: str) -> bytes | None:
        """Return all leases at a home, as a section of a heartbeat."""
        leases = self._leases(vm)
        return _ENCODER.encode(leases) if leases.leases else None

    def flush(self) -> None:
        """Send all updates that wait."""
        self._progress_batcher.flush()

    def _leases(self, vm: str) -> placement_messages.Leases:
        # Updates go first: one sent after the leases could name a request
        # that they no longer list.
        self._progress_batcher.flush()
        numbers_by_model: dict[str, list[int]] = {}
        for number, execution in self._executions_by_number.items():
            if execution.home == vm:
                model = execution.request.model
                numbers_by_model.setdefault(model, []).append(number)
        return placement_messages.Leases(
            tuple(
                self._lease(vm, model, numbers)
                for model, numbers in numbers_by_model.items()
            )
        )

    def _lease(
        self, vm: str, model: str, numbers: list[int]
    ) -> placement_messages.Lease:
        waiting, granted, moved = [], [], []
        for number in numbers:
            execution = self._executions_by_number[number]
            reservation = execution.reservation()
            if reservation is None:
                waiting.append(number)
                continue
            granted.append(number)
            if execution.registered_home != vm:
                execution.registered_home = vm
                moved.append(reservation)
        return placement_messages.Lease(
            model, tuple(waiting), tuple(granted), tuple(moved)
        )

    # Messages from homes

    async def _on_deferred_reply(
        self, sender: peers.Sender, message: placement_messages.DeferredReply
    ) -> None:
        number = pool_shards.request_number(message.request_id)
        execution = self._executions_by_number.get(number)
        waiter = self._waiters_by_number.get(number)
        if execution is None or execution.home != sender.vm:
            # The home releases the grant, as the next lease won't list it.
            self._counts['late_grant'] += 1
        elif waiter is not None and not waiter.done():
            waiter.set_result(message.reply)

    async def _on_leases_request(
        self, sender: peers.Sender, message: placement_messages.LeasesRequest
    ) -> placement_messages.Leases:
        moved = [
            reservation
            for execution in self._executions_by_number.values()
            if execution.request.model == message.model
            and not execution.remote_data_centre
            and (reservation := execution.reservation()) is not None
        ]
        lease = placement_messages.Lease(message.model, (), (), tuple(moved))
        history = self._history(message.model)
        return placement_messages.Leases(
            (lease,), history.answer_lengths(), history.cached_blocks()
        )

    async def _on_unknown_reservations(
        self,
        sender: peers.Sender,
        message: placement_messages.UnknownReservations,
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

    async def _on_untracked_requests(
        self,
        sender: peers.Sender,
        message: placement_messages.UntrackedRequests,
    ) -> None:
        for number in message.numbers:
            if number not in self._executions_by_number:
                self._counts['strays'] += 1
                request_id = pool_shards.make_request_id(
                    str(self._app.incarnation), number
                )
                self._canceller.cancel((message.upstream,), request_id)
