"""Data types of the router: routes, services, accounts, upstreams."""

import enum
from typing import NamedTuple

# Callers abandon a stream after the longest of these three times without an
# event.
MIN_EVENT_TIMEOUT_SECONDS = 2.0
EVENT_TIMEOUT_OBJECTIVES = 4.0  # multiple of the route's objective
EVENT_TIMEOUT_GAPS = 8.0  # multiple of the route's gap between events
MIN_ANSWER_BYTES = 12 * 1024 * 1024  # that are passed on in any case


class RetryPolicy(enum.Enum):
    """How a request may be retried when its outcome is unknown.

    ALWAYS is for idempotent requests, RESUME for streams that another
    upstream can continue after the last event, NEVER for all others.
    """

    ALWAYS = 'freely'
    NEVER = 'never'
    RESUME = 'resume'


class Phase(enum.Enum):
    """Role of an upstream: an engine's phase, or a plain service."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class EngineLimits(NamedTuple):
    """Capacity of one engine of a service.

    Attributes
    ----------
    slots : int
        Requests that run at the same time.
    memory_tokens : int
        KV cache memory, tokens.
    kv_hold_seconds : float
        How long a prefill engine keeps the KV cache of a prompt for a decode
        engine.
    """

    slots: int
    memory_tokens: int
    kv_hold_seconds: float = 0.5


class Service(NamedTuple):
    """A group of upstreams that serve the same requests.

    Attributes
    ----------
    name : str
        Name by which routes refer to it.
    engine : EngineLimits or None
        Capacity of each engine if the upstreams are prefill and decode
        engines; None for a plain service.
    cold_seconds : float
        For how long an engine is cold after it turned cold.
    cold_per_second : float
        Requests per second that a cold engine can handle.
    """

    name: str
    engine: EngineLimits | None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0

    @property
    def has_cold_state(self) -> bool:
        """Whether its engines may be cold."""
        return self.cold_seconds > 0.0 and self.cold_per_second > 0.0


class Route(NamedTuple):
    """Rules for the requests of a host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
        Of the routes of a host, the one with the longest prefix of the path
        applies.
    weights_by_service : dict of str to float
        Weights by which requests are divided among services.
    retry_policy : RetryPolicy
        How a request may be retried if its outcome is unknown.
    streaming : bool
        Whether the answer is a stream of events.
    attempts : int
        Maximum number of upstreams on which one request may run.
    timeout : float
        Maximum time to the end of the answer, seconds.
    objective : float
        Latency objective: time to the first event or to the answer, seconds.
    gap : float
        Maximum time between events that callers want, seconds; 0 if unset.
    priority : int
        Rank, 0 first.
    public : bool
        Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    weights_by_service: dict[str, float]
    retry_policy: RetryPolicy
    streaming: bool
    attempts: int
    timeout: float
    objective: float
    gap: float
    priority: int
    public: bool

    @property
    def event_timeout(self) -> float:
        """Seconds without an event after which callers give up.

        If the answer is no stream, seconds without an answer.
        """
        if not self.streaming:
            return self.timeout
        return max(
            MIN_EVENT_TIMEOUT_SECONDS,
            EVENT_TIMEOUT_OBJECTIVES * self.objective,
            EVENT_TIMEOUT_GAPS * self.gap,
        )


class Account(NamedTuple):
    """A client account.

    Attributes
    ----------
    name : str
        Name that is sent to upstreams.
    rate : float
        Refill of the token bucket for the whole fleet, tokens/s; 0 for no
        limit.
    burst : float
        Capacity of the token bucket, tokens.
    default_tokens : int
        Charge for a request without token counts, tokens.
    priority : int or None
        Replaces the priority of the route unless None.
    """

    name: str
    rate: float
    burst: float
    default_tokens: int
    priority: int | None


