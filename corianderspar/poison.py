"""Quarantine of poison requests, which crash the engines that run them."""

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
MAX_CRASH_IDS = 4
FINGERPRINT_BYTES = 12

Level = Literal['clear', 'suspect', 'quarantined']


class FingerprintRecord(NamedTuple):
    """The state of one fingerprint, as daemons send it to each other.

    Attributes
    ----------
    fingerprint : str
        As `request_fingerprint` returns it.
    clearances : int
        How often the request was cleared. On a merge, the record with the
        higher number wins.
    crash_ids : tuple of str
        Ids of the crashes that the request may have caused, sorted.
    remaining : float
        Seconds until the record expires.
    quarantined : bool
        Whether the request is refused.
    """

    fingerprint: str
    clearances: int
    crash_ids: tuple[str, ...]
    remaining: float
    quarantined: bool


class FingerprintRecords(NamedTuple):
    """The states of several fingerprints."""

    items: tuple[FingerprintRecord, ...]


class _Record(NamedTuple):
    clearances: int
    crash_ids: tuple[str, ...]
    expires_at: float
    quarantined: bool


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FingerprintRecords)


def request_fingerprint(model: str, prompt: str) -> str:
    """Return a digest of model and prompt, to be shared without the text.

    Examples
    --------
    >>> request_fingerprint('blurb', 'a') == request_fingerprint('blurb', 'b')
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(model.encode())
    digest.update(b'\0')
    digest.update(prompt.encode())
    return digest.hexdigest()


class Quarantine:
    """Finds the requests that crash engines, and says which to refuse.

    After a crash, the requests that were in flight on the engine become
    suspects. If some of them were suspects already, the crash is attributed
    to these alone, which narrows the suspects to the requests that were in
    flight at each crash. If only one remains, it is quarantined from its
    second crash on (`QUARANTINE_CRASHES`), and each suspect whose crashes
    are all attributed to it too is cleared. A request with more than
    `QUARANTINE_CRASHES` crashes is quarantined in any case. A suspect that
    runs to its end is cleared.

    Daemons exchange their records. Which crashes a merged record holds does
    not depend on the order of messages: a record with more clearances
    replaces one with fewer, and records with as many are united.

    Parameters
    ----------
    app : Application
        Gives time and the incarnation.
    peers : Peers
        Sends changed records at once.
    membership : Membership
        Sends all records with each heartbeat.
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
        self._crash_count = 0
        self._records_by_fingerprint: dict[str, _Record] = {}
        peers.handle('suspicions', FingerprintRecords, self._on_records)
        membership.add_section(
            'suspects', self._provide_records, self._accept_records
        )

    def level(self, fingerprint: str) -> Level:
        """Return whether a request is clear, suspect or quarantined."""
        record = self._valid_record(fingerprint)
        if record is None or not record.crash_ids:
            return 'clear'
        return 'quarantined' if record.quarantined else 'suspect'

    def remaining(self, fingerprint: str) -> float:
        """Return the seconds until the fingerprint's record expires."""
        record = self._valid_record(fingerprint)
        if record is None:
            return 0.0
        return record.expires_at - self._app.clock.monotonic()

    def record_crash(self, upstream: str, in_flight: Iterable[str]) -> None:
        """Record a crash and send the changed records to all daemons.

        Parameters
        ----------
        upstream : str
            The engine that crashed.
        in_flight : iterable of str
            Fingerprints of the requests that it was running.
        """
        self._crash_count += 1
        crash_id = f'{upstream}@{self._app.incarnation}#{self._crash_count}'
        candidates = sorted(set(in_flight))
        known_suspects = [
            candidate
            for candidate in candidates
            if self.level(candidate) != 'clear'
        ]
        attributed = known_suspects or candidates
        before = dict(self._records_by_fingerprint)
        for fingerprint in attributed:
            self._add_crash(
                fingerprint, crash_id, is_only_suspect=len(known_suspects) == 1
            )
        if len(known_suspects) == 1:
            self._clear_others(known_suspects[0])
        self._app.events.add(
            'engine.crashed', upstream=upstream, suspects=len(attributed)
        )
        self._send(self._changed_since(before), to_other_data_centres=True)

    def record_success(self, fingerprint: str) -> None:
        """Clear a suspect, as it ran to its end."""
        if self.level(fingerprint) == 'suspect':
            before = dict(self._records_by_fingerprint)
            self._clear(fingerprint)
            self._send(self._changed_since(before), to_other_data_centres=True)

    def _add_crash(
        self, fingerprint: str, crash_id: str, is_only_suspect: bool
    ) -> None:
        known = self._valid_record(fingerprint) or _Record(0, (), 0.0, False)
        crash_ids = tuple(sorted({*known.crash_ids, crash_id})[:MAX_CRASH_IDS])
        quarantined = known.quarantined or (
            is_only_suspect and len(crash_ids) >= QUARANTINE_CRASHES
        )
        quarantined = quarantined or len(crash_ids) > QUARANTINE_CRASHES
        self._store(fingerprint, known.clearances, crash_ids, quarantined)
        if quarantined and not known.quarantined:
            self._app.events.add(
                'request.quarantined', fingerprint=fingerprint
            )

    def _clear_others(self, only_suspect: str) -> None:
        crash_ids = set(self._records_by_fingerprint[only_suspect].crash_ids)
        for fingerprint, record in list(self._records_by_fingerprint.items()):
            if fingerprint == only_suspect or record.quarantined:
                continue
            if record.crash_ids and crash_ids.issuperset(record.crash_ids):
                self._clear(fingerprint)

    def _clear(self, fingerprint: str) -> None:
        known = self._records_by_fingerprint[fingerprint]
        self._store(fingerprint, known.clearances + 1, (), False)

    def _store(
        self,
        fingerprint: str,
        clearances: int,
        crash_ids: tuple[str, ...],
        quarantined: bool,
    ) -> None:
        seconds = QUARANTINE_SECONDS if quarantined else SUSPECT_SECONDS
        self._records_by_fingerprint.pop(fingerprint, None)
        self._records_by_fingerprint[fingerprint] = _Record(
            clearances,
            crash_ids,
            self._app.clock.monotonic() + seconds,
            quarantined,
        )
        while len(self._records_by_fingerprint) > MAX_RECORDS:
            oldest = next(iter(self._records_by_fingerprint))
            del self._records_by_fingerprint[oldest]

    def _valid_record(self, fingerprint: str) -> _Record | None:
        record = self._records_by_fingerprint.get(fingerprint)
        if record is None:
            return None
        if record.expires_at <= self._app.clock.monotonic():
            del self._records_by_fingerprint[fingerprint]
            return None
        return record

    def _changed_since(self, before: dict[str, _Record]) -> list[str]:
        return [
            fingerprint
            for fingerprint, record in self._records_by_fingerprint.items()
            if before.get(fingerprint) != record
        ]

    def _message(self, fingerprints: Iterable[str]) -> FingerprintRecords:
        now = self._app.clock.monotonic()
        items = []
        for fingerprint in fingerprints:
            record = self._valid_record(fingerprint)
            if record is not None:
                items.append(
                    FingerprintRecord(
                        fingerprint,
                        record.clearances,
                        record.crash_ids,
                        record.expires_at - now,
                        record.quarantined,
                    )
                )
        return FingerprintRecords(tuple(items))

    def _send(
        self, fingerprints: list[str], to_other_data_centres: bool
    ) -> None:
        if not fingerprints:
            return
        message = self._message(fingerprints)
        own = self._app.identity
        members = self._membership.members().values()
        receivers = [
            member.vm
            for member in members
            if member.data_centre == own.data_centre
        ]
        if to_other_data_centres:
            receivers += self._relays_of_other_data_centres()
        for vm in receivers:
            self._peers.tell(vm, message)

    def _relays_of_other_data_centres(self) -> list[str]:
        own = self._app.identity.data_centre
        members = self._membership.members().values()
        data_centres = {member.data_centre for member in members} - {own}
        return [
            vm
            for data_centre in sorted(data_centres)
            for vm in self._membership.relays(data_centre)
        ]

    async def _on_records(
        self, sender: peer_messages.Sender, message: FingerprintRecords
    ) -> None:
        changed = self._merge(message)
        member = self._membership.members().get(sender.vm)
        own = self._app.identity.data_centre
        if member is not None and member.data_centre != own:
            self._send(changed, to_other_data_centres=False)

    def _provide_records(self, vm: str) -> bytes | None:
        if not self._records_by_fingerprint:
            return None
        fingerprints = list(self._records_by_fingerprint)
        return _ENCODER.encode(self._message(fingerprints))

    def _accept_records(
        self, sender: peer_messages.Sender, content: bytes
    ) -> None:
        self._merge(_DECODER.decode(content))

    def _merge(self, message: FingerprintRecords) -> list[str]:
        now = self._app.clock.monotonic()
        changed = []
        for item in message.items:
            known = self._valid_record(item.fingerprint)
            merged = _merged(known, item, now)
            if merged != known:
                self._records_by_fingerprint[item.fingerprint] = merged
                changed.append(item.fingerprint)
        return changed


def _merged(
    known: _Record | None, item: FingerprintRecord, now: float
) -> _Record:
    received = _Record(
        item.clearances, item.crash_ids, now + item.remaining, item.quarantined
    )
    if known is None or received.clearances > known.clearances:
        return received
    if received.clearances < known.clearances:
        return known
    is_subset = set(received.crash_ids) <= set(known.crash_ids)
    if is_subset and known.quarantined >= received.quarantined:
        return known
    crash_ids = tuple(sorted({*known.crash_ids, *received.crash_ids}))
    return _Record(
        known.clearances,
        crash_ids[:MAX_CRASH_IDS],
        max(known.expires_at, received.expires_at),
        known.quarantined
        or received.quarantined
        or len(crash_ids) > QUARANTINE_CRASHES,
    )
