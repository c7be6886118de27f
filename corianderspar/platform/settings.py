"""The platform's settings file, read into the router's settings."""

from pathlib import Path
import tomllib
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import kernel
from corianderspar import problems
from corianderspar.router import assembly
from corianderspar.router import daemon
from corianderspar.router import token_buckets


class _Listen(msgspec.Struct):
    front: str
    ready: str
    control: str


class _Bounds(msgspec.Struct):
    revoke_ms: float = 5000
    grace_s: float = 8
    budget_ratio: float = 0.2
    # Extra sends of the whole fleet in a window, beside the ratio.
    budget_slack: float = 0
    budget_window_s: float = 10
    # Tokens, where accounts are counted in tokens.
    quota_slack: float = 0
    # Share of rate and burst that may be used beyond them in a window.
    quota_excess: float = 0
    quota_window_s: float = 8


class _Store(msgspec.Struct):
    addr: str


class _File(msgspec.Struct):
    node: str
    zone: str
    region: str
    # First and last port that daemons may use between themselves.
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds
    ip: str
    seeds: list[str] = []


class Settings(msgspec.Struct):
    """The router's settings, and where the store is."""

    router: daemon.RouterSettings
    store_host: str
    store_port: int


def load(path: Path) -> Result[Settings, list[problems.Finding]]:
    """Read the settings file.

    Fields that it does not know are ignored: the platform may add some.
    """
    try:
        raw: dict[str, Any] = tomllib.loads(path.read_text())
        found = msgspec.convert(raw, _File)
        host, port = found.platform.addr.rsplit(':', 1)
        store_port = int(port)
    except OSError as error:
        return _finding(path, str(error), 'a readable file')
    except tomllib.TOMLDecodeError as error:
        return _finding(path, str(error), 'TOML')
    except (msgspec.ValidationError, ValueError) as error:
        return _finding(path, str(error), 'the fields of the settings file')
    bounds = found.bounds
    return Ok(
        Settings(
            daemon.RouterSettings(
                identity=kernel.Identity(found.node, found.zone, found.region),
                callers=found.listen.front,
                readiness=found.listen.ready,
                peers=found.listen.control,
                metrics=f'{found.ip}:{found.port_range[0]}',
                seeds=tuple(found.seeds),
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
                ),
            ),
            host,
            store_port,
        )
    )


def _finding(
    path: Path, seen: str, allowed: str
) -> Result[Settings, list[problems.Finding]]:
    return Error([problems.Finding(str(path), seen, allowed)])
