"""The callers' connections of an HTTP server."""

import asyncio
import contextlib
import select
import socket
import struct
from typing import Any

import h11
from uvicorn.protocols.http import h11_impl

# For the rest of a request's head to arrive once the server closes. The part
# that has arrived is of a request that its caller counts as sent.
HEAD_SECONDS = 1.0
RECHECK_SECONDS = 0.05
BREAK_OFF = 'corianderspar.break_off'  # name of an extension of ASGI
NO_LINGER = struct.pack('ii', 1, 0)  # closing then resets the connection


class Bounds:
    """What the connections of a server share.

    Parameters
    ----------
    closing_wait, head_timeout : float
        As in `http_server.HttpServer`.

    Attributes
    ----------
    is_closing : bool
        Whether the server closes.
    """

    def __init__(self, closing_wait: float, head_timeout: float) -> None:
        self.closing_wait = closing_wait
        self.head_timeout = head_timeout
        self.is_closing = False


class Connection(h11_impl.H11Protocol):
    """A caller's connection.

    Its idle timeout may rise while it is open. Requests that were received
    while another one was being answered are answered too, and so are those
    that cross the end of the server.

    Parameters
    ----------
    bounds : Bounds
        Those of the server.
    """

    def __init__(self, *args: Any, bounds: Bounds, **options: Any) -> None:
        super().__init__(*args, **options)
        self._bounds = bounds
        self._close_at: float | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begin to serve, for a short time if the server closes."""
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )
        if self._bounds.is_closing:
            self.shutdown()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the time of a head, too."""
        super().connection_lost(exc)
        self._time_head()

    def data_received(self, data: bytes) -> None:
        """Begin, or end, the time in which a head has to arrive."""
        super().data_received(data)
        self._time_head()

    def _time_head(self) -> None:
        is_arriving = (
            not self._has_request()
            and not self.transport.is_closing()
            and bool(self.conn.trailing_data[0])
        )
        if not is_arriving and self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
        elif is_arriving and self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self._bounds.head_timeout, self._refuse_head
            )

    def _refuse_head(self) -> None:
        """Answer a request whose head did not arrive in time."""
        if self.transport.is_closing():
            return
        text = b'the head of the request came too slowly\n'
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', b'%d' % len(text)),
            (b'connection', b'close'),
        ]
        response = h11.Response(status_code=408, headers=headers)
        for event in (response, h11.Data(data=text), h11.EndOfMessage()):
            self.transport.write(self.conn.send(event))
        self.transport.close()

    def on_response_complete(self) -> None:
        """Go on with the next request, if it has been received."""
        super().on_response_complete()
        self._time_head()
        if self._bounds.is_closing:
            self.shutdown()

    def shutdown(self) -> None:
        """Close the connection after the requests that were sent."""
        if self.transport.is_closing():
            return
        if self._has_request():
            following, _is_closed = self.conn.trailing_data
            if not following:
                super().shutdown()
        elif self._close_at is None:
            self._close_at = self.loop.time() + self._bounds.closing_wait
            self._close_if_idle()
        else:
            self._close_if_idle()

    def _has_request(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _close_if_idle(self) -> None:
        """Close, unless a request may have been sent or is under way."""
        if self.transport.is_closing() or self._has_request():
            return
        assert self._close_at is not None
        remaining = self._close_at - self.loop.time()
        following, _is_closed = self.conn.trailing_data
        if remaining <= -HEAD_SECONDS or (
            remaining <= 0
            and not following
            and not is_readable(self.transport.get_extra_info('socket'))
        ):
            super().shutdown()
            return
        self.loop.call_later(
            max(remaining, RECHECK_SECONDS), self._close_if_idle
        )

    def handle_events(self) -> None:
        """Handle what was received; give the application `break_off`."""
        super().handle_events()
        if self._has_request():
            scope: dict[str, Any] = self.scope  # type: ignore[assignment]
            scope['extensions'] = {BREAK_OFF: self.break_off}

    def break_off(self) -> None:
        """Close the connection at once, as a killed process would.

        To a caller of HTTP/1.0 an answer without a length ends with its
        connection. It is complete unless the connection is reset.
        """
        if self._has_request() and self.scope['http_version'] == '1.0':
            with contextlib.suppress(OSError):  # it may be closed already
                self.transport.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
        self.transport.abort()

    def raise_idle_timeout(self, seconds: float) -> None:
        """Raise the idle timeout, also that of an idle time that has begun."""
        longer = seconds - self.timeout_keep_alive
        if longer <= 0:
            return
        self.timeout_keep_alive = seconds  # type: ignore[assignment]
        timer = self.timeout_keep_alive_task
        if timer is not None:
            timer.cancel()
            self.timeout_keep_alive_task = self.loop.call_at(
                timer.when() + longer, self.timeout_keep_alive_handler
            )


def is_readable(checked: Any) -> bool:
    """Return whether a socket has bytes, connections or an end to read."""
    poll = select.poll()
    poll.register(checked.fileno(), select.POLLIN)
    return bool(poll.poll(0))
