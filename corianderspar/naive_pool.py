"""Naive placement, and an oracle that knows true answer lengths."""

import asyncio
import math

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import catalogue
from corianderspar import clock as clocks
from corianderspar import engine
from corianderspar import output_length
from corianderspar import pool
from corianderspar import problems


class NaivePool:
    """Round robin, the reserved length booked, first come first served.

    It grants at once, waits for decode room after the prefill, and never
    refuses.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._prefills: list[str] = []
        self._decodes_by_name: dict[str, catalogue.Upstream] = {}
        self._held_by_id: dict[str, tuple[str, int]] = {}
        self._turns = 0
        self._freed = asyncio.Condition()
        self._dead: set[str] = set()

    def set_engines(
        self, upstreams_by_name: dict[str, catalogue.Upstream]
    ) -> None:
        """Take the engines."""
        for name, upstream in upstreams_by_name.items():
            if upstream.role == 'prefill':
                self._prefills.append(name)
            else:
                self._decodes_by_name[name] = upstream

    async def submit(
        self, job: pool.Job
    ) -> Result[pool.Grant, problems.Problem]:
        """Grant the next engines at once."""
        self._turns += 1
        prefills = [p for p in self._prefills if p not in self._dead]
        decodes = [d for d in self._decodes_by_name if d not in self._dead]
        if not prefills or not decodes:
            return Error(problems.Problem('no_engine', 503, 'no', ''))
        pieces = math.ceil(
            (job.prompt_tokens + job.max_tokens) / engine.MEMORY_PIECE_TOKENS
        )
        return Ok(
            pool.Grant(
                job.request_id,
                prefills[self._turns % len(prefills)],
                decodes[self._turns % len(decodes)],
                0.0,
                pieces,
                0.0,
            )
        )

    async def room(self, grant: pool.Grant) -> None:
        """Wait until the decode engine has the pieces and a slot free."""
        async with self._freed:
            await self._freed.wait_for(lambda: self._fits(grant))
            held = (grant.decode, grant.pieces)
            self._held_by_id[grant.request_id] = held

    async def release(self, request_id: str) -> None:
        """Give the room back."""
        async with self._freed:
            self._held_by_id.pop(request_id, None)
            self._freed.notify_all()

    async def engine_died(self, name: str) -> None:
        """Leave an engine out from now on."""
        async with self._freed:
            self._dead.add(name)
            self._freed.notify_all()

    def _fits(self, grant: pool.Grant) -> bool:
        if grant.decode in self._dead:
            return True
        upstream = self._decodes_by_name[grant.decode]
        held = [
            pieces
            for name, pieces in self._held_by_id.values()
            if name == grant.decode
        ]
        if len(held) >= upstream.slots:
            return False
        return sum(held) + grant.pieces <= upstream.pieces


class Oracle(output_length.OutputLengthPredictor):
    """Knows the length of every answer; a route is a request's id.

    Parameters
    ----------
    lengths_by_id : dict of str to int
        True lengths, tokens.
    """

    def __init__(self, lengths_by_id: dict[str, int]) -> None:
        super().__init__()
        self._lengths_by_id = lengths_by_id

    def observe(self, account: str, route: str, tokens: int) -> None:
        """Learn nothing, as all is known."""

    def predict(
        self,
        account: str,
        route: str,
        max_tokens: int,
        quantile: float,
        seen: int = 0,
    ) -> int:
        """Return the true length."""
        return min(max_tokens, self._lengths_by_id[route])

    def finish_probability(
        self, account: str, route: str, max_tokens: int, seen: int, soon: int
    ) -> float:
        """Return whether the answer ends within the next tokens."""
        return float(seen + soon >= self._lengths_by_id[route])
