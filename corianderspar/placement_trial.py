"""Runs a workload through the daemons of a data centre, with faults."""

import asyncio
from collections.abc import Callable
import math
import random
from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import clock as clocks
from corianderspar import fake_answers
from corianderspar import fake_engine
from corianderspar import fake_fleet
from corianderspar import fake_system
from corianderspar import kernel
from corianderspar import placement
from corianderspar import pool_figures
from corianderspar import pool_trial
from corianderspar import workload

VMS = 4
PLACE = 'szeged'
SETTLE_SECONDS = 3.0
DRAIN_SECONDS = 60.0
FIRST_SECONDS = pool_figures.FIRST_SECONDS
GAP_SECONDS = pool_figures.GAP_SECONDS

Fault = Callable[['PlacementTrial', str], None]


class Answered(NamedTuple):
    """What one caller got.

    Attributes
    ----------
    ended : float
        Seconds since the start of the workload.
    first, gap : float
        Seconds to the first token, and between tokens on average.
    tokens : int
        Tokens that came.
    code : str
        ``done``, ``wrong``, ``gone``, or the code of the problem.
    """

    ended: float
    first: float
    gap: float
    tokens: int
    code: str

    @property
    def good(self) -> bool:
        """Whether the answer came whole, within both latency targets."""
        in_time = self.first <= FIRST_SECONDS and self.gap <= GAP_SECONDS
        return self.code == 'done' and in_time


class PlacementTrial:
    """Several daemons before one pool of engines, on virtual time.

    Callers enter by all daemons but the home of the shard.

    Parameters
    ----------
    setup : Setup
        The engines.
    arrivals : list of Arrival
        What callers send, and when they go away.
    seed : int
        Of all randomness.
    vms : int
        How many daemons.
    """

    def __init__(
        self,
        setup: pool_trial.Setup,
        arrivals: list[workload.Arrival],
        seed: int,
        vms: int = VMS,
    ) -> None:
        self.answers: list[Answered] = []
        self.engine_network = fake_engine.FakeNetwork()
        self.fleet = fake_fleet.FakeFleet(seed, self._build)
        self.seconds = 0.0
        self.killing: asyncio.Task[None] | None = None
        self._arrivals = arrivals
        self._rng = random.Random(seed)  # noqa: S311
        self._vms = [f'vm{number}' for number in range(1, vms + 1)]
        self._upstreams = {
            name: entry._replace(data_centre=PLACE)
            for name, entry in pool_trial.upstreams(setup).items()
        }
        engine_clock = clocks.VirtualClock()
        self.engines_by_name = {
            name: fake_engine.FakeEngine(
                engine_clock,
                self._rng,
                name,
                entry,
                self.engine_network,
                setup.prefill_rate,
                pool_trial.STRIDE,
            )
            for name, entry in self._upstreams.items()
        }

    def service(self, vm: str) -> placement.Placement:
        """Return the placement service of a daemon."""
        app = self.fleet.apps_by_vm[vm]
        return app.find('placement', placement.Placement)

    async def run(
        self, fault: Fault | None = None, at: float = math.inf
    ) -> None:
        """Run the workload; the home meets a fault at a second of it."""
        await self._start()
        home = self.service(self._vms[0]).home(pool_trial.MODEL)
        edges = [vm for vm in self._vms if vm != home] or [home]
        began = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as callers:
            if fault is not None:
                callers.create_task(self._break(fault, home, at))
            for arrival in self._arrivals:
                now = asyncio.get_running_loop().time() - began
                await asyncio.sleep(max(0.0, arrival.at - now))
                vm = self._rng.choice(edges)
                callers.create_task(self._call(vm, arrival, began))
        self.seconds = asyncio.get_running_loop().time() - began

    async def _start(self) -> None:
        self.fleet.list_vms(dict.fromkeys(self._vms, PLACE))
        self.fleet.publish(catalogue.Catalogue(1, {}, {}, self._upstreams))
        await self.fleet.start_all()
        await asyncio.sleep(SETTLE_SECONDS)

    def _build(
        self, fleet: fake_fleet.FakeFleet, app: kernel.Application
    ) -> None:
        fake_fleet.build_coordination(fleet, app)
        clock = fleet.clocks_by_vm[app.identity.vm]
        app.add(
            placement.Placement(
                lambda name, _: fake_system.HeldEngine(
                    self.engines_by_name[name], clock
                )
            )
        )

    async def _break(self, fault: Fault, home: str, at: float) -> None:
        await asyncio.sleep(at)
        fault(self, home)

    async def _call(
        self, vm: str, arrival: workload.Arrival, began: float
    ) -> None:
        patient = arrival.service_class == 'patient'
        request = placement.EngineRequest(
            arrival.request_id,
            arrival.account,
            arrival.weight,
            arrival.route,
            arrival.service_class,
            pool_trial.MODEL,
            arrival.prompt,
            arrival.max_tokens,
            DRAIN_SECONDS,
            first_token_timeout=None if patient else FIRST_SECONDS,
        )
        loop = asyncio.get_running_loop()
        texts: list[str] = []
        times: list[float] = []
        code = 'done'
        try:
            async with asyncio.timeout(arrival.leaves):
                async for piece in self.service(vm).run(request):
                    texts.append(piece.text)
                    times.append(loop.time() - began)
        except placement.EngineRequestError as raised:
            code = raised.problem.code
        except TimeoutError:
            code = 'gone'
        whole = fake_answers.answer(arrival.prompt, arrival.max_tokens)
        if code == 'done' and ''.join(texts) != whole:
            code = 'wrong'
        tokens = ''.join(texts).count(' ')
        first = times[0] - arrival.at if times else math.inf
        spread = times[-1] - times[0] if times else math.inf
        self.answers.append(
            Answered(
                loop.time() - began,
                first,
                spread / max(1, tokens - 1),
                tokens,
                code,
            )
        )


def kill(trial: PlacementTrial, vm: str) -> None:
    """End a daemon at once."""
    loop = asyncio.get_running_loop()
    trial.killing = loop.create_task(trial.fleet.kill(vm))


def pause(trial: PlacementTrial, vm: str) -> None:
    """Stop a daemon's process."""
    trial.fleet.pause(vm)


def cut_off(trial: PlacementTrial, vm: str) -> None:
    """Part a daemon from all others."""
    others = {name for name in trial.fleet.places_by_vm if name != vm}
    trial.fleet.network.partition({vm}, others)
