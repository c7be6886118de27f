import random

import pytest

from corianderspar.router import model
from corianderspar.router import scheduler

LIMITS = model.EngineLimits(slots=64, memory_tokens=39_101)
READ_RATE = 33_333.0
WRITE_RATE = 310.0


def _engine(name: str, phase: model.Phase) -> model.Upstream:
    return model.Upstream(name, 's', 'h', 1, 'a', phase, True, 64)


DECODES = [_engine(f'd{i}', model.Phase.DECODE) for i in range(4)]
PREFILLS = [_engine(f'p{i}', model.Phase.PREFILL) for i in range(2)]


def _ask(lease: str, now: float, **changes) -> scheduler.Job:
    ask = scheduler.Job(
        lease, 'vm/1/x', 3000, 1000, 1, now, now + 0.9, now + 3.6, 'a'
    )
    return ask._replace(**changes)


def _make_scheduler(engines=None) -> scheduler.Scheduler:
    service_scheduler = scheduler.Scheduler(LIMITS)
    service_scheduler.set_engines(
        DECODES + PREFILLS if engines is None else engines
    )
    return service_scheduler


def test_requests_spread_over_engines():
    service_scheduler = _make_scheduler()
    placed = []
    for number in range(4):
        found = service_scheduler.submit(_ask(f'l{number}', 0.0), 0.0)
        assert isinstance(found, scheduler.Grant)
        placed.append(found)
    assert {found.decode for found in placed} == {'d0', 'd1', 'd2', 'd3'}
    assert {found.prefill for found in placed} == {'p0', 'p1'}


def test_without_prefill_engines_the_decode_engine_reads():
    found = _make_scheduler(DECODES).submit(_ask('l', 0.0), 0.0)
    assert found == scheduler.Grant('', found.decode)


def test_without_engines_a_request_is_refused_at_once():
    found = _make_scheduler([]).submit(_ask('l', 0.0), 0.0)
    assert isinstance(found, scheduler.Refusal) and found.retry_after > 0


def test_a_request_larger_than_an_engine_is_refused_at_once():
    found = _make_scheduler().submit(_ask('l', 0.0, prompt=40_000), 0.0)
    assert isinstance(found, scheduler.Refusal)
    assert found.reason == 'larger than an engine'


def test_room_of_a_daemon_that_died_is_free_again():
    service_scheduler = _make_scheduler()
    count = 0
    while isinstance(
        service_scheduler.submit(_ask(f'l{count}', 0.0), 0.0), scheduler.Grant
    ):
        service_scheduler.note_prefilled(f'l{count}', 0.0)
        count += 1
    service_scheduler.remove_owner('vm/1/x')
    assert (
        not service_scheduler.reservations_by_id
        and not service_scheduler.backlog_size()
    )


def test_an_engine_that_is_full_or_silent_gets_nothing_for_a_while():
    service_scheduler = _make_scheduler()
    for engine in DECODES[1:]:
        service_scheduler.avoid(engine.instance, 0.0, 1.0)
    assert service_scheduler.submit(_ask('l', 0.0), 0.0).decode == 'd0'


def test_what_others_run_counts():
    service_scheduler = _make_scheduler()
    full = scheduler.Load(39_000, 9)
    service_scheduler.set_external_loads(
        'vm2', dict.fromkeys(('d0', 'd1', 'd2'), full)
    )
    assert service_scheduler.submit(_ask('l', 0.0), 0.0).decode == 'd3'


