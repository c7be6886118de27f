"""Digests of client keys; a daemon keeps no keys, only their digests."""

import hashlib

DIGEST_PREFIX = 'sha256:'


def digest_of(key: str) -> str:
    """Return a key's digest in the form that the catalogue holds."""
    octets = key.encode('utf-8', 'surrogateescape')
    return DIGEST_PREFIX + hashlib.sha256(octets).hexdigest()
