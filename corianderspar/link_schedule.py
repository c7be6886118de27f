"""Booked time on links of limited rate, for KV cache transfers."""

from typing import NamedTuple

KV_BYTES_PER_TOKEN = 131_072
DEFAULT_RATE = 1e9


class _Booked(NamedTuple):
    """A transfer that is booked and has not ended."""

    source: str
    target: str
    end: float


class LinkSchedule:
    """When the link of each engine is next free.

    A transfer takes the source's and the target's link for the whole of
    its time, one after the other in the order of booking.

    Examples
    --------
    >>> links = LinkSchedule()
    >>> links.set_rates({'p1': 1e9, 'd1': 2e9})
    >>> round(links.transfer_seconds('p1', 'd1', 10_000), 2)
    1.31
    >>> links.reserve('r1', 'p1', 'd1', 10_000, 5.0) == links.free_at('d1')
    True
    >>> links.release('r1')
    >>> links.free_at('d1')
    0.0
    """

    def __init__(self) -> None:
        self._rates_by_engine: dict[str, float] = {}
        self._booked_by_engine: dict[str, dict[str, _Booked]] = {}
        self._booked_by_id: dict[str, _Booked] = {}
        self._free_by_engine: dict[str, float] = {}

    def set_rates(self, rates_by_engine: dict[str, float]) -> None:
        """Take the rates of all links, bytes per second."""
        self._rates_by_engine = dict(rates_by_engine)
        for engine in rates_by_engine:
            self._booked_by_engine.setdefault(engine, {})

    def transfer_seconds(self, source: str, target: str, tokens: int) -> float:
        """Return how long a transfer of a prompt's KV cache takes."""
        rates = self._rates_by_engine
        rate = min(
            rates.get(source, DEFAULT_RATE), rates.get(target, DEFAULT_RATE)
        )
        return tokens * KV_BYTES_PER_TOKEN / rate

    def free_at(self, engine: str) -> float:
        """Return when all booked on the engine's link ends, monotonic s."""
        return self._free_by_engine.get(engine, 0.0)

    def earliest_start(self, source: str, target: str, ready: float) -> float:
        """Return when a transfer that is ready then could begin."""
        return max(ready, self.free_at(source), self.free_at(target))

    def reserve(
        self,
        request_id: str,
        source: str,
        target: str,
        tokens: int,
        ready: float,
    ) -> float:
        """Book a transfer and return when it ends, monotonic seconds."""
        self.release(request_id)
        begin = self.earliest_start(source, target, ready)
        end = begin + self.transfer_seconds(source, target, tokens)
        booked = _Booked(source, target, end)
        self._booked_by_id[request_id] = booked
        for engine in (source, target):
            self._booked_by_engine.setdefault(engine, {})[request_id] = booked
            self._free_by_engine[engine] = end
        return end

    def release(self, request_id: str) -> None:
        """Drop a booking whose transfer ended, or never will begin."""
        booked = self._booked_by_id.pop(request_id, None)
        if booked is not None:
            for engine in (booked.source, booked.target):
                left = self._booked_by_engine[engine]
                left.pop(request_id, None)
                ends = (item.end for item in left.values())
                self._free_by_engine[engine] = max(ends, default=0.0)
