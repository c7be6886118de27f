"""Messages in which daemons pass the state of the store to each other.

Daemons of the build before eras of the store reject fields that they do not
know. What they know is sent in a form of its own, and the rest beside it.
Later additions are in further parts, which builds that lack them ignore.
"""

from typing import Any
from typing import NamedTuple
from typing import TypeVar

import msgspec
import xxhash

from corianderspar.router import model
from corianderspar.router import registrations
from corianderspar.router import store

# Over a link of 5 Mbit/s a relay sends this to 24 daemons in 0.6 s.
MAX_RELAYED_CONFIGURATION_BYTES = 16 * 1024
NO_ERA = -1  # stands for the era in requests of builds that know none


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
    era : int
        Era of the revision; `NO_ERA` for that of the peer.
    configuration_digest : int
        Digest of the requester's configuration; see `digest`.
    """

    revision: int
    version: int = 0
    wait: float = 0.0
    can_read_store: bool = False
    era: int = NO_ERA
    configuration_digest: int = 0


class Registration(NamedTuple):
    """A registration, or its removal if ``upstream`` is None."""

    instance: str
    revision: int
    upstream: model.Upstream | None


class StateReply(NamedTuple):
    """What a peer knows of the store.

    Attributes
    ----------
    position : Position
        Up to which the peer knows all changes.
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
        Those that changed after the requester's position; for a snapshot all.
    era_age : float
        Seconds since the peer learned that the era began.
    configuration_era : int
        Era in which the peer's configuration was last read from the store.
    configuration_digest : int
        Digest of the peer's configuration; see `digest`.
    evacuations : dict of str to Position or None
        Where each evacuation of a data centre was written; None from builds
        that know of no evacuations.
    has_cold_state : bool
        False from builds that know of no cold engines. The configuration and
        the registrations then lack what concerns these.
    memories : dict of str to Memory
        What the peer knows of registered instances beyond the store, if
        ``registrations`` are complete.
    """

    position: store.Position
    staleness: float
    outage_age: float
    version: int
    configuration: model.Configuration | None
    is_snapshot: bool
    registrations: tuple[Registration, ...]
    era_age: float
    configuration_era: int
    configuration_digest: int
    evacuations: dict[str, store.Position] | None = None
    has_cold_state: bool = True
    memories: dict[str, registrations.Memory] = {}


class _BaseService(NamedTuple):
    """A service as builds without cold engines know it."""

    name: str
    engine: model.EngineLimits | None


class _BaseUpstream(NamedTuple):
    """An upstream as builds without start times know it."""

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    phase: model.Phase
    ready: bool
    slots: int


class _BaseRegistration(NamedTuple):
    instance: str
    revision: int
    upstream: _BaseUpstream | None


class _BaseReply(NamedTuple):
    """The part of a reply that builds without eras know."""

    revision: int
    staleness: float
    outage_age: float
    version: int
    configuration: model.Configuration | None
    is_snapshot: bool
    registrations: tuple[_BaseRegistration, ...]


class _Extension(NamedTuple):
    """The other part of a reply."""

    era: int = 0
    era_age: float = 0.0
    configuration_era: int = 0
    configuration_digest: int = 0
    # By instance, for upstreams whose start time is known.
    started_ms_by_instance: dict[str, int] = {}


class EncodedStateReply(NamedTuple):
    """A `StateReply` in MessagePack, encoded once by its sender."""

    content: bytes
    extension: bytes = b''
    # Software versions by instance, for upstreams that state one.
    versions: bytes = b''
    # Positions of the evacuations by data centre.
    evacuations: bytes = b''
    cold: bytes = b''
    # Memories of upstreams by instance.
    memories: bytes = b''


class _ColdService(NamedTuple):
    """The fields of that name in `model.Service`."""

    cold_seconds: float
    cold_per_second: float


class _ColdState(NamedTuple):
    """What a reply tells of cold engines.

    Attributes
    ----------
    services_by_name : dict of str to _ColdService
        Services of the configuration whose engines may be cold.
    left_by_instance : dict of str to float
        Seconds for which engines stay cold, as of the reply.
    """

    services_by_name: dict[str, _ColdService] = {}
    left_by_instance: dict[str, float] = {}


_BASE_DECODER = msgspec.msgpack.Decoder(_BaseReply)
_EXTENSION_DECODER = msgspec.msgpack.Decoder(_Extension)
_VERSIONS_DECODER = msgspec.msgpack.Decoder(dict[str, str])
ConfigurationT = TypeVar(
    'ConfigurationT', model.Configuration, model.Configuration | None
)
_COLD_DECODER = msgspec.msgpack.Decoder(_ColdState)
_EVACUATIONS_DECODER = msgspec.msgpack.Decoder(dict[str, store.Position])
_MEMORIES_DECODER = msgspec.msgpack.Decoder(dict[str, registrations.Memory])


def encode(reply: StateReply) -> EncodedStateReply:
    """Encode a reply."""
    base = _BaseReply(
        reply.position.revision,
        reply.staleness,
        reply.outage_age,
        reply.version,
        _base_configuration(reply.configuration),
        reply.is_snapshot,
        tuple(
            _BaseRegistration(
                registration.instance,
                registration.revision,
                _base_upstream(registration.upstream),
            )
            for registration in reply.registrations
        ),
    )
    extension = _Extension(
        reply.position.era,
        reply.era_age,
        reply.configuration_era,
        reply.configuration_digest,
        {
            registration.instance: registration.upstream.started_ms
            for registration in reply.registrations
            if registration.upstream and registration.upstream.started_ms
        },
    )
    versions = {
        registration.instance: registration.upstream.version
        for registration in reply.registrations
        if registration.upstream and registration.upstream.version
    }
    cold = _ColdState(
        _cold_services(reply.configuration),
        {
            registration.instance: registration.upstream.cold_left
            for registration in reply.registrations
            if registration.upstream and registration.upstream.cold_left > 0.0
        },
    )
    return EncodedStateReply(
        msgspec.msgpack.encode(base),
        msgspec.msgpack.encode(extension),
        msgspec.msgpack.encode(versions),
        b''
        if reply.evacuations is None
        else msgspec.msgpack.encode(reply.evacuations),
        msgspec.msgpack.encode(cold),
        msgspec.msgpack.encode(reply.memories) if reply.memories else b'',
    )


def decode(encoded: EncodedStateReply) -> StateReply:
    """Decode a reply.

    Raises
    ------
    ValueError, RecursionError, OverflowError
        If it is malformed; all are among `decoding.ERRORS`.
    """
    base = _BASE_DECODER.decode(encoded.content)
    extension = _Extension()
    if encoded.extension:
        extension = _EXTENSION_DECODER.decode(encoded.extension)
    started_ms = extension.started_ms_by_instance
    versions: dict[str, str] = {}
    if encoded.versions:
        versions = _VERSIONS_DECODER.decode(encoded.versions)
    evacuations: dict[str, store.Position] | None = None
    if encoded.evacuations:
        evacuations = _EVACUATIONS_DECODER.decode(encoded.evacuations)
    cold = _ColdState()
    if encoded.cold:
        cold = _COLD_DECODER.decode(encoded.cold)
    memories: dict[str, registrations.Memory] = {}
    if encoded.memories:
        memories = _MEMORIES_DECODER.decode(encoded.memories)
    return StateReply(
        store.Position(extension.era, base.revision),
        base.staleness,
        base.outage_age,
        base.version,
        _with_cold_services(base.configuration, cold.services_by_name),
        base.is_snapshot,
        tuple(
            Registration(
                entry.instance,
                entry.revision,
                model.Upstream(
                    *entry.upstream,
                    started_ms.get(entry.instance, 0),
                    versions.get(entry.instance, ''),
                    cold.left_by_instance.get(entry.instance, 0.0),
                )
                if entry.upstream
                else None,
            )
            for entry in base.registrations
        ),
        extension.era_age,
        extension.configuration_era,
        extension.configuration_digest,
        evacuations,
        bool(encoded.cold),
        memories,
    )


def keep_cold_state(
    configuration: model.Configuration, known: model.Configuration | None
) -> model.Configuration:
    """Return a configuration with the cold states of a known one.

    A configuration that passed through a build without cold engines has lost
    its own.
    """
    return _with_cold_services(configuration, _cold_services(known))


def _cold_services(
    configuration: model.Configuration | None,
) -> dict[str, _ColdService]:
    if configuration is None:
        return {}
    return {
        service.name: _ColdService(
            service.cold_seconds, service.cold_per_second
        )
        for service in configuration.services_by_name.values()
        if service.has_cold_state
    }


def _base_configuration(
    configuration: ConfigurationT,
) -> ConfigurationT:
    """Return a configuration as builds without cold engines know it."""
    if configuration is None:
        return configuration
    services: dict[str, Any] = {
        name: _BaseService(service.name, service.engine)
        for name, service in configuration.services_by_name.items()
    }
    return configuration._replace(services_by_name=services)


def _with_cold_services(
    configuration: ConfigurationT, cold_by_name: dict[str, _ColdService]
) -> ConfigurationT:
    if configuration is None or not cold_by_name:
        return configuration
    return configuration._replace(
        services_by_name={
            name: service._replace(**cold_by_name[name]._asdict())
            if name in cold_by_name
            else service
            for name, service in configuration.services_by_name.items()
        }
    )


def _base_upstream(upstream: model.Upstream | None) -> _BaseUpstream | None:
    if upstream is None:
        return None
    return _BaseUpstream(
        upstream.instance,
        upstream.service,
        upstream.host,
        upstream.port,
        upstream.data_centre,
        upstream.phase,
        upstream.ready,
        upstream.slots,
    )


class EncodedConfiguration(NamedTuple):
    """Size and digest of a configuration as daemons exchange it.

    Attributes
    ----------
    is_too_large : bool
        Whether it is too large for relays to send.
    digest : int
        Equal for equal configurations; never 0.
    """

    is_too_large: bool
    digest: int


def measure_configuration(
    configuration: model.Configuration,
) -> EncodedConfiguration:
    """Return the size class and the digest of a configuration."""
    # Equal in all builds for a configuration without cold states.
    content = msgspec.msgpack.encode(_base_configuration(configuration))
    cold = _cold_services(configuration)
    if cold:
        content += msgspec.msgpack.encode(cold)
    return EncodedConfiguration(
        len(content) > MAX_RELAYED_CONFIGURATION_BYTES,
        # The lowest bit is set so that 0 stands for no configuration.
        xxhash.xxh3_64_intdigest(content) | 1,
    )


def is_too_large(configuration: model.Configuration) -> bool:
    """Return whether a configuration is too large for relays to send."""
    return measure_configuration(configuration).is_too_large
