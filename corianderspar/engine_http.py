"""The HTTP client of an engine; implements `engine.EngineClient`."""

from collections.abc import AsyncIterator
from typing import Any
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from expression import Error
from expression import Ok
from expression import Result
import httpx
import msgspec

from corianderspar import decoding
from corianderspar import engine

CONNECT_TIMEOUT_SECONDS = 1.0
STALL_TIMEOUT_SECONDS = 10.0


class ErrorBody(NamedTuple):
    """Body of a response that refuses a call."""

    code: str
    ran: bool


class _PieceFields(TypedDict):
    request_id: str
    position: int
    tokens: int
    text: str
    finish: NotRequired[str]


_PIECE_DECODER = msgspec.json.Decoder(_PieceFields)


class HttpEngine:
    """The client of one engine.

    Parameters
    ----------
    address : str
        Address of the engine, ip:port.
    client : httpx.AsyncClient
        HTTP client, shared by the engines of an application.
    stall_timeout : float
        Seconds without a byte after which a call fails as ``stalled``.
    """

    def __init__(
        self,
        address: str,
        client: httpx.AsyncClient,
        stall_timeout: float = STALL_TIMEOUT_SECONDS,
    ) -> None:
        self._base_url = f'http://{address}'
        self._client = client
        self._timeout = httpx.Timeout(
            stall_timeout, connect=CONNECT_TIMEOUT_SECONDS
        )

    async def prefill(
        self, call: engine.PrefillCall
    ) -> Result[engine.PrefillResult, engine.EngineError]:
        """Compute the KV cache of a prompt."""
        return await self._post('/prefill', call, engine.PrefillResult)

    async def transfer(
        self, call: engine.TransferCall
    ) -> Result[None, engine.EngineError]:
        """Make the engine fetch a KV cache from a prefill engine."""
        return await self._post('/transfer', call, None)

    async def decode(
        self, call: engine.DecodeCall
    ) -> AsyncIterator[engine.Piece]:
        """Stream an answer.

        Raises
        ------
        EngineFailure
            If the answer cannot be completed.
        """
        sent = False
        try:
            async with self._client.stream(
                'POST',
                f'{self._base_url}/decode',
                content=msgspec.json.encode(call._asdict()),
                timeout=self._timeout,
            ) as response:
                sent = True
                if response.status_code != httpx.codes.OK:
                    refusal = _refusal_error(await response.aread())
                    raise engine.EngineFailure(refusal)
                async for line in _lines(response):
                    yield _parse_piece(line)
        except httpx.HTTPError as error:
            raise engine.EngineFailure(
                _transport_error(error, sent)
            ) from error

    async def cancel(self, request_id: str) -> bool:
        """Stop a request and free its memory; return whether confirmed."""
        body = {'request_id': request_id}
        result = await self._post('/cancel', body, None)
        return result.is_ok()

    async def load(self) -> Result[engine.EngineLoad, engine.EngineError]:
        """Return the load that the engine reports."""
        try:
            response = await self._client.get(
                f'{self._base_url}/load', timeout=self._timeout
            )
        except httpx.HTTPError as error:
            return Error(_transport_error(error, False))
        return _parse_response(response, engine.EngineLoad)

    async def events(self) -> AsyncIterator[engine.CacheEvent]:
        """Stream the events of the prefix cache.

        Raises
        ------
        EngineFailure
            If the connection fails.
        """
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_SECONDS)
        try:
            async with self._client.stream(
                'GET', f'{self._base_url}/events', timeout=timeout
            ) as response:
                async for line in _lines(response):
                    yield _parse_record(line, engine.CacheEvent)
        except httpx.HTTPError as error:
            raise engine.EngineFailure(
                _transport_error(error, False)
            ) from error

    async def order(
        self, order: engine.Order
    ) -> Result[None, engine.EngineError]:
        """Send a command to the engine."""
        return await self._post('/order', order, None)

    async def _post(
        self, path: str, call: Any, record_type: type | None
    ) -> Result[Any, engine.EngineError]:
        body = call if isinstance(call, dict) else call._asdict()
        try:
            response = await self._client.post(
                self._base_url + path,
                content=msgspec.json.encode(body),
                timeout=self._timeout,
            )
        except httpx.HTTPError as error:
            return Error(_transport_error(error, True))
        return _parse_response(response, record_type)


def _transport_error(error: httpx.HTTPError, sent: bool) -> engine.EngineError:
    if isinstance(error, httpx.ConnectError | httpx.ConnectTimeout):
        return engine.EngineError('unreachable', False)
    if isinstance(error, httpx.TimeoutException):
        return engine.EngineError('stalled', sent)
    return engine.EngineError('died', True)


def _parse_response(
    response: httpx.Response, record_type: type | None
) -> Result[Any, engine.EngineError]:
    if response.status_code != httpx.codes.OK:
        return Error(_refusal_error(response.content))
    if record_type is None:
        return Ok(None)
    try:
        return Ok(_parse_record(response.content, record_type))
    except engine.EngineFailure as failure:
        return Error(failure.error)


async def _lines(response: httpx.Response) -> AsyncIterator[bytes]:
    # aiter_lines also decodes the text, which costs more than reading it
    # when every token is a line.
    rest = b''
    async for chunk in response.aiter_raw():
        *lines, rest = (rest + chunk).split(b'\n')
        for line in lines:
            yield line
    if rest:
        yield rest


def _parse_piece(line: bytes) -> engine.Piece:
    try:
        return engine.Piece(**_PIECE_DECODER.decode(line))
    except decoding.ERRORS as error:
        raise engine.EngineFailure(
            engine.EngineError('malformed', True)
        ) from error


def _parse_record(content: str | bytes, record_type: type) -> Any:
    try:
        fields = msgspec.json.decode(content)
        known = {
            name: fields[name] for name in _known_fields(record_type, fields)
        }
        return msgspec.convert(list(record_type(**known)), record_type)
    except (*decoding.ERRORS, TypeError, AttributeError) as error:
        raise engine.EngineFailure(
            engine.EngineError('malformed', True)
        ) from error


def _known_fields(record_type: Any, fields: dict[str, Any]) -> list[str]:
    return [name for name in record_type._fields if name in fields]


def _refusal_error(content: bytes) -> engine.EngineError:
    try:
        fields = msgspec.json.decode(content, type=dict[str, Any])
        return engine.EngineError(str(fields['code']), bool(fields['ran']))
    except (*decoding.ERRORS, KeyError):
        return engine.EngineError('malformed', True)