class CallerLimits(NamedTuple):
    """Limits on the size and the duration of callers' requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of the head and of the body.
    header_seconds : float
        Maximum time for a caller to send the head.
    idle_seconds : float
        Idle timeout of a kept connection.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0

    @property
    def answer_bytes(self) -> int:
        """Maximum size of an answer's body.

        An answer may be as large as a request.
        """
        return max(self.body_bytes, MIN_ANSWER_BYTES)


def find_route(
    routes_by_host: dict[str, tuple[Route, ...]], host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of a path.

    Parameters
    ----------
    routes_by_host : dict of str to tuple of Route
        Routes of each host, longest prefix first.
    host, path : str
        Of a request.
    """
    for route in routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


class Configuration(NamedTuple):
    """One version of the configuration that the operator published.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes_by_host : dict of str to tuple of Route
        Routes of each host, longest prefix first.
    services_by_name : dict of str to Service
        Services to which routes refer.
    accounts_by_digest : dict of str to Account
        Accounts by the digests of their keys.
    limits : CallerLimits
        Limits on callers' requests.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    accounts_by_digest: dict[str, Account]
    limits: CallerLimits

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        return find_route(self.routes_by_host, host, path)

    def has_engine_ranks(self) -> bool:
        """Return whether requests at engines may differ in priority."""
        priorities = {
            account.priority
            for account in self.accounts_by_digest.values()
            if account.priority is not None
        }
        for routes in self.routes_by_host.values():
            for route in routes:
                services = map(
                    self.services_by_name.get, route.weights_by_service
                )
                if any(service and service.engine for service in services):
                    priorities.add(route.priority)
        return len(priorities) > 1


class Upstream(NamedTuple):
    """An upstream process as registered in the store.

    Attributes
    ----------
    instance : str
        Identifier of this run of the process.
    service : str
        Service to which it belongs.
    host, port : str, int
        Address for requests.
    data_centre : str
        Data centre in which it runs.
    phase : Phase
        Its role.
    ready : bool
        False once it reported that it is leaving.
    slots : int
        Requests that it runs at the same time.
    started_ms : int
        Unix milliseconds of the start of the process, which tells apart two
        processes that use the same instance; 0 if unknown.
    version : str
        Version of the software that the process runs; empty if it states
        none. Two versions do not continue each other's answers.
    cold_left : float
        Seconds for which it stays cold, counted from when its registration
        became known.
    """

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    phase: Phase
    ready: bool
    slots: int
    started_ms: int = 0
    version: str = ''
    cold_left: float = 0.0

    @property
    def address(self) -> str:
        """Address for requests, ip:port."""
        return f'{self.host}:{self.port}'


class StreamOrigin(NamedTuple):
    """What began a stream, and alone may go on with it.

    Attributes
    ----------
    service : str
        The service.
    version : str
        Software version of the upstream, as in `Upstream`.
    """

    service: str
    version: str


class TokenCounts(NamedTuple):
    """Token counts of an engine request.

    Attributes
    ----------
    prompt : int
        Tokens of the prompt.
    max_output : int
        Maximum tokens of the answer.
    expected_output : int
        The caller's estimate of the tokens of the answer.
    """

    prompt: int
    max_output: int
    expected_output: int

    @property
    def total(self) -> int:
        """Charge to the client account, tokens."""
        return self.prompt + self.max_output


class CallerRequest(NamedTuple):
    """A request as a caller sent it.

    Attributes
    ----------
    request_id : str
        The caller's identifier of this attempt.
    method, target, host, path : str
        ``target`` is forwarded unchanged; ``path`` has no query.
    headers : tuple of (bytes, bytes)
        Headers to forward, without hop-by-hop headers and without those that
        only the router may set.
    key : str
        The caller's key; empty for none.
    timeout : float
        Seconds for which the caller waits.
    token_counts : TokenCounts or None
        None if the caller gave none; only engine requests have them.
    after_event : int or None
        Number of the last event that the caller received; None for a new
        request.
    body : bytes
        Forwarded unchanged.
    prompt_parts : tuple of str
        Identifiers of the parts of the prompt that other requests may share,
        in order; the last part, which is the request's own, is left out.
    begun_by : str
        Identifier of the attempt that brought the first event of the stream
        that this one takes up; empty if the caller names none.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    key: str
    timeout: float
    token_counts: TokenCounts | None
    after_event: int | None
    body: bytes = b''
    prompt_parts: tuple[str, ...] = ()
    begun_by: str = ''
