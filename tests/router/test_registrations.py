"""What is learned about upstreams outlives the store's own record of it."""

from corianderspar.router import registrations
from corianderspar.router import store
from tests.router import system

LONG_AGO = float('-inf')  # no outage of the store


def entry(name, revision, **changes):
    return store.Change(
        revision, instance=name, upstream=system.upstream(name, **changes)
    )


def leaving(change):
    return change._replace(upstream=change.upstream._replace(ready=False))


def started(change, started_ms):
    return change._replace(
        upstream=change.upstream._replace(started_ms=started_ms)
    )


class Ledger:
    """Registrations with a clock."""

    def __init__(self, *changes):
        self.now = 100.0
        self.events = []
        self.found = registrations.Registrations(
            lambda name, **_fields: self.events.append(name),
            lambda name, _error: self.events.append(name),
        )
        self.snapshot(1, 10, *changes)

    def snapshot(self, era, revision, *changes, outage_at=LONG_AGO):
        self.found.apply_snapshot(
            changes, store.Position(era, revision), self.now, outage_at
        )

    def change(self, era, *changes):
        self.found.apply_changes(changes, era, self.now, LONG_AGO)

    def wait(self, seconds, era=2):
        self.now += seconds
        self.found.apply_due(self.now, era)

    def ready(self):
        return {
            name
            for name, upstream in self.found.upstreams_by_instance.items()
            if upstream.ready
        }


def test_lower_revision_of_a_later_era_replaces_a_higher_one():
    ledger = Ledger(entry('s1', 9))
    ledger.snapshot(2, 5)
    assert not ledger.ready()
    ledger.change(2, entry('s1', 6))
    assert ledger.ready() == {'s1'}


def test_older_revision_of_the_same_era_is_ignored():
    ledger = Ledger(entry('s1', 9))
    ledger.change(1, store.Change(8, instance='s1'))
    assert ledger.ready() == {'s1'}


def test_copy_that_shows_a_leaving_upstream_as_ready_is_not_believed():
    ledger = Ledger(entry('s1', 8))
    ledger.change(1, leaving(entry('s1', 9)))
    ledger.snapshot(2, 8, entry('s1', 8))
    assert not ledger.ready()


def test_copy_that_shows_an_upstream_that_left_is_not_believed():
    ledger = Ledger(entry('s1', 8))
    ledger.change(1, leaving(entry('s1', 9)), store.Change(10, instance='s1'))
    ledger.snapshot(2, 8, entry('s1', 8))
    ledger.wait(60.0)
    assert not ledger.ready()


def test_leaving_that_an_upstream_announced_itself_outlives_a_copy():
    ledger = Ledger(entry('s1', 8))
    assert ledger.found.mark_leaving(system.upstream('s1'), 1)
    assert not ledger.found.mark_leaving(system.upstream('s1'), 1)
    ledger.snapshot(2, 8, entry('s1', 8))
    assert not ledger.ready()


def test_new_process_under_the_same_instance_is_used():
    ledger = Ledger(started(entry('s1', 8), 1000))
    ledger.change(1, started(leaving(entry('s1', 9)), 1000))
    ledger.change(1, started(entry('s1', 10), 1000))
    assert not ledger.ready()
    ledger.change(1, started(entry('s1', 11), 2000))
    assert ledger.ready() == {'s1'}


def test_copy_of_an_earlier_process_does_not_replace_a_later_one():
    ledger = Ledger(started(entry('s1', 8), 2000))
    ledger.snapshot(2, 5, started(leaving(entry('s1', 4)), 1000))
    assert ledger.found.upstreams_by_instance['s1'].started_ms == 2000
    assert ledger.ready() == {'s1'}


def test_removed_upstream_of_a_copy_is_withheld_until_the_copy_proves_true():
    ledger = Ledger(entry('s1', 8))
    ledger.change(1, store.Change(9, instance='s1'))
    ledger.snapshot(2, 8, entry('s1', 8))
    assert 'upstream.withheld' in ledger.events
    ledger.wait(registrations.RESTORED_WAIT_SECONDS - 0.1)
    assert not ledger.ready()
    ledger.wait(0.2)
    assert ledger.ready() == {'s1'}


def test_withheld_upstream_that_the_store_removes_is_not_used():
    ledger = Ledger(entry('s1', 8))
    ledger.change(1, store.Change(9, instance='s1'))
    ledger.snapshot(2, 8, entry('s1', 8))
    ledger.wait(3.6)
    ledger.change(2, store.Change(9, instance='s1'))
    ledger.wait(60.0)
    assert not ledger.ready()


def test_removed_upstream_that_registers_anew_is_used_at_once():
    ledger = Ledger(entry('s1', 8))
    ledger.change(1, store.Change(9, instance='s1'))
    ledger.change(1, entry('s1', 10))
    assert ledger.ready() == {'s1'}
    ledger.change(1, store.Change(11, instance='s1'))
    ledger.snapshot(2, 8, entry('s1', 8))
    ledger.change(2, entry('s1', 9))
    assert ledger.ready() == {'s1'}


def test_upstream_that_a_copy_lacks_stays_until_it_can_register_again():
    ledger = Ledger(entry('s1', 8), entry('s2', 9))
    ledger.snapshot(2, 5, outage_at=ledger.now)
    assert ledger.ready() == {'s1', 's2'}
    ledger.change(2, entry('s1', 6))
    ledger.wait(registrations.REMOVAL_GRACE_SECONDS)
    assert ledger.ready() == {'s1'}


def test_cold_time_ages_from_when_it_was_learned():
    ledger = Ledger(entry('s1', 5), entry('s2', 6))
    cold = entry('s1', 11)
    upstream = cold.upstream._replace(cold_left=3.0)
    ledger.change(1, cold._replace(upstream=upstream))
    ledger.now += 2.0
    # A copy of the same revision does not begin the time anew.
    ledger.snapshot(1, 12, cold._replace(upstream=upstream), entry('s2', 6))
    assert ledger.found.cold_left(upstream, ledger.now) == 1.0
    told = {i: u.cold_left for i, _, u in ledger.found.entries_after(0, 102.0)}
    assert told == {'s1': 1.0, 's2': 0.0}
    assert not ledger.found.cold_left(
        upstream._replace(started_ms=7), ledger.now
    )


def test_removals_that_are_forgotten_make_older_peers_need_a_snapshot(
    monkeypatch,
):
    monkeypatch.setattr(registrations, 'MAX_TOMBSTONES', 4)
    ledger = Ledger(*(entry(f's{n}', n) for n in range(1, 11)))
    for number in range(1, 10):
        ledger.change(1, store.Change(10 + number, instance=f's{number}'))
    kept = ledger.found.entries_after(0, ledger.now)
    assert len(kept) <= 5
    assert ledger.found.complete_after > 10
    assert all(
        revision > ledger.found.complete_after
        for _name, revision, upstream in kept
        if upstream is None
    )
