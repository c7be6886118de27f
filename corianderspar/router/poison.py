"""Requests that crash the upstreams that run them.

A request whose connection breaks without an answer may have crashed its
upstream, or only have run beside the one that did. It is remembered by
what it says, and refused after it was present at several crashes with no
good ending between. Daemons tell each other the counts.
"""

import collections
import hashlib

from corianderspar.router import model

QUARANTINE_CRASHES = 2  # the next one is refused
RETENTION_SECONDS = 60.0  # a caller that sends it again does so sooner
MAX_FINGERPRINTS = 512  # fingerprints; the oldest go first
MAX_HEARTBEAT_FINGERPRINTS = 32  # fingerprints in one heartbeat


def request_fingerprint(request: model.CallerRequest, account: str) -> str:
    """Return what two sendings of the same request have in common."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.target, account):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


class CrashCounts:
    """Counts of crashes by fingerprint, own and heard."""

    def __init__(self) -> None:
        self._own: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._heard: dict[str, dict[str, int]] = {}

    def record_crash(self, mark: str, now: float) -> int:
        """Count an unexplained end; return the count here."""
        count, _at = self._own.pop(mark, (0, 0.0))
        self._own[mark] = (count + 1, now)
        if len(self._own) > MAX_FINGERPRINTS:
            self._own.popitem(last=False)
        return count + 1

    def record_success(self, mark: str) -> None:
        """Forget a request that an upstream survived."""
        self._own.pop(mark, None)

    def count(self, mark: str, now: float) -> int:
        """Return how often it was present at a crash, over the fleet."""
        count, at = self._own.get(mark, (0, 0.0))
        own = count if now - at < RETENTION_SECONDS else 0
        heard = sum(counts.get(mark, 0) for counts in self._heard.values())
        return own + heard

    def local_counts(self, now: float) -> dict[str, int]:
        """Return the newest counts for peers."""
        newest = list(self._own.items())[-MAX_HEARTBEAT_FINGERPRINTS:]
        return {
            mark: count
            for mark, (count, at) in newest
            if now - at < RETENTION_SECONDS
        }

    def set_peer_counts(self, peer: str, counts: dict[str, int]) -> None:
        """Take a peer's newest counts."""
        self._heard[peer] = counts

    def forget_peer(self, peer: str) -> None:
        """Drop the counts of an incarnation that ended."""
        self._heard.pop(peer, None)
