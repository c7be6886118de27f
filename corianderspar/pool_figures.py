"""Figures of a trial, from what callers saw and engines recorded."""

import collections
from typing import NamedTuple
from typing import Protocol

from corianderspar import fake_answers
from corianderspar import fake_engine
from corianderspar import workload

FIRST_SECONDS = 1.5
GAP_SECONDS = 0.055
HELD_SECONDS = 1.0


class Seen(NamedTuple):
    """What one caller saw.

    Attributes
    ----------
    arrival : Arrival
        What was sent.
    first, gap : float
        Seconds to the first token, and between tokens on average.
    text : str
        The answer.
    code : str
        ``done``, ``gone``, or the code of the refusal.
    ended : float
        When, seconds since the start.
    """

    arrival: workload.Arrival
    first: float
    gap: float
    text: str
    code: str
    ended: float

    @property
    def good(self) -> bool:
        """Whether the answer came within both latency targets."""
        if self.code != 'done':
            return False
        return self.first <= FIRST_SECONDS and self.gap <= GAP_SECONDS


class Outcome(NamedTuple):
    """The figures of one trial.

    Attributes
    ----------
    goodput : float
        Requests a second within both latency targets.
    wasted : float
        Share of the prefill tokens that were wasted.
    wasted_tokens : int
        The same in tokens.
    held_gone : int
        Gone callers whose memory was held above `HELD_SECONDS`.
    wrong : int
        Answers that were not exactly the request's.
    worst_share : float
        Least of the accounts' tokens over their fair share.
    patient_lost : int
        Patient requests of callers who stayed that were not answered.
    codes : dict of str to int
        How requests ended.
    requests : int
        How many were sent.
    """

    goodput: float
    wasted: float
    wasted_tokens: int
    held_gone: int
    wrong: int
    worst_share: float
    patient_lost: int
    codes: dict[str, int]
    requests: int


class Trial(Protocol):
    """What is asked of a trial that has run."""

    arrivals: list[workload.Arrival]
    seen: list[Seen]
    end: float
    network: fake_engine.FakeNetwork


def outcome(trial: Trial, seconds: float) -> Outcome:
    """Return the figures of a trial that has run."""
    records = trial.network.records
    until = records.held_until(trial.end)
    gone_at = {
        seen.arrival.request_id: seen.ended
        for seen in trial.seen
        if seen.code == 'gone'
    }
    held = sum(
        at - gone_at.get(key.rpartition('/')[0], at) > HELD_SECONDS
        for key, at in until.items()
    )
    done = [seen for seen in trial.seen if seen.code == 'done']
    wrong = sum(
        seen.text
        != fake_answers.answer(seen.arrival.prompt, seen.arrival.max_tokens)
        for seen in done
    )
    codes = collections.Counter(seen.code for seen in trial.seen)
    codes['open'] = len(trial.arrivals) - len(trial.seen)
    answered = {seen.arrival.request_id for seen in done}
    lost = sum(
        arrival.service_class == 'patient'
        and arrival.leaves is None
        and arrival.request_id not in answered
        for arrival in trial.arrivals
    )
    return Outcome(
        sum(seen.good for seen in trial.seen) / seconds,
        records.wasted_tokens() / max(1, records.prefill_tokens()),
        records.wasted_tokens(),
        held,
        wrong,
        worst_share(trial),
        lost,
        dict(codes),
        len(trial.arrivals),
    )


def worst_share(trial: Trial) -> float:
    """Return the least of the accounts' good tokens over their share.

    The share is max-min fair by weight: what all got is divided so that
    nobody has more than was asked for by callers who stayed.
    """
    wanted: dict[str, float] = {}
    served: dict[str, float] = {}
    weights: dict[str, float] = {}
    for arrival in trial.arrivals:
        weights[arrival.account] = arrival.weight
        if arrival.leaves is None:
            tokens = fake_answers.read(arrival.prompt)[0] + arrival.length
            wanted[arrival.account] = wanted.get(arrival.account, 0) + tokens
    for seen in trial.seen:
        if seen.code == 'done' and seen.arrival.leaves is None:
            name = seen.arrival.account
            tokens = fake_answers.read(seen.arrival.prompt)[0]
            served[name] = served.get(name, 0) + tokens + seen.arrival.length
    fair = max_min(wanted, weights, sum(served.values()))
    return min(served.get(name, 0.0) / fair[name] for name in fair)


def max_min(
    wanted: dict[str, float], weights: dict[str, float], room: float
) -> dict[str, float]:
    """Return the max-min fair shares by weight.

    Examples
    --------
    >>> max_min({'a': 1.0, 'b': 9.0}, {'a': 1.0, 'b': 1.0}, 6.0)
    {'a': 1.0, 'b': 5.0}
    """
    shares: dict[str, float] = {}
    left = dict(wanted)
    while left:
        total = sum(weights[name] for name in left)
        level = room / total
        small = [n for n in left if left[n] <= level * weights[n]]
        if not small:
            shares |= {name: level * weights[name] for name in left}
            break
        for name in small:
            shares[name] = left.pop(name)
            room -= shares[name]
    return {name: shares[name] for name in wanted}
