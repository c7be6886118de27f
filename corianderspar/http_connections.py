"""The callers' connections of an HTTP server."""

import asyncio
import contextlib
import select
import socket
import struct
from typing import Any

import h11
from h11 import _receivebuffer
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import h11_impl

from corianderspar import connection_table

# For the rest of a request's head to arrive once the server closes. The part
# that has arrived is of a request that its caller counts as sent.
HEAD_SECONDS = 1.0
RECHECK_SECONDS = 0.05
# For the rest of a body to arrive after its request was answered.
REST_SECONDS = 10.0
BREAK_OFF = 'corianderspar.break_off'  # name of an extension of ASGI
NO_LINGER = struct.pack('ii', 1, 0)  # closing then resets the connection
READ_BYTES = 16 * 1024  # received at once
AHEAD_BYTES = 16 * 1024  # kept of later requests while one is served
EVENTS_PER_TURN = 32  # parsed in a row before other tasks get a turn
# What a request in flight holds, besides its head and body.
REQUEST_BYTES = 32 * 1024
# What a field of its head holds, besides its text.
HEADER_BYTES = 1024
HEAD_COPIES = 4  # of the text of a head, decoded and encoded again
BODY_COPIES = 2  # of a body, while it is put together or sent
WINDOW_BYTES = 64 * 1024  # that the system receives while nothing is read
RETURN_SECONDS = 1  # Retry-After of refusals

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Bounds:
    """What the connections of a server share.

    Parameters
    ----------
    closing_wait, head_timeout : float
        As in `http_server.HttpServer`.
    table : ConnectionTable
        The connections of the server.

    Attributes
    ----------
    is_closing : bool
        Whether the server closes.
    turns : _Turns
        Of connections that have received more than they may parse at once.
    """

    def __init__(
        self,
        closing_wait: float,
        head_timeout: float,
        table: connection_table.ConnectionTable,
    ) -> None:
        self.closing_wait = closing_wait
        self.head_timeout = head_timeout
        self.table = table
        self.is_closing = False
        self.turns = _Turns()


