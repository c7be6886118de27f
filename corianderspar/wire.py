"""Encoding of typed messages between daemons."""

from typing import Any
from typing import NamedTuple

import msgspec

from corianderspar import decoding

VERSION = 1


class WireError(ValueError):
    """Bytes from a peer that do not decode to a known message."""


class Envelope(NamedTuple):
    """Header of a message, with its encoded body.

    Attributes
    ----------
    version : int
        Version of the envelope; messages of other versions are counted as
        malformed and ignored.
    kind : str
        Registered name of the body's type.
    vm, incarnation : str
        Sender of the message.
    sequence : int
        Grows with each message of the incarnation, over all peers.
    counter : int
        Lamport clock of the sender.
    reply_to : int
        Sequence of the request that this message answers; 0 for none.
    body : bytes
        The encoded body.
    recipient : str
        In a reply, the incarnation that sent the request: a later one of the
        same VM may use the same sequence again.
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
    """Message types, registered by kind.

    A body is a `NamedTuple`, sent as an array. New fields are appended
    with a default: an older daemon drops the fields that it does not know,
    and a newer one uses the defaults for those that are missing.

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
        """Register a type; a second call with the same type has no effect.

        Raises
        ------
        ValueError
            If the kind is registered with another type.
        """
        known = self._types_by_kind.setdefault(kind, body)
        if known is not body:
            raise ValueError(
                f'kind {kind!r} is registered with {known.__name__}'
            )
        self._kinds_by_type[body] = kind

    def kind(self, message: tuple[Any, ...]) -> str:
        """Return the kind of a message.

        Raises
        ------
        KeyError
            If its type is not registered.
        """
        return self._kinds_by_type[type(message)]

    def encode_body(self, message: tuple[Any, ...]) -> bytes:
        """Return the encoded body of a message."""
        return _ENCODER.encode(message)

    def decode_body(self, kind: str, body: bytes) -> Any:
        """Return the message that these bytes encode.

        Raises
        ------
        WireError
            If the kind is unknown or the bytes do not match its type.
        """
        target = self._types_by_kind.get(kind)
        if target is None:
            raise WireError(f'unknown kind {kind!r}')
        try:
            values = msgspec.msgpack.decode(body)
            known = values[: len(target._fields)]  # type: ignore[attr-defined]
            return msgspec.convert(known, target)
        except (*decoding.ERRORS, TypeError, KeyError) as error:
            raise WireError(
                f'body does not match the type of kind {kind!r}'
            ) from error


def encode(envelope: Envelope) -> bytes:
    """Return the encoded envelope."""
    return _ENCODER.encode(envelope)


def decode(payload: bytes) -> Envelope:
    """Return the envelope that these bytes encode.

    Raises
    ------
    WireError
        If they are not an envelope, or one of another version.
    """
    try:
        envelope = _ENVELOPE.decode(payload)
    except decoding.ERRORS as error:
        raise WireError('payload is not an envelope') from error
    if envelope.version != VERSION:
        raise WireError(f'unsupported envelope version {envelope.version}')
    return envelope
