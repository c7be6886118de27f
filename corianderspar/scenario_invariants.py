"""What must hold in every scenario, whatever its script does."""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

from corianderspar import routes
from corianderspar import scenario_world


class Broken(NamedTuple):
    """A promise that did not hold.

    Attributes
    ----------
    expected, seen : str
        The promise, and what was seen instead.
    """

    expected: str
    seen: str


def broken(world: scenario_world.World) -> Iterator[Broken]:
    """Check the promises from what callers and upstreams saw.

    Parameters
    ----------
    world : World
        After its script.

    Returns
    -------
    iterator of Broken
        None if all held.
    """
    yield from _reverted(world)
    yield from _answered(world)
    yield from _untrue(world)
    yield from _repeated(world)
    yield from _leaked(world)
    yield from _failed(world)


def _reverted(world: scenario_world.World) -> Iterator[Broken]:
    for incarnation, seen in world.versions_by_incarnation.items():
        for before, after in itertools.pairwise(seen):
            if after <= before:
                yield Broken(
                    'no version is followed by a lower one',
                    f'{incarnation}: {after.number} after {before.number}',
                )


def _answered(world: scenario_world.World) -> Iterator[Broken]:
    for name, call in world.calls_by_name.items():
        if call.replies > 1:
            yield Broken('no request is answered twice', name)
        reply = call.reply
        if reply is None or reply.ran != 'yes' or reply.code:
            continue
        if not call.is_own(reply.text):
            yield Broken(
                'every caller gets its own whole answer',
                f'{name}: {reply.text[:80]!r}',
            )


def _untrue(world: scenario_world.World) -> Iterator[Broken]:
    runs_by_body = world.runs_by_body()
    for body, sends in _sends_by_body(world).items():
        may_have_run = [
            send
            for send in sends
            if send.reply is None or send.reply.ran != 'no'
        ]
        tickets = {send.ticket for send in sends}
        denied = len(may_have_run) < len(sends)
        # With one ticket for all sends, each tells of the same run.
        one = len(tickets) == 1 and tickets != {''}
        if runs_by_body[body] and (not may_have_run or (one and denied)):
            yield Broken('a refusal that says "not run" is true', body[:80])


def _repeated(world: scenario_world.World) -> Iterator[Broken]:
    runs_by_body = world.runs_by_body()
    table = routes.RouteTable(world.parsed())
    for body, sends in _sends_by_body(world).items():
        match = table.find(sends[0].path)
        if match is None or match.route.repeatable:
            continue
        tickets = {send.ticket for send in sends if send.ticket}
        without = [send for send in sends if not send.ticket]
        if runs_by_body[body] > len(tickets) + len(without):
            yield Broken(
                'a request that is not repeatable runs at most once',
                f'{body} ran {runs_by_body[body]} times',
            )


def _sends_by_body(
    world: scenario_world.World,
) -> dict[str, list[scenario_world.Call]]:
    sends_by_body: dict[str, list[scenario_world.Call]] = {}
    for call in world.calls_by_name.values():
        if call.sent:
            sends_by_body.setdefault(call.body, []).append(call)
    return sends_by_body


def _leaked(world: scenario_world.World) -> Iterator[Broken]:
    seen = {*world.headers_seen}
    names_by_key = {
        scenario_world.key_of(name): name for name in world.accounts_by_key
    }
    for key, name in names_by_key.items():
        for header, value in sorted(seen):
            if key in value:
                yield Broken('no upstream sees a key', f'{header}: {name}')


def _failed(world: scenario_world.World) -> Iterator[Broken]:
    for task in world.tasks:
        if task.done() and not task.cancelled() and task.exception():
            yield Broken('no caller fails by itself', repr(task.exception()))
    for failure in world.fleet.failures:
        yield Broken(
            'no task of a service fails',
            f'{failure.service} {failure.task}: {failure.error!r}',
        )
