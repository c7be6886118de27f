import pytest

from corianderspar.router import event_stream


def encode(*numbers):
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


@pytest.mark.parametrize('size', [1, 2, 3, 7, 1000])
@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
def test_events_are_the_same_in_pieces_of_any_size(size, line_end):
    content = encode(1, 2, 3) + b'\n\n\n' + encode(4) + b'id: 5\n'
    content = content.replace(b'\n', line_end)
    parser = event_stream.EventParser(None)
    events = []
    for start in range(0, len(content), size):
        events += parser.feed(content[start : start + size])
    assert (
        b''.join(event.content for event in events)
        == content[: content.index(b'id: 5')]
    )
    assert [e.number for e in events if e.number] == [1, 2, 3, 4]
    assert not parser.is_between_events


def test_endless_event_is_not_copied_for_each_of_its_pieces():
    class Piece(bytes):
        """Counts the bytes that are joined with what came before."""

        joined = 0

        def __radd__(self, other):
            Piece.joined += len(other)
            return bytes(other) + bytes(self)

    parser = event_stream.EventParser(None)
    piece = Piece(b'x' * 64)
    with pytest.raises(event_stream.StreamError, match='too long'):
        for _ in range(event_stream.MAX_EVENT_BYTES):
            parser.feed(piece)
    assert Piece.joined == 0


def test_endless_events_that_the_caller_has_are_an_error():
    parser = event_stream.EventParser(40)
    assert not parser.feed(encode(*range(1, 41)))
    with pytest.raises(event_stream.StreamError, match='caller has'):
        for _ in range(1000):
            parser.feed(encode(40))


@pytest.mark.parametrize('number', [b'9', b'9' * 40])
def test_events_before_an_error_are_asked_for_again(number):
    """Guards against a piece that is lost with the rest of its chunk."""
    parser = event_stream.EventParser(None)
    assert len(parser.feed(encode(1, 2))) == 2
    with pytest.raises(event_stream.StreamError):
        parser.feed(encode(3, 4) + b'id: ' + number + b'\ndata: x\n\n')
    assert parser.last == 2
    parser.discard_incomplete()
    assert [e.number for e in parser.feed(encode(3, 4))] == [3, 4]


def test_each_engine_may_repeat_the_events_that_the_caller_has():
    parser = event_stream.EventParser(40)
    for _round in range(4):
        assert not parser.feed(encode(*range(1, 41)))
        parser.discard_incomplete()
    assert [e.number for e in parser.feed(encode(40, 41))] == [41]


def test_endless_number_is_an_error_of_the_stream():
    parser = event_stream.EventParser(None)
    with pytest.raises(event_stream.StreamError, match='number'):
        parser.feed(b'id: ' + b'1' * 5000 + b'\n\n')


def test_comment_is_told_from_an_event():
    content = b': a\r\n:b\r\n\r\n' + b'\n\n' + b':\ndata: x\n\n' + encode(1)
    events = event_stream.EventParser(None).feed(content)
    assert [event.is_comment for event in events] == [True, True, False, False]
