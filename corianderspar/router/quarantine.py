"""The service that refuses requests that crash upstreams."""

import msgspec

from corianderspar import kernel
from corianderspar import peers
from corianderspar import problems
from corianderspar.router import membership
from corianderspar.router import poison
from corianderspar.router import request_context


class Quarantine:
    """The service ``quarantine``.

    It shares its crash counts with peers in the heartbeat section
    ``poison``.
    """

    name = 'quarantine'
    requires: tuple[str, ...] = ('fleet',)

    def __init__(self) -> None:
        self._crash_counts = poison.CrashCounts()

    async def start(self, app: kernel.Application) -> None:
        """Begin to exchange crash counts with peers."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._membership.add_section(
            'poison', self._provide_counts, self._accept_counts
        )
        self._membership.on_ended.append(self._crash_counts.forget_peer)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def check(
        self, context: request_context.RequestContext, fingerprint: str
    ) -> None:
        """Refuse a request that was running at too many crashes.

        Raises
        ------
        RequestError
            Without ``retry_after``, since a resend would crash the next
            upstream.
        """
        count = self._crash_counts.count(
            fingerprint, self._app.clock.monotonic()
        )
        if count >= poison.QUARANTINE_CRASHES:
            raise request_context.RequestError(
                problems.Problem(
                    'quarantined', 503, 'no', f'present at {count} crashes'
                )
            )

    def record_crash(
        self, context: request_context.RequestContext, fingerprint: str
    ) -> None:
        """Count a crash that a request's upstream may have had.

        The next heartbeat goes to all peers, also in a large fleet, so that
        they refuse the request before it crashes more upstreams.
        """
        count = self._crash_counts.record_crash(
            fingerprint, self._app.clock.monotonic()
        )
        self._membership.broadcast_next()
        self._app.events.add(
            'request.at_crash',
            request=context.request.request_id,
            mark=fingerprint,
            count=count,
            upstream=context.upstream,
        )

    def record_success(self, fingerprint: str) -> None:
        """Reset the count of a request that its upstream survived."""
        self._crash_counts.record_success(fingerprint)

    def _provide_counts(self, _vm: str) -> bytes | None:
        counts = self._crash_counts.local_counts(self._app.clock.monotonic())
        return msgspec.msgpack.encode(counts)

    def _accept_counts(self, sender: peers.Sender, content: bytes) -> None:
        try:
            counts = msgspec.msgpack.decode(content, type=dict[str, int])
        except msgspec.MsgspecError as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._crash_counts.set_peer_counts(sender.incarnation, counts)
