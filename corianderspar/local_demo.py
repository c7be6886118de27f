"""The demonstration: real input through every kind of route."""

from pathlib import Path
from typing import Protocol

import httpx
import msgspec

from corianderspar import daemon
from corianderspar import porcelain
from corianderspar import standins

MAX_TOKENS = 120
TIMEOUT_SECONDS = 30.0
BLURBS = '/blurbs/v1/completions'
SHOWN_EVENTS = 40


class System(Protocol):
    """What the demonstration needs of the local system."""

    @property
    def outside(self) -> standins.Standins:
        """The stand-ins."""
        ...

    @property
    def daemons_by_vm(self) -> dict[str, daemon.Daemon]:
        """The daemons."""
        ...


class _Checks:
    """Counts what was checked and what was wrong."""

    def __init__(self) -> None:
        self.wrong = 0

    def expect(self, what: str, right: bool) -> None:
        print(f'{"ok" if right else "WRONG"}: {what}')
        self.wrong += not right


async def show(system: System, examples: Path) -> int:
    """Send the examples, print all answers; return the exit code.

    Parameters
    ----------
    system : Local
        A running system.
    examples : Path
        Folder of the input texts.
    """
    checks = _Checks()
    addresses = [one.callers_address for one in system.daemons_by_vm.values()]
    headers = {'authorization': f'Bearer {system.outside.key.key}'}
    async with httpx.AsyncClient(
        headers=headers, timeout=TIMEOUT_SECONDS, trust_env=False
    ) as client:
        for number, name in enumerate(('feasts.md', 'route_book.md')):
            base = f'http://{addresses[number % len(addresses)]}'
            prompt = (examples / name).read_text(encoding='utf-8')
            prompt += '\nSummarise this text in one short paragraph.'
            await _summarise(client, base, prompt, system, checks)
        base = f'http://{addresses[-1]}'
        await _order(client, base, addresses[0], system, checks)
        await _book(client, base, system, checks)
        await _look_up(client, base, checks)
        await _withhold(base, checks)
        await _print_timeline(client, system)
    leaked = any(
        system.outside.key.key in str(seen)
        for seen in system.outside.shop.seen_headers
    )
    checks.expect('no upstream saw the key', not leaked)
    return 1 if checks.wrong else 0


async def _summarise(
    client: httpx.AsyncClient,
    base: str,
    prompt: str,
    system: System,
    checks: _Checks,
) -> None:
    body = {'prompt': prompt, 'max_tokens': MAX_TOKENS, 'stream': True}
    parts: list[str] = []
    ended = False
    print(f'--- {len(prompt.split())} words to {base}{BLURBS}')
    async with client.stream('POST', base + BLURBS, json=body) as response:
        async for line in response.aiter_lines():
            content = line.removeprefix('data: ')
            if content == '[DONE]':
                ended = True
            elif content:
                parts.append(_text(content))
                print(parts[-1], end='', flush=True)
    print()
    expected = system.outside.expected_answer(prompt, MAX_TOKENS)
    checks.expect('the stream ended with [DONE]', ended)
    checks.expect('the answer is whole', ''.join(parts) == expected)


def _text(content: str) -> str:
    event = msgspec.json.decode(content)
    if 'error' in event:
        return f'[error {event["error"]["code"]}]'
    return event['choices'][0]['text']


async def _order(
    client: httpx.AsyncClient,
    base: str,
    elsewhere: str,
    system: System,
    checks: _Checks,
) -> None:
    taken = await client.post(f'{base}/-/tickets/print/orders')
    ticket = {'corianderspar-ticket': taken.json().get('ticket', '')}
    body = {'item': 'wall calendar', 'copies': 400}
    first = await client.post(
        f'{base}/print/orders', json=body, headers=ticket
    )
    # The other daemon passes it on to the one that gave the ticket.
    again = await client.post(
        f'http://{elsewhere}/print/orders', json=body, headers=ticket
    )
    print(f'--- print order: {first.status_code} {first.text}')
    orders = [
        one for one in system.outside.shop.orders if one['kind'] == 'order'
    ]
    checks.expect('the order ran once, sent twice', len(orders) == 1)
    same = first.content == again.content
    checks.expect('both sends got the same answer', same)


async def _book(
    client: httpx.AsyncClient, base: str, system: System, checks: _Checks
) -> None:
    body = {'rally': 'Tweed Valley', 'machine': '1926 Norton 16H'}
    reply = await client.post(f'{base}/bookings', json=body)
    print(f'--- booking: {reply.status_code} {reply.text}')
    made = [
        one for one in system.outside.shop.orders if one['kind'] == 'booking'
    ]
    checks.expect('one booking', reply.status_code == 201 and len(made) == 1)


async def _look_up(
    client: httpx.AsyncClient, base: str, checks: _Checks
) -> None:
    reply = await client.get(f'{base}/catalogue/pentecost')
    print(f'--- lookup: {reply.status_code} {reply.text}')
    found = reply.status_code == 200 and 'Pentecost' in reply.text
    checks.expect('the lookup found it', found)


async def _withhold(base: str, checks: _Checks) -> None:
    async with httpx.AsyncClient(trust_env=False) as stranger:
        reply = await stranger.post(f'{base}/bookings', json={})
    print(f'--- no key: {reply.status_code} {reply.text}')
    refused = reply.status_code == 401
    checks.expect('a request without a key is refused', refused)


async def _print_timeline(client: httpx.AsyncClient, system: System) -> None:
    pages = []
    for one in system.daemons_by_vm.values():
        page = await client.get(f'http://{one.admin_address}/timeline')
        pages.append(page.json())
    events = porcelain.merge_timeline(pages, porcelain.EventFilter())
    print(f'--- time line, the last {SHOWN_EVENTS} of {len(events)} events')
    for event in events[-SHOWN_EVENTS:]:
        print(porcelain.format_event(event))
