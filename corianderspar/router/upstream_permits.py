"""Service that keeps upstreams within the limits that they state.

An upstream states how many requests per second it accepts from all daemons
together. For each limited upstream one daemon, its home, counts for all and
grants permits; for engines that is the home of their service, which places
their jobs. A daemon that reaches no home sends nothing there. During a network
partition each side grants its part, so that even daemons that hear nobody stay
within the limit together.

Engines that are cold get requests in the same way, within a count of their
own (`cold_engines`).
"""

import math
from typing import NamedTuple

import msgspec

from corianderspar import decoding
from corianderspar import kernel
from corianderspar import peers
from corianderspar import rendezvous
from corianderspar.router import cold_engines  # noqa: H306
from corianderspar.router import homes
from corianderspar.router import membership
from corianderspar.router import model
from corianderspar.router import stated_limits
from corianderspar.router import store_view
from corianderspar.router import upstreams

ASK_TIMEOUT_SECONDS = 0.12  # 40 times the network delay
# Of a limit; the rest is for two homes at once, while daemons disagree about
# who is alive.
USABLE_SHARE = 0.9
# Of what is usable, on one side of a network partition.
MIN_SIDE_SHARE = 0.6
# Requests/s where an upstream accepts fewer. Only an answer can state that the
# limit has ended.
MIN_RATE = 0.25
BURST_SECONDS = 0.5  # of unused permits that are kept, but at least one permit
MAX_WAIT_SECONDS = 5.0  # from a denial until a daemon asks again
# While other upstreams are free, a limited one gets this part of its limit.
TRIAL_SHARE = 0.5
MAX_TRIAL_SECONDS = 4.0  # from one such request of a daemon to the next
WATCH_SECONDS = 0.25  # between looks whether this daemon was frozen
# For which homes and the share of the fleet are not looked up again: that
# takes time in a large fleet, and a scheduler asks for each engine.
FLEET_CACHE_SECONDS = 0.1


class PermitRequest(NamedTuple):
    """Asks the home of a limited upstream for one request.

    Attributes
    ----------
    instance : str
        The upstream.
    statement : StatementMessage
        The limit that the sender knows.
    """

    instance: str
    statement: stated_limits.StatementMessage


class PermitReply(NamedTuple):
    """The home's reply.

    Attributes
    ----------
    wait : float
        Seconds until a permit is likely; 0 if it is granted.
    """

    wait: float


class ColdRequest(NamedTuple):
    """Tells the home of a service that an engine is cold.

    Attributes
    ----------
    instance : str
        The engine.
    started_ms : int
        As in `model.Upstream`.
    left : float
        Seconds for which the sender knows it to be cold.
    is_wanted : bool
        Whether the sender asks for one request to it.
    """

    instance: str
    started_ms: int
    left: float
    is_wanted: bool


class ColdReply(NamedTuple):
    """The home's reply.

    Attributes
    ----------
    is_granted : bool
        Whether the engine may get the request.
    """

    is_granted: bool


class _Fleet(NamedTuple):
    """What is derived from the members of the fleet.

    Attributes
    ----------
    live : list of str
        The live VMs that are not draining.
    share : float
        The share of all permits that this side of a partition grants.
    heard_share : float
        The share of the fleet that this daemon hears, of its largest size
        lately.
    homes_by_key : dict of str to str
        VMs by keys that were looked up.
    at : float
        Monotonic seconds.
    """

    live: list[str]
    share: float
    heard_share: float
    homes_by_key: dict[str, str]
    at: float