class _Fleet:
    """Engines as the service_scheduler's users see them, in virtual time.

    Answers take `WRITE_RATE` and end with their true length; a prompt
    whose decode engine has no memory left counts as read in vain.
    """

    def __init__(
        self, service_scheduler: scheduler.Scheduler, seed: int
    ) -> None:
        self.scheduler = service_scheduler
        self.rng = random.Random(seed)
        self.on_time = self.late = self.refused = 0
        self.over = self.put_back = 0
        self.overfull: set[str] = set()
        self.runs: dict[str, tuple[str, int, float, float]] = {}
        self.asks: dict[str, scheduler.Job] = {}
        self.busy_until = dict.fromkeys(('p0', 'p1'), 0.0)
        self.lengths: dict[str, float] = {}

    def arrive(self, lease: str, now: float) -> None:
        length = min(self.rng.lognormvariate(6.66, 0.7), 2550.0)
        named = min(length * self.rng.lognormvariate(0.0, 0.5), 2550.0)
        prompt = int(min(self.rng.lognormvariate(7.9, 0.5), 6600))
        ask = _ask(lease, now, prompt=prompt, named=int(named) + 1)
        self.lengths[lease] = length
        self.asks[lease] = ask
        self.take(ask, self.scheduler.submit(ask, now), now)

    def take(self, ask, found, now: float) -> None:
        if isinstance(found, scheduler.Refusal):
            self.refused += 1
        elif found is not None:
            read = max(now, self.busy_until[found.prefill])
            read += ask.prompt / READ_RATE
            self.busy_until[found.prefill] = read
            end = read + 0.05 + self.lengths[ask.lease] / WRITE_RATE
            self.runs[ask.lease] = (found.decode, ask.prompt, read, end)
            if read + 0.05 <= ask.objective:
                self.on_time += 1
            else:
                self.late += 1

    def step(self, now: float) -> None:
        held: dict[str, float] = {}
        for lease, (decode, prompt, read, end) in list(self.runs.items()):
            if now >= end:
                del self.runs[lease]
                self.scheduler.release(lease, now, is_whole=True)
                continue
            if now >= read:
                self.scheduler.note_prefilled(lease, read)
            made = max(now - read, 0.0) * WRITE_RATE
            held[decode] = held.get(decode, 0.0) + prompt + made
        overfull = {d for d, t in held.items() if t > LIMITS.memory_tokens}
        self.over += len(overfull)
        self.put_back += len(overfull - self.overfull)
        self.overfull = overfull
        for ask, found in self.scheduler.schedule_backlog(now):
            self.take(self.asks[ask.lease], found, now)


def _play(
    service_scheduler: scheduler.Scheduler, seed: int, rate: float
) -> _Fleet:
    fleet = _Fleet(service_scheduler, seed)
    now, due, number = 0.0, 0.0, 0
    while now < 40.0:
        now += 0.01
        while due <= now:
            # Arrivals come in clumps of three.
            for _ in range(3):
                number += 1
                fleet.arrive(f'l{number}', now)
            burst = 2.0 if 10 < now < 15 or 25 < now < 29 else 1.0
            due += fleet.rng.expovariate(rate * burst / 3)
        fleet.step(now)
    return fleet


@pytest.mark.parametrize('seed', range(4))
def test_clumps_and_bursts_are_served_on_time(seed):
    """6.5 requests a second in clumps, twice that in two bursts."""
    fleet = _play(_make_scheduler(), seed, 6.5)
    total = fleet.on_time + fleet.late + fleet.refused
    assert fleet.on_time >= 0.7 * total
    # A run that is put back costs its prompt again: one in twenty at most.
    assert fleet.over <= 0.05 * 4000 * len(DECODES)


@pytest.mark.parametrize('seed', range(4))
def test_overload_is_refused_and_not_served_late(seed):
    """Three times what the engines carry, for the whole time."""
    fleet = _play(_make_scheduler(), seed, 30.0)
    assert fleet.on_time >= 2 * fleet.late
    held = sum(1 for lease in fleet.runs)
    assert held <= 64


@pytest.mark.parametrize('seed', range(4))
def test_answers_longer_than_predicted_put_few_runs_back(seed):
    """Three times what the engines carry; one in fifty is put back at most."""
    fleet = _play(_make_scheduler(), seed, 30.0)
    assert fleet.put_back <= (fleet.on_time + fleet.late) / 50


