"""Events of a stream, passed on whole and in order."""

import re
from typing import NamedTuple

EVENT_MOST_BYTES = 256 * 1024  # an event that never ends is no event
_ID = re.compile(rb'^id:\s*(\d+)\s*$', re.MULTILINE)


class StreamError(Exception):
    """A stream that is not what it should be."""


class Piece(NamedTuple):
    """One whole event.

    Attributes
    ----------
    number : int or None
        Its number; None for one without.
    content : bytes
        Its bytes, unchanged.
    """

    number: int | None
    content: bytes


class EventReader:
    r"""Cuts the bytes of one run into events, and checks their order.

    Parameters
    ----------
    after : int or None
        Number of the last event that the caller has; None if it has none.

    Examples
    --------
    >>> reader = EventReader(1)
    >>> [p.number for p in reader.feed(b'id: 1\n\nid: 2\n\nid: 3')]
    [2]
    >>> reader.last, reader.is_between_events
    (2, False)
    """

    def __init__(self, after: int | None) -> None:
        self.last = after
        self._rest = b''

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> list[Piece]:
        """Return the events that are whole now and new to the caller.

        Raises
        ------
        StreamError
            If an event is missing, or too long.
        """
        *whole, self._rest = (self._rest + data).split(b'\n\n')
        if len(self._rest) > EVENT_MOST_BYTES:
            raise StreamError('event too long')
        pieces = [self._check(part + b'\n\n') for part in whole]
        return [piece for piece in pieces if piece is not None]

    def start_anew(self) -> None:
        """Expect another run that goes on after the last event."""
        self._rest = b''

    def _check(self, content: bytes) -> Piece | None:
        found = _ID.search(content)
        if found is None:
            return Piece(None, content)
        number = int(found.group(1))
        if self.last is not None:
            if number <= self.last:
                return None
            if number > self.last + 1:
                raise StreamError(f'event {number} follows {self.last}')
        self.last = number
        return Piece(number, content)
