"""HTTP pages with the state of one daemon, for operators."""

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

JSON_MEDIA_TYPE = 'application/json'
METRICS_MEDIA_TYPE = 'text/plain; version=0.0.4'


def status(app: kernel.Application) -> dict[str, Any]:
    """Return the state of a daemon, ready to be encoded as JSON."""
    config = app.find('configuration', configuration.Configuration)
    membership_service = app.find('membership', membership.Membership)
    drain_service = app.find('drain', drain.Drain)
    now = app.clock.monotonic()
    return {
        'vm': app.identity.vm,
        'data_centre': app.identity.data_centre,
        'region': app.identity.region,
        'incarnation': str(app.incarnation),
        'catalogue_version': config.version,
        'ready': drain_service.ready,
        'inflight': len(drain_service.inflight.by_id),
        'live_by_data_centre': _live(app, membership_service),
        'members_by_vm': {
            member.vm: _member(member, now)
            for member in membership_service.members().values()
        },
        'peer_counts': dict(app.find('peers', peers.Peers).counts),
        'failures': [
            f'{failure.service}/{failure.task}: {failure.error!r}'
            for failure in app.failures
        ],
    }


def upstreams(app: kernel.Application) -> dict[str, Any]:
    """Return the upstreams of the current catalogue by name."""
    config = app.find('configuration', configuration.Configuration)
    if config.catalogue is None:
        return {}
    return {
        name: upstream._asdict()
        for name, upstream in config.catalogue.upstreams_by_name.items()
    }


def account(app: kernel.Application, name: str) -> dict[str, Any] | None:
    """Return the state of an account at this daemon; None if unknown."""
    config = app.find('configuration', configuration.Configuration)
    if config.catalogue is None:
        return None
    entry = config.catalogue.accounts_by_name.get(name)
    if entry is None:
        return None
    view = app.find('limits', rate_limiter.RateLimiter).view(name)
    fields = entry._asdict()
    fields['digests'] = len(entry.digests)
    return {'account': fields, 'here': view._asdict() if view else None}


def timeline(app: kernel.Application) -> list[dict[str, Any]]:
    """Return the buffered events, oldest first."""
    return [event._asdict() for event in app.events.events()]


def make_app(app: kernel.Application) -> litestar.Litestar:
    """Return the ASGI application that serves these pages."""

    @litestar.get('/status', sync_to_thread=False)
    def get_status() -> litestar.Response:
        return _json(status(app))

    @litestar.get('/upstreams', sync_to_thread=False)
    def get_upstreams() -> litestar.Response:
        return _json(upstreams(app))

    @litestar.get('/accounts/{name:str}', sync_to_thread=False)
    def get_account(name: str) -> litestar.Response:
        content = account(app, name)
        if content is None:
            return _json({'code': 'no_account'}, 404)
        return _json(content)

    @litestar.get('/timeline', sync_to_thread=False)
    def get_timeline() -> litestar.Response:
        return _json(timeline(app))

    @litestar.get('/metrics', sync_to_thread=False)
    def get_metrics() -> litestar.Response:
        page = app.find('metrics', metrics.Metrics).page()
        return litestar.Response(page, media_type=METRICS_MEDIA_TYPE)

    return litestar.Litestar(
        [get_status, get_upstreams, get_account, get_timeline, get_metrics],
        openapi_config=None,
        logging_config=None,
    )


def _live(
    app: kernel.Application, membership_service: membership.Membership
) -> dict[str, list[str]]:
    data_centres = {
        member.data_centre for member in membership_service.members().values()
    }
    data_centres.add(app.identity.data_centre)
    return {
        data_centre: membership_service.live(data_centre)
        for data_centre in sorted(data_centres)
    }


def _member(member: membership.Member, now: float) -> dict[str, Any]:
    fields = member._asdict()
    heard = fields.pop('heard')
    fields['silent_seconds'] = None if heard < 0 else round(now - heard, 3)
    return fields


def _json(
    content: Any, code: int = status_codes.HTTP_200_OK
) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(content),
        status_code=code,
        media_type=JSON_MEDIA_TYPE,
    )
