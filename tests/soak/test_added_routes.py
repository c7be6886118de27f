"""Routes that an operator adds, at daemons that are processes."""

import pytest

from tests.soak import added_routes

TROUBLE_SECONDS = 3.0
REST_SECONDS = 4.0


@pytest.fixture(autouse=True)
def short_runs(monkeypatch):
    monkeypatch.setattr(added_routes, 'BEFORE_SECONDS', 1.0)
    monkeypatch.setattr(added_routes, 'TROUBLE_SECONDS', TROUBLE_SECONDS)
    monkeypatch.setattr(added_routes, 'REST_SECONDS', REST_SECONDS)


@pytest.mark.parametrize(
    'trouble',
    ['value-nested', 'all-foreign', 'large-watch', 'one-ahead', 'number-huge'],
)
async def test_added_routes_are_served_in_time(trouble, tmp_path):
    assert await added_routes.AddedRoutes(1, tmp_path, trouble, 3).play() == []
