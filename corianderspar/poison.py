"""Requests that may have crashed engines: narrowed, then quarantined."""

from collections.abc import Iterable
import hashlib
from typing import Literal
from typing import NamedTuple

import msgspec

from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import peers as peer_messages

SUSPECT_SECONDS = 120.0
QUARANTINE_SECONDS = 900.0
QUARANTINE_CRASHES = 2
MAX_RECORDS = 1024
MAX_CRASHES = 4
DIGEST_BYTES = 12

Level = Literal['clear', 'suspect', 'quarantined']


class FingerprintRecord(NamedTuple):
    """What daemons tell each other of one fingerprint.

    Attributes
    ----------
    fingerprint : str
        Digest of model and prompt.
    acquittals : int
        How often it was cleared; a higher one wins.
    crashes : tuple of str
        Ids of the crashes that it is held for, sorted.
    remaining : float
        Seconds until it is forgotten.
    quarantined : bool
        Whether it may not run.
    """

    fingerprint: str
    acquittals: int
    crashes: tuple[str, ...]
    remaining: float
    quarantined: bool


class FingerprintRecords(NamedTuple):
    """News of several fingerprints."""

    items: tuple[FingerprintRecord, ...]


class _Record(NamedTuple):
    acquittals: int
    crashes: tuple[str, ...]
    expires: float
    quarantined: bool


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FingerprintRecords)


