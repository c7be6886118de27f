"""Seeded workloads: callers that share long texts and reserve too much."""

import random
from typing import NamedTuple

from corianderspar import catalogue

MIN_TEXT = 1500
MAX_TEXT = 5000
MIN_QUESTION = 40
MAX_QUESTION = 400
MAX_FRESH = 2500
MIN_ANSWER = 8
MAX_ANSWER = 400
VOCABULARY = 5000
ANSWER_SIGMA = 0.35


class Profile(NamedTuple):
    """A client account's traffic.

    Attributes
    ----------
    account : str
        Its name.
    weight : float
        Its weight when engines are short.
    part : float
        Its part of the whole rate.
    """

    account: str
    weight: float
    part: float


class Shape(NamedTuple):
    """What a workload is like.

    Attributes
    ----------
    texts : int
        Long texts that each account's callers share.
    shared : float
        Share of the requests that start with one of them.
    patient : float
        Share of the requests that are patient.
    over_reserved : float
        How many times the used length is reserved.
    gone : float
        Share of the callers that go away.
    median_answer : int
        Median answer length of the routes, tokens.
    """

    texts: int = 4
    shared: float = 0.7
    patient: float = 0.1
    over_reserved: float = 8.0
    gone: float = 0.1
    median_answer: int = 80


class Arrival(NamedTuple):
    """A request that a caller sends.

    Attributes
    ----------
    at : float
        Seconds since the start.
    request_id, account, route, prompt : str
        What is sent, and by whom.
    weight : float
        The account's weight.
    service_class : {'patient', 'guarded', 'ordinary'}
        How it is treated when room is short.
    max_tokens, length : int
        Tokens reserved, and really used.
    leaves : float or None
        Seconds after which the caller goes away.
    """

    at: float
    request_id: str
    account: str
    route: str
    prompt: str
    weight: float
    service_class: catalogue.ServiceClass
    max_tokens: int
    length: int
    leaves: float | None


PROFILES = (
    Profile('naptar', 2.0, 0.3),
    Profile('parish', 1.0, 0.25),
    Profile('synagogue', 1.0, 0.2),
    Profile('rally', 1.0, 0.15),
    Profile('small', 1.0, 0.1),
)


def make(
    seed: int,
    seconds: float,
    rate: float,
    profiles: tuple[Profile, ...] = PROFILES,
    shape: Shape | None = None,
) -> list[Arrival]:
    """Return the arrivals of a Poisson process, in order of time.

    Parameters
    ----------
    seed : int
        Seed of all that is random.
    seconds : float
        Length of the workload.
    rate : float
        Requests a second, all accounts together.
    profiles : tuple of Profile
        The client accounts; their parts are taken as they are.
    shape : Shape, optional
        What the requests are like.

    Examples
    --------
    >>> first, again = make(1, 5.0, 4.0), make(1, 5.0, 4.0)
    >>> first == again
    True
    """
    shape = shape or Shape()
    rng = random.Random(seed)  # noqa: S311
    arrivals = []
    for profile in profiles:
        texts = [
            _text(rng, rng.randint(MIN_TEXT, MAX_TEXT))
            for _ in range(shape.texts)
        ]
        arrivals += _account(rng, seconds, rate, profile, shape, texts)
    arrivals.sort(key=lambda arrival: (arrival.at, arrival.request_id))
    return arrivals


def _account(
    rng: random.Random,
    seconds: float,
    rate: float,
    profile: Profile,
    shape: Shape,
    texts: list[str],
) -> list[Arrival]:
    arrivals: list[Arrival] = []
    at = rng.expovariate(rate * profile.part)
    while at < seconds:
        request_id = f'{profile.account}#{len(arrivals)}'
        arrivals.append(_arrival(rng, at, request_id, profile, shape, texts))
        at += rng.expovariate(rate * profile.part)
    return arrivals


def _arrival(
    rng: random.Random,
    at: float,
    request_id: str,
    profile: Profile,
    shape: Shape,
    texts: list[str],
) -> Arrival:
    patient = rng.random() < shape.patient
    route = 'summary' if patient else 'blurb'
    median = shape.median_answer * (1.5 if patient else 1.0)
    drawn = rng.lognormvariate(0.0, ANSWER_SIGMA) * median
    length = min(MAX_ANSWER, max(MIN_ANSWER, int(drawn)))
    question = _text(rng, rng.randint(MIN_QUESTION, MAX_QUESTION))
    if rng.random() < shape.shared:
        question = f'{rng.choice(texts)} {question}'
    else:
        fresh = _text(rng, rng.randint(MIN_QUESTION, MAX_FRESH))
        question = f'{fresh} {question}'
    leaves = None
    if rng.random() < shape.gone:
        leaves = rng.uniform(0.0, 1.0 + length * 0.045)
    return Arrival(
        at,
        request_id,
        profile.account,
        route,
        f'{question} answer={length}',
        profile.weight,
        'patient' if patient else 'ordinary',
        int(length * shape.over_reserved),
        length,
        leaves,
    )


def _text(rng: random.Random, tokens: int) -> str:
    return ' '.join(rng.choices(_WORDS, k=tokens))


_WORDS = [format(number, 'x') for number in range(VOCABULARY)]
