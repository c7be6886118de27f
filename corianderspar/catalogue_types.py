"""Types of the catalogue that operators publish."""

from typing import Annotated
from typing import Literal
from typing import NamedTuple

import pydantic

ServiceClass = Literal['patient', 'guarded', 'ordinary']
PositiveFloat = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
Count = Annotated[int, pydantic.Field(gt=0)]
Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]
Digest = Annotated[str, pydantic.Field(pattern=r'^sha256:[0-9a-f]{64}$')]
Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
Path = Annotated[str, pydantic.Field(pattern=r'^/[A-Za-z0-9/_.~-]*$')]


Address = Annotated[
    str,
    pydantic.Field(
        pattern=r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$'
    ),
]


class Limits(NamedTuple):
    """Limits of an entry.

    Attributes
    ----------
    timeout : float
        Seconds for a request, waiting included.
    max_body : int
        Bytes of a request's body.
    max_tokens : int
        Most tokens of an answer.
    """

    timeout: PositiveFloat = 60.0
    max_body: Count = 1 << 20
    max_tokens: Count = 4096


class Route(NamedTuple):
    """A path that callers use.

    Attributes
    ----------
    path : str
        Prefix of the path; the longest that fits wins.
    kind : {'engine', 'plain'}
        What serves it.
    target : str
        Model of an engine route, pool of a plain one.
    open : bool
        Whether no key is needed.
    repeatable : bool
        Whether its requests are idempotent.
    """

    path: Path
    kind: Literal['engine', 'plain']
    target: Name
    open: bool = False
    repeatable: bool = True


class Entry(NamedTuple):
    """A service offered to callers.

    Attributes
    ----------
    owner : str
        Who answers for it.
    service_class : {'patient', 'guarded', 'ordinary'}
        How its requests are treated when room is short.
    routes_by_name : dict of str to Route
        Its paths.
    limits : Limits
        Bounds on each request.
    """

    owner: Annotated[str, pydantic.Field(min_length=1)]
    service_class: ServiceClass
    routes_by_name: dict[Name, Route]
    limits: Limits = Limits()


class Account(NamedTuple):
    """A client account.

    Attributes
    ----------
    rate : float
        Tokens per second over the whole fleet.
    burst : float
        Tokens that may be used at once over the whole fleet.
    shares_by_data_centre : dict of str to float
        Parts of rate and burst; they sum to at most one.
    digests : tuple of str
        Digests of its valid keys.
    weight : float
        Its weight when engines are short.
    """

    rate: PositiveFloat
    burst: PositiveFloat
    shares_by_data_centre: dict[Name, Fraction]
    digests: tuple[Digest, ...] = ()
    weight: PositiveFloat = 1.0


class Upstream(NamedTuple):
    """An engine or a plain service.

    Attributes
    ----------
    data_centre : str
        Where it stands.
    address : str
        ip:port.
    kind : {'engine', 'plain'}
        What it is.
    pool : str
        Model of an engine, pool of a plain service.
    role : {'', 'prefill', 'decode'}
        What an engine does.
    link_rate : float
        Bytes per second in and out for KV cache.
    honours_fencing : bool
        Whether it refuses orders with an old fencing number.
    slots, pieces : int
        Requests and memory pieces that an engine holds.
    leaving : bool
        Whether it gets no new work.
    """

    data_centre: Name
    address: Address
    kind: Literal['engine', 'plain']
    pool: Name
    role: Literal['', 'prefill', 'decode'] = ''
    link_rate: PositiveFloat = 1e9
    honours_fencing: bool = False
    slots: Count = 20
    pieces: Count = 64
    leaving: bool = False


class Catalogue(NamedTuple):
    """All that operators decide, of one version.

    Attributes
    ----------
    version : int
        A daemon never goes to a lower one.
    entries_by_name, accounts_by_name, upstreams_by_name : dict
        What is catalogued.
    """

    version: Count
    entries_by_name: dict[Name, Entry]
    accounts_by_name: dict[Name, Account]
    upstreams_by_name: dict[Name, Upstream]
