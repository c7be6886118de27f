"""Encoding of the catalogue as values of the configuration service.

A version of the catalogue consists of a manifest and of the shards that it
lists by digest.
"""

import hashlib
import json
from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import xxhash

from corianderspar import catalogue
from corianderspar import decoding
from corianderspar import problems

MANIFEST_KEY = 'catalogue'
TARGET_SHARD_BYTES = 8 * 1024  # limit of the mean size within a section
KEY_DIGEST_BYTES = 8


class VersionKey(NamedTuple):
    """Sort key of a version of the catalogue.

    Two manifests with the same version number are ordered by their digests,
    so that all daemons prefer the same one.

    Attributes
    ----------
    number : int
        The catalogue's version; 0 for none.
    digest : bytes
        First `KEY_DIGEST_BYTES` of the manifest's SHA-256.
    """

    number: int
    digest: bytes


NO_VERSION = VersionKey(0, b'')


class Manifest(NamedTuple):
    """The shards of which a version consists.

    Attributes
    ----------
    version : int
        The catalogue's version.
    digests_by_shard : dict of str to str
        SHA-256 of each shard's bytes, as hexadecimal digits.
    """

    version: int
    digests_by_shard: dict[str, str]

    def encode(self) -> bytes:
        """Return the canonical JSON, which is hashed and published."""
        return msgspec.json.encode(self._asdict(), order='sorted')

    def key(self) -> VersionKey:
        """Return the sort key of this version."""
        digest = hashlib.sha256(self.encode()).digest()
        return VersionKey(self.version, digest[:KEY_DIGEST_BYTES])


class _ManifestDocument(msgspec.Struct, forbid_unknown_fields=True):
    version: int
    digests_by_shard: dict[str, str]


def shard_key(digest: str) -> str:
    """Return the key under which the platform stores a shard.

    The value at this key never changes, as the digest is that of the value.

    Examples
    --------
    >>> shard_key('ab')
    'catalogue/ab'
    """
    return f'{MANIFEST_KEY}/{digest}'


def digest_of(data: bytes) -> str:
    """Return the SHA-256 of a shard's bytes, as hexadecimal digits."""
    return hashlib.sha256(data).hexdigest()


def split(whole: catalogue.Catalogue) -> dict[str, bytes]:
    """Return the values to publish, shards first and the manifest last.

    The shard of an item depends only on the item's name and on the size of
    its section, so a change of one item usually changes one shard.

    Parameters
    ----------
    whole : Catalogue
        The catalogue to publish.

    Returns
    -------
    dict of str to bytes
        Values by key, to be written in this order.
    """
    values: dict[str, bytes] = {}
    digests_by_shard = {}
    for section in catalogue.PartialCatalogue._fields[:-1]:
        items = catalogue.to_document(getattr(whole, section))
        for shard, content in _split_section(section, items).items():
            data = msgspec.json.encode({section: content}, order='sorted')
            digest = digest_of(data)
            digests_by_shard[shard] = digest
            values[shard_key(digest)] = data
    manifest = Manifest(whole.version, digests_by_shard)
    values[MANIFEST_KEY] = manifest.encode()
    return values


def parse_manifest(data: bytes) -> Result[Manifest, list[problems.Finding]]:
    """Parse and check a manifest.

    Parameters
    ----------
    data : bytes
        The value at `MANIFEST_KEY`.

    Returns
    -------
    Result
        The manifest, or findings if it is invalid.
    """
    try:
        document = msgspec.json.decode(data, type=_ManifestDocument)
    except decoding.ERRORS as error:
        finding = problems.Finding(MANIFEST_KEY, repr(data[:40]), str(error))
        return Error([finding])
    if document.version < 1:
        finding = problems.Finding(
            f'{MANIFEST_KEY}.version', str(document.version), 'at least 1'
        )
        return Error([finding])
    return Ok(Manifest(document.version, document.digests_by_shard))


def parse_shard(data: bytes) -> catalogue.PartialCatalogue:
    """Parse one shard and check it on its own.

    Parameters
    ----------
    data : bytes
        The shard's bytes.

    Returns
    -------
    PartialCatalogue
        Its valid items, and findings on the others.
    """
    try:
        content: Any = json.loads(data)
    except ValueError as error:
        finding = problems.Finding(
            digest_of(data)[:12], repr(data[:40]), f'JSON: {error}'
        )
        return catalogue.PartialCatalogue({}, {}, {}, [finding])
    return catalogue.parse_partial(content)


def join(
    values: dict[str, bytes],
) -> Result[catalogue.Catalogue, list[problems.Finding]]:
    """Assemble the catalogue from published values; the inverse of `split`.

    Parameters
    ----------
    values : dict of str to bytes
        Values by key, as `split` returns them.

    Returns
    -------
    Result
        The catalogue, or all findings if it is invalid.
    """
    parsed = parse_manifest(values.get(MANIFEST_KEY, b''))
    if parsed.is_error():
        return Error(parsed.error)
    manifest = parsed.ok
    findings = []
    parts = []
    for shard, digest in sorted(manifest.digests_by_shard.items()):
        data = values.get(shard_key(digest))
        if data is None or digest_of(data) != digest:
            findings.append(
                problems.Finding(shard, digest[:12], 'a shard of that digest')
            )
            continue
        parts.append(parse_shard(data))
    return catalogue.assemble(manifest.version, parts, findings)


def _split_section(
    section: str, items: dict[str, Any]
) -> dict[str, dict[str, dict[str, Any]]]:
    """Return the items of a section by shard.

    The number of shards is a power of two, so that it rarely changes as the
    section grows.
    """
    size = len(msgspec.json.encode(items))
    count = 1
    while count * TARGET_SHARD_BYTES < size:
        count *= 2
    contents_by_shard: dict[str, dict[str, Any]] = {}
    for name, item in items.items():
        index = xxhash.xxh3_64_intdigest(name.encode()) % count
        shard = f'{section}/{index}'
        contents_by_shard.setdefault(shard, {})[name] = item
    return contents_by_shard
