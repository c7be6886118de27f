"""Typed messages between daemons and their encoding."""

from typing import Any
from typing import NamedTuple

import msgspec

VERSION = 1


class WireError(ValueError):
    """Bytes from a peer that are no message of ours."""


class Envelope(NamedTuple):
    """What surrounds every message.

    Attributes
    ----------
    version : int
        Version of the envelope; others are counted and ignored.
    kind : str
        Registered name of the body's type; empty for a failed reply.
    vm, incarnation : str
        Who sent it.
    sequence : int
        Grows by one with each message of that incarnation to that peer.
    counter : int
        Lamport counter of the sender.
    reply_to : int
        Sequence of the message this one answers; 0 for none.
    body : bytes
        The encoded body.
    recipient : str
        Of a reply, the incarnation that asked; a later one of the same VM
        may have used the same sequence.
    """

    version: int
    kind: str
    vm: str
    incarnation: str
    sequence: int
    counter: int
    reply_to: int
    body: bytes
    recipient: str = ''


_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


class Registry:
    """Message types by their kind.

    A body is a `NamedTuple`, sent as an array. New fields are appended
    with a default: an older daemon drops what it doesn't know, and a newer
    one fills in what isn't there.

    Examples
    --------
    >>> class Ping(NamedTuple):
    ...     text: str
    >>> class NewPing(NamedTuple):
    ...     text: str
    ...     size: int = 0
    >>> old, new = Registry(), Registry()
    >>> old.add('ping', Ping)
    >>> new.add('ping', NewPing)
    >>> old.decode_body('ping', new.encode_body(NewPing('hi', 2)))
    Ping(text='hi')
    >>> new.decode_body('ping', old.encode_body(Ping('hi')))
    NewPing(text='hi', size=0)
    """

    def __init__(self) -> None:
        self._types_by_kind: dict[str, type] = {}
        self._kinds_by_type: dict[type, str] = {}

    def add(self, kind: str, body: type) -> None:
        """Register a type; doing so again with the same type is fine."""
        known = self._types_by_kind.setdefault(kind, body)
        if known is not body:
            raise ValueError(f'kind {kind!r} is {known.__name__} already')
        self._kinds_by_type[body] = kind

    def kind(self, message: tuple[Any, ...]) -> str:
        """Return the kind of a message."""
        return self._kinds_by_type[type(message)]

    def encode_body(self, message: tuple[Any, ...]) -> bytes:
        """Return the message's bytes."""
        return _ENCODER.encode(message)

    def decode_body(self, kind: str, body: bytes) -> Any:
        """Return the message in these bytes.

        Raises
        ------
        WireError
            If the kind is unknown or the bytes don't fit its type.
        """
        target = self._types_by_kind.get(kind)
        if target is None:
            raise WireError(f'unknown kind {kind!r}')
        try:
            values = msgspec.msgpack.decode(body)
            known = values[: len(target._fields)]  # type: ignore[attr-defined]
            return msgspec.convert(known, target)
        except (msgspec.MsgspecError, TypeError, KeyError) as error:
            raise WireError(f'malformed {kind!r}') from error


def encode(envelope: Envelope) -> bytes:
    """Return an envelope's bytes."""
    return _ENCODER.encode(envelope)


def decode(payload: bytes) -> Envelope:
    """Return the envelope in these bytes.

    Raises
    ------
    WireError
        If they hold none, or one of another version.
    """
    try:
        envelope = _ENVELOPE.decode(payload)
    except msgspec.MsgspecError as error:
        raise WireError('not an envelope') from error
    if envelope.version != VERSION:
        raise WireError(f'version {envelope.version}')
    return envelope
