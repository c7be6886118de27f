"""Reads the operator's configuration as a draft, from a file or the store."""

from collections.abc import Callable
from pathlib import Path
from typing import Any
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import httpx
import msgspec

from corianderspar import decoding
from corianderspar import lenient_json
from corianderspar import problems
from corianderspar.platform import protocol  # noqa: H306
from corianderspar.platform import store_values
from corianderspar.router import configuration_checks

STORE_TIMEOUT_SECONDS = 3.0

T = TypeVar('T')

DraftResult = Result[configuration_checks.Draft, list[problems.Finding]]


class _Item(msgspec.Struct):
    key: str
    value: bytes  # standard base64 in the JSON body


class _RangeReply(msgspec.Struct):
    items: list[_Item]


def read_file(path: Path) -> DraftResult:
    """Return the configuration in a JSON file."""
    try:
        return parse(path.read_bytes())
    except OSError as error:
        reason = error.strerror or str(error)
        return Error([problems.Finding(str(path), reason, 'a readable file')])


def read_store(address: str) -> DraftResult:
    """Return the configuration in force, from the store at ip:port."""
    try:
        response = httpx.get(
            f'http://{address}{protocol.STORE_RANGE_PATH}',
            params={'prefix': protocol.CONFIGURATION_KEY},
            timeout=STORE_TIMEOUT_SECONDS,
        )
        response.raise_for_status()
        reply = lenient_json.decode_struct(response.content, _RangeReply)
    except (httpx.HTTPError, *decoding.ERRORS) as error:
        return Error(
            [problems.Finding(address, str(error), 'a store that answers')]
        )
    for item in reply.items:
        if isinstance(item, _Item) and item.key == protocol.CONFIGURATION_KEY:
            return parse(item.value)
    return Error(
        [problems.Finding(address, 'no configuration', 'one in the store')]
    )


def parse(data: bytes) -> DraftResult:
    """Return the draft in a document, or a finding for each wrong entry."""
    try:
        document = store_values.decode_json(data)
    except store_values.DecodeError as error:
        return Error([problems.Finding('configuration', str(error), 'JSON')])
    if not isinstance(document, dict):
        return Error(
            [problems.Finding('configuration', repr(document)[:40], 'fields')]
        )
    findings: list[problems.Finding] = []
    routes = _convert_each(
        document, 'routes', store_values.convert_route, findings
    )
    services = _convert_each(
        document, 'services', store_values.convert_service, findings
    )
    accounts = _convert_each(
        document, 'tenants', store_values.convert_account, findings
    )
    version = _convert(
        'version', document.get('version'), _convert_version, findings
    )
    limits = _convert(
        'limits',
        document.get('limits') or {},
        store_values.convert_limits,
        findings,
    )
    if findings or version is None or limits is None:
        return Error(findings)
    return Ok(
        configuration_checks.Draft(
            version,
            routes,
            services,
            tuple(configuration_checks.DraftAccount(*a) for a in accounts),
            limits,
        )
    )


def _convert_each(
    document: dict[str, Any],
    name: str,
    function: Callable[[Any], T],
    findings: list[problems.Finding],
) -> tuple[T, ...]:
    """Return the valid entries of a list; add a finding for each other."""
    entries = document.get(name, [])
    if not isinstance(entries, list):
        findings.append(problems.Finding(name, repr(entries)[:40], 'a list'))
        return ()
    converted = []
    for number, entry in enumerate(entries):
        label = entry.get('name') if isinstance(entry, dict) else None
        place = f'{name}.{label or number}'
        found = _convert(place, entry, function, findings)
        if found is not None:
            converted.append(found)
    return tuple(converted)


def _convert(
    place: str,
    value: Any,
    function: Callable[[Any], T],
    findings: list[problems.Finding],
) -> T | None:
    try:
        return function(value)
    except msgspec.ValidationError as error:
        findings.append(
            problems.Finding(place, str(error), 'the fields of its kind')
        )
        return None


def _convert_version(value: Any) -> int:
    return msgspec.convert(value, int)
