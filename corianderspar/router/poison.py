"""Counts of upstream crashes by request, to find poison requests.

A request whose connection breaks without an answer may have crashed its
upstream, or may only have been running there beside the request that did.
Requests are told apart by a fingerprint of their content. A request that
was running at several crashes, with no successful run in between, is
refused. Daemons exchange their counts with heartbeats.
"""

import collections
import hashlib

from corianderspar.router import model

QUARANTINE_CRASHES = 2  # a request with this many is refused
RETENTION_SECONDS = 60.0  # callers resend a failed request sooner
MAX_FINGERPRINTS = 512  # the oldest are evicted
MAX_HEARTBEAT_FINGERPRINTS = 32  # the newest are sent


def request_fingerprint(request: model.CallerRequest, account: str) -> str:
    """Return a digest that is equal for each send of the same request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.target, account):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


class CrashCounts:
    """Crashes by fingerprint, seen by this daemon and by its peers."""

    def __init__(self) -> None:
        # Number of crashes, and monotonic seconds of the last one.
        self._local_by_fingerprint: collections.OrderedDict[
            str, tuple[int, float]
        ] = collections.OrderedDict()
        self._counts_by_incarnation: dict[str, dict[str, int]] = {}

    def record_crash(self, fingerprint: str, now: float) -> int:
        """Count a crash; return the count of this daemon."""
        count, _at = self._local_by_fingerprint.pop(fingerprint, (0, 0.0))
        self._local_by_fingerprint[fingerprint] = (count + 1, now)
        if len(self._local_by_fingerprint) > MAX_FINGERPRINTS:
            self._local_by_fingerprint.popitem(last=False)
        return count + 1

    def record_success(self, fingerprint: str) -> None:
        """Reset this daemon's count: an upstream survived the request."""
        self._local_by_fingerprint.pop(fingerprint, None)

    def count(self, fingerprint: str, now: float) -> int:
        """Return the crashes of a request over the whole fleet."""
        count, at = self._local_by_fingerprint.get(fingerprint, (0, 0.0))
        local = count if now - at < RETENTION_SECONDS else 0
        remote = sum(
            counts.get(fingerprint, 0)
            for counts in self._counts_by_incarnation.values()
        )
        return local + remote

    def local_counts(self, now: float) -> dict[str, int]:
        """Return this daemon's newest counts, for a heartbeat."""
        newest = list(self._local_by_fingerprint.items())[
            -MAX_HEARTBEAT_FINGERPRINTS:
        ]
        return {
            fingerprint: count
            for fingerprint, (count, at) in newest
            if now - at < RETENTION_SECONDS
        }

    def set_peer_counts(
        self, incarnation: str, counts: dict[str, int]
    ) -> None:
        """Replace a peer's counts with those of its newest heartbeat."""
        self._counts_by_incarnation[incarnation] = counts

    def forget_peer(self, incarnation: str) -> None:
        """Drop the counts of an incarnation that ended."""
        self._counts_by_incarnation.pop(incarnation, None)
