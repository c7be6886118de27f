"""Tests of the encoding of the catalogue as values of the platform."""

import hypothesis
from hypothesis import strategies

from corianderspar import platform_client
from corianderspar import shards
from tests import catalogues

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=20
)


@SETTINGS
@hypothesis.given(strategies.integers(0, 400), strategies.integers(1, 9))
def test_join_is_the_inverse_of_split(accounts, version):
    whole = catalogues.valid(version, accounts)
    assert shards.join(shards.split(whole)).ok == whole


def test_values_are_far_below_the_size_limit():
    values = shards.split(catalogues.valid(1, 5000))
    assert max(map(len, values.values())) < platform_client.MAX_VALUE_BYTES / 8
    assert [*values][-1] == shards.MANIFEST_KEY


def test_change_of_one_account_changes_one_shard():
    whole = catalogues.valid(1, 1000)
    account = whole.accounts_by_name['account7']._replace(weight=2.0)
    accounts = {**whole.accounts_by_name, 'account7': account}
    changed = whole._replace(version=2, accounts_by_name=accounts)
    before = shards.split(whole)
    after = shards.split(changed)
    assert len(after.keys() - before.keys()) == 1


def test_shard_with_wrong_digest_is_rejected():
    values = shards.split(catalogues.valid(1, 2))
    key = next(key for key in values if b'accounts_by_name' in values[key])
    values[key] = values[key].replace(b'100.0', b'900.0')
    assert 'digest' in shards.join(values).error[0].allowed


def test_manifest_without_version_is_invalid():
    assert shards.parse_manifest(b'[]').is_error()
    invalid = shards.Manifest(0, {}).encode()
    assert shards.parse_manifest(invalid).error[0].place == 'catalogue.version'


def test_shard_that_is_not_json_gives_a_finding():
    assert len(shards.parse_shard(b'\xff').findings) == 1
