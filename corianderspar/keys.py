"""Client keys: creation, authentication and revocation."""

import collections
from collections.abc import Callable
import hmac
import secrets
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import catalogue
from corianderspar import configuration
from corianderspar import decoding
from corianderspar import digests
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import problems

KEY_PREFIX = 'csk_'
KEY_BYTES = 32
DIGEST_BYTES = 32
INDEX_HEX_DIGITS = 8
MAX_REVOCATIONS = 4096
REVOCATIONS_PER_HEARTBEAT = 32

OnRevoked = Callable[[str, str], None]


class NewKey(NamedTuple):
    """A key for a caller, and the digest for the catalogue."""

    key: str
    digest: str


def new_key() -> NewKey:
    """Create a random key; only its digest may be stored.

    Examples
    --------
    >>> made = new_key()
    >>> made.digest == digests.digest_of(made.key)
    True
    """
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return NewKey(key, digests.digest_of(key))


class Revocation(NamedTuple):
    """A digest that was removed from the catalogue.

    Attributes
    ----------
    version : int
        The first catalogue version without the digest.
    digest : bytes
        The raw digest, `DIGEST_BYTES` long.
    """

    version: int
    digest: bytes


class KeysSection(NamedTuple):
    """The section ``keys`` of a heartbeat.

    Attributes
    ----------
    version : int
        The catalogue version in force at the sender.
    revocations : list of Revocation
        Some of the revocations that are newer than the version that the
        receiver last reported.
    """

    version: int
    revocations: list[Revocation]


