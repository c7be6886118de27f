"""The catalogue in force; its version never goes back."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from corianderspar import catalogue
from corianderspar import decoding
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import platform_client
from corianderspar import platform_reader
from corianderspar import shards
from corianderspar import version_exchange
from corianderspar import version_store

OnCatalogue = Callable[[catalogue.Catalogue, catalogue.Catalogue | None], None]

SECTION = 'configuration'  # of heartbeats
# A new daemon waits this long for the first heartbeats of all peers, and up to
# the timeout if one of them has a newer version, which it then fetches.
HEARTBEAT_WAIT_SECONDS = 4.0
CATCH_UP_TIMEOUT_SECONDS = 15.0
CATCH_UP_POLL_SECONDS = 0.1
RECENT_SECONDS = 10.0  # older sections are ignored
FORGET_SECONDS = 60.0  # then the last section of a silent peer is dropped
FETCH_SPREAD_SECONDS = 0.02  # per known peer
FETCH_RETRY_SECONDS = 0.2
NO_VM_LIST = platform_client.VmList(0, ())


class ConfigurationSection(NamedTuple):
    """The section ``configuration`` of a heartbeat.

    Attributes
    ----------
    number, digest : int, bytes
        `shards.VersionKey` of the version in force.
    rejected_number, rejected_digest : int, bytes
        Key of the highest rejected version above that; `shards.NO_VERSION`
        for none.
    list_revision : int
        Revision of the newest VM list of the sender.
    list_staleness : float or None
        Seconds since that list was verified as the newest; None for never.
    sent_at : float
        Monotonic seconds of the sender.
    echo_nonce, echo_sent_at : str, float
        Nonce of the receiver's incarnation and ``sent_at`` of the last
        section that the sender got from the receiver.
    """

    number: int
    digest: bytes
    rejected_number: int
    rejected_digest: bytes
    list_revision: int
    list_staleness: float | None
    sent_at: float
    echo_nonce: str
    echo_sent_at: float


class ReceivedSection(NamedTuple):
    """The latest section of a peer.

    Attributes
    ----------
    section : ConfigurationSection
        Its content.
    nonce : str
        Nonce of the peer's incarnation.
    received_at : float
        Monotonic seconds.
    """

    section: ConfigurationSection
    nonce: str
    received_at: float


_DECODER = msgspec.msgpack.Decoder(ConfigurationSection)


class Configuration:
    """The service ``configuration``: holds the catalogue in force.

    The relays of each data centre read the platform. All other daemons learn
    from heartbeats which versions and which VM list are the newest, and fetch
    them from a peer.

    Parameters
    ----------
    client : PlatformClient or None
        Reads the platform; without it, versions come only from peers and
        from `adopt`.

    Attributes
    ----------
    catalogue : Catalogue or None
        The catalogue in force.
    on_catalogue : list of callable
        Hooks called with the new catalogue and the previous one.
    key : VersionKey
        Key of the version in force; `shards.NO_VERSION` for none.
    versions : VersionStore
        The stored versions, and the findings on rejected ones.
    ready : asyncio.Event
        Set once `caught_up` is set and a catalogue is in force; before that,
        the daemon must not serve requests.
    caught_up : asyncio.Event
        Set once the versions of the peers are known, or the wait for them
        has ended.
    vm_list : VmList
        The newest known VM list.
    list_verified_at : float
        Monotonic seconds at which ``vm_list`` was last verified as the
        platform's, here or by a relay; -inf for never.
    """

    name = 'configuration'
    requires: tuple[str, ...] = ('peers', 'membership')

    def __init__(
        self, client: platform_client.PlatformClient | None = None
    ) -> None:
        self.catalogue: catalogue.Catalogue | None = None
        self.on_catalogue: list[OnCatalogue] = []
        self.key = shards.NO_VERSION
        self.versions = version_store.VersionStore()
        self.ready = asyncio.Event()
        self.caught_up = asyncio.Event()
        self.vm_list = NO_VM_LIST
        self.list_verified_at = float('-inf')
        self._client = client
        self._sections_by_vm: dict[str, ReceivedSection] = {}
        self._peer_is_newer = asyncio.Event()

    async def start(self, app: kernel.Application) -> None:
        """Begin to follow the platform and the peers."""
        self._app = app
        self._membership = app.find('membership', membership.Membership)
        self._exchange = version_exchange.VersionExchange(
            app, self.versions, lambda: self.vm_list
        )
        self._membership.add_section(
            SECTION, self._provide_section, self._accept_section
        )
        app.keep_running(self.name, 'pull', self._follow_peers)
        app.keep_running(self.name, 'gate', self._catch_up, may_return=True)
        if self._client is not None:
            reader = platform_reader.PlatformReader(app, self._client, self)
            app.keep_running(self.name, 'list', reader.follow_list)
            app.keep_running(self.name, 'watch', reader.follow_versions)

    async def stop(self) -> None:
        """Do nothing: peers have the version in force too."""

    @property
    def version(self) -> int:
        """Version in force; 0 for none yet."""
        return self.catalogue.version if self.catalogue else 0

    def adopt(self, new: catalogue.Catalogue) -> bool:
        """Put a valid catalogue in force unless it is not newer.

        Of two catalogues with the same version number, the one whose manifest
        has the higher digest counts as newer, in all daemons.

        Returns
        -------
        bool
            Whether it was put in force.
        """
        values = shards.split(new)
        manifest = shards.parse_manifest(values[shards.MANIFEST_KEY]).ok
        key = manifest.key()
        if key <= self.key:
            return False
        for digest in manifest.digests_by_shard.values():
            self.versions.add_shard(digest, values[shards.shard_key(digest)])
        self.versions.add_manifest(manifest)
        self.caught_up.set()
        self._put_in_force(key, new)
        return True

    def adopt_or_reject(self, manifest: shards.Manifest) -> None:
        """Put a version in force, or reject the whole version if invalid.

        Nothing is done if it is not newer or was rejected before.

        Parameters
        ----------
        manifest : Manifest
            All its shards must be in `versions`.
        """
        key = manifest.key()
        if key <= self.key or key in self.versions.rejected_by_key:
            return
        result = self.versions.assemble(manifest)
        if result.is_ok():
            self._put_in_force(key, result.ok)
        else:
            self.reject(version_store.Rejection(key, result.error))

    def reject(self, rejection: version_store.Rejection) -> None:
        """Store and report a rejection; the version in force stays."""
        self.versions.add_rejection(rejection)
        self.versions.prune(self._kept_keys())
        self._app.events.add(
            'configuration.refused',
            version=rejection.key.number,
            findings=len(rejection.findings),
        )
        self._announce()

    def adopt_list(
        self, vm_list: platform_client.VmList, verified_at: float
    ) -> None:
        """Adopt a VM list, unless a newer one is known.

        Parameters
        ----------
        vm_list : VmList
            A list from the platform or from a peer.
        verified_at : float
            Monotonic seconds at which it was the platform's, or earlier;
            -inf if unknown.
        """
        if vm_list.revision < self.vm_list.revision:
            return
        if vm_list.revision > self.vm_list.revision:
            self.vm_list = vm_list
            self._membership.adopt_list(vm_list)
        self.list_verified_at = max(self.list_verified_at, verified_at)

    def is_relay(self) -> bool:
        """Return whether this daemon reads the platform for others."""
        own = self._app.identity
        return own.vm in self._membership.relays(own.data_centre)

    def _put_in_force(
        self, key: shards.VersionKey, new: catalogue.Catalogue
    ) -> None:
        previous = self.catalogue
        if key.number == self.key.number:
            self._app.events.add(
                'configuration.conflict',
                version=key.number,
                kept=key.digest.hex(),
                dropped=self.key.digest.hex(),
            )
        self.key = key
        self.catalogue = new
        self.versions.prune(self._kept_keys())
        self._app.events.add('configuration.adopted', version=key.number)
        for hook in self.on_catalogue:
            hook(new, previous)
        self._update_ready()
        self._announce()

    def _announce(self) -> None:
        # Relays do not wait for the next heartbeat, as all other daemons
        # learn of new versions from them.
        if self.is_relay():
            self._membership.send_now()

    def _kept_keys(self) -> list[shards.VersionKey]:
        return [self.key, self._highest_rejected_key()]

    def _highest_rejected_key(self) -> shards.VersionKey:
        above = [
            key
            for key in self.versions.rejected_by_key
            if key > self.key and key.number
        ]
        return max(above, default=shards.NO_VERSION)

    def _update_ready(self) -> None:
        if self.caught_up.is_set() and self.catalogue is not None:
            self.ready.set()

    # Heartbeats.

    def _provide_section(self, vm: str) -> bytes:
        now = self._app.clock.monotonic()
        received = self._sections_by_vm.get(vm)
        is_verified = self.list_verified_at > float('-inf')
        section = ConfigurationSection(
            *self.key,
            *self._highest_rejected_key(),
            self.vm_list.revision,
            now - self.list_verified_at if is_verified else None,
            now,
            received.nonce if received else '',
            received.section.sent_at if received else 0.0,
        )
        return msgspec.msgpack.encode(section)

    def _accept_section(self, sender: peers.Sender, content: bytes) -> None:
        try:
            section = _DECODER.decode(content)
        except decoding.ERRORS:
            return
        now = self._app.clock.monotonic()
        nonce = kernel.Incarnation.parse(sender.incarnation).nonce
        if sender.vm not in self._sections_by_vm:
            self._forget_silent(now)
        self._sections_by_vm[sender.vm] = ReceivedSection(section, nonce, now)
        self._update_list_verified_at(section)
        if self._wanted() or section.list_revision > self.vm_list.revision:
            self._peer_is_newer.set()

    def _forget_silent(self, now: float) -> None:
        for vm, received in list(self._sections_by_vm.items()):
            if now - received.received_at > FORGET_SECONDS:
                del self._sections_by_vm[vm]

    def _update_list_verified_at(self, section: ConfigurationSection) -> None:
        """Take over from a peer when the VM list was verified.

        The peer computed the staleness after it had received the section that
        it echoes. The list was therefore verified no earlier than that
        section was sent less the staleness, however long the peer's heartbeat
        was in transit or this process was paused.
        """
        if section.list_staleness is None or section.list_revision == 0:
            return
        if section.echo_nonce != self._app.incarnation.nonce:
            return
        if section.list_revision == self.vm_list.revision:
            verified_at = section.echo_sent_at - section.list_staleness
            self.list_verified_at = max(self.list_verified_at, verified_at)

    def _recent_sections(self) -> dict[str, ReceivedSection]:
        since = self._app.clock.monotonic() - RECENT_SECONDS
        return {
            vm: received
            for vm, received in self._sections_by_vm.items()
            if received.received_at >= since
        }

    def _holders(self, key: shards.VersionKey) -> list[str]:
        return sorted(
            vm
            for vm, received in self._recent_sections().items()
            if key in _keys(received.section)
        )

    def _wanted(self) -> shards.VersionKey | None:
        """Return the key of the version to fetch.

        This is the highest key at any peer that is neither rejected here nor
        at or below the version in force; None if there is no such key.
        """
        keys = {
            key
            for received in self._recent_sections().values()
            for key in _keys(received.section)
        }
        wanted = max(keys - self.versions.rejected_by_key.keys(), default=None)
        return wanted if wanted and wanted > self.key else None

    # Fetching from peers.

    async def _follow_peers(self) -> None:
        while True:
            await self._peer_is_newer.wait()
            self._peer_is_newer.clear()
            await self._fetch_list()
            while self._wanted() is not None:
                if not await self._fetch_version():
                    await self._app.clock.sleep(FETCH_RETRY_SECONDS)

    async def _fetch_version(self) -> bool:
        """Fetch the wanted version; return False if it has to be retried.

        The requests are spread over time and over the holders, so that the
        relays, which have a new version first, don't serve the whole data
        centre at once.
        """
        max_delay = len(self._sections_by_vm) * FETCH_SPREAD_SECONDS
        await self._app.clock.sleep(self._app.rng.uniform(0, max_delay))
        key = self._wanted()
        if key is None:
            return True
        vm = self._app.rng.choice(self._holders(key))
        manifest = await self._exchange.fetch_version(key, self.key, vm)
        if manifest is None:
            return False
        self.adopt_or_reject(manifest)
        return True

    async def _fetch_list(self) -> None:
        holders = sorted(
            vm
            for vm, received in self._recent_sections().items()
            if received.section.list_revision > self.vm_list.revision
        )
        vm_list = await self._exchange.fetch_vm_list(holders)
        if vm_list is not None:
            self.adopt_list(vm_list, float('-inf'))

    # Catching up after the start.

    async def _catch_up(self) -> None:
        clock = self._app.clock
        start = clock.monotonic()
        while not self._is_caught_up(clock.monotonic() - start):
            await clock.sleep(CATCH_UP_POLL_SECONDS)
        self.caught_up.set()
        self._update_ready()

    def _is_caught_up(self, seconds: float) -> bool:
        """Return whether to stop waiting, ``seconds`` after the start."""
        if seconds >= CATCH_UP_TIMEOUT_SECONDS:
            return True
        if self._wanted() is not None:
            return False
        return seconds >= HEARTBEAT_WAIT_SECONDS or self._has_all_sections()

    def _has_all_sections(self) -> bool:
        """Return whether all peers that send heartbeats here have sent one.

        These are all VMs of this data centre and, for a relay, one or more in
        each other data centre.
        """
        if not self.vm_list.vms:
            return False
        own = self._app.identity
        silent_by_data_centre: dict[str, list[bool]] = {}
        for vm in self.vm_list.vms:
            if vm.name != own.vm and not vm.leaving:
                is_silent = vm.name not in self._sections_by_vm
                data_centre = vm.data_centre
                silent_by_data_centre.setdefault(data_centre, []).append(
                    is_silent
                )
        local = silent_by_data_centre.pop(own.data_centre, [])
        others = silent_by_data_centre.values() if self.is_relay() else ()
        return not any(local) and not any(map(all, others))


def _keys(section: ConfigurationSection) -> list[shards.VersionKey]:
    """Return the keys of the versions that a peer offers.

    Daemons fetch rejected versions too, so that each reports the findings.
    """
    return [
        shards.VersionKey(section.number, section.digest),
        shards.VersionKey(section.rejected_number, section.rejected_digest),
    ]
