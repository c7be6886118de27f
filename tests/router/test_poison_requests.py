"""Requests that come again and crash each upstream that runs them."""

import asyncio
import random
from typing import NamedTuple

import pytest

from corianderspar import clock
from corianderspar.router import fakes
from corianderspar.router import model
from tests.router import system

SIZES = '300,100'
STABLE_SECONDS = 3.0
MAX_LATE_SENDS = 3  # later than STABLE_SECONDS after the third crash
SERVERS = 3
ENGINES = 6
SESSION_SHARE = 0.3  # of the sound requests that are not the popular one


class Kind(NamedTuple):
    """A kind of request.

    Attributes
    ----------
    route : str
        Path of its route, without a slash at the end.
    headers : dict of str to str
        Of all requests.
    parts : str
        Parts of the prompt of the request that crashes upstreams. The last
        one is that of a session, which sound requests have, too.
    """

    route: str
    headers: dict[str, str]
    parts: str = ''

    @property
    def poison(self):
        return f'{self.route}/bad'

    def __str__(self):
        return self.route[1:] + '-parts' * bool(self.parts)


IDEMPOTENT = Kind('/look', {})
NOT_IDEMPOTENT = Kind('/order', {})
STREAM = Kind('/chat', {'sizes': SIZES})
STREAM_ONCE = Kind('/once', {'sizes': SIZES})
STREAM_OF_SESSION = Kind('/chat', {'sizes': SIZES}, 'f0,m1,s1,')
PLAIN_KINDS = (IDEMPOTENT, NOT_IDEMPOTENT)
KINDS = (*PLAIN_KINDS, STREAM, STREAM_ONCE, STREAM_OF_SESSION)


def upstreams():
    found = [system.upstream(f's{n + 1}') for n in range(SERVERS)]
    for phase, letter in (
        (model.Phase.PREFILL, 'p'),
        (model.Phase.DECODE, 'd'),
    ):
        found += [
            system.upstream(f'{letter}{n + 1}', phase) for n in range(ENGINES)
        ]
    return [
        each._replace(port=1000 + number) for number, each in enumerate(found)
    ]


class Outcome(NamedTuple):
    """What became of a sound request, and when it was sent."""

    began: float
    is_whole: bool
    is_quarantined: bool


class Traffic:
    """Requests of one kind at all daemons of a fleet, and their outcomes."""

    def __init__(self, fleet, kind):
        self.fleet = fleet
        self.outcomes = []
        self.vms_without_poison = set()
        self._kind = kind
        self._rng = random.Random(5)
        self._sequence = 0
        self._tasks = set()

    async def send_poison(self, seconds, rate=5.0):
        for _ in range(int(seconds * rate)):
            self._spawn(self._kind.poison, self._kind.parts)
            await asyncio.sleep(1 / rate)

    async def send_sound(self, seconds, rate=15.0, popular_share=0.3):
        for _ in range(int(seconds * rate)):
            self._sequence += 1
            name, parts = str(self._sequence), f'f0,m1,u{self._sequence},'
            if self._rng.random() < popular_share:
                name, parts = 'popular', 'f0,m2,u0,'
            elif self._rng.random() < SESSION_SHARE:
                parts = self._kind.parts
            self._spawn(
                f'{self._kind.route}/{name}', parts if self._kind.parts else ''
            )
            await asyncio.sleep(1 / rate)

    async def finish(self):
        await asyncio.gather(*self._tasks)

    def sound_share(self, since):
        found = [each.is_whole for each in self.outcomes if each.began > since]
        assert found
        return sum(found) / len(found)

    def rule_start(self):
        """Return the time from which the bounds count.

        The rule counts from the third crash. Where there are fewer, the test
        counts from the first.
        """
        crashes = self.fleet.upstreams.crash_times
        return crashes[2] if len(crashes) > 2 else crashes[0]

    def _spawn(self, path, parts):
        vms = list(self.fleet.apps_by_vm)
        if path == self._kind.poison:
            vms = [vm for vm in vms if vm not in self.vms_without_poison]
        vm = self._rng.choice(vms)
        task = asyncio.create_task(self._send(vm, path, parts))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, vm, path, parts):
        if vm not in self.fleet.apps_by_vm:
            return  # killed just now
        began = asyncio.get_running_loop().time()
        answer = await self.fleet.request(
            vm, path, parts=parts, **self._kind.headers
        )
        if path == self._kind.poison:
            return
        self.outcomes.append(
            Outcome(
                began,
                answer.status == 200 and answer.ended,
                answer.body == b'quarantined',
            )
        )


