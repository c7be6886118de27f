"""Tests of the matching of paths with routes."""

import pytest

from corianderspar import catalogue
from corianderspar import routes


def make_table():
    paths_by_name = {'a': '/shop', 'b': '/shop/orders', 'c': '/'}
    entry = catalogue.Entry(
        'desk',
        'ordinary',
        {
            name: catalogue.Route(path, 'plain', 'shop')
            for name, path in paths_by_name.items()
        },
    )
    return routes.RouteTable(catalogue.Catalogue(1, {'e': entry}, {}, {}))


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/shop', 'a'),
        ('/shop/', 'a'),
        ('/shop/x', 'a'),
        ('/shop/orders/7', 'b'),
        ('/shopping', 'c'),
        ('/', 'c'),
    ],
)
def test_longest_prefix_of_whole_segments_matches(path, name):
    assert make_table().find(path).route_name == name


def test_path_without_route_gives_none():
    empty = catalogue.Catalogue(1, {}, {}, {})
    assert routes.RouteTable(empty).find('/x') is None
