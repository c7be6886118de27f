"""The steps of scenarios that name them, edit and publish a catalogue."""

from typing import Any

from corianderspar import fake_plain
from corianderspar import scenario_language
from corianderspar import scenario_world
from corianderspar import shards

World = scenario_world.World
Definition = scenario_language.Definition
Step = scenario_language.Step
Use = scenario_language.Use

PROMISES = (
    'memory',
    'answered-once',
    'keys',
    'rate',
    'whole-answers',
    'true-refusals',
    'at-most-once',
    'leaving',
    'shutdown',
    'configuration',
)
ENGINE_SLOTS = 8
ENGINE_PIECES = 64
LINK_RATE = 1e11
OWNER = 'owner@example'


async def scenario(world: World, title: str) -> None:
    """Name the scenario."""
    world.title = title


async def promise(world: World, name: str) -> None:
    """Say which promise it checks."""
    if name not in PROMISES:
        raise ValueError(f'one of {", ".join(PROMISES)}')
    world.promise = name


async def faults(world: World, names: tuple[str, ...]) -> None:
    """Say which faults it combines."""
    world.faults = names


async def add_vms(
    world: World, place: Definition, vms: tuple[Definition, ...]
) -> None:
    """Have the platform list VMs of a data centre."""
    for vm in vms:
        world.places_by_vm[vm.name] = place.name
    world.fleet.list_vms(world.places_by_vm)


async def add_plain(
    world: World, name: Definition, pool: str, place: Use
) -> None:
    """Add a plain service to the catalogue being edited."""
    number = len(world.services_by_name) + 1
    world.services_by_name[name.name] = fake_plain.FakePlain(
        name.name, world.ledger
    )
    world.document['upstreams_by_name'][name.name] = {
        'data_centre': place.name,
        'address': f'10.0.0.{number}:80',
        'kind': 'plain',
        'pool': pool,
    }


async def add_engine(
    world: World,
    name: Definition,
    role: str,
    model: str,
    place: Use,
    slots: float | None,
) -> None:
    """Add an engine to the catalogue being edited."""
    number = len(world.document['upstreams_by_name']) + 1
    world.document['upstreams_by_name'][name.name] = {
        'data_centre': place.name,
        'address': f'10.1.0.{number}:80',
        'kind': 'engine',
        'pool': model,
        'role': role,
        'slots': int(slots or ENGINE_SLOTS),
        'pieces': ENGINE_PIECES,
        'link_rate': LINK_RATE,
    }


async def add_account(
    world: World, name: Definition, rate: float, burst: float, key: Definition
) -> None:
    """Add a client account; its shares are equal in all data centres."""
    places = sorted({*world.places_by_vm.values()})
    world.document['accounts_by_name'][name.name] = {
        'rate': rate,
        'burst': burst,
        'shares_by_data_centre': {place: 1 / len(places) for place in places},
        'digests': [],
    }
    _grant(world, key.name, name.name)


async def add_route(
    world: World,
    path: str,
    pool: str,
    unrepeatable: str | None,
    is_open: str | None,
) -> None:
    """Add a route to a pool of plain services."""
    _add_route(
        world,
        path,
        {
            'path': path,
            'kind': 'plain',
            'target': pool,
            'open': is_open is not None,
            'repeatable': unrepeatable is None,
        },
    )


async def add_engine_route(
    world: World, path: str, model: str, service_class: str
) -> None:
    """Add a route to the engines of a model, with a class."""
    _add_route(
        world,
        path,
        {'path': path, 'kind': 'engine', 'target': model},
        service_class,
    )


def _add_route(
    world: World,
    path: str,
    route: dict[str, Any],
    service_class: str = 'ordinary',
) -> None:
    name = path.strip('/').replace('/', '-')
    world.document['entries_by_name'][name] = {
        'owner': OWNER,
        'service_class': service_class,
        'routes_by_name': {name: route},
    }


async def publish(world: World) -> None:
    """Publish the catalogue being edited, as the next version."""
    world.document['version'] += 1
    world.publish()


async def publish_version(world: World, version: float) -> None:
    """Publish the catalogue being edited under a version number."""
    world.document['version'] = int(version)
    world.publish()


async def publish_invalid(world: World, version: float) -> None:
    """Publish a version in which each account's shares exceed one."""
    whole = world.parsed()
    accounts = {
        name: account._replace(shares_by_data_centre={'one': 0.7, 'two': 0.7})
        for name, account in whole.accounts_by_name.items()
    }
    world.fleet.publish(
        whole._replace(version=int(version), accounts_by_name=accounts)
    )


async def publish_garbage(world: World) -> None:
    """Publish a manifest that is none."""
    world.fleet.platform.put(shards.MANIFEST_KEY, b'{"version": 9')


async def publish_half(world: World) -> None:
    """Publish the next version's manifest without its shards."""
    world.document['version'] += 1
    values = shards.split(world.parsed())
    manifest = values[shards.MANIFEST_KEY]
    world.fleet.platform.put(shards.MANIFEST_KEY, manifest)


async def publish_rest(world: World) -> None:
    """Publish the shards that were left out."""
    world.publish()


async def set_rate(
    world: World, account: Use, rate: float, burst: float
) -> None:
    """Edit an account's rate and burst; not published yet."""
    entry = world.document['accounts_by_name'][account.name]
    entry.update(rate=rate, burst=burst)


async def grant(world: World, key: Definition, account: Use) -> None:
    """Grant a key to an account; not published yet."""
    _grant(world, key.name, account.name)


async def withdraw(world: World, key: Use) -> None:
    """Withdraw a key; not published yet."""
    digest = scenario_world.digest_of(key.name)
    for account in world.document['accounts_by_name'].values():
        if digest in account['digests']:
            account['digests'].remove(digest)


async def mark_leaving(world: World, upstream: Use) -> None:
    """Edit an upstream to be leaving; not published yet."""
    world.document['upstreams_by_name'][upstream.name]['leaving'] = True


def _grant(world: World, key: str, account: str) -> None:
    world.accounts_by_key[key] = account
    entry = world.document['accounts_by_name'][account]
    entry['digests'].append(scenario_world.digest_of(key))


STEPS = (
    Step('"scenario" TEXT', scenario),
    Step('"promise" NAME', promise),
    Step('"faults" words', faults),
    Step('"vms" "in" new_place ":" new_vms', add_vms),
    Step('"plain" new_upstream "pool" NAME "in" place', add_plain),
    Step(
        '"engine" new_upstream ROLE "model" NAME "in" place ["slots" NUMBER]',
        add_engine,
    ),
    Step(
        '"account" new_account "rate" NUMBER "burst" NUMBER "key" new_key',
        add_account,
    ),
    Step('"route" PATH "to" NAME [UNREPEATABLE] [OPEN]', add_route),
    Step('"route" PATH "to" "model" NAME "class" NAME', add_engine_route),
    Step('"publish"', publish),
    Step('"publish" "version" NUMBER', publish_version),
    Step('"publish" "invalid" "version" NUMBER', publish_invalid),
    Step('"publish" "garbage"', publish_garbage),
    Step('"publish" "manifest" "only"', publish_half),
    Step('"publish" "shards"', publish_rest),
    Step('"set" account "rate" NUMBER "burst" NUMBER', set_rate),
    Step('"grant" new_key "to" account', grant),
    Step('"withdraw" key', withdraw),
    Step('"mark" upstream "leaving"', mark_leaving),
)
