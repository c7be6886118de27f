"""What operators may read of one daemon, over HTTP."""

from typing import Any

import litestar
from litestar import status_codes
import msgspec

from corianderspar import configuration
from corianderspar import drain
from corianderspar import kernel
from corianderspar import membership
from corianderspar import metrics
from corianderspar import peers
from corianderspar import rate_limiter

JSON = 'application/json'
METRICS = 'text/plain; version=0.0.4'


def status(app: kernel.Application) -> dict[str, Any]:
    """Return the state of a daemon as plain data."""
    config = app.find('configuration', configuration.Configuration)
    view = app.find('membership', membership.Membership)
    ending = app.find('drain', drain.Drain)
    now = app.clock.monotonic()
    return {
        'vm': app.identity.vm,
        'data_centre': app.identity.data_centre,
        'region': app.identity.region,
        'incarnation': str(app.incarnation),
        'catalogue_version': config.version,
        'ready': ending.ready,
        'inflight': len(ending.inflight.by_id),
        'live_by_data_centre': _live(app, view),
        'members_by_vm': {
            member.vm: _member(member, now)
            for member in view.members().values()
        },
        'peer_counts': dict(app.find('peers', peers.Peers).counts),
        'failures': [
            f'{failure.service}/{failure.task}: {failure.error!r}'
            for failure in app.failures
        ],
    }


def upstreams(app: kernel.Application) -> dict[str, Any]:
    """Return the upstreams of the catalogue in force by name."""
    config = app.find('configuration', configuration.Configuration)
    if config.catalogue is None:
        return {}
    return {
        name: upstream._asdict()
        for name, upstream in config.catalogue.upstreams_by_name.items()
    }


def account(app: kernel.Application, name: str) -> dict[str, Any] | None:
    """Return a client account as this daemon sees it; None if unknown."""
    config = app.find('configuration', configuration.Configuration)
    if config.catalogue is None:
        return None
    found = config.catalogue.accounts_by_name.get(name)
    if found is None:
        return None
    view = app.find('limits', rate_limiter.RateLimiter).view(name)
    shown = found._asdict()
    shown['digests'] = len(found.digests)
    return {'account': shown, 'here': view._asdict() if view else None}


def timeline(app: kernel.Application) -> list[dict[str, Any]]:
    """Return the kept events, oldest first."""
    return [event._asdict() for event in app.events.events()]


def make_app(app: kernel.Application) -> litestar.Litestar:
    """Return the ASGI application for operators."""

    @litestar.get('/status', sync_to_thread=False)
    def get_status() -> litestar.Response:
        return _json(status(app))

    @litestar.get('/upstreams', sync_to_thread=False)
    def get_upstreams() -> litestar.Response:
        return _json(upstreams(app))

    @litestar.get('/accounts/{name:str}', sync_to_thread=False)
    def get_account(name: str) -> litestar.Response:
        found = account(app, name)
        if found is None:
            return _json({'code': 'no_account'}, 404)
        return _json(found)

    @litestar.get('/timeline', sync_to_thread=False)
    def get_timeline() -> litestar.Response:
        return _json(timeline(app))

    @litestar.get('/metrics', sync_to_thread=False)
    def get_metrics() -> litestar.Response:
        page = app.find('metrics', metrics.Metrics).page()
        return litestar.Response(page, media_type=METRICS)

    return litestar.Litestar(
        [get_status, get_upstreams, get_account, get_timeline, get_metrics],
        openapi_config=None,
        logging_config=None,
    )


def _live(
    app: kernel.Application, view: membership.Membership
) -> dict[str, list[str]]:
    places = {member.data_centre for member in view.members().values()}
    places.add(app.identity.data_centre)
    return {place: view.live(place) for place in sorted(places)}


def _member(member: membership.Member, now: float) -> dict[str, Any]:
    fields = member._asdict()
    heard = fields.pop('heard')
    fields['silent_seconds'] = None if heard < 0 else round(now - heard, 3)
    return fields


def _json(
    content: Any, code: int = status_codes.HTTP_200_OK
) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(content), status_code=code, media_type=JSON
    )
