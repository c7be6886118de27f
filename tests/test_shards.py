"""Tests of the catalogue as values of the platform."""

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
def test_what_was_split_joins_to_the_same(accounts, version):
    whole = catalogues.valid(version, accounts)
    assert shards.join(shards.split(whole)).ok == whole


def test_values_fit_the_service():
    values = shards.split(catalogues.valid(1, 5000))
    assert max(map(len, values.values())) < platform_client.MAX_VALUE_BYTES / 8
    assert [*values][-1] == shards.MANIFEST_KEY


def test_a_change_of_one_account_changes_one_shard():
    whole = catalogues.valid(1, 1000)
    account = whole.accounts_by_name['account7']._replace(weight=2.0)
    accounts = {**whole.accounts_by_name, 'account7': account}
    other = whole._replace(version=2, accounts_by_name=accounts)
    before = shards.split(whole)
    after = shards.split(other)
    assert len(after.keys() - before.keys()) == 1


def test_a_shard_of_another_version_is_not_taken():
    values = shards.split(catalogues.valid(1, 2))
    key = next(key for key in values if b'accounts_by_name' in values[key])
    values[key] = values[key].replace(b'100.0', b'900.0')
    assert 'digest' in shards.join(values).error[0].allowed


def test_a_manifest_must_have_a_version():
    assert shards.parse_manifest(b'[]').is_error()
    wrong = shards.Manifest(0, {}).encoded()
    assert shards.parse_manifest(wrong).error[0].place == 'catalogue.version'


def test_a_shard_that_is_no_json_is_a_finding():
    assert len(shards.parse_shard(b'\xff').findings) == 1