def _filled(now=0.0):
    """Return a service_scheduler whose engines are full of new answers."""
    service_scheduler = _make_scheduler()
    for number in range(100):
        found = service_scheduler.submit(_ask(f'f{number}', now), now)
        service_scheduler.note_prefilled(f'f{number}', now)
        if not isinstance(found, scheduler.Grant):
            break
    return service_scheduler


def test_a_request_that_would_be_late_is_refused_as_it_arrives():
    service_scheduler = _filled()
    found = [
        service_scheduler.submit(_ask(f'n{i}', 0.0), 0.0) for i in range(40)
    ]
    refused = [each for each in found if isinstance(each, scheduler.Refusal)]
    assert len(refused) >= 20
    waits = [each.retry_after for each in refused]
    assert waits == sorted(waits)
    assert waits[0] < scheduler.RETRY_MOST_SECONDS <= waits[-1]


def test_a_request_that_returned_may_wait_as_long_as_its_caller():
    service_scheduler = _filled()
    for i in range(40):
        service_scheduler.submit(_ask(f'n{i}', 0.0), 0.0)
    back = _ask('back', 0.0, has_returned=True)
    assert service_scheduler.submit(back, 0.0) is None


def test_those_that_returned_go_before_others_that_are_late():
    service_scheduler = _filled()
    late = _ask('late', 0.0, objective=0.0, has_returned=True)
    back = late._replace(lease='back', deadline=late.deadline - 1.0)
    assert service_scheduler.submit(late, 0.0) is None
    assert service_scheduler.submit(back, 0.0) is None
    assert [a.lease for a in service_scheduler._in_order(0.1)][-2:] == [
        'back',
        'late',
    ]


def test_no_prompt_is_read_for_a_caller_that_will_have_left():
    service_scheduler = _filled()
    back = _ask('back', 0.0, objective=0.0, has_returned=True)
    assert service_scheduler.submit(back, 0.0) is None
    # 0.1 s of reading and 0.12 s to the first event.
    now = back.deadline - 0.2
    for lease in list(service_scheduler.reservations_by_id):
        service_scheduler.release(lease, now, is_whole=True)
    found = {
        ask.lease: each
        for ask, each in service_scheduler.schedule_backlog(now)
    }
    assert isinstance(found['back'], scheduler.Refusal)
    assert service_scheduler.submit(back, now).reason == 'no room in time'


def test_an_engine_that_stays_silent_is_tried_less_and_less_often():
    service_scheduler = _make_scheduler()
    tries = []
    for step in range(200):
        now = step / 10
        found = service_scheduler.submit(
            _ask(f'l{step}', now, excluded=()), now
        )
        assert isinstance(found, scheduler.Grant)
        if found.decode == 'd0':
            tries.append(now)
            service_scheduler.suspect('d0', now)
            service_scheduler.suspect(
                'd0', now
            )  # another request at the same time
            service_scheduler.release(f'l{step}', now, is_whole=False)
        else:
            service_scheduler.note_prefilled(f'l{step}', now)
            service_scheduler.release(f'l{step}', now, is_whole=True)
    assert 3 <= len(tries) <= 6
    pauses = [b - a for a, b in zip(tries, tries[1:], strict=False)]
    assert pauses[0] >= scheduler.SUSPECT_SECONDS
    assert pauses == sorted(pauses)
    assert pauses[-1] <= scheduler.SUSPECT_MOST_SECONDS + 0.2


def test_an_engine_that_answers_again_is_trusted_again():
    service_scheduler = _make_scheduler()
    service_scheduler.suspect('d0', 0.0)
    found = service_scheduler.submit(
        _ask('a', 2.0, excluded=('d1', 'd2', 'd3')), 2.0
    )
    assert found.decode == 'd0'
    service_scheduler.note_prefilled('a', 2.1)
    service_scheduler.release('a', 3.0, is_whole=True)
    service_scheduler.suspect('d0', 4.0)
    only = ('d1', 'd2', 'd3')
    waits = _ask('b', 4.0 + scheduler.SUSPECT_SECONDS + 0.1, excluded=only)
    found = service_scheduler.submit(waits, waits.arrived)
    assert isinstance(found, scheduler.Grant)
