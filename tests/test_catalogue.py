"""Tests of the checks, the schema and the loading of a catalogue."""

import json
from pathlib import Path

import pytest

from corianderspar import catalogue
from tests import catalogues

SCHEMA = Path(__file__).parent.parent / 'docs' / 'catalogue.schema.json'


def finding_places(document):
    return [finding.place for finding in catalogue.parse(document).error]


def test_valid_catalogue_has_no_findings():
    assert catalogue.parse(catalogues.document()).is_ok()


def test_all_findings_are_reported_at_once_with_their_places():
    document = catalogues.document()
    document['version'] = 0
    document['accounts_by_name']['account0']['rate'] = -1
    shares = document['accounts_by_name']['account1']['shares_by_data_centre']
    shares['szeged'] = 0.9
    document['entries_by_name']['shop']['routes_by_name']['order']['path'] = (
        'shop'
    )
    document['upstreams_by_name']['shop1']['role'] = 'decode'
    assert finding_places(document) == [
        'accounts_by_name.account0.rate',
        'accounts_by_name.account1.shares_by_data_centre',
        'entries_by_name.shop.routes_by_name.order.path',
        'upstreams_by_name.shop1.role',
        'version',
    ]


def test_invalid_upstream_gives_no_finding_on_its_routes():
    document = catalogues.document()
    for upstream in document['upstreams_by_name'].values():
        upstream['slots'] = 0
    assert finding_places(document) == [
        'upstreams_by_name.shop1.slots',
        'upstreams_by_name.shop2.slots',
    ]


def document_with(path, value):
    document = catalogues.document()
    table = document
    *parents, last = path.split('/')
    for key in parents:
        table = table[key]
    table[last] = value
    return document


ORDER = 'entries_by_name/shop/routes_by_name/order'


@pytest.mark.parametrize(
    ('path', 'value', 'place'),
    [
        ('accounts_by_name/account1/digests', [f'sha256:{0:064x}'], '0'),
        (f'{ORDER}/target', 'nowhere', 'target'),
        (f'{ORDER}/kind', 'engine', 'target'),
        (f'{ORDER}/path', '/a/../b', 'path'),
        ('upstreams_by_name/shop1/kind', 'engine', 'role'),
        ('upstreams_by_name/shop2/address', '10.0.0.1:80', 'address'),
        ('upstreams_by_name/shop1/address', 'shop:80', 'address'),
        ('accounts_by_name/account1/rate', float('inf'), 'rate'),
        ('accounts_by_name/account1/rate', float('nan'), 'rate'),
        ('accounts_by_name/account1/colour', 'red', 'colour'),
        ('unknown', {}, 'unknown'),
        ('accounts_by_name', [], 'accounts_by_name'),
    ],
)
def test_one_error_gives_one_finding(path, value, place):
    found = finding_places(document_with(path, value))
    assert len(found) == 1
    assert found[0].rpartition('.')[2] == place


def test_two_routes_with_the_same_path_are_rejected():
    document = catalogues.document()
    routes = document['entries_by_name']['shop']['routes_by_name']
    routes['other'] = {**routes['order'], 'path': '/shop/order/'}
    assert finding_places(document) == [
        'entries_by_name.shop.routes_by_name.other.path'
    ]


def test_non_table_and_missing_sections_are_findings():
    assert finding_places([]) == ['']
    assert finding_places({}) == [
        'accounts_by_name',
        'entries_by_name',
        'upstreams_by_name',
        'version',
    ]


def test_data_centre_without_upstreams_is_a_warning():
    shares = {'szeged': 0.5, 'bajja': 0.5}
    path = 'accounts_by_name/account0/shares_by_data_centre'
    found = catalogue.parse(document_with(path, shares)).ok
    warned = [finding.seen for finding in catalogue.warnings(found)]
    assert warned == ['bajja']


def test_committed_schema_is_current():
    assert json.loads(SCHEMA.read_text()) == catalogue.schema()


def test_findings_in_toml_name_the_line(tmp_path):
    path = tmp_path / 'catalogue.toml'
    path.write_text(
        'version = 1\n'
        '[entries_by_name]\n'
        '[accounts_by_name.parish]\n'
        'rate = 0\n'
        'burst = 1\n'
        'shares_by_data_centre = { szeged = 2 }\n'
        '[upstreams_by_name]\n'
    )
    found = catalogue.load_toml(path).error
    assert [finding.place for finding in found] == [
        f'{path}:4: accounts_by_name.parish.rate',
        f'{path}:6: accounts_by_name.parish.shares_by_data_centre.szeged',
    ]


def test_json_catalogue_is_loaded_and_checked(tmp_path):
    path = tmp_path / 'catalogue.json'
    path.write_text(json.dumps(catalogues.document()))
    assert catalogue.load_json(path).ok == catalogues.valid()
    path.write_text('{')
    assert catalogue.load_json(path).error[0].place == str(path)
