"""A daemon's view of the platform's store, and how stale it is.

A daemon follows the store itself or, in a large fleet, one of the daemons
that read the store for others (`relays`). A daemon that cannot reach the
store, or that the store refuses, asks its peers. Each state is passed on
with its staleness: the time since it was verified as the newest. Within one
process the version of the configuration never goes back.

The store may return from an older copy of its data, which begins a new era
of its revisions. States are ordered by era and revision together. The copy
may lack a configuration that withdrew keys and that nobody has read, so an
answer counts as verification only some time after the daemon learned of the
era, by when the operator has written its configuration again (`verification`).
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import enum
import functools
from typing import NamedTuple

from expression import Result
import msgspec

from corianderspar import decoding
from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import adopted_configuration
from corianderspar.router import change_hooks
from corianderspar.router import evacuations
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import registrations
from corianderspar.router import relays
from corianderspar.router import state_messages
from corianderspar.router import store
from corianderspar.router import store_contact
from corianderspar.router import store_returns
from corianderspar.router import verification

WATCH_SECONDS = 1.5  # of a long poll; a reader makes one call in this time
# Beyond the wait, and between two parts of an answer; then the call is
# abandoned.
STORE_TIMEOUT_SECONDS = 1.0
# For a whole answer of the store. Three versions of a configuration of 250 KB
# take 1.2 s over an idle link of 5 Mbit/s.
MAX_TRANSFER_SECONDS = 6.0
# For all pages of a read, while parts of them arrive. What other writers put
# there takes many; a read that is given up would begin anew. Peers are asked
# meanwhile.
MAX_READ_SECONDS = 30.0
# An empty answer that took this part of a long poll verifies the state up to
# then. It is below 1 as the store's clock may differ a little.
LONG_POLL_SHARE = 0.95
STORE_RETRY_SECONDS = 0.25  # between calls to a store that does not answer
MAINTENANCE_SECONDS = 0.25  # between checks for due removals and silence
STORE_SILENT_SECONDS = 0.5  # beyond a long poll; then peers are asked
PEER_TIMEOUT_SECONDS = 0.4  # beyond the time that a peer may hold the reply
# Of a relay's reply, so that a stale state does not cause many polls.
MIN_HOLD_SECONDS = 0.25
BATCH_SECONDS = 0.05  # changes within it go out in one reply
FRESH_SECONDS = 0.1  # a state that was verified within is the newest
# Of the two tasks; twice the longest wait for a part of an answer.
MAX_SILENCE_SECONDS = 5.0
STALE_SECONDS = 3.0  # a long poll, both holds of `relays`, and delays
# A relay whose last call to the store failed less than that ago is cut off.
RELAY_OUTAGE_SECONDS = 1.0
# Between questions to a relay while the store is read beside it.
READING_POLL_SECONDS = 0.25
# Between calls to the store while the relays' state is stale, as many daemons
# may make them at once.
FALLBACK_SECONDS = 1.0
# A gap between answers that exceeds a long poll by this counts as an outage.
OUTAGE_MARGIN_SECONDS = 0.6
MIN_WATCH_SECONDS = 0.05  # of a long poll that ends with a rewrite
# For which a peer may have a newer configuration before it is asked for it.
# Relays bring it within that time.
BEHIND_SECONDS = 0.5
# After the time in which a new era verifies nothing, for relays to verify it.
ERA_MARGIN_SECONDS = 1.0
# At the first start of a fleet, until a daemon has heard of the others.
GATHER_SECONDS = 1.0
# At the first start of a fleet, for a relay to read the store.
FIRST_START_SECONDS = 4.0
# At a later start, for a peer to pass its state on.
RESTART_SECONDS = 0.3
START_INTERVAL_SECONDS = 0.03  # between looks at the members known so far


_StoreCall = Callable[
    [store.ProgressHook],
    Awaitable[Result[store.Changes, store.StoreError]],
]


class StartPolicy(enum.Enum):
    """Where a daemon that starts gets its first state from.

    In a large fleet the daemons that start together would otherwise all call
    the store at the same moment.
    """

    STORE = 'store'
    PEERS_AT_FIRST_START = 'peers at first start'  # peers have no state either
    PEERS_AT_RESTART = 'peers at restart'


class _PeerState(NamedTuple):
    """What a peer tells of its state with each heartbeat.

    Attributes
    ----------
    version : int
        Version of its configuration.
    era : int
        Era of the store.
    """

    version: int
    era: int


class _NewerPeer(NamedTuple):
    """A peer whose state was newer than this daemon's.

    Attributes
    ----------
    vm : str
        The peer.
    state : _PeerState
        What it told.
    ask_at : float
        Monotonic seconds at which it is asked unless relays were faster.
    """

    vm: str
    state: _PeerState
    ask_at: float


class _Unapplied(NamedTuple):
    """A configuration that could not be adopted, as for `_adopt`."""

    configuration: model.Configuration
    era: int
    source: str
    is_partial: bool


class StoreView:
    """The service ``beliefs``: follows the store.

    Parameters
    ----------
    client : StoreClient
        Reads the store.
    start_policy : StartPolicy
        Where the first state comes from.

    Attributes
    ----------
    position : Position
        Era and revision of the store up to which all changes are known.
    store_calls : int
        Number of calls to the store.
    store_answered_at : float
        Monotonic seconds of the last answer of the store with a state, even
        an older one; -inf for never.
    store_outcomes, peer_outcomes : Tally
        Of calls to the store, and of questions to peers for their state.
    on_configuration_adopted : list of callable
        Hooks called with the configuration that came into force.
    on_upstreams_change : list of callable
        Hooks called after changes of the upstreams.
    """

    name = 'beliefs'
    requires: tuple[str, ...] = ('peers', 'fleet')

    def __init__(
        self,
        client: store.StoreClient,
        start_policy: StartPolicy = StartPolicy.STORE,
    ) -> None:
        self.position = store.Position(0, 0)
        self.store_calls = 0
        self.store_answered_at = float('-inf')
        self.on_configuration_adopted: list[
            Callable[[model.Configuration], None]
        ] = []
        self.on_upstreams_change: list[Callable[[], None]] = []
        self._client = client
        self._start_policy = start_policy
        self._adopted = adopted_configuration.AdoptedConfiguration()
        self._verification = verification.Verification(
            start_policy is StartPolicy.PEERS_AT_FIRST_START
        )
        self._returns = store_returns.StoreReturns()
        self._unapplied: _Unapplied | None = None
        self._registrations = registrations.Registrations(
            self._log, self._report_failure
        )
        self._evacuations = evacuations.Evacuations(self._log)
        self._answered_at = float('-inf')
        self._outage_at = float('-inf')
        self._is_store_lost = False
        self._has_snapshot = False
        self._changed = asyncio.Event()
        self._fallback_at = float('-inf')
        self._newer_peer: _NewerPeer | None = None
        self._reading: asyncio.Task[None] | None = None
        self._renewing: asyncio.Task[None] | None = None

    async def start(self, app: kernel.Application) -> None:
        """Begin to follow the store."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self._hooks = change_hooks.ChangeHooks(app, self.name)
        self._relays = relays.Relays(app, self._membership, WATCH_SECONDS)
        self._peers.handle(
            'want', state_messages.StateRequest, self._on_state_request
        )
        self._peers.add_reply_type('word', state_messages.EncodedStateReply)
        self._membership.add_section(
            'state', self._provide_state, self._accept_state
        )
        self._answered_at = app.clock.monotonic()
        self.store_outcomes = store_contact.Tally(app.clock)
        self.peer_outcomes = store_contact.Tally(app.clock)
        self._unverified_log = store_contact.UnverifiedLog(
            self._log, app.clock, self.store_outcomes, self.peer_outcomes
        )
        self._step_at = app.clock.monotonic()
        self._follow_task = app.keep_running(
            self.name, 'follow', self._follow, MAX_SILENCE_SECONDS
        )
        app.keep_running(
            self.name, 'tend', self._maintain, MAX_SILENCE_SECONDS
        )

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration; None before the first."""
        return self._adopted.configuration

    @property
    def upstreams_by_instance(self) -> dict[str, model.Upstream]:
        """As in `registrations.Registrations`."""
        return self._registrations.upstreams_by_instance

    @property
    def verified_at(self) -> float:
        """Monotonic seconds of the last verification; -inf for never."""
        return self._verification.verified_at

    @property
    def continuous_since(self) -> float:
        """As in `verification.Verification`."""
        return self._verification.continuous_since

    @property
    def limits(self) -> model.CallerLimits:
        """The operator's limits, or defaults before a configuration."""
        if self.configuration is None:
            return model.CallerLimits()
        return self.configuration.limits

    def staleness(self) -> float:
        """Return the seconds since this state was verified as the newest."""
        return self._app.clock.monotonic() - self.verified_at

    @property
    def is_impaired(self) -> bool:
        """Whether services cannot take up what the store says."""
        return self._hooks.is_failing

    def describe_doubt(self) -> dict[str, str]:
        """Return why the state is old, as fields of a log line.

        Empty for a state that is not older than usual.
        """
        if self.staleness() <= store_contact.UNVERIFIED_SECONDS:
            return {}
        return {
            'store_last': self.store_outcomes.describe_last(),
            'peers_last': self.peer_outcomes.describe_last(),
        }

    def ready_upstreams(self, service: str) -> list[model.Upstream]:
        """Return the upstreams of a service that accept requests."""
        return [
            upstream
            for upstream in self.upstreams_by_instance.values()
            if upstream.service == service
            and upstream.ready
            and upstream.data_centre not in self._evacuations
        ]

    @property
    def evacuated_data_centres(self) -> tuple[str, ...]:
        """Data centres whose upstreams get no new requests."""
        return tuple(self._evacuations)

    @property
    def is_unverified(self) -> bool:
        """Whether changes of upstreams may have gone unseen."""
        return (
            self._verification.is_pending or self.staleness() > STALE_SECONDS
        )

    def cold_left(self, upstream: model.Upstream) -> float:
        """Return the seconds for which an upstream is registered as cold."""
        return self._registrations.cold_left(
            upstream, self._app.clock.monotonic()
        )

    def mark_leaving(self, upstream: model.Upstream, source: str) -> bool:
        """Give an upstream no new requests, as it announced that it leaves.

        Parameters
        ----------
        upstream : Upstream
            What announced it.
        source : str
            How it is known, for the log.

        Returns
        -------
        bool
            Whether the upstream was in use.
        """
        is_new = self._registrations.mark_leaving(upstream, self.position.era)
        if is_new:
            self._log(
                'upstream.leaving',
                instance=upstream.instance,
                service=upstream.service,
                source=source,
            )
            self._notify_upstreams_changed()
        return is_new

    def _report_failure(self, what: str, error: Exception) -> None:
        self._app.report_failure(kernel.Failure(self.name, what, error))

    def _log(self, name: str, **fields: object) -> None:
        self._app.events.add(name, **fields)

    async def _start_from_peers(self) -> None:
        """Get the first state from peers, if they have it in time."""
        clock = self._app.clock
        began = clock.monotonic()
        is_first = self._start_policy is StartPolicy.PEERS_AT_FIRST_START
        limit = FIRST_START_SECONDS if is_first else RESTART_SECONDS
        if is_first:
            await clock.sleep(GATHER_SECONDS)
            if not self._membership.is_large:
                return
        while not self.position.revision:
            self._app.report_progress()
            remaining = began + limit - clock.monotonic()
            if remaining <= 0:
                break
            vm: str | None
            if is_first:
                source = self._relays.choose()
                if source.role is relays.Role.READER:
                    break
                vm = source.vm
            else:
                vm = self._random_peer()
            if vm:
                await self._ask_for_first_state(vm, remaining)
            if not self.position.revision:
                await clock.sleep(START_INTERVAL_SECONDS)
        self._log(
            'store.first_state',
            revision=self.position.revision,
            seconds=f'{clock.monotonic() - began:.3f}',
        )

    async def _ask_for_first_state(self, vm: str, seconds: float) -> None:
        began = self._app.clock.monotonic()
        wait = max(seconds - PEER_TIMEOUT_SECONDS, 0.0)
        request = self._state_request(wait, can_read_store=True)
        reply = await self._peers.ask(vm, request, seconds)
        if reply.is_error():
            self.peer_outcomes.add(reply.error.code, vm)
            self._relays.mark_unresponsive(vm, reply.error.code)
            return
        state = self._decode(vm, reply.ok)
        if state is not None:
            self._apply_reply(vm, state, began)

    def _random_peer(self) -> str | None:
        own = self._app.identity.vm
        others = [vm for vm in self._membership.live() if vm != own]
        return self._app.rng.choice(others) if others else None

    async def _follow(self) -> None:
        clock = self._app.clock
        is_start = not self.position.revision
        if is_start and self._start_policy is not StartPolicy.STORE:
            await self._start_from_peers()
        while True:
            self._step_at = clock.monotonic()
            self._app.report_progress()
            source = self._relays.choose()
            if source.role is relays.Role.READER or not self.position.revision:
                # A reader whose state is late, as it has just become one,
                # verifies it at once and not at the end of a long poll.
                is_late = (
                    self.staleness() > WATCH_SECONDS + STORE_TIMEOUT_SECONDS
                )
                await self._read_store(0.0 if is_late else WATCH_SECONDS)
                continue
            is_current = False
            if source.vm:
                is_current = await self._poll_relay(source)
            if is_current:
                continue
            is_due = clock.monotonic() - self._fallback_at >= FALLBACK_SECONDS
            # Only a few daemons are relays, and many depend on each of them.
            # A follower without a relay has to notice changes by itself.
            is_relay = source.role is relays.Role.RELAY
            if is_due and (
                is_relay or self.staleness() > source.max_staleness
            ):
                self._fallback_at = clock.monotonic()
                await self._read_store(0.0)
            elif not source.vm:
                await clock.sleep(STORE_RETRY_SECONDS)

    def _is_new_era(self) -> bool:
        """Return whether nothing could be verified in this era yet."""
        return (
            self._verification.era_age(self._app.clock.monotonic())
            <= verification.REWRITE_SECONDS + ERA_MARGIN_SECONDS
        )

    async def _read_store(self, wait: float) -> None:
        """Call the store once; after a failure wait before returning.

        Parameters
        ----------
        wait : float
            Seconds for which the store may hold the call until a change.
        """
        clock = self._app.clock
        began = clock.monotonic()
        before = self.position
        if self._verification.is_pending:
            # Another call verifies the state as soon as that is possible.
            remaining = self._verification.rewrite_remaining(began)
            wait = max(min(wait, remaining), MIN_WATCH_SECONDS)
        if self._returns.is_behind:
            wait = 0.0  # the store has no change after what is known
        is_snapshot = not self._has_snapshot
        self.store_calls += 1
        self._app.report_progress()
        if is_snapshot:
            result = await self._call_store(
                self._client.read, 2 * STORE_TIMEOUT_SECONDS, MAX_READ_SECONDS
            )
        else:
            result = await self._call_store(
                functools.partial(self._client.watch, before.revision, wait),
                wait + STORE_TIMEOUT_SECONDS,
                MAX_TRANSFER_SECONDS,
            )
        if result.is_error():
            self.store_outcomes.add(result.error.code, result.error.detail)
            error = result.error
            await self._handle_failure(
                error._replace(era=self._returns.era(error.era))
            )
            return
        found = result.ok._replace(era=self._returns.era(result.ok.era))
        self.store_answered_at = clock.monotonic()
        if found.era < self._verification.era or found.position < before:
            self._log(
                'store.behind',
                era=found.era,
                revision=found.revision,
                known_era=before.era,
                known_revision=before.revision,
            )
            self.store_outcomes.add(
                'behind', f'{found.position} is below {before}'
            )
            taken = self._take_as_return(found, before)
            if taken is None:
                await clock.sleep(store_returns.RETRY_SECONDS)
                await self._handle_failure(
                    store.StoreError('unreachable', 'answer is behind')
                )
                return
            found = taken
        self._returns.note_sound()
        self.store_outcomes.add('ok')
        if self._unapplied is not None:
            self._adopt(*self._unapplied)
        is_new_era = self._enter_era(found.era, 'store')
        self._record_answer(clock.monotonic())
        if is_new_era and not is_snapshot:
            # The changes are those since the same revision of another era.
            return
        self._apply(found, is_snapshot)
        if found.hides_configuration:
            self._has_snapshot = False  # so that it is read again
        if self._unapplied is not None or found.hides_configuration:
            # Nothing is verified without the newest configuration.
            await clock.sleep(STORE_RETRY_SECONDS)
            return
        verified_at = began
        min_hold = wait * LONG_POLL_SHARE
        if not found.changes and clock.monotonic() - began >= min_hold:
            # The store held the call that long without a change.
            verified_at = began + min_hold
        self._verify(verified_at)

    def _take_as_return(
        self, found: store.Changes, before: store.Position
    ) -> store.Changes | None:
        """Return an answer that is behind as one of a new era, if it is one.

        Peers may have begun that era already.
        """
        now = self._app.clock.monotonic()
        seconds = self._returns.note_behind(found.position, now)
        if not seconds:
            return None
        era = self._verification.era
        if found.era == era:
            era += 1
        taken = found._replace(era=era)
        self._returns.begin_era(found.position, era)
        self._log(
            'store.returned',
            stated_era=found.era,
            era=era,
            revision=found.revision,
            revision_before=before.revision,
            seconds=f'{seconds:.2f}',
        )
        return taken if taken.position >= before else None

    def _apply(self, found: store.Changes, is_snapshot: bool) -> None:
        """Apply an answer of the store."""
        for change in found.changes:
            if change.fault:
                self._log(
                    'store.unreadable',
                    instance=change.instance,
                    revision=change.revision,
                    why=change.fault,
                )
            if change.configuration is not None:
                self._adopt(change.configuration, found.era, 'store')
        self._apply_evacuations(found, is_snapshot)
        changes = [change for change in found.changes if change.instance]
        self._apply_registrations(
            changes, found.position, is_snapshot, self._outage_at
        )
        self._advance(found.position)

    def _apply_evacuations(
        self, found: store.Changes, is_snapshot: bool
    ) -> None:
        if found.position < self.position:
            return  # another answer overtook this one
        changes = [change for change in found.changes if change.data_centre]
        if is_snapshot:
            self._evacuations.replace(
                {
                    change.data_centre: store.Position(
                        found.era, change.revision
                    )
                    for change in changes
                },
                found.era,
                self._app.clock.monotonic(),
            )
            return
        for change in changes:
            self._evacuations.apply(
                change.data_centre,
                store.Position(found.era, change.revision),
                begins=not change.is_removed,
            )

    def _apply_registrations(
        self,
        changes: list[store.Change],
        position: store.Position,
        is_snapshot: bool,
        outage_at: float,
        memories: Mapping[str, registrations.Memory] = registrations.NOTHING,
    ) -> None:
        now = self._app.clock.monotonic()
        if is_snapshot:
            self._registrations.apply_snapshot(
                changes, position, now, outage_at, memories
            )
        else:
            self._registrations.apply_changes(
                changes, position.era, now, outage_at
            )
        self._has_snapshot = True
        self._notify_upstreams_changed()

    def _notify_upstreams_changed(self) -> None:
        for number, hook in enumerate(self.on_upstreams_change):
            self._hooks.call('on_upstreams_change', number, hook)

    def _enter_era(self, era: int, source: str, age: float = 0.0) -> bool:
        """Adopt the era of an answer; return whether it is a new one.

        Parameters
        ----------
        era : int
            Not below the present one.
        source : str
            Where the answer comes from, for the log.
        age : float
            As in `verification.Verification.enter`.
        """
        now = self._app.clock.monotonic()
        before = self._verification.era
        if not self._verification.enter(era, now, age):
            return False
        self._has_snapshot = False
        # Upstreams that the copy lacks may register again.
        self._outage_at = now
        self._log(
            'store.era',
            era=era,
            before=before,
            revision_before=self.position.revision,
            source=source,
            version=self._adopted.version,
        )
        return True

    def _verify(self, at: float) -> None:
        if self._verification.verify(at):
            self._log(
                'store.verified',
                era=self.position.era,
                revision=self.position.revision,
                version=self._adopted.version,
            )
            # Followers wait for it.
            self._wake()

    async def _poll_relay(self, source: relays.Source) -> bool:
        """Ask a relay for changes; it may hold the request until one.

        Returns
        -------
        bool
            Whether the state is as new as a relay should keep it.
        """
        clock = self._app.clock
        began = clock.monotonic()
        relay = source.vm
        # A daemon that lost its relay has little time to ask the next one.
        hold = min(
            source.hold,
            max(STALE_SECONDS - self.staleness(), MIN_HOLD_SECONDS),
        )
        request = self._state_request(
            hold, can_read_store=not self._is_store_lost
        )
        reply = await self._peers.ask(
            relay, request, hold + PEER_TIMEOUT_SECONDS
        )
        if reply.is_error():
            self.peer_outcomes.add(reply.error.code, relay)
            self._relays.mark_unresponsive(relay, reply.error.code)
            return False
        state = self._decode(relay, reply.ok)
        if state is None or state.position < self.position:
            if state is not None:
                self.peer_outcomes.add('behind', relay)
            self._relays.mark_unresponsive(relay, 'behind')
            return False
        if self._lacks_configuration(state):
            self.peer_outcomes.add('no_configuration', relay)
            self._apply_known(state, began)
            self._begin_reading()
            await clock.sleep(READING_POLL_SECONDS)
            return True
        before = self.position
        self._apply_reply(relay, state, began)
        if self.position != before and (
            state.evacuations is None or self._lacks_cold_state(state)
        ):
            # The relay's build does not pass everything on.
            await self._read_store(0.0)
            return True
        if state.outage_age < RELAY_OUTAGE_SECONDS:
            self._relays.mark_unresponsive(relay, 'lost the store')
            return False
        if self.staleness() > source.max_staleness and not self._is_new_era():
            self._relays.mark_unresponsive(relay, 'stale')
            return False
        self._record_answer(clock.monotonic())
        return True

    def _begin_reading(self) -> asyncio.Task[None]:
        """Read the store beside the relay, unless that is under way."""
        if self._reading is None or self._reading.done():
            self._reading = self._app.spawn(
                self.name, 'read', self._read_store(0.0)
            )
        return self._reading

    async def confirm(self, timeout: float) -> bool:
        """Return whether this state is the newest at present.

        Reads the store, unless the state was just verified.

        Parameters
        ----------
        timeout : float
            Seconds that it may take.
        """
        since = self._app.clock.monotonic() - FRESH_SECONDS
        if self.verified_at < since:
            await asyncio.wait((self._begin_reading(),), timeout=timeout)
        return self.verified_at >= since

    async def renew(self, max_staleness: float, timeout: float) -> bool:
        """Return whether this state is new enough; if not, verify it first.

        Parameters
        ----------
        max_staleness : float
            Seconds.
        timeout : float
            Seconds that it may take.
        """
        if self.staleness() < max_staleness:
            return True
        if self._renewing is None or self._renewing.done():
            self._renewing = self._app.spawn(
                self.name, 'renew', self._renew(max_staleness)
            )
        await asyncio.wait((self._renewing,), timeout=timeout)
        return self.staleness() < max_staleness

    async def _renew(self, max_staleness: float) -> None:
        """Verify the state; in a large fleet a reader's word may do."""
        reader = self._relays.random_root()
        if reader:
            await self._ask_peer(reader)
            now = self._app.clock.monotonic()
            is_due = now - self._fallback_at >= FALLBACK_SECONDS
            if self.staleness() < max_staleness or not is_due:
                return
            self._fallback_at = now
        await self._read_store(0.0)

    def _apply_known(
        self, state: state_messages.StateReply, began: float
    ) -> None:
        """Apply what a reply holds beside a configuration that it lacks.

        A large configuration takes seconds to read over a slow link, in which
        upstreams may leave.
        """
        position = state.position
        if (
            position.era != self._verification.era
            or position < self.position
            or not self._has_snapshot
            or state.evacuations is None
        ):
            return
        now = self._app.clock.monotonic()
        self._evacuations.replace(state.evacuations, position.era, now)
        self._apply_registrations(
            [
                store.Change(
                    registration.revision,
                    instance=registration.instance,
                    upstream=registration.upstream,
                )
                for registration in state.registrations
            ],
            position,
            state.is_snapshot,
            now - state.outage_age,
            state.memories,
        )

    def _state_request(
        self, wait: float, *, can_read_store: bool
    ) -> state_messages.StateRequest:
        return state_messages.StateRequest(
            self.position.revision,
            self._adopted.version,
            wait,
            can_read_store,
            self.position.era,
            self._adopted.digest,
        )

    def _lacks_configuration(self, state: state_messages.StateReply) -> bool:
        """Return whether a peer withheld a configuration that is newer."""
        return state.configuration is None and self._adopted.is_behind(
            state.version, state.configuration_era, state.configuration_digest
        )

    def _lacks_cold_state(self, state: state_messages.StateReply) -> bool:
        """Return whether a peer's build withheld cold states that matter."""
        if state.has_cold_state:
            return False
        if self.configuration is None or self._adopted.is_partial:
            return True
        services = self.configuration.services_by_name.values()
        return any(service.has_cold_state for service in services)

    def _advance(self, position: store.Position) -> None:
        if position > self.position:
            self.position = position
            self._wake()

    def _wake(self) -> None:
        """Reply to the requests that are held; later ones wait anew."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _call_store(
        self, call: _StoreCall, seconds: float, max_transfer: float
    ) -> Result[store.Changes, store.StoreError]:
        """Make a call to the store; give it up once nothing arrives.

        A large answer takes long over a slow link. If it were given up and
        asked for anew, the daemon would never have it.
        """
        loop = asyncio.get_running_loop()
        latest = loop.time() + seconds + max_transfer
        try:
            async with asyncio.timeout(seconds) as timeout:

                def extend() -> None:
                    self._app.report_progress()
                    due = loop.time() + STORE_TIMEOUT_SECONDS
                    before = timeout.when() or 0.0
                    timeout.reschedule(min(max(before, due), latest))

                return await call(extend)
        except TimeoutError:
            return _unreachable('no answer in time')

    def _record_answer(self, now: float) -> None:
        if now - self._answered_at > WATCH_SECONDS + OUTAGE_MARGIN_SECONDS:
            self._outage_at = now
        self._answered_at = now
        if self._is_store_lost:
            self._is_store_lost = False
            self._outage_at = now
            self._log('store.regained', revision=self.position.revision)

    async def _handle_failure(self, error: store.StoreError) -> None:
        """Record a failed call, and wait unless another can follow at once."""
        if error.era > self._verification.era and self.position.revision:
            self._enter_era(error.era, 'store')
        if error.code == 'compacted':
            self._log(
                'store.compacted',
                era=error.era,
                revision=self.position.revision,
            )
            self._has_snapshot = False
            return
        if error.code == 'era_changed':
            return
        if error.code == 'unusable':
            self._log(
                'store.unusable',
                detail=error.detail,
                revision=self.position.revision,
            )
            # The same changes would be unusable again.
            self._has_snapshot = False
            await self._app.clock.sleep(STORE_RETRY_SECONDS)
            return
        if not self._is_store_lost:
            self._is_store_lost = True
            self._log('store.lost', code=error.code, detail=error.detail)
        self._outage_at = self._app.clock.monotonic()
        await self._app.clock.sleep(STORE_RETRY_SECONDS)

    def _adopt(
        self,
        configuration: model.Configuration,
        era: int,
        source: str,
        is_partial: bool = False,
    ) -> bool:
        """Adopt a configuration unless the one in force is as new.

        Returns
        -------
        bool
            False if that failed. It is tried again at each answer of the
            store, until it or a newer one is adopted.
        """
        before = self._adopted.version
        try:
            outcome = self._adopted.offer(
                configuration, era, is_partial=is_partial
            )
        except Exception as error:  # noqa: BLE001
            self._report_failure('configuration', error)
            self._unapplied = _Unapplied(
                configuration, era, source, is_partial
            )
            return False
        unapplied = self._unapplied
        if (
            unapplied is not None
            and configuration.version >= unapplied.configuration.version
        ):
            self._unapplied = None
        if outcome is adopted_configuration.Outcome.KNOWN:
            return True
        self._log(
            f'configuration.{outcome.value}',
            version=configuration.version,
            before=before,
            era=era,
            source=source,
        )
        if self.configuration is configuration:
            for number, hook in enumerate(self.on_configuration_adopted):
                self._hooks.call(
                    'on_configuration_adopted',
                    number,
                    functools.partial(hook, configuration),
                )
        return True

    async def _maintain(self) -> None:
        """Apply what is due; ask peers while the store is lost."""
        while True:
            await self._app.clock.sleep(MAINTENANCE_SECONDS)
            now = self._app.clock.monotonic()
            self._app.report_progress()
            self._log_if_unverified()
            self._hooks.retry_due()
            is_changed = self._registrations.apply_due(now, self.position.era)
            if self._evacuations.apply_due(now, self.position.era):
                is_changed = True
            if is_changed:
                self._notify_upstreams_changed()
            silence = now - self._answered_at
            newer = self._newer_peer
            if newer is not None and now >= newer.ask_at:
                self._newer_peer = None
                if self._is_behind(newer.state):
                    await self._ask_peer(newer.vm)
            elif self._is_store_lost or (
                silence >= WATCH_SECONDS + STORE_SILENT_SECONDS
            ):
                await self._ask_random_peer()

    def _log_if_unverified(self) -> None:
        self._unverified_log.check(
            self.verified_at,
            self._follow_task,
            self._step_at,
            era=self._verification.era,
            revision=self.position.revision,
            version=self._adopted.version,
        )

    async def _ask_random_peer(self) -> None:
        vm = self._random_peer()
        if vm is not None:
            await self._ask_peer(vm)

    async def _ask_peer(self, vm: str) -> None:
        began = self._app.clock.monotonic()
        request = self._state_request(0.0, can_read_store=False)
        reply = await self._peers.ask(vm, request, PEER_TIMEOUT_SECONDS)
        if reply.is_error():
            self.peer_outcomes.add(reply.error.code, vm)
            return
        state = self._decode(vm, reply.ok)
        if state is not None:
            self._apply_reply(vm, state, began)

    def _provide_state(self, _vm: str) -> bytes | None:
        return msgspec.msgpack.encode(
            _PeerState(self._adopted.version, self._verification.era)
        )

    def _accept_state(self, sender: peers.Sender, content: bytes) -> None:
        """Note a peer that knows a newer configuration or a later era.

        The store may have lost the configuration, and a connection to the
        store from before the era may hang.
        """
        try:
            state = msgspec.msgpack.decode(content, type=_PeerState)
        except decoding.ERRORS as error:
            self._log('peer.unreadable', peer=sender.vm, why=error)
            return
        if not self._is_behind(state):
            return
        now = self._app.clock.monotonic()
        if state.era > self._verification.era:
            self._newer_peer = _NewerPeer(sender.vm, state, now)
        elif self._newer_peer is None:
            self._newer_peer = _NewerPeer(
                sender.vm, state, now + BEHIND_SECONDS
            )

    def _is_behind(self, state: _PeerState) -> bool:
        """Return whether a peer knows a newer configuration or a later era."""
        is_era_later = (
            state.era > self._verification.era and self.position.revision > 0
        )
        return is_era_later or state.version > self._adopted.version

    async def _on_state_request(
        self, _sender: peers.Sender, request: state_messages.StateRequest
    ) -> state_messages.EncodedStateReply | None:
        """Reply to a peer at the next change or at the end of its wait."""
        clock = self._app.clock
        received = clock.monotonic()
        if request.wait and self._requested_position(request) >= self.position:
            try:
                async with asyncio.timeout(request.wait):
                    await self._changed.wait()
                await clock.sleep(BATCH_SECONDS)
            except TimeoutError:
                pass  # the reply says that nothing changed
        if not self.position.revision:
            return None
        requested = self._requested_position(request)
        is_snapshot = (
            requested.era < self.position.era
            or requested.revision < self._registrations.complete_after
        )
        now = clock.monotonic()
        return state_messages.encode(
            state_messages.StateReply(
                self.position,
                self.staleness() - (now - received),
                now - self._outage_at,
                self._adopted.version,
                self._configuration_for(request),
                is_snapshot,
                tuple(
                    state_messages.Registration(*entry)
                    for entry in self._registrations.entries_after(
                        0 if is_snapshot else requested.revision, now
                    )
                ),
                self._verification.era_age(now),
                self._adopted.era,
                self._adopted.digest,
                self._evacuations.positions_by_data_centre,
                memories=self._registrations.memories_by_instance
                if is_snapshot
                else {},
            )
        )

    def _requested_position(
        self, request: state_messages.StateRequest
    ) -> store.Position:
        era = request.era
        if era == state_messages.NO_ERA:
            era = self.position.era
        return store.Position(era, request.revision)

    def _configuration_for(
        self, request: state_messages.StateRequest
    ) -> model.Configuration | None:
        """Return the configuration if a peer lacks it and can receive it."""
        adopted = self._adopted
        if request.version > adopted.version or (
            request.version == adopted.version
            and request.configuration_digest in (0, adopted.digest)
        ):
            return None
        if request.can_read_store and adopted.is_too_large:
            return None
        return adopted.configuration

    def _decode(
        self, vm: str, encoded: state_messages.EncodedStateReply
    ) -> state_messages.StateReply | None:
        try:
            return state_messages.decode(encoded)
        except decoding.ERRORS as error:
            self.peer_outcomes.add('unreadable', vm)
            self._log('peer.unreadable', peer=vm, why=error)
            return None

    def _apply_reply(
        self, vm: str, state: state_messages.StateReply, began: float
    ) -> None:
        """Adopt the state of a peer unless it is older than this one.

        The configuration is adopted from a peer at an older position too: a
        store that returned from a copy may have lost it.

        Parameters
        ----------
        vm : str
            The peer.
        state : StateReply
            Its reply.
        began : float
            Monotonic seconds at which the request was sent.
        """
        if state.configuration is not None and not self._adopt(
            state.configuration,
            state.configuration_era,
            vm,
            not state.has_cold_state,
        ):
            self.peer_outcomes.add('unapplied', vm)
            return
        position = state.position
        if position < self.position or position.era < self._verification.era:
            self.peer_outcomes.add('behind', vm)
            return
        if self._lacks_configuration(state) or (
            position.era > self.position.era and not state.is_snapshot
        ):
            self.peer_outcomes.add('incomplete', vm)
            return
        self.peer_outcomes.add('ok', f'{vm}, age {state.staleness:.2f}')
        self._enter_era(position.era, vm, state.era_age)
        now = self._app.clock.monotonic()
        if position > self.position:
            if state.evacuations is not None:
                self._evacuations.replace(state.evacuations, position.era, now)
            changes = [
                store.Change(
                    registration.revision,
                    instance=registration.instance,
                    upstream=registration.upstream,
                )
                for registration in state.registrations
            ]
            self._apply_registrations(
                changes,
                position,
                state.is_snapshot,
                now - state.outage_age,
                state.memories,
            )
            if state.evacuations is None or self._lacks_cold_state(state):
                # The peer's build does not know all; the next call to the
                # store reads everything.
                self._has_snapshot = False
        before = self.staleness()
        # The staleness is that at the arrival of the request. `began` is
        # earlier, so the result is never later than the peer's own.
        self._verify(began - state.staleness)
        self._advance(position)
        if self.staleness() < before - STALE_SECONDS:
            self._log(
                'beliefs.from_peer',
                peer=vm,
                era=position.era,
                revision=position.revision,
                age=f'{self.staleness():.3f}',
            )


def _unreachable(
    detail: str,
) -> Result[store.Changes, store.StoreError]:
    failed: Result[store.Changes, store.StoreError] = Result.Error(
        store.StoreError('unreachable', detail)
    )
    return failed
