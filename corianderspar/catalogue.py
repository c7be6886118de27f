"""The catalogue that operators publish: checks, schema and loading."""

from collections.abc import Iterable
import json
from pathlib import Path as FilePath
import tomllib
from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from corianderspar import catalogue_checks
from corianderspar import catalogue_types
from corianderspar import problems
from corianderspar import toml_lines

__all__ = [
    'Account',
    'Catalogue',
    'Digest',
    'Entry',
    'Limits',
    'Name',
    'PartialCatalogue',
    'Path',
    'Route',
    'ServiceClass',
    'Upstream',
    'assemble',
    'load_json',
    'load_toml',
    'parse',
    'parse_partial',
    'schema',
    'to_document',
    'validation_findings',
    'warnings',
]

Account = catalogue_types.Account
Catalogue = catalogue_types.Catalogue
Digest = catalogue_types.Digest
Entry = catalogue_types.Entry
Limits = catalogue_types.Limits
Name = catalogue_types.Name
Path = catalogue_types.Path
Route = catalogue_types.Route
ServiceClass = catalogue_types.ServiceClass
Upstream = catalogue_types.Upstream

SEEN_CHARACTERS = 80

Findings = list[problems.Finding]

warnings = catalogue_checks.warnings


class PartialCatalogue(NamedTuple):
    """What is valid in one part of a catalogue, and what is not.

    Attributes
    ----------
    entries_by_name, accounts_by_name, upstreams_by_name : dict
        Items whose fields have the right types.
    findings : list of Finding
        What is wrong with the others.
    """

    entries_by_name: dict[str, Entry]
    accounts_by_name: dict[str, Account]
    upstreams_by_name: dict[str, Upstream]
    findings: Findings


_KINDS_BY_NAME = {
    kind.__name__: kind for kind in (Account, Entry, Limits, Route, Upstream)
}
_ADAPTER = pydantic.TypeAdapter(Catalogue)
_VERSION = pydantic.TypeAdapter(Catalogue.__annotations__['version'])
_ADAPTERS_BY_SECTION: dict[str, pydantic.TypeAdapter[Any]] = {
    section: pydantic.TypeAdapter(Catalogue.__annotations__[section])
    for section in Catalogue._fields
    if section != 'version'
}


def parse(source: Any) -> Result[Catalogue, Findings]:
    """Check a catalogue and return it, or all that is wrong with it.

    The verdict depends on the document alone, so it is the same in every
    daemon and in the operator's tool.

    Parameters
    ----------
    source : object
        What a JSON or TOML parser made of the catalogue.

    Returns
    -------
    Result
        The catalogue, or findings in the order of their places.
    """
    if not isinstance(source, dict):
        return Error([_finding('', source, 'a table')])
    sections = {key: source[key] for key in source if key != 'version'}
    wrong = [
        _finding(section, None, 'a table; it is missing')
        for section in _ADAPTERS_BY_SECTION
        if section not in source
    ]
    try:
        version = _VERSION.validate_python(source.get('version'))
    except pydantic.ValidationError as error:
        wrong.extend(validation_findings(error, 'version'))
        version = 0
    part = parse_partial(sections)
    return assemble(version, [part], wrong)


def parse_partial(source: Any) -> PartialCatalogue:
    """Check each item of some sections of a catalogue by itself.

    Parameters
    ----------
    source : object
        Sections by their names, none or some missing.

    Returns
    -------
    PartialCatalogue
        The valid items, and findings on the others.
    """
    part = PartialCatalogue({}, {}, {}, [])
    if not isinstance(source, dict):
        part.findings.append(_finding('', source, 'a table'))
        return part
    for section, items in source.items():
        adapter = _ADAPTERS_BY_SECTION.get(section)
        if adapter is None:
            part.findings.append(_finding(section, items, 'no such section'))
            continue
        try:
            valid = adapter.validate_python(items)
        except pydantic.ValidationError as error:
            part.findings.extend(validation_findings(error, section))
            valid = _valid_items(adapter, items)
        getattr(part, section).update(valid)
    return part


