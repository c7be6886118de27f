"""The part of a data centre's share that a VM holds, with any views."""

import collections
from typing import NamedTuple

from corianderspar import agreement
from corianderspar import catalogue
from corianderspar import configuration
from corianderspar import kernel
from corianderspar import lease_tiers
from corianderspar import membership
from corianderspar import peers
from corianderspar import share_status

MAX_CHANGES = 16
HANDOFF_TIMEOUT_SECONDS = 0.5
JOIN_PART = 0.9


class HandoffRequest(NamedTuple):
    """A VM that shuts down leaves its part to the receiver.

    Attributes
    ----------
    tiers : list of bool
        Which tiers it held.
    """

    tiers: list[bool]


class HandoffReply(NamedTuple):
    """The part was taken."""


class VmShare:
    """Decides, by rosters, statements and leases, what this VM holds.

    Parameters
    ----------
    app : Application
        Has the services ``peers``, ``membership`` and ``configuration``.
    bounds : Bounds
        What it relies on.

    Attributes
    ----------
    changes : list of ShareChange
        What this VM held lately, the newest last.
    tiers : tuple of Tier
        The fast one and the slow one.
    counts : Counter
        Of pauses and lapsed leases.
    """

    def __init__(
        self, app: kernel.Application, bounds: lease_tiers.TimingBounds
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._bounds = bounds
        self._vm = app.identity.vm
        self._place = app.identity.data_centre
        self._config = app.find('configuration', configuration.Configuration)
        self._view = app.find('membership', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self.tiers = (
            lease_tiers.LeaseTier(
                1.0 - bounds.long_lease_weight, bounds.lease
            ),
            lease_tiers.LeaseTier(bounds.long_lease_weight, bounds.long_lease),
        )
        self._statuses = share_status.StatusExchange(
            app, len(self.tiers), self._refresh
        )
        now = app.clock.monotonic()
        self.changes = [lease_tiers.ShareChange(0, now, ())]
        self._near = agreement.Agreement(now)
        self._fleet = agreement.Agreement(now)
        self._confirmed = float('-inf')
        self._shrunk = now
        self._looked = now
        self._alone_names: frozenset[str] = frozenset()
        self._alone_at = now
        self._has_left = False
        self._known: (
            tuple[catalogue.Catalogue, lease_tiers.LimitsVersion] | None
        ) = None
        self._rejoin(now)
        self._peers.handle('limits.handover', HandoffRequest, self._take_over)
        self._peers.reply_type('limits.taken', HandoffReply)

    def expire_leases(self) -> float:
        """Return the time, after giving up what has lapsed."""
        now = self._app.clock.monotonic()
        if now - self._looked > self._bounds.pause:
            self._drop_after_pause(now)
        self._looked = now
        for tier in self.tiers:
            until = self._confirmed + tier.lease * (1 - self._bounds.drift)
            if tier.is_active and now >= until:
                self._lapse(tier, now, until)
        return now

    def fraction(self) -> float:
        """Return what this VM holds of its data centre's share."""
        self.expire_leases()
        return sum(tier.fraction(self._vm) for tier in self.tiers)

    def _refresh(self) -> None:
        self._record(self.expire_leases())

    def step(self) -> None:
        """Take what is new; to be called every second."""
        now = self.expire_leases()
        self._statuses.purge()
        self._take_news()
        self._confirm()
        self._compare(now)
        if not self._has_left:
            for index, tier in enumerate(self.tiers):
                self._settle(index, tier, now)
                if not tier.is_active:
                    self._join(index, tier, now)
        self._record(now)

    async def query_other_data_centres(self) -> None:
        """Ask the VMs of other data centres whether they agree.

        Only relays do, and only while older limits may be in force or this
        VM has to join; the others take their word.
        """
        waits = any(
            len(tier.versions) > 1 or not tier.is_active for tier in self.tiers
        )
        if not waits or self._vm not in self._view.relays(self._place):
            return
        for line in self._config.listed.vms:
            near = line.data_centre == self._place
            if not near and not self._statuses.agrees(line.name):
                await self._statuses.fetch(line.name)

    def retire(self) -> None:
        """Hold nothing from now on."""
        self._has_left = True
        self._rejoin(float('inf'))

    async def hand_off(self) -> None:
        """Hold nothing from now on, and leave the part to a neighbour."""
        held = [tier.is_active for tier in self.tiers]
        self.retire()
        heirs = [vm for vm in self._view.live() if vm != self._vm]
        if heirs and any(held):
            heir = self._app.rng.choice(heirs)
            await self._peers.ask(
                heir, HandoffRequest(held), HANDOFF_TIMEOUT_SECONDS
            )

    # What was held is given up.

    def _drop_after_pause(self, now: float) -> None:
        seconds = now - self._looked
        self.counts['paused'] += 1
        self._app.events.add('limits.paused', seconds=seconds)
        self._rejoin(now)

    def _lapse(
        self, tier: lease_tiers.LeaseTier, now: float, at: float
    ) -> None:
        self.counts['lapsed'] += 1
        self._app.events.add('limits.lapsed', lease=tier.lease)
        tier.deactivate(now + self._bounds.loan)
        self._near.restart(now)
        self._fleet.restart(now)
        self._alone_at = now
        self._record(at)

    def _rejoin(self, now: float) -> None:
        wait = self._bounds.lease + self._bounds.loan
        for tier in self.tiers:
            tier.deactivate(now + wait * (1 + self._bounds.drift))
        self._statuses.invalidate()
        self._near.restart(now)
        self._fleet.restart(now)
        self._alone_at = now
        self._confirmed = float('-inf')
        self._record(self._app.clock.monotonic())

    def _record(self, at: float) -> None:
        allocations = tuple(tier.allocation(self._vm) for tier in self.tiers)
        last = self.changes[-1]
        if allocations != last.allocations:
            self.changes.append(
                lease_tiers.ShareChange(
                    last.number + 1, max(at, last.at), allocations
                )
            )
            del self.changes[:-MAX_CHANGES]
        key, since = self._key(), self._statuses.own.since
        if key != self._statuses.own.key:
            since = self._app.clock.monotonic()
        self._statuses.own = share_status.LocalStatus(
            key,
            since,
            [self._state(tier) for tier in self.tiers],
            self._has_left,
        )

    def _state(self, tier: lease_tiers.LeaseTier) -> int:
        if not tier.is_active:
            return share_status.JOINING
        now = self._app.clock.monotonic()
        if not tier.is_settled or now < self._shrunk + self._bounds.loan:
            return share_status.ACTIVE
        return share_status.SETTLED

    # News.

    def _take_news(self) -> None:
        listed = self._config.listed
        names = frozenset(self._listed_near())
        for tier in self.tiers:
            if listed.revision:
                tier.add_vm_set(lease_tiers.VmSet(listed.revision, names))
        found = self._config.catalogue
        if found is not None and self._config.ready.is_set():
            version = self._version(found)
            for tier in self.tiers:
                tier.add_version(version)
        self._return_gifts()
        self._record(self._app.clock.monotonic())

    def _listed_near(self) -> set[str]:
        return {
            line.name
            for line in self._config.listed.vms
            if line.data_centre == self._place
        }

    def _version(
        self, found: catalogue.Catalogue
    ) -> lease_tiers.LimitsVersion:
        if self._known is None or self._known[0] is not found:
            before = self._known[1] if self._known else None
            version = lease_tiers.limits_version(found, self._place, before)
            self._known = found, version
        return self._known[1]

    def _key(self) -> share_status.ConfigurationKey:
        tier = self.tiers[0]
        if not tier.vm_sets or not tier.versions:
            return share_status.NO_CONFIGURATION
        return share_status.ConfigurationKey(
            tier.vm_sets[-1].revision, tier.versions[-1].digest
        )

    def _return_gifts(self) -> None:
        left = set(self._statuses.departed())
        for tier in self.tiers:
            kept = left & tier.vms
            if tier.inherited - kept:
                tier.inherited &= kept
                self._shrunk = self._app.clock.monotonic()

    async def _take_over(
        self, sender: peers.Sender, message: HandoffRequest
    ) -> HandoffReply | None:
        self.expire_leases()
        self._statuses.mark_left(sender)
        if sender.vm not in self._statuses.departed():
            return None
        taken = False
        for tier, held in zip(self.tiers, message.tiers, strict=False):
            if held and tier.is_active and sender.vm in tier.vms:
                tier.inherited.add(sender.vm)
                taken = True
        self._record(self._app.clock.monotonic())
        return HandoffReply() if taken else None

    # Others still count this VM in.

    def _confirm(self) -> None:
        vm_sets = self.tiers[0].vm_sets
        if not vm_sets or self._vm not in vm_sets[-1].vms:
            return
        others = sorted(vm_sets[-1].vms - {self._vm})
        left = self._statuses.departed()
        near = [vm for vm in others if vm not in left]
        by_peers = [self._statuses.confirmed_at(vm) for vm in near]
        if not near:
            far = sorted(self._view.members().keys() - set(others))
            echoes = map(self._statuses.confirmed_at, far)
            by_peers = [max(echoes, default=float('-inf'))]
        self._confirmed = max(
            self._confirmed, min(by_peers), self._config.list_read_at
        )

    def _compare(self, now: float) -> None:
        key = self._statuses.own.key
        near = self._listed_near()
        everywhere = {line.name for line in self._config.listed.vms}
        self._near.step(
            now,
            key.revision,
            near,
            all(map(self._statuses.has_list, near - {self._vm})),
        )
        self._fleet.step(
            now,
            key,
            everywhere,
            all(map(self._statuses.agrees, everywhere - {self._vm})),
        )
        bounds = self._bounds
        longest = self._gone_seconds(bounds.long_lease)
        for group in (self._near, self._fleet):
            group.forget(set(self._statuses.departed()) - everywhere)
            group.forget(group.lapsed(now, longest))

    def _gone_seconds(self, lease: float) -> float:
        bounds = self._bounds
        wait = bounds.list_lag + lease + bounds.loan
        return wait * (1 + bounds.drift)

    def _settle(
        self, index: int, tier: lease_tiers.LeaseTier, now: float
    ) -> None:
        settle = self._bounds.loan * (1 + self._bounds.drift)
        gone = self._gone_seconds(tier.lease)
        trusted = self._is_settled_near(index)
        if trusted or self._near.is_safe(now, settle, gone):
            tier.settle_vm_sets()
        if trusted or self._fleet.is_safe(now, settle, gone):
            tier.settle_versions()

    def _is_settled_near(self, index: int) -> bool:
        others = self._listed_near() - {self._vm}
        return any(
            self._statuses.agrees(vm)
            and self._statuses.tier_state(vm, index) == share_status.SETTLED
            for vm in others
        )

    # Joining.

    def _join(
        self, index: int, tier: lease_tiers.LeaseTier, now: float
    ) -> None:
        recent = now - self._bounds.lease * JOIN_PART
        if not tier.versions or not tier.vm_sets or now < tier.join_at:
            return
        if self._vm not in tier.vm_sets[-1].vms or self._confirmed < recent:
            return
        others = tier.vm_sets[-1].vms - {self._vm}
        if self._alone_names != others:
            self._alone_names = others
            self._alone_at = now
        others -= set(self._statuses.departed())
        for vm in sorted(others):
            heard = self._statuses.received_by_vm.get(vm)
            if not self._statuses.agrees(vm) or heard is None:
                return
            if heard.sent_after < recent:
                return
        states = {self._statuses.tier_state(vm, index) for vm in others}
        if share_status.ACTIVE in states:
            return
        if share_status.SETTLED in states or self._may_begin(tier, now):
            tier.settle_versions()
            tier.is_active = True
            self._app.events.add('limits.joined', lease=tier.lease)

    def _may_begin(self, tier: lease_tiers.LeaseTier, now: float) -> bool:
        """Return whether nobody can hold a part by older news."""
        settle = self._bounds.loan * (1 + self._bounds.drift)
        gone = self._gone_seconds(tier.lease)
        if now < self._alone_at + gone:
            return False
        return self._fleet.is_safe(now, settle, gone)
