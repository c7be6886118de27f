"""Tests of rosters and versions of limits."""

from corianderspar import lease_tiers
from corianderspar import limit_trials

HALVES = {'szeged': 0.5, 'baja': 0.5}


def version(rate, burst=10.0, before=None, names=('a', 'b')):
    account = limit_trials.account(rate, burst, HALVES)
    whole = limit_trials.whole(1, dict.fromkeys(names, account))
    return lease_tiers.limits_version(whole, 'szeged', before)


def test_a_version_made_from_an_older_one_is_the_same():
    older = version(1.0)
    fresh = version(2.0)
    made = version(2.0, before=older)
    assert made.digest == fresh.digest != older.digest
    assert made.limits_by_account == fresh.limits_by_account
    back = version(1.0, before=made)
    assert back.digest == older.digest
    fewer = version(1.0, before=older, names=('a',))
    assert fewer.limits_by_account.keys() == {'a'}
    assert fewer.digest != older.digest


def test_a_tier_gives_the_least_of_all_that_may_be_in_force():
    tier = lease_tiers.LeaseTier(0.75, 10.0)
    tier.is_active = True
    tier.add_version(version(8.0, 40.0))
    tier.add_version(version(4.0, 80.0))
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


def test_a_gift_counts_while_every_roster_names_its_giver():
    tier = lease_tiers.LeaseTier(1.0, 10.0)
    tier.is_active = True
    tier.add_vm_set(lease_tiers.VmSet(1, frozenset({'x', 'y'})))
    tier.inherited.add('y')
    assert tier.fraction('x') == 1.0
    tier.add_vm_set(lease_tiers.VmSet(2, frozenset({'x'})))
    assert tier.fraction('x') == 0.5
