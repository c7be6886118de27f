"""Works the capacity page out from the table of measured slopes."""

from typing import Any
from typing import NamedTuple

PERCENT = 100.0
MEGABYTE = 1e6
KILOBYTE = 1e3
DAY_SECONDS = 86_400.0


class Size(NamedTuple):
    """The size to design for.

    Attributes
    ----------
    daemons, data_centres, engines, models, accounts : int
        How many of each.
    requests, tokens : float
        Per second, at the peak.
    changes : float
        Configuration changes a day.
    """

    daemons: int = 360
    data_centres: int = 8
    engines: int = 3300
    models: int = 6
    accounts: int = 10_000
    requests: float = 4100.0
    tokens: float = 1.7e6
    changes: float = 4400.0


class Bounds(NamedTuple):
    """What the users allow, for each daemon unless said otherwise."""

    control_percent: float = 1.2
    memory_mb: float = 128.0
    control_kb: float = 13.0
    spread_seconds: float = 13.0
    service_reads: float = 2000.0


SIZE = Size()
BOUNDS = Bounds()
SHARD_ENGINES = 16
DECODE_PART = 2 / 3
OPEN_TICKETS = 5000
CONNECTIONS = 10_000
REPLACED_A_DAY = 340
ANSWER_REQUESTS = 240


class Line(NamedTuple):
    """A measured line or level, read from the table."""

    slope: float
    intercept: float
    last: float

    def at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.intercept + self.slope * x


class Sums(NamedTuple):
    """What one daemon spends at the size to design for."""

    member_messages: float
    member_kb: float
    member_percent: float
    change_percent: float
    idle_percent: float
    service_reads: float
    spread_seconds: float
    memory_mb: float
    memory_held_mb: float
    edge_requests: float
    edge_tokens: float
    edge_request_percent: float
    edge_token_percent: float
    edge_kb: float
    home_requests: float
    home_percent: float
    home_whole_percent: float
    shards: float


def read(table: dict[str, Any], name: str) -> Line:
    """Return a line of the table by the name of its series."""
    entry = table['series'][name]
    return Line(entry['slope'], entry['intercept'], entry['points'][-1][1])


def point(table: dict[str, Any], name: str, x: float) -> float:
    """Return the measured value at a point of a series.

    Raises
    ------
    KeyError
        If there is no such point.
    """
    for at, value in table['series'][name]['points']:
        if at == x:
            return value
    raise KeyError(f'{name} has no point at {x}')


def sums(table: dict[str, Any], size: Size = SIZE) -> Sums:
    """Return what one daemon spends at a size."""
    near = size.daemons // size.data_centres
    per_daemon = size.requests / size.daemons
    token_rate = size.tokens / size.daemons
    answer = read(table, 'answer_cpu')
    load = read(table, 'account_memory')
    connection = read(table, 'connection_memory')
    ticket = read(table, 'once_ticket_answered_memory')
    memory = load.at(size.accounts)
    held = connection.slope * CONNECTIONS + ticket.slope * OPEN_TICKETS
    change = read(table, 'configuration_change_time').at(size.accounts)
    shards = size.engines / SHARD_ENGINES
    idle = read(table, 'idle_cpu').at(size.engines / size.daemons)
    return Sums(
        member_messages=_member(table, 'messages', near),
        member_kb=_member(table, 'sent_bytes', near) / KILOBYTE,
        member_percent=_member(table, 'processor', near) / 1000 * PERCENT,
        change_percent=change * size.changes / DAY_SECONDS * PERCENT,
        idle_percent=idle / 1000 * PERCENT,
        service_reads=read(table, 'configuration_service_calls').last
        + read(table, 'configuration_service_calls_of_change').last
        * size.changes
        / DAY_SECONDS,
        spread_seconds=read(table, 'configuration_spread_worst').at(
            size.daemons
        ),
        memory_mb=memory / MEGABYTE,
        memory_held_mb=(memory + held) / MEGABYTE,
        edge_requests=per_daemon,
        edge_tokens=token_rate,
        edge_request_percent=answer.intercept * per_daemon * PERCENT,
        edge_token_percent=answer.slope * token_rate * PERCENT,
        edge_kb=_edge_bytes(table, per_daemon, token_rate) / KILOBYTE,
        home_requests=size.requests / shards,
        home_percent=_home(table, size, shards, SHARD_ENGINES),
        home_whole_percent=_home(
            table,
            size,
            size.models * size.data_centres,
            size.engines / size.models / size.data_centres,
        ),
        shards=shards,
    )


