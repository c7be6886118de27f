"""What began each stream, as several daemons know it.

The caller of a stream that broke off may take it up at any daemon, while the
one that began it is killed, cut off or busy. Before the first event reaches
the caller, a daemon therefore tells a few peers, the keepers, which follow
from the content of the request by rendezvous hashing. A daemon at which the
stream is taken up asks the peers that may be keepers. Keepers that restart
are told anew.

A caller names the attempt that began the stream. For one that names none, the
streams of the same content count, as long as they began at one version.

If nobody that answers knows the stream, it goes on only if all upstreams that
may have begun it are of one service and version. What this daemon sees now
does not tell: after a kill of all daemons nobody knows what served before. So
it has to know all that was in force since the stream may have begun, or to be
told by a daemon that does.

The version is that of the process which was listed when the stream began.
Where another process may have begun it, see `process_checks`, the stream goes
on only if its daemon or the listed process says that it was this one.
"""

import asyncio
import collections
from collections.abc import AsyncGenerator
import contextlib
import hashlib
import itertools
from typing import Any
from typing import NamedTuple

from corianderspar import kernel
from corianderspar import peers
from corianderspar import rendezvous
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import origin_history
from corianderspar.router import process_checks
from corianderspar.router import request_context
from corianderspar.router import store_view

KEEPERS = 3
# Daemons that started since the stream began may rank before its keepers.
ASKED_PEERS = 6
ASKED_NEIGHBOURS = 2  # in the own data centre, which callers mostly keep to
CONFIRM_SECONDS = 0.05  # for the first keeper to confirm
STORE_SECONDS = 0.1  # for the store to confirm the newest state
ASK_SECONDS = 0.15  # for all keepers to reply
# Of the known daemons; below it, those that know a stream may be cut off.
MIN_LIVE_SHARE = 0.5
# From the longest end of an attempt until the caller's next one.
TAKE_UP_SECONDS = 10.0
# Of its route's timeout: a stream that is taken up began no longer ago.
MAX_AGE_TIMEOUTS = 2.0
MAX_ENTRIES = 16384  # two for each stream, by attempt and by content
MAX_STREAMS_PER_MESSAGE = 256
MAX_UNCONFIRMED = 256  # processes of the streams of one content
# Stands for streams of one key that began at different versions.
AMBIGUOUS = model.StreamOrigin('', '')
_CONTENT_PREFIX = 'content/'  # of the keys of streams by their content


class StreamBegun(NamedTuple):
    """Tells a keeper what began a stream.

    Attributes
    ----------
    key : str
        Digest of the client account and the attempt that began it.
    content : str
        Digest of the client account and the content of its requests.
    service, version : str
        As in `StreamOrigin`.
    seconds : float
        For which the keeper is to remember it.
    process : Process
        What is known of the process that began it.
    """

    key: str
    content: str
    service: str
    version: str
    seconds: float
    process: process_checks.Process = process_checks.CONFIRMED


class StreamKept(NamedTuple):
    """Confirms that a keeper knows a stream."""

    key: str


class StreamsBegun(NamedTuple):
    """Tells a keeper that has restarted what it knew.

    Attributes
    ----------
    streams : tuple of StreamBegun
        The streams, without their processes.
    processes : tuple of Process
        Of the streams, in the same order.
    """

    streams: tuple[tuple[str, str, str, str, float], ...]
    processes: tuple[process_checks.Process, ...] = ()


class OriginRequest(NamedTuple):
    """Asks a peer what began a stream.

    Attributes
    ----------
    key, content : str, str
        As in `StreamBegun`; the key is empty if the caller names no attempt.
    host, path : str
        Of the stream's requests.
    """

    key: str
    content: str
    host: str
    path: str


class OriginReply(NamedTuple):
    """What a peer knows of a stream; the rest only if so.

    Attributes
    ----------
    is_known : bool
        Whether it knows the stream.
    service, version : str
        As in `StreamOrigin`.
    processes : tuple of Process
        Those that are not confirmed, of all streams of the key.
    """

    is_known: bool
    service: str = ''
    version: str = ''
    processes: tuple[process_checks.Process, ...] = ()


class Lookup(NamedTuple):
    """What this daemon found out about a stream.

    Attributes
    ----------
    origin : StreamOrigin or None
        None if it is not known.
    may_others_know : bool
        Whether daemons that were not heard may know it.
    """

    origin: model.StreamOrigin | None
    may_others_know: bool


