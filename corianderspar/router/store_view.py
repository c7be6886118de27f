"""A daemon's view of the platform's store, and how stale it is.

A daemon follows the store itself or, in a large fleet, one of the daemons
that read the store for others (`relays`). A daemon that cannot reach the
store, or that the store refuses, asks its peers. Each state is passed on
with its staleness: the time since it was verified as the newest. Within one
process the version of the configuration never goes back.
"""

import asyncio
from collections.abc import Callable

from expression import Result
import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import relays
from corianderspar.router import state_messages
from corianderspar.router import store

WATCH_SECONDS = 1.5  # of a long poll; a reader makes one call in this time
STORE_TIMEOUT_SECONDS = 1.0  # beyond the wait; then the call is abandoned
# An empty answer that took this part of a long poll verifies the state up to
# then. It is below 1 as the store's clock may differ a little.
LONG_POLL_SHARE = 0.95
STORE_RETRY_SECONDS = 0.25  # between calls to a store that does not answer
MAINTENANCE_SECONDS = 0.25  # between checks for due removals and silence
STORE_SILENT_SECONDS = 0.5  # beyond a long poll; then peers are asked
PEER_TIMEOUT_SECONDS = 0.4  # beyond the time that a peer may hold the reply
# After an outage of the store, live upstreams renew their registrations
# within this time.
REMOVAL_GRACE_SECONDS = 2.0
RELAY_WAIT_SECONDS = 1.0  # a relay holds its reply if nothing changes
BATCH_SECONDS = 0.05  # changes within it go out in one reply
STALE_SECONDS = 3.0  # WATCH_SECONDS, RELAY_WAIT_SECONDS and network delays
# Between calls to the store while the relays' state is stale, as many daemons
# may make them at once.
FALLBACK_SECONDS = 1.0
# A gap between answers that exceeds a long poll by this counts as an outage.
OUTAGE_MARGIN_SECONDS = 0.6


