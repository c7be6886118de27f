"""The command-line tool ``corianderspar`` for operators."""

import json
from pathlib import Path
import sys
from typing import Annotated
from typing import Any

import typer

from corianderspar import porcelain
from corianderspar import scenario as scenarios
from corianderspar import settings

EXIT_FINDINGS = 1
EXIT_UNREACHABLE = 3

program = typer.Typer(
    no_args_is_help=True,
    help='Checks what operators publish and shows what the daemons do. '
    'Nothing here changes a daemon: the catalogue does that.',
)
keys_program = typer.Typer(no_args_is_help=True, help='Client keys.')
program.add_typer(keys_program, name='keys')

Daemons = Annotated[
    list[str],
    typer.Option(
        '--daemon',
        '-d',
        envvar='CORIANDERSPAR_DAEMONS',
        help='Admin address of a daemon, ip:port; give it once for each.',
    ),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]


@program.command()
def check(
    path: Annotated[Path, typer.Argument(help='A catalogue, TOML or JSON.')],
    as_json: AsJson = False,
) -> None:
    """Check a catalogue before it is published.

    Prints every finding with its place, and exits with 1 if there is one.
    The daemons reach the same verdict.
    """
    findings = porcelain.check_catalogue(path)
    if as_json:
        _print_json([finding._asdict() for finding in findings])
    else:
        for finding in findings:
            print(finding)
        if not findings:
            print(f'{path}: no findings')
    if findings:
        raise typer.Exit(EXIT_FINDINGS)


@program.command('check-configuration')
def check_configuration(
    path: Annotated[
        Path, typer.Argument(help='A configuration of the platform, JSON.')
    ],
    against: Annotated[
        Path | None,
        typer.Option(help='File with the version in force, to compare.'),
    ] = None,
    store: Annotated[
        str,
        typer.Option(help='Address of the store that holds it, ip:port.'),
    ] = '',
    as_json: AsJson = False,
) -> None:
    """Check a configuration of the platform before it is sent.

    Prints errors and warnings with their places, and what differs from the
    version in force. Exits with 1 if there is an error.
    """
    report = porcelain.check_configuration(path, against, store)
    if as_json:
        _print_json(report.as_document())
    else:
        for line in report.lines():
            print(line)
    if report.errors:
        raise typer.Exit(EXIT_FINDINGS)


@keys_program.command('new')
def new_key(as_json: AsJson = False) -> None:
    """Make a client key; it is shown this once and kept nowhere.

    The digest goes into the account's ``digests`` in the catalogue.
    """
    created = porcelain.make_key()
    if as_json:
        _print_json(created._asdict())
        return
    print(f'key (give it to the caller): {created.key}')
    print(f'digest (for the catalogue):  "{created.digest}",')


@program.command()
def status(daemons: Daemons, as_json: AsJson = False) -> None:
    """Show every daemon: version in force, requests, live VMs."""
    pages = _fetch_pages(daemons, '/status')
    if as_json:
        _print_json(pages)
        return
    for address, page in pages.items():
        live = sum(len(vms) for vms in page['live_by_data_centre'].values())
        ready = 'ready' if page['ready'] else 'not ready'
        print(
            f'{page["vm"]} ({page["data_centre"]}, {address}): {ready},'
            f' catalogue {page["catalogue_version"]},'
            f' {page["inflight"]} requests, {live} live VMs,'
            f' {len(page["failures"])} failures'
        )


@program.command()
def upstreams(daemons: Daemons, as_json: AsJson = False) -> None:
    """Show the upstreams of the catalogue in force."""
    pages = _fetch_pages(daemons, '/upstreams')
    if as_json:
        _print_json(pages)
        return
    for address, page in pages.items():
        print(f'{address}:')
        for name, upstream in page.items():
            state = 'leaving' if upstream['leaving'] else 'in use'
            print(
                f'  {name}: {upstream["kind"]} {upstream["pool"]}'
                f' {upstream["role"]} {upstream["data_centre"]}'
                f' {upstream["address"]} {state}'
            )


@program.command()
def accounts(
    name: Annotated[str, typer.Argument(help='Name of a client account.')],
    daemons: Daemons,
    as_json: AsJson = False,
) -> None:
    """Show a client account and each daemon's part of its limits."""
    pages = _fetch_pages(daemons, f'/accounts/{name}')
    if as_json:
        _print_json(pages)
        return
    for address, page in pages.items():
        print(f'{address}:')
        for part in ('account', 'here'):
            for key, value in (page[part] or {}).items():
                print(f'  {key}: {value}')


@program.command()
def timeline(
    daemons: Daemons,
    request: Annotated[str, typer.Option(help='Only this request.')] = '',
    account: Annotated[str, typer.Option(help='Only this account.')] = '',
    upstream: Annotated[str, typer.Option(help='Only this upstream.')] = '',
    page: Annotated[
        Path | None, typer.Option(help='Write an HTML page to this file.')
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Show the events of all daemons, causes before effects."""
    pages = _fetch_pages(daemons, '/timeline')
    event_filter = porcelain.EventFilter(request, account, upstream)
    events = porcelain.merge_timeline(list(pages.values()), event_filter)
    if page is not None:
        page.write_text(porcelain.render_timeline(events), encoding='utf-8')
    elif as_json:
        _print_json([event._asdict() for event in events])
    else:
        for event in events:
            print(porcelain.format_event(event))


@program.command()
def scenario(
    path: Annotated[Path, typer.Argument(help='A script; see SCENARIOS.md.')],
    seed: Annotated[int, typer.Option(help='Seed of all randomness.')] = 1,
    events: Annotated[
        bool, typer.Option('--events', help='Print the time line too.')
    ] = False,
) -> None:
    """Run a scripted scenario on whole daemons in memory.

    Prints what was not met, and exits with 1 if anything was not.
    """
    try:
        report = scenarios.run_file(path, seed)
    except OSError as error:
        print(f'{path}: {error.strerror}', file=sys.stderr)
        raise typer.Exit(EXIT_FINDINGS) from error
    for line in report.lines():
        print(line)
    if events:
        for event in report.events:
            print(porcelain.format_event(event))
    if not report.passed:
        raise typer.Exit(EXIT_FINDINGS)


@program.command('settings')
def show_settings(as_json: AsJson = False) -> None:
    """Explain every setting of the daemon, with its default."""
    descriptions = settings.explain()
    if as_json:
        _print_json([description._asdict() for description in descriptions])
        return
    for description in descriptions:
        print(
            f'{description.key} ({description.type},'
            f' default: {description.default})'
        )
        print(f'    {description.meaning}')


def _fetch_pages(daemons: list[str], path: str) -> dict[str, Any]:
    pages, errors = porcelain.fetch_all(daemons, path)
    for error in errors:
        print(f'{error.address}: {error.reason}', file=sys.stderr)
    if not pages:
        raise typer.Exit(EXIT_UNREACHABLE)
    return pages


def _print_json(value: Any) -> None:
    print(json.dumps(value, indent=2, default=str))


def main() -> None:
    """Run the command-line tool."""
    program()


if __name__ == '__main__':
    main()
