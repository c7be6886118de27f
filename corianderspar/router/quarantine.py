"""The service that keeps requests away that crash upstreams."""

import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar import problems
from corianderspar.router import membership
from corianderspar.router import poison
from corianderspar.router import request_context


class Quarantine:
    """The service ``quarantine``: counts of crashes, told to peers."""

    name = 'quarantine'
    requires: tuple[str, ...] = ('fleet',)

    def __init__(self) -> None:
        self._crash_counts = poison.CrashCounts()

    async def start(self, app: kernel.Application) -> None:
        """Begin to tell and hear counts."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._membership.add_section('poison', self._provide, self._accept)
        self._membership.on_ended.append(self._crash_counts.forget_peer)

    async def stop(self) -> None:
        """Nothing to hand on."""

    def check(
        self, context: request_context.RequestContext, mark: str
    ) -> None:
        """Refuse a request that was present at too many crashes.

        Raises
        ------
        RequestError
            With no time to come back: it would crash the next one.
        """
        count = self._crash_counts.count(mark, self._app.clock.monotonic())
        if count >= poison.QUARANTINE_CRASHES:
            raise request_context.RequestError(
                problems.Problem(
                    'quarantined', 503, 'no', f'present at {count} crashes'
                )
            )

    def record_crash(
        self, context: request_context.RequestContext, mark: str
    ) -> None:
        """Take note that a request's upstream broke off."""
        count = self._crash_counts.record_crash(
            mark, self._app.clock.monotonic()
        )
        self._membership.broadcast_next()
        self._app.events.add(
            'request.at_crash',
            request=context.request.request_id,
            mark=mark,
            count=count,
            upstream=context.upstream,
        )

    def record_success(self, mark: str) -> None:
        """Take note that a request's upstream survived it."""
        self._crash_counts.record_success(mark)

    def _provide(self, _vm: str) -> bytes | None:
        counts = self._crash_counts.local_counts(self._app.clock.monotonic())
        return msgspec.msgpack.encode(counts)

    def _accept(self, sender: peers.Sender, content: bytes) -> None:
        try:
            counts = msgspec.msgpack.decode(content, type=dict[str, int])
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._crash_counts.set_peer_counts(sender.incarnation, counts)
