"""Fraction of the data centre's share that a VM uses under one lease."""

from typing import NamedTuple

import xxhash

from corianderspar import catalogue


class TimingBounds(NamedTuple):
    """Bounds that the rate limits rely on; equal on all VMs.

    Where a bound on time is exceeded, limits refuse requests rather than
    admit more than the rate.

    Attributes
    ----------
    list_lag : float
        Maximum seconds by which the platform's VM list is out of date.
    lease : float
        Seconds for which a confirmation lets a VM use its whole share.
    long_lease : float
        Seconds for which a confirmation lets a VM use the long-lease tier
        of its share.
    long_lease_weight : float
        The long-lease tier's fraction of a share, from 0 to 1.
    loan : float
        Maximum seconds for which tokens are lent to another VM.
    drift : float
        Maximum relative difference between the rates of two clocks.
    pause : float
        Seconds between two reads of the clock from which on the process
        counts as paused.
    """

    list_lag: float = 30.0
    lease: float = 10.0
    long_lease: float = 3600.0
    long_lease_weight: float = 0.25
    loan: float = 0.5
    drift: float = 0.01
    pause: float = 5.0


class RateLimit(NamedTuple):
    """Rate (tokens a second) and burst (tokens) of an account."""

    rate: float
    burst: float


class VmSet(NamedTuple):
    """The VMs of this data centre by one revision of the platform's list.

    Attributes
    ----------
    revision : int
        The newest revision that lists exactly these VMs.
    vms : frozenset of str
        Names of the VMs.
    """

    revision: int
    vms: frozenset[str]

    def fraction(self, vm: str) -> float:
        """Return the fraction of the data centre's share that a VM gets."""
        return 1.0 / len(self.vms) if vm in self.vms else 0.0


class LimitsVersion(NamedTuple):
    """The rate limits of one catalogue, for one data centre.

    Attributes
    ----------
    digest : int
        Sum of the hashes; equal for catalogues with the same limits.
    limits_by_account : dict of str to RateLimit
        The data centre's share of each account's rate and burst.
    hashes_by_account : dict of str to int
        Hash of the limits of each account.
    accounts_by_name : dict of str to Account
        The accounts of the catalogue.
    """

    digest: int
    limits_by_account: dict[str, RateLimit]
    hashes_by_account: dict[str, int]
    accounts_by_name: dict[str, catalogue.Account]


class ConfigurationKey(NamedTuple):
    """What two VMs must agree on before either drops an older state."""

    revision: int
    digest: int


class LeaseTier:
    """The VM sets and versions of limits in use under one lease.

    VMs adopt new VM sets and versions at different moments. Until each VM
    that may use an older one has adopted the newest or cannot hold a lease
    any more, the older one stays in use here too, and this VM uses the least
    that any of them allows.

    Parameters
    ----------
    weight : float
        The tier's fraction of every VM's share, from 0 to 1.
    lease : float
        Seconds for which a confirmation is valid.

    Attributes
    ----------
    is_active : bool
        Whether the VM holds its fraction; if not, it waits to join.
    join_at : float
        Monotonic seconds before which it must not join.
    inherited : set of str
        VMs that shut down and handed their share to this VM.
    vm_sets, versions : list
        The VM sets and versions in use, the newest last.
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
        """Whether only the newest VM set and version are in use."""
        is_single = len(self.vm_sets) == 1 and len(self.versions) == 1
        return self.is_active and is_single and not self.inherited

    @property
    def vms(self) -> set[str]:
        """VMs that any VM set in use lists."""
        return {name for vm_set in self.vm_sets for name in vm_set.vms}

    def add_vm_set(self, vm_set: VmSet) -> None:
        """Add a newer VM set; an inactive tier keeps only this one."""
        if self.vm_sets and self.vm_sets[-1].vms == vm_set.vms:
            self.vm_sets[-1] = vm_set
        elif self.is_active:
            self.vm_sets.append(vm_set)
        else:
            self.vm_sets = [vm_set]

    def add_version(self, version: LimitsVersion) -> None:
        """Add a newer version of the limits, unless it is the last one."""
        if not self.versions or self.versions[-1].digest != version.digest:
            self.versions.append(version)

    def settle_vm_sets(self) -> None:
        """Drop all VM sets but the newest."""
        del self.vm_sets[:-1]

    def settle_versions(self) -> None:
        """Drop all versions but the newest."""
        del self.versions[:-1]

    def deactivate(self, join_at: float) -> None:
        """Give up the fraction, and do not join before `join_at`."""
        self.is_active = False
        self.join_at = join_at
        self.inherited.clear()
        self.settle_vm_sets()

    def fraction(self, vm: str) -> float:
        """Return the fraction of the data centre's share that a VM holds."""
        if not self.is_active:
            return 0.0
        return self.weight * sum(
            min(
                (vm_set.fraction(name) for vm_set in self.vm_sets),
                default=0.0,
            )
            for name in sorted({vm, *self.inherited})
        )

    def allocation(self, vm: str) -> 'Allocation':
        """Return what a VM holds under this lease now."""
        return Allocation(self.fraction(vm), tuple(self.versions))


