"""Recognition of requests that come again.

A request that crashes each upstream that runs it is sent again by its caller,
to any daemon. Its sends are told from those of other requests by a fingerprint
of their content.
"""

import hashlib

from corianderspar.router import model

# No part of a prompt has a slash in its name.
SUSPECT_PREFIX = 'request/'


def request_fingerprint(request: model.CallerRequest, account: str) -> str:
    """Return a digest that is equal for each send of the same request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.target, account):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def is_whole_request(suspect: str) -> bool:
    """Return whether a suspect is a request, not a part of a prompt."""
    return suspect.startswith(SUSPECT_PREFIX)
