"""The platform over HTTP: the client for `platform_client.PlatformClient`."""

import base64
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import httpx
import msgspec

from corianderspar import platform_client

TIMEOUT_SECONDS = 2.0
GRACE_SECONDS = 2.0


class HttpPlatformClient:
    """Reads, watches and lists over HTTP.

    Parameters
    ----------
    addresses : tuple of str
        ip:port of the platform's services; the first that answers is used.
    client : httpx.AsyncClient
        Shared within the application.
    """

    def __init__(
        self, addresses: tuple[str, ...], client: httpx.AsyncClient
    ) -> None:
        self._addresses = addresses
        self._client = client

    async def read(
        self, key: str
    ) -> Result[platform_client.Value, platform_client.PlatformError]:
        """Read a value; counts as one call."""
        found = await self._get('/read', {'key': key}, TIMEOUT_SECONDS)
        return found.bind(_value)

    async def watch(
        self, key: str, revision: int, wait: float
    ) -> Result[platform_client.Value | None, platform_client.PlatformError]:
        """Wait for a value above ``revision``; None after ``wait`` s."""
        query = {'key': key, 'revision': revision, 'wait': wait}
        found = await self._get('/watch', query, wait + GRACE_SECONDS)
        return found.bind(_value_or_none)

    async def vms(
        self,
    ) -> Result[platform_client.VmList, platform_client.PlatformError]:
        """Read the list of VMs; counts as one call."""
        return (await self._get('/vms', {}, TIMEOUT_SECONDS)).bind(_list)

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
            except (httpx.HTTPError, msgspec.MsgspecError):
                continue
        return Error(platform_client.PlatformError('unreachable'))


def _value(
    fields: dict[str, Any],
) -> Result[platform_client.Value, platform_client.PlatformError]:
    try:
        data = base64.b64decode(fields['data'], validate=True)
        return Ok(platform_client.Value(int(fields['revision']), data))
    except (KeyError, ValueError, TypeError):
        return Error(platform_client.PlatformError('malformed'))


def _value_or_none(
    fields: dict[str, Any] | None,
) -> Result[platform_client.Value | None, platform_client.PlatformError]:
    return Ok(None) if fields is None else _value(fields)


def _list(
    fields: dict[str, Any],
) -> Result[platform_client.VmList, platform_client.PlatformError]:
    try:
        lines = tuple(
            platform_client.ListedVm(**line) for line in fields['vms']
        )
        return Ok(platform_client.VmList(int(fields['revision']), lines))
    except (KeyError, ValueError, TypeError):
        return Error(platform_client.PlatformError('malformed'))
