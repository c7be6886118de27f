"""Settings of a daemon: types, loading from TOML and validation."""

import ipaddress
from pathlib import Path
import tomllib
from typing import Annotated
from typing import Any
from typing import get_type_hints
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from corianderspar import problems

MAX_PORT = 65535
MAX_SEEN_CHARACTERS = 80


def check_address(text: str) -> str:
    """Return the text unchanged if it has the form ip:port.

    Raises
    ------
    ValueError
        If the text is not an IP address and a port.

    Examples
    --------
    >>> check_address('127.0.0.1:8080')
    '127.0.0.1:8080'
    >>> check_address('localhost:8080')
    Traceback (most recent call last):
    ...
    ValueError: an IP number, a colon and a port, as 10.0.0.7:8080
    """
    host, colon, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        valid = bool(colon) and 0 <= int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(
            'an IP number, a colon and a port, as 10.0.0.7:8080'
        ) from None
    return text


Address = Annotated[str, pydantic.AfterValidator(check_address)]
Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
Bytes = Annotated[int, pydantic.Field(ge=1024, le=1 << 30)]


class VmSettings(NamedTuple):
    """Where the daemon runs.

    Attributes
    ----------
    name : str
        Name of the VM, unique in the fleet; a replacement has another.
    data_centre : str
        As in the platform's list and in the catalogue.
    region : str
        Region of the data centre.
    """

    name: Name
    data_centre: Name
    region: Name = 'default'


class ListenSettings(NamedTuple):
    """Addresses that the daemon listens on, each ip:port.

    Attributes
    ----------
    callers : str
        For callers, behind the balancer; also its probes.
    peers : str
        For the other daemons.
    admin : str
        For operators: status, metrics and time line.
    """

    callers: Address
    peers: Address
    admin: Address = '127.0.0.1:0'


class PlatformSettings(NamedTuple):
    """Where the platform's services are.

    Attributes
    ----------
    addresses : tuple of str
        ip:port; the first that answers is used.
    """

    addresses: Annotated[tuple[Address, ...], pydantic.Field(min_length=1)]


class TlsSettings(NamedTuple):
    """PEM files that prove this daemon to its peers.

    Attributes
    ----------
    ca, certificate, key : Path
        Authority of the fleet, and this daemon's certificate and key.
    """

    ca: pydantic.FilePath
    certificate: pydantic.FilePath
    key: pydantic.FilePath


class LimitSettings(NamedTuple):
    """Bounds that keep one daemon within its memory.

    Attributes
    ----------
    requests : int
        Most requests at a time.
    body_bytes : int
        Most bytes of one request's body.
    body_seconds : float
        Longest time for a caller to send its body.
    write_seconds : float
        Longest time for a caller to take one piece of its answer.
    drain_seconds : float
        Time for the balancer to notice that the daemon drains.
    replay_seconds : float
        Time after the last recorded outcome in which callers with a
        ticket may still ask a draining daemon for it.
    """

    requests: Count = 4096
    body_bytes: Bytes = 8 << 20
    body_seconds: Seconds = 30.0
    write_seconds: Seconds = 30.0
    drain_seconds: Annotated[float, pydantic.Field(ge=0, le=600)] = 5.0
    replay_seconds: Annotated[float, pydantic.Field(ge=0, le=600)] = 10.0


class ShareSettings(NamedTuple):
    """What the limits of client accounts rely on; equal on all VMs.

    Attributes
    ----------
    list_lag : float
        Most seconds by which the platform's list of VMs is behind.
    lease : float
        Seconds for which a VM uses its whole part without confirmation.
    long_lease : float
        Seconds for which it then uses a quarter of its part.
    loan : float
        Most seconds for which tokens are lent between VMs.
    """

    list_lag: Seconds = 30.0
    lease: Seconds = 10.0
    long_lease: Seconds = 3600.0
    loan: Seconds = 2.0


