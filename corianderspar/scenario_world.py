"""What a scenario acts on: a fleet, callers, upstreams, the platform."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

from corianderspar import catalogue
from corianderspar import digests
from corianderspar import edge
from corianderspar import fake_answers
from corianderspar import fake_system
from corianderspar import kernel
from corianderspar import scenario_caller
from corianderspar import settings
from corianderspar import shards
from corianderspar import timeline

Call = scenario_caller.Call
Reply = scenario_caller.Reply


class World:
    """The state of one running scenario, seen from outside.

    Attributes
    ----------
    title, promise : str
        From the script's header.
    faults : tuple of str
        From the script's header.
    document : dict
        The catalogue that operators are editing.
    calls_by_name : dict of str to Call
        All sends.
    calls_by_load : dict of str to list of Call
        Those of each load.
    versions_by_incarnation : dict
        Keys of the versions that came into force, in order.
    headers_seen : list of (str, str)
        What reached plain upstreams.
    """

    def __init__(self, seed: int = 1) -> None:
        self.title = ''
        self.promise = ''
        self.faults: tuple[str, ...] = ()
        bounds = settings.LimitSettings()
        self.fleet = fake_system.FakeSystem(seed, bounds)
        self.ledger = self.fleet.ledger
        self.services_by_name = self.fleet.services_by_name
        self.engine_network = self.fleet.engine_network
        self.engines_by_name = self.fleet.engines_by_name
        self.document: dict[str, Any] = {
            'version': 1,
            'entries_by_name': {},
            'accounts_by_name': {},
            'upstreams_by_name': {},
        }
        self.places_by_vm: dict[str, str] = {}
        self.accounts_by_key: dict[str, str] = {}
        self.calls_by_name: dict[str, Call] = {}
        self.calls_by_load: dict[str, list[Call]] = {}
        self.versions_by_incarnation: dict[str, list[shards.VersionKey]] = {}
        self.headers_seen = self.fleet.headers_seen
        self.rings: list[list[timeline.Event]] = []
        self.tasks: list[asyncio.Task[None]] = []
        self._apps: list[kernel.Application] = []

    @property
    def now(self) -> float:
        """Loop seconds."""
        return asyncio.get_running_loop().time()

    def parsed(self) -> catalogue.Catalogue:
        """Return the catalogue being edited.

        Raises
        ------
        ValueError
            If the script made one that is not valid.
        """
        verdict = catalogue.parse(self.document)
        if verdict.is_error():
            raise ValueError('; '.join(map(str, verdict.error)))
        return verdict.ok

    def publish(self) -> None:
        """Publish the catalogue being edited."""
        self.fleet.publish(self.parsed())

    async def start(self, vm: str) -> None:
        """Start a daemon and note every version it puts in force."""
        app = await self.fleet.start(vm)
        seen: list[shards.VersionKey] = []
        self.versions_by_incarnation[str(app.incarnation)] = seen
        service = self.fleet.configuration(vm)
        service.on_catalogue.append(lambda *_: seen.append(service.key))
        self._apps.append(app)

    def find(self, vm: str, name: str, kind: type[Any]) -> Any:
        """Return a service of a running daemon."""
        return self.fleet.apps_by_vm[vm].find(name, kind)

    def serves(self, vm: str) -> bool:
        """Return whether the balancer would choose a VM."""
        if vm not in self.fleet.apps_by_vm:
            return False
        return bool(self.find(vm, 'edge', edge.Edge).is_ready)

    def send(self, name: str, call: Call, vm: str) -> None:
        """Send as a caller, without waiting for the reply."""
        self.calls_by_name[name] = call
        call.sent = True
        app = self.fleet.apps_by_vm.get(vm)
        if app is None:
            call.deliver(Reply(0, 'unknown', scenario_caller.LOST))
            return
        vm_clock = self.fleet.clocks_by_vm[vm]
        work = scenario_caller.send(app, vm_clock, call)
        self.tasks.append(asyncio.create_task(work))

    async def take_ticket(self, name: str, call: Call, vm: str) -> Reply:
        """Take a ticket as a caller; what it is for is not sent yet."""
        self.calls_by_name[name] = call
        app = self.fleet.apps_by_vm.get(vm)
        if app is None:
            return Reply(0, 'unknown', scenario_caller.LOST)
        vm_clock = self.fleet.clocks_by_vm[vm]
        return await scenario_caller.take_ticket(app, vm_clock, call)

    def runs_by_body(self) -> collections.Counter[str]:
        """Return how often upstreams ran each request that was sent."""
        runs_by_digest = collections.Counter(
            run.digest for run in self.engine_network.records.runs
        )
        found = collections.Counter(
            run.body.decode() for run in self.ledger.executions
        )
        for call in self.calls_by_name.values():
            if call.form != 'plain':
                digest = fake_answers.digest(call.body)
                found[call.body] = runs_by_digest[digest]
        return found

    def held(self) -> list[str]:
        """Return the requests that engines hold memory for."""
        return [
            request
            for one in self.engines_by_name.values()
            for request in (*one.batch.requests(), *one.prefills.requests())
        ]

    def account_of(self, call: Call) -> str:
        """Return the account whose key a call came with; empty for none."""
        return next(
            (
                account
                for name, account in self.accounts_by_key.items()
                if key_of(name) == call.key
            ),
            '',
        )

    def quiet(self) -> bool:
        """Return whether every call has ended."""
        return all(
            call.reply is not None or call.gone.is_set() or not call.sent
            for call in self.calls_by_name.values()
        )

    async def until(self, true: Callable[[], bool], within: float) -> bool:
        """Wait for a condition; return whether it came true."""
        return await self.fleet.until(true, within) is not None

    async def close(self) -> None:
        """End all callers and daemons."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.fleet.close()
        self.rings = [app.events.events() for app in self._apps]


def key_of(name: str) -> str:
    """Return the key that a script calls by a name."""
    return f'csk_{name}_0123456789abcdef'


def digest_of(name: str) -> str:
    """Return the digest of a key, as the catalogue holds it."""
    return digests.digest_of(key_of(name))
