"""The catalogue as values of the platform: a manifest and its shards."""

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
from corianderspar import problems

MANIFEST_KEY = 'catalogue'
SHARD_BYTES = 8 * 1024
DIGEST_BYTES = 8


class VersionKey(NamedTuple):
    """What versions are ordered by.

    Two contents under one number are told apart by their digests, so that
    every daemon prefers the same one.

    Attributes
    ----------
    number : int
        The catalogue's version; 0 for none.
    digest : bytes
        First `DIGEST_BYTES` of the manifest's SHA-256.
    """

    number: int
    digest: bytes


NO_VERSION = VersionKey(0, b'')


class Manifest(NamedTuple):
    """Which shards make a version.

    Attributes
    ----------
    version : int
        The catalogue's version.
    digests_by_shard : dict of str to str
        SHA-256 of each shard's bytes, as hexadecimal digits.
    """

    version: int
    digests_by_shard: dict[str, str]

    def encoded(self) -> bytes:
        """Return the one form that is hashed and published."""
        return msgspec.json.encode(self._asdict(), order='sorted')

    def key(self) -> VersionKey:
        """Return what this version is ordered by."""
        digest = hashlib.sha256(self.encoded()).digest()
        return VersionKey(self.version, digest[:DIGEST_BYTES])


class _ManifestForm(msgspec.Struct, forbid_unknown_fields=True):
    version: int
    digests_by_shard: dict[str, str]


def shard_key(digest: str) -> str:
    """Return the platform's key of a shard; its content never changes.

    Examples
    --------
    >>> shard_key('ab')
    'catalogue/ab'
    """
    return f'{MANIFEST_KEY}/{digest}'


def digest_of(data: bytes) -> str:
    """Return the digest under which a shard is known."""
    return hashlib.sha256(data).hexdigest()


def split(whole: catalogue.Catalogue) -> dict[str, bytes]:
    """Return the values to publish, shards first and the manifest last.

    An item's shard depends on its name and on the size of its section
    only, so that a change of one item changes one shard.

    Parameters
    ----------
    whole : Catalogue
        What to publish.

    Returns
    -------
    dict of str to bytes
        Values by their keys, to be written in this order.
    """
    values: dict[str, bytes] = {}
    digests_by_shard = {}
    for section in catalogue.PartialCatalogue._fields[:-1]:
        items = catalogue.to_document(getattr(whole, section))
        for shard, content in _sharded(section, items).items():
            data = msgspec.json.encode({section: content}, order='sorted')
            digest = digest_of(data)
            digests_by_shard[shard] = digest
            values[shard_key(digest)] = data
    manifest = Manifest(whole.version, digests_by_shard)
    values[MANIFEST_KEY] = manifest.encoded()
    return values


def parse_manifest(data: bytes) -> Result[Manifest, list[problems.Finding]]:
    """Read a manifest.

    Parameters
    ----------
    data : bytes
        The value at `MANIFEST_KEY`.

    Returns
    -------
    Result
        The manifest, or what is wrong with it.
    """
    try:
        form = msgspec.json.decode(data, type=_ManifestForm)
    except msgspec.MsgspecError as error:
        finding = problems.Finding(MANIFEST_KEY, repr(data[:40]), str(error))
        return Error([finding])
    if form.version < 1:
        finding = problems.Finding(
            f'{MANIFEST_KEY}.version', str(form.version), 'at least 1'
        )
        return Error([finding])
    return Ok(Manifest(form.version, form.digests_by_shard))


def parse_shard(data: bytes) -> catalogue.PartialCatalogue:
    """Check one shard by itself.

    Parameters
    ----------
    data : bytes
        Its content.

    Returns
    -------
    Part
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
    """Return the catalogue in published values.

    Parameters
    ----------
    values : dict of str to bytes
        What `split` gives.

    Returns
    -------
    Result
        The catalogue, or all that is wrong with it.
    """
    read = parse_manifest(values.get(MANIFEST_KEY, b''))
    if read.is_error():
        return Error(read.error)
    manifest = read.ok
    wrong = []
    parts = []
    for shard, digest in sorted(manifest.digests_by_shard.items()):
        data = values.get(shard_key(digest))
        if data is None or digest_of(data) != digest:
            wrong.append(
                problems.Finding(shard, digest[:12], 'a shard of that digest')
            )
            continue
        parts.append(parse_shard(data))
    return catalogue.assemble(manifest.version, parts, wrong)


def _sharded(
    section: str, items: dict[str, Any]
) -> dict[str, dict[str, dict[str, Any]]]:
    size = len(msgspec.json.encode(items))
    count = 1
    while count * SHARD_BYTES < size:
        count *= 2
    contents_by_shard: dict[str, dict[str, Any]] = {}
    for name, item in items.items():
        number = xxhash.xxh3_64_intdigest(name.encode()) % count
        shard = f'{section}/{number}'
        contents_by_shard.setdefault(shard, {})[name] = item
    return contents_by_shard
