"""Log lines of key=value pairs, one for each eliot message."""

import json
import re
from typing import Any
from typing import TextIO

import eliot

from corianderspar import timeline

_UNQUOTED = re.compile(r'^[A-Za-z0-9_.:/#+-]+$')
_OMITTED_KEYS = ('task_uuid', 'task_level', 'timestamp', 'message_type')


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
        if key not in _OMITTED_KEYS:
            pairs.append(f'{key}={_quote_if_needed(str(value))}')
    return ' '.join(pairs)


def log_event(event: timeline.Event) -> None:
    """Log an event; for use as a sink of `timeline.EventBuffer`."""
    eliot.log_message(
        message_type=event.name,
        process=event.process,
        counter=event.counter,
        **event.fields,
    )


def write_to(stream: TextIO) -> None:
    """Write all log messages of this process to a text stream."""

    def write_message(message: dict[str, Any]) -> None:
        stream.write(format_line(message) + '\n')
        stream.flush()

    eliot.add_destinations(write_message)


def _quote_if_needed(text: str) -> str:
    return text if _UNQUOTED.match(text) else json.dumps(text)
