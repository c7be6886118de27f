"""What the router knows: routes, services, accounts and upstreams."""

import enum
from typing import NamedTuple

# A caller gives a stream up after the longest of these three.
SILENT_STREAM_SECONDS = 2.0
OBJECTIVES_SILENT = 4.0  # times the time to the first event it wants
GAPS_SILENT = 8.0  # times the pause between events it wants


class RetryPolicy(enum.Enum):
    """What may be done again when a request's ending is unknown."""

    ALWAYS = 'freely'
    NEVER = 'never'
    RESUME = 'resume'


class Phase(enum.Enum):
    """What an upstream does for a request."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class EngineLimits(NamedTuple):
    """What one engine of a service holds.

    Attributes
    ----------
    slots : int
        Requests that run at the same time.
    memory_tokens : int
        Tokens of KV cache that fit.
    kv_hold_seconds : float
        How long a prompt that was read is kept for a decode engine.
    """

    slots: int
    memory_tokens: int
    kv_hold_seconds: float = 0.5


class Service(NamedTuple):
    """A group of upstreams that answer the same requests.

    Attributes
    ----------
    name : str
        Its name in routes.
    engine : EngineLimits or None
        Set if its upstreams are split into prefill and decode.
    """

    name: str
    engine: EngineLimits | None


class Route(NamedTuple):
    """Where requests of a host and path prefix go.

    Attributes
    ----------
    name, host, prefix : str
        The route is the one with the longest matching prefix.
    weights_by_service : dict of str to float
        How requests are divided among services.
    retry_policy : RetryPolicy
        What may be repeated.
    streaming : bool
        Whether the answer is a series of events.
    attempts : int
        Upstreams on which one request may run.
    timeout : float
        Longest time to a final answer, seconds.
    objective : float
        Time to the first event or the answer that callers want, seconds.
    gap : float
        Longest pause between events that callers want, seconds; 0 if unset.
    priority : int
        Rank, 0 first.
    public : bool
        Whether no key is asked for.
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
        """Seconds without an event after which callers give a stream up."""
        if not self.streaming:
            return self.timeout
        return max(
            SILENT_STREAM_SECONDS,
            OBJECTIVES_SILENT * self.objective,
            GAPS_SILENT * self.gap,
        )


class Account(NamedTuple):
    """A client account.

    Attributes
    ----------
    name : str
        What upstreams are told.
    rate : float
        Tokens a second over the whole fleet; 0 for no limit.
    burst : float
        Tokens that may be used at once.
    default_tokens : int
        Charge of a request that names no sizes.
    priority : int or None
        Rank that replaces that of the route.
    """

    name: str
    rate: float
    burst: float
    default_tokens: int
    priority: int | None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Configuration(NamedTuple):
    """One version of what the operator published.

    Attributes
    ----------
    version : int
        Grows with each change.
    routes_by_host : dict of str to tuple of Route
        Each tuple has the longest prefixes first.
    services_by_name : dict of str to Service
        What routes name.
    accounts_by_digest : dict of str to Account
        Accounts by the digest of their keys.
    limits : CallerLimits
        Bounds for callers.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    accounts_by_digest: dict[str, Account]
    limits: CallerLimits

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Upstream(NamedTuple):
    """A process that runs requests, as it registered itself.

    Attributes
    ----------
    instance : str
        Identifier of this run of it.
    service : str
        Whose requests it answers.
    host, port : str, int
        Where it is reached.
    data_centre : str
        Where it stands.
    phase : Phase
        What it does.
    ready : bool
        False once it said that it leaves.
    slots : int
        Requests that it runs at the same time.
    """

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    phase: Phase
    ready: bool
    slots: int

    @property
    def address(self) -> str:
        """Where it is reached, ip:port."""
        return f'{self.host}:{self.port}'


class TokenCounts(NamedTuple):
    """How large an engine request is.

    Attributes
    ----------
    prompt : int
        Tokens of the prompt.
    max_output : int
        Most tokens of the answer.
    expected_output : int
        Tokens of the answer that the caller guesses.
    """

    prompt: int
    max_output: int
    expected_output: int

    @property
    def total(self) -> int:
        """What a client account is charged, tokens."""
        return self.prompt + self.max_output


class CallerRequest(NamedTuple):
    """A request as a caller sent it.

    Attributes
    ----------
    request_id : str
        The caller's own identifier of this attempt.
    method, target, host, path : str
        ``target`` is sent on unchanged; ``path`` has no query.
    headers : tuple of (bytes, bytes)
        What goes on to the upstream, without what concerns one connection
        and without what only this system may set.
    key : str
        The caller's key; empty for none.
    timeout : float
        Seconds that the caller waits.
    token_counts : TokenCounts or None
        Of an engine request.
    after_event : int or None
        Number of the last event that the caller has.
    body : bytes
        Sent on unchanged.
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
