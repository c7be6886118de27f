"""Tests of booked time on links."""

import pytest

from corianderspar import link_schedule


def two_by_two():
    booked = link_schedule.LinkSchedule()
    rate = 1000.0 * link_schedule.KV_BYTES_PER_TOKEN
    booked.set_rates({'p1': rate, 'p2': rate, 'd1': rate, 'd2': rate / 2})
    return booked


def test_transfers_share_a_link_one_after_the_other():
    booked = two_by_two()
    assert booked.reserve('a', 'p1', 'd1', 1000, 10.0) == pytest.approx(11.0)
    assert booked.reserve('b', 'p2', 'd1', 1000, 10.0) == pytest.approx(12.0)
    assert booked.earliest_start('p1', 'd2', 10.0) == pytest.approx(11.0)


def test_the_slower_link_counts():
    assert two_by_two().transfer_seconds('p1', 'd2', 1000) == pytest.approx(
        2.0
    )


def test_a_dropped_booking_frees_the_links():
    booked = two_by_two()
    booked.reserve('a', 'p1', 'd1', 1000, 10.0)
    booked.release('a')
    booked.release('a')
    assert booked.free_at('p1') == booked.free_at('d1') == 0.0


def test_booking_again_replaces():
    booked = two_by_two()
    booked.reserve('a', 'p1', 'd1', 1000, 10.0)
    booked.reserve('a', 'p1', 'd2', 1000, 10.0)
    assert booked.free_at('d1') == 0.0
    assert booked.free_at('p1') == pytest.approx(12.0)
