"""The upstreams that are registered, and what was learned about them.

The store may return from an older copy of its data. Such a copy may lack
upstreams that are alive, and may hold upstreams that have left since. What
was learned about an upstream therefore outlives the store's own record of it:
one that is leaving gets no new requests, whatever the copy says, and one that
was removed is used again only if it registers anew or if the copy's record
outlasts the time after which the store removes those that are silent.

Knowledge is kept per process. An upstream that starts again under the same
instance has a later start time, and nothing of its earlier run applies to it.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import types
from typing import NamedTuple

from corianderspar.router import model
from corianderspar.router import store

# After an outage of the store, live upstreams renew their registrations
# within this time.
REMOVAL_GRACE_SECONDS = 2.0
# The store removes a registration that was not renewed for three intervals of
# 1.2 s. One of an older copy that lasts longer than that has been renewed.
RESTORED_WAIT_SECONDS = 6.0
MAX_TOMBSTONES = 1024  # removals kept to tell peers of them one by one
MAX_REMEMBERED = 4096  # processes known to be leaving or removed


class _Entry(NamedTuple):
    """What the store holds for an instance.

    Attributes
    ----------
    position : Position
        Where it was written.
    upstream : Upstream or None
        None if it was removed.
    cold_until : float
        When the upstream ceases to be cold; -inf if it is not cold.
    """

    position: store.Position
    upstream: model.Upstream | None
    cold_until: float = float('-inf')


class Memory(NamedTuple):
    """What is known of a process beyond its registration.

    Daemons pass it to those that start.

    Attributes
    ----------
    started_ms : int
        As in `Upstream`; 0 if unknown.
    era : int
        Era of the store in which it was learned.
    is_leaving : bool
        Whether the process announced that it leaves; if not, its
        registration was removed.
    """

    started_ms: int
    era: int
    is_leaving: bool


NOTHING: Mapping[str, Memory] = types.MappingProxyType({})


class Registrations:
    """Registered upstreams.

    Times are monotonic seconds.

    Parameters
    ----------
    log : callable
        Called with the name and the fields of each event.
    report : callable
        Called with the name and the exception of a change that could not be
        applied. It names no upstream then, like one that is unreadable.

    Attributes
    ----------
    upstreams_by_instance : dict of str to Upstream
        The upstreams in use. Those that are leaving have ``ready`` unset.
        Those removed about the time of an outage of the store stay for
        `REMOVAL_GRACE_SECONDS` after it.
    complete_after : int
        Revision in the present era after which all single changes are known.
    """

    def __init__(
        self,
        log: Callable[..., None],
        report: Callable[[str, Exception], None],
    ) -> None:
        self.upstreams_by_instance: dict[str, model.Upstream] = {}
        self.complete_after = 0
        self._log = log
        self._report = report
        self._entries_by_instance: dict[str, _Entry] = {}
        self._removals_due_by_instance: dict[str, float] = {}
        self._admissions_due_by_instance: dict[str, float] = {}
        self._memory_by_instance: collections.OrderedDict[str, Memory] = (
            collections.OrderedDict()
        )

    def cold_left(self, upstream: model.Upstream, now: float) -> float:
        """Return the seconds for which an upstream is registered as cold."""
        entry = self._entries_by_instance.get(upstream.instance)
        if (
            entry is None
            or entry.upstream is None
            or entry.upstream.started_ms != upstream.started_ms
        ):
            return 0.0
        return max(entry.cold_until - now, 0.0)

    def entries_after(
        self, revision: int, now: float
    ) -> list[tuple[str, int, model.Upstream | None]]:
        """Return instance, revision and upstream of entries after a revision.

        These are the entries as the store holds them. The receiver applies
        what it knows of the upstreams by itself. Times for which they stay
        cold are those that are left now.
        """
        return [
            (
                instance,
                entry.position.revision,
                entry.upstream
                and entry.upstream._replace(
                    cold_left=max(entry.cold_until - now, 0.0)
                ),
            )
            for instance, entry in self._entries_by_instance.items()
            if entry.position.revision > revision
        ]

    @property
    def memories_by_instance(self) -> dict[str, Memory]:
        """What contradicts registrations that the store lists as ready."""
        return {
            instance: memory
            for instance, memory in self._memory_by_instance.items()
            if (entry := self._entries_by_instance.get(instance)) is not None
            and entry.upstream is not None
            and entry.upstream.ready
        }

    def apply_snapshot(
        self,
        changes: Iterable[store.Change],
        position: store.Position,
        now: float,
        outage_at: float,
        memories_by_instance: Mapping[str, Memory] = NOTHING,
    ) -> None:
        """Replace the registrations by all that the store holds.

        Parameters
        ----------
        changes : iterable of Change
            All entries.
        position : Position
            At which the store held them.
        now : float
            The present time.
        outage_at : float
            When the source of the changes was last cut off from the store.
        memories_by_instance : mapping of str to Memory
            What a peer that sent the changes knows beyond them.
        """
        for instance, memory in memories_by_instance.items():
            if (
                not memory.is_leaving
                and instance not in self._memory_by_instance
            ):
                self._remember(instance, memory)
        by_instance = {change.instance: change for change in changes}
        for instance in list(self._entries_by_instance):
            change = by_instance.get(instance)
            if change is not None and change.upstream is not None:
                continue
            if self._entries_by_instance[instance].position > position:
                continue
            del self._entries_by_instance[instance]
            self._remove(instance, 'missing', position.era, now, outage_at)
        for change in by_instance.values():
            self._try_to_apply(change, position.era, now, outage_at, True)
        for instance, memory in memories_by_instance.items():
            upstream = self.upstreams_by_instance.get(instance)
            if (
                memory.is_leaving
                and upstream is not None
                and upstream.started_ms == memory.started_ms
                and self.mark_leaving(upstream, memory.era)
            ):
                self._log(
                    'upstream.leaving',
                    instance=instance,
                    service=upstream.service,
                    source='snapshot of a peer',
                )
        self.complete_after = position.revision

    def apply_changes(
        self,
        changes: Iterable[store.Change],
        era: int,
        now: float,
        outage_at: float,
    ) -> None:
        """Apply changes of an era; other parameters as in `apply_snapshot`."""
        for change in changes:
            self._try_to_apply(change, era, now, outage_at, False)
        self._drop_oldest_tombstones()

    def mark_leaving(self, upstream: model.Upstream, era: int) -> bool:
        """Record that an upstream announced that it leaves.

        Returns
        -------
        bool
            Whether this was not known.
        """
        instance = upstream.instance
        known = self._memory_by_instance.get(instance)
        if known is not None and (
            _is_later(known.started_ms, upstream.started_ms)
            or (known.is_leaving and known.started_ms == upstream.started_ms)
        ):
            return False
        self._remember(instance, Memory(upstream.started_ms, era, True))
        present = self.upstreams_by_instance.get(instance)
        if present is None or _is_later(
            present.started_ms, upstream.started_ms
        ):
            return False
        self.upstreams_by_instance[instance] = present._replace(ready=False)
        return present.ready

    def apply_due(self, now: float, era: int) -> bool:
        """Drop and admit upstreams whose wait is over.

        Returns
        -------
        bool
            Whether anything changed.
        """
        removals = _due(self._removals_due_by_instance, now)
        for instance in removals:
            self._drop(instance, 'lapsed', era)
        admissions = _due(self._admissions_due_by_instance, now)
        for instance in admissions:
            del self._admissions_due_by_instance[instance]
            entry = self._entries_by_instance.get(instance)
            if entry is not None and entry.upstream is not None:
                self._memory_by_instance.pop(instance, None)
                self._add(entry.upstream, entry.position.revision)
        return bool(removals or admissions)

    def _try_to_apply(
        self,
        change: store.Change,
        era: int,
        now: float,
        outage_at: float,
        is_copy: bool,
    ) -> None:
        """Apply a change; one that fails does not keep back those after."""
        try:
            self._apply(change, era, now, outage_at, is_copy=is_copy)
        except Exception as error:  # noqa: BLE001
            self._report(f'registration {change.instance}', error)
            self.upstreams_by_instance.pop(change.instance, None)
            self._removals_due_by_instance.pop(change.instance, None)
            self._admissions_due_by_instance.pop(change.instance, None)

    def _apply(
        self,
        change: store.Change,
        era: int,
        now: float,
        outage_at: float,
        *,
        is_copy: bool,
    ) -> None:
        instance = change.instance
        position = store.Position(era, change.revision)
        known = self._entries_by_instance.get(instance)
        if known is not None and position < known.position:
            return
        cold_until = float('-inf')
        if change.upstream is not None and change.upstream.cold_left > 0.0:
            cold_until = now + change.upstream.cold_left
        if (
            known is not None
            and position == known.position
            and known.cold_until > float('-inf')
        ):
            # A copy of what is known, which does not prolong a cold state. It
            # may tell of one that a peer of an older build did not pass on.
            cold_until = known.cold_until
        self._entries_by_instance[instance] = _Entry(
            position, change.upstream, cold_until
        )
        self._admissions_due_by_instance.pop(instance, None)
        if change.upstream is None:
            self._remove(instance, 'removed', era, now, outage_at)
            return
        upstream = change.upstream
        present = self.upstreams_by_instance.get(instance)
        if present is not None and _is_later(
            present.started_ms, upstream.started_ms
        ):
            # The copy is of an earlier run of the same instance.
            return
        memory = self._memory_by_instance.get(instance)
        if memory is not None and _is_later(
            upstream.started_ms, memory.started_ms
        ):
            memory = None
        if memory is not None and _is_later(
            memory.started_ms, upstream.started_ms
        ):
            return
        if memory is not None:
            is_rewritten = era == memory.era or not is_copy
            is_same_run = upstream.started_ms != 0
            if memory.is_leaving and (is_same_run or not is_rewritten):
                upstream = upstream._replace(ready=False)
            elif not is_rewritten:
                self._admissions_due_by_instance[instance] = (
                    now + RESTORED_WAIT_SECONDS
                )
                self._log(
                    'upstream.withheld',
                    instance=instance,
                    revision=change.revision,
                    era=era,
                    removed_in_era=memory.era,
                    wait=f'{RESTORED_WAIT_SECONDS:.1f}',
                )
                return
            else:
                del self._memory_by_instance[instance]
        if not upstream.ready:
            self._remember(instance, Memory(upstream.started_ms, era, True))
        self._add(upstream, change.revision)

    def _add(self, upstream: model.Upstream, revision: int) -> None:
        self._removals_due_by_instance.pop(upstream.instance, None)
        known = self.upstreams_by_instance.get(upstream.instance)
        self.upstreams_by_instance[upstream.instance] = upstream
        if known is None or known._replace(cold_left=0.0) != upstream._replace(
            cold_left=0.0
        ):
            self._log(
                'upstream.registered',
                instance=upstream.instance,
                service=upstream.service,
                address=upstream.address,
                phase=upstream.phase.value,
                ready=upstream.ready,
                started_ms=upstream.started_ms,
                version=upstream.version,
                revision=revision,
            )

    def _remove(
        self,
        instance: str,
        reason: str,
        era: int,
        now: float,
        outage_at: float,
    ) -> None:
        self._admissions_due_by_instance.pop(instance, None)
        if instance not in self.upstreams_by_instance:
            return
        if now - outage_at < REMOVAL_GRACE_SECONDS:
            # The outage may have kept the upstream from renewing its
            # registration.
            self._removals_due_by_instance.setdefault(
                instance, outage_at + REMOVAL_GRACE_SECONDS
            )
            return
        self._drop(instance, reason, era)

    def _drop(self, instance: str, reason: str, era: int) -> None:
        self._removals_due_by_instance.pop(instance, None)
        upstream = self.upstreams_by_instance.pop(instance)
        self._remember(
            instance, Memory(upstream.started_ms, era, not upstream.ready)
        )
        self._log('upstream.gone', instance=instance, why=reason, era=era)

    def _remember(self, instance: str, memory: Memory) -> None:
        self._memory_by_instance[instance] = memory
        self._memory_by_instance.move_to_end(instance)
        if len(self._memory_by_instance) > MAX_REMEMBERED:
            self._memory_by_instance.popitem(last=False)

    def _drop_oldest_tombstones(self) -> None:
        """Forget the oldest removals; older peers then get a snapshot."""
        tombstones = sorted(
            (entry.position, instance)
            for instance, entry in self._entries_by_instance.items()
            if entry.upstream is None
        )
        excess = len(tombstones) - MAX_TOMBSTONES
        if excess <= 0:
            return
        for position, instance in tombstones[: excess + MAX_TOMBSTONES // 2]:
            del self._entries_by_instance[instance]
            self.complete_after = max(self.complete_after, position.revision)


def _is_later(started_ms: int, other_ms: int) -> bool:
    """Return whether a run started after another; False if unknown."""
    return bool(started_ms and other_ms) and started_ms > other_ms


def _due(due_by_instance: dict[str, float], now: float) -> list[str]:
    return [i for i, due in due_by_instance.items() if due <= now]
