"""Tests of answers put together from pieces that come in any order."""

import collections

import hypothesis
from hypothesis import strategies

from corianderspar import answers
from corianderspar import engine

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)


def whole(tokens):
    return [
        engine.Piece('a#1', n, 1, f' w{n}', 'stop' if n == tokens - 1 else '')
        for n in range(tokens)
    ]


def read(pieces):
    counts = collections.Counter()
    answer = answers.Answer('r1', counts)
    answer.begin_run('a#1')
    relayed = []
    for piece in pieces:
        relayed += answer.accept(piece)
    return answer, relayed, counts


@SETTINGS
@hypothesis.given(strategies.data())
def test_noise_around_an_answer_is_not_seen(data):
    pieces = whole(data.draw(strategies.integers(1, 30)))
    noise = strategies.sampled_from(pieces)
    others = noise.map(lambda piece: piece._replace(request_id='b#1'))
    sent = []
    for piece in pieces:
        sent += data.draw(strategies.lists(others, max_size=2))
        sent.append(piece)
    doubled = data.draw(strategies.lists(noise, max_size=10))
    order = data.draw(strategies.permutations(sent + doubled))
    answer, relayed, _counts = read(order)
    assert answer.is_complete
    assert [piece.text for piece in relayed] == [p.text for p in pieces]
    assert {piece.request_id for piece in relayed} == {'r1'}


@SETTINGS
@hypothesis.given(
    strategies.integers(2, 30), strategies.integers(0, 28), strategies.data()
)
def test_a_lost_piece_is_never_a_short_answer(tokens, lost, data):
    hypothesis.assume(lost < tokens)
    pieces = whole(tokens)
    del pieces[lost]
    answer, relayed, _counts = read(data.draw(strategies.permutations(pieces)))
    assert not answer.is_complete
    assert len(relayed) <= lost


def test_pieces_of_an_earlier_call_are_late():
    answer, _relayed, counts = read(whole(5)[:3])
    answer.begin_run('a#2')
    assert answer.accept(whole(5)[3]) == []
    assert counts == {'late': 1}
    assert answer.position == 3


def test_nothing_follows_the_end():
    answer, _relayed, counts = read(whole(3))
    assert answer.accept(engine.Piece('a#1', 3, 1, ' w3')) == []
    assert counts == {'late': 1}
