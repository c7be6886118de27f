"""Checks of a configuration before the operator publishes it.

A draft keeps what a configuration in force no longer shows: entries that are
given twice, and accounts without keys. The checks tell errors, which daemons
would reject or which break a promise, from warnings, which are allowed and
probably a mistake.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from corianderspar import problems
from corianderspar.router import model


class DraftAccount(NamedTuple):
    """A client account, with the digests of its keys."""

    account: model.Account
    digests: tuple[str, ...]


class Draft(NamedTuple):
    """A configuration as the operator wrote it.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        In the order of the document.
    services : tuple of Service
        In the order of the document.
    accounts : tuple of DraftAccount
        In the order of the document.
    limits : CallerLimits
        Limits on callers' requests.
    """

    version: int
    routes: tuple[model.Route, ...]
    services: tuple[model.Service, ...]
    accounts: tuple[DraftAccount, ...]
    limits: model.CallerLimits


class Difference(NamedTuple):
    """A difference between the version in force and a draft.

    Attributes
    ----------
    place : str
        Key path, such as ``routes.lookups.timeout``.
    before, after : str
        The values; empty where there is none.
    """

    place: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return the difference as one line."""
        return f'{self.place}: {self.before or "-"} -> {self.after or "-"}'


def errors(draft: Draft) -> list[problems.Finding]:
    """Return a finding for each error, in the order of the places."""
    return [
        *_check_version(draft),
        *_check_names('routes', [route.name for route in draft.routes]),
        *_check_names('services', [s.name for s in draft.services]),
        *_check_names('accounts', [a.account.name for a in draft.accounts]),
        *_check_keys(draft.accounts),
        *_check_routes(draft),
        *_check_capacity(draft.services),
        *_check_rates(draft.accounts),
        *_check_caller_limits(draft.limits),
    ]


def warnings(draft: Draft) -> list[problems.Finding]:
    """Return a finding for each entry that is probably a mistake."""
    return [
        *_unreachable_routes(draft.routes),
        *_idle_splits(draft.routes),
        *_unused_services(draft),
        *_unusable_accounts(draft),
        *_idle_attempts(draft.routes),
    ]


def differences(before: Draft, after: Draft) -> list[Difference]:
    """Return what a draft changes; keys are given by their number only."""
    found = [
        *_compare_entries('routes', before.routes, after.routes),
        *_compare_entries('services', before.services, after.services),
        *_compare_entries(
            'accounts',
            [entry.account for entry in before.accounts],
            [entry.account for entry in after.accounts],
        ),
        *_compare_keys(before.accounts, after.accounts),
        *_compare_fields('limits', before.limits, after.limits),
    ]
    if after.version != before.version:
        found.insert(
            0, Difference('version', str(before.version), str(after.version))
        )
    return found


def version_finding(before: Draft, after: Draft) -> list[problems.Finding]:
    """Return a finding if daemons would ignore a draft."""
    if after.version > before.version:
        return []
    return [
        problems.Finding(
            'version',
            str(after.version),
            f'a version above {before.version}, which is in force',
        )
    ]


def _check_version(draft: Draft) -> Iterator[problems.Finding]:
    if draft.version < 1:
        yield problems.Finding(
            'version', str(draft.version), 'a whole number above 0'
        )


def _check_names(
    place: str, names: Iterable[str]
) -> Iterator[problems.Finding]:
    for name, count in collections.Counter(names).items():
        if not name:
            yield problems.Finding(f'{place}.', '', 'a name')
        elif count > 1:
            yield problems.Finding(
                f'{place}.{name}', f'{count} entries', 'a name of its own'
            )


def _check_keys(
    accounts: tuple[DraftAccount, ...],
) -> Iterator[problems.Finding]:
    owners_by_digest: dict[str, str] = {}
    for entry in accounts:
        name = entry.account.name
        for digest in entry.digests:
            owner = owners_by_digest.setdefault(digest, name)
            if owner != name:
                yield problems.Finding(
                    f'accounts.{name}.keys',
                    f'{digest[:15]}...',
                    f'a key of one account; {owner!r} has it too',
                )


def _check_routes(draft: Draft) -> Iterator[problems.Finding]:
    names = {service.name for service in draft.services}
    for route in draft.routes:
        place = f'routes.{route.name}'
        if not route.host:
            yield problems.Finding(f'{place}.host', '', 'a host')
        if not (
            route.prefix.startswith('/')
            and route.prefix.endswith('/')
            and '//' not in route.prefix
        ):
            yield problems.Finding(
                f'{place}.prefix',
                route.prefix,
                'a path that begins and ends with a slash',
            )
        for service in route.weights_by_service.keys() - names:
            yield problems.Finding(
                f'{place}.service', service, 'a service of the configuration'
            )
        weights = route.weights_by_service.values()
        if min(weights) < 0.0 or sum(weights) <= 0.0:
            yield problems.Finding(
                f'{place}.split',
                ', '.join(map(str, weights)),
                'weights of 0 or more, and one above 0',
            )
        yield from _check_route_limits(place, route)


