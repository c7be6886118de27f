"""A store that sends items and answers as others leave them."""

import asyncio
import bisect
from collections.abc import Iterable
import contextlib
import json
import time
from typing import Any
from urllib import parse

from corianderspar import http_connections
from tests.platform import fakes

PAGE_BYTES = 10**6  # of a range
HISTORY_SECONDS = 20.0  # for which the store keeps changes


class SoakStore(fakes.FakeStoreServer):
    """A store that sends items as they were left, and answers in any way.

    Attributes
    ----------
    oldest : int
        Watches from before this revision get 410.
    as_of : int or None
        What watches state instead of the revision.
    manner : str
        How answers are sent: `framed`, `chunked`, `closing` (the connection
        ends with the answer) or `head` (it ends with the head).
    bytes_per_second, piece_bytes : float, int
        How fast an answer is sent, and in which pieces.
    """

    def __init__(self) -> None:
        super().__init__()
        self.oldest = 0
        self.as_of: int | None = None
        self.manner = 'framed'
        self.bytes_per_second = float('inf')
        self.piece_bytes = 65536
        self._encoded_by_revision: dict[int, bytes] = {}
        self._written: list[tuple[float, int]] = []  # seconds, revision

    def write(self, key: str, value: Any, raw: bytes = b'') -> None:
        """Write a value, or the item `raw`, where REV is its revision."""
        super().write(key, value)
        now = time.monotonic()
        self._written.append((now, self.revision))
        while self._written[0][0] < now - HISTORY_SECONDS:
            self.oldest = max(self.oldest, self._written.pop(0)[1])
        number = str(self.revision).encode()
        self._encoded_by_revision[self.revision] = (
            raw.replace(b'REV', number)
            or json.dumps(self.history[-1]).encode()
        )

    def copy(self) -> tuple[Any, ...]:
        return dict(self.entries_by_key), list(self.history), self.revision

    def restore(self, copied: tuple[Any, ...]) -> None:
        self.entries_by_key, self.history, self.revision = copied
        self._written = [w for w in self._written if w[1] <= self.revision]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        query = dict(parse.parse_qsl(scope['query_string'].decode()))
        prefix = query.get('prefix', '')
        status, body = self.status, [b'{}']
        if status == 200 and scope['path'] == '/-/kv-range':
            body = self._range(prefix, query.get('after', ''))
        elif status == 200:
            after = int(query['after'])
            if after >= self.oldest and not self._items_since(after, prefix):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(query['wait_ms']) / 1000):
                        await self._changed.wait()
            events = self._encoded(self._items_since(after, prefix))
            end = b'],"as_of":%d}' % (self.as_of or self.revision)
            body = [b'{"events":[', *events, end]
            if after < self.oldest:
                status, body = 410, [b'{}']
        await self._send(scope, send, status, body)

    def _range(self, prefix: str, after: str) -> list[bytes]:
        keys = sorted(
            key
            for key in self.entries_by_key
            if key.startswith(prefix) and key > after
        )
        items, size = [], 0
        for key in keys[:500]:
            item = self.entries_by_key[key]
            size += len(self._encoded_by_revision[item['rev']])
            if items and size > PAGE_BYTES:
                break
            items.append(item)
        has_more = b'true' if len(items) < len(keys) else b'false'
        end = b'],"has_more":%s,"as_of":%d}' % (has_more, self.revision)
        return [b'{"items":[', *self._encoded(items), end]

    def _items_since(self, after: int, prefix: str) -> list[dict[str, Any]]:
        at = bisect.bisect(self.history, after, key=lambda item: item['rev'])
        return [i for i in self.history[at:] if i['key'].startswith(prefix)]

    def _encoded(self, items: Iterable[dict[str, Any]]) -> list[bytes]:
        """Return the parts of a list; a large one is never joined."""
        encoded = [self._encoded_by_revision[item['rev']] for item in items]
        return [part for each in encoded for part in (b',', each)][1:]

    async def _send(
        self, scope: Any, send: Any, status: int, body: list[bytes]
    ) -> None:
        headers = [] if self.era is None else [('store-era', self.era)]
        if self.manner != 'chunked':
            headers.append(('content-length', str(sum(map(len, body)))))
        if self.manner == 'closing':
            headers.append(('connection', 'close'))
        await fakes.send_head(send, status, headers)
        if self.manner == 'head':
            await asyncio.sleep(0.01)
            scope['extensions'][http_connections.BREAK_OFF]()
            return
        for part in body:
            for at in range(0, len(part), self.piece_bytes):
                piece = part[at : at + self.piece_bytes]
                await fakes.send_chunk(send, piece, True)
                await asyncio.sleep(len(piece) / self.bytes_per_second)
        await fakes.send_chunk(send, b'', False)