class Allocation(NamedTuple):
    """What a VM holds under one lease.

    Attributes
    ----------
    fraction : float
        Fraction of the data centre's share, from 0 to 1.
    versions : tuple of LimitsVersion
        The versions of the limits in use.
    """

    fraction: float
    versions: tuple[LimitsVersion, ...]

    def rate_limit(self, account: str) -> RateLimit:
        """Return the least rate and burst that any version allows."""
        if not self.fraction:
            return RateLimit(0.0, 0.0)
        rates = []
        bursts = []
        for version in self.versions:
            limit = version.limits_by_account.get(account)
            if limit is None:
                return RateLimit(0.0, 0.0)
            rates.append(limit.rate)
            bursts.append(limit.burst)
        return RateLimit(
            self.fraction * min(rates, default=0.0),
            self.fraction * min(bursts, default=0.0),
        )


class ShareChange(NamedTuple):
    """What this VM holds from some moment on.

    Attributes
    ----------
    number : int
        Sequence number of the change.
    at : float
        Moment of the change, in monotonic seconds.
    allocations : tuple of Allocation
        One for each lease tier.
    """

    number: int
    at: float
    allocations: tuple[Allocation, ...]

    def rate_limit(self, account: str) -> RateLimit:
        """Return this VM's rate and burst of an account, over all tiers."""
        limits = [
            allocation.rate_limit(account) for allocation in self.allocations
        ]
        return RateLimit(
            sum(limit.rate for limit in limits),
            sum(limit.burst for limit in limits),
        )


def limits_version(
    source: catalogue.Catalogue,
    data_centre: str,
    previous: LimitsVersion | None = None,
) -> LimitsVersion:
    """Return the limits of a catalogue for one data centre.

    Parameters
    ----------
    source : Catalogue
        Holds the accounts.
    data_centre : str
        Name of the data centre.
    previous : LimitsVersion or None
        An earlier version for the same data centre; the results for
        accounts whose limits did not change are taken from it.
    """
    limits_by_account = {}
    hashes_by_account = {}
    previous_by_name = previous.accounts_by_name if previous else {}
    for name, account in source.accounts_by_name.items():
        known = previous_by_name.get(name)
        if previous and known and _has_same_limits(known, account):
            limits_by_account[name] = previous.limits_by_account[name]
            hashes_by_account[name] = previous.hashes_by_account[name]
            continue
        share = account.shares_by_data_centre.get(data_centre, 0.0)
        limits_by_account[name] = RateLimit(
            share * account.rate, share * account.burst
        )
        hashes_by_account[name] = _hash_limits(name, account)
    digest = sum(hashes_by_account.values()) % 2**64
    return LimitsVersion(
        digest, limits_by_account, hashes_by_account, source.accounts_by_name
    )


def _has_same_limits(
    first: catalogue.Account, second: catalogue.Account
) -> bool:
    return (
        first.rate == second.rate
        and first.burst == second.burst
        and first.shares_by_data_centre == second.shares_by_data_centre
    )


def _hash_limits(name: str, account: catalogue.Account) -> int:
    shares = sorted(account.shares_by_data_centre.items())
    limits = name, account.rate, account.burst, shares
    return xxhash.xxh3_64_intdigest(repr(limits).encode())
