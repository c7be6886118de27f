"""Sends messages of placement to peers, or to this daemon itself."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from expression import Result

from corianderspar import kernel
from corianderspar import peers as peer_messages
from corianderspar import placement_messages

Handler = Callable[
    [peer_messages.Sender, Any], Awaitable[tuple[Any, ...] | None]
]
InlineHandler = Callable[[peer_messages.Sender, Any], None]


class Messenger:
    """Sends to peers; messages to this daemon itself need no network.

    Parameters
    ----------
    app : Application
        Gives the identity. Nothing is sent once it was aborted.
    peers : Peers
        Carries the messages.
    """

    def __init__(
        self, app: kernel.Application, peers: peer_messages.Peers
    ) -> None:
        self._app = app
        self._peers = peers
        self._inline_handlers_by_type: dict[type, InlineHandler] = {}
        placement_messages.register(peers)

    def handle(self, kind: str, handler: Handler) -> None:
        """Register the handler of messages of a kind."""
        self._peers.handle(
            kind, placement_messages.TYPES_BY_KIND[kind], handler
        )

    def handle_inline(self, kind: str, handler: InlineHandler) -> None:
        """Register a handler that gets messages in the order they were sent.

        Messages from this daemon itself are handled before `tell` returns,
        so that a later request can't overtake them.
        """
        self._inline_handlers_by_type[
            placement_messages.TYPES_BY_KIND[kind]
        ] = handler

        async def handle(sender: peer_messages.Sender, message: Any) -> None:
            handler(sender, message)

        self.handle(kind, handle)

    def tell(self, vm: str, message: tuple[Any, ...]) -> None:
        """Send a message that gets no reply."""
        if self._app.aborted:
            return
        own = self._app.identity.vm
        if vm != own:
            self._peers.tell(vm, message)
            return
        inline_handler = self._inline_handlers_by_type.get(type(message))
        if inline_handler is not None:
            sender = peer_messages.Sender(own, str(self._app.incarnation))
            inline_handler(sender, message)
        else:
            self._app.spawn('placement', 'self', self._peers.ask(vm, message))

    async def ask(
        self, vm: str, message: tuple[Any, ...], timeout: float
    ) -> Result[Any, peer_messages.PeerError]:
        """Send a request and wait ``timeout`` seconds at most for the reply.

        A request to this daemon itself has no timeout.
        """
        return await self._peers.ask(vm, message, timeout)