def _check_route_limits(
    place: str, route: model.Route
) -> Iterator[problems.Finding]:
    if route.timeout <= 0.0:
        yield problems.Finding(
            f'{place}.timeout', f'{route.timeout:g} s', 'more than 0 s'
        )
    elif route.objective > route.timeout:
        yield problems.Finding(
            f'{place}.objective',
            f'{route.objective:g} s',
            f'at most the timeout, {route.timeout:g} s',
        )
    if route.gap > route.timeout > 0.0:
        yield problems.Finding(
            f'{place}.gap',
            f'{route.gap:g} s',
            f'at most the timeout, {route.timeout:g} s',
        )
    if route.attempts < 1:
        yield problems.Finding(
            f'{place}.attempts', str(route.attempts), '1 or more'
        )
    if route.priority < 0:
        yield problems.Finding(
            f'{place}.priority', str(route.priority), '0 or more'
        )


def _check_capacity(
    services: tuple[model.Service, ...],
) -> Iterator[problems.Finding]:
    for service in services:
        if service.engine is None:
            continue
        for field in ('slots', 'memory_tokens', 'kv_hold_seconds'):
            value = getattr(service.engine, field)
            if value <= 0:
                yield problems.Finding(
                    f'services.{service.name}.engine.{field}',
                    str(value),
                    'more than 0',
                )


def _check_rates(
    accounts: tuple[DraftAccount, ...],
) -> Iterator[problems.Finding]:
    for entry in accounts:
        account = entry.account
        place = f'accounts.{account.name}'
        if account.rate < 0.0 or account.burst < 0.0:
            yield problems.Finding(
                f'{place}.rate',
                f'{account.rate:g}, burst {account.burst:g}',
                '0 or more',
            )
        elif account.rate > 0.0 and account.burst < account.default_tokens:
            yield problems.Finding(
                f'{place}.burst',
                f'{account.burst:g}',
                f'at least one request, {account.default_tokens}',
            )


def _check_caller_limits(
    limits: model.CallerLimits,
) -> Iterator[problems.Finding]:
    for field, value in limits._asdict().items():
        if value <= 0:
            yield problems.Finding(
                f'limits.{field}', f'{value:g}', 'more than 0'
            )


def _unreachable_routes(
    routes: tuple[model.Route, ...],
) -> Iterator[problems.Finding]:
    first_by_match: dict[tuple[str, str], str] = {}
    for route in routes:
        match = route.host, route.prefix
        first = first_by_match.setdefault(match, route.name)
        if first != route.name:
            yield problems.Finding(
                f'routes.{route.name}',
                f'{route.host}{route.prefix}',
                f'a match of its own; all its requests go to {first!r}',
            )


def _idle_splits(
    routes: tuple[model.Route, ...],
) -> Iterator[problems.Finding]:
    for route in routes:
        for service, weight in route.weights_by_service.items():
            if weight == 0.0:
                yield problems.Finding(
                    f'routes.{route.name}.split.{service}',
                    'weight 0',
                    'a weight above 0; it gets no requests',
                )


def _unused_services(draft: Draft) -> Iterator[problems.Finding]:
    used = {
        service
        for route in draft.routes
        for service in route.weights_by_service
    }
    for service in draft.services:
        if service.name not in used:
            yield problems.Finding(
                f'services.{service.name}', 'no route', 'a route that uses it'
            )


def _unusable_accounts(draft: Draft) -> Iterator[problems.Finding]:
    for entry in draft.accounts:
        if not entry.digests:
            yield problems.Finding(
                f'accounts.{entry.account.name}.keys', 'none', 'a key'
            )
    has_keys = any(entry.digests for entry in draft.accounts)
    for route in draft.routes:
        if not (route.public or has_keys):
            yield problems.Finding(
                f'routes.{route.name}',
                'no account has a key',
                'a public route, or an account that may use it',
            )


def _idle_attempts(
    routes: tuple[model.Route, ...],
) -> Iterator[problems.Finding]:
    for route in routes:
        if route.retry_policy is model.RetryPolicy.NEVER and (
            route.attempts > 1
        ):
            yield problems.Finding(
                f'routes.{route.name}.attempts',
                str(route.attempts),
                '1; its requests run once at most',
            )


def _compare_entries(
    place: str, before: Iterable[Any], after: Iterable[Any]
) -> Iterator[Difference]:
    before_by_name = {entry.name: entry for entry in before}
    after_by_name = {entry.name: entry for entry in after}
    for name, entry in before_by_name.items():
        if name not in after_by_name:
            yield Difference(f'{place}.{name}', 'present', '')
        else:
            yield from _compare_fields(
                f'{place}.{name}', entry, after_by_name[name]
            )
    for name in after_by_name.keys() - before_by_name.keys():
        yield Difference(f'{place}.{name}', '', 'present')


def _compare_fields(
    place: str, before: Any, after: Any
) -> Iterator[Difference]:
    after_by_field = after._asdict()
    for field, value in before._asdict().items():
        if value != after_by_field[field]:
            yield Difference(
                f'{place}.{field}', str(value), str(after_by_field[field])
            )


def _compare_keys(
    before: Iterable[DraftAccount], after: Iterable[DraftAccount]
) -> Iterator[Difference]:
    after_by_name = {e.account.name: set(e.digests) for e in after}
    for entry in before:
        name = entry.account.name
        known = after_by_name.get(name, set())
        withdrawn = len(set(entry.digests) - known)
        added = len(known - set(entry.digests))
        if withdrawn or added:
            yield Difference(
                f'accounts.{name}.keys',
                f'{withdrawn} withdrawn' if withdrawn else '',
                f'{added} added' if added else '',
            )
