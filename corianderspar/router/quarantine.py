"""The service that refuses requests that crash upstreams."""

import asyncio

import msgspec

from corianderspar import decoding
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
# hashing, a daemon waits before a probe, so that it hears of another one.
PROBE_STAGGER_SECONDS = 1.0
# Of the known daemons, that have to be heard for a probe. Each side of a
# partition learns of poison by itself, and may not add a probe as well.
MIN_PROBE_LIVE_SHARE = 0.5
MAX_LOGGED_CHARACTERS = 200


class Quarantine:
    """The service ``quarantine``.

    Suspects of a crash are the requests that their upstream had just begun
    to answer, and the parts of their prompts. Crashes are shared with peers
    in the heartbeat section ``parts``.

    Parameters
    ----------
    calls : UpstreamCalls
        The client for the upstreams.
    """

    name = 'quarantine'
    requires: tuple[str, ...] = ('beliefs', 'fleet')

    def __init__(self, calls: upstreams.UpstreamCalls) -> None:
        self._calls = calls
        self._part_crashes = prompt_poison.PartCrashes()
        self._digests_by_incarnation: dict[str, int] = {}
        self._logged_parts: frozenset[str] = frozenset()

    async def start(self, app: kernel.Application) -> None:
        """Begin to exchange crashes with peers."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._membership = app.find('fleet', membership.Membership)
        self._membership.add_section(
            'parts', self._provide_parts, self._accept_parts
        )
        self._membership.on_ended.append(self._forget_peer)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def check(self, context: request_context.RequestContext) -> None:
        """Refuse a request that was at too many crashes, or has such a part.

        Once in a while such a request is let through, to find out whether
        the request or the part is to blame.

        Raises
        ------
        RequestError
            Without ``retry_after``, since a resend would crash the next
            upstream.
        """
        convicted = self._convicted(context)
        part_count = sum(
            not poison.is_whole_request(suspect) for suspect in convicted
        )
        # With two parts, a crash would not tell which of them is to blame.
        if convicted and part_count <= 1 and self._may_probe(convicted):
            self._begin_probe(context, convicted)
        self.refuse_convicted(context)

    async def check_again(
        self, context: request_context.RequestContext
    ) -> None:
        """Check a request again just before it is sent.

        Before a repeat, it is known by then whether the engine before it
        crashed.

        Raises
        ------
        RequestError
            As `check` does.
        """
        if await self.is_refused(context):
            self.refuse_convicted(context)

    async def is_refused(
        self, context: request_context.RequestContext
    ) -> bool:
        """Return whether a request may not be sent, as `check_again`."""
        # The first crash convicts nobody.
        if context.crash_checks and self._part_crashes.has_suspect(
            context.suspects
        ):
            await asyncio.wait(context.crash_checks)
        return bool(self._convicted(context))

    def refuse_convicted(
        self, context: request_context.RequestContext
    ) -> None:
        """Refuse a request that is convicted, or has such a part.

        Raises
        ------
        RequestError
            As `check` does.
        """
        convicted = self._convicted(context)
        if not convicted:
            return
        now = self._app.clock.monotonic()
        for suspect in convicted:
            self._part_crashes.renew(suspect, now)
        suspect = convicted[0]
        conviction = self._part_crashes.convictions()[suspect]
        name = f'part {_shorten((suspect,))} of the prompt'
        if poison.is_whole_request(suspect):
            name = f'request {context.fingerprint}'
        raise _refusal(
            context,
            f'{name} was present at {conviction.crash_count} crashes, '
            f'the last {now - conviction.newest_at:.1f} s ago',
        )

    def record_broken(
        self,
        context: request_context.RequestContext,
        run: request_context.UpstreamRun,
    ) -> None:
        """Note that the connection broke on which a request was running.

        A request whose answer had begun well before is none that crashes
        engines. For others, it is found out whether the engine crashed;
        another request may have crashed it as well.
        """
        if run.has_survived:
            return
        now = self._app.clock.monotonic()
        check = self._app.spawn(
            self.name,
            'crash check',
            self._check_crash(context, run, now, bool(context.probed)),
        )
        context.crash_checks.add(check)
        check.add_done_callback(context.crash_checks.discard)
        context.probed = ()

    def record_progress(self, context: request_context.RequestContext) -> None:
        """Clear a request whose answer goes on, and its parts.

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
            self._clear(context)

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

    def record_answer(
        self,
        context: request_context.RequestContext,
        run: request_context.UpstreamRun,
        is_framed: bool,
        is_empty: bool,
    ) -> None:
        """Clear a request that a plain upstream answered.

        An empty answer that does not state its end may be one that a crash
        broke off.
        """
        run.is_framed = is_framed
        if is_empty and not is_framed:
            self.record_broken(context, run)
            return
        run.first_event_at = self._app.clock.monotonic()
        self.record_success(context, run)

    def record_success(
        self,
        context: request_context.RequestContext,
        run: request_context.UpstreamRun,
    ) -> None:
        """Clear a request that its upstream survived, and its parts."""
        if run.first_event_at is None:
            return
        if run.is_framed or run.has_survived:
            self._clear(context)
        elif self._part_crashes.has_suspect(context.suspects):
            # It may have been broken off by a crash.
            self._app.spawn(
                self.name, 'end check', self._check_end(context, run)
            )

    async def _check_end(
        self,
        context: request_context.RequestContext,
        run: request_context.UpstreamRun,
    ) -> None:
        if not await self._is_unreachable(run.upstream):
            self._clear(context)

    def _clear(self, context: request_context.RequestContext) -> None:
        """Note that an engine survived a request."""
        lifted = self._part_crashes.record_success(
            context.suspects, self._app.clock.monotonic()
        )
        if lifted:
            self._membership.broadcast_soon()
            self._log_changes(f'answer to {context.request.request_id}')

    async def _check_crash(
        self,
        context: request_context.RequestContext,
        run: request_context.UpstreamRun,
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
            mark=context.fingerprint,
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
        run: request_context.UpstreamRun,
        at: float,
        is_probe: bool,
    ) -> None:
        self._part_crashes.record_crash(
            f'{run.upstream.instance}@{run.upstream.started_ms}',
            context.suspects,
            at,
            self._app.clock.monotonic(),
            is_probe,
        )
        self._membership.broadcast_soon()
        self._app.events.add(
            'request.at_crash',
            request=context.request.request_id,
            mark=context.fingerprint,
            count=self._part_crashes.suspect_count(context.suspects[-1]),
            upstream=run.upstream.instance,
        )
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
        run: request_context.UpstreamRun,
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

    def _convicted(
        self, context: request_context.RequestContext
    ) -> tuple[str, ...]:
        """Return what a request is refused for, unless it tests that."""
        convictions = self._part_crashes.convictions()
        if not convictions:
            return ()
        return tuple(
            suspect
            for suspect in context.suspects
            if suspect in convictions and suspect not in context.probed
        )

    def _may_probe(self, convicted: tuple[str, ...]) -> bool:
        """Return whether this daemon is the first whose probe is due."""
        now = self._app.clock.monotonic()
        due_at = max(map(self._part_crashes.probe_due_at, convicted))
        if (
            now < due_at
            or self._membership.live_share() < MIN_PROBE_LIVE_SHARE
        ):
            return False
        ranked = rendezvous.rank(
            f'poison/{convicted[0]}', self._membership.live()
        )
        vm = self._app.identity.vm
        turn = ranked.index(vm) if vm in ranked else len(ranked)
        return now >= due_at + turn * PROBE_STAGGER_SECONDS

    def _begin_probe(
        self,
        context: request_context.RequestContext,
        convicted: tuple[str, ...],
    ) -> None:
        context.probed = convicted
        for suspect in convicted:
            self._part_crashes.record_probe(
                suspect, self._app.clock.monotonic()
            )
            self._log_suspect(
                suspect, 'probed', request=context.request.request_id
            )
        self._membership.broadcast_soon()

    def _log_changes(self, cause: str) -> None:
        """Log who was convicted or cleared since the last call."""
        now = self._app.clock.monotonic()
        convictions = self._part_crashes.convictions()
        for part in sorted(convictions.keys() - self._logged_parts):
            conviction = convictions[part]
            self._log_suspect(
                part,
                'convicted',
                crashes=conviction.crash_count,
                newest_age=f'{now - conviction.newest_at:.2f}',
                proven=conviction.is_proven,
                tied=conviction.is_tied,
                cause=cause,
            )
        for part in sorted(self._logged_parts - convictions.keys()):
            self._log_suspect(
                part,
                'cleared',
                crashes=self._part_crashes.suspect_count(part),
                proven=self._part_crashes.has_success(part),
                cause=cause,
            )
        self._logged_parts = frozenset(convictions)

    def _log_suspect(
        self, suspect: str, outcome: str, **fields: object
    ) -> None:
        if poison.is_whole_request(suspect):
            mark = suspect.removeprefix(poison.SUSPECT_PREFIX)
            self._app.events.add(f'request.{outcome}', mark=mark, **fields)
        else:
            part = _shorten((suspect,))
            self._app.events.add(f'part.{outcome}', part=part, **fields)

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
        except decoding.ERRORS as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._digests_by_incarnation[sender.incarnation] = message.digest
        if message.crashes_by_process:
            self._part_crashes.merge(message, self._app.clock.monotonic())
            self._log_changes(f'peer {sender.vm}')

    def _forget_peer(self, incarnation: str) -> None:
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
