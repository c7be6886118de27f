"""Splitting an engine's answer into whole events, in order."""

import re
from typing import NamedTuple

MAX_EVENT_BYTES = 256 * 1024  # bounds the buffer if an event never ends
# Events may be long, and are not kept in memory once they are passed on.
MIN_STREAM_BYTES = 12 * 1024 * 1024
# Generous for one token: its event in JSON with log probabilities.
MAX_TOKEN_BYTES = 4096
MAX_NUMBER_DIGITS = 18  # of an event's number
# Events that the caller already has, beyond those that it has.
MAX_EXTRA_REPEATS = 16
_ID = re.compile(rb'^id:\s*(\d+)\s*$', re.MULTILINE)
# An empty line; lines end in LF or CR LF.
_END = re.compile(rb'\n\r?\n')
MAX_END_BYTES = 3


def max_stream_bytes(max_output: int) -> int:
    """Return the maximum size of a stream of ``max_output`` tokens."""
    return MIN_STREAM_BYTES + max_output * MAX_TOKEN_BYTES


class StreamError(Exception):
    """A stream has a gap, too many repeats, or an event that is too long."""


class Event(NamedTuple):
    """One whole event.

    Attributes
    ----------
    number : int or None
        Its ``id`` field; None without one.
    content : bytes
        Its bytes, unchanged, with the empty line that ends it.
    """

    number: int | None
    content: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it has no field, and only keeps the connection open."""
        return self.number is None and all(
            not line or line.startswith(b':')
            for line in self.content.splitlines()
        )


class EventParser:
    r"""Splits the bytes of a stream into events and checks their order.

    Events that the caller already has are dropped, so that a resumed stream
    holds no duplicates.

    Parameters
    ----------
    after : int or None
        Number of the last event that the caller has; None if it has none.

    Attributes
    ----------
    last : int or None
        Number of the last event that was returned.

    Examples
    --------
    >>> parser = EventParser(1)
    >>> [e.number for e in parser.feed(b'id: 1\n\nid: 2\n\nid: 3')]
    [2]
    >>> parser.last, parser.is_between_events
    (2, False)
    """

    def __init__(self, after: int | None) -> None:
        self.last = after
        self._incomplete = bytearray()
        self._repeats = 0

    @property
    def is_between_events(self) -> bool:
        """Whether the bytes so far end with a whole event."""
        return not self._incomplete.strip()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are now complete and new to the caller.

        Raises
        ------
        StreamError
            If an event is missing, the incomplete one exceeds
            `MAX_EVENT_BYTES`, or only events come that the caller has.
        """
        whole: list[bytes] = []
        if not self._incomplete:
            *whole, rest = _split(data)
            self._incomplete = bytearray(rest)
        else:
            self._incomplete.extend(data)
            # Searching all of an incomplete event for each of its pieces
            # would take a time that grows with the square of its size.
            tail = self._incomplete[1 - len(data) - MAX_END_BYTES :]
            if _END.search(tail):
                *whole, rest = _split(bytes(self._incomplete))
                self._incomplete = bytearray(rest)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise StreamError('event too long')
        last = self.last
        try:
            events = [self._check(part) for part in whole]
        except StreamError:
            # The caller does not get those before the error either.
            self.last = last
            raise
        return [event for event in events if event is not None]

    def discard_incomplete(self) -> None:
        """Drop an incomplete event, before another engine resumes."""
        self._incomplete = bytearray()
        self._repeats = 0

    def _check(self, content: bytes) -> Event | None:
        found = _ID.search(content)
        if found is None:
            return Event(None, content)
        if len(found.group(1)) > MAX_NUMBER_DIGITS:
            raise StreamError('number of an event too long')
        number = int(found.group(1))
        if self.last is not None:
            if number <= self.last:
                self._repeats += 1
                if self._repeats > self.last + MAX_EXTRA_REPEATS:
                    raise StreamError('only events that the caller has')
                return None
            if number > self.last + 1:
                raise StreamError(f'event {number} follows {self.last}')
        self.last = number
        return Event(number, content)


def _split(data: bytes) -> list[bytes]:
    """Return the whole events of some bytes, and the rest."""
    ends = [found.end() for found in _END.finditer(data)]
    return [
        data[start:end]
        for start, end in zip([0, *ends], [*ends, len(data)], strict=True)
    ]
