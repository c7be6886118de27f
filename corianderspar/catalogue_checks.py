"""Checks of a catalogue that involve more than one field."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

from corianderspar import catalogue_types
from corianderspar import problems

SHARE_ROUNDING = 1e-9  # for rounding errors in a sum of shares


def findings(candidate: catalogue_types.Catalogue) -> list[problems.Finding]:
    """Return a finding for each conflict between fields of a catalogue.

    Parameters
    ----------
    candidate : Catalogue
        Catalogue whose fields are valid one by one.

    Returns
    -------
    list of Finding
        In the order of their places within each check.
    """
    return [
        *_check_shares(candidate.accounts_by_name),
        *_check_digests(candidate.accounts_by_name),
        *_check_paths(candidate.entries_by_name),
        *_check_targets(candidate),
        *_check_roles(candidate.upstreams_by_name),
        *_check_addresses(candidate.upstreams_by_name),
    ]


def warnings(valid: catalogue_types.Catalogue) -> list[problems.Finding]:
    """Return what is allowed but probably a mistake.

    Parameters
    ----------
    valid : Catalogue
        Catalogue without findings.

    Returns
    -------
    list of Finding
        In the order of their places within each check.
    """
    return [
        *_unknown_data_centres(valid),
        *_unused_rate(valid.accounts_by_name),
        *_open_engine_routes(valid.entries_by_name),
    ]


def _check_shares(
    accounts_by_name: dict[str, catalogue_types.Account],
) -> Iterator[problems.Finding]:
    for name, account in accounts_by_name.items():
        total = sum(account.shares_by_data_centre.values())
        if total > 1 + SHARE_ROUNDING:
            yield problems.Finding(
                f'accounts_by_name.{name}.shares_by_data_centre',
                f'sum {total:.6g}',
                'shares that sum to at most 1',
            )


def _check_digests(
    accounts_by_name: dict[str, catalogue_types.Account],
) -> Iterator[problems.Finding]:
    owners_by_digest: dict[str, str] = {}
    for name, account in accounts_by_name.items():
        for index, digest in enumerate(account.digests):
            owner = owners_by_digest.setdefault(digest, name)
            if owner != name:
                yield problems.Finding(
                    f'accounts_by_name.{name}.digests.{index}',
                    f'{digest[:15]}...',
                    f'a key of one account; {owner} has it too',
                )


def _routes_with_places(
    entries_by_name: dict[str, catalogue_types.Entry],
) -> Iterator[tuple[str, catalogue_types.Route]]:
    for entry_name, entry in entries_by_name.items():
        for route_name, route in entry.routes_by_name.items():
            place = f'entries_by_name.{entry_name}.routes_by_name.{route_name}'
            yield place, route


def _check_paths(
    entries_by_name: dict[str, catalogue_types.Entry],
) -> Iterator[problems.Finding]:
    places_by_path: dict[str, str] = {}
    for place, route in _routes_with_places(entries_by_name):
        parts = route.path.strip('/').split('/')
        if route.path != '/' and ({'', '.', '..'} & {*parts}):
            yield problems.Finding(
                f'{place}.path', route.path, 'no empty, "." or ".." part'
            )
        path = route.path.rstrip('/')
        other = places_by_path.setdefault(path, place)
        if other != place:
            yield problems.Finding(
                f'{place}.path', route.path, f'a path of its own; see {other}'
            )


def _check_targets(
    candidate: catalogue_types.Catalogue,
) -> Iterator[problems.Finding]:
    roles_by_pool = collections.defaultdict(set)
    for upstream in candidate.upstreams_by_name.values():
        roles_by_pool[upstream.kind, upstream.pool].add(upstream.role)
    for place, route in _routes_with_places(candidate.entries_by_name):
        roles = roles_by_pool.get((route.kind, route.target), set())
        needed = {'prefill', 'decode'} if route.kind == 'engine' else {''}
        missing = sorted(needed - roles)
        if missing:
            missing_names = ' and '.join(
                f'{role} {route.kind}' for role in missing
            )
            yield problems.Finding(
                f'{place}.target',
                route.target,
                f'a pool with a {missing_names.strip()} upstream',
            )


def _check_roles(
    upstreams_by_name: dict[str, catalogue_types.Upstream],
) -> Iterator[problems.Finding]:
    for name, upstream in upstreams_by_name.items():
        if (upstream.kind == 'engine') != bool(upstream.role):
            allowed = {
                'engine': '"prefill" or "decode" for an engine',
                'plain': 'no role for a plain service',
            }
            yield problems.Finding(
                f'upstreams_by_name.{name}.role',
                repr(upstream.role),
                allowed[upstream.kind],
            )


def _check_addresses(
    upstreams_by_name: dict[str, catalogue_types.Upstream],
) -> Iterator[problems.Finding]:
    names_by_address: dict[str, str] = {}
    for name, upstream in upstreams_by_name.items():
        other = names_by_address.setdefault(upstream.address, name)
        if other != name:
            yield problems.Finding(
                f'upstreams_by_name.{name}.address',
                upstream.address,
                f'an address of its own; {other} has it too',
            )


def _unknown_data_centres(
    valid: catalogue_types.Catalogue,
) -> Iterator[problems.Finding]:
    known = {
        upstream.data_centre for upstream in valid.upstreams_by_name.values()
    }
    for name, account in valid.accounts_by_name.items():
        for data_centre in account.shares_by_data_centre:
            if data_centre not in known:
                yield problems.Finding(
                    f'accounts_by_name.{name}'
                    f'.shares_by_data_centre.{data_centre}',
                    data_centre,
                    'a data centre with an upstream',
                )


def _unused_rate(
    accounts_by_name: dict[str, catalogue_types.Account],
) -> Iterator[problems.Finding]:
    for name, account in accounts_by_name.items():
        total = sum(account.shares_by_data_centre.values())
        if total < 1 - SHARE_ROUNDING:
            yield problems.Finding(
                f'accounts_by_name.{name}.shares_by_data_centre',
                f'sum {total:.6g}',
                'shares that sum to 1, or part of the rate is never used',
            )


def _open_engine_routes(
    entries_by_name: dict[str, catalogue_types.Entry],
) -> Iterable[problems.Finding]:
    for place, route in _routes_with_places(entries_by_name):
        if route.open and route.kind == 'engine':
            yield problems.Finding(
                f'{place}.open', 'true', 'a key, or no account is charged'
            )
