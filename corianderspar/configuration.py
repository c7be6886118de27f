"""The catalogue in force: never a lower version than before."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from corianderspar import catalogue
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import platform_client
from corianderspar import platform_reader
from corianderspar import shards
from corianderspar import version_exchange
from corianderspar import version_store

OnCatalogue = Callable[[catalogue.Catalogue, catalogue.Catalogue | None], None]

SECTION = 'configuration'
HEAR_SECONDS = 4.0
CATCH_UP_SECONDS = 15.0
POLL_SECONDS = 0.1
HEARD_SECONDS = 10.0
FORGET_SECONDS = 60.0
PULL_SPREAD_SECONDS = 0.02
PULL_RETRY_SECONDS = 0.2
NO_LIST = platform_client.VmList(0, ())


class News(NamedTuple):
    """What a daemon's heartbeat says about its configuration.

    Attributes
    ----------
    number, digest : int, bytes
        `shards.VersionKey` in force.
    refused_number, refused_digest : int, bytes
        The highest refused one above that, if any.
    list_revision : int
        Of the newest VM list it knows.
    list_age : float or None
        Seconds since that list was surely read; None if unknown.
    stamp : float
        The sender's monotonic seconds.
    echo_nonce, echo_stamp : str, float
        Incarnation's nonce and stamp last heard from the receiver.
    """

    number: int
    digest: bytes
    refused_number: int
    refused_digest: bytes
    list_revision: int
    list_age: float | None
    stamp: float
    echo_nonce: str
    echo_stamp: float


class Heard(NamedTuple):
    """The latest news of a peer."""

    news: News
    nonce: str
    at: float


_DECODER = msgspec.msgpack.Decoder(News)


class Configuration:
    """The service ``configuration``: holds the catalogue in force.

    A few relays in each data centre read the platform's service; all
    others hear of versions and of the VM list in heartbeats, and pull
    what is new from a peer that has it.

    Parameters
    ----------
    platform : PlatformClient or None
        The platform; without it, only peers and `adopt` give versions.

    Attributes
    ----------
    catalogue : Catalogue or None
        The one in force.
    on_catalogue : list of callable
        Hooks that get the new catalogue and the one before it.
    ready : asyncio.Event
        Set as soon as a catalogue is in force and the peers' versions were
        heard; before that, the daemon must not serve.
    list_verified_at : float
        Monotonic seconds at which the VM list in use was surely read from
        the platform, here or by a relay; -inf for never.
    vm_list : VmList
        The newest list known.
    versions : VersionStore
        Shards and verdicts, findings on refused versions included.
    """

    name = 'configuration'
    requires: tuple[str, ...] = ('peers', 'membership')

    def __init__(
        self, platform: platform_client.PlatformClient | None = None
    ) -> None:
        self.catalogue: catalogue.Catalogue | None = None
        self.on_catalogue: list[OnCatalogue] = []
        self.key = shards.NO_VERSION
        self.versions = version_store.VersionStore()
        self.ready = asyncio.Event()
        self.caught_up = asyncio.Event()
        self.vm_list = NO_LIST
        self.list_verified_at = float('-inf')
        self._client = platform
        self._heard_by_vm: dict[str, Heard] = {}
        self._news = asyncio.Event()

    async def start(self, app: kernel.Application) -> None:
        """Begin to follow the platform and the peers."""
        self._app = app
        self._membership = app.find('membership', membership.Membership)
        self._pull = version_exchange.VersionExchange(
            app, self.versions, lambda: self.vm_list
        )
        self._membership.add_section(SECTION, self._provide, self._hear)
        app.spawn(self.name, 'pull', self._follow_peers())
        app.spawn(self.name, 'gate', self._await_peers())
        if self._client is not None:
            reader = platform_reader.PlatformReader(app, self._client, self)
            app.spawn(self.name, 'list', reader.follow_list())
            app.spawn(self.name, 'watch', reader.follow_versions())

    async def stop(self) -> None:
        """Nothing to hand on: peers know the version too."""

    @property
    def version(self) -> int:
        """Version in force; 0 for none yet."""
        return self.catalogue.version if self.catalogue else 0

    def adopt(self, found: catalogue.Catalogue) -> bool:
        """Put a checked catalogue in force unless it is no newer.

        Of two contents under one version number the one whose manifest
        has the higher digest is the newer, in every daemon.
        """
        values = shards.split(found)
        manifest = shards.parse_manifest(values[shards.MANIFEST_KEY]).ok
        key = manifest.key()
        if key <= self.key:
            return False
        for digest in manifest.digests_by_shard.values():
            self.versions.add_shard(digest, values[shards.shard_key(digest)])
        self.versions.keep(manifest)
        self.caught_up.set()
        self._put_in_force(key, found)
        return True

    def adopt_or_reject(self, manifest: shards.Manifest) -> None:
        """Put a complete version in force, or refuse it whole.

        Parameters
        ----------
        manifest : Manifest
            All its shards are in `versions`.
        """
        key = manifest.key()
        if key <= self.key or key in self.versions.rejected_by_key:
            return
        verdict = self.versions.assemble(manifest)
        if verdict.is_ok():
            self._put_in_force(key, verdict.ok)
        else:
            self.reject(version_store.Rejection(key, verdict.error))

    def reject(self, refused: version_store.Rejection) -> None:
        """Keep and report a refusal; the version in force stays."""
        self.versions.add_rejection(refused)
        self.versions.prune(self._kept())
        self._app.events.add(
            'configuration.refused',
            version=refused.key.number,
            findings=len(refused.findings),
        )
        self._announce()

    def adopt_list(
        self, listed: platform_client.VmList, read_at: float
    ) -> None:
        """Take a VM list, unless a newer one is known.

        Parameters
        ----------
        listed : VmList
            From the platform or a peer.
        read_at : float
            Monotonic seconds before which it was not read.
        """
        if listed.revision < self.vm_list.revision:
            return
        if listed.revision > self.vm_list.revision:
            self.vm_list = listed
            self._membership.adopt_list(listed)
        self.list_verified_at = max(self.list_verified_at, read_at)

    def is_relay(self) -> bool:
        """Return whether this daemon reads the service for others."""
        own = self._app.identity
        return own.vm in self._membership.relays(own.data_centre)

    def _put_in_force(
        self, key: shards.VersionKey, found: catalogue.Catalogue
    ) -> None:
        before = self.catalogue
        if key.number == self.key.number:
            self._app.events.add(
                'configuration.conflict',
                version=key.number,
                kept=key.digest.hex(),
                dropped=self.key.digest.hex(),
            )
        self.key = key
        self.catalogue = found
        self.versions.prune(self._kept())
        self._app.events.add('configuration.adopted', version=key.number)
        for hook in self.on_catalogue:
            hook(found, before)
        self._become_ready()
        self._announce()

    def _announce(self) -> None:
        if self.is_relay():
            self._membership.send_now()

    def _kept(self) -> list[shards.VersionKey]:
        return [self.key, self._refused_key()]

    def _refused_key(self) -> shards.VersionKey:
        above = [
            key
            for key in self.versions.rejected_by_key
            if key > self.key and key.number
        ]
        return max(above, default=shards.NO_VERSION)

    def _become_ready(self) -> None:
        if self.caught_up.is_set() and self.catalogue is not None:
            self.ready.set()

    # What peers say.

    def _provide(self, vm: str) -> bytes:
        now = self._app.clock.monotonic()
        heard = self._heard_by_vm.get(vm)
        known = self.list_verified_at > float('-inf')
        news = News(
            *self.key,
            *self._refused_key(),
            self.vm_list.revision,
            now - self.list_verified_at if known else None,
            now,
            heard.nonce if heard else '',
            heard.news.stamp if heard else 0.0,
        )
        return msgspec.msgpack.encode(news)

    def _hear(self, sender: peers.Sender, content: bytes) -> None:
        try:
            news = _DECODER.decode(content)
        except msgspec.MsgspecError:
            return
        now = self._app.clock.monotonic()
        nonce = kernel.Incarnation.parse(sender.incarnation).nonce
        if sender.vm not in self._heard_by_vm:
            self._forget_silent(now)
        self._heard_by_vm[sender.vm] = Heard(news, nonce, now)
        self._hear_freshness(news)
        if self._wanted() or news.list_revision > self.vm_list.revision:
            self._news.set()

    def _forget_silent(self, now: float) -> None:
        for vm, heard in list(self._heard_by_vm.items()):
            if now - heard.at > FORGET_SECONDS:
                del self._heard_by_vm[vm]

    def _hear_freshness(self, news: News) -> None:
        # The peer computed the age after it got our stamp, so the list was
        # read no earlier than the stamp less the age, however long this
        # message was under way or this process was paused.
        if news.list_age is None or news.list_revision == 0:
            return
        if news.echo_nonce != self._app.incarnation.nonce:
            return
        if news.list_revision == self.vm_list.revision:
            read_at = news.echo_stamp - news.list_age
            self.list_verified_at = max(self.list_verified_at, read_at)

    def _recent(self) -> dict[str, Heard]:
        since = self._app.clock.monotonic() - HEARD_SECONDS
        return {
            vm: heard
            for vm, heard in self._heard_by_vm.items()
            if heard.at >= since
        }

    def _holders(self, key: shards.VersionKey) -> list[str]:
        return sorted(
            vm
            for vm, heard in self._recent().items()
            if key in _keys(heard.news)
        )

    def _wanted(self) -> shards.VersionKey | None:
        """Return the highest key heard that is not judged here."""
        heard = {
            key
            for heard in self._recent().values()
            for key in _keys(heard.news)
        }
        wanted = max(
            heard - self.versions.rejected_by_key.keys(), default=None
        )
        return wanted if wanted and wanted > self.key else None

    async def _follow_peers(self) -> None:
        while True:
            await self._news.wait()
            self._news.clear()
            await self._pull_list()
            while self._wanted() is not None:
                if not await self._pull_version():
                    await self._app.clock.sleep(PULL_RETRY_SECONDS)

    async def _pull_version(self) -> bool:
        # Spread over time and holders, so that the relays, which have a
        # version first, don't serve the whole data centre at once.
        crowd = len(self._heard_by_vm) * PULL_SPREAD_SECONDS
        await self._app.clock.sleep(self._app.rng.uniform(0, crowd))
        key = self._wanted()
        if key is None:
            return True
        vm = self._app.rng.choice(self._holders(key))
        manifest = await self._pull.version(key, self.key, vm)
        if manifest is None:
            return False
        self.adopt_or_reject(manifest)
        return True

    async def _pull_list(self) -> None:
        holders = sorted(
            vm
            for vm, heard in self._recent().items()
            if heard.news.list_revision > self.vm_list.revision
        )
        listed = await self._pull.vms(holders)
        if listed is not None:
            self.adopt_list(listed, float('-inf'))

    # What a new daemon waits for.

    async def _await_peers(self) -> None:
        clock = self._app.clock
        start = clock.monotonic()
        while not self._has_waited(clock.monotonic() - start):
            await clock.sleep(POLL_SECONDS)
        self.caught_up.set()
        self._become_ready()

    def _has_waited(self, seconds: float) -> bool:
        if seconds >= CATCH_UP_SECONDS:
            return True
        if self._wanted() is not None:
            return False
        return seconds >= HEAR_SECONDS or self._has_heard_all()

    def _has_heard_all(self) -> bool:
        if not self.vm_list.vms:
            return False
        own = self._app.identity
        silent_by_data_centre: dict[str, list[bool]] = {}
        for line in self.vm_list.vms:
            if line.name != own.vm and not line.leaving:
                silent = line.name not in self._heard_by_vm
                place = line.data_centre
                silent_by_data_centre.setdefault(place, []).append(silent)
        neighbours = silent_by_data_centre.pop(own.data_centre, [])
        elsewhere = silent_by_data_centre.values() if self.is_relay() else ()
        return not any(neighbours) and not any(map(all, elsewhere))


def _keys(news: News) -> list[shards.VersionKey]:
    return [
        shards.VersionKey(news.number, news.digest),
        shards.VersionKey(news.refused_number, news.refused_digest),
    ]
