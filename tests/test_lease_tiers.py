"""Tests of lease tiers and versions of limits."""

from corianderspar import lease_tiers
from corianderspar import limit_trials

HALVES = {'szeged': 0.5, 'baja': 0.5}


def make_version(rate, burst=10.0, previous=None, names=('a', 'b')):
    account = limit_trials.account(rate, burst, HALVES)
    source = limit_trials.whole(1, dict.fromkeys(names, account))
    return lease_tiers.limits_version(source, 'szeged', previous)


def test_reusing_a_previous_version_does_not_change_the_result():
    older = make_version(1.0)
    fresh = make_version(2.0)
    derived = make_version(2.0, previous=older)
    assert derived.digest == fresh.digest != older.digest
    assert derived.limits_by_account == fresh.limits_by_account
    back = make_version(1.0, previous=derived)
    assert back.digest == older.digest
    fewer = make_version(1.0, previous=older, names=('a',))
    assert fewer.limits_by_account.keys() == {'a'}
    assert fewer.digest != older.digest


def test_a_tier_allows_the_least_of_all_vm_sets_and_versions():
    tier = lease_tiers.LeaseTier(0.75, 10.0)
    tier.is_active = True
    tier.add_version(make_version(8.0, 40.0))
    tier.add_version(make_version(4.0, 80.0))
    tier.add_vm_set(lease_tiers.VmSet(1, frozenset({'x', 'y'})))
    tier.add_vm_set(lease_tiers.VmSet(2, frozenset({'x'})))
    assert tier.allocation('x').rate_limit('a') == lease_tiers.RateLimit(
        0.75, 7.5
    )
    assert tier.allocation('y').rate_limit('a') == lease_tiers.RateLimit(
        0.0, 0.0
    )
    tier.settle_vm_sets()
    tier.settle_versions()
    assert tier.allocation('x').rate_limit('a') == lease_tiers.RateLimit(
        1.5, 30.0
    )
    assert tier.allocation('x').rate_limit('b') == lease_tiers.RateLimit(
        1.5, 30.0
    )
    assert tier.allocation('x').rate_limit('c') == lease_tiers.RateLimit(
        0.0, 0.0
    )


def test_an_inherited_share_counts_by_vm_sets_that_list_its_vm():
    tier = lease_tiers.LeaseTier(1.0, 10.0)
    tier.is_active = True
    tier.add_vm_set(lease_tiers.VmSet(1, frozenset({'x', 'y'})))
    tier.inherited.add('y')
    assert tier.fraction('x') == 1.0
    tier.add_vm_set(lease_tiers.VmSet(2, frozenset({'x'})))
    assert tier.fraction('x') == 0.5
