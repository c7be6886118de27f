"""Tests of the estimate of an engine's cached blocks."""

from corianderspar import engine
from corianderspar import prefix_cache


def cache_event(sequence, added=(), removed=()):
    return engine.CacheEvent(sequence, tuple(added), tuple(removed))


def test_sent_blocks_match_up_to_the_first_unknown():
    cache = prefix_cache.EngineCache(10)
    cache.note_sent((1, 2, 3), 0.0)
    assert cache.match((1, 2, 9)) == 2
    assert cache.match((9, 1)) == 0


def test_the_least_recent_prompt_is_evicted_from_its_end():
    cache = prefix_cache.EngineCache(4)
    cache.note_sent((1, 2), 0.0)
    cache.note_sent((3, 4, 5), 1.0)
    assert cache.match((3, 4, 5)) == 3
    assert cache.match((1, 2)) == 1


def test_a_late_removal_does_not_undo_what_was_sent_since():
    cache = prefix_cache.EngineCache(10)
    cache.note_sent((1,), 10.0)
    cache.apply_event(
        cache_event(1, removed=(1,)), 10.0 + prefix_cache.EVENT_LAG_SECONDS / 2
    )
    assert cache.match((1,)) == 1
    cache.apply_event(
        cache_event(2, removed=(1,)), 10.0 + prefix_cache.EVENT_LAG_SECONDS * 2
    )
    assert cache.match((1,)) == 0


def test_gaps_are_counted_and_old_events_ignored():
    cache = prefix_cache.EngineCache(10)
    cache.apply_event(cache_event(1, added=(1,)), 0.0)
    cache.apply_event(cache_event(5, added=(2,)), 0.0)
    cache.apply_event(cache_event(4, removed=(1,)), 100.0)
    assert cache.sequence_gaps == 1
    assert cache.match((1, 2)) == 2


def test_sent_blocks_stay_if_all_events_are_lost():
    cache = prefix_cache.EngineCache(10)
    cache.note_sent((1, 2), 0.0)
    cache.apply_event(cache_event(7), 1.0)
    assert cache.match((1, 2)) == 2


def test_blocks_that_were_never_computed_are_removed():
    cache = prefix_cache.EngineCache(10)
    cache.note_sent((1, 2, 3), 0.0)
    cache.discard((2, 3))
    assert cache.match((1, 2, 3)) == 1
