"""Service that exchanges typed messages with other daemons."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import channel as channels
from corianderspar import kernel
from corianderspar import wire

ASK_TIMEOUT_SECONDS = 0.5
MAX_TRACKED_INCARNATIONS = 4096


class Sender(NamedTuple):
    """Sender of a message: its VM and its incarnation."""

    vm: str
    incarnation: str


class PeerError(NamedTuple):
    """Reason for which a peer gave no reply.

    Attributes
    ----------
    code : str
        ``unreachable`` (nothing was sent), ``timeout`` (the peer may have
        handled the message) or ``failed`` (this daemon has no handler
        for a message to itself).
    vm : str
        Name of the peer.
    """

    code: str
    vm: str


Handler = Callable[[Sender, Any], Awaitable[tuple[Any, ...] | None]]


class Peers:
    """Service ``peers``: one receiving task, and a task per message.

    Parameters
    ----------
    channel : Channel
        Transports the encoded messages.
    """

    name = 'peers'
    requires: tuple[str, ...] = ()

    def __init__(self, channel: channels.Channel) -> None:
        self.registry = wire.Registry()
        self.counts: collections.Counter[str] = collections.Counter()
        self._channel = channel
        self._handlers_by_kind: dict[str, Handler] = {}
        self._sequence = 0
        self._last_sequences_by_incarnation: dict[str, int] = {}
        self._futures_by_sequence: dict[int, asyncio.Future[Any]] = {}
        self._invalid_by_vm: dict[str, str] = {}

    async def start(self, app: kernel.Application) -> None:
        """Open the channel and start receiving."""
        self._app = app
        await self._channel.open()
        app.keep_running(self.name, 'receive', self._receive)

    async def stop(self) -> None:
        """Close the channel and cancel the requests that wait for replies."""
        await self._channel.close()
        for future in self._futures_by_sequence.values():
            future.cancel()

    def connect(self, vm: str, address: str) -> None:
        """Keep a connection to a peer.

        Addresses come from settings and other peers. One that is none is
        logged, and ignored.
        """
        try:
            self._channel.connect(vm, address)
        except channels.AddressError as error:
            if self._invalid_by_vm.get(vm) != address:
                self._invalid_by_vm[vm] = address
                self._app.events.add(
                    'peer.address_invalid', peer=vm, why=error
                )

    def disconnect(self, vm: str) -> None:
        """Close the connection to a peer."""
        self._channel.disconnect(vm)

    def handle(self, kind: str, body: type, handler: Handler) -> None:
        """Register the handler of a kind; its result is sent as the reply."""
        self.registry.add(kind, body)
        self._handlers_by_kind[kind] = handler

    def add_reply_type(self, kind: str, body: type) -> None:
        """Register a type that is only received as a reply."""
        self.registry.add(kind, body)

    def tell(self, vm: str, message: tuple[Any, ...]) -> bool:
        """Send a message without a reply; False if it was not queued."""
        return self._send(vm, message, 0) != 0

    async def ask(
        self,
        vm: str,
        message: tuple[Any, ...],
        timeout: float = ASK_TIMEOUT_SECONDS,
    ) -> Result[Any, PeerError]:
        """Return the reply of a peer to a message.

        Parameters
        ----------
        vm : str
            Name of the peer. The own name calls the handler directly.
        message : NamedTuple
            Message of a registered type.
        timeout : float
            Seconds to wait for the reply.

        Returns
        -------
        Result
            The reply, or a `PeerError`.
        """
        if vm == self._app.identity.vm:
            return await self._call_own_handler(message)
        sequence = self._send(vm, message, 0)
        if sequence == 0:
            return Error(PeerError('unreachable', vm))
        future = asyncio.get_running_loop().create_future()
        self._futures_by_sequence[sequence] = future
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            self.counts['ask_timeout'] += 1
            return Error(PeerError('timeout', vm))
        finally:
            del self._futures_by_sequence[sequence]

    async def _call_own_handler(
        self, message: tuple[Any, ...]
    ) -> Result[Any, PeerError]:
        own_vm = self._app.identity.vm
        handler = self._handlers_by_kind.get(self.registry.kind(message))
        if handler is None:
            return Error(PeerError('failed', own_vm))
        sender = Sender(own_vm, str(self._app.incarnation))
        return Ok(await handler(sender, message))

    def _send(
        self,
        vm: str,
        message: tuple[Any, ...],
        reply_to: int,
        recipient: str = '',
    ) -> int:
        self._sequence += 1
        events = self._app.events
        events.counter += 1
        envelope = wire.Envelope(
            wire.VERSION,
            self.registry.kind(message),
            self._app.identity.vm,
            str(self._app.incarnation),
            self._sequence,
            events.counter,
            reply_to,
            self.registry.encode_body(message),
            recipient,
        )
        payload = wire.encode(envelope)
        if not self._channel.send(vm, payload):
            self.counts['send_dropped'] += 1
            return 0
        self.counts['sent'] += 1
        self.counts['sent_bytes'] += len(payload)
        return self._sequence

    async def _receive(self) -> None:
        while True:
            payload = await self._channel.receive()
            self.counts['received'] += 1
            try:
                envelope = wire.decode(payload)
                if self._is_replay(envelope):
                    self.counts['replayed'] += 1
                    continue
                body = self.registry.decode_body(envelope.kind, envelope.body)
            except wire.WireError:
                self.counts['malformed'] += 1
                continue
            self._app.events.advance_counter(envelope.counter)
            self._dispatch(envelope, body)

    def _is_replay(self, envelope: wire.Envelope) -> bool:
        # A channel keeps the order of messages, so a sequence that is not
        # above the last one of its sender is a replay.
        last = self._last_sequences_by_incarnation.get(envelope.incarnation, 0)
        if envelope.sequence <= last:
            return True
        self._last_sequences_by_incarnation[envelope.incarnation] = (
            envelope.sequence
        )
        if len(self._last_sequences_by_incarnation) > MAX_TRACKED_INCARNATIONS:
            oldest = next(iter(self._last_sequences_by_incarnation))
            del self._last_sequences_by_incarnation[oldest]
        return False

    def _dispatch(self, envelope: wire.Envelope, body: Any) -> None:
        if envelope.reply_to:
            self._on_reply(envelope, body)
            return
        handler = self._handlers_by_kind.get(envelope.kind)
        if handler is None:
            self.counts['unhandled'] += 1
            return
        self._app.spawn(
            self.name,
            envelope.kind,
            self._run_handler(handler, envelope, body),
        )

    def _on_reply(self, envelope: wire.Envelope, body: Any) -> None:
        if envelope.recipient != str(self._app.incarnation):
            self.counts['crossed_reply'] += 1
            return
        future = self._futures_by_sequence.get(envelope.reply_to)
        if future is None or future.done():
            self.counts['late_reply'] += 1
            return
        future.set_result(Ok(body))

    async def _run_handler(
        self, handler: Handler, envelope: wire.Envelope, body: Any
    ) -> None:
        sender = Sender(envelope.vm, envelope.incarnation)
        reply = await handler(sender, body)
        if reply is not None:
            self._send(
                envelope.vm, reply, envelope.sequence, envelope.incarnation
            )
