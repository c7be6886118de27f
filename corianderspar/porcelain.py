"""Functions behind the command-line tool, also for use from Python."""

import html
import json
from pathlib import Path
import tomllib
from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import httpx
import msgspec

from corianderspar import catalogue
from corianderspar import keys
from corianderspar import problems
from corianderspar import timeline
from corianderspar.platform import configuration_file  # noqa: H306
from corianderspar.router import configuration_checks

FETCH_TIMEOUT_SECONDS = 3.0

PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body {{ font: 14px/1.4 sans-serif; margin: 2em; }}
table {{ border-collapse: collapse; }}
td, th {{ padding: 2px 10px; text-align: left; vertical-align: top; }}
tr:nth-child(even) {{ background: #f3f3f3; }}
</style></head><body>
<h1>Time line</h1>
<p>{count} events of {processes} processes, causes before effects.</p>
<table><tr><th>Counter</th><th>Time (s)</th><th>VM</th><th>Event</th>
<th>Fields</th></tr>
{rows}
</table></body></html>
"""


class DaemonError(NamedTuple):
    """A daemon that could not be read, and why."""

    address: str
    reason: str


class EventFilter(NamedTuple):
    """Values that an event's fields must have; empty ones match any event."""

    request: str = ''
    account: str = ''
    upstream: str = ''


def check_catalogue(path: Path) -> list[problems.Finding]:
    """Return every finding on a catalogue file, TOML or JSON.

    Daemons run the same checks, so they accept and reject the same files.
    """
    try:
        content = path.read_bytes()
        if path.suffix == '.toml':
            document = tomllib.loads(content.decode('utf-8'))
        else:
            document = json.loads(content)
    except OSError as error:
        reason = error.strerror or str(error)
        return [problems.Finding(str(path), reason, 'a readable file')]
    except ValueError as error:
        return [problems.Finding(str(path), str(error), 'TOML or JSON')]
    result = catalogue.parse(document)
    return result.error if result.is_error() else []


class ConfigurationReport(NamedTuple):
    """What was found in a configuration of the platform.

    Attributes
    ----------
    errors : list of Finding
        Why it must not be sent.
    warnings : list of Finding
        What is probably a mistake.
    differences : list of Difference
        What it changes of the version in force, if that was given.
    """

    errors: list[problems.Finding]
    warnings: list[problems.Finding]
    differences: list[configuration_checks.Difference]

    def lines(self) -> list[str]:
        """Return the report, a line for each finding and difference."""
        return [
            *(f'error: {finding}' for finding in self.errors),
            *(f'warning: {finding}' for finding in self.warnings),
            *(f'change: {difference}' for difference in self.differences),
        ] or ['no findings']

    def as_document(self) -> dict[str, list[dict[str, str]]]:
        """Return the report for JSON."""
        return {
            name: [row._asdict() for row in rows]
            for name, rows in self._asdict().items()
        }


def check_configuration(
    path: Path, against: Path | None = None, store: str = ''
) -> ConfigurationReport:
    """Check a configuration file of the platform before it is sent.

    Parameters
    ----------
    path : Path
        The file, JSON.
    against : Path or None
        File with the version in force.
    store : str
        Address of the store that holds the version in force, ip:port; empty
        for none. Not used if a file is given.
    """
    draft = configuration_file.read_file(path)
    if draft.is_error():
        return ConfigurationReport(draft.error, [], [])
    errors = configuration_checks.errors(draft.ok)
    warnings = configuration_checks.warnings(draft.ok)
    if against is None and not store:
        return ConfigurationReport(errors, warnings, [])
    in_force = (
        configuration_file.read_file(against)
        if against is not None
        else configuration_file.read_store(store)
    )
    if in_force.is_error():
        return ConfigurationReport([*errors, *in_force.error], warnings, [])
    return ConfigurationReport(
        [
            *configuration_checks.version_finding(in_force.ok, draft.ok),
            *errors,
        ],
        warnings,
        configuration_checks.differences(in_force.ok, draft.ok),
    )


def make_key() -> keys.NewKey:
    """Return a new client key with its digest for the catalogue."""
    return keys.new_key()


def fetch(address: str, path: str) -> Result[Any, DaemonError]:
    """Return the content of a page of a daemon's admin address.

    Parameters
    ----------
    address : str
        ip:port, the setting ``listen.admin`` of the daemon.
    path : str
        Path of the page, such as ``/status``.

    Returns
    -------
    Result
        The decoded JSON, or why the daemon could not be read.
    """
    try:
        response = httpx.get(
            f'http://{address}{path}',
            timeout=FETCH_TIMEOUT_SECONDS,
            trust_env=False,
        )
    except httpx.HTTPError as error:
        return Error(DaemonError(address, type(error).__name__))
    if response.status_code != httpx.codes.OK:
        return Error(DaemonError(address, f'HTTP {response.status_code}'))
    return Ok(msgspec.json.decode(response.content))


def fetch_all(
    addresses: list[str], path: str
) -> tuple[dict[str, Any], list[DaemonError]]:
    """Return a page of many daemons by address, and those that failed."""
    pages_by_address = {}
    errors = []
    for address in addresses:
        result = fetch(address, path)
        if result.is_error():
            errors.append(result.error)
        else:
            pages_by_address[address] = result.ok
    return pages_by_address, errors


def merge_timeline(
    pages: list[list[dict[str, Any]]], event_filter: EventFilter
) -> list[timeline.Event]:
    """Return the matching events of many daemons in causal order."""
    events_by_daemon = [
        [timeline.Event(**event) for event in page] for page in pages
    ]
    return [
        event
        for event in timeline.merge(events_by_daemon)
        if _matches(event, event_filter)
    ]


def format_event(event: timeline.Event) -> str:
    """Return an event as a line of text.

    Examples
    --------
    >>> format_event(timeline.Event('vm1/1/a', 7, 2.5, 'x.y', {'k': 'v'}))
    '       7      2.500 vm1          x.y k=v'
    """
    fields = ' '.join(f'{key}={value}' for key, value in event.fields.items())
    vm = event.process.partition('/')[0]
    return (
        f'{event.counter:8} {event.wall:10.3f} {vm:12} {event.name} {fields}'
    ).rstrip()


def render_timeline(events: list[timeline.Event]) -> str:
    """Return events as an HTML page."""
    rows = [_table_row(event) for event in events]
    return PAGE_TEMPLATE.format(
        count=len(events),
        processes=len({event.process for event in events}),
        rows='\n'.join(rows),
    )


def _table_row(event: timeline.Event) -> str:
    fields = ' '.join(f'{key}={value}' for key, value in event.fields.items())
    vm = event.process.partition('/')[0]
    cells = (
        str(event.counter),
        f'{event.wall:.3f}',
        vm,
        event.name,
        fields,
    )
    joined = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
    return f'<tr>{joined}</tr>'


def _matches(event: timeline.Event, event_filter: EventFilter) -> bool:
    return all(
        not value or event.fields.get(key) == value
        for key, value in event_filter._asdict().items()
    )
