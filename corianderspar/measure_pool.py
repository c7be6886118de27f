"""Measures of the scheduler of a pool against naive and an oracle."""

from collections.abc import Callable
from typing import NamedTuple

from corianderspar import measure
from corianderspar import pool_figures
from corianderspar import pool_trial
from corianderspar import workload

SEEDS = (1, 2, 3)
SECONDS = 60.0
LOADS = (0.7, 1.0, 1.5)
MEAN_ANSWER = 89.0
STEP_SECONDS = 0.045
CROWDED = (
    workload.Profile('parish', 1.0, 0.14),
    workload.Profile('rally', 1.0, 0.14),
    workload.Profile('synagogue', 1.0, 0.14),
    workload.Profile('small', 1.0, 0.14),
    workload.Profile('crowd', 1.0, 1.4),
)


class Trio(NamedTuple):
    """The same workload under three ways of placement.

    Attributes
    ----------
    seed : int
        Seed of the workload.
    bound : float
        What `fluid_bound` gives.
    ours, naive, oracle : Outcome
        The figures of each way.
    """

    seed: int
    bound: float
    ours: pool_figures.Outcome
    naive: pool_figures.Outcome
    oracle: pool_figures.Outcome


def capacity(setup: pool_trial.Setup) -> float:
    """Return the requests a second that fill all decode slots.

    Of an answer of `MEAN_ANSWER` tokens, a full engine gives one each
    `STEP_SECONDS`. The other parts of the setup hold more than that.
    """
    slots = setup.decodes * setup.slots
    return slots / (MEAN_ANSWER * STEP_SECONDS)


def fluid_bound(
    setup: pool_trial.Setup, arrivals: list[workload.Arrival], seconds: float
) -> float:
    """Return a goodput that no placement by order of arrival exceeds.

    All slots of live engines are taken as full for the whole time with
    answers of callers who stay, at `STEP_SECONDS` a token.
    """
    stay = [arrival for arrival in arrivals if arrival.leaves is None]
    mean = sum(arrival.length for arrival in stay) / len(stay)
    alive = setup.decodes * seconds
    if setup.dies.startswith('decode'):
        alive -= seconds - setup.dies_at
    answers = alive * setup.slots / STEP_SECONDS / mean
    return min(answers, len(stay)) / seconds


def trios(
    load: float,
    seeds: tuple[int, ...] = SEEDS,
    seconds: float = SECONDS,
    setup: pool_trial.Setup | None = None,
) -> list[Trio]:
    """Run one load under all three, for each seed.

    Parameters
    ----------
    load : float
        Requests a second over `capacity`.
    seeds : tuple of int
        Seeds of the workloads.
    seconds : float
        Length of each workload.
    setup : Setup, optional
        The engines.
    """
    setup = setup or pool_trial.Setup()
    found = []
    for seed in seeds:
        arrivals = workload.make(seed, seconds, load * capacity(setup))
        outcomes = [
            pool_trial.run(kind, setup, arrivals, seed, seconds)
            for kind in (
                pool_trial.OurTrial,
                pool_trial.NaiveTrial,
                pool_trial.OracleTrial,
            )
        ]
        bound = fluid_bound(setup, arrivals, seconds)
        found.append(Trio(seed, bound, *outcomes))
    return found


def crowded(
    seeds: tuple[int, ...] = SEEDS, seconds: float = SECONDS
) -> list[Trio]:
    """Run with one account at ten times its rate, and no engine dying."""
    setup = pool_trial.Setup(dies='')
    found = []
    for seed in seeds:
        arrivals = workload.make(seed, seconds, capacity(setup), CROWDED)
        ours, naive = (
            pool_trial.run(kind, setup, arrivals, seed, seconds)
            for kind in (pool_trial.OurTrial, pool_trial.NaiveTrial)
        )
        bound = fluid_bound(setup, arrivals, seconds)
        found.append(Trio(seed, bound, ours, naive, ours))
    return found


def measures() -> list[measure.Measure]:
    """Return all measures of the pool."""
    lines = []
    for load in LOADS:
        found = trios(load)
        lines += [
            _line(f'pool_goodput_{load}', found, _goodput, 'requests/s', min),
            _line(f'pool_wasted_prefill_{load}', found, _wasted, '1', max),
            _line(f'pool_held_gone_{load}', found, _held, 'requests', max),
            _line(f'pool_wrong_answers_{load}', found, _wrong, '1', max),
            _line(f'pool_patient_lost_{load}', found, _lost, '1', max),
            _of(
                f'pool_goodput_of_oracle_{load}',
                found,
                lambda trio: trio.oracle.goodput,
            ),
            _of(
                f'pool_goodput_of_bound_{load}',
                found,
                lambda trio: trio.bound,
            ),
        ]
    found = crowded()
    lines.append(_line('pool_worst_share_10x', found, _share, '1', min))
    return lines


def _line(
    name: str,
    found: list[Trio],
    figure: Callable[[pool_figures.Outcome], float],
    unit: str,
    worst: Callable[..., Trio],
) -> measure.Measure:
    trio = worst(found, key=lambda trio: figure(trio.ours))
    return measure.Measure(
        name,
        figure(trio.ours),
        figure(trio.naive),
        unit,
        sum(trio.ours.requests for trio in found),
        trio.seed,
    )


def _of(
    name: str, found: list[Trio], best: Callable[[Trio], float]
) -> measure.Measure:
    trio = min(found, key=lambda trio: trio.ours.goodput / best(trio))
    return measure.Measure(
        name,
        trio.ours.goodput / best(trio),
        trio.naive.goodput / best(trio),
        '1',
        sum(trio.ours.requests for trio in found),
        trio.seed,
    )


def _goodput(outcome: pool_figures.Outcome) -> float:
    return outcome.goodput


def _wasted(outcome: pool_figures.Outcome) -> float:
    return outcome.wasted


def _held(outcome: pool_figures.Outcome) -> float:
    return float(outcome.held_gone)


def _wrong(outcome: pool_figures.Outcome) -> float:
    return float(outcome.wrong)


def _lost(outcome: pool_figures.Outcome) -> float:
    return float(outcome.patient_lost)


def _share(outcome: pool_figures.Outcome) -> float:
    return outcome.worst_share
