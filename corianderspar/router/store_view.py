"""What this daemon holds for true of the store, and how old the proof is.

A daemon follows the store, or in a large fleet one of the daemons that do
(`relays`). One that the store turns away asks its peers. All tell the age
of their own proof along with what they know. Versions never go back within
one process.
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

WATCH_SECONDS = 1.5  # one call in this time for each daemon
ANSWER_SECONDS = 1.0  # beyond the wait; then the connection is given up
HELD_SHARE = 0.95  # of its wait, for clocks that differ a little
RETRY_SECONDS = 0.25  # between calls to a store that does not answer
TEND_SECONDS = 0.25  # between looks at lapses and at the store's silence
ASK_AFTER_SECONDS = 0.5  # without a word of the store, peers are asked
ASK_SECONDS = 0.4  # for a peer's answer
LAPSE_SECONDS = 2.0  # in which live upstreams are listed again
RELAY_SECONDS = 1.0  # that a relay holds its answer if nothing changes
GATHER_SECONDS = 0.05  # in which changes go out in one answer
STALE_SECONDS = 3.0  # WATCH_SECONDS, RELAY_SECONDS and the ways
OLD_RETRY_SECONDS = 1.0  # between those tries; many daemons may make them
DISTURBED_SECONDS = 0.6  # without the store: removals may be mere lapses


class StoreView:
    """The service ``beliefs``.

    Parameters
    ----------
    client : StoreClient
        The store.

    Attributes
    ----------
    configuration : Configuration or None
        The newest known; None before the first.
    upstreams_by_instance : dict of str to Upstream
        All that are registered.
    revision : int
        Of the store, up to which all changes are known; 0 for none.
    verified_at : float
        Monotonic seconds at which this was the newest state; -inf for
        never.
    store_calls : int
        Calls to the store.
    on_upstreams_change : list of callable
        Hooks for changes of the upstreams.
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
        self._lapses_by_instance: dict[str, float] = {}
        self._answered = float('-inf')
        self._disturbed = float('-inf')
        self._is_store_lost = False
        self._is_whole = False
        # Removals before this revision are not known one by one: a peer that
        # is behind it gets the whole list.
        self._whole_since = 0
        self._news = asyncio.Event()
        self._is_long_by_version: dict[int, bool] = {}
        self._tried = float('-inf')

    async def start(self, app: kernel.Application) -> None:
        """Begin to follow the store."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self._relays = relays.Relays(app, self._membership)
        self._peers.handle('want', state_messages.Want, self._tell)
        self._peers.reply_type('word', state_messages.Packed)
        self._answered = app.clock.monotonic()
        app.spawn(self.name, 'follow', self._follow())
        app.spawn(self.name, 'tend', self._tend())

    async def stop(self) -> None:
        """Nothing to hand on."""

    def staleness(self) -> float:
        """Return seconds since what is known was proved to be newest."""
        return self._app.clock.monotonic() - self.verified_at

    def ready_upstreams(self, service: str) -> list[model.Upstream]:
        """Return the upstreams of a service that may get work."""
        return [
            upstream
            for upstream in self.upstreams_by_instance.values()
            if upstream.service == service and upstream.ready
        ]

    async def _follow(self) -> None:
        clock = self._app.clock
        while True:
            relay = self._relays.of() if self._is_whole else None
            if relay is None:
                await self._read_store(WATCH_SECONDS)
                continue
            if relay:
                await self._ask_relay(relay)
            is_due = clock.monotonic() - self._tried >= OLD_RETRY_SECONDS
            if is_due and self.staleness() > STALE_SECONDS:
                self._tried = clock.monotonic()
                await self._read_store(0.0)
            elif not relay:
                await clock.sleep(RETRY_SECONDS)

    async def _read_store(self, wait: float) -> None:
        """Call the store once, and wait a little after a failure."""
        clock = self._app.clock
        began = clock.monotonic()
        self.store_calls += 1
        if self._is_whole:
            result = await self._within(
                self._client.watch(self.revision, wait),
                wait + ANSWER_SECONDS,
            )
        else:
            result = await self._within(
                self._client.read(), 2 * ANSWER_SECONDS
            )
        if result.is_error():
            self._note_loss(result.error)
            if result.error.code == 'compacted':
                self._is_whole = False
                return
            await clock.sleep(RETRY_SECONDS)
            return
        found = result.ok
        self._note_answer(clock.monotonic())
        if self._is_whole:
            self._apply(found.changes, self._disturbed)
        else:
            self._replace(found.changes, self._disturbed)
            self._whole_since = found.revision
        self._is_whole = True
        self._move_on(found.revision)
        proof = began
        held = wait * HELD_SHARE
        if not found.changes and clock.monotonic() - began >= held:
            # The store held the call and had seen nothing by then.
            proof = began + held
        self.verified_at = max(self.verified_at, proof)

    async def _ask_relay(self, relay: str) -> None:
        """Follow a relay until its next answer."""
        clock = self._app.clock
        began = clock.monotonic()
        want = state_messages.Want(
            self.revision,
            self._version,
            RELAY_SECONDS,
            reads=not self._is_store_lost,
        )
        reply = await self._peers.ask(relay, want, RELAY_SECONDS + ASK_SECONDS)
        if reply.is_error():
            self._relays.note_silent(relay, reply.error.code)
            return
        word = self._unpack(relay, reply.ok)
        if word is None or word.revision < self.revision:
            self._relays.note_silent(relay, 'behind')
            return
        if word.version > self._version and word.configuration is None:
            await self._read_store(0.0)
            return
        self._hear(relay, word, began)
        if self.staleness() < STALE_SECONDS:
            self._note_answer(clock.monotonic())
        else:
            self._relays.note_silent(relay, 'old proof')

    @property
    def _version(self) -> int:
        return self.configuration.version if self.configuration else 0

    def _move_on(self, revision: int) -> None:
        if revision <= self.revision:
            return
        self.revision = revision
        # Wakes those that hold a question; later ones wait for the next.
        self._news.set()
        self._news = asyncio.Event()

    async def _within(
        self, call: object, seconds: float
    ) -> Result[store.Changes, store.StoreError]:
        try:
            async with asyncio.timeout(seconds):
                return await call  # type: ignore[misc]
        except TimeoutError:
            return _unreachable('no answer in time')

    def _note_answer(self, now: float) -> None:
        if now - self._answered > WATCH_SECONDS + DISTURBED_SECONDS:
            self._disturbed = now
        self._answered = now
        if self._is_store_lost:
            self._is_store_lost = False
            self._disturbed = now
            self._app.events.add('store.regained', revision=self.revision)

    def _note_loss(self, error: store.StoreError) -> None:
        if error.code == 'compacted':
            self._app.events.add('store.compacted', revision=self.revision)
            return
        if not self._is_store_lost:
            self._is_store_lost = True
            self._app.events.add(
                'store.lost', code=error.code, detail=error.detail
            )
        self._disturbed = self._app.clock.monotonic()

    def _replace(
        self, changes: tuple[store.Change, ...], disturbed: float
    ) -> None:
        """Take a full reading in place of what is known."""
        named = {change.instance for change in changes if change.upstream}
        for instance in list(self.upstreams_by_instance):
            if instance not in named:
                self._remove(instance, 'missing', disturbed)
        self._apply(changes, disturbed)

    def _apply(
        self, changes: tuple[store.Change, ...], disturbed: float
    ) -> None:
        """Take changes from one who missed the store at ``disturbed``."""
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
                self._remove(change.instance, 'removed', disturbed)
            else:
                self._put(change.upstream, change.revision)
        for hook in self.on_upstreams_change:
            hook()

    def _adopt(self, found: model.Configuration, source: str) -> None:
        known = self.configuration
        if known is not None and found.version <= known.version:
            return
        self.configuration = found
        self._app.events.add(
            'configuration.adopted',
            version=found.version,
            before=known.version if known else 0,
            source=source,
        )

    def _put(self, upstream: model.Upstream, revision: int) -> None:
        self._lapses_by_instance.pop(upstream.instance, None)
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

    def _remove(self, instance: str, why: str, disturbed: float) -> None:
        if instance not in self.upstreams_by_instance:
            return
        now = self._app.clock.monotonic()
        if now - disturbed < LAPSE_SECONDS:
            # It may only have been kept from reporting itself.
            self._lapses_by_instance.setdefault(
                instance, disturbed + LAPSE_SECONDS
            )
            return
        self._drop(instance, why)

    def _drop(self, instance: str, why: str) -> None:
        self._lapses_by_instance.pop(instance, None)
        del self.upstreams_by_instance[instance]
        self._app.events.add(
            'upstream.gone',
            instance=instance,
            why=why,
            revision=self.revision,
        )

    async def _tend(self) -> None:
        """Drop what has lapsed, and ask peers while the store is lost."""
        while True:
            await self._app.clock.sleep(TEND_SECONDS)
            self._drop_lapsed()
            silence = self._app.clock.monotonic() - self._answered
            if self._is_store_lost or (
                silence >= WATCH_SECONDS + ASK_AFTER_SECONDS
            ):
                await self._ask_any_peer()

    def _drop_lapsed(self) -> None:
        now = self._app.clock.monotonic()
        due = [i for i, t in self._lapses_by_instance.items() if t <= now]
        for instance in due:
            self._drop(instance, 'lapsed')
        if due:
            for hook in self.on_upstreams_change:
                hook()

    async def _ask_any_peer(self) -> None:
        own = self._app.identity.vm
        others = [vm for vm in self._membership.live() if vm != own]
        if not others:
            return
        vm = self._app.rng.choice(others)
        began = self._app.clock.monotonic()
        want = state_messages.Want(self.revision, self._version)
        reply = await self._peers.ask(vm, want, ASK_SECONDS)
        word = self._unpack(vm, reply.ok) if reply.is_ok() else None
        if word is not None:
            self._hear(vm, word, began)

    async def _tell(
        self, _sender: peers.Sender, want: state_messages.Want
    ) -> state_messages.Packed | None:
        """Answer a peer, once there is news or its wait is over."""
        if self.revision == 0:
            return None
        clock = self._app.clock
        asked = clock.monotonic()
        if want.wait and want.revision >= self.revision:
            try:
                async with asyncio.timeout(want.wait):
                    await self._news.wait()
                await clock.sleep(GATHER_SECONDS)
            except TimeoutError:
                pass  # no news is the answer
        is_whole = want.revision < self._whole_since
        config = self.configuration
        if config is not None and config.version <= want.version:
            config = None
        if config is not None and want.reads and self._is_long(config):
            config = None
        now = clock.monotonic()
        return state_messages.pack(
            state_messages.Word(
                self.revision,
                self.staleness() - (now - asked),
                now - self._disturbed,
                self._version,
                config,
                is_whole,
                self._entries(0 if is_whole else want.revision),
            )
        )

    def _entries(self, after: int) -> tuple[state_messages.Entry, ...]:
        """Return registrations, and removals if they came late enough."""
        return tuple(
            state_messages.Entry(
                instance,
                revision,
                None
                if instance in self._lapses_by_instance
                else self.upstreams_by_instance.get(instance),
            )
            for instance, revision in self._revisions_by_instance.items()
            if revision > after
        )

    def _is_long(self, config: model.Configuration) -> bool:
        known = self._is_long_by_version.get(config.version)
        if known is None:
            known = state_messages.is_large(config)
            self._is_long_by_version = {config.version: known}
        return known

    def _unpack(
        self, vm: str, packed: state_messages.Packed
    ) -> state_messages.Word | None:
        try:
            return state_messages.unpack(packed)
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=vm, why=error)
            return None

    def _hear(self, vm: str, word: state_messages.Word, began: float) -> None:
        """Take a peer's word.

        Parameters
        ----------
        vm : str
            The peer.
        word : Word
            What it says.
        began : float
            Monotonic seconds at which it was asked.
        """
        if word.revision < self.revision:
            return
        if word.version > self._version and word.configuration is None:
            return
        if word.configuration is not None:
            self._adopt(word.configuration, vm)
        disturbed = self._app.clock.monotonic() - word.disturbed
        if word.revision > self.revision:
            self._take_entries(word, disturbed)
        before = self.staleness()
        # The peer's age counts to the arrival of the question, which is
        # later than `began`.
        self.verified_at = max(self.verified_at, began - word.age)
        self._move_on(word.revision)
        if self.staleness() < before - STALE_SECONDS:
            self._app.events.add(
                'beliefs.from_peer',
                peer=vm,
                revision=word.revision,
                age=f'{self.staleness():.3f}',
            )

    def _take_entries(
        self, word: state_messages.Word, disturbed: float
    ) -> None:
        changes = tuple(
            store.Change(
                entry.revision,
                instance=entry.instance,
                upstream=entry.upstream,
            )
            for entry in word.entries
        )
        if word.is_whole:
            self._replace(changes, disturbed)
            self._whole_since = word.revision
        else:
            self._apply(changes, disturbed)
        self._is_whole = True


def _unreachable(
    detail: str,
) -> Result[store.Changes, store.StoreError]:
    failed: Result[store.Changes, store.StoreError] = Result.Error(
        store.StoreError('unreachable', detail)
    )
    return failed
