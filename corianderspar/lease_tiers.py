"""What a VM holds of its data centre's share, under one lease length."""

from typing import NamedTuple

import xxhash

from corianderspar import catalogue


class TimingBounds(NamedTuple):
    """What the limits rely on; past a bound, the safe side refuses.

    Attributes
    ----------
    list_lag : float
        Most seconds by which the platform's list of VMs is behind.
    lease : float
        Seconds for which a confirmation lets a VM use its whole part.
    long_lease : float
        Seconds for which one lets it use the part's slow tier.
    long_lease_weight : float
        The slow tier's fraction of a part.
    loan : float
        Most seconds for which tokens are lent.
    drift : float
        Most by which two clocks' rates differ, as a fraction.
    pause : float
        Seconds between two looks at the clock that count as a pause.
    """

    list_lag: float = 30.0
    lease: float = 10.0
    long_lease: float = 3600.0
    long_lease_weight: float = 0.25
    loan: float = 0.5
    drift: float = 0.01
    pause: float = 5.0


class RateLimit(NamedTuple):
    """Tokens a second, and tokens at once, of an account."""

    rate: float
    burst: float


class VmSet(NamedTuple):
    """The VMs of this data centre by one list of the platform.

    Attributes
    ----------
    revision : int
        The newest revision that names just these VMs.
    vms : frozenset of str
        Those VMs.
    """

    revision: int
    vms: frozenset[str]

    def fraction(self, vm: str) -> float:
        """Return a VM's part of the data centre's share."""
        return 1.0 / len(self.vms) if vm in self.vms else 0.0


class LimitsVersion(NamedTuple):
    """The limits of one catalogue, for one data centre.

    Attributes
    ----------
    digest : int
        The same wherever all accounts have the same limits.
    limits_by_account : dict of str to RateLimit
        The data centre's share of each account.
    hashes_by_account : dict of str to int
        Of each account's limits; the digest is their sum.
    accounts_by_name : dict of str to Account
        What it was worked out from.
    """

    digest: int
    limits_by_account: dict[str, RateLimit]
    hashes_by_account: dict[str, int]
    accounts_by_name: dict[str, catalogue.Account]


class Key(NamedTuple):
    """What two VMs must agree on before either forgets older news."""

    revision: int
    digest: int


class LeaseTier:
    """Rosters and versions that may be in force, under one lease.

    A VM holds the least that any of them gives it. It forgets the older
    ones when every VM that might still hold by them has the newest too, or
    can't have a lease any more.

    Parameters
    ----------
    weight : float
        The tier's fraction of every part.
    lease : float
        Seconds for which a confirmation is good.

    Attributes
    ----------
    is_active : bool
        Whether the VM holds a part at all; else it waits to join.
    join_at : float
        Monotonic seconds before which it must not join.
    inherited : set of str
        VMs that shut down and left their parts to this one.
    vm_sets, versions : list
        Those that may be in force, the newest last.
    """

    def __init__(self, weight: float, lease: float) -> None:
        self.weight = weight
        self.lease = lease
        self.is_active = False
        self.join_at = float('inf')
        self.inherited: set[str] = set()
        self.vm_sets: list[VmSet] = []
        self.versions: list[LimitsVersion] = []

    @property
    def is_settled(self) -> bool:
        """Whether only the newest roster and version are in force."""
        one = len(self.vm_sets) == 1 and len(self.versions) == 1
        return self.is_active and one and not self.inherited

    @property
    def vms(self) -> set[str]:
        """VMs that may hold a part by any roster in force."""
        return {name for vm_set in self.vm_sets for name in vm_set.vms}

    def add_vm_set(self, vm_set: VmSet) -> None:
        """Put a newer roster in force beside the others."""
        if self.vm_sets and self.vm_sets[-1].vms == vm_set.vms:
            self.vm_sets[-1] = vm_set
        elif self.is_active:
            self.vm_sets.append(vm_set)
        else:
            self.vm_sets = [vm_set]

    def add_version(self, version: LimitsVersion) -> None:
        """Put a newer version in force beside the others."""
        if not self.versions or self.versions[-1].digest != version.digest:
            self.versions.append(version)

    def settle_vm_sets(self) -> None:
        """Forget all rosters but the newest."""
        del self.vm_sets[:-1]

    def settle_versions(self) -> None:
        """Forget all versions but the newest."""
        del self.versions[:-1]

    def deactivate(self, join_at: float) -> None:
        """Hold nothing, and join again no sooner than a moment."""
        self.is_active = False
        self.join_at = join_at
        self.inherited.clear()
        self.settle_vm_sets()

    def fraction(self, vm: str) -> float:
        """Return what this tier gives a VM of its data centre's share."""
        if not self.is_active:
            return 0.0
        return self.weight * sum(
            min(
                (vm_set.fraction(name) for vm_set in self.vm_sets), default=0.0
            )
            for name in sorted({vm, *self.inherited})
        )

    def allocation(self, vm: str) -> 'Allocation':
        """Return what the tier gives a VM now."""
        return Allocation(self.fraction(vm), tuple(self.versions))