def record_sends(fleet, is_prefill=False):
    """Return a list that receives the time of each send of poison."""
    sends = []

    class Calls(list):
        def append(self, recorded):
            super().append(recorded)
            if (
                fleet.upstreams.is_poison(recorded.request)
                and (recorded.kind == 'prefill') == is_prefill
            ):
                sends.append(asyncio.get_running_loop().time())

    fleet.upstreams.calls = Calls(fleet.upstreams.calls)
    return sends


def run_fleet(main, count=6):
    async def run():
        fleet = system.System()
        for each in upstreams():
            fleet.store.register(each)
        await fleet.start_all(count, retry_slack=1000.0)
        await asyncio.sleep(5.0)
        await main(fleet)

    clock.run_virtual(run())


async def play(fleet, kind, seconds=30.0, during=None):
    """Send sound requests, and poison after 2 s; return the traffic."""
    traffic = Traffic(fleet, kind)
    sound = asyncio.create_task(traffic.send_sound(seconds))
    await asyncio.sleep(2.0)
    fleet.upstreams.poison_targets.add(kind.poison)
    poison = asyncio.create_task(traffic.send_poison(seconds - 2.0))
    if during is not None:
        await during()
    await sound
    await poison
    await traffic.finish()
    return traffic


def late_sends(sends, traffic):
    after = traffic.rule_start() + STABLE_SECONDS
    return [at for at in sends if at > after]


@pytest.mark.parametrize(
    ('kind', 'count'),
    [
        *((kind, 6) for kind in KINDS),
        (IDEMPOTENT, 40),
        (STREAM_OF_SESSION, 40),
    ],
    ids=str,
)
def test_poison_request_reaches_few_upstreams_and_others_are_served(
    kind, count
):
    async def main(fleet):
        sends = record_sends(fleet)
        traffic = await play(fleet, kind)
        assert len(late_sends(sends, traffic)) <= MAX_LATE_SENDS
        since = traffic.rule_start() + 2 * STABLE_SECONDS
        assert traffic.sound_share(since) >= 0.99

    run_fleet(main, count)


@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_poison_request_is_found_though_upstreams_restart_at_once(kind):
    async def main(fleet):
        sends = record_sends(fleet)
        fleet.upstreams.down_seconds = 0.0
        traffic = await play(fleet, kind)
        assert len(late_sends(sends, traffic)) <= MAX_LATE_SENDS
        since = traffic.rule_start() + 2 * STABLE_SECONDS
        assert traffic.sound_share(since) >= 0.99

    run_fleet(main)


@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_poison_request_is_found_though_answers_state_no_end(kind):
    async def main(fleet):
        sends = record_sends(fleet)
        fleet.upstreams.default_behaviour = fakes.Behaviour(is_framed=False)
        traffic = await play(fleet, kind)
        assert len(late_sends(sends, traffic)) <= MAX_LATE_SENDS
        since = traffic.rule_start() + 2 * STABLE_SECONDS
        assert traffic.sound_share(since) >= 0.99

    run_fleet(main)


@pytest.mark.parametrize('kind', (STREAM, STREAM_OF_SESSION), ids=str)
def test_request_that_crashes_prefill_engines_is_refused(kind):
    async def main(fleet):
        sends = record_sends(fleet, is_prefill=True)
        fleet.upstreams.is_prefill_poisoned = True
        traffic = await play(fleet, kind)
        assert len(late_sends(sends, traffic)) <= MAX_LATE_SENDS
        since = traffic.rule_start() + 2 * STABLE_SECONDS
        assert traffic.sound_share(since) >= 0.99

    run_fleet(main)


