"""Tests of the ways to tell whether a prefix is cached."""

import random

import pytest

from corianderspar import reuse_trial


def accesses(seed, number):
    rng = random.Random(seed)
    return [min(int(rng.expovariate(1 / 60)), 400) for _ in range(number)]


def test_the_re_access_ratio_gives_the_reuse_distance():
    cache = reuse_trial.ReuseCache(100)
    stream = accesses(1, 8 * reuse_trial.WINDOW)
    for block in stream:
        cache.note_sent((block,), 0.0)
    for back in (20, 100, 400):
        unique = len(set(stream[-back:]))
        said = cache.distance(len(stream) - back)
        assert said == pytest.approx(unique, rel=0.25)


def test_plain_recency_counts_every_access():
    cache = reuse_trial.RecencyCache(3)
    for block in (1, 2, 2, 2):
        cache.note_sent((block,), 0.0)
    assert cache.match((1,)) == 1
    cache.note_sent((2,), 0.0)
    assert cache.match((1,)) == 0
