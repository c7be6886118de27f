"""Prometheus metrics of one router daemon."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import functools

import prometheus_client
from prometheus_client import core

from corianderspar import kernel
from corianderspar import metrics
from corianderspar import problems
from corianderspar.router import request_context


class _Counts:
    """Collector of counts that a service keeps itself."""

    def __init__(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, int]],
    ) -> None:
        self._name = name
        self._help_text = help_text
        self._label = label
        self._read = read

    def collect(self) -> Iterator[core.Metric]:
        """Return the counts at present."""
        family = core.CounterMetricFamily(
            self._name, self._help_text, labels=(self._label,)
        )
        for value, count in sorted(self._read().items()):
            family.add_metric((value,), count)
        yield family


class Telemetry:
    """The service ``telemetry``.

    The code bounds the set of values of each label.
    """

    name = 'telemetry'
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            'corianderspar_router_requests',
            'Requests by kind of service and status; 0 is a gone caller.',
            ('kind', 'status'),
            registry=self.registry,
        )
        self._refusals = prometheus_client.Counter(
            'corianderspar_router_refusals',
            'Answers of our own by code and whether the request ran.',
            ('code', 'ran'),
            registry=self.registry,
        )
        self._seconds = prometheus_client.Histogram(
            'corianderspar_router_seconds',
            'Seconds from the head of a request to the end of its answer.',
            ('kind',),
            buckets=metrics.LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._first_event = prometheus_client.Histogram(
            'corianderspar_router_first_event_seconds',
            'Seconds from the head of a request to its first event.',
            buckets=metrics.LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._sends = prometheus_client.Counter(
            'corianderspar_router_sends',
            'Sends to upstreams by stage and whether an answer came.',
            ('stage', 'answered'),
            registry=self.registry,
        )

    async def start(self, app: kernel.Application) -> None:
        """Do nothing: other services update the metrics."""

    async def stop(self) -> None:
        """Do nothing: there is nothing to stop."""

    def add_gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = prometheus_client.Gauge(
            name, help_text, registry=self.registry
        )
        gauge.set_function(read)

    def add_gauges_by_rank(
        self,
        name: str,
        help_text: str,
        ranks: int,
        read: Callable[[int], float],
    ) -> None:
        """Add a gauge with a value for each of the first ranks."""
        gauge = prometheus_client.Gauge(
            name, help_text, ('rank',), registry=self.registry
        )
        for rank in range(ranks):
            gauge.labels(str(rank)).set_function(functools.partial(read, rank))

    def add_counters(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, int]],
    ) -> None:
        """Add a counter by one label; counts are read at each scrape."""
        self.registry.register(_Counts(name, help_text, label, read))

    def count_refusal(self, problem: problems.Problem) -> None:
        """Count a response that the router itself gave."""
        self._refusals.labels(problem.code, problem.ran).inc()

    def count_send(self, stage: str, answered: bool) -> None:
        """Count a send to an upstream."""
        self._sends.labels(stage, str(answered).lower()).inc()

    def observe_first_event(self, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        self._first_event.observe(seconds)

    def count_request(
        self, context: request_context.RequestContext, seconds: float
    ) -> None:
        """Count an ended request, with its duration."""
        kind = 'engine' if context.matched.service.engine else 'plain'
        self._requests.labels(kind, str(context.exchange.status)).inc()
        self._seconds.labels(kind).observe(seconds)

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