class _Turns:
    """Lets connections parse in turn, one in each turn of the event loop.

    The one with the least to parse comes first.
    """

    def __init__(self) -> None:
        self._waiting: dict[Connection, None] = {}  # in order
        self._is_scheduled = False

    def add(self, connection: 'Connection') -> None:
        """Let a connection parse once it is its turn."""
        self._waiting.setdefault(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        connection = min(self._waiting, key=_buffered_bytes)
        del self._waiting[connection]
        connection.take_turn()
        self._schedule()


def _buffered_bytes(connection: 'Connection') -> int:
    return connection.conn.buffered_bytes


class _Parser(h11.Connection):
    """A parser that lets other tasks have a turn, and counts what is kept.

    Attributes
    ----------
    request_bytes : int
        What the request that was parsed last holds.
    has_more : bool
        Whether it stopped although more events may have been received.
    """

    def __init__(self, max_head_bytes: int) -> None:
        super().__init__(h11.SERVER, max_head_bytes)
        self.request_bytes = 0
        self.has_more = False
        self._event_count = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that were received and not parsed."""
        return len(self._receive_buffer)

    def clear(self) -> None:
        """Drop what was received and not parsed."""
        self._receive_buffer = _receivebuffer.ReceiveBuffer()

    def begin_turn(self) -> None:
        """Allow for the events of one turn."""
        self.has_more = False
        self._event_count = 0

    def next_event(self) -> Any:
        """Return the next event; none after those of one turn."""
        if self._event_count >= EVENTS_PER_TURN:
            self.has_more = True
            return h11.NEED_DATA
        self._event_count += 1
        event = super().next_event()
        if isinstance(event, h11.Data):
            if self.our_state is h11.DONE:
                return event  # of a body that is dropped
            self.request_bytes += BODY_COPIES * len(event.data)
        elif isinstance(event, h11.Request):
            self.request_bytes = (
                REQUEST_BYTES
                + HEADER_BYTES * len(event.headers)
                + HEAD_COPIES * len(event.target)
                + HEAD_COPIES
                * sum(len(name) + len(value) for name, value in event.headers)
            )
        return event


class _Flow(flow_control.FlowControl):
    """Flow control that reads no more than may be kept."""

    def __init__(self, connection: 'Connection') -> None:
        super().__init__(connection.transport)
        self._connection = connection

    def resume_reading(self) -> None:
        """Read on, unless enough was received already."""
        if self._connection.may_read:
            super().resume_reading()

    def pause_reading(self) -> None:
        """Read nothing, also if the transport was told to read on."""
        super().pause_reading()
        self._transport.pause_reading()


class Connection(h11_impl.H11Protocol):
    """A caller's connection.

    Its idle timeout may rise while it is open. Requests that were received
    while another one was being answered are answered too, and so are those
    that cross the end of the server. A request waits until the answer before
    it was read.

    Parameters
    ----------
    bounds : Bounds
        Those of the server.
    """

    def __init__(self, *args: Any, bounds: Bounds, **options: Any) -> None:
        super().__init__(*args, **options)
        self.state = connection_table.State.UNUSED
        self.since = self.loop.time()
        self.held_bytes = 0
        max_head_bytes = self.config.h11_max_incomplete_event_size
        assert max_head_bytes is not None
        self.conn: _Parser = _Parser(max_head_bytes)
        self._bounds = bounds
        self._table = bounds.table
        self._close_at: float | None = None
        self._arrival_timer: asyncio.TimerHandle | None = None
        self._unread_since: float | None = None
        self._has_turn = False

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begin to serve, for a short time if the server closes."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        # `pause_writing` then tells of any byte that is left to write.
        transport.set_write_buffer_limits(high=0)
        self.flow = _Flow(self)
        self._table.add(self)
        self._time_idle()
        if self._bounds.is_closing:
            self.shutdown()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the time of a request's arrival, too."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._time_arrival()
        self._table.discard(self)
        # The connection is part of reference cycles, which may be collected
        # late. Its request goes with the task that serves it.
        self.conn.clear()
        self.headers = []
        self.scope = {}  # type: ignore[typeddict-item]
        self.cycle = None  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Begin, or end, the time in which a request has to arrive."""
        super().data_received(data)
        self._after_events()

    @property
    def may_read(self) -> bool:
        """Whether more may be received now."""
        if self.conn.has_more or self._is_waiting_to_be_read():
            return False
        if self.conn.their_state not in (h11.IDLE, h11.SEND_BODY):
            return self.conn.buffered_bytes < AHEAD_BYTES
        return (
            not self._has_request()
            or len(self.cycle.body) <= flow_control.HIGH_WATER_LIMIT
        )

    def handle_events(self) -> None:
        """Handle what was received; give the application `break_off`."""
        if self._is_waiting_to_be_read():
            self.flow.pause_reading()
            return
        if (
            self._table.is_full
            and not self._has_request()
            and not self._has_turn
        ):
            # Its head is parsed once those before it were refused.
            self.conn.has_more = True
            self.flow.pause_reading()
            self._bounds.turns.add(self)
            return
        self.conn.begin_turn()
        super().handle_events()
        if self._has_request():
            scope: dict[str, Any] = self.scope  # type: ignore[assignment]
            scope['extensions'] = {BREAK_OFF: self.break_off}
        if self.conn.has_more:
            self.flow.pause_reading()
            self._bounds.turns.add(self)
        elif not self.may_read:
            self.flow.pause_reading()

    def take_turn(self) -> None:
        """Parse the events of another turn."""
        if self.transport.is_closing() or not self.conn.has_more:
            self.conn.has_more = False
            return
        if self._has_left():
            self._cut_off()
            return
        self._has_turn = True
        try:
            self.handle_events()
        finally:
            self._has_turn = False
        self.flow.resume_reading()
        self._after_events()

    def _is_waiting_to_be_read(self) -> bool:
        """Return whether an answer has to be read before the next request."""
        return self._unread_since is not None and not self._has_request()

    def pause_writing(self) -> None:
        """Begin the time in which the caller has to read."""
        super().pause_writing()
        self._unread_since = self.loop.time()
        self._account()

    def resume_writing(self) -> None:
        """Go on with the next request, if it has been received."""
        is_next = self._is_waiting_to_be_read()
        self._unread_since = None
        super().resume_writing()
        if is_next and not self.transport.is_closing():
            self.handle_events()
            self.flow.resume_reading()
        self._after_events()

    def on_response_complete(self) -> None:
        """Go on with the next request, if it has been received."""
        self.conn.request_bytes = 0
        # An idle connection keeps no head.
        self.headers = []
        self.scope = self.cycle.scope = {}  # type: ignore[typeddict-item]
        super().on_response_complete()
        self.flow.resume_reading()
        self._after_events()
        if self._bounds.is_closing:
            self.shutdown()

    def shutdown(self) -> None:
        """Close the connection after the requests that were sent."""
        if self.transport.is_closing():
            return
        if self._has_request():
            if not self.conn.buffered_bytes:
                super().shutdown()
        elif self._close_at is None:
            self._close_at = self.loop.time() + self._bounds.closing_wait
            self._close_if_idle()
        else:
            self._close_if_idle()

    def shed(self, reason: str) -> None:
        """Refuse what arrives, or close the connection at once."""
        if self.conn.our_state is h11.SEND_RESPONSE and (
            self._is_receiving_body() and not self.transport.is_closing()
        ):
            self._refuse(
                503,
                b'too much is being received\n',
                [(b'retry-after', b'%d' % RETURN_SECONDS)],
            )
            # To the application, the caller has left.
            self.cycle.disconnected = True
            self.cycle.response_complete = True
            self.cycle.body.clear()
            self.cycle.message_event.set()
            self.on_response_complete()
            if reason == 'memory' and self._unread_since is None:
                return  # the rest of the body is read and dropped
        self._cut_off()

    def check(self, now: float) -> None:
        """Close the connection if its caller left, or never reads."""
        if self._unread_since is not None:
            waited = now - self._unread_since
            if waited >= self._table.limits.read_seconds:
                self._table.cut_off(self, 'unread')
                self._cut_off()
                return
        if self.flow.read_paused and self._has_left():
            # Nothing else tells while reading is paused.
            self._cut_off()
            return
        self._account()

    def break_off(self) -> None:
        """Close the connection at once, as a killed process would.

        To a caller of HTTP/1.0 an answer without a length ends with its
        connection. It is complete unless the connection is reset.
        """
        if self._has_request() and self.scope['http_version'] == '1.0':
            self._reset_on_close()
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

    def _after_events(self) -> None:
        self._time_arrival()
        self._account()

    def _time_arrival(self) -> None:
        """Begin, or end, the time in which bytes have to arrive.

        These are those of a head, or of the rest of a body whose request was
        answered. Without them, the connection is idle.
        """
        if self.transport.is_closing() or self._has_request():
            limit = 0.0
        elif self._is_receiving_body():
            limit = REST_SECONDS
        elif self.conn.buffered_bytes and not (
            self.conn.has_more or self._is_waiting_to_be_read()
        ):
            limit = self._bounds.head_timeout
        else:
            limit = 0.0
            if self.timeout_keep_alive_task is None:
                self._time_idle()
        if not limit and self._arrival_timer is not None:
            self._arrival_timer.cancel()
            self._arrival_timer = None
        elif limit and self._arrival_timer is None:
            self._arrival_timer = self.loop.call_later(
                limit, self._end_arrival
            )

    def _time_idle(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def _end_arrival(self) -> None:
        """Refuse a head, or drop a body, that did not arrive in time."""
        self._arrival_timer = None
        if self.transport.is_closing():
            return
        if self._is_receiving_body():
            self._table.cut_off(self, 'slow')
            self._cut_off()
            return
        self._refuse(
            408,
            b'the head of the request came too slowly\n',
            [(b'connection', b'close')],
        )
        self.transport.close()

    def _refuse(
        self, status: int, text: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Answer a request without the application."""
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', b'%d' % len(text)),
            *headers,
        ]
        response = h11.Response(status_code=status, headers=headers)
        for event in (response, h11.Data(data=text), h11.EndOfMessage()):
            self.transport.write(self.conn.send(event))

    def _account(self) -> None:
        """Tell the table what the connection does and holds."""
        state = self._find_state()
        if state is not self.state:
            self.state = state
            self.since = self.loop.time()
        if self.transport.is_closing() and self._unread_since is None:
            held_bytes = 0
        else:
            held_bytes = (
                self.conn.buffered_bytes
                + self.conn.request_bytes
                + self.transport.get_write_buffer_size()
            )
            if self.flow.read_paused:
                held_bytes += WINDOW_BYTES
        if self.flow.read_paused or self._unread_since is not None:
            self._table.watch(self)
        else:
            self._table.unwatch(self)
        if held_bytes != self.held_bytes:
            self._table.set_held(self, held_bytes)

    def _find_state(self) -> connection_table.State:
        if self._unread_since is not None:
            return connection_table.State.UNREAD
        if self._has_request():
            if self.cycle.more_body:
                return connection_table.State.RECEIVING
            if self.flow.read_paused:
                return connection_table.State.AHEAD
            return connection_table.State.SERVED
        if self.conn.buffered_bytes or self._is_receiving_body():
            return connection_table.State.RECEIVING
        if self.cycle is None:
            return connection_table.State.UNUSED
        return connection_table.State.IDLE

    def _has_request(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _is_receiving_body(self) -> bool:
        return self.conn.their_state is h11.SEND_BODY

    def _has_left(self) -> bool:
        """Return whether the caller closed its end."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info('socket').fileno(), _LEFT)
        return bool(poll.poll(0))

    def _close_if_idle(self) -> None:
        """Close, unless a request may have been sent or is under way."""
        if self.transport.is_closing() or self._has_request():
            return
        assert self._close_at is not None
        remaining = self._close_at - self.loop.time()
        if remaining <= -HEAD_SECONDS or (
            remaining <= 0
            and not self.conn.buffered_bytes
            and not is_readable(self.transport.get_extra_info('socket'))
        ):
            super().shutdown()
            return
        self.loop.call_later(
            max(remaining, RECHECK_SECONDS), self._close_if_idle
        )

    def _cut_off(self) -> None:
        """Close at once; an answer that was not read looks incomplete."""
        if self._unread_since is not None:
            self._reset_on_close()
        self.transport.abort()

    def _reset_on_close(self) -> None:
        with contextlib.suppress(OSError):  # it may be closed already
            self.transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )


def is_readable(checked: Any) -> bool:
    """Return whether a socket has bytes, connections or an end to read."""
    poll = select.poll()
    poll.register(checked.fileno(), select.POLLIN)
    return bool(poll.poll(0))
