"""HTTP client of the platform."""

import base64
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import httpx
import msgspec

from corianderspar import decoding
from corianderspar import platform_client

TIMEOUT_SECONDS = 2.0
WATCH_GRACE_SECONDS = 2.0  # beyond the wait; then the call is abandoned


class HttpPlatformClient:
    """A `platform_client.PlatformClient` over HTTP.

    Parameters
    ----------
    addresses : tuple of str
        Addresses of the platform's servers, ip:port. Each call tries them in
        order until one answers with status 200 or 404.
    client : httpx.AsyncClient
        Shared with the rest of the application.
    """

    def __init__(
        self, addresses: tuple[str, ...], client: httpx.AsyncClient
    ) -> None:
        self._addresses = addresses
        self._client = client

    async def read(
        self, key: str
    ) -> Result[platform_client.Value, platform_client.PlatformError]:
        """Read a value."""
        result = await self._get('/read', {'key': key}, TIMEOUT_SECONDS)
        return result.bind(_parse_value)

    async def watch(
        self, key: str, revision: int, wait: float
    ) -> Result[platform_client.Value | None, platform_client.PlatformError]:
        """Wait up to ``wait`` seconds for a change after ``revision``."""
        query = {'key': key, 'revision': revision, 'wait': wait}
        result = await self._get('/watch', query, wait + WATCH_GRACE_SECONDS)
        return result.bind(_parse_optional_value)

    async def vms(
        self,
    ) -> Result[platform_client.VmList, platform_client.PlatformError]:
        """Read the list of VMs."""
        return (await self._get('/vms', {}, TIMEOUT_SECONDS)).bind(
            _parse_vm_list
        )

    async def _get(
        self, path: str, query: dict[str, Any], timeout: float
    ) -> Result[Any, platform_client.PlatformError]:
        for address in self._addresses:
            try:
                response = await self._client.get(
                    f'http://{address}{path}', params=query, timeout=timeout
                )
                if response.status_code == httpx.codes.NOT_FOUND:
                    return Error(platform_client.PlatformError('missing'))
                if response.status_code == httpx.codes.OK:
                    return Ok(msgspec.json.decode(response.content))
            except (httpx.HTTPError, *decoding.ERRORS):
                continue
        return Error(platform_client.PlatformError('unreachable'))


def _parse_value(
    fields: dict[str, Any],
) -> Result[platform_client.Value, platform_client.PlatformError]:
    try:
        data = base64.b64decode(fields['data'], validate=True)
        return Ok(platform_client.Value(int(fields['revision']), data))
    except (KeyError, ValueError, TypeError):
        return Error(platform_client.PlatformError('malformed'))


def _parse_optional_value(
    fields: dict[str, Any] | None,
) -> Result[platform_client.Value | None, platform_client.PlatformError]:
    return Ok(None) if fields is None else _parse_value(fields)


def _parse_vm_list(
    fields: dict[str, Any],
) -> Result[platform_client.VmList, platform_client.PlatformError]:
    try:
        vms = tuple(platform_client.ListedVm(**vm) for vm in fields['vms'])
        return Ok(platform_client.VmList(int(fields['revision']), vms))
    except (KeyError, ValueError, TypeError):
        return Error(platform_client.PlatformError('malformed'))
