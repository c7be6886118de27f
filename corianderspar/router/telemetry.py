"""Counters and histograms of one daemon of the router."""

from collections.abc import Callable

import prometheus_client as prometheus

from corianderspar import kernel
from corianderspar import metrics
from corianderspar import problems
from corianderspar.router import request_context


class Telemetry:
    """The service ``telemetry``; its labels are bounded by the code."""

    name = 'telemetry'
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.registry = prometheus.CollectorRegistry()
        self._requests = prometheus.Counter(
            'corianderspar_router_requests',
            'Requests by kind of service and status; 0 is a gone caller.',
            ('kind', 'status'),
            registry=self.registry,
        )
        self._refusals = prometheus.Counter(
            'corianderspar_router_refusals',
            'Answers of our own by code and whether the request ran.',
            ('code', 'ran'),
            registry=self.registry,
        )
        self._seconds = prometheus.Histogram(
            'corianderspar_router_seconds',
            'Seconds from the head of a request to the end of its answer.',
            ('kind',),
            buckets=metrics.SECONDS_BUCKETS,
            registry=self.registry,
        )

        self._first_event = prometheus.Histogram(
            'corianderspar_router_first_event_seconds',
            'Seconds from the head of a request to its first event.',
            buckets=metrics.SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._sends = prometheus.Counter(
            'corianderspar_router_sends',
            'Sends to upstreams by stage and whether an answer came.',
            ('stage', 'answered'),
            registry=self.registry,
        )

    async def start(self, app: kernel.Application) -> None:
        """Nothing to start: others count."""

    async def stop(self) -> None:
        """Nothing to stop."""

    def add_gauge(
        self, name: str, text: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge that is read when the page is."""
        made = prometheus.Gauge(name, text, registry=self.registry)
        made.set_function(read)

    def count_refusal(self, problem: problems.Problem) -> None:
        """Count an answer of our own."""
        self._refusals.labels(problem.code, problem.ran).inc()

    def count_send(self, stage: str, answered: bool) -> None:
        """Count a send to an upstream."""
        self._sends.labels(stage, str(answered).lower()).inc()

    def observe_first_event(self, seconds: float) -> None:
        """Count the first event of an answer."""
        self._first_event.observe(seconds)

    def count_request(
        self, context: request_context.RequestContext, seconds: float
    ) -> None:
        """Count a request that ended."""
        kind = 'engine' if context.matched.service.engine else 'plain'
        self._requests.labels(kind, str(context.exchange.status)).inc()
        self._seconds.labels(kind).observe(seconds)

    def page(self) -> bytes:
        """Return the page that a scraper reads."""
        return prometheus.generate_latest(self.registry)
