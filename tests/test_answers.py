"""Tests of the assembly of answers from pieces in any order."""

import collections

import hypothesis
from hypothesis import strategies

from corianderspar import answers
from corianderspar import engine

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)


def make_pieces(tokens):
    return [
        engine.Piece('a#1', n, 1, f' w{n}', 'stop' if n == tokens - 1 else '')
        for n in range(tokens)
    ]


def assemble(pieces):
    counts = collections.Counter()
    answer = answers.Answer('r1', counts)
    answer.begin_run('a#1')
    accepted = []
    for piece in pieces:
        accepted += answer.accept(piece)
    return answer, accepted, counts


@SETTINGS
@hypothesis.given(strategies.data())
def test_duplicates_and_pieces_of_other_requests_are_dropped(data):
    pieces = make_pieces(data.draw(strategies.integers(1, 30)))
    any_piece = strategies.sampled_from(pieces)
    foreign_piece = any_piece.map(
        lambda piece: piece._replace(request_id='b#1')
    )
    sent = []
    for piece in pieces:
        sent += data.draw(strategies.lists(foreign_piece, max_size=2))
        sent.append(piece)
    duplicates = data.draw(strategies.lists(any_piece, max_size=10))
    order = data.draw(strategies.permutations(sent + duplicates))
    answer, accepted, _counts = assemble(order)
    assert answer.is_complete
    assert [piece.text for piece in accepted] == [p.text for p in pieces]
    assert {piece.request_id for piece in accepted} == {'r1'}


@SETTINGS
@hypothesis.given(
    strategies.integers(2, 30), strategies.integers(0, 28), strategies.data()
)
def test_answer_with_a_lost_piece_is_not_complete(tokens, lost, data):
    hypothesis.assume(lost < tokens)
    pieces = make_pieces(tokens)
    del pieces[lost]
    answer, accepted, _counts = assemble(
        data.draw(strategies.permutations(pieces))
    )
    assert not answer.is_complete
    assert len(accepted) <= lost


def test_pieces_of_an_earlier_run_are_late():
    answer, _accepted, counts = assemble(make_pieces(5)[:3])
    answer.begin_run('a#2')
    assert answer.accept(make_pieces(5)[3]) == []
    assert counts == {'late': 1}
    assert answer.position == 3


def test_pieces_after_the_end_are_late():
    answer, _accepted, counts = assemble(make_pieces(3))
    assert answer.accept(engine.Piece('a#1', 3, 1, ' w3')) == []
    assert counts == {'late': 1}
