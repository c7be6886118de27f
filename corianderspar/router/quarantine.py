"""The service that refuses requests that crash upstreams."""

import asyncio

import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar import problems
from corianderspar import rendezvous
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import poison
from corianderspar.router import prompt_poison
from corianderspar.router import request_context
from corianderspar.router import store_view
from corianderspar.router import upstreams

# An engine that crashes this long after the first event of an answer was not
# crashed by it.
JUST_BEGUN_SECONDS = 0.5
# An engine may still accept a connection while it ends.
SECOND_CONNECT_SECONDS = 0.05
# Time for the store to list the process that replaced one at its address.
REPLACEMENT_SECONDS = 5.0
REPLACEMENT_POLL_SECONDS = 1.0
# By this much longer than the daemon before it, in the order of rendezvous
# hashing, a daemon waits until it probes a part, so that it hears of a probe.
PROBE_STAGGER_SECONDS = 1.0
MAX_LOGGED_CHARACTERS = 200


class Quarantine:
    """The service ``quarantine``.

    It shares its crash counts with peers in the heartbeat section
    ``poison``, and the crashes by parts of prompts in the section ``parts``.

    Parameters
    ----------
    calls : UpstreamCalls
        The client for the engines.
    """

    name = 'quarantine'
    requires: tuple[str, ...] = ('beliefs', 'fleet')

    def __init__(self, calls: upstreams.UpstreamCalls) -> None:
        self._calls = calls
        self._crash_counts = poison.CrashCounts()
        self._part_crashes = prompt_poison.PartCrashes()
        self._digests_by_incarnation: dict[str, int] = {}
        self._logged_parts: frozenset[str] = frozenset()
        self._told_at = float('-inf')

    async def start(self, app: kernel.Application) -> None:
        """Begin to exchange crashes with peers."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._membership = app.find('fleet', membership.Membership)
        self._membership.add_section(
            'poison', self._provide_counts, self._accept_counts
        )
        self._membership.add_section(
            'parts', self._provide_parts, self._accept_parts
        )
        self._membership.on_ended.append(self._forget_peer)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def check(self, context: request_context.RequestContext) -> None:
        """Refuse a request that was at too many crashes, or has such a part.

        Once in a while a request with such a part is let through, to find
        out whether the part is to blame.

        Raises
        ------
        RequestError
            Without ``retry_after``, since a resend would crash the next
            upstream.
        """
        count = self._crash_counts.count(
            context.fingerprint, self._app.clock.monotonic()
        )
        if count >= poison.QUARANTINE_CRASHES:
            raise _refusal(context, f'present at {count} crashes')
        convicted = self._convicted_parts(context)
        if len(convicted) == 1 and self._may_probe(convicted[0]):
            self._begin_probe(context, convicted[0])
        self._refuse_convicted(context)

    async def check_again(
        self, context: request_context.RequestContext
    ) -> None:
        """Check the parts of a request just before it is sent.

        Before a repeat, it is known by then whether the engine before it
        crashed.

        Raises
        ------
        RequestError
            As `check` does.
        """
        if context.crash_check is not None:
            await asyncio.wait((context.crash_check,))
            context.crash_check = None
        self._refuse_convicted(context)

    def record_broken(
        self,
        context: request_context.RequestContext,
        run: request_context.EngineRun,
    ) -> None:
        """Note that the connection broke on which a request was running.

        A request whose answer had begun well before is none that crashes
        engines. For one with parts, it is found out whether the engine
        crashed; another one may have crashed it as well.
        """
        if run.has_survived:
            return
        now = self._app.clock.monotonic()
        if context.request.prompt_parts:
            context.crash_check = self._app.spawn(
                self.name,
                'crash check',
                self._check_crash(
                    context, run, now, bool(context.probed_part)
                ),
            )
            context.probed_part = ''
        else:
            self._count_crash(context, run)

    def record_progress(self, context: request_context.RequestContext) -> None:
        """Clear the parts of a request whose answer goes on.

        Called with each piece of the answer.
        """
        run = context.engine_run
        now = self._app.clock.monotonic()
        if run is None or run.has_survived:
            return
        if run.first_event_at is None:
            run.first_event_at = now
        elif now - run.first_event_at >= JUST_BEGUN_SECONDS:
            run.has_survived = True
            self._clear_parts(context)

    def may_be_broken_off(
        self, context: request_context.RequestContext, answer: upstreams.Answer
    ) -> bool:
        """Return whether an answer ended as if its engine had crashed.

        Called at the end of an answer. One that does not state its end looks
        complete if its engine crashes.
        """
        run = context.engine_run
        if run is None:
            return False
        run.is_framed = answer.is_framed
        return not run.is_framed and run.first_event_at is None

    def record_success(self, context: request_context.RequestContext) -> None:
        """Clear a request that its upstream survived, and its parts."""
        self._crash_counts.record_success(context.fingerprint)
        run = context.engine_run
        if run is None or run.first_event_at is None:
            return
        if run.is_framed or run.has_survived:
            self._clear_parts(context)
        elif self._part_crashes.has_suspect(context.request.prompt_parts):
            # It may have been broken off by a crash.
            self._app.spawn(
                self.name, 'end check', self._check_end(context, run)
            )

    async def _check_end(
        self,
        context: request_context.RequestContext,
        run: request_context.EngineRun,
    ) -> None:
        if not await self._is_unreachable(run.upstream):
            self._clear_parts(context)

    def _clear_parts(self, context: request_context.RequestContext) -> None:
        """Note that an engine survived the parts of a request."""
        lifted = self._part_crashes.record_success(
            context.request.prompt_parts, self._app.clock.monotonic()
        )
        if lifted:
            self._tell_peers()
            self._log_changes(f'answer to {context.request.request_id}')

    def _count_crash(
        self,
        context: request_context.RequestContext,
        run: request_context.EngineRun,
    ) -> None:
        """Count a crash that a request's upstream may have had.

        The next heartbeat goes to all peers, also in a large fleet, so that
        they refuse the request before it crashes more upstreams.
        """
        count = self._crash_counts.record_crash(
            context.fingerprint, self._app.clock.monotonic()
        )
        self._membership.broadcast_next()
        self._app.events.add(
            'request.at_crash',
            request=context.request.request_id,
            mark=context.fingerprint,
            count=count,
            upstream=run.upstream.instance,
        )

    async def _check_crash(
        self,
        context: request_context.RequestContext,
        run: request_context.EngineRun,
        at: float,
        is_probe: bool,
    ) -> None:
        """Record a crash if the engine accepts no connection."""
        instances_before = self._instances_at(run.upstream)
        is_crash = await self._is_unreachable(run.upstream)
        self._app.events.add(
            'engine.broke_off',
            request=context.request.request_id,
            upstream=run.upstream.instance,
            begun=run.first_event_at is not None,
            crashed=is_crash,
            probe=is_probe,
            parts=_shorten(context.request.prompt_parts),
        )
        if is_crash:
            self._record_crash(context, run, at, is_probe)
        else:
            self._app.spawn(
                self.name,
                'replacement check',
                self._await_replacement(
                    context, run, at, is_probe, instances_before
                ),
            )

    def _record_crash(
        self,
        context: request_context.RequestContext,
        run: request_context.EngineRun,
        at: float,
        is_probe: bool,
    ) -> None:
        self._count_crash(context, run)
        self._part_crashes.record_crash(
            f'{run.upstream.instance}@{run.upstream.started_ms}',
            context.request.prompt_parts,
            at,
            self._app.clock.monotonic(),
            is_probe,
        )
        self._tell_peers()
        self._log_changes(f'crash of {run.upstream.instance}')

    async def _is_unreachable(self, upstream: model.Upstream) -> bool:
        """Return whether an engine accepts no connections.

        One that does may have had connections reset, or have sent bytes that
        are no answer.
        """
        if (await self._calls.connect(upstream)).is_error():
            return True
        await self._app.clock.sleep(SECOND_CONNECT_SECONDS)
        return (await self._calls.connect(upstream)).is_error()

    async def _await_replacement(
        self,
        context: request_context.RequestContext,
        run: request_context.EngineRun,
        at: float,
        is_probe: bool,
        instances_before: set[str],
    ) -> None:
        """Record a crash once the engine is gone or has been replaced.

        A connection may succeed although the engine is gone, as when
        something between accepts it.
        """
        upstream = run.upstream
        polls = int(REPLACEMENT_SECONDS / REPLACEMENT_POLL_SECONDS)
        for _ in range(polls):
            await self._app.clock.sleep(REPLACEMENT_POLL_SECONDS)
            present = self._store_view.upstreams_by_instance.get(
                upstream.instance
            )
            if (
                present is None
                or present.started_ms != upstream.started_ms
                or not self._instances_at(upstream) <= instances_before
            ):
                self._record_crash(context, run, at, is_probe)
                return

    def _instances_at(self, upstream: model.Upstream) -> set[str]:
        """Return the instances registered at an upstream's address."""
        return {
            each.instance
            for each in self._store_view.upstreams_by_instance.values()
            if each.port == upstream.port and each.host == upstream.host
        }

    def _convicted_parts(
        self, context: request_context.RequestContext
    ) -> list[str]:
        convictions = self._part_crashes.convictions()
        if not convictions:
            return []
        return [
            part
            for part in context.request.prompt_parts
            if part in convictions and part != context.probed_part
        ]

    def _refuse_convicted(
        self, context: request_context.RequestContext
    ) -> None:
        convicted = self._convicted_parts(context)
        if not convicted:
            return
        part = convicted[0]
        now = self._app.clock.monotonic()
        self._part_crashes.renew(part, now)
        conviction = self._part_crashes.convictions()[part]
        raise _refusal(
            context,
            f'part {_shorten((part,))} of the prompt was present at '
            f'{conviction.crash_count} crashes, the last '
            f'{now - conviction.newest_at:.1f} s ago',
        )

    def _may_probe(self, part: str) -> bool:
        """Return whether this daemon is the first whose probe is due."""
        now = self._app.clock.monotonic()
        due_at = self._part_crashes.probe_due_at(part)
        if now < due_at:
            return False
        ranked = rendezvous.rank(f'poison/{part}', self._membership.live())
        vm = self._app.identity.vm
        turn = ranked.index(vm) if vm in ranked else len(ranked)
        return now >= due_at + turn * PROBE_STAGGER_SECONDS

    def _begin_probe(
        self, context: request_context.RequestContext, part: str
    ) -> None:
        context.probed_part = part
        self._part_crashes.record_probe(part, self._app.clock.monotonic())
        self._tell_peers()
        self._app.events.add(
            'part.probed',
            part=_shorten((part,)),
            request=context.request.request_id,
        )

    def _tell_peers(self) -> None:
        """Send a heartbeat to all peers, at once unless one was just sent."""
        now = self._app.clock.monotonic()
        if now - self._told_at < membership.HEARTBEAT_SECONDS:
            self._membership.broadcast_next()
            return
        self._told_at = now
        self._membership.send_now()

    def _log_changes(self, cause: str) -> None:
        """Log which parts were convicted or cleared since the last call."""
        now = self._app.clock.monotonic()
        convictions = self._part_crashes.convictions()
        for part in sorted(convictions.keys() - self._logged_parts):
            conviction = convictions[part]
            self._app.events.add(
                'part.convicted',
                part=_shorten((part,)),
                crashes=conviction.crash_count,
                newest_age=f'{now - conviction.newest_at:.2f}',
                proven=conviction.is_proven,
                tied=conviction.is_tied,
                cause=cause,
            )
        for part in sorted(self._logged_parts - convictions.keys()):
            self._app.events.add(
                'part.cleared',
                part=_shorten((part,)),
                crashes=self._part_crashes.suspect_count(part),
                proven=self._part_crashes.has_success(part),
                cause=cause,
            )
        self._logged_parts = frozenset(convictions)

    def _provide_counts(self, _vm: str) -> bytes | None:
        counts = self._crash_counts.local_counts(self._app.clock.monotonic())
        return msgspec.msgpack.encode(counts)

    def _accept_counts(self, sender: peers.Sender, content: bytes) -> None:
        try:
            counts = msgspec.msgpack.decode(content, type=dict[str, int])
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._crash_counts.set_peer_counts(sender.incarnation, counts)

    def _provide_parts(self, vm: str) -> bytes | None:
        """Return the crashes; only their digest if the peer knows them."""
        now = self._app.clock.monotonic()
        self._part_crashes.prune(now)
        digest = self._part_crashes.digest()
        member = self._membership.members().get(vm)
        incarnation = member.incarnation if member is not None else ''
        if self._digests_by_incarnation.get(incarnation) == digest:
            return msgspec.msgpack.encode(prompt_poison.Message(digest))
        return msgspec.msgpack.encode(
            self._part_crashes.message(now, self._app.rng)
        )

    def _accept_parts(self, sender: peers.Sender, content: bytes) -> None:
        try:
            message = msgspec.msgpack.decode(
                content, type=prompt_poison.Message
            )
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._digests_by_incarnation[sender.incarnation] = message.digest
        if message.crashes_by_process:
            self._part_crashes.merge(message, self._app.clock.monotonic())
            self._log_changes(f'peer {sender.vm}')

    def _forget_peer(self, incarnation: str) -> None:
        self._crash_counts.forget_peer(incarnation)
        self._digests_by_incarnation.pop(incarnation, None)


def _refusal(
    context: request_context.RequestContext, message: str
) -> request_context.RequestError:
    if context.run_count:
        problem = problems.Problem('quarantined', 502, 'unknown', message)
    else:
        problem = problems.Problem('quarantined', 503, 'no', message)
    return request_context.RequestError(problem)


def _shorten(parts: tuple[str, ...]) -> str:
    return ' '.join(parts)[:MAX_LOGGED_CHARACTERS]