def request_fingerprint(model: str, prompt: str) -> str:
    """Return the digest that stands for a request; holds no text.

    Examples
    --------
    >>> request_fingerprint('blurb', 'a') == request_fingerprint('blurb', 'b')
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(model.encode())
    digest.update(b'\0')
    digest.update(prompt.encode())
    return digest.hexdigest()


class Quarantine:
    """What this daemon knows of requests that crash engines.

    After a crash, those that were in flight on the engine are suspects.
    If some of them were suspects before, only these are: the
    intersection. One that is left alone by its second crash is
    quarantined, and those held for the same crashes are cleared. A
    suspect that finishes is cleared.

    Records are merged so that the order of news does not matter: the
    higher number of acquittals wins, crashes of the same number are
    joined.

    Parameters
    ----------
    app : Application
        Gives time and the incarnation.
    peers, membership : Peers, Membership
        Carry the news: at once, and with each heartbeat.
    """

    def __init__(
        self,
        app: kernel.Application,
        peers: peer_messages.Peers,
        membership: memberships.Membership,
    ) -> None:
        self._app = app
        self._peers = peers
        self._membership = membership
        self._crashes = 0
        self._records_by_fingerprint: dict[str, _Record] = {}
        peers.handle('suspicions', FingerprintRecords, self._hear)
        membership.add_section('suspects', self._provide, self._accept)

    def level(self, digest: str) -> Level:
        """Return what a request with this fingerprint is."""
        record = self._record(digest)
        if record is None or not record.crashes:
            return 'clear'
        return 'quarantined' if record.quarantined else 'suspect'

    def remaining(self, digest: str) -> float:
        """Return seconds until the fingerprint is forgotten."""
        record = self._record(digest)
        if record is None:
            return 0.0
        return record.expires - self._app.clock.monotonic()

    def record_crash(self, upstream: str, in_flight: Iterable[str]) -> None:
        """Record a crash and tell the fleet.

        Parameters
        ----------
        upstream : str
            The engine that crashed.
        in_flight : iterable of str
            Fingerprints of the requests it was running.
        """
        self._crashes += 1
        crash = f'{upstream}@{self._app.incarnation}#{self._crashes}'
        everyone = sorted(set(in_flight))
        held = [one for one in everyone if self.level(one) != 'clear']
        blamed = held or everyone
        before = dict(self._records_by_fingerprint)
        for digest in blamed:
            self._blame(digest, crash, alone=len(held) == 1)
        if len(held) == 1:
            self._clear_companions(held[0])
        self._app.events.add(
            'engine.crashed', upstream=upstream, suspects=len(blamed)
        )
        self._tell(self._changed_since(before), elsewhere=True)

    def record_success(self, digest: str) -> None:
        """Clear a suspect: it ran to its end."""
        if self.level(digest) == 'suspect':
            before = dict(self._records_by_fingerprint)
            self._acquit(digest)
            self._tell(self._changed_since(before), elsewhere=True)

    def _blame(self, digest: str, crash: str, alone: bool) -> None:
        known = self._record(digest) or _Record(0, (), 0.0, False)
        crashes = tuple(sorted({*known.crashes, crash})[:MAX_CRASHES])
        quarantined = known.quarantined or (
            alone and len(crashes) >= QUARANTINE_CRASHES
        )
        quarantined = quarantined or len(crashes) > QUARANTINE_CRASHES
        self._keep(digest, known.acquittals, crashes, quarantined)
        if quarantined and not known.quarantined:
            self._app.events.add('request.quarantined', fingerprint=digest)

    def _clear_companions(self, guilty: str) -> None:
        crashes = set(self._records_by_fingerprint[guilty].crashes)
        for digest, record in list(self._records_by_fingerprint.items()):
            if digest == guilty or record.quarantined:
                continue
            if record.crashes and crashes.issuperset(record.crashes):
                self._acquit(digest)

    def _acquit(self, digest: str) -> None:
        known = self._records_by_fingerprint[digest]
        self._keep(digest, known.acquittals + 1, (), False)

    def _keep(
        self,
        digest: str,
        acquittals: int,
        crashes: tuple[str, ...],
        quarantined: bool,
    ) -> None:
        seconds = QUARANTINE_SECONDS if quarantined else SUSPECT_SECONDS
        self._records_by_fingerprint.pop(digest, None)
        self._records_by_fingerprint[digest] = _Record(
            acquittals,
            crashes,
            self._app.clock.monotonic() + seconds,
            quarantined,
        )
        while len(self._records_by_fingerprint) > MAX_RECORDS:
            oldest = next(iter(self._records_by_fingerprint))
            del self._records_by_fingerprint[oldest]

    def _record(self, digest: str) -> _Record | None:
        record = self._records_by_fingerprint.get(digest)
        if record is None:
            return None
        if record.expires <= self._app.clock.monotonic():
            del self._records_by_fingerprint[digest]
            return None
        return record

    def _changed_since(self, before: dict[str, _Record]) -> list[str]:
        return [
            digest
            for digest, record in self._records_by_fingerprint.items()
            if before.get(digest) != record
        ]

    def _suspicions(self, digests: Iterable[str]) -> FingerprintRecords:
        now = self._app.clock.monotonic()
        items = []
        for digest in digests:
            record = self._record(digest)
            if record is not None:
                items.append(
                    FingerprintRecord(
                        digest,
                        record.acquittals,
                        record.crashes,
                        record.expires - now,
                        record.quarantined,
                    )
                )
        return FingerprintRecords(tuple(items))

    def _tell(self, digests: list[str], elsewhere: bool) -> None:
        if not digests:
            return
        news = self._suspicions(digests)
        own = self._app.identity
        members = self._membership.members().values()
        audience = [
            member.vm
            for member in members
            if member.data_centre == own.data_centre
        ]
        if elsewhere:
            audience += self._relays_elsewhere()
        for vm in audience:
            self._peers.tell(vm, news)

    def _relays_elsewhere(self) -> list[str]:
        own = self._app.identity.data_centre
        members = self._membership.members().values()
        places = {member.data_centre for member in members} - {own}
        return [
            vm
            for place in sorted(places)
            for vm in self._membership.relays(place)
        ]

    async def _hear(
        self, sender: peer_messages.Sender, news: FingerprintRecords
    ) -> None:
        changed = self._merge(news)
        member = self._membership.members().get(sender.vm)
        own = self._app.identity.data_centre
        if member is not None and member.data_centre != own:
            self._tell(changed, elsewhere=False)

    def _provide(self, vm: str) -> bytes | None:
        if not self._records_by_fingerprint:
            return None
        digests = list(self._records_by_fingerprint)
        return _ENCODER.encode(self._suspicions(digests))

    def _accept(self, sender: peer_messages.Sender, content: bytes) -> None:
        self._merge(_DECODER.decode(content))

    def _merge(self, news: FingerprintRecords) -> list[str]:
        now = self._app.clock.monotonic()
        changed = []
        for item in news.items:
            known = self._record(item.fingerprint)
            found = _merged(known, item, now)
            if found != known:
                self._records_by_fingerprint[item.fingerprint] = found
                changed.append(item.fingerprint)
        return changed


def _merged(
    known: _Record | None, item: FingerprintRecord, now: float
) -> _Record:
    heard = _Record(
        item.acquittals, item.crashes, now + item.remaining, item.quarantined
    )
    if known is None or heard.acquittals > known.acquittals:
        return heard
    if heard.acquittals < known.acquittals:
        return known
    nothing_new = set(heard.crashes) <= set(known.crashes)
    if nothing_new and known.quarantined >= heard.quarantined:
        return known
    crashes = tuple(sorted({*known.crashes, *heard.crashes}))
    return _Record(
        known.acquittals,
        crashes[:MAX_CRASHES],
        max(known.expires, heard.expires),
        known.quarantined
        or heard.quarantined
        or len(crashes) > QUARANTINE_CRASHES,
    )
