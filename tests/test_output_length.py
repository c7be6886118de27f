"""Tests of the prediction of answer lengths."""

import random

import pytest

from corianderspar import output_length


def trained(lengths, account='a', route='r'):
    predictor = output_length.OutputLengthPredictor()
    for tokens in lengths:
        predictor.observe(account, route, tokens)
    return predictor


def test_without_samples_a_fraction_of_max_tokens_is_assumed():
    predictor = output_length.OutputLengthPredictor()
    assert predictor.predict('a', 'r', 800, 0.9) == 100
    assert predictor.predict('a', 'r', 800, 0.9, seen=300) == 600


def test_quantiles_of_an_account_and_route():
    predictor = trained(range(1, 401))
    assert predictor.predict('a', 'r', 4000, 0.5) == pytest.approx(
        200, rel=0.1
    )
    assert predictor.predict('a', 'r', 4000, 0.9) == pytest.approx(
        360, rel=0.1
    )
    assert predictor.predict('a', 'r', 150, 0.9) == 150


def test_accounts_differ_and_new_ones_use_the_whole_route():
    predictor = trained([100] * 50)
    for _ in range(50):
        predictor.observe('b', 'r', 1000)
    assert predictor.predict('a', 'r', 4000, 0.5) == pytest.approx(
        100, rel=0.1
    )
    assert predictor.predict('b', 'r', 4000, 0.5) > 900
    assert predictor.predict('new', 'r', 4000, 0.9) > 900


def test_the_tokens_so_far_raise_the_prediction():
    predictor = trained([100] * 50 + [1000] * 50)
    assert predictor.predict('a', 'r', 4000, 0.4) < 150
    assert predictor.predict('a', 'r', 4000, 0.4, seen=300) > 600
    assert predictor.predict('a', 'r', 4000, 0.4, seen=2000) == 2001


def test_finish_probability_is_calibrated():
    rng = random.Random(1)

    def draw():
        return max(1, int(rng.lognormvariate(0, 0.4) * 80))

    predictor = trained([draw() for _ in range(400)])
    longer = [
        length for length in (draw() for _ in range(4000)) if length > 60
    ]
    ended = sum(length <= 70 for length in longer) / len(longer)
    predicted = predictor.finish_probability('a', 'r', 4000, 60, 10)
    assert predicted == pytest.approx(ended, abs=0.07)


def test_old_answers_are_forgotten():
    predictor = trained([50] * 500)
    for _ in range(2 * output_length.GENERATION_SAMPLES + 50):
        predictor.observe('a', 'r', 500)
    assert predictor.predict('a', 'r', 4000, 0.1) > 450


def test_the_number_of_keys_is_bounded(monkeypatch):
    monkeypatch.setattr(output_length, 'MAX_KEYS', 10)
    predictor = output_length.OutputLengthPredictor()
    for number in range(100):
        predictor.observe(f'a{number}', 'r', 10)
    assert len(predictor._lengths_by_key) <= 10
