"""Bounded, non-blocking output of log lines to a file descriptor."""

import asyncio
import collections
import os
import time
from typing import Any

import eliot

from corianderspar import logs

FLUSH_INTERVAL_SECONDS = 0.1  # also the longest delay of a line
MAX_BUFFERED_BYTES = 256 * 1024  # lines beyond it are dropped and counted
# Of lines about requests and callers. Callers decide how many there are, so
# that these may not crowd out the others.
CALLER_EVENTS = ('request.', 'caller.', 'loop.')
CALLER_BYTES_PER_SECOND = 256 * 1024
CALLER_BURST_BYTES = 1024 * 1024


class LogWriter:
    """Writes log lines without ever blocking the event loop.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set non-blocking.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last line that reported a number of them.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._caller_bytes = float(CALLER_BURST_BYTES)  # that may be written
        self._refilled_at = time.monotonic()
        self._unwritten = b''
        self._has_lines = asyncio.Event()

    def attach(self) -> None:
        """Receive all log messages of this process."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.enqueue)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Buffer a line, or drop it if the buffer is full."""
        line = (logs.format_line(message) + '\n').encode(errors='replace')
        if self._buffered_bytes + len(
            line
        ) > MAX_BUFFERED_BYTES or not self._is_allowed(message, len(line)):
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._has_lines.set()

    def _is_allowed(self, message: dict[str, Any], size: int) -> bool:
        """Return whether a line fits what callers may cause."""
        if not message.get('message_type', '').startswith(CALLER_EVENTS):
            return True
        now = time.monotonic()
        self._caller_bytes = min(
            self._caller_bytes
            + (now - self._refilled_at) * CALLER_BYTES_PER_SECOND,
            CALLER_BURST_BYTES,
        )
        self._refilled_at = now
        if self._caller_bytes < size:
            return False
        self._caller_bytes -= size
        return True

    async def run(self) -> None:
        """Flush buffered lines periodically, until cancelled."""
        while True:
            await self._has_lines.wait()
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            self.flush()
            if not self._unwritten:
                self._has_lines.clear()

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        if self.dropped:
            notice = f'event=log.dropped lines={self.dropped}\n'.encode()
            self._lines.append(notice)
            self._buffered_bytes += len(notice)
            self.dropped = 0
        data = self._unwritten + b''.join(self._lines)
        self._lines.clear()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, and no other output is left for an error.
            written = len(data)
        self._unwritten = data[written:]
        self._buffered_bytes = len(self._unwritten)
