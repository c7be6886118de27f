"""Share of a VM in the rates that its data centre may use.

Each data centre has a share of an account's rate and burst, and the VMs that
the platform lists there divide it equally. A VM holds its fraction under two
leases, a short one and a long one. They are renewed while all other VMs of
the data centre confirm that they use the same VM list. A VM without a valid
lease holds nothing, and joins again once no other VM can hold its fraction.
"""

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
# A VM joins only with confirmations newer than this fraction of a lease.
JOIN_LEASE_FRACTION = 0.9


class HandoffRequest(NamedTuple):
    """Hands the share of a VM that shuts down to the receiver.

    Attributes
    ----------
    tiers : list of bool
        For each lease tier, whether the sender held it.
    """

    tiers: list[bool]


class HandoffReply(NamedTuple):
    """The receiver has taken over the share."""


class VmShare:
    """Decides which fraction of its data centre's share this VM holds.

    Parameters
    ----------
    app : Application
        Has the services ``peers``, ``membership`` and ``configuration``.
    bounds : TimingBounds
        Lengths of leases and loans, and bounds on clocks and lists.

    Attributes
    ----------
    changes : list of ShareChange
        The last `MAX_CHANGES` changes of the share, the newest last.
    tiers : tuple of LeaseTier
        The one under the short lease and the one under the long lease.
    counts : Counter
        Pauses and expired leases.
    """

    def __init__(
        self, app: kernel.Application, bounds: lease_tiers.TimingBounds
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._app = app
        self._bounds = bounds
        self._vm = app.identity.vm
        self._data_centre = app.identity.data_centre
        self._config = app.find('configuration', configuration.Configuration)
        self._membership = app.find('membership', membership.Membership)
        self._peers = app.find('peers', peers.Peers)
        self.tiers = (
            lease_tiers.LeaseTier(
                1.0 - bounds.long_lease_weight, bounds.lease
            ),
            lease_tiers.LeaseTier(bounds.long_lease_weight, bounds.long_lease),
        )
        self._statuses = share_status.StatusExchange(
            app, len(self.tiers), self._refresh_status
        )
        now = app.clock.monotonic()
        self.changes = [lease_tiers.ShareChange(0, now, ())]
        self._data_centre_agreement = agreement.AgreementTracker(now)
        self._fleet_agreement = agreement.AgreementTracker(now)
        self._confirmed_at = float('-inf')
        self._returned_at = now
        self._checked_at = now
        self._other_vms: frozenset[str] = frozenset()
        self._other_vms_since = now
        self._has_left = False
        self._version_cache: (
            tuple[catalogue.Catalogue, lease_tiers.LimitsVersion] | None
        ) = None
        self._drop_share(now)
        self._peers.handle('limits.handover', HandoffRequest, self._on_handoff)
        self._peers.add_reply_type('limits.taken', HandoffReply)

    def expire_leases(self) -> float:
        """Give up what has no valid lease, and return the monotonic time."""
        now = self._app.clock.monotonic()
        if now - self._checked_at > self._bounds.pause:
            self._drop_after_pause(now)
        self._checked_at = now
        for tier in self.tiers:
            expires_at = self._confirmed_at + tier.lease * (
                1 - self._bounds.drift
            )
            if tier.is_active and now >= expires_at:
                self._expire(tier, now, expires_at)
        return now

    def fraction(self) -> float:
        """Return the fraction of the data centre's share held, 0 to 1.

        Shares inherited from VMs that shut down are included.
        """
        self.expire_leases()
        return sum(tier.fraction(self._vm) for tier in self.tiers)

    def _refresh_status(self) -> None:
        self._record_change(self.expire_leases())

    def step(self) -> None:
        """Update the share; to be called every second."""
        now = self.expire_leases()
        self._statuses.purge()
        self._adopt_configuration()
        self._confirm_lease()
        self._update_agreement(now)
        if not self._has_left:
            for index, tier in enumerate(self.tiers):
                self._settle(index, tier, now)
                if not tier.is_active:
                    self._join(index, tier, now)
        self._record_change(now)

    async def query_other_data_centres(self) -> None:
        """Request the status of VMs elsewhere that don't agree yet.

        Only relays do so, and only while older limits may be in use or this
        VM has yet to join. Other VMs rely on a settled VM of their own data
        centre.
        """
        is_needed = any(
            len(tier.versions) > 1 or not tier.is_active for tier in self.tiers
        )
        if not is_needed or self._vm not in self._membership.relays(
            self._data_centre
        ):
            return
        for vm in self._config.vm_list.vms:
            is_local = vm.data_centre == self._data_centre
            if not is_local and not self._statuses.agrees(vm.name):
                await self._statuses.fetch(vm.name)

    def retire(self) -> None:
        """Give up the share for good."""
        self._has_left = True
        self._drop_share(float('inf'))

    async def hand_off(self) -> None:
        """Give up the share for good and hand it to another VM.

        The receiver is a random live VM of the same data centre.
        """
        held = [tier.is_active for tier in self.tiers]
        self.retire()
        receivers = [vm for vm in self._membership.live() if vm != self._vm]
        if receivers and any(held):
            receiver = self._app.rng.choice(receivers)
            await self._peers.ask(
                receiver, HandoffRequest(held), HANDOFF_TIMEOUT_SECONDS
            )

    # Giving up the share.

    def _drop_after_pause(self, now: float) -> None:
        seconds = now - self._checked_at
        self.counts['paused'] += 1
        self._app.events.add('limits.paused', seconds=seconds)
        self._drop_share(now)

    def _expire(
        self, tier: lease_tiers.LeaseTier, now: float, at: float
    ) -> None:
        self.counts['lapsed'] += 1
        self._app.events.add('limits.lapsed', lease=tier.lease)
        tier.deactivate(now + self._bounds.loan)
        self._data_centre_agreement.reset(now)
        self._fleet_agreement.reset(now)
        self._other_vms_since = now
        self._record_change(at)

    def _drop_share(self, now: float) -> None:
        wait = self._bounds.lease + self._bounds.loan
        for tier in self.tiers:
            tier.deactivate(now + wait * (1 + self._bounds.drift))
        self._statuses.invalidate()
        self._data_centre_agreement.reset(now)
        self._fleet_agreement.reset(now)
        self._other_vms_since = now
        self._confirmed_at = float('-inf')
        self._record_change(self._app.clock.monotonic())

    def _record_change(self, at: float) -> None:
        allocations = tuple(tier.allocation(self._vm) for tier in self.tiers)
        last = self.changes[-1]
        if allocations != last.allocations:
            self.changes.append(
                lease_tiers.ShareChange(
                    last.number + 1, max(at, last.at), allocations
                )
            )
            del self.changes[:-MAX_CHANGES]
        key, since = self._configuration_key(), self._statuses.local.since
        if key != self._statuses.local.key:
            since = self._app.clock.monotonic()
        self._statuses.local = share_status.LocalStatus(
            key,
            since,
            [self._tier_state(tier) for tier in self.tiers],
            self._has_left,
        )

    def _tier_state(self, tier: lease_tiers.LeaseTier) -> int:
        if not tier.is_active:
            return share_status.JOINING
        now = self._app.clock.monotonic()
        # Tokens lent from a share that was returned may still be spent.
        if not tier.is_settled or now < self._returned_at + self._bounds.loan:
            return share_status.ACTIVE
        return share_status.SETTLED

    # Adopting VM lists and limits.

    def _adopt_configuration(self) -> None:
        listed = self._config.vm_list
        vms = frozenset(self._listed_in_data_centre())
        for tier in self.tiers:
            if listed.revision:
                tier.add_vm_set(lease_tiers.VmSet(listed.revision, vms))
        found = self._config.catalogue
        if found is not None and self._config.ready.is_set():
            version = self._limits_version(found)
            for tier in self.tiers:
                tier.add_version(version)
        self._return_inherited()
        self._record_change(self._app.clock.monotonic())

    def _listed_in_data_centre(self) -> set[str]:
        return {
            vm.name
            for vm in self._config.vm_list.vms
            if vm.data_centre == self._data_centre
        }

    def _limits_version(
        self, source: catalogue.Catalogue
    ) -> lease_tiers.LimitsVersion:
        if self._version_cache is None or self._version_cache[0] is not source:
            previous = self._version_cache[1] if self._version_cache else None
            version = lease_tiers.limits_version(
                source, self._data_centre, previous
            )
            self._version_cache = source, version
        return self._version_cache[1]

    def _configuration_key(self) -> share_status.ConfigurationKey:
        tier = self.tiers[0]
        if not tier.vm_sets or not tier.versions:
            return share_status.NO_CONFIGURATION
        return share_status.ConfigurationKey(
            tier.vm_sets[-1].revision, tier.versions[-1].digest
        )

    def _return_inherited(self) -> None:
        departed = set(self._statuses.departed())
        for tier in self.tiers:
            kept = departed & tier.vms
            if tier.inherited - kept:
                tier.inherited &= kept
                self._returned_at = self._app.clock.monotonic()

    async def _on_handoff(
        self, sender: peers.Sender, message: HandoffRequest
    ) -> HandoffReply | None:
        self.expire_leases()
        self._statuses.mark_left(sender)
        if sender.vm not in self._statuses.departed():
            return None
        is_taken = False
        for tier, held in zip(self.tiers, message.tiers, strict=False):
            if held and tier.is_active and sender.vm in tier.vms:
                tier.inherited.add(sender.vm)
                is_taken = True
        self._record_change(self._app.clock.monotonic())
        return HandoffReply() if is_taken else None

    # Confirming the leases.

    def _confirm_lease(self) -> None:
        """Update the moment at which the leases were last confirmed.

        All other VMs of the data centre have to confirm; if there are none,
        any other member may. A read of the platform's list confirms too.
        """
        vm_sets = self.tiers[0].vm_sets
        if not vm_sets or self._vm not in vm_sets[-1].vms:
            return
        others = sorted(vm_sets[-1].vms - {self._vm})
        departed = self._statuses.departed()
        remaining = [vm for vm in others if vm not in departed]
        confirmations = [self._statuses.confirmed_at(vm) for vm in remaining]
        if not remaining:
            other_members = sorted(
                self._membership.members().keys() - set(others)
            )
            moments = map(self._statuses.confirmed_at, other_members)
            confirmations = [max(moments, default=float('-inf'))]
        self._confirmed_at = max(
            self._confirmed_at,
            min(confirmations),
            self._config.list_verified_at,
        )

    def _update_agreement(self, now: float) -> None:
        key = self._statuses.local.key
        local_vms = self._listed_in_data_centre()
        all_vms = {vm.name for vm in self._config.vm_list.vms}
        self._data_centre_agreement.update(
            now,
            key.revision,
            local_vms,
            all(map(self._statuses.has_list, local_vms - {self._vm})),
        )
        self._fleet_agreement.update(
            now,
            key,
            all_vms,
            all(map(self._statuses.agrees, all_vms - {self._vm})),
        )
        bounds = self._bounds
        longest = self._departure_seconds(bounds.long_lease)
        for tracker in (self._data_centre_agreement, self._fleet_agreement):
            tracker.forget(set(self._statuses.departed()) - all_vms)
            tracker.forget(tracker.expired(now, longest))

    def _departure_seconds(self, lease: float) -> float:
        """Return the seconds after which a VM off the list holds nothing.

        It may still read an old list, then hold a lease, then spend a loan.
        """
        bounds = self._bounds
        wait = bounds.list_lag + lease + bounds.loan
        return wait * (1 + bounds.drift)

    def _settle(
        self, index: int, tier: lease_tiers.LeaseTier, now: float
    ) -> None:
        """Drop older VM sets and versions that no VM can use any more."""
        settle = self._bounds.loan * (1 + self._bounds.drift)
        departure = self._departure_seconds(tier.lease)
        is_confirmed = self._has_settled_peer(index)
        if is_confirmed or self._data_centre_agreement.is_converged(
            now, settle, departure
        ):
            tier.settle_vm_sets()
        if is_confirmed or self._fleet_agreement.is_converged(
            now, settle, departure
        ):
            tier.settle_versions()

    def _has_settled_peer(self, index: int) -> bool:
        """Return whether a VM of the data centre agrees and is settled."""
        others = self._listed_in_data_centre() - {self._vm}
        return any(
            self._statuses.agrees(vm)
            and self._statuses.tier_state(vm, index) == share_status.SETTLED
            for vm in others
        )

    # Joining.

    def _join(
        self, index: int, tier: lease_tiers.LeaseTier, now: float
    ) -> None:
        """Activate a tier if the other VMs agree and it is safe to join.

        Every other VM of the data centre that has not left must have adopted
        the same configuration, none may be active without being settled, and
        either one is settled or this VM may join first.
        """
        recent = now - self._bounds.lease * JOIN_LEASE_FRACTION
        if not tier.versions or not tier.vm_sets or now < tier.join_at:
            return
        if self._vm not in tier.vm_sets[-1].vms or self._confirmed_at < recent:
            return
        others = tier.vm_sets[-1].vms - {self._vm}
        if self._other_vms != others:
            self._other_vms = others
            self._other_vms_since = now
        others -= set(self._statuses.departed())
        for vm in sorted(others):
            received = self._statuses.received_by_vm.get(vm)
            if not self._statuses.agrees(vm) or received is None:
                return
            if received.sent_after < recent:
                return
        states = {self._statuses.tier_state(vm, index) for vm in others}
        # Joining drops all versions but the newest, so wait while an active
        # VM cannot yet rule out that an older state is in use somewhere.
        if share_status.ACTIVE in states:
            return
        if share_status.SETTLED in states or self._may_join_first(tier, now):
            tier.settle_versions()
            tier.is_active = True
            self._app.events.add('limits.joined', lease=tier.lease)

    def _may_join_first(self, tier: lease_tiers.LeaseTier, now: float) -> bool:
        """Return whether no VM can hold a share by an older state."""
        settle = self._bounds.loan * (1 + self._bounds.drift)
        departure = self._departure_seconds(tier.lease)
        if now < self._other_vms_since + departure:
            return False
        return self._fleet_agreement.is_converged(now, settle, departure)