class Settings(NamedTuple):
    """All settings of a daemon, one table of the file for each field.

    Attributes
    ----------
    vm, listen, platform : NamedTuple
        Who the daemon is and where it and the platform are.
    limits : LimitSettings
        Bounds of this daemon.
    shares : ShareSettings
        Bounds that hold for all VMs.
    tls : TlsSettings or None
        Needed unless peers are on loopback.
    """

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    shares: ShareSettings = ShareSettings()
    tls: TlsSettings | None = None


class SettingDescription(NamedTuple):
    """One setting as `explain` describes it."""

    key: str
    type: str
    default: str
    meaning: str


_VALIDATOR = pydantic.TypeAdapter(Settings)


def load(path: Path) -> Result[Settings, list[problems.Finding]]:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path
        A TOML file.

    Returns
    -------
    Result
        The settings, or all findings on them.
    """
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        seen = error.strerror or str(error)
        return Error([problems.Finding(str(path), seen, 'a readable file')])
    except ValueError as error:
        return Error([problems.Finding(str(path), str(error), 'TOML')])
    return check(document, str(path))


def check(
    document: dict[str, Any], source: str = 'settings'
) -> Result[Settings, list[problems.Finding]]:
    """Check settings as a TOML parser returns them.

    Examples
    --------
    >>> for finding in check({'vm': {'name': 'EV 1'}}, 'a.toml').error:
    ...     print(finding.place, '|', finding.seen)
    a.toml: vm.name | 'EV 1'
    a.toml: vm.data_centre | nothing
    a.toml: listen | nothing
    a.toml: platform | nothing
    """
    try:
        checked = _VALIDATOR.validate_python(document)
    except pydantic.ValidationError as error:
        return Error([_finding(source, details) for details in error.errors()])
    if not _is_loopback(checked.listen.peers) and checked.tls is None:
        return Error(
            [
                problems.Finding(
                    f'{source}: tls',
                    'nothing',
                    'ca, certificate and key: listen.peers is not loopback',
                )
            ]
        )
    return Ok(checked)


def explain() -> list[SettingDescription]:
    """Return every setting with its type, default and meaning."""
    descriptions = []
    for table, hint in get_type_hints(Settings).items():
        table_type = _table_type(hint)
        for key in table_type._fields:
            descriptions.append(_describe(table, key, table_type))
    return descriptions


def _table_type(hint: Any) -> Any:
    if hint == TlsSettings | None:
        return TlsSettings
    return hint


def _describe(table: str, key: str, table_type: Any) -> SettingDescription:
    default = table_type._field_defaults.get(key, 'required')
    hint = get_type_hints(table_type)[key]
    return SettingDescription(
        f'{table}.{key}',
        getattr(hint, '__name__', str(hint)),
        str(default),
        _attribute_text(table_type.__doc__ or '', key),
    )


def _attribute_text(doc: str, key: str) -> str:
    """Return what a NumPy doc comment says about an attribute.

    It is the first line of the comment if the attribute is not listed.
    """
    lines = [line.strip() for line in doc.splitlines()]
    for number, line in enumerate(lines):
        names, colon, _type = line.partition(' : ')
        if colon and key in names.split(', '):
            end = number + 1
            while end < len(lines) and lines[end]:
                if ' : ' in lines[end]:
                    break
                end += 1
            return ' '.join(lines[number + 1 : end])
    return lines[0]


def _finding(source: str, details: Any) -> problems.Finding:
    place = '.'.join(str(key) for key in details['loc'])
    missing = details['type'].startswith('missing')
    seen = 'nothing' if missing else repr(details['input'])
    allowed = details['msg'].removeprefix('Value error, ')
    return problems.Finding(
        f'{source}: {place}', seen[:MAX_SEEN_CHARACTERS], allowed
    )


def _is_loopback(address: str) -> bool:
    host = address.rsplit(':', 1)[0].strip('[]')
    return ipaddress.ip_address(host).is_loopback