@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_poison_request_stays_known_while_daemons_restart_in_turn(kind):
    async def main(fleet):
        sends = record_sends(fleet)

        async def restart_in_turn():
            await asyncio.sleep(8.0)
            for vm in list(fleet.apps_by_vm):
                await fleet.kill(vm)
                await fleet.start(vm, retry_slack=1000.0)
                await asyncio.sleep(3.0)

        traffic = await play(fleet, kind, during=restart_in_turn)
        assert len(late_sends(sends, traffic)) <= MAX_LATE_SENDS

    run_fleet(main)


@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_poison_request_is_found_while_a_daemon_is_cut_off(kind):
    async def main(fleet):
        sends = record_sends(fleet)

        async def cut_off():
            others = set(fleet.apps_by_vm) - {'vm2'}
            fleet.network.partition({'vm2'}, others)
            await asyncio.sleep(18.0)
            fleet.network.heal()

        traffic = await play(fleet, kind, during=cut_off)
        assert len(late_sends(sends, traffic)) <= MAX_LATE_SENDS

    run_fleet(main)


@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_daemon_cut_off_before_the_crashes_sends_little_poison(kind):
    async def main(fleet):
        sends = record_sends(fleet)
        fleet.network.partition({'vm2'}, set(fleet.apps_by_vm) - {'vm2'})
        await asyncio.sleep(2.0)
        traffic = Traffic(fleet, kind)
        traffic.vms_without_poison = {'vm2'}
        fleet.upstreams.poison_targets.add(kind.poison)
        sound = asyncio.create_task(traffic.send_sound(30.0))
        await traffic.send_poison(6.0)
        traffic.vms_without_poison = set()
        await traffic.send_poison(24.0)
        await sound
        await traffic.finish()
        assert len(late_sends(sends, traffic)) <= MAX_LATE_SENDS

    run_fleet(main)


@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_popular_request_at_crashes_that_it_did_not_cause_is_served(kind):
    async def main(fleet):
        traffic = Traffic(fleet, kind)
        sound = asyncio.create_task(
            traffic.send_sound(30.0, rate=30.0, popular_share=0.8)
        )
        await asyncio.sleep(3.0)
        letter = 's' if kind in PLAIN_KINDS else 'd'
        for number in range(5):
            by_instance = fleet.store_view('vm1').upstreams_by_instance
            fleet.upstreams.crash(
                next(
                    upstream
                    for name, upstream in sorted(by_instance.items())
                    if name.startswith(f'{letter}{number % 3 + 1}')
                )
            )
            await asyncio.sleep(4.0)
        await sound
        await traffic.finish()
        assert not [each for each in traffic.outcomes if each.is_quarantined]

    run_fleet(main)


@pytest.mark.parametrize('restart_daemons', (False, True))
@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_poison_request_is_found_while_upstreams_are_replaced(
    kind, restart_daemons
):
    async def main(fleet):
        sends = record_sends(fleet)

        async def replace_in_turn():
            for round_number in range(2):
                for old in upstreams():
                    by_instance = fleet.store_view('vm1').upstreams_by_instance
                    present = by_instance.get(old.instance)
                    if present is None:
                        continue  # crashed, and back as another instance
                    new = present._replace(
                        instance=f'{old.instance}-{round_number}',
                        port=present.port + 100,
                    )
                    fleet.store.register(new)
                    fleet.store.register(present._replace(ready=False))
                    await asyncio.sleep(1.0)
                    fleet.store.remove(present.instance)
                if restart_daemons:
                    vm = f'vm{round_number + 1}'
                    await fleet.kill(vm)
                    await fleet.start(vm, retry_slack=1000.0)

        traffic = await play(fleet, kind, during=replace_in_turn)
        assert len(late_sends(sends, traffic)) <= MAX_LATE_SENDS
        since = traffic.rule_start() + 2 * STABLE_SECONDS
        assert traffic.sound_share(since) >= 0.99

    run_fleet(main)
