"""What daemons tell each other of the store."""

from typing import NamedTuple

import msgspec

from corianderspar.router import model

# A relay with a link of 5 Mbit/s tells this to 24 daemons in 0.6 s.
CONFIGURATION_MOST_BYTES = 16 * 1024


class Want(NamedTuple):
    """Asks a peer for what it believes beyond a revision.

    Attributes
    ----------
    revision : int
        Of the store, up to which the asker knows all changes.
    version : int
        Of the configuration that the asker has; 0 for none.
    wait : float
        Seconds that the peer may hold the answer until something changes.
    reads : bool
        Whether the asker can read the store itself, and so needs no long
        configuration from a peer.
    """

    revision: int
    version: int = 0
    wait: float = 0.0
    reads: bool = False


class Entry(NamedTuple):
    """A registration, or its removal if ``upstream`` is None."""

    instance: str
    revision: int
    upstream: model.Upstream | None


class Word(NamedTuple):
    """What a peer believes.

    Attributes
    ----------
    revision : int
        Of the store, up to which it knows all changes.
    age : float
        Seconds from the proof that this was the newest until the question
        arrived; negative for a proof that is newer than the question.
    disturbed : float
        Seconds since the peer last missed the store; removals of that time
        may be mere lapses.
    version : int
        Of its configuration; 0 for none.
    configuration : Configuration or None
        None if the asker has it or reads it itself, or there is none.
    is_whole : bool
        Whether ``entries`` are all registrations, not only later ones.
    entries : tuple of Entry
        Registrations that changed after the asker's revision.
    """

    revision: int
    age: float
    disturbed: float
    version: int
    configuration: model.Configuration | None
    is_whole: bool
    entries: tuple[Entry, ...]


class Packed(NamedTuple):
    """A `Word`, encoded once by the peer that tells it."""

    word: bytes


_WORD = msgspec.msgpack.Decoder(Word)


def pack(word: Word) -> Packed:
    """Encode a word."""
    return Packed(msgspec.msgpack.encode(word))


def unpack(packed: Packed) -> Word:
    """Decode a word.

    Raises
    ------
    msgspec.MsgspecError
        If it is not one.
    """
    return _WORD.decode(packed.word)


def is_large(configuration: model.Configuration) -> bool:
    """Return whether a configuration is too long to be told to many."""
    size = len(msgspec.msgpack.encode(configuration))
    return size > CONFIGURATION_MOST_BYTES
