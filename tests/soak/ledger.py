"""What callers asked and got, what upstreams ran, and whether it agrees."""

from typing import NamedTuple

from tests.platform import fakes

REVOKE_SECONDS = 5.0  # in which a withdrawn key must stop working
NOT_RUN = (408, 421, 429, 503)  # a promise that nothing ran


class Asked(NamedTuple):
    """One request and its ending.

    Attributes
    ----------
    request_id, path, key : str
        As the caller sent them.
    sent : float
        Seconds, on the clock of the soak.
    status : int
        0 if the connection broke.
    body : bytes
        What came, whole or not.
    """

    request_id: str
    path: str
    key: str
    sent: float
    status: int
    body: bytes


def runs(engines: list[fakes.FakeUpstreamServer]) -> dict[str, list[str]]:
    """Return the paths that upstreams ran, by request id."""
    found: dict[str, list[str]] = {}
    for engine in engines:
        for _method, path, headers, _body in engine.requests:
            if headers.get('x-expect-instance') != engine.instance:
                continue
            if 'x-stage' in headers or path.startswith('/-/'):
                continue
            found.setdefault(headers['x-request-id'], []).append(path)
    return found


def check(
    asked: list[Asked],
    run_by_id: dict[str, list[str]],
    withdrawn: dict[str, float],
) -> list[str]:
    """Return what broke a promise, a line each.

    Parameters
    ----------
    asked : list of Asked
        All requests of all callers.
    run_by_id : dict of str to list of str
        As `runs` returns it.
    withdrawn : dict of str to float
        When keys were withdrawn, seconds.
    """
    findings = []
    for one in asked:
        found = run_by_id.get(one.request_id, [])
        name = f'{one.request_id} {one.path} {one.status}'
        if _is_order(one) and len(found) > 1:
            findings.append(f'{name}: ran {len(found)} times')
        if one.status in NOT_RUN and found:
            findings.append(f'{name}: refused as not run, and ran')
        if any(path != one.path for path in found):
            findings.append(f'{name}: ran as {found}')
        if one.status == 200 and not found:
            findings.append(f'{name}: answered and never ran')
        if one.status == 200 and not _is_own(one):
            findings.append(f'{name}: another answer: {one.body[:80]!r}')
        since = withdrawn.get(one.key)
        if since is not None and one.sent > since + REVOKE_SECONDS and found:
            findings.append(f'{name}: ran with a withdrawn key')
    unknown = run_by_id.keys() - {one.request_id for one in asked}
    findings += [f'{request_id}: never asked' for request_id in unknown]
    return findings


def _is_order(one: Asked) -> bool:
    is_lookup = one.path.startswith('/order/look/')
    return one.path.startswith('/order/') and not is_lookup


def _is_own(one: Asked) -> bool:
    if not one.path.startswith('/chat/'):
        return f'"{one.path}"'.encode() in one.body
    return one.body == b''.join(
        fakes.encode_event(number)
        for number in range(1, fakes.EVENT_COUNT + 1)
    )
