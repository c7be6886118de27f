"""Sends messages of placement to peers, or to this daemon itself."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from expression import Result

from corianderspar import kernel
from corianderspar import peers as peer_messages
from corianderspar import placement_messages as messages

Handler = Callable[
    [peer_messages.Sender, Any], Awaitable[tuple[Any, ...] | None]
]
Inline = Callable[[peer_messages.Sender, Any], None]


class Messenger:
    """Sends to peers; what goes to this daemon itself needs no network.

    Parameters
    ----------
    app : Application
        Gives the identity; when it was aborted nothing is sent.
    peers : Peers
        Carries the messages.
    """

    def __init__(
        self, app: kernel.Application, peers: peer_messages.Peers
    ) -> None:
        self._app = app
        self._peers = peers
        self._inline_by_type: dict[type, Inline] = {}
        messages.register(peers)

    def handle(self, kind: str, handler: Handler) -> None:
        """Have messages of a kind handled."""
        self._peers.handle(kind, messages.TYPES_BY_KIND[kind], handler)

    def handle_inline(self, kind: str, handler: Inline) -> None:
        """Have messages of a kind handled in the order of their sending.

        Those from this daemon itself are handled before `tell` returns,
        so that they can't fall behind a later question.
        """
        self._inline_by_type[messages.TYPES_BY_KIND[kind]] = handler

        async def handle(sender: peer_messages.Sender, message: Any) -> None:
            handler(sender, message)

        self.handle(kind, handle)

    def tell(self, vm: str, message: tuple[Any, ...]) -> None:
        """Send with no reply wanted."""
        if self._app.aborted:
            return
        own = self._app.identity.vm
        if vm != own:
            self._peers.tell(vm, message)
            return
        inline = self._inline_by_type.get(type(message))
        if inline is not None:
            sender = peer_messages.Sender(own, str(self._app.incarnation))
            inline(sender, message)
        else:
            self._app.spawn('placement', 'self', self._peers.ask(vm, message))

    async def ask(
        self, vm: str, message: tuple[Any, ...], timeout: float
    ) -> Result[Any, peer_messages.PeerError]:
        """Send and wait for the reply, ``timeout`` seconds at most."""
        return await self._peers.ask(vm, message, timeout)
