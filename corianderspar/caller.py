"""A caller in memory: the twin of an HTTP client, for tests."""

import asyncio
from typing import Any
from typing import NamedTuple

import msgspec

from corianderspar import http_io


class Answer(NamedTuple):
    """What a caller got.

    Attributes
    ----------
    status : int
        HTTP status code; 0 if nothing came.
    headers_by_name : dict of str to str
        The answer's headers.
    body : bytes
        All that came of the body.
    ended : bool
        Whether the exchange ended in order.
    """

    status: int
    headers_by_name: dict[str, str]
    body: bytes
    ended: bool

    @property
    def ran(self) -> str:
        """Whether the daemon says that the request ran."""
        return self.headers_by_name.get('corianderspar-ran', '')

    @property
    def code(self) -> str:
        """The problem's code; empty if there is none."""
        return self.error.get('code', '')

    @property
    def error(self) -> dict[str, Any]:
        """The problem, from the body or the stream's last event."""
        last = self.body.strip().rpartition(b'\n\n')[2]
        try:
            fields = msgspec.json.decode(last.removeprefix(b'data: '))
        except msgspec.MsgspecError:
            return {}
        found = fields.get('error') if isinstance(fields, dict) else None
        return found if isinstance(found, dict) else {}

    @property
    def text(self) -> str:
        """The answer's text, of a whole completion or a stream."""
        if not self.body.startswith(b'data: '):
            return msgspec.json.decode(self.body)['choices'][0]['text']
        parts = []
        for event in self.body.split(b'\n\n'):
            content = event.removeprefix(b'data: ')
            if content.startswith(b'{"id"'):
                fields = msgspec.json.decode(content)
                parts.append(fields['choices'][0]['text'])
        return ''.join(parts)

    @property
    def whole(self) -> bool:
        """Whether the answer is one that a caller may take as whole."""
        if self.status != 200 or not self.ended:
            return False
        if self.body.startswith(b'data: '):
            return self.body.endswith(b'data: [DONE]\n\n')
        return True


class Exchange:
    """One request on its way; `answer` holds what has come.

    Parameters
    ----------
    app : ASGI application
        The edge that serves it.
    """

    def __init__(self, app: Any) -> None:
        self._app = app
        self._status = 0
        self._headers_by_name: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._ended = False
        self._gone = asyncio.Event()
        self.first_part = asyncio.Event()

    @property
    def answer(self) -> Answer:
        """What has come so far."""
        return Answer(
            self._status,
            self._headers_by_name,
            b''.join(self._parts),
            self._ended,
        )

    def leave(self) -> None:
        """Close the connection."""
        self._gone.set()

    async def run(
        self,
        method: str,
        path: str,
        headers: http_io.Headers = (),
        body: bytes = b'',
        query: str = '',
    ) -> Answer:
        """Send the request and return the answer when it has ended."""
        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'raw_path': path.encode('latin-1'),
            'query_string': query.encode('latin-1'),
            'headers': [
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in headers
            ],
        }
        asked = iter([{'type': 'http.request', 'body': body}])

        async def receive() -> dict[str, Any]:
            for message in asked:
                return message
            await self._gone.wait()
            return {'type': 'http.disconnect'}

        await self._app(scope, receive, self._take)
        return self.answer

    async def _take(self, message: dict[str, Any]) -> None:
        if self._gone.is_set():
            raise OSError('the caller has gone')
        if message['type'] == 'http.response.start':
            self._status = message['status']
            self._headers_by_name = {
                name.decode('latin-1'): value.decode('latin-1')
                for name, value in message['headers']
            }
            return
        self._parts.append(message.get('body', b''))
        self._ended = not message.get('more_body', False)
        self.first_part.set()


async def send(
    app: Any,
    method: str,
    path: str,
    headers: http_io.Headers = (),
    body: bytes = b'',
    query: str = '',
) -> Answer:
    """Send a request to an edge and return the whole answer."""
    exchange = Exchange(app)
    return await exchange.run(method, path, headers, body, query)
