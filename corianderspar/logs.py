"""Logs by eliot: one line of key=value pairs for each event."""

import json
import re
from typing import Any
from typing import TextIO

import eliot

from corianderspar import timeline

_BARE = re.compile(r'^[A-Za-z0-9_.:/#+-]+$')
_DROPPED = ('task_uuid', 'task_level', 'timestamp', 'message_type')


def format_line(message: dict[str, Any]) -> str:
    """Return a message as one line of key=value pairs.

    Examples
    --------
    >>> format_line({
    ...     'timestamp': 1.5, 'message_type': 'request.refused',
    ...     'account': 'st-anne', 'why': 'over rate',
    ... })
    'time=1.500 event=request.refused account=st-anne why="over rate"'
    """
    pairs = [
        f'time={message.get("timestamp", 0.0):.3f}',
        f'event={message.get("message_type", "message")}',
    ]
    for key, value in message.items():
        if key not in _DROPPED:
            pairs.append(f'{key}={_quote(str(value))}')
    return ' '.join(pairs)


def log_event(event: timeline.Event) -> None:
    """Write an event of the time line to the log; an `EventBuffer` sink."""
    eliot.log_message(
        message_type=event.name,
        process=event.process,
        counter=event.counter,
        **event.fields,
    )


def write_to(stream: TextIO) -> None:
    """Send all log lines of this process to a text stream."""

    def destination(message: dict[str, Any]) -> None:
        stream.write(format_line(message) + '\n')
        stream.flush()

    eliot.add_destinations(destination)


def _quote(text: str) -> str:
    return text if _BARE.match(text) else json.dumps(text)