def assemble(
    version: int,
    parts: Iterable[PartialCatalogue],
    wrong: Iterable[problems.Finding] = (),
) -> Result[Catalogue, Findings]:
    """Join parts to a catalogue, checked across them.

    Parameters
    ----------
    version : int
        Version of the whole.
    parts : iterable of PartialCatalogue
        Their names must differ.
    wrong : iterable of Finding
        What was found before.

    Returns
    -------
    Result
        The catalogue, or all findings together, those of ``wrong`` and of
        the parts included.
    """
    found = Catalogue(version, {}, {}, {})
    results = list(wrong)
    for part in parts:
        results.extend(part.findings)
        for section in _ADAPTERS_BY_SECTION:
            target = getattr(found, section)
            items = getattr(part, section)
            results.extend(
                _finding(f'{section}.{name}', name, 'a name used once')
                for name in sorted(target.keys() & items.keys())
            )
            target.update(items)
    # A missing target may be the doing of an upstream found wrong above.
    upstreams_whole = not any(
        finding.place.startswith('upstreams_by_name') for finding in results
    )
    results.extend(
        finding
        for finding in catalogue_checks.findings(found)
        if upstreams_whole or not finding.place.endswith('.target')
    )
    if results:
        return Error(sorted(results))
    return Ok(found)


def validation_findings(
    error: pydantic.ValidationError, prefix: str = ''
) -> list[problems.Finding]:
    """Return what a validation found, one finding a place."""
    return [
        _finding(
            '.'.join(
                str(part) for part in (prefix, *item['loc']) if part != ''
            ),
            item.get('input'),
            item['msg'],
        )
        for item in error.errors(include_url=False, include_context=False)
    ]


def to_document(value: Any) -> Any:
    """Return a catalogue or a part of it as JSON and TOML writers take it.

    Examples
    --------
    >>> to_document(Limits(2.0, 10, 5))
    {'timeout': 2.0, 'max_body': 10, 'max_tokens': 5}
    """
    if isinstance(value, tuple) and hasattr(value, '_asdict'):
        return {
            key: to_document(item) for key, item in value._asdict().items()
        }
    if isinstance(value, dict):
        return {key: to_document(item) for key, item in value.items()}
    if isinstance(value, tuple):
        return [to_document(item) for item in value]
    return value


def schema() -> dict[str, Any]:
    """Return the JSON schema of a catalogue."""
    definitions = _ADAPTER.json_schema()
    named = definitions.pop('$defs')
    return {
        **_as_object(definitions, Catalogue),
        '$defs': {
            name: _as_object(named[name], kind)
            for name, kind in _KINDS_BY_NAME.items()
        },
    }


def load_toml(path: FilePath) -> Result[Catalogue, Findings]:
    """Read and check a catalogue in TOML.

    Parameters
    ----------
    path : Path
        The file.

    Returns
    -------
    Result
        The catalogue, or findings whose places name file, line and key
        path.
    """
    text = path.read_text()
    try:
        source = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error([_finding(str(path), '', f'TOML: {error}')])
    lines_by_path = toml_lines.lines_by_path(text)
    return parse(source).map_error(
        lambda found: [
            finding._replace(
                place=f'{path}:'
                f'{toml_lines.line_of(lines_by_path, finding.place)}:'
                f' {finding.place}'
            )
            for finding in found
        ]
    )


def load_json(path: FilePath) -> Result[Catalogue, Findings]:
    """Read and check a catalogue in JSON.

    Parameters
    ----------
    path : Path
        The file.

    Returns
    -------
    Result
        The catalogue, or findings whose places name file and key path.
    """
    try:
        source = json.loads(path.read_bytes())
    except ValueError as error:
        return Error([_finding(str(path), '', f'JSON: {error}')])
    return parse(source).map_error(
        lambda found: [
            finding._replace(place=f'{path}: {finding.place}')
            for finding in found
        ]
    )


def _valid_items(
    adapter: pydantic.TypeAdapter[Any], items: Any
) -> dict[str, Any]:
    valid: dict[str, Any] = {}
    if not isinstance(items, dict):
        return valid
    for name, item in items.items():
        try:
            valid.update(adapter.validate_python({name: item}))
        except pydantic.ValidationError:
            continue
    return valid


def _as_object(node: dict[str, Any], kind: Any) -> dict[str, Any]:
    """Turn the array that stands for a named tuple into an object."""
    fields = dict(zip(kind._fields, node['prefixItems'], strict=True))
    return {
        'title': kind.__name__,
        'description': kind.__doc__.splitlines()[0],
        'type': 'object',
        'properties': fields,
        'required': [
            name for name in kind._fields if name not in kind._field_defaults
        ],
        'additionalProperties': False,
    }


def _finding(place: str, seen: object, allowed: str) -> problems.Finding:
    return problems.Finding(place, repr(seen)[:SEEN_CHARACTERS], allowed)