class _Entry(NamedTuple):
    content: str
    origin: model.StreamOrigin
    expires_at: float
    # By the keys of attempts, for those that are not confirmed.
    processes_by_key: dict[str, process_checks.Process]


class _Origin(NamedTuple):
    """What began a stream, and what this hangs on."""

    origin: model.StreamOrigin
    processes: tuple[process_checks.Process, ...] = ()


class StreamOrigins:
    """The service ``stream_origins``.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole fleet starts for the first time, so that no stream
        began before.
    """

    name = 'stream_origins'
    requires: tuple[str, ...] = ('peers', 'fleet', 'beliefs', 'process_checks')

    def __init__(self, is_first_start: bool) -> None:
        self._is_first_start = is_first_start
        self._entries_by_key: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    async def start(self, app: kernel.Application) -> None:
        """Begin to keep streams for peers."""
        self._app = app
        self._membership = app.find('fleet', membership.Membership)
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._peers = app.find('peers', peers.Peers)
        self._process_checks = app.find(
            'process_checks', process_checks.ProcessChecks
        )
        self._peers.handle('stream_begun', StreamBegun, self._on_begun)
        self._peers.add_reply_type('stream_kept', StreamKept)
        self._peers.handle('streams_begun', StreamsBegun, self._on_many_begun)
        self._peers.handle('want_origin', OriginRequest, self._on_request)
        self._peers.add_reply_type('origin', OriginReply)
        self._membership.on_heard.append(self._remind)
        self._history = origin_history.OriginHistory(
            float('-inf') if self._is_first_start else app.clock.monotonic()
        )
        self._store_view.on_upstreams_change.append(self._observe_upstreams)
        self._store_view.on_configuration_adopted.append(self._observe_routes)

    async def stop(self) -> None:
        """Do nothing: the keepers know what this daemon knows."""

    async def record(self, context: request_context.RequestContext) -> None:
        """Tell keepers what began a stream, before its caller has an event.

        Returns once one of them has confirmed, or after `CONFIRM_SECONDS`.
        """
        route = context.matched.route
        origin = context.origin
        if origin is None or route.retry_policy is not (
            model.RetryPolicy.RESUME
        ):
            return
        began = self._app.clock.monotonic()
        request = context.request
        begun = _message(context, origin)
        self._keep(begun)
        keepers = self._keepers(begun.content)
        confirmed_by = '-'
        async with contextlib.aclosing(
            self._replies(keepers, begun, CONFIRM_SECONDS)
        ) as replies:
            async for vm, _reply in replies:
                confirmed_by = vm
                break
        self._app.events.add(
            'stream.begun',
            request=request.request_id,
            begun_by=request.begun_by or '-',
            mark=context.fingerprint,
            upstream=context.upstream,
            service=origin.service,
            version=origin.version,
            told=len(keepers),
            confirmed_by=confirmed_by,
            seconds=f'{self._app.clock.monotonic() - began:.4f}',
        )

    def confirm(self, context: request_context.RequestContext) -> None:
        """Tell keepers that the process of a stream was confirmed.

        Its engine may be gone, and its caller may take it up elsewhere.
        """
        begun = context.begun
        if (
            begun is None
            or context.origin is None
            or begun.process != process_checks.CONFIRMED
        ):
            return
        message = _message(context, context.origin)
        self._keep(message)
        for vm in self._keepers(message.content):
            self._peers.tell(vm, message)

    async def find(self, context: request_context.RequestContext) -> Lookup:
        """Find out what began a stream that a request takes up."""
        began = self._app.clock.monotonic()
        request = context.request
        query = OriginRequest(
            _key(context.account, request.begun_by)
            if request.begun_by
            else '',
            context.fingerprint,
            request.host,
            request.path,
        )
        source = 'own'
        found = self._known(query)
        asked: list[str] = []
        replied = 0
        if found is None:
            source = 'history'
            found = await self._only_origin(
                query, context.matched.route.timeout
            )
        if found is None or self._is_doubtful(found):
            asked = self._possible_keepers(query.content)
            async with contextlib.aclosing(
                self._replies(asked, query, ASK_SECONDS)
            ) as replies:
                async for vm, reply in replies:
                    replied += 1
                    if not reply.is_known:
                        continue
                    source = vm
                    found = _Origin(
                        model.StreamOrigin(reply.service, reply.version),
                        reply.processes,
                    )
                    if not self._is_doubtful(found):
                        break
        origin = await self._certain_origin(found)
        self._app.events.add(
            'stream.unknown' if origin is None else 'stream.found',
            request=request.request_id,
            begun_by=request.begun_by or '-',
            mark=context.fingerprint,
            after=request.after_event,
            service=origin.service if origin else '-',
            version=origin.version if origin else '-',
            source=source if origin else '-',
            asked=len(asked),
            replied=replied,
            store_age=f'{self._store_view.staleness():.2f}',
            seconds=f'{self._app.clock.monotonic() - began:.4f}',
        )
        may_others_know = (
            replied < len(asked)
            or self._is_cut_off()
            # What confirms it may be on the way.
            or (found is not None and found.origin != AMBIGUOUS)
        )
        return Lookup(origin, may_others_know)

    def _is_cut_off(self) -> bool:
        """Return whether this daemon hears few of the others, or none."""
        return (
            not self._membership.members()
            or self._membership.live_share() < MIN_LIVE_SHARE
        )

    def _is_doubtful(self, found: _Origin) -> bool:
        """Return whether the version is not certain without a report."""
        return found.origin != AMBIGUOUS and any(
            self._process_checks.is_doubtful(process, found.origin.version)
            for process in found.processes
        )

    async def _certain_origin(
        self, found: _Origin | None
    ) -> model.StreamOrigin | None:
        if found is None or found.origin == AMBIGUOUS:
            return None
        certain = await asyncio.gather(
            *(
                self._process_checks.has_begun(process, found.origin.version)
                for process in found.processes
            )
        )
        return found.origin if all(certain) else None

    def _known(self, query: OriginRequest) -> _Origin | None:
        entry = self._kept(query.key or _CONTENT_PREFIX + query.content)
        if entry is None:
            return None
        processes = set(entry.processes_by_key.values())
        return _Origin(entry.origin, tuple(sorted(processes)))

    def _kept(self, key: str) -> _Entry | None:
        entry = self._entries_by_key.get(key)
        if entry is None or entry.expires_at <= self._app.clock.monotonic():
            return None
        return entry

    async def _only_origin(
        self, query: OriginRequest, timeout: float
    ) -> _Origin | None:
        """Return what alone can have begun a stream.

        Parameters
        ----------
        query : OriginRequest
            The stream.
        timeout : float
            Of its route, seconds.

        Returns
        -------
        _Origin or None
            None also if this daemon does not know all that was in force from
            when the stream may have begun until now.
        """
        since = self._app.clock.monotonic() - timeout * MAX_AGE_TIMEOUTS
        if (
            self._history.complete_since > since
            or self._store_view.continuous_since > since
            or self._history.only_origin(query.host, query.path, since) is None
            or not await self._store_view.confirm(STORE_SECONDS)
        ):
            return None
        origin = self._history.only_origin(query.host, query.path, since)
        return None if origin is None else _Origin(origin)

    def _keep(self, begun: StreamBegun) -> None:
        now = self._app.clock.monotonic()
        for key in (begun.key, _CONTENT_PREFIX + begun.content):
            origin = model.StreamOrigin(begun.service, begun.version)
            entry = self._kept(key)
            processes_by_key = dict(entry.processes_by_key) if entry else {}
            if begun.process == process_checks.CONFIRMED:
                processes_by_key.pop(begun.key, None)
            else:
                processes_by_key[begun.key] = begun.process
            if entry is not None and (
                entry.origin != origin
                or len(processes_by_key) > MAX_UNCONFIRMED
            ):
                if entry.origin != AMBIGUOUS:
                    self._app.events.add(
                        'stream.ambiguous',
                        key=key,
                        known=entry.origin,
                        told=origin,
                    )
                origin = AMBIGUOUS
            if origin == AMBIGUOUS:
                processes_by_key.clear()
            self._entries_by_key[key] = _Entry(
                begun.content, origin, now + begun.seconds, processes_by_key
            )
            self._entries_by_key.move_to_end(key)
        while self._entries_by_key:
            oldest = next(iter(self._entries_by_key))
            if (
                len(self._entries_by_key) <= MAX_ENTRIES
                and self._entries_by_key[oldest].expires_at > now
            ):
                break
            del self._entries_by_key[oldest]

    def _keepers(self, content: str) -> list[str]:
        """Return the peers that are told of a stream."""
        ranked = rendezvous.rank(content, self._live_peers())
        return [
            *ranked[:KEEPERS],
            # Callers may be cut off from other data centres.
            *self._neighbours(ranked[KEEPERS:])[:1],
        ]

    def _possible_keepers(self, content: str) -> list[str]:
        """Return the peers that are asked for a stream."""
        members = self._membership.members()
        alive = [vm for vm in members if self._membership.is_alive(vm)]
        if not self._membership.is_large:
            return alive
        ranked = rendezvous.rank(content, alive)
        return [
            *ranked[:ASKED_PEERS],
            *self._neighbours(ranked[ASKED_PEERS:])[:ASKED_NEIGHBOURS],
        ]

    def _live_peers(self) -> list[str]:
        own = self._app.identity.vm
        return [vm for vm in self._membership.live() if vm != own]

    def _neighbours(self, vms: list[str]) -> list[str]:
        """Return those of the peers that are in the own data centre."""
        members = self._membership.members()
        own = self._app.identity.data_centre
        return [
            vm
            for vm in vms
            if vm in members and members[vm].data_centre == own
        ]

    async def _replies(
        self, vms: list[str], message: tuple[Any, ...], seconds: float
    ) -> AsyncGenerator[tuple[str, Any], None]:
        """Send a message to peers at once; yield each reply as it comes."""

        async def ask(vm: str) -> tuple[str, Any]:
            reply = await self._peers.ask(vm, message, seconds)
            return vm, reply.ok if reply.is_ok() else None

        tasks = [asyncio.create_task(ask(vm)) for vm in vms]
        try:
            for task in asyncio.as_completed(tasks):
                vm, reply = await task
                if reply is not None:
                    yield vm, reply
        finally:
            for task in tasks:
                task.cancel()

    async def _on_begun(
        self, _sender: peers.Sender, begun: StreamBegun
    ) -> StreamKept:
        self._keep(begun)
        return StreamKept(begun.key)

    async def _on_many_begun(
        self, _sender: peers.Sender, message: StreamsBegun
    ) -> None:
        missing = len(message.streams) - len(message.processes)
        processes = (
            *message.processes,
            *itertools.repeat(process_checks.CONFIRMED, missing),
        )
        for stream, process in zip(message.streams, processes, strict=False):
            self._keep(StreamBegun(*stream, process=process))

    async def _on_request(
        self, _sender: peers.Sender, query: OriginRequest
    ) -> OriginReply:
        found = self._known(query)
        config = self._store_view.configuration
        if found is None and config is not None:
            route = config.route(query.host, query.path)
            if route is not None:
                found = await self._only_origin(query, route.timeout)
        if found is None:
            return OriginReply(False)
        return OriginReply(True, *found.origin, found.processes)

    def _remind(self, vm: str) -> None:
        """Tell a peer that has started, or is back, of streams it keeps."""
        now = self._app.clock.monotonic()
        live = self._live_peers()
        streams = [
            StreamBegun(
                key,
                entry.content,
                *entry.origin,
                entry.expires_at - now,
                entry.processes_by_key.get(key, process_checks.CONFIRMED),
            )
            for key, entry in self._entries_by_key.items()
            if entry.expires_at > now
            and not key.startswith(_CONTENT_PREFIX)
            and rendezvous.is_among_first(entry.content, vm, live, KEEPERS)
        ]
        for start in range(0, len(streams), MAX_STREAMS_PER_MESSAGE):
            chunk = streams[start : start + MAX_STREAMS_PER_MESSAGE]
            # A daemon of before reads no process within a stream.
            message = StreamsBegun(
                tuple(stream[:5] for stream in chunk),
                tuple(stream.process for stream in chunk),
            )
            self._peers.tell(vm, message)

    def _observe_upstreams(self) -> None:
        self._history.observe_upstreams(
            self._store_view.upstreams_by_instance.values(),
            self._app.clock.monotonic(),
        )

    def _observe_routes(self, configuration: model.Configuration) -> None:
        self._history.observe_routes(
            configuration.routes_by_host, self._app.clock.monotonic()
        )


def _message(
    context: request_context.RequestContext, origin: model.StreamOrigin
) -> StreamBegun:
    request = context.request
    begun = context.begun
    return StreamBegun(
        _key(context.account, request.begun_by or request.request_id),
        context.fingerprint,
        *origin,
        context.matched.route.timeout + TAKE_UP_SECONDS,
        begun.process if begun else process_checks.CONFIRMED,
    )


def _key(account: str, request_id: str) -> str:
    """Return a key of a bounded size; identifiers come from callers."""
    digest = hashlib.blake2b(digest_size=12)
    digest.update(f'{account}\0{request_id}'.encode())
    return digest.hexdigest()
