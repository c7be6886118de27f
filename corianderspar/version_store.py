"""In-memory store of catalogue versions, and rejections of invalid ones."""

import collections
from collections.abc import Iterable
from typing import NamedTuple
import zlib

from expression import Result

from corianderspar import catalogue
from corianderspar import platform_client
from corianderspar import problems
from corianderspar import shards

MAX_MANIFESTS = 8
MAX_REJECTIONS = 8

Findings = list[problems.Finding]


class Rejection(NamedTuple):
    """A version that is invalid.

    Attributes
    ----------
    key : VersionKey
        Key of the version.
    findings : list of Finding
        All that is wrong with it; the same in every daemon.
    """

    key: shards.VersionKey
    findings: Findings


class VersionStore:
    """Manifests, compressed shards and rejections.

    A shard that several versions share is stored and parsed once.

    Attributes
    ----------
    rejected_by_key : dict of VersionKey to Rejection
        Those of the highest keys, `MAX_REJECTIONS` at most.
    """

    def __init__(self) -> None:
        self.rejected_by_key: dict[shards.VersionKey, Rejection] = {}
        self._manifests_by_key: collections.OrderedDict[
            shards.VersionKey, shards.Manifest
        ] = collections.OrderedDict()
        self._compressed_by_digest: dict[str, bytes] = {}
        self._parts_by_digest: dict[str, catalogue.PartialCatalogue] = {}

    def manifest(self, key: shards.VersionKey) -> shards.Manifest | None:
        """Return a manifest, or None if it is not stored."""
        return self._manifests_by_key.get(key)

    def compressed_shard(self, digest: str) -> bytes | None:
        """Return a compressed shard, or None if it is not stored."""
        return self._compressed_by_digest.get(digest)

    def add_manifest(self, manifest: shards.Manifest) -> None:
        """Store a manifest, as a base for the deltas that peers request."""
        self._manifests_by_key[manifest.key()] = manifest

    def missing_digests(self, manifest: shards.Manifest) -> list[str]:
        """Return the digests of the shards that are not stored, sorted."""
        wanted = {*manifest.digests_by_shard.values()}
        return sorted(wanted - self._compressed_by_digest.keys())

    def add_shard(self, digest: str, data: bytes) -> bool:
        """Store a shard; return False if its content has another digest."""
        if shards.digest_of(data) != digest:
            return False
        self._compressed_by_digest[digest] = zlib.compress(data)
        return True

    def add_compressed_shard(self, digest: str, compressed: bytes) -> bool:
        """Store a compressed shard, checked as in `add_shard`."""
        data = decompress(compressed)
        if data is None or shards.digest_of(data) != digest:
            return False
        self._compressed_by_digest[digest] = compressed
        return True

    def assemble(
        self, manifest: shards.Manifest
    ) -> Result[catalogue.Catalogue, Findings]:
        """Assemble and check the catalogue of a version.

        Parameters
        ----------
        manifest : Manifest
            All its shards must be stored.

        Returns
        -------
        Result
            The catalogue, or all findings if it is invalid.
        """
        parts = [
            self._parse_shard(digest)
            for _, digest in sorted(manifest.digests_by_shard.items())
        ]
        self.add_manifest(manifest)
        return catalogue.assemble(manifest.version, parts)

    def add_rejection(self, rejection: Rejection) -> None:
        """Store a rejection; drop those of the lowest keys if too many."""
        self.rejected_by_key[rejection.key] = rejection
        while len(self.rejected_by_key) > MAX_REJECTIONS:
            del self.rejected_by_key[min(self.rejected_by_key)]

    def prune(self, kept: Iterable[shards.VersionKey]) -> None:
        """Drop the shards of all other versions, and the oldest manifests.

        Parameters
        ----------
        kept : iterable of VersionKey
            Versions whose shards are kept. Their manifests count as the most
            recently used.
        """
        digests: set[str] = set()
        for key in kept:
            manifest = self._manifests_by_key.get(key)
            if manifest is not None:
                self._manifests_by_key.move_to_end(key)
                digests.update(manifest.digests_by_shard.values())
        for digest in [*self._compressed_by_digest]:
            if digest not in digests:
                del self._compressed_by_digest[digest]
                self._parts_by_digest.pop(digest, None)
        while len(self._manifests_by_key) > MAX_MANIFESTS:
            self._manifests_by_key.popitem(last=False)

    def _parse_shard(self, digest: str) -> catalogue.PartialCatalogue:
        part = self._parts_by_digest.get(digest)
        if part is None:
            data = zlib.decompress(self._compressed_by_digest[digest])
            part = shards.parse_shard(data)
            self._parts_by_digest[digest] = part
        return part


def decompress(compressed: bytes) -> bytes | None:
    """Decompress a value.

    Returns
    -------
    bytes or None
        None if the input is not valid or decompresses to more than
        `platform_client.MAX_VALUE_BYTES`.
    """
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(compressed, platform_client.MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return data if reader.eof else None
