"""Tests of the schedule of KV cache transfers."""

import pytest

from corianderspar import link_schedule


def make_schedule():
    schedule = link_schedule.LinkSchedule()
    rate = 1000.0 * link_schedule.KV_BYTES_PER_TOKEN
    schedule.set_rates({'p1': rate, 'p2': rate, 'd1': rate, 'd2': rate / 2})
    return schedule


def test_transfers_on_a_link_run_one_after_the_other():
    schedule = make_schedule()
    assert schedule.reserve('a', 'p1', 'd1', 1000, 10.0) == pytest.approx(11.0)
    assert schedule.reserve('b', 'p2', 'd1', 1000, 10.0) == pytest.approx(12.0)
    assert schedule.earliest_start('p1', 'd2', 10.0) == pytest.approx(11.0)


def test_the_slower_link_determines_the_duration():
    assert make_schedule().transfer_seconds('p1', 'd2', 1000) == pytest.approx(
        2.0
    )


def test_a_released_transfer_frees_the_links():
    schedule = make_schedule()
    schedule.reserve('a', 'p1', 'd1', 1000, 10.0)
    schedule.release('a')
    schedule.release('a')
    assert schedule.free_at('p1') == schedule.free_at('d1') == 0.0


def test_a_second_transfer_of_a_request_replaces_the_first():
    schedule = make_schedule()
    schedule.reserve('a', 'p1', 'd1', 1000, 10.0)
    schedule.reserve('a', 'p1', 'd2', 1000, 10.0)
    assert schedule.free_at('d1') == 0.0
    assert schedule.free_at('p1') == pytest.approx(12.0)