class PermitBucket:
    """Permits of one upstream, which accrue at a rate.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self._level = 0.0
        self._updated_at = now
        self._promised_until = now

    def is_available(self, rate: float, now: float) -> bool:
        """Return whether there is a permit."""
        self._accrue(rate, now)
        return self._level >= 1.0

    def take(self, rate: float, now: float) -> float:
        """Take a permit; return 0, or the seconds until one is likely.

        Those who get none are told later and later times, so that they do
        not all return for the same permit.
        """
        if self.is_available(rate, now):
            self._level -= 1.0
            return 0.0
        first = now + (1.0 - self._level) / rate
        self._promised_until = min(
            max(first, self._promised_until + 1.0 / rate),
            now + MAX_WAIT_SECONDS,
        )
        return self._promised_until - now

    def _accrue(self, rate: float, now: float) -> None:
        burst = max(rate * BURST_SECONDS, 1.0)
        accrued = max(now - self._updated_at, 0.0) * rate
        self._level = min(self._level + accrued, burst)
        self._updated_at = now


_NO_EXCESS = cold_engines.ColdBound()


class UpstreamPermits:
    """The service ``permits``; limits go to peers in the section ``limits``.

    Parameters
    ----------
    calls : UpstreamCalls
        The client for the upstreams.
    cold_bound : ColdBound
        What cold engines may get.
    """

    name = 'permits'
    requires: tuple[str, ...] = ('beliefs', 'fleet', 'peers')

    def __init__(
        self,
        calls: upstreams.UpstreamCalls,
        cold_bound: cold_engines.ColdBound = _NO_EXCESS,
    ) -> None:
        self._calls = calls
        self._cold_bound = cold_bound
        self._cold_states = cold_engines.ColdStates()
        self._cold_counts = cold_engines.SlidingCounts()
        self._fleet_size = cold_engines.FleetSize()
        self._is_watching = False
        self._cold_instances: set[str] = set()
        self._limits = stated_limits.StatedLimits()
        self._buckets_by_instance: dict[str, PermitBucket] = {}
        self._denied_until_by_instance: dict[str, float] = {}
        self._next_trial_by_instance: dict[str, float] = {}
        self._digests_by_incarnation: dict[str, int] = {}
        self._fleet_cache = _Fleet([], 0.0, 0.0, {}, float('-inf'))

    async def start(self, app: kernel.Application) -> None:
        """Begin to read limits, to tell them to peers, and to grant."""
        self._app = app
        self._store_view = app.find('beliefs', store_view.StoreView)
        self._store_view.on_upstreams_change.append(self._on_upstreams_changed)
        self._membership = app.find('fleet', membership.Membership)
        self._membership.add_section(
            'limits', self._provide_limits, self._accept_limits
        )
        self._membership.on_ended.append(self._forget_peer)
        self._homes = homes.Homes(app, self._membership)
        self._peers = app.find('peers', peers.Peers)
        self._peers.handle('want_permit', PermitRequest, self._on_request)
        self._peers.add_reply_type('permit', PermitReply)
        self._peers.handle('want_cold', ColdRequest, self._on_cold_request)
        self._peers.add_reply_type('cold', ColdReply)
        self._calls.on_notice.append(self._on_notice)
        self._continuity = cold_engines.Continuity(app.clock.monotonic())
        self._store_view.on_configuration_adopted.append(self._on_configured)

    async def stop(self) -> None:
        """Do nothing: there is nothing to hand off."""

    def is_limited(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream states a limit."""
        return self._limits.rate(upstream) is not None

    def is_trial_due(self, upstream: model.Upstream) -> bool:
        """Return whether a limited upstream is to get a request.

        That is so now and then though others are free, as its limit may
        have ended.
        """
        now = self._app.clock.monotonic()
        return (
            self.is_limited(upstream)
            and self._next_trial_by_instance.get(upstream.instance, 0.0) <= now
            and self.wait(upstream) == 0.0
        )

    def wait(self, upstream: model.Upstream) -> float:
        """Return seconds for which an upstream gets no request from here."""
        if not self.is_limited(upstream):
            return 0.0
        now = self._app.clock.monotonic()
        until = self._denied_until_by_instance.get(upstream.instance, now)
        return max(until - now, 0.0)

    async def acquire(self, upstream: model.Upstream) -> bool:
        """Return whether a plain upstream may get one request now."""
        if self.is_cold(upstream) and not await self.acquire_cold(upstream):
            return False
        rate = self._limits.rate(upstream)
        if rate is None:
            return True
        if self.wait(upstream) > 0.0:
            return False
        instance = upstream.instance
        wait = await self._ask_home(upstream)
        now = self._app.clock.monotonic()
        if wait > 0.0:
            self._denied_until_by_instance[instance] = now + wait
            return False
        daemons = max(len(self._fleet().live), 1)
        self._set_next_trial(upstream, max(rate, MIN_RATE) / daemons, now)
        return True

    def rate(self, upstream: model.Upstream) -> float | None:
        """Return the jobs/s that this daemon may place on an engine.

        Returns
        -------
        float or None
            None if it states no limit and is not cold, and 0 if this daemon
            is not the home of its service.
        """
        rate = self._rate_as_home(upstream, upstream.service)
        if not self.is_cold(upstream):
            return rate
        cold_rate = self._cold_limit(upstream) / cold_engines.count_seconds(
            upstream.phase
        )
        return cold_rate if rate is None else min(rate, cold_rate)

    def is_available(self, upstream: model.Upstream) -> bool:
        """Return whether this daemon may place a job on an engine now."""
        if self.is_cold(upstream) and not self._has_cold_grant(upstream):
            return False
        rate = self._rate_as_home(upstream, upstream.service)
        if rate is None:
            return True
        now = self._app.clock.monotonic()
        return rate > 0.0 and self._bucket(upstream).is_available(rate, now)

    def take(self, upstream: model.Upstream) -> bool:
        """Count a job that is placed on an engine.

        Returns
        -------
        bool
            Whether the engine is cold and the job counts for that.
        """
        now = self._app.clock.monotonic()
        is_cold = self.is_cold(upstream)
        if is_cold:
            self._cold_counts.add(upstream, now)
        rate = self._rate_as_home(upstream, upstream.service)
        if rate:
            self._bucket(upstream).take(rate, now)
            self._set_next_trial(upstream, rate, now)
        return is_cold

    def is_cold(self, upstream: model.Upstream) -> bool:
        """Return whether an engine counts as cold."""
        if not self._cold_rate(upstream):
            return False
        return self._store_view.is_unverified or self._cold_left(upstream) > 0

    def may_turn_cold(self, upstream: model.Upstream) -> bool:
        """Return whether an engine belongs to a service with a cold state."""
        return self._cold_rate(upstream) > 0.0

    def cold_count(self) -> int:
        """Return the number of upstreams that are known to be cold."""
        return len(self._cold_instances)

    async def may_send(
        self, upstream: model.Upstream, granted_at: float, is_counted: bool
    ) -> bool:
        """Return whether an engine may get a request now.

        Parameters
        ----------
        upstream : Upstream
            The engine.
        granted_at : float
            Monotonic seconds before which its home did not grant it.
        is_counted : bool
            Whether the engine was cold for the home, which counted it.
        """
        if not self._cold_rate(upstream):
            return True
        age = self._app.clock.monotonic() - granted_at
        if is_counted:
            is_valid = age <= cold_engines.grant_seconds(upstream.phase)
        else:
            is_valid = (
                age <= cold_engines.UNCOUNTED_GRANT_SECONDS
                and not self.is_cold(upstream)
            )
        return is_valid or await self.acquire_cold(upstream)

    async def acquire_cold(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream that may be cold may get one request."""
        home = self._homes.home(upstream.service)
        asked_at = self._app.clock.monotonic()
        if home == self._app.identity.vm:
            return self._take_cold(upstream)
        reply = await self._peers.ask(
            home,
            self._cold_request(upstream, is_wanted=True),
            ASK_TIMEOUT_SECONDS,
        )
        # An older build does not know the request, and is no worse a home for
        # others.
        if reply.is_error():
            return False
        age = self._app.clock.monotonic() - asked_at
        return bool(reply.ok.is_granted) and age <= cold_engines.grant_seconds(
            upstream.phase
        )

    def _cold_request(
        self, upstream: model.Upstream, *, is_wanted: bool
    ) -> ColdRequest:
        return ColdRequest(
            upstream.instance,
            upstream.started_ms,
            self._cold_left(upstream),
            is_wanted,
        )

    async def _on_cold_request(
        self, sender: peers.Sender, request: ColdRequest
    ) -> ColdReply:
        upstream = self._store_view.upstreams_by_instance.get(request.instance)
        if upstream is None:
            return ColdReply(False)
        if (
            upstream.started_ms == request.started_ms
            and 0.0 < request.left < math.inf
        ):
            self._note_cold(upstream, request.left, f'peer {sender.vm}')
        return ColdReply(request.is_wanted and self._take_cold(upstream))

    def _take_cold(self, upstream: model.Upstream) -> bool:
        """Grant a request if that is allowed; count it if it is cold."""
        if not self.is_cold(upstream):
            return True
        is_granted = self._has_cold_grant(upstream)
        if is_granted:
            now = self._app.clock.monotonic()
            self._cold_counts.add(upstream, now)
        return is_granted

    def _has_cold_grant(self, upstream: model.Upstream) -> bool:
        """Return whether this daemon may grant a request to a cold engine."""
        now = self._app.clock.monotonic()
        count = self._cold_counts.count(upstream, now)
        return count < self._cold_limit(upstream)

    def _cold_limit(self, upstream: model.Upstream) -> int:
        """Return the grants that this daemon may make for a cold engine.

        Returns
        -------
        int
            0 if another daemon is the home of its service, or may be.
        """
        now = self._app.clock.monotonic()
        if not self._continuity.is_settled(now):
            return 0
        fleet = self._fleet()
        if self._home(upstream.service) != self._app.identity.vm:
            return 0
        return self._cold_bound.home_limit(
            self._cold_rate(upstream), fleet.heard_share
        )

    def _cold_rate(self, upstream: model.Upstream) -> float:
        """Return the rate of a cold engine; 0 for no cold state."""
        configuration = self._store_view.configuration
        if configuration is None:
            return 0.0
        service = configuration.services_by_name.get(upstream.service)
        if service is None or not service.has_cold_state:
            return 0.0
        return service.cold_per_second

    def _cold_left(self, upstream: model.Upstream) -> float:
        now = self._app.clock.monotonic()
        return max(
            self._store_view.cold_left(upstream),
            self._cold_states.left(upstream, now),
        )

    def _note_cold(
        self, upstream: model.Upstream, seconds: float, source: str
    ) -> bool:
        """Record what an answer stated; return whether it was not known."""
        was_cold = self._cold_left(upstream) > 0.0
        now = self._app.clock.monotonic()
        is_new = self._cold_states.note(upstream, seconds, now)
        if is_new:
            self._log_cold(upstream, source)
        return is_new and not was_cold

    def _log_cold(self, upstream: model.Upstream, source: str) -> None:
        if upstream.instance in self._cold_instances:
            return
        if not self._cold_rate(upstream):
            return
        self._cold_instances.add(upstream.instance)
        self._app.events.add(
            'upstream.cold',
            instance=upstream.instance,
            service=upstream.service,
            left=f'{self._cold_left(upstream):.2f}',
            per_second=self._cold_rate(upstream),
            source=source,
            store_age=f'{self._store_view.staleness():.2f}',
        )

    def _on_configured(self, configuration: model.Configuration) -> None:
        """Watch cold engines once there may be some."""
        services = configuration.services_by_name.values()
        if self._is_watching or not any(s.has_cold_state for s in services):
            return
        self._is_watching = True
        self._app.keep_running(
            self.name, 'watch', self._watch, kernel.MAX_SILENCE_SECONDS
        )

    async def _watch(self) -> None:
        """Note breaks of this daemon, and ends of cold states."""
        while True:
            await self._app.clock.sleep(WATCH_SECONDS)
            self._app.report_progress()
            gap = self._continuity.note(self._app.clock.monotonic())
            if gap:
                self._app.events.add('permits.unsettled', gap=f'{gap:.1f}')
            for instance in list(self._cold_instances):
                upstream = self._store_view.upstreams_by_instance.get(instance)
                if upstream is None or not self._cold_left(upstream):
                    self._cold_instances.remove(instance)
                    self._app.events.add('upstream.warm', instance=instance)

    def _set_next_trial(
        self, upstream: model.Upstream, rate: float, now: float
    ) -> None:
        self._next_trial_by_instance[upstream.instance] = now + min(
            1.0 / (rate * TRIAL_SHARE), MAX_TRIAL_SECONDS
        )

    async def _ask_home(self, upstream: model.Upstream) -> float:
        """Return the wait in seconds; 0 if a permit is granted."""
        key = _home_key(upstream.instance)
        home = self._homes.home(key)
        if home == self._app.identity.vm:
            return self._take(upstream, key)
        now = self._app.clock.monotonic()
        statement = self._limits.statement(upstream.instance, now)
        if statement is None:
            return 0.0  # the limit was forgotten meanwhile
        reply = await self._peers.ask(
            home,
            PermitRequest(upstream.instance, statement),
            ASK_TIMEOUT_SECONDS,
        )
        if reply.is_ok():
            return float(reply.ok.wait)
        self._homes.mark_unresponsive(home, key, reply.error.code)
        return homes.SKIP_SECONDS

    async def _on_request(
        self, sender: peers.Sender, request: PermitRequest
    ) -> PermitReply:
        self._merge(request.instance, request.statement, sender.vm)
        upstream = self._store_view.upstreams_by_instance.get(request.instance)
        if upstream is None:
            return PermitReply(homes.SKIP_SECONDS)
        wait = self._take(upstream, _home_key(request.instance))
        age = request.statement.age * stated_limits.AGE_UNIT_SECONDS
        self._app.events.add(
            'upstream.permit',
            instance=request.instance,
            peer=sender.vm,
            wait=f'{wait:.3f}',
            limit=self._limits.rate(upstream),
            age=f'{age:.1f}',
            live=len(self._fleet().live),
        )
        return PermitReply(wait)

    def _take(self, upstream: model.Upstream, key: str) -> float:
        rate = self._rate_as_home(upstream, key)
        if rate is None:
            return 0.0
        if rate == 0.0:
            return homes.SKIP_SECONDS
        now = self._app.clock.monotonic()
        return self._bucket(upstream).take(rate, now)

    def _rate_as_home(
        self, upstream: model.Upstream, key: str
    ) -> float | None:
        """Return the requests/s that this daemon grants.

        Returns
        -------
        float or None
            None if there is no limit, and 0 if another daemon is the home.
        """
        rate = self._limits.rate(upstream)
        if rate is None:
            return None
        fleet = self._fleet()
        if self._home(key) != self._app.identity.vm:
            return 0.0
        return max(rate, MIN_RATE) * USABLE_SHARE * fleet.share

    def _home(self, key: str) -> str:
        """Return the home of a key, also if it does not answer."""
        fleet = self._fleet()
        home = fleet.homes_by_key.get(key)
        if home is None:
            home = rendezvous.home(key, fleet.live) or self._app.identity.vm
            fleet.homes_by_key[key] = home
        return home

    def _fleet(self) -> _Fleet:
        """Return what is derived from the members, of lately."""
        now = self._app.clock.monotonic()
        if now - self._fleet_cache.at > FLEET_CACHE_SECONDS:
            live = self._membership.live()
            share = self._membership.live_share()
            if len(live) > 1:
                share = max(share, MIN_SIDE_SHARE)
            size = self._fleet_size.note(self._membership.size(), now)
            heard_share = min(len(live) / size, 1.0)
            self._fleet_cache = _Fleet(live, share, heard_share, {}, now)
        return self._fleet_cache

    def _bucket(self, upstream: model.Upstream) -> PermitBucket:
        bucket = self._buckets_by_instance.get(upstream.instance)
        if bucket is None:
            bucket = PermitBucket(self._app.clock.monotonic())
            self._buckets_by_instance[upstream.instance] = bucket
        return bucket

    def _on_notice(
        self, upstream: model.Upstream, notice: upstreams.Notice
    ) -> None:
        self._note_stated_cold(upstream, notice)
        if notice.unreadable_limit:
            self._app.events.add(
                'upstream.unreadable_limit',
                instance=upstream.instance,
                value=notice.unreadable_limit,
            )
            return
        if notice.is_replaced or notice.is_health_report:
            return
        now = self._app.clock.monotonic()
        change = self._limits.record(upstream, notice.limit, now)
        if change is not None:
            self._on_limit_changed(upstream.instance, change, 'answer')
            if change.begins_or_ends:
                self._membership.broadcast_soon()

    def _note_stated_cold(
        self, upstream: model.Upstream, notice: upstreams.Notice
    ) -> None:
        """Record a cold state, and tell the home if it may not know it."""
        if notice.unreadable_cold:
            self._app.events.add(
                'upstream.unreadable_cold',
                instance=upstream.instance,
                value=notice.unreadable_cold,
            )
        if (
            notice.cold_left <= 0.0
            or notice.is_replaced
            or not self._cold_rate(upstream)
            or not self._note_cold(upstream, notice.cold_left, 'answer')
        ):
            return
        home = self._homes.home(upstream.service)
        if home != self._app.identity.vm:
            self._peers.tell(
                home, self._cold_request(upstream, is_wanted=False)
            )

    def _on_limit_changed(
        self, instance: str, change: stated_limits.Change, source: str
    ) -> None:
        if change.is_lifted:
            self._denied_until_by_instance.pop(instance, None)
        if change.begins_or_ends:
            self._next_trial_by_instance.pop(instance, None)
        self._app.events.add(
            'upstream.limited',
            instance=instance,
            per_second='none' if change.after is None else change.after,
            before='none' if change.before is None else change.before,
            source=source,
        )

    def _provide_limits(self, vm: str) -> bytes | None:
        """Return the limits; only their digest if the peer knows them."""
        member = self._membership.members().get(vm)
        incarnation = member.incarnation if member is not None else ''
        message = self._limits.message(
            self._app.clock.monotonic(),
            self._digests_by_incarnation.get(incarnation),
        )
        return None if message is None else msgspec.msgpack.encode(message)

    def _accept_limits(self, sender: peers.Sender, content: bytes) -> None:
        try:
            message = msgspec.msgpack.decode(
                content, type=stated_limits.Message
            )
        except decoding.ERRORS as error:
            self._app.events.add('peer.unreadable', peer=sender.vm, why=error)
            return
        self._digests_by_incarnation[sender.incarnation] = message.digest
        for instance, statement in message.statements_by_instance.items():
            self._merge(instance, statement, sender.vm)

    def _merge(
        self,
        instance: str,
        statement: stated_limits.StatementMessage,
        vm: str,
    ) -> None:
        if statement.rate is not None and not (
            0.0 <= statement.rate < math.inf
        ):
            return
        now = self._app.clock.monotonic()
        change = self._limits.merge(instance, statement, now)
        if change is not None:
            self._on_limit_changed(instance, change, f'peer {vm}')

    def _forget_peer(self, incarnation: str) -> None:
        self._digests_by_incarnation.pop(incarnation, None)

    def _on_upstreams_changed(self) -> None:
        instances = set(self._store_view.upstreams_by_instance)
        self._limits.retain(instances)
        self._cold_counts.retain(instances)
        self._cold_states.retain(instances)
        self._cold_states.note_evacuated(
            frozenset(self._store_view.evacuated_data_centres),
            self._app.clock.monotonic(),
        )
        for upstream in self._store_view.upstreams_by_instance.values():
            if upstream.cold_left > 0.0 and self._cold_left(upstream) > 0.0:
                self._log_cold(upstream, 'registration')
        for by_instance in (
            self._buckets_by_instance,
            self._denied_until_by_instance,
            self._next_trial_by_instance,
        ):
            for instance in by_instance.keys() - instances:
                del by_instance[instance]


def _home_key(instance: str) -> str:
    return f'permits/{instance}'
