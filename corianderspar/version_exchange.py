"""Typed messages by which daemons hand versions and VM lists to peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
import zlib

import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar import platform_client
from corianderspar import shards
from corianderspar import version_store

PIECE_BYTES = 32 * 1024
PARALLEL_PULLS = 8
PULL_TIMEOUT = 1.0


class ManifestAsk(NamedTuple):
    """Ask for a manifest, as a difference from one that is known."""

    number: int
    digest: bytes
    base_number: int
    base_digest: bytes


class ManifestReply(NamedTuple):
    """A manifest, if the peer has it.

    Attributes
    ----------
    found : bool
        Whether the peer has it.
    is_difference : bool
        Whether ``changed`` and ``gone`` apply to the base.
    changed : dict of str to str
        Digests by shard; all of them if it is no difference.
    gone : tuple of str
        Shards that are no more.
    """

    found: bool
    is_difference: bool = False
    changed: dict[str, str] = {}  # noqa: RUF012
    gone: tuple[str, ...] = ()


class ShardAsk(NamedTuple):
    """Ask for a compressed shard from an offset in bytes."""

    digest: str
    offset: int


class ShardPiece(NamedTuple):
    """Some bytes of a compressed shard; size 0 if the peer has none."""

    size: int
    data: bytes


class ListAsk(NamedTuple):
    """Ask for the newest VM list."""


class ListReply(NamedTuple):
    """A VM list, encoded and compressed; empty for none."""

    blob: bytes


class VersionExchange:
    """Answers peers' questions for versions and asks them.

    Parameters
    ----------
    app : Application
        Its ``peers`` service carries the messages.
    known : Versions
        Where versions are kept.
    listed : callable
        Returns the newest VM list that is known.
    """

    def __init__(
        self,
        app: kernel.Application,
        known: version_store.VersionStore,
        listed: Callable[[], platform_client.VmList],
    ) -> None:
        self._app = app
        self._known = known
        self._listed = listed
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('manifest.ask', ManifestAsk, self._give_manifest)
        self._peers.handle('shard.ask', ShardAsk, self._give_shard)
        self._peers.handle('vms.ask', ListAsk, self._give_list)
        self._peers.add_reply_type('manifest.reply', ManifestReply)
        self._peers.add_reply_type('shard.piece', ShardPiece)
        self._peers.add_reply_type('vms.reply', ListReply)

    async def version(
        self, key: shards.VersionKey, base: shards.VersionKey, vm: str
    ) -> shards.Manifest | None:
        """Pull a version from a peer.

        Parameters
        ----------
        key, base : VersionKey
            What is wanted, and what is in force here.
        vm : str
            The peer.

        Returns
        -------
        Manifest or None
            With all its shards known; None if the peer failed to give it.
        """
        manifest = self._known.manifest(key)
        if manifest is None:
            manifest = await self._manifest(key, base, vm)
        if manifest is None:
            return None
        missing = self._known.missing(manifest)
        for start in range(0, len(missing), PARALLEL_PULLS):
            batch = missing[start : start + PARALLEL_PULLS]
            done = await asyncio.gather(
                *(self._shard(digest, vm) for digest in batch)
            )
            if not all(done):
                return None
        return None if self._known.missing(manifest) else manifest

    async def vms(
        self, holders: Sequence[str]
    ) -> platform_client.VmList | None:
        """Pull the newest VM list from one of some peers."""
        if not holders:
            return None
        vm = self._app.rng.choice(holders)
        reply = await self._peers.ask(vm, ListAsk(), PULL_TIMEOUT)
        if reply.is_error():
            return None
        data = version_store.decompress(reply.ok.blob)
        if data is None:
            return None
        try:
            return msgspec.msgpack.decode(data, type=platform_client.VmList)
        except msgspec.MsgspecError:
            return None

    async def _manifest(
        self, key: shards.VersionKey, base: shards.VersionKey, vm: str
    ) -> shards.Manifest | None:
        ask = ManifestAsk(*key, *base)
        result = await self._peers.ask(vm, ask, PULL_TIMEOUT)
        if result.is_error() or not result.ok.found:
            return None
        reply = result.ok
        digests_by_shard = dict(reply.changed)
        if reply.is_difference:
            before = self._known.manifest(base)
            if before is None:
                return None
            digests_by_shard = {**before.digests_by_shard, **reply.changed}
            for shard in reply.gone:
                digests_by_shard.pop(shard, None)
        manifest = shards.Manifest(key.number, digests_by_shard)
        return manifest if manifest.key() == key else None

    async def _shard(self, digest: str, vm: str) -> bool:
        blob = b''
        while True:
            ask = ShardAsk(digest, len(blob))
            result = await self._peers.ask(vm, ask, PULL_TIMEOUT)
            if result.is_error() or not result.ok.data:
                return False
            blob += result.ok.data
            if len(blob) > platform_client.MAX_VALUE_BYTES:
                return False
            if len(blob) >= result.ok.size:
                return self._known.add_blob(digest, blob)

    async def _give_manifest(
        self, sender: peers.Sender, ask: ManifestAsk
    ) -> ManifestReply:
        key = shards.VersionKey(ask.number, ask.digest)
        manifest = self._known.manifest(key)
        if manifest is None:
            return ManifestReply(False)
        base = self._known.manifest(
            shards.VersionKey(ask.base_number, ask.base_digest)
        )
        if base is None:
            return ManifestReply(True, False, manifest.digests_by_shard)
        return _difference(base.digests_by_shard, manifest.digests_by_shard)

    async def _give_shard(
        self, sender: peers.Sender, ask: ShardAsk
    ) -> ShardPiece:
        blob = self._known.blob(ask.digest)
        if blob is None or ask.offset < 0:
            return ShardPiece(0, b'')
        data = blob[ask.offset : ask.offset + PIECE_BYTES]
        return ShardPiece(len(blob), data)

    async def _give_list(
        self, sender: peers.Sender, ask: ListAsk
    ) -> ListReply:
        data = msgspec.msgpack.encode(self._listed())
        return ListReply(zlib.compress(data))


def _difference(
    before: dict[str, str], after: dict[str, str]
) -> ManifestReply:
    changed = {
        shard: digest
        for shard, digest in after.items()
        if before.get(shard) != digest
    }
    gone = tuple(shard for shard in before if shard not in after)
    return ManifestReply(True, True, changed, gone)
