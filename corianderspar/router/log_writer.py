"""Log lines on a descriptor that may not take them: bounded, no waiting."""

import asyncio
import collections
import os
from typing import Any

import eliot

from corianderspar import logs

FLUSH_SECONDS = 0.1  # between writes; a line is at most this late
KEPT_BYTES = 256 * 1024  # waiting lines; more are dropped and counted


class LogWriter:
    """Writes log lines without ever blocking the event loop.

    Parameters
    ----------
    descriptor : int
        Where to; it is set non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that found no room since the last that said so.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._rest = b''
        self._has_lines = asyncio.Event()

    def attach(self) -> None:
        """Take all log messages of this process."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.take)

    def take(self, message: dict[str, Any]) -> None:
        """Keep a line to be written."""
        line = (logs.format_line(message) + '\n').encode()
        if self._bytes + len(line) > KEPT_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._bytes += len(line)
        self._has_lines.set()

    async def run(self) -> None:
        """Write what is kept, again and again."""
        while True:
            await self._has_lines.wait()
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()
            if not self._rest:
                self._has_lines.clear()

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        if self.dropped:
            lost = f'event=log.dropped lines={self.dropped}\n'.encode()
            self._lines.append(lost)
            self._bytes += len(lost)
            self.dropped = 0
        data = self._rest + b''.join(self._lines)
        self._lines.clear()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is no place left to say so.
            written = len(data)
        self._rest = data[written:]
        self._bytes = len(self._rest)
