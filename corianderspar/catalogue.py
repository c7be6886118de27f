"""The catalogue that operators publish: loading, checks and schema."""

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

MAX_SEEN_CHARACTERS = 80

Findings = list[problems.Finding]

warnings = catalogue_checks.warnings


class PartialCatalogue(NamedTuple):
    """Valid items of some sections of a catalogue, and findings.

    Attributes
    ----------
    entries_by_name, accounts_by_name, upstreams_by_name : dict
        Items whose fields are valid one by one.
    findings : list of Finding
        Findings on the other items.
    """

    entries_by_name: dict[str, Entry]
    accounts_by_name: dict[str, Account]
    upstreams_by_name: dict[str, Upstream]
    findings: Findings


_TYPES_BY_NAME = {
    item_type.__name__: item_type
    for item_type in (Account, Entry, Limits, Route, Upstream)
}
_VALIDATOR = pydantic.TypeAdapter(Catalogue)
_VERSION_VALIDATOR = pydantic.TypeAdapter(Catalogue.__annotations__['version'])
_VALIDATORS_BY_SECTION: dict[str, pydantic.TypeAdapter[Any]] = {
    section: pydantic.TypeAdapter(Catalogue.__annotations__[section])
    for section in Catalogue._fields
    if section != 'version'
}


def parse(document: Any) -> Result[Catalogue, Findings]:
    """Check a catalogue and return it, or all findings on it.

    The result depends on the document alone, so that every daemon and the
    command-line tool accept and reject the same catalogues.

    Parameters
    ----------
    document : object
        The catalogue as a JSON or TOML parser returns it.

    Returns
    -------
    Result
        The catalogue, or findings in the order of their places.
    """
    if not isinstance(document, dict):
        return Error([_finding('', document, 'a table')])
    sections = {key: document[key] for key in document if key != 'version'}
    findings = [
        _finding(section, None, 'a table; it is missing')
        for section in _VALIDATORS_BY_SECTION
        if section not in document
    ]
    try:
        version = _VERSION_VALIDATOR.validate_python(document.get('version'))
    except pydantic.ValidationError as error:
        findings.extend(validation_findings(error, 'version'))
        version = 0
    part = parse_partial(sections)
    return assemble(version, [part], findings)


def parse_partial(document: Any) -> PartialCatalogue:
    """Check each item of some sections of a catalogue on its own.

    Parameters
    ----------
    document : object
        Sections by name; any of them may be missing.

    Returns
    -------
    PartialCatalogue
        The valid items, and findings on the others.
    """
    part = PartialCatalogue({}, {}, {}, [])
    if not isinstance(document, dict):
        part.findings.append(_finding('', document, 'a table'))
        return part
    for section, items in document.items():
        validator = _VALIDATORS_BY_SECTION.get(section)
        if validator is None:
            part.findings.append(_finding(section, items, 'no such section'))
            continue
        try:
            valid = validator.validate_python(items)
        except pydantic.ValidationError as error:
            part.findings.extend(validation_findings(error, section))
            valid = _valid_items(validator, items)
        getattr(part, section).update(valid)
    return part


def assemble(
    version: int,
    parts: Iterable[PartialCatalogue],
    earlier_findings: Iterable[problems.Finding] = (),
) -> Result[Catalogue, Findings]:
    """Merge partial catalogues into one and check it as a whole.

    Parameters
    ----------
    version : int
        Version of the resulting catalogue.
    parts : iterable of PartialCatalogue
        A name of an item in more than one of them is a finding.
    earlier_findings : iterable of Finding
        Findings to report with those made here.

    Returns
    -------
    Result
        The catalogue, or all findings, with ``earlier_findings`` and those
        of the parts, sorted by place.
    """
    merged = Catalogue(version, {}, {}, {})
    all_findings = list(earlier_findings)
    for part in parts:
        all_findings.extend(part.findings)
        for section in _VALIDATORS_BY_SECTION:
            target = getattr(merged, section)
            items = getattr(part, section)
            all_findings.extend(
                _finding(f'{section}.{name}', name, 'a name used once')
                for name in sorted(target.keys() & items.keys())
            )
            target.update(items)
    # A target may be missing only because its upstream was invalid; the
    # finding on that upstream is enough.
    upstreams_valid = not any(
        finding.place.startswith('upstreams_by_name')
        for finding in all_findings
    )
    all_findings.extend(
        finding
        for finding in catalogue_checks.findings(merged)
        if upstreams_valid or not finding.place.endswith('.target')
    )
    if all_findings:
        return Error(sorted(all_findings))
    return Ok(merged)


