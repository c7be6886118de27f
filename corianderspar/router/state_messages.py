"""Messages in which daemons pass the state of the store to each other."""

from typing import NamedTuple

import msgspec

from corianderspar.router import model

# Over a link of 5 Mbit/s a relay sends this to 24 daemons in 0.6 s.
MAX_RELAYED_CONFIGURATION_BYTES = 16 * 1024


class StateRequest(NamedTuple):
    """Asks a peer for the changes that it knows after a revision.

    Attributes
    ----------
    revision : int
        Revision of the store up to which the requester knows all changes.
    version : int
        Version of the requester's configuration; 0 for none.
    wait : float
        Seconds that the peer may hold the reply until something changes.
    can_read_store : bool
        Whether the requester can read the store itself, so that the peer
        need not send it a large configuration.
    """

    revision: int
    version: int = 0
    wait: float = 0.0
    can_read_store: bool = False


class Registration(NamedTuple):
    """A registration, or its removal if ``upstream`` is None."""

    instance: str
    revision: int
    upstream: model.Upstream | None


class StateReply(NamedTuple):
    """What a peer knows of the store.

    Attributes
    ----------
    revision : int
        Revision of the store up to which the peer knows all changes.
    staleness : float
        Seconds from the moment at which the peer verified its state as the
        newest to the arrival of the request; negative if it was verified
        after the request arrived.
    outage_age : float
        Seconds since the peer was last cut off from the store. Upstreams
        that were removed about that time may only have been unable to renew
        their registrations.
    version : int
        Version of the peer's configuration; 0 for none.
    configuration : Configuration or None
        None if the requester has it or is to read it from the store, or if
        the peer has none.
    is_snapshot : bool
        Whether ``registrations`` are complete, not only a delta.
    registrations : tuple of Registration
        Those that changed after the requester's revision; for a snapshot all.
    """

    revision: int
    staleness: float
    outage_age: float
    version: int
    configuration: model.Configuration | None
    is_snapshot: bool
    registrations: tuple[Registration, ...]


class EncodedStateReply(NamedTuple):
    """A `StateReply` in MessagePack, encoded once by its sender."""

    content: bytes


_DECODER = msgspec.msgpack.Decoder(StateReply)


def encode(reply: StateReply) -> EncodedStateReply:
    """Encode a reply."""
    return EncodedStateReply(msgspec.msgpack.encode(reply))


def decode(encoded: EncodedStateReply) -> StateReply:
    """Decode a reply.

    Raises
    ------
    msgspec.MsgspecError
        If it is malformed.
    """
    return _DECODER.decode(encoded.content)


def is_too_large(configuration: model.Configuration) -> bool:
    """Return whether a configuration is too large for relays to send."""
    size = len(msgspec.msgpack.encode(configuration))
    return size > MAX_RELAYED_CONFIGURATION_BYTES
