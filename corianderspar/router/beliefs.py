"""What this daemon holds for true of the store, and how old the proof is.

A daemon follows the store. One that the store turns away asks its peers,
which tell the age of their own proof along with what they know. Versions
never go back within one process.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from expression import Result
import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar.router import fleet
from corianderspar.router import model
from corianderspar.router import store

WATCH_SECONDS = 1.5  # one call in this time for each daemon
ANSWER_SECONDS = 1.0  # beyond the wait; then the connection is given up
RETRY_SECONDS = 0.25  # between calls to a store that does not answer
ASK_AFTER_SECONDS = 0.5  # without a word of the store, peers are asked
ASK_SECONDS = 0.4  # for a peer's answer
LAPSE_SECONDS = 2.0  # in which live upstreams are listed again
DISTURBED_SECONDS = 0.6  # without the store: removals may be mere lapses


class Want(NamedTuple):
    """Asks a peer for what it believes, if newer than a revision."""

    revision: int


class Word(NamedTuple):
    """What a peer believes.

    Attributes
    ----------
    revision : int
        Of the store, up to which it knows all changes.
    age : float
        Seconds since that was proved to be the newest.
    configuration : Configuration or None
        None if the asker has it, or there is none.
    upstreams : tuple of Upstream or None
        None if the asker has them.
    """

    revision: int
    age: float
    configuration: model.Configuration | None
    upstreams: tuple[model.Upstream, ...] | None


_WORD = msgspec.msgpack.Decoder(Word)


class Packed(NamedTuple):
    """A `Word`, encoded once by the peer that tells it."""

    word: bytes


class Beliefs:
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
    proved : float
        Monotonic seconds at which this was the newest state; -inf for
        never.
    calls : int
        Calls to the store.
    on_upstreams : list of callable
        Hooks for changes of the upstreams.
    """

    name = 'beliefs'
    requires: tuple[str, ...] = ('peers', 'fleet')

    def __init__(self, client: store.StoreClient) -> None:
        self.configuration: model.Configuration | None = None
        self.upstreams_by_instance: dict[str, model.Upstream] = {}
        self.revision = 0
        self.proved = float('-inf')
        self.calls = 0
        self.on_upstreams: list[Callable[[], None]] = []
        self._client = client
        self._revisions_by_instance: dict[str, int] = {}
        self._lapses_by_instance: dict[str, float] = {}
        self._answered = float('-inf')
        self._disturbed = float('-inf')
        self._is_store_lost = False

    async def start(self, app: kernel.Application) -> None:
        """Begin to follow the store."""
        self._app = app
        self._fleet = app.find('fleet', fleet.Fleet)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want', Want, self._tell)
        self._peers.reply_type('word', Packed)
        self._answered = app.clock.monotonic()
        app.spawn(self.name, 'follow', self._follow())
        app.spawn(self.name, 'ask', self._ask_peers())
        app.spawn(self.name, 'lapse', self._drop_lapsed())

    async def stop(self) -> None:
        """Nothing to hand on."""

    def age(self) -> float:
        """Return seconds since what is known was proved to be newest."""
        return self._app.clock.monotonic() - self.proved

    def upstreams(self, service: str) -> list[model.Upstream]:
        """Return the upstreams of a service that may get work."""
        return [
            upstream
            for upstream in self.upstreams_by_instance.values()
            if upstream.service == service and upstream.ready
        ]

    async def _follow(self) -> None:
        clock = self._app.clock
        is_whole = False
        while True:
            began = clock.monotonic()
            self.calls += 1
            if is_whole:
                result = await self._within(
                    self._client.watch(self.revision, WATCH_SECONDS),
                    WATCH_SECONDS + ANSWER_SECONDS,
                )
            else:
                result = await self._within(
                    self._client.read(), 2 * ANSWER_SECONDS
                )
            if result.is_error():
                self._note_loss(result.error)
                if result.error.code == 'compacted':
                    is_whole = False
                    continue
                await clock.sleep(RETRY_SECONDS)
                continue
            found = result.ok
            self._note_answer(clock.monotonic())
            if is_whole:
                self._apply(found.changes)
            else:
                self._replace(found.changes)
            is_whole = True
            self.revision = max(self.revision, found.revision)
            proof = began
            waited = clock.monotonic() - began
            if not found.changes and waited >= WATCH_SECONDS:
                # The store held the call for all of its wait and had seen
                # nothing by then.
                proof = began + WATCH_SECONDS
            self.proved = max(self.proved, proof)

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

    def _replace(self, changes: tuple[store.Change, ...]) -> None:
        """Take a full reading in place of what is known."""
        named = {change.instance for change in changes if change.upstream}
        for instance in list(self.upstreams_by_instance):
            if instance not in named:
                self._remove(instance, 'missing')
        self._apply(changes)

    def _apply(self, changes: tuple[store.Change, ...]) -> None:
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
                self._remove(change.instance, 'removed')
            else:
                self._put(change.upstream, change.revision)
        for hook in self.on_upstreams:
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

    def _remove(self, instance: str, why: str) -> None:
        if instance not in self.upstreams_by_instance:
            return
        now = self._app.clock.monotonic()
        if now - self._disturbed < LAPSE_SECONDS:
            # It may only have been kept from reporting itself.
            self._lapses_by_instance.setdefault(
                instance, self._disturbed + LAPSE_SECONDS
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

    async def _drop_lapsed(self) -> None:
        while True:
            await self._app.clock.sleep(RETRY_SECONDS)
            now = self._app.clock.monotonic()
            due = [i for i, t in self._lapses_by_instance.items() if t <= now]
            for instance in due:
                self._drop(instance, 'lapsed')
            if due:
                for hook in self.on_upstreams:
                    hook()

    async def _ask_peers(self) -> None:
        clock = self._app.clock
        while True:
            await clock.sleep(ASK_AFTER_SECONDS / 2)
            silence = clock.monotonic() - self._answered
            if not self._is_store_lost and (
                silence < WATCH_SECONDS + ASK_AFTER_SECONDS
            ):
                continue
            own = self._app.identity.vm
            others = [vm for vm in self._fleet.live() if vm != own]
            if not others:
                continue
            vm = self._app.rng.choice(others)
            began = clock.monotonic()
            reply = await self._peers.ask(vm, Want(self.revision), ASK_SECONDS)
            if reply.is_ok():
                self._hear(vm, reply.ok, began)

    async def _tell(self, _sender: peers.Sender, want: Want) -> Packed | None:
        if self.revision == 0:
            return None
        is_newer = self.revision > want.revision
        upstreams = tuple(self.upstreams_by_instance.values())
        word = Word(
            self.revision,
            self.age(),
            self.configuration if is_newer else None,
            upstreams if is_newer else None,
        )
        return Packed(msgspec.msgpack.encode(word))

    def _hear(self, vm: str, packed: Packed, began: float) -> None:
        try:
            word = _WORD.decode(packed.word)
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=vm, why=error)
            return
        if word.revision < self.revision:
            return
        if word.configuration is not None:
            self._adopt(word.configuration, vm)
        if word.upstreams is not None and word.revision > self.revision:
            self._take_list(word.upstreams, word.revision)
        before = self.age()
        # The peer's age counts from its reply, which is later than `began`.
        self.proved = max(self.proved, began - word.age)
        self.revision = word.revision
        if self.age() < before - ASK_AFTER_SECONDS:
            self._app.events.add(
                'beliefs.from_peer',
                peer=vm,
                revision=word.revision,
                age=f'{self.age():.3f}',
            )

    def _take_list(
        self, upstreams: tuple[model.Upstream, ...], revision: int
    ) -> None:
        by_instance = {u.instance: u for u in upstreams}
        for instance in list(self.upstreams_by_instance):
            if instance not in by_instance:
                self._drop(instance, 'missing at a peer')
        for upstream in upstreams:
            self._put(upstream, revision)
            self._revisions_by_instance[upstream.instance] = revision
        for hook in self.on_upstreams:
            hook()


def _unreachable(
    detail: str,
) -> Result[store.Changes, store.StoreError]:
    failed: Result[store.Changes, store.StoreError] = Result.Error(
        store.StoreError('unreachable', detail)
    )
    return failed
