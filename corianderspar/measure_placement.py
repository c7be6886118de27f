"""Measures of placement: goodput around the loss of a home."""

from typing import NamedTuple

from corianderspar import clock as clocks
from corianderspar import measure
from corianderspar import measure_pool
from corianderspar import placement_trial
from corianderspar import pool_trial
from corianderspar import workload

SEEDS = (1, 2, 3)
LOAD = 0.9
SECONDS = 34.0
LOST_AT = 20.0
WINDOW_SECONDS = 10.0
FAULTS: dict[str, placement_trial.Fault] = {
    'killed': placement_trial.kill,
    'paused': placement_trial.pause,
    'cut_off': placement_trial.cut_off,
}


class Around(NamedTuple):
    """What came in the windows before and after a moment.

    Attributes
    ----------
    before, after : int
        Good answers that ended in the window.
    wrong : int
        Answers that were not exactly the request's.
    codes : dict of str to int
        How requests ended.
    n : int
        How many requests.
    """

    before: int
    after: int
    wrong: int
    codes: dict[str, int]
    n: int


def around(
    seed: int, fault: placement_trial.Fault | None, load: float = LOAD
) -> Around:
    """Run one workload and count the answers around `LOST_AT`."""
    setup = pool_trial.Setup(dies='')
    rate = load * measure_pool.capacity(setup)
    arrivals = workload.make(seed, SECONDS, rate)
    trial = placement_trial.PlacementTrial(setup, arrivals, seed)
    clocks.run_virtual(trial.run(fault, LOST_AT))
    codes: dict[str, int] = {}
    for answer in trial.answers:
        codes[answer.code] = codes.get(answer.code, 0) + 1
    return Around(
        _good(trial, LOST_AT - WINDOW_SECONDS),
        _good(trial, LOST_AT),
        codes.get('wrong', 0),
        codes,
        len(arrivals),
    )


def measures() -> list[measure.Measure]:
    """Return the measures; naive is the same run with no fault.

    Each is the goodput in the ten seconds after the home was lost, over
    that in the ten seconds before.
    """
    controls = {seed: _ratio(around(seed, None)) for seed in SEEDS}
    lines = []
    for name, fault in FAULTS.items():
        runs = {seed: around(seed, fault) for seed in SEEDS}
        worst = min(SEEDS, key=lambda seed: _ratio(runs[seed]))
        lines.append(
            measure.Measure(
                f'goodput_after_home_{name}',
                _ratio(runs[worst]),
                controls[worst],
                'after/before',
                runs[worst].n,
                worst,
            )
        )
    return lines


def _good(trial: placement_trial.PlacementTrial, since: float) -> int:
    until = since + WINDOW_SECONDS
    return sum(
        answer.good and since <= answer.ended < until
        for answer in trial.answers
    )


def _ratio(run: Around) -> float:
    return run.after / max(1, run.before)
