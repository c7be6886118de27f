"""Digests of client keys: all that a daemon keeps of them."""

import hashlib

DIGEST_PREFIX = 'sha256:'


def digest_of(key: str) -> str:
    """Return a key's digest as the catalogue holds it."""
    octets = key.encode('utf-8', 'surrogateescape')
    return DIGEST_PREFIX + hashlib.sha256(octets).hexdigest()
