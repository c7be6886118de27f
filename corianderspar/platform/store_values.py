"""The operator's document and engines' registrations, decoded once."""

from typing import Any

import msgspec

from corianderspar import digests
from corianderspar.router import model


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 0
    priority: int = 0
    service: str = ''
    split: list[_Share] = []
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    # Longest pause between events, not between tokens.
    gap_goal_ms: float = 0


class _Engine(msgspec.Struct):
    slots: int
    # Tokens of KV cache that one engine holds.
    kv_tokens: int
    # Seconds for which a prompt that was read waits to be fetched.
    kv_hold_s: float = 0.5


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Account(msgspec.Struct):
    name: str
    api_keys: list[str]
    # Tokens, as `unit` says, not requests.
    rate_per_s: float = 0
    burst: float = 0
    default_tokens: int = 1
    unit: str = 'tokens'
    priority: int | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Account] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Registration(msgspec.Struct):
    service: str
    addr: str
    zone: str
    state: str
    slots: int
    phase: str = ''


_DOCUMENT = msgspec.json.Decoder(_Document)
_REGISTRATION = msgspec.json.Decoder(_Registration)
_READY_BY_STATE = {'ready': True, 'draining': False}
_PHASE_BY_WORD = {
    '': model.Phase.PLAIN,
    'prefill': model.Phase.PREFILL,
    'decode': model.Phase.DECODE,
}


class DecodeError(ValueError):
    """Bytes that hold no document or registration."""


def decode_configuration(data: bytes) -> model.Configuration:
    """Decode the operator's document.

    Raises
    ------
    DecodeError
        If it is none, or names a service that it does not define.
    """
    try:
        document = _DOCUMENT.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error
    services = {s.name: _service(s) for s in document.services}
    by_host: dict[str, list[model.Route]] = {}
    for found in document.routes:
        route = _route(found)
        for name in route.weights_by_service:
            if name not in services:
                raise DecodeError(
                    f'route {route.name!r} names no service {name!r}'
                )
        by_host.setdefault(route.host, []).append(route)
    limits = document.limits
    return model.Configuration(
        document.version,
        {
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in by_host.items()
        },
        services,
        {
            digests.digest_of(key): _account(account)
            for account in document.tenants
            for key in account.api_keys
        },
        model.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def decode_upstream(instance: str, data: bytes) -> model.Upstream:
    """Decode a registration.

    Raises
    ------
    DecodeError
        If it names nothing that can be used.
    """
    try:
        found = _REGISTRATION.decode(data)
        host, port = found.addr.rsplit(':', 1)
        return model.Upstream(
            instance,
            found.service,
            host,
            int(port),
            found.zone,
            _PHASE_BY_WORD[found.phase],
            _READY_BY_STATE[found.state],
            found.slots,
        )
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error
    except (KeyError, ValueError) as error:
        raise DecodeError(repr(error)) from error


def _service(found: _Service) -> model.Service:
    engine = found.engine
    return model.Service(
        found.name,
        _limits(engine) if engine else None,
    )


def _limits(engine: _Engine) -> model.EngineLimits:
    return model.EngineLimits(engine.slots, engine.kv_tokens, engine.kv_hold_s)


def _route(found: _Route) -> model.Route:
    weights = {share.service: share.weight for share in found.split}
    streaming = found.kind == 'streaming'
    repeat = model.RetryPolicy.NEVER
    if found.kind == 'idempotent':
        repeat = model.RetryPolicy.ALWAYS
    elif streaming and found.resumable:
        repeat = model.RetryPolicy.RESUME
    return model.Route(
        found.name,
        found.host,
        found.prefix,
        weights or {found.service: 1.0},
        repeat,
        streaming,
        found.attempts,
        found.timeout_ms / 1000,
        found.goal_ms / 1000,
        found.gap_goal_ms / 1000,
        found.priority,
        found.public,
    )


def _account(found: _Account) -> model.Account:
    return model.Account(
        found.name,
        found.rate_per_s,
        found.burst,
        found.default_tokens if found.unit == 'tokens' else 1,
        found.priority,
    )


def decode_json(data: bytes) -> Any:
    """Decode a body of the platform.

    Raises
    ------
    DecodeError
        If it is no JSON.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error
