"""Client keys: their digests, their check and their withdrawal."""

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
from corianderspar import digests
from corianderspar import kernel
from corianderspar import membership
from corianderspar import peers
from corianderspar import problems

KEY_PREFIX = 'csk_'
KEY_BYTES = 32
DIGEST_BYTES = 32
INDEX_DIGITS = 8
WITHDRAWN_KEPT = 4096
WITHDRAWN_PER_HEARTBEAT = 32

OnWithdrawn = Callable[[str, str], None]


class NewKey(NamedTuple):
    """A key for a caller, and its digest for the catalogue."""

    key: str
    digest: str


def new_key() -> NewKey:
    """Make a key; only its digest may be kept.

    Examples
    --------
    >>> made = new_key()
    >>> made.digest == digests.digest_of(made.key)
    True
    """
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return NewKey(key, digests.digest_of(key))


class Revocation(NamedTuple):
    """A digest that a catalogue version holds no more.

    Attributes
    ----------
    version : int
        The first catalogue version without it.
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
        Catalogue version in force at the sender.
    withdrawn : list of Revocation
        Withdrawals above the version that the receiver last named.
    """

    version: int
    withdrawn: list[Revocation]


class Authenticator:
    """The service ``keys``: which account a key belongs to.

    A digest is valid while the catalogue in force holds it for exactly one
    account, and no peer knows a newer version that holds it no more.

    `on_revoked` hooks get an account and a digest, so that running work
    of that key can be cancelled.
    """

    name = 'keys'
    requires = ('membership', 'configuration')

    def __init__(self) -> None:
        self.on_revoked: list[OnWithdrawn] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._version = 0
        self._accounts_by_digest: dict[str, str] = {}
        self._digests_by_index: dict[str, list[str]] = {}
        self._withdrawn_version_by_digest: dict[str, int] = {}
        self._version_by_vm: dict[str, int] = {}
        self._offset_by_vm: dict[str, int] = {}

    async def start(self, app: kernel.Application) -> None:
        """Follow the catalogue and the peers' withdrawals."""
        self._app = app
        config = app.find('configuration', configuration.Configuration)
        config.on_catalogue.append(self._adopt)
        if config.catalogue is not None:
            self._adopt(config.catalogue, None)
        view = app.find('membership', membership.Membership)
        view.add_section('keys', self._provide, self._accept)

    async def stop(self) -> None:
        """Nothing to hand on: peers know the withdrawals too."""

    def authenticate(self, key: str | None) -> Result[str, problems.Problem]:
        """Return the account that a key belongs to.

        The time taken depends on no more than the first digits of the
        key's digest, which tell nothing of any key.

        Parameters
        ----------
        key : str or None
            As the caller sent it; None for no key.

        Returns
        -------
        Result
            Name of the account, or the problem ``key_missing`` or
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
        """Return the account of a digest that is valid now."""
        found = None
        for known in self._digests_by_index.get(_index(digest), ()):
            if hmac.compare_digest(known, digest):
                found = known
        if found is None or found in self._withdrawn_version_by_digest:
            return None
        return self._accounts_by_digest[found]

    def _adopt(
        self, found: catalogue.Catalogue, _before: catalogue.Catalogue | None
    ) -> None:
        before_by_digest = self._valid_accounts()
        self._version = found.version
        self._accounts_by_digest = accounts_by_digest(found)
        self._digests_by_index = {}
        for digest in self._accounts_by_digest:
            same = self._digests_by_index.setdefault(_index(digest), [])
            same.append(digest)
        for digest, version in list(self._withdrawn_version_by_digest.items()):
            held = digest in self._accounts_by_digest
            if held and version <= found.version:
                del self._withdrawn_version_by_digest[digest]
        for digest in before_by_digest:
            if digest not in self._accounts_by_digest:
                self._keep(digest, found.version)
        self._tell_withdrawn(before_by_digest)

    def _valid_accounts(self) -> dict[str, str]:
        return {
            digest: account
            for digest, account in self._accounts_by_digest.items()
            if digest not in self._withdrawn_version_by_digest
        }

    def _tell_withdrawn(self, before_by_digest: dict[str, str]) -> None:
        after_by_digest = self._valid_accounts()
        for digest, account in before_by_digest.items():
            if after_by_digest.get(digest) == account:
                continue
            self.counts['withdrawn'] += 1
            self._app.events.add('key.withdrawn', account=account)
            for hook in self.on_revoked:
                hook(account, digest)

    def _keep(self, digest: str, version: int) -> None:
        known = self._withdrawn_version_by_digest.get(digest, 0)
        self._withdrawn_version_by_digest[digest] = max(known, version)
        if len(self._withdrawn_version_by_digest) <= WITHDRAWN_KEPT:
            return
        # What the catalogue in force holds no more needs no entry here; a
        # digest that it does hold would become valid again.
        spare = min(
            self._withdrawn_version_by_digest,
            key=lambda item: (
                item in self._accounts_by_digest,
                self._withdrawn_version_by_digest[item],
            ),
        )
        if spare not in self._accounts_by_digest:
            del self._withdrawn_version_by_digest[spare]

    def _provide(self, vm: str) -> bytes:
        known = self._version_by_vm.get(vm, 0)
        fresh = sorted(
            Revocation(
                version, bytes.fromhex(digest[len(digests.DIGEST_PREFIX) :])
            )
            for digest, version in self._withdrawn_version_by_digest.items()
            if version > known
        )
        offset = self._offset_by_vm.get(vm, 0)
        if offset >= len(fresh):
            offset = 0
        end = offset + WITHDRAWN_PER_HEARTBEAT
        self._offset_by_vm[vm] = end
        return msgspec.msgpack.encode(
            KeysSection(self._version, fresh[offset:end])
        )

    def _accept(self, sender: peers.Sender, content: bytes) -> None:
        try:
            news = msgspec.msgpack.decode(content, type=KeysSection)
        except msgspec.MsgspecError:
            self.counts['malformed'] += 1
            return
        self._version_by_vm[sender.vm] = news.version
        before_by_digest = None
        for item in news.withdrawn[:WITHDRAWN_PER_HEARTBEAT]:
            if len(item.digest) != DIGEST_BYTES:
                self.counts['malformed'] += 1
                continue
            digest = digests.DIGEST_PREFIX + item.digest.hex()
            if item.version <= self._version:
                continue
            if digest not in self._withdrawn_version_by_digest:
                before_by_digest = before_by_digest or self._valid_accounts()
            self._keep(digest, item.version)
        if before_by_digest is not None:
            self._tell_withdrawn(before_by_digest)


def accounts_by_digest(found: catalogue.Catalogue) -> dict[str, str]:
    """Return the account of each digest that just one account holds."""
    accounts: dict[str, str] = {}
    doubled = set()
    for name, account in found.accounts_by_name.items():
        for digest in account.digests:
            if accounts.setdefault(digest, name) != name:
                doubled.add(digest)
    for digest in doubled:
        del accounts[digest]
    return accounts


def _index(digest: str) -> str:
    start = len(digests.DIGEST_PREFIX)
    return digest[start : start + INDEX_DIGITS]


def _problem(code: str, message: str) -> problems.Problem:
    return problems.Problem(code, 401, 'no', message)
