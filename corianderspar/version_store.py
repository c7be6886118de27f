"""Versions of the catalogue known to a daemon, and the judgement on each."""

import collections
from collections.abc import Iterable
from typing import NamedTuple
import zlib

from expression import Result

from corianderspar import catalogue
from corianderspar import platform_client
from corianderspar import problems
from corianderspar import shards

KEPT_MANIFESTS = 8
KEPT_REFUSED = 8

Findings = list[problems.Finding]


class Rejection(NamedTuple):
    """A version that is not valid.

    Attributes
    ----------
    key : VersionKey
        Which one.
    findings : list of Finding
        All that is wrong with it, the same in every daemon.
    """

    key: shards.VersionKey
    findings: Findings


class VersionStore:
    """Manifests, compressed shards, and the verdicts on whole versions.

    Shards that are the same in two versions are kept and parsed once.
    """

    def __init__(self) -> None:
        self.rejected_by_key: dict[shards.VersionKey, Rejection] = {}
        self._manifests_by_key: collections.OrderedDict[
            shards.VersionKey, shards.Manifest
        ] = collections.OrderedDict()
        self._blobs_by_digest: dict[str, bytes] = {}
        self._parts_by_digest: dict[str, catalogue.PartialCatalogue] = {}

    def manifest(self, key: shards.VersionKey) -> shards.Manifest | None:
        """Return a manifest of the latest few."""
        return self._manifests_by_key.get(key)

    def blob(self, digest: str) -> bytes | None:
        """Return a shard, compressed."""
        return self._blobs_by_digest.get(digest)

    def keep(self, manifest: shards.Manifest) -> None:
        """Remember a manifest, to tell peers differences from it."""
        self._manifests_by_key[manifest.key()] = manifest

    def missing(self, manifest: shards.Manifest) -> list[str]:
        """Return digests of shards that a version still lacks, sorted."""
        wanted = {*manifest.digests_by_shard.values()}
        return sorted(wanted - self._blobs_by_digest.keys())

    def add_shard(self, digest: str, data: bytes) -> bool:
        """Keep a shard if its content fits its digest."""
        if shards.digest_of(data) != digest:
            return False
        self._blobs_by_digest[digest] = zlib.compress(data)
        return True

    def add_blob(self, digest: str, blob: bytes) -> bool:
        """Keep a compressed shard if its content fits its digest."""
        data = decompress(blob)
        if data is None or shards.digest_of(data) != digest:
            return False
        self._blobs_by_digest[digest] = blob
        return True

    def assemble(
        self, manifest: shards.Manifest
    ) -> Result[catalogue.Catalogue, Findings]:
        """Return the catalogue of a version of which all shards are here.

        Returns
        -------
        Result
            The catalogue, or all that is wrong with it.
        """
        parts = [
            self._part(digest)
            for _, digest in sorted(manifest.digests_by_shard.items())
        ]
        self.keep(manifest)
        return catalogue.assemble(manifest.version, parts)

    def add_rejection(self, refused: Rejection) -> None:
        """Keep a refusal; those of the lowest versions go."""
        self.rejected_by_key[refused.key] = refused
        while len(self.rejected_by_key) > KEPT_REFUSED:
            del self.rejected_by_key[min(self.rejected_by_key)]

    def prune(self, kept: Iterable[shards.VersionKey]) -> None:
        """Forget shards that none of these versions has."""
        digests: set[str] = set()
        for key in kept:
            manifest = self._manifests_by_key.get(key)
            if manifest is not None:
                self._manifests_by_key.move_to_end(key)
                digests.update(manifest.digests_by_shard.values())
        for digest in [*self._blobs_by_digest]:
            if digest not in digests:
                del self._blobs_by_digest[digest]
                self._parts_by_digest.pop(digest, None)
        while len(self._manifests_by_key) > KEPT_MANIFESTS:
            self._manifests_by_key.popitem(last=False)

    def _part(self, digest: str) -> catalogue.PartialCatalogue:
        part = self._parts_by_digest.get(digest)
        if part is None:
            data = zlib.decompress(self._blobs_by_digest[digest])
            part = shards.parse_shard(data)
            self._parts_by_digest[digest] = part
        return part


def decompress(blob: bytes) -> bytes | None:
    """Return the content, or None if it is none or larger than a value."""
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(blob, platform_client.MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return data if reader.eof else None
