"""A caller of a daemon in the same process, over its ASGI application."""

import asyncio
from typing import Any
from typing import NamedTuple

import msgspec

from corianderspar import clock as clocks
from corianderspar import edge
from corianderspar import fake_answers
from corianderspar import kernel
from corianderspar import request_context

LOST = 'lost'
RAN_HEADER = 'corianderspar-ran'
ANSWER_TOKENS = 4096
_DATA = 'data: '
_DONE = '[DONE]'


class Reply(NamedTuple):
    """What a caller saw.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection broke before the head.
    ran : str
        What a refusal said, ``yes`` for an answer, ``unknown`` for a
        broken connection.
    code : str
        Code of a refusal; ``lost`` for a broken connection.
    text : str
        The answer.
    ticket : str
        A ticket that came with it.
    """

    status: int
    ran: str
    code: str
    text: str = ''
    ticket: str = ''


class Call:
    """One send of a request by a caller.

    Parameters
    ----------
    body : str
        Tells the request from others; a resend has the same. Of an engine
        route, the prompt.
    path, key, ticket : str
        What the caller sends along.
    form : {'plain', 'whole', 'stream'}
        Plain route, or how a completion is wanted.
    """

    def __init__(
        self,
        body: str,
        path: str,
        key: str = '',
        ticket: str = '',
        form: str = 'plain',
    ) -> None:
        self.body = body
        self.path = path
        self.key = key
        self.ticket = ticket
        self.form = form
        self.sent = False
        self.reply: Reply | None = None
        self.replies = 0
        self.gone = asyncio.Event()
        self.answered = asyncio.Event()

    def deliver(self, reply: Reply, heads: int = 1) -> None:
        """Take a reply, and how many heads of answers came."""
        self.reply = reply
        self.replies += max(1, heads)
        self.answered.set()

    def expected(self) -> str:
        """Return the whole answer, or how that of a plain route begins."""
        if self.form == 'plain':
            return f'{self.body} ran as '
        return fake_answers.answer(self.body, ANSWER_TOKENS)

    def is_own(self, text: str) -> bool:
        """Return whether a text is this request's whole answer."""
        if self.form == 'plain':
            return text.startswith(self.expected())
        return text == self.expected()

    def content(self) -> bytes:
        """Return the body as it is sent."""
        if self.form == 'plain':
            return self.body.encode()
        return msgspec.json.encode(
            {
                'prompt': self.body,
                'max_tokens': ANSWER_TOKENS,
                'stream': self.form == 'stream',
            }
        )


class _Exchange:
    """The caller's end of one connection."""

    def __init__(self, content: bytes, gone: asyncio.Event) -> None:
        self.status = 0
        self.heads = 0
        self.headers: dict[str, str] = {}
        self.ended = False
        self._content: bytes | None = content
        self._gone = gone
        self._parts: list[bytes] = []

    async def receive(self) -> dict[str, Any]:
        """Give the request, and then the end of the connection."""
        if self._content is not None:
            content, self._content = self._content, None
            return {'type': 'http.request', 'body': content}
        await self._gone.wait()
        return {'type': 'http.disconnect'}

    async def send(self, message: dict[str, Any]) -> None:
        """Take a part of the answer."""
        if self._gone.is_set():
            raise OSError('the caller is gone')
        if message['type'] == 'http.response.start':
            self.heads += 1
            self.status = message['status']
            self.headers = {
                name.decode(): value.decode()
                for name, value in message['headers']
            }
            return
        self._parts.append(message['body'])
        self.ended = not message.get('more_body', False)

    @property
    def text(self) -> str:
        """All that came."""
        return b''.join(self._parts).decode()


async def send(
    app: kernel.Application, vm_clock: clocks.VirtualClock, call: Call
) -> None:
    """Send a request to a daemon and deliver the reply to the caller.

    Parameters
    ----------
    app : Application
        The daemon; if it ends, the connection breaks.
    vm_clock : VirtualClock
        Of its VM; a paused one takes nothing.
    call : Call
        What is sent.
    """
    exchange = _Exchange(call.content(), call.gone)
    reply = await _talk(app, vm_clock, call, call.path, exchange)
    if not call.gone.is_set():
        call.deliver(reply, exchange.heads)


async def take_ticket(
    app: kernel.Application, vm_clock: clocks.VirtualClock, call: Call
) -> Reply:
    """Take a ticket for a request, as a caller does."""
    path = f'{edge.TICKETS_PATH}{call.path}'
    exchange = _Exchange(b'', call.gone)
    reply = await _talk(app, vm_clock, call, path, exchange)
    if reply.status == 201:
        call.ticket = msgspec.json.decode(reply.text)['ticket']
    return reply


async def _talk(
    app: kernel.Application,
    vm_clock: clocks.VirtualClock,
    call: Call,
    path: str,
    exchange: _Exchange,
) -> Reply:
    scope = {
        'type': 'http',
        'method': 'POST',
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': _headers(call),
    }
    door = app.find('edge', edge.Edge)

    async def serve() -> None:
        await vm_clock.wait_running()
        await door(scope, exchange.receive, exchange.send)

    task = app.spawn(door.name, 'exchange', serve())
    try:
        await asyncio.wait([task])
    finally:
        task.cancel()
    await vm_clock.wait_running()
    return _reply(exchange, call)


def _headers(call: Call) -> list[tuple[bytes, bytes]]:
    headers = [(b'content-type', b'text/plain')]
    if call.key:
        headers.append((b'authorization', f'Bearer {call.key}'.encode()))
    if call.ticket:
        name = request_context.TICKET_HEADER.encode()
        headers.append((name, call.ticket.encode()))
    return headers


def _reply(exchange: _Exchange, call: Call) -> Reply:
    if not exchange.ended:
        return Reply(exchange.status, 'unknown', LOST)
    ran = exchange.headers.get(RAN_HEADER, 'yes')
    if exchange.headers.get('content-type') == 'text/event-stream':
        return _streamed(exchange)
    text = exchange.text
    if exchange.status >= 400 and text.startswith('{"error"'):
        error = msgspec.json.decode(text)['error']
        ticket = error.get('ticket', '')
        return Reply(exchange.status, ran, error['code'], '', ticket)
    if call.form == 'whole':
        text = msgspec.json.decode(text)['choices'][0]['text']
    return Reply(exchange.status, ran, '', text)


def _streamed(exchange: _Exchange) -> Reply:
    texts: list[str] = []
    for line in exchange.text.splitlines():
        if line == _DATA + _DONE:
            return Reply(exchange.status, 'yes', '', ''.join(texts))
        if line.startswith(_DATA):
            event = msgspec.json.decode(line[len(_DATA) :])
            if 'error' in event:
                error = event['error']
                return Reply(exchange.status, error['ran'], error['code'])
            texts.append(event['choices'][0]['text'])
    return Reply(exchange.status, 'unknown', LOST)