class Allocation(NamedTuple):
    """What a tier gave a VM from some moment on.

    Attributes
    ----------
    fraction : float
        Of the data centre's share.
    versions : tuple of LimitsVersion
        Those that may be in force.
    """

    fraction: float
    versions: tuple[LimitsVersion, ...]

    def rate_limit(self, account: str) -> RateLimit:
        """Return the least terms that any version gives."""
        if not self.fraction:
            return RateLimit(0.0, 0.0)
        rates = []
        bursts = []
        for version in self.versions:
            terms = version.limits_by_account.get(account)
            if terms is None:
                return RateLimit(0.0, 0.0)
            rates.append(terms.rate)
            bursts.append(terms.burst)
        return RateLimit(
            self.fraction * min(rates, default=0.0),
            self.fraction * min(bursts, default=0.0),
        )


class ShareChange(NamedTuple):
    """What this VM holds from a moment on.

    Attributes
    ----------
    number : int
        Grows by one with each.
    at : float
        Monotonic seconds.
    allocations : tuple of Allocation
        One for each tier.
    """

    number: int
    at: float
    allocations: tuple[Allocation, ...]

    def rate_limit(self, account: str) -> RateLimit:
        """Return this VM's terms of an account."""
        each = [
            allocation.rate_limit(account) for allocation in self.allocations
        ]
        return RateLimit(
            sum(terms.rate for terms in each),
            sum(terms.burst for terms in each),
        )


def limits_version(
    found: catalogue.Catalogue, place: str, before: LimitsVersion | None = None
) -> LimitsVersion:
    """Return the limits of a catalogue for one data centre.

    Parameters
    ----------
    found : Catalogue
        Holds the accounts.
    place : str
        The data centre.
    before : LimitsVersion or None
        Of the same data centre; what is the same there is not worked out
        again.
    """
    limits_by_account = {}
    hashes_by_account = {}
    known_by_name = before.accounts_by_name if before else {}
    for name, account in found.accounts_by_name.items():
        known = known_by_name.get(name)
        if before and known and _same_limits(known, account):
            limits_by_account[name] = before.limits_by_account[name]
            hashes_by_account[name] = before.hashes_by_account[name]
            continue
        share = account.shares_by_data_centre.get(place, 0.0)
        limits_by_account[name] = RateLimit(
            share * account.rate, share * account.burst
        )
        hashes_by_account[name] = _hash_limits(name, account)
    digest = sum(hashes_by_account.values()) % 2**64
    return LimitsVersion(
        digest, limits_by_account, hashes_by_account, found.accounts_by_name
    )


def _same_limits(one: catalogue.Account, other: catalogue.Account) -> bool:
    return (
        one.rate == other.rate
        and one.burst == other.burst
        and one.shares_by_data_centre == other.shares_by_data_centre
    )


def _hash_limits(name: str, account: catalogue.Account) -> int:
    shares = sorted(account.shares_by_data_centre.items())
    limits = name, account.rate, account.burst, shares
    return xxhash.xxh3_64_intdigest(repr(limits).encode())
