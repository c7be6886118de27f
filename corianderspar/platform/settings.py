"""Conversion of the platform's settings file to the router's settings."""

from pathlib import Path
import tomllib
from typing import Annotated
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import kernel
from corianderspar import problems
from corianderspar.router import assembly
from corianderspar.router import caller_limits
from corianderspar.router import daemon
from corianderspar.router import store_view
from corianderspar.router import token_buckets


class _Listen(msgspec.Struct):
    front: str
    ready: str
    control: str


class _Bounds(msgspec.Struct):
    revoke_ms: float = 5000
    config_ms: float = 2000
    grace_s: float = 8
    budget_ratio: float = 0.2
    # Retries of the whole fleet per window, in addition to the ratio.
    budget_slack: float = 0
    budget_window_s: float = 10
    # Tokens per account and window, for accounts that are limited by tokens.
    quota_slack: float = 0
    # Fraction of rate and burst that may be used beyond them in a window.
    quota_excess: float = 0
    quota_window_s: float = 8
    # Requests that a cold engine may get in any one second: its own rate times
    # the excess, plus the slack.
    cold_excess: float = 1
    cold_slack: float = 0


class _Store(msgspec.Struct):
    addr: str


class _Limits(msgspec.Struct):
    """What the machine has for the process; 0 if it isn't stated."""

    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Callers(msgspec.Struct):
    """Limits of the operator's own, instead of shares of the machine."""

    max_connections: Annotated[int, msgspec.Meta(gt=0)] | None = None
    max_held_mb: Annotated[float, msgspec.Meta(gt=0)] | None = None
    read_timeout_s: Annotated[float, msgspec.Meta(gt=0)] | None = None


class _SettingsFile(msgspec.Struct):
    node: str
    zone: str
    region: str
    # First and last port that daemons may use among themselves.
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds
    ip: str
    seeds: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    callers: _Callers = msgspec.field(default_factory=_Callers)
    # Whether the whole system starts for the first time.
    bootstrap: bool = False


class Settings(msgspec.Struct):
    """The router's settings and the address of the store."""

    router: daemon.RouterSettings
    store_host: str
    store_port: int


def load(path: Path) -> Result[Settings, list[problems.Finding]]:
    """Return the settings in a file, or a finding for what is wrong.

    Unknown fields are ignored, because the platform may add fields.
    """
    try:
        raw: dict[str, Any] = tomllib.loads(path.read_text())
        file = msgspec.convert(raw, _SettingsFile)
        host, port = file.platform.addr.rsplit(':', 1)
        store_port = int(port)
    except OSError as error:
        return _finding(path, str(error), 'a readable file')
    except tomllib.TOMLDecodeError as error:
        return _finding(path, str(error), 'TOML')
    except (msgspec.ValidationError, ValueError) as error:
        return _finding(path, str(error), 'the fields of the settings file')
    bounds = file.bounds
    return Ok(
        Settings(
            daemon.RouterSettings(
                identity=kernel.Identity(file.node, file.zone, file.region),
                callers=file.listen.front,
                readiness=file.listen.ready,
                peers=file.listen.control,
                metrics=f'{file.ip}:{file.port_range[0]}',
                seeds=tuple(file.seeds),
                limits=_limits(file.limits, file.callers),
                bounds=assembly.Bounds(
                    bounds.revoke_ms / 1000,
                    bounds.grace_s,
                    token_buckets.LimitTolerance(
                        bounds.quota_slack,
                        bounds.quota_excess,
                        bounds.quota_window_s,
                    ),
                    bounds.budget_ratio,
                    bounds.budget_slack,
                    bounds.budget_window_s,
                    store_view.StartPolicy.PEERS_AT_FIRST_START
                    if file.bootstrap
                    else store_view.StartPolicy.PEERS_AT_RESTART,
                    bounds.cold_excess,
                    bounds.cold_slack,
                    max_change_seconds=bounds.config_ms / 1000,
                ),
            ),
            host,
            store_port,
        )
    )


def _limits(machine: _Limits, callers: _Callers) -> caller_limits.CallerLimits:
    held_mb = callers.max_held_mb
    return caller_limits.derive(
        caller_limits.Machine(int(machine.memory_mb * 1e6), machine.max_fds),
        callers.max_connections,
        int(held_mb * 1e6) if held_mb else None,
        callers.read_timeout_s,
    )


def _finding(
    path: Path, seen: str, allowed: str
) -> Result[Settings, list[problems.Finding]]:
    return Error([problems.Finding(str(path), seen, allowed)])
