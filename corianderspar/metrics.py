"""Prometheus metrics of one application."""

import prometheus_client

from corianderspar import kernel

LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    1.5,
    3.0,
    10.0,
    30.0,
    60.0,
)
TOKEN_GAP_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.02,
    0.035,
    0.045,
    0.055,
    0.08,
    0.15,
    0.5,
    2.0,
)


class Metrics:
    """The service ``metrics``.

    The catalogue and the code bound the set of values of each label. Callers
    could add any number of accounts, requests or paths, which are therefore
    never labels.
    """

    name = 'metrics'
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'corianderspar_requests',
            'Requests by route, outcome code and whether they ran.',
            ('route', 'code', 'ran'),
            registry=self.registry,
        )
        self.tokens = prometheus_client.Counter(
            'corianderspar_tokens',
            'Tokens by direction: prompt or answer.',
            ('direction',),
            registry=self.registry,
        )
        self.first_token = prometheus_client.Histogram(
            'corianderspar_first_token_seconds',
            'Seconds from a request to its first token.',
            ('route',),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.token_gap = prometheus_client.Histogram(
            'corianderspar_token_gap_seconds',
            'Seconds between the pieces of an answer, per token.',
            ('route',),
            buckets=TOKEN_GAP_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.inflight = prometheus_client.Gauge(
            'corianderspar_inflight_requests',
            'Requests that are being served.',
            registry=self.registry,
        )
        self.catalogue_version = prometheus_client.Gauge(
            'corianderspar_catalogue_version',
            'Version of the catalogue in force.',
            registry=self.registry,
        )
        self.live_vms = prometheus_client.Gauge(
            'corianderspar_live_vms',
            'VMs heard lately in the own data centre.',
            registry=self.registry,
        )

    async def start(self, app: kernel.Application) -> None:
        """Do nothing: other services update the metrics."""

    async def stop(self) -> None:
        """Do nothing: there is nothing to stop."""

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