def validation_findings(
    error: pydantic.ValidationError, prefix: str = ''
) -> list[problems.Finding]:
    """Return a finding for each place that failed validation."""
    return [
        _finding(
            '.'.join(
                str(key) for key in (prefix, *details['loc']) if key != ''
            ),
            details.get('input'),
            details['msg'],
        )
        for details in error.errors(include_url=False, include_context=False)
    ]


def to_document(value: Any) -> Any:
    """Return a catalogue or a part of it as plain dicts and lists.

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
    definitions = _VALIDATOR.json_schema()
    schemas_by_name = definitions.pop('$defs')
    return {
        **_object_schema(definitions, Catalogue),
        '$defs': {
            name: _object_schema(schemas_by_name[name], item_type)
            for name, item_type in _TYPES_BY_NAME.items()
        },
    }


def load_toml(path: FilePath) -> Result[Catalogue, Findings]:
    """Read and check a catalogue in TOML.

    Parameters
    ----------
    path : Path
        Path of the file.

    Returns
    -------
    Result
        The catalogue, or findings whose places name file, line and key
        path.
    """
    text = path.read_text()
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error([_finding(str(path), '', f'TOML: {error}')])
    lines_by_path = toml_lines.lines_by_path(text)
    return parse(document).map_error(
        lambda findings: [
            finding._replace(
                place=f'{path}:'
                f'{toml_lines.line_of(lines_by_path, finding.place)}:'
                f' {finding.place}'
            )
            for finding in findings
        ]
    )


def load_json(path: FilePath) -> Result[Catalogue, Findings]:
    """Read and check a catalogue in JSON.

    Parameters
    ----------
    path : Path
        Path of the file.

    Returns
    -------
    Result
        The catalogue, or findings whose places name file and key path.
    """
    try:
        document = json.loads(path.read_bytes())
    except ValueError as error:
        return Error([_finding(str(path), '', f'JSON: {error}')])
    return parse(document).map_error(
        lambda findings: [
            finding._replace(place=f'{path}: {finding.place}')
            for finding in findings
        ]
    )


def _valid_items(
    validator: pydantic.TypeAdapter[Any], items: Any
) -> dict[str, Any]:
    valid: dict[str, Any] = {}
    if not isinstance(items, dict):
        return valid
    for name, item in items.items():
        try:
            valid.update(validator.validate_python({name: item}))
        except pydantic.ValidationError:
            continue
    return valid


def _object_schema(
    array_schema: dict[str, Any], item_type: Any
) -> dict[str, Any]:
    """Return the schema of a named tuple as one of an object.

    Pydantic describes a named tuple as an array, but a catalogue writes it
    as a table.
    """
    fields = dict(
        zip(item_type._fields, array_schema['prefixItems'], strict=True)
    )
    return {
        'title': item_type.__name__,
        'description': item_type.__doc__.splitlines()[0],
        'type': 'object',
        'properties': fields,
        'required': [
            name
            for name in item_type._fields
            if name not in item_type._field_defaults
        ],
        'additionalProperties': False,
    }


def _finding(place: str, seen: object, allowed: str) -> problems.Finding:
    return problems.Finding(place, repr(seen)[:MAX_SEEN_CHARACTERS], allowed)