def _member(table: dict[str, Any], what: str, near: int) -> float:
    far = f'heartbeats_far_{what}'
    beyond = read(table, far).last - point(table, far, 1)
    return point(table, f'heartbeats_near_{what}', near) + beyond


def _edge_bytes(
    table: dict[str, Any], requests: float, tokens: float
) -> float:
    each = read(table, 'placement_bytes_requests').slope
    token = (
        read(table, 'placement_bytes_answer_tokens').slope / ANSWER_REQUESTS
    )
    return each * requests + token * tokens


def _home(
    table: dict[str, Any], size: Size, shards: float, engines: float
) -> float:
    decision = read(table, 'pool_engines').at(engines * DECODE_PART)
    request = read(table, 'placement_home_requests').slope
    token = read(table, 'placement_home_answer_tokens').slope / ANSWER_REQUESTS
    seconds = (decision + request) * size.requests / shards
    return (seconds + token * size.tokens / shards) * PERCENT


def page(table: dict[str, Any], template: str) -> str:
    """Return the capacity page, every figure worked out from the table.

    Parameters
    ----------
    table : dict
        As `slopes.write_table` writes it.
    template : str
        The page with names of figures in braces.
    """
    found = sums(table)
    load = read(table, 'configuration_load_time').at(SIZE.accounts)
    data = found.edge_request_percent + found.edge_token_percent
    token = found.edge_token_percent / found.edge_tokens
    return template.format(
        **found._asdict(),
        cores=table['machine']['cores'],
        gigabytes=table['machine']['memory_bytes'] / 1e9,
        commit=table['commit'],
        seed=table['seed'],
        direct_ms=table['latency']['direct'] * 1000,
        through_ms=table['latency']['through'] * 1000,
        latency_calls=table['latency']['calls'],
        near=SIZE.daemons // SIZE.data_centres,
        shard_engines=SHARD_ENGINES,
        connections=CONNECTIONS,
        tickets=OPEN_TICKETS,
        request_percent=found.edge_request_percent / found.edge_requests,
        thousand_tokens_percent=token * 1000,
        data_percent=data,
        seventh_percent=data / (SIZE.data_centres - 1),
        whole_shard_engines=SIZE.engines / SIZE.models / SIZE.data_centres,
        today_percent=_today(table),
        load_seconds=load,
        load_day_seconds=load * REPLACED_A_DAY / SIZE.daemons,
        limits_table=_limits_table(found),
        series_table=_series_table(table),
        plots='\n'.join(
            f'![{name}](capacity/{name}.png)' for name in table['series']
        ),
    )


def _today(table: dict[str, Any]) -> float:
    """Return the control cost today: 9 VMs, two engines for each."""
    near = point(table, 'heartbeats_near_processor', 9)
    idle = read(table, 'idle_cpu').at(2)
    return (near + idle) / 1000 * PERCENT


def _limits_table(found: Sums) -> str:
    control = found.member_percent + found.change_percent
    control += found.idle_percent
    return '\n'.join(
        [
            '| what | needs | limit | margin |',
            '|---|---|---|---|',
            _row('processor, control', control, '%', BOUNDS.control_percent),
            _row(
                'peer bytes, control',
                found.member_kb,
                'KB/s',
                BOUNDS.control_kb,
            ),
            _row('memory, control', found.memory_mb, 'MB', BOUNDS.memory_mb),
            _row('spread', found.spread_seconds, 's', BOUNDS.spread_seconds),
            _row('reads', found.service_reads, '/s', BOUNDS.service_reads),
        ]
    )


def _row(what: str, need: float, unit: str, limit: float) -> str:
    margin = limit / need if need else float('inf')
    verdict = f'{margin:.1f} times' if margin >= 1 else 'does not fit'
    return f'| {what} | {need:.2f} {unit} | {limit:g} {unit} | {verdict} |'


def _series_table(table: dict[str, Any]) -> str:
    rows = [
        '| series | over | unit | points | slope | intercept | residual |'
        ' left out | predicted | error |',
        '|---|---|---|---|---|---|---|---|---|---|',
    ]
    rows += [
        _series_row(name, entry) for name, entry in table['series'].items()
    ]
    return '\n'.join(rows)


def _series_row(name: str, entry: dict[str, Any]) -> str:
    at, value = entry['left_out']
    error = entry['left_out_error'] * PERCENT
    return (
        f'| `{name}` | {entry["x"]} | {entry["y"]} |'
        f' {len(entry["points"])} | {entry["slope"]:.4g} |'
        f' {entry["intercept"]:.4g} | {entry["residual"]:.3g} |'
        f' {value:.4g} at {at:g} | {entry["predicted"]:.4g} | {error:.0f}% |'
    )
