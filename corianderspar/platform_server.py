"""Serves any `platform_client.PlatformClient` over HTTP, for stand-ins."""

import base64
from typing import Any

from expression import Result
import litestar
from litestar import status_codes
import msgspec

from corianderspar import platform_client


def make_app(served: platform_client.PlatformClient) -> litestar.Litestar:
    """Return the ASGI application of the platform."""

    @litestar.get('/read')
    async def read(key: str) -> litestar.Response:
        return _reply(await served.read(key))

    @litestar.get('/watch')
    async def watch(key: str, revision: int, wait: float) -> litestar.Response:
        return _reply(await served.watch(key, revision, wait))

    @litestar.get('/vms')
    async def vms() -> litestar.Response:
        return _reply(await served.vms())

    return litestar.Litestar(
        [read, watch, vms], openapi_config=None, logging_config=None
    )


def _reply(
    result: Result[Any, platform_client.PlatformError],
) -> litestar.Response:
    if result.is_error():
        missing = result.error.code == 'missing'
        status = (
            status_codes.HTTP_404_NOT_FOUND
            if missing
            else status_codes.HTTP_503_SERVICE_UNAVAILABLE
        )
        return _json({'code': result.error.code}, status)
    return _json(_fields(result.ok), status_codes.HTTP_200_OK)


def _fields(value: Any) -> Any:
    if value is None:
        return None
    if isinstance(value, platform_client.VmList):
        lines = [line._asdict() for line in value.vms]
        return {'revision': value.revision, 'vms': lines}
    data = base64.b64encode(value.data).decode()
    return {'revision': value.revision, 'data': data}


def _json(content: Any, status: int) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(content),
        status_code=status,
        media_type='application/json',
    )
