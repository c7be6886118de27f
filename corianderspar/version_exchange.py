"""Transfer of catalogue versions and VM lists between daemons."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
import zlib

import msgspec

from corianderspar import decoding
from corianderspar import kernel
from corianderspar import peers
from corianderspar import platform_client
from corianderspar import shards
from corianderspar import version_store

CHUNK_BYTES = 32 * 1024
MAX_PARALLEL_REQUESTS = 8
REQUEST_TIMEOUT_SECONDS = 1.0


class ManifestRequest(NamedTuple):
    """Requests a manifest, as a delta to one that the requester has.

    Attributes
    ----------
    number, digest : int, bytes
        `shards.VersionKey` of the requested version.
    base_number, base_digest : int, bytes
        `shards.VersionKey` of the version to which the delta may apply.
    """

    number: int
    digest: bytes
    base_number: int
    base_digest: bytes


class ManifestReply(NamedTuple):
    """A manifest, if the peer has it.

    Attributes
    ----------
    is_found : bool
        Whether the peer has it.
    is_delta : bool
        Whether ``changed`` and ``removed`` apply to the base.
    changed : dict of str to str
        Digests by shard; all of them if this is not a delta.
    removed : tuple of str
        Shards of the base that the version does not have.
    """

    is_found: bool
    is_delta: bool = False
    changed: dict[str, str] = {}  # noqa: RUF012
    removed: tuple[str, ...] = ()


class ShardRequest(NamedTuple):
    """Requests a chunk of a compressed shard.

    Attributes
    ----------
    digest : str
        Digest of the uncompressed shard.
    offset : int
        Position of the chunk in bytes.
    """

    digest: str
    offset: int


class ShardReply(NamedTuple):
    """A chunk of a compressed shard.

    Attributes
    ----------
    size : int
        Bytes of the whole compressed shard; 0 if the peer does not have it.
    data : bytes
        At most `CHUNK_BYTES`.
    """

    size: int
    data: bytes


class VmListRequest(NamedTuple):
    """Requests the newest VM list."""


class VmListReply(NamedTuple):
    """The newest VM list that the peer has.

    Attributes
    ----------
    compressed : bytes
        A `platform_client.VmList` in MessagePack, compressed.
    """

    compressed: bytes


class VersionExchange:
    """Fetches versions and VM lists from peers, and serves them to peers.

    Parameters
    ----------
    app : Application
        Its service ``peers`` transports the messages.
    versions : VersionStore
        Holds the versions that are served and gets those that are fetched.
    vm_list : callable
        Returns the newest VM list of this daemon.
    """

    def __init__(
        self,
        app: kernel.Application,
        versions: version_store.VersionStore,
        vm_list: Callable[[], platform_client.VmList],
    ) -> None:
        self._app = app
        self._versions = versions
        self._vm_list = vm_list
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle(
            'manifest.ask', ManifestRequest, self._on_manifest_request
        )
        self._peers.handle('shard.ask', ShardRequest, self._on_shard_request)
        self._peers.handle('vms.ask', VmListRequest, self._on_vm_list_request)
        self._peers.add_reply_type('manifest.reply', ManifestReply)
        self._peers.add_reply_type('shard.piece', ShardReply)
        self._peers.add_reply_type('vms.reply', VmListReply)

    async def fetch_version(
        self, key: shards.VersionKey, base: shards.VersionKey, vm: str
    ) -> shards.Manifest | None:
        """Fetch a version from a peer.

        Parameters
        ----------
        key, base : VersionKey
            The version to fetch, and the one in force here.
        vm : str
            The peer.

        Returns
        -------
        Manifest or None
            The manifest, with all its shards in the store; None if the peer
            did not provide all of them.
        """
        manifest = self._versions.manifest(key)
        if manifest is None:
            manifest = await self._fetch_manifest(key, base, vm)
        if manifest is None:
            return None
        missing = self._versions.missing_digests(manifest)
        for start in range(0, len(missing), MAX_PARALLEL_REQUESTS):
            batch = missing[start : start + MAX_PARALLEL_REQUESTS]
            done = await asyncio.gather(
                *(self._fetch_shard(digest, vm) for digest in batch)
            )
            if not all(done):
                return None
        return None if self._versions.missing_digests(manifest) else manifest

    async def fetch_vm_list(
        self, holders: Sequence[str]
    ) -> platform_client.VmList | None:
        """Fetch the VM list from one of several peers, chosen at random.

        Parameters
        ----------
        holders : sequence of str
            VMs that have a newer list; may be empty.

        Returns
        -------
        VmList or None
            None if there is no holder or it gave no valid list.
        """
        if not holders:
            return None
        vm = self._app.rng.choice(holders)
        reply = await self._peers.ask(
            vm, VmListRequest(), REQUEST_TIMEOUT_SECONDS
        )
        if reply.is_error():
            return None
        data = version_store.decompress(reply.ok.compressed)
        if data is None:
            return None
        try:
            return msgspec.msgpack.decode(data, type=platform_client.VmList)
        except decoding.ERRORS:
            return None

    async def _fetch_manifest(
        self, key: shards.VersionKey, base: shards.VersionKey, vm: str
    ) -> shards.Manifest | None:
        request = ManifestRequest(*key, *base)
        result = await self._peers.ask(vm, request, REQUEST_TIMEOUT_SECONDS)
        if result.is_error() or not result.ok.is_found:
            return None
        reply = result.ok
        digests_by_shard = dict(reply.changed)
        if reply.is_delta:
            base_manifest = self._versions.manifest(base)
            if base_manifest is None:
                return None
            digests_by_shard = {
                **base_manifest.digests_by_shard,
                **reply.changed,
            }
            for shard in reply.removed:
                digests_by_shard.pop(shard, None)
        manifest = shards.Manifest(key.number, digests_by_shard)
        return manifest if manifest.key() == key else None

    async def _fetch_shard(self, digest: str, vm: str) -> bool:
        compressed = b''
        while True:
            request = ShardRequest(digest, len(compressed))
            result = await self._peers.ask(
                vm, request, REQUEST_TIMEOUT_SECONDS
            )
            if result.is_error() or not result.ok.data:
                return False
            compressed += result.ok.data
            if len(compressed) > platform_client.MAX_VALUE_BYTES:
                return False
            if len(compressed) >= result.ok.size:
                return self._versions.add_compressed_shard(digest, compressed)

    async def _on_manifest_request(
        self, sender: peers.Sender, request: ManifestRequest
    ) -> ManifestReply:
        key = shards.VersionKey(request.number, request.digest)
        manifest = self._versions.manifest(key)
        if manifest is None:
            return ManifestReply(False)
        base = self._versions.manifest(
            shards.VersionKey(request.base_number, request.base_digest)
        )
        if base is None:
            return ManifestReply(True, False, manifest.digests_by_shard)
        return _delta(base.digests_by_shard, manifest.digests_by_shard)

    async def _on_shard_request(
        self, sender: peers.Sender, request: ShardRequest
    ) -> ShardReply:
        compressed = self._versions.compressed_shard(request.digest)
        if compressed is None or request.offset < 0:
            return ShardReply(0, b'')
        data = compressed[request.offset : request.offset + CHUNK_BYTES]
        return ShardReply(len(compressed), data)

    async def _on_vm_list_request(
        self, sender: peers.Sender, request: VmListRequest
    ) -> VmListReply:
        data = msgspec.msgpack.encode(self._vm_list())
        return VmListReply(zlib.compress(data))


def _delta(base: dict[str, str], target: dict[str, str]) -> ManifestReply:
    changed = {
        shard: digest
        for shard, digest in target.items()
        if base.get(shard) != digest
    }
    removed = tuple(shard for shard in base if shard not in target)
    return ManifestReply(True, True, changed, removed)
