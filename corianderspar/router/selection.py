"""Choice of the upstream for a request to a plain service.

Some upstreams slow down, or fail a part of their requests, while they still
report that they are healthy. The choice therefore rests on answers and not
on health checks. The cost of an upstream is the time that it would need for
its requests in flight and one more, from the moving averages of its response
time and of its failure rate. No upstream is excluded for good, since the
penalty for failures decays.
"""

from collections.abc import Container
from collections.abc import Iterable
import math
import random
from typing import NamedTuple

from corianderspar.router import model

# Response time of an upstream of a service without answers yet.
INITIAL_SECONDS = 0.06
SMOOTHING = 0.15  # weight of the newest answer
FAILURE_SECONDS = 1.0  # cost of a failed answer: a retry and its wait
DECAY_SECONDS = 6.0  # time constant of the failure rate: down to 1/e
REMOTE_SECONDS = 0.004  # cost of another data centre
# Cost of an upstream that states a limit, so that sound others go first.
LIMITED_SECONDS = 0.5
# Upstreams cost about the same up to this ratio of the lowest cost and this
# difference beyond it. Many daemons with little data each would otherwise all
# choose the same upstream.
EQUAL_COST_RATIO = 1.5
EQUAL_COST_SECONDS = 0.005
SUSPECT_SECONDS = 1.5  # for which an unreachable upstream is a last choice


class _Statistics(NamedTuple):
    """What is known of an upstream.

    Attributes
    ----------
    seconds : float
        Moving average of the response time.
    failure_rate : float
        Moving average at `updated_at`, 0 to 1.
    updated_at : float
        Monotonic seconds of the last answer.
    in_flight : int
        Requests that have not ended.
    suspect_until : float
        Monotonic seconds.
    """

    seconds: float
    failure_rate: float
    updated_at: float
    in_flight: int
    suspect_until: float


_INITIAL = _Statistics(INITIAL_SECONDS, 0.0, 0.0, 0, 0.0)


class UpstreamSelector:
    """Chooses upstreams by statistics of their answers.

    Parameters
    ----------
    data_centre : str
        Of this daemon.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._statistics_by_instance: dict[str, _Statistics] = {}
        self._usual_seconds_by_service: dict[str, float] = {}

    def choose(
        self,
        upstreams: Iterable[model.Upstream],
        excluded: Iterable[str],
        now: float,
        limited: Container[str] = (),
        rng: random.Random | None = None,
        paced: Container[str] = (),
    ) -> model.Upstream | None:
        """Return the upstream of the lowest cost, or None.

        Parameters
        ----------
        upstreams : iterable of Upstream
            Candidates. Those that were unreachable lately are chosen only
            if there is no other.
        excluded : iterable of str
            Instances that are not chosen.
        now : float
            Monotonic seconds.
        limited : container of str
            Instances that state a limit.
        rng : random.Random or None
            If given, the choice is at random among upstreams of about the
            lowest cost.
        paced : container of str
            Instances in slow start. Their windows keep them from too many
            requests; by the response times of their first answers they would
            be left idle although they are quick by now.
        """
        excluded_instances = set(excluded)
        ranked = [
            (
                self.is_suspect(u, now),
                self._cost(u, now, u.instance in paced)
                + LIMITED_SECONDS * (u.instance in limited),
                u,
            )
            for u in upstreams
            if u.instance not in excluded_instances
        ]
        if not ranked:
            return None
        is_suspect, lowest, best = min(ranked, key=lambda each: each[:2])
        if rng is None:
            return best
        highest = lowest * EQUAL_COST_RATIO + EQUAL_COST_SECONDS
        return rng.choice(
            [u for s, cost, u in ranked if s == is_suspect and cost <= highest]
        )

    def begin(self, upstream: model.Upstream) -> None:
        """Count a request that is sent."""
        known = self._statistics(upstream)
        self._statistics_by_instance[upstream.instance] = known._replace(
            in_flight=known.in_flight + 1
        )

    def end(
        self,
        upstream: model.Upstream,
        seconds: float,
        succeeded: bool,
        now: float,
    ) -> None:
        """Record how a request ended.

        Parameters
        ----------
        upstream : Upstream
            Where the request was sent.
        seconds : float
            Response time; not used if the request failed.
        succeeded : bool
            Whether the request succeeded.
        now : float
            Monotonic seconds.
        """
        known = self._statistics(upstream)
        failure_rate = self._failure_rate(known, now)
        failure_rate += SMOOTHING * (
            (0.0 if succeeded else 1.0) - failure_rate
        )
        average = known.seconds
        if succeeded:
            average += SMOOTHING * (seconds - average)
            usual = self._usual_seconds_by_service.get(
                upstream.service, seconds
            )
            usual += SMOOTHING * (seconds - usual)
            self._usual_seconds_by_service[upstream.service] = usual
        self._statistics_by_instance[upstream.instance] = _Statistics(
            average,
            failure_rate,
            now,
            max(known.in_flight - 1, 0),
            known.suspect_until,
        )

    def mark_unreachable(self, upstream: model.Upstream, now: float) -> None:
        """Make an upstream a last choice for `SUSPECT_SECONDS`."""
        known = self._statistics(upstream)
        self._statistics_by_instance[upstream.instance] = known._replace(
            suspect_until=now + SUSPECT_SECONDS
        )

    def retain(self, instances: set[str]) -> None:
        """Drop the statistics of all other instances."""
        for instance in list(self._statistics_by_instance):
            if instance not in instances:
                del self._statistics_by_instance[instance]

    def is_suspect(self, upstream: model.Upstream, now: float) -> bool:
        """Return whether an upstream was unreachable lately."""
        known = self._statistics(upstream)
        return known.suspect_until > now

    def in_flight(self, instance: str) -> int:
        """Return the requests of this daemon that have not ended."""
        return self._statistics_by_instance.get(instance, _INITIAL).in_flight

    def _statistics(self, upstream: model.Upstream) -> _Statistics:
        """Return what is known; an upstream without answers is as usual."""
        known = self._statistics_by_instance.get(upstream.instance)
        if known is not None:
            return known
        return _INITIAL._replace(
            seconds=self._usual_seconds_by_service.get(
                upstream.service, INITIAL_SECONDS
            )
        )

    def _failure_rate(self, known: _Statistics, now: float) -> float:
        """Return the failure rate, decayed since the last answer."""
        return known.failure_rate * math.exp(
            -(now - known.updated_at) / DECAY_SECONDS
        )

    def _cost(
        self, upstream: model.Upstream, now: float, is_paced: bool
    ) -> float:
        """Return the cost of one more request, in seconds."""
        known = self._statistics(upstream)
        queue = known.in_flight // max(upstream.slots, 1)
        seconds = known.seconds
        if is_paced:
            seconds = min(
                seconds,
                self._usual_seconds_by_service.get(upstream.service, seconds),
            )
        cost = seconds * (1 + queue) + known.in_flight * 0.001
        cost += self._failure_rate(known, now) * FAILURE_SECONDS
        if upstream.data_centre != self._data_centre:
            cost += REMOTE_SECONDS
        return cost