class Authenticator:
    """The service ``keys``: finds the account that a key belongs to.

    A digest is valid while the catalogue in force holds it for exactly one
    account, and no peer has reported a newer version without it.

    Attributes
    ----------
    on_revoked : list of callable
        Called with the account and the digest of each revoked key, so that
        its running requests can be cancelled.
    counts : Counter
        Unknown keys, revoked keys and malformed messages.
    """

    name = 'keys'
    requires = ('membership', 'configuration')

    def __init__(self) -> None:
        self.on_revoked: list[OnRevoked] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._version = 0
        self._accounts_by_digest: dict[str, str] = {}
        self._digests_by_index: dict[str, list[str]] = {}
        self._revoked_version_by_digest: dict[str, int] = {}
        self._version_by_vm: dict[str, int] = {}
        self._offset_by_vm: dict[str, int] = {}

    async def start(self, app: kernel.Application) -> None:
        """Follow the catalogue and the revocations that peers report."""
        self._app = app
        config = app.find('configuration', configuration.Configuration)
        config.on_catalogue.append(self._adopt)
        if config.catalogue is not None:
            self._adopt(config.catalogue, None)
        service = app.find('membership', membership.Membership)
        service.add_section(
            'keys', self._provide_section, self._accept_section
        )

    async def stop(self) -> None:
        """Do nothing: peers have the revocations too."""

    def authenticate(self, key: str | None) -> Result[str, problems.Problem]:
        """Return the account that a key belongs to.

        The time that it takes depends only on the first digits of the key's
        digest, which reveal nothing about any valid key.

        Parameters
        ----------
        key : str or None
            The key as the caller sent it; None for no key.

        Returns
        -------
        Result
            The name of the account, or the problem ``key_missing`` or
            ``key_unknown``.
        """
        if key is None:
            return Error(_problem('key_missing', 'no key came with it'))
        account = self.account_of(digests.digest_of(key))
        if account is None:
            self.counts['unknown'] += 1
            return Error(_problem('key_unknown', 'the key is not valid'))
        return Ok(account)

    def account_of(self, digest: str) -> str | None:
        """Return the account of a digest; None if it is not valid now."""
        found = None
        for known in self._digests_by_index.get(_index(digest), ()):
            if hmac.compare_digest(known, digest):
                found = known
        if found is None or found in self._revoked_version_by_digest:
            return None
        return self._accounts_by_digest[found]

    def _adopt(
        self,
        adopted: catalogue.Catalogue,
        _before: catalogue.Catalogue | None,
    ) -> None:
        before_by_digest = self._valid_accounts()
        self._version = adopted.version
        self._accounts_by_digest = accounts_by_digest(adopted)
        self._digests_by_index = {}
        for digest in self._accounts_by_digest:
            same_index = self._digests_by_index.setdefault(_index(digest), [])
            same_index.append(digest)
        for digest, version in list(self._revoked_version_by_digest.items()):
            is_listed = digest in self._accounts_by_digest
            if is_listed and version <= adopted.version:
                del self._revoked_version_by_digest[digest]
        for digest in before_by_digest:
            if digest not in self._accounts_by_digest:
                self._record_revocation(digest, adopted.version)
        self._notify_revoked(before_by_digest)

    def _valid_accounts(self) -> dict[str, str]:
        return {
            digest: account
            for digest, account in self._accounts_by_digest.items()
            if digest not in self._revoked_version_by_digest
        }

    def _notify_revoked(self, before_by_digest: dict[str, str]) -> None:
        after_by_digest = self._valid_accounts()
        for digest, account in before_by_digest.items():
            if after_by_digest.get(digest) == account:
                continue
            self.counts['withdrawn'] += 1
            self._app.events.add('key.withdrawn', account=account)
            for hook in self.on_revoked:
                hook(account, digest)

    def _record_revocation(self, digest: str, version: int) -> None:
        known = self._revoked_version_by_digest.get(digest, 0)
        self._revoked_version_by_digest[digest] = max(known, version)
        if len(self._revoked_version_by_digest) <= MAX_REVOCATIONS:
            return
        # A digest that is not in the catalogue in force is invalid without an
        # entry here. Dropping one that is in it would make it valid again.
        candidate = min(
            self._revoked_version_by_digest,
            key=lambda known_digest: (
                known_digest in self._accounts_by_digest,
                self._revoked_version_by_digest[known_digest],
            ),
        )
        if candidate not in self._accounts_by_digest:
            del self._revoked_version_by_digest[candidate]

    def _provide_section(self, vm: str) -> bytes:
        known_version = self._version_by_vm.get(vm, 0)
        newer = sorted(
            Revocation(
                version, bytes.fromhex(digest[len(digests.DIGEST_PREFIX) :])
            )
            for digest, version in self._revoked_version_by_digest.items()
            if version > known_version
        )
        # A heartbeat carries a limited number of them, so successive ones go
        # through the list.
        offset = self._offset_by_vm.get(vm, 0)
        if offset >= len(newer):
            offset = 0
        end = offset + REVOCATIONS_PER_HEARTBEAT
        self._offset_by_vm[vm] = end
        return msgspec.msgpack.encode(
            KeysSection(self._version, newer[offset:end])
        )

    def _accept_section(self, sender: peers.Sender, content: bytes) -> None:
        try:
            section = msgspec.msgpack.decode(content, type=KeysSection)
        except decoding.ERRORS:
            self.counts['malformed'] += 1
            return
        self._version_by_vm[sender.vm] = section.version
        before_by_digest = None
        for revocation in section.revocations[:REVOCATIONS_PER_HEARTBEAT]:
            if len(revocation.digest) != DIGEST_BYTES:
                self.counts['malformed'] += 1
                continue
            digest = digests.DIGEST_PREFIX + revocation.digest.hex()
            if revocation.version <= self._version:
                continue
            if digest not in self._revoked_version_by_digest:
                before_by_digest = before_by_digest or self._valid_accounts()
            self._record_revocation(digest, revocation.version)
        if before_by_digest is not None:
            self._notify_revoked(before_by_digest)


def accounts_by_digest(source: catalogue.Catalogue) -> dict[str, str]:
    """Return the account of each digest that exactly one account holds."""
    accounts: dict[str, str] = {}
    duplicates = set()
    for name, account in source.accounts_by_name.items():
        for digest in account.digests:
            if accounts.setdefault(digest, name) != name:
                duplicates.add(digest)
    for digest in duplicates:
        del accounts[digest]
    return accounts


def _index(digest: str) -> str:
    start = len(digests.DIGEST_PREFIX)
    return digest[start : start + INDEX_HEX_DIGITS]


def _problem(code: str, message: str) -> problems.Problem:
    return problems.Problem(code, 401, 'no', message)
