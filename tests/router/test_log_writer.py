"""Tests of how many log lines callers may cause."""

from corianderspar import timeline
from corianderspar.router import log_writer  # noqa: H306


def test_lines_on_callers_leave_room_for_others(tmp_path):
    path = tmp_path / 'log'
    with path.open('wb') as file:
        writer = log_writer.LogWriter(file.fileno())
        line = {'message_type': 'request.refused', 'path': 'x' * 200}
        for _ in range(100):
            for _ in range(200):
                writer.enqueue(line)
            writer.flush()
        writer.enqueue({'message_type': 'store.lost'})
        writer.flush()
    text = path.read_text()
    assert len(text) < 2 * log_writer.CALLER_BURST_BYTES
    assert text.count('event=request.refused') > 1000
    assert 'event=log.dropped' in text and 'event=store.lost' in text


def test_long_values_are_not_kept():
    class Clock:
        def wall(self):
            return 0.0

    events = timeline.EventBuffer('vm', Clock())
    event = events.add('request.refused', path='x' * 100_000)
    assert len(event.fields['path']) == timeline.MAX_FIELD_CHARACTERS
