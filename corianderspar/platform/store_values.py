"""Decoding of the configuration and registrations in the store.

Other code sees only the types of `corianderspar.router.model`.
"""

import re
from typing import Annotated
from typing import Any

import msgspec

from corianderspar import decoding
from corianderspar import digests
from corianderspar.router import model

# What daemons pass on to each other holds integers of 64 bits.
_MAX_INTEGER = 2**63 - 1
_Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=_MAX_INTEGER)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
_UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
# Both are sent in headers.
_INSTANCE = re.compile(r'[!-~]+')
_HOST = re.compile(r'[\w.:\[\]-]+', re.ASCII)


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 0
    priority: _Integer = 0
    service: str = ''
    split: list[_Split] = []
    attempts: _Integer = 1
    public: bool = False
    resumable: bool = False
    # Longest interval between events that callers want, not between tokens.
    gap_goal_ms: float = 0


class _Engine(msgspec.Struct):
    slots: _Integer
    # Tokens that fit into the KV cache memory of one engine.
    kv_tokens: _Integer
    # Seconds for which a prefill engine keeps a KV cache to be fetched.
    kv_hold_s: float = 0.5


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    # For how long an engine is cold, and what it can handle meanwhile.
    cold_s: float = 0
    cold_per_s: float = 0


class _Account(msgspec.Struct):
    name: str
    api_keys: list[str]
    # In the `unit` of the account: tokens, not requests, by default.
    rate_per_s: float = 0
    burst: float = 0
    default_tokens: _Integer = 1
    unit: str = 'tokens'
    priority: _Integer | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Configuration(msgspec.Struct):
    version: _Integer
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Account] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Registration(msgspec.Struct):
    service: str
    addr: str
    zone: str
    state: str
    slots: _Slots
    # Of its software, not of a model's weights.
    version: str
    # Milliseconds for which the engine stays cold.
    cold_left_ms: float
    # Of the engine's writes; not used, but no engine's entry lacks it.
    seq: _Integer
    phase: str = ''
    # Unix milliseconds of the start of the process.
    born: _UnixMilliseconds = 0


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_REGISTRATION_DECODER = msgspec.json.Decoder(_Registration)
_READY_BY_STATE = {'ready': True, 'draining': False}
_PHASE_BY_NAME = {
    '': model.Phase.PLAIN,
    'prefill': model.Phase.PREFILL,
    'decode': model.Phase.DECODE,
}


class DecodeError(ValueError):
    """A value is not a valid configuration, registration or JSON."""


def decode_configuration(data: bytes) -> model.Configuration:
    """Decode the operator's configuration.

    Raises
    ------
    DecodeError
        If the value is malformed, or a route names an undefined service.
    """
    try:
        decoded = _CONFIGURATION_DECODER.decode(data)
    except decoding.ERRORS as error:
        raise DecodeError(str(error)) from error
    services = {s.name: _convert_service(s) for s in decoded.services}
    by_host: dict[str, list[model.Route]] = {}
    for entry in decoded.routes:
        route = _convert_route(entry)
        for name in route.weights_by_service:
            if name not in services:
                raise DecodeError(
                    f'route {route.name!r} names no service {name!r}'
                )
        by_host.setdefault(route.host, []).append(route)
    return model.Configuration(
        decoded.version,
        {
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in by_host.items()
        },
        services,
        {
            digests.digest_of(key): _convert_account(account)
            for account in decoded.tenants
            for key in account.api_keys
        },
        _convert_limits(decoded.limits),
    )


def decode_upstream(instance: str, data: bytes) -> model.Upstream:
    """Decode the registration of an upstream.

    Raises
    ------
    DecodeError
        If the value is malformed, or the instance or its address, phase or
        state is invalid.
    """
    try:
        registration = _REGISTRATION_DECODER.decode(data)
        host, port = registration.addr.rsplit(':', 1)
        if not _HOST.fullmatch(host) or not _INSTANCE.fullmatch(instance):
            raise DecodeError(f'instance {instance!r} at host {host!r}')
        return model.Upstream(
            instance,
            registration.service,
            host,
            msgspec.convert(int(port), _Port),
            registration.zone,
            _PHASE_BY_NAME[registration.phase],
            _READY_BY_STATE[registration.state],
            registration.slots,
            registration.born,
            registration.version,
            max(registration.cold_left_ms, 0.0) / 1000,
        )
    except decoding.ERRORS as error:
        raise DecodeError(str(error)) from error
    except KeyError as error:
        raise DecodeError(repr(error)) from error


def _convert_service(service: _Service) -> model.Service:
    engine = service.engine
    return model.Service(
        service.name,
        _convert_engine(engine) if engine else None,
        service.cold_s,
        service.cold_per_s,
    )


def _convert_engine(engine: _Engine) -> model.EngineLimits:
    return model.EngineLimits(engine.slots, engine.kv_tokens, engine.kv_hold_s)


def _convert_route(route: _Route) -> model.Route:
    weights = {part.service: part.weight for part in route.split}
    streaming = route.kind == 'streaming'
    retry_policy = model.RetryPolicy.NEVER
    if route.kind == 'idempotent':
        retry_policy = model.RetryPolicy.ALWAYS
    elif streaming and route.resumable:
        retry_policy = model.RetryPolicy.RESUME
    return model.Route(
        route.name,
        route.host,
        route.prefix,
        weights or {route.service: 1.0},
        retry_policy,
        streaming,
        route.attempts,
        route.timeout_ms / 1000,
        route.goal_ms / 1000,
        route.gap_goal_ms / 1000,
        route.priority,
        route.public,
    )


def _convert_account(account: _Account) -> model.Account:
    return model.Account(
        account.name,
        account.rate_per_s,
        account.burst,
        account.default_tokens if account.unit == 'tokens' else 1,
        account.priority,
    )


def convert_route(entry: Any) -> model.Route:
    """Convert a route of a decoded configuration.

    Like the functions below, for checks that go on after a wrong entry.

    Raises
    ------
    msgspec.ValidationError
        If a field is missing or of another type.
    """
    return _convert_route(msgspec.convert(entry, _Route))


def convert_service(entry: Any) -> model.Service:
    """Convert a service of a decoded configuration."""
    return _convert_service(msgspec.convert(entry, _Service))


def convert_account(entry: Any) -> tuple[model.Account, tuple[str, ...]]:
    """Convert an account of a decoded configuration; add its digests."""
    account = msgspec.convert(entry, _Account)
    return _convert_account(account), tuple(
        digests.digest_of(key) for key in account.api_keys
    )


def convert_limits(entry: Any) -> model.CallerLimits:
    """Convert the limits of a decoded configuration."""
    return _convert_limits(msgspec.convert(entry, _Limits))


def _convert_limits(limits: _Limits) -> model.CallerLimits:
    return model.CallerLimits(
        min(limits.max_header_bytes, _MAX_INTEGER),
        min(limits.max_body_bytes, _MAX_INTEGER),
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


def decode_json(data: bytes) -> Any:
    """Decode a JSON body of the platform.

    Raises
    ------
    DecodeError
        If the body is not valid JSON.
    """
    try:
        return msgspec.json.decode(data)
    except decoding.ERRORS as error:
        raise DecodeError(str(error)) from error