class StoreView:
    """The service ``beliefs``: follows the store.

    Parameters
    ----------
    client : StoreClient
        Reads the store.

    Attributes
    ----------
    configuration : Configuration or None
        The newest known; None before the first.
    upstreams_by_instance : dict of str to Upstream
        All registered upstreams. Those removed about the time of an outage
        of the store stay for `REMOVAL_GRACE_SECONDS` after it.
    revision : int
        Revision of the store up to which all changes are known; 0 for none.
    verified_at : float
        Monotonic seconds at which this state was last verified as the
        newest; -inf for never.
    store_calls : int
        Number of calls to the store.
    on_upstreams_change : list of callable
        Hooks called after changes of the upstreams.
    """

    name = 'beliefs'
    requires: tuple[str, ...] = ('peers', 'fleet')

    def __init__(self, client: store.StoreClient) -> None:
        self.configuration: model.Configuration | None = None
        self.upstreams_by_instance: dict[str, model.Upstream] = {}
        self.revision = 0
        self.verified_at = float('-inf')
        self.store_calls = 0
        self.on_upstreams_change: list[Callable[[], None]] = []
        self._client = client
        self._revisions_by_instance: dict[str, int] = {}
        self._removals_due_by_instance: dict[str, float] = {}
        self._answered_at = float('-inf')
        self._outage_at = float('-inf')
        self._is_store_lost = False
        self._has_snapshot = False
        # Single removals before this revision are unknown, so a peer at an
        # older revision gets a snapshot.
        self._snapshot_revision = 0
        self._changed = asyncio.Event()
        self._is_too_large_by_version: dict[int, bool] = {}
        self._fallback_at = float('-inf')

    async def start(self, app: kernel.Application) -> None:
        """Begin to follow the store."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self._relays = relays.Relays(app, self._membership)
        self._peers.handle(
            'want', state_messages.StateRequest, self._on_state_request
        )
        self._peers.add_reply_type('word', state_messages.EncodedStateReply)
        self._answered_at = app.clock.monotonic()
        app.spawn(self.name, 'follow', self._follow())
        app.spawn(self.name, 'tend', self._maintain())

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def staleness(self) -> float:
        """Return the seconds since this state was verified as the newest."""
        return self._app.clock.monotonic() - self.verified_at

    def ready_upstreams(self, service: str) -> list[model.Upstream]:
        """Return the upstreams of a service that accept requests."""
        return [
            upstream
            for upstream in self.upstreams_by_instance.values()
            if upstream.service == service and upstream.ready
        ]

    async def _follow(self) -> None:
        clock = self._app.clock
        while True:
            relay = self._relays.choose() if self._has_snapshot else None
            if relay is None:
                await self._read_store(WATCH_SECONDS)
                continue
            if relay:
                await self._poll_relay(relay)
            is_due = clock.monotonic() - self._fallback_at >= FALLBACK_SECONDS
            if is_due and self.staleness() > STALE_SECONDS:
                self._fallback_at = clock.monotonic()
                await self._read_store(0.0)
            elif not relay:
                await clock.sleep(STORE_RETRY_SECONDS)

    async def _read_store(self, wait: float) -> None:
        """Call the store once; after a failure wait before returning.

        Parameters
        ----------
        wait : float
            Seconds for which the store may hold the call until a change.
        """
        clock = self._app.clock
        began = clock.monotonic()
        self.store_calls += 1
        if self._has_snapshot:
            result = await self._call_store(
                self._client.watch(self.revision, wait),
                wait + STORE_TIMEOUT_SECONDS,
            )
        else:
            result = await self._call_store(
                self._client.read(), 2 * STORE_TIMEOUT_SECONDS
            )
        if result.is_error():
            self._record_failure(result.error)
            if result.error.code == 'compacted':
                self._has_snapshot = False
                return
            await clock.sleep(STORE_RETRY_SECONDS)
            return
        found = result.ok
        self._record_answer(clock.monotonic())
        if self._has_snapshot:
            self._apply_changes(found.changes, self._outage_at)
        else:
            self._apply_snapshot(found.changes, self._outage_at)
            self._snapshot_revision = found.revision
        self._has_snapshot = True
        self._advance(found.revision)
        verified_at = began
        min_hold = wait * LONG_POLL_SHARE
        if not found.changes and clock.monotonic() - began >= min_hold:
            # The store held the call that long without a change.
            verified_at = began + min_hold
        self.verified_at = max(self.verified_at, verified_at)

    async def _poll_relay(self, relay: str) -> None:
        """Ask a relay for changes; it may hold the request until one."""
        clock = self._app.clock
        began = clock.monotonic()
        request = state_messages.StateRequest(
            self.revision,
            self._version,
            RELAY_WAIT_SECONDS,
            can_read_store=not self._is_store_lost,
        )
        reply = await self._peers.ask(
            relay, request, RELAY_WAIT_SECONDS + PEER_TIMEOUT_SECONDS
        )
        if reply.is_error():
            self._relays.mark_unresponsive(relay, reply.error.code)
            return
        state = self._decode(relay, reply.ok)
        if state is None or state.revision < self.revision:
            self._relays.mark_unresponsive(relay, 'behind')
            return
        if state.version > self._version and state.configuration is None:
            await self._read_store(0.0)
            return
        self._apply_reply(relay, state, began)
        if self.staleness() < STALE_SECONDS:
            self._record_answer(clock.monotonic())
        else:
            self._relays.mark_unresponsive(relay, 'stale')

    @property
    def _version(self) -> int:
        return self.configuration.version if self.configuration else 0

    def _advance(self, revision: int) -> None:
        if revision <= self.revision:
            return
        self.revision = revision
        # Wakes the requests that are held; later ones wait for a new event.
        self._changed.set()
        self._changed = asyncio.Event()

    async def _call_store(
        self, call: object, seconds: float
    ) -> Result[store.Changes, store.StoreError]:
        try:
            async with asyncio.timeout(seconds):
                return await call  # type: ignore[misc]
        except TimeoutError:
            return _unreachable('no answer in time')

    def _record_answer(self, now: float) -> None:
        if now - self._answered_at > WATCH_SECONDS + OUTAGE_MARGIN_SECONDS:
            self._outage_at = now
        self._answered_at = now
        if self._is_store_lost:
            self._is_store_lost = False
            self._outage_at = now
            self._app.events.add('store.regained', revision=self.revision)

    def _record_failure(self, error: store.StoreError) -> None:
        if error.code == 'compacted':
            self._app.events.add('store.compacted', revision=self.revision)
            return
        if not self._is_store_lost:
            self._is_store_lost = True
            self._app.events.add(
                'store.lost', code=error.code, detail=error.detail
            )
        self._outage_at = self._app.clock.monotonic()

    def _apply_snapshot(
        self, changes: tuple[store.Change, ...], outage_at: float
    ) -> None:
        """Replace the registrations by those of a snapshot.

        Parameters
        ----------
        changes : tuple of Change
            Everything in the store.
        outage_at : float
            Monotonic seconds at which the source of the changes was last cut
            off from the store.
        """
        present = {change.instance for change in changes if change.upstream}
        for instance in list(self.upstreams_by_instance):
            if instance not in present:
                self._remove_upstream(instance, 'missing', outage_at)
        self._apply_changes(changes, outage_at)

    def _apply_changes(
        self, changes: tuple[store.Change, ...], outage_at: float
    ) -> None:
        """Apply changes; ``outage_at`` is as in `_apply_snapshot`."""
        for change in changes:
            if change.fault:
                self._app.events.add(
                    'store.unreadable',
                    instance=change.instance,
                    revision=change.revision,
                    why=change.fault,
                )
            if change.configuration is not None:
                self._adopt(change.configuration, 'store')
            if not change.instance:
                continue
            known = self._revisions_by_instance.get(change.instance, 0)
            if change.revision < known:
                continue
            self._revisions_by_instance[change.instance] = change.revision
            if change.upstream is None:
                self._remove_upstream(change.instance, 'removed', outage_at)
            else:
                self._add_upstream(change.upstream, change.revision)
        for hook in self.on_upstreams_change:
            hook()

    def _adopt(self, configuration: model.Configuration, source: str) -> None:
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self._app.events.add(
            'configuration.adopted',
            version=configuration.version,
            before=known.version if known else 0,
            source=source,
        )

    def _add_upstream(self, upstream: model.Upstream, revision: int) -> None:
        self._removals_due_by_instance.pop(upstream.instance, None)
        known = self.upstreams_by_instance.get(upstream.instance)
        self.upstreams_by_instance[upstream.instance] = upstream
        if known != upstream:
            self._app.events.add(
                'upstream.registered',
                instance=upstream.instance,
                service=upstream.service,
                address=upstream.address,
                phase=upstream.phase.value,
                ready=upstream.ready,
                revision=revision,
            )

    def _remove_upstream(
        self, instance: str, reason: str, outage_at: float
    ) -> None:
        if instance not in self.upstreams_by_instance:
            return
        now = self._app.clock.monotonic()
        if now - outage_at < REMOVAL_GRACE_SECONDS:
            # The outage may have kept the upstream from renewing its
            # registration.
            self._removals_due_by_instance.setdefault(
                instance, outage_at + REMOVAL_GRACE_SECONDS
            )
            return
        self._drop_upstream(instance, reason)

    def _drop_upstream(self, instance: str, reason: str) -> None:
        self._removals_due_by_instance.pop(instance, None)
        del self.upstreams_by_instance[instance]
        self._app.events.add(
            'upstream.gone',
            instance=instance,
            why=reason,
            revision=self.revision,
        )

    async def _maintain(self) -> None:
        """Drop upstreams that are due; ask peers while the store is lost."""
        while True:
            await self._app.clock.sleep(MAINTENANCE_SECONDS)
            self._drop_due()
            silence = self._app.clock.monotonic() - self._answered_at
            if self._is_store_lost or (
                silence >= WATCH_SECONDS + STORE_SILENT_SECONDS
            ):
                await self._ask_random_peer()

    def _drop_due(self) -> None:
        now = self._app.clock.monotonic()
        due = [
            i for i, t in self._removals_due_by_instance.items() if t <= now
        ]
        for instance in due:
            self._drop_upstream(instance, 'lapsed')
        if due:
            for hook in self.on_upstreams_change:
                hook()

    async def _ask_random_peer(self) -> None:
        own = self._app.identity.vm
        others = [vm for vm in self._membership.live() if vm != own]
        if not others:
            return
        vm = self._app.rng.choice(others)
        began = self._app.clock.monotonic()
        request = state_messages.StateRequest(self.revision, self._version)
        reply = await self._peers.ask(vm, request, PEER_TIMEOUT_SECONDS)
        state = self._decode(vm, reply.ok) if reply.is_ok() else None
        if state is not None:
            self._apply_reply(vm, state, began)

    async def _on_state_request(
        self, _sender: peers.Sender, request: state_messages.StateRequest
    ) -> state_messages.EncodedStateReply | None:
        """Reply to a peer at the next change or at the end of its wait."""
        if self.revision == 0:
            return None
        clock = self._app.clock
        received = clock.monotonic()
        if request.wait and request.revision >= self.revision:
            try:
                async with asyncio.timeout(request.wait):
                    await self._changed.wait()
                await clock.sleep(BATCH_SECONDS)
            except TimeoutError:
                pass  # the reply says that nothing changed
        is_snapshot = request.revision < self._snapshot_revision
        config = self.configuration
        if config is not None and config.version <= request.version:
            config = None
        if (
            config is not None
            and request.can_read_store
            and self._is_too_large(config)
        ):
            config = None
        now = clock.monotonic()
        return state_messages.encode(
            state_messages.StateReply(
                self.revision,
                self.staleness() - (now - received),
                now - self._outage_at,
                self._version,
                config,
                is_snapshot,
                self._registrations_after(
                    0 if is_snapshot else request.revision
                ),
            )
        )

    def _registrations_after(
        self, after: int
    ) -> tuple[state_messages.Registration, ...]:
        """Return the registrations and removals after a revision.

        An upstream whose removal is put off is given as removed: the receiver
        decides by ``outage_age`` whether to put the removal off as well.
        """
        return tuple(
            state_messages.Registration(
                instance,
                revision,
                None
                if instance in self._removals_due_by_instance
                else self.upstreams_by_instance.get(instance),
            )
            for instance, revision in self._revisions_by_instance.items()
            if revision > after
        )

    def _is_too_large(self, config: model.Configuration) -> bool:
        known = self._is_too_large_by_version.get(config.version)
        if known is None:
            known = state_messages.is_too_large(config)
            self._is_too_large_by_version = {config.version: known}
        return known

    def _decode(
        self, vm: str, encoded: state_messages.EncodedStateReply
    ) -> state_messages.StateReply | None:
        try:
            return state_messages.decode(encoded)
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=vm, why=error)
            return None

    def _apply_reply(
        self, vm: str, state: state_messages.StateReply, began: float
    ) -> None:
        """Adopt the state of a peer unless it is older than this one.

        Parameters
        ----------
        vm : str
            The peer.
        state : StateReply
            Its reply.
        began : float
            Monotonic seconds at which the request was sent.
        """
        if state.revision < self.revision:
            return
        if state.version > self._version and state.configuration is None:
            return
        if state.configuration is not None:
            self._adopt(state.configuration, vm)
        outage_at = self._app.clock.monotonic() - state.outage_age
        if state.revision > self.revision:
            self._apply_registrations(state, outage_at)
        before = self.staleness()
        # The staleness is that at the arrival of the request. `began` is
        # earlier, so the result is never later than the peer's own.
        self.verified_at = max(self.verified_at, began - state.staleness)
        self._advance(state.revision)
        if self.staleness() < before - STALE_SECONDS:
            self._app.events.add(
                'beliefs.from_peer',
                peer=vm,
                revision=state.revision,
                age=f'{self.staleness():.3f}',
            )

    def _apply_registrations(
        self, state: state_messages.StateReply, outage_at: float
    ) -> None:
        changes = tuple(
            store.Change(
                registration.revision,
                instance=registration.instance,
                upstream=registration.upstream,
            )
            for registration in state.registrations
        )
        if state.is_snapshot:
            self._apply_snapshot(changes, outage_at)
            self._snapshot_revision = state.revision
        else:
            self._apply_changes(changes, outage_at)
        self._has_snapshot = True


def _unreachable(
    detail: str,
) -> Result[store.Changes, store.StoreError]:
    failed: Result[store.Changes, store.StoreError] = Result.Error(
        store.StoreError('unreachable', detail)
    )
    return failed
