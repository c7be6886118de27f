"""Schedule of KV cache transfers on engine links of limited rate."""

from typing import NamedTuple

KV_BYTES_PER_TOKEN = 131_072
DEFAULT_BYTES_PER_SECOND = 1e9


class _Transfer(NamedTuple):
    """A transfer that is scheduled and has not ended."""

    source: str
    target: str
    end: float


class LinkSchedule:
    """Scheduled transfers, and when the link of each engine is next free.

    A transfer occupies the links of both its source and its target for its
    whole duration. Transfers on a link run one after the other, in the
    order in which they were scheduled.

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
        self._transfers_by_engine: dict[str, dict[str, _Transfer]] = {}
        self._transfers_by_id: dict[str, _Transfer] = {}
        self._free_at_by_engine: dict[str, float] = {}

    def set_rates(self, rates_by_engine: dict[str, float]) -> None:
        """Replace the rates of all links, in bytes per second."""
        self._rates_by_engine = dict(rates_by_engine)
        for engine in rates_by_engine:
            self._transfers_by_engine.setdefault(engine, {})

    def transfer_seconds(self, source: str, target: str, tokens: int) -> float:
        """Return the duration of a transfer of that many tokens' KV cache."""
        rates = self._rates_by_engine
        rate = min(
            rates.get(source, DEFAULT_BYTES_PER_SECOND),
            rates.get(target, DEFAULT_BYTES_PER_SECOND),
        )
        return tokens * KV_BYTES_PER_TOKEN / rate

    def free_at(self, engine: str) -> float:
        """Return when the last transfer on a link ends, monotonic seconds."""
        return self._free_at_by_engine.get(engine, 0.0)

    def earliest_start(self, source: str, target: str, ready: float) -> float:
        """Return when a transfer that is ready at ``ready`` can start."""
        return max(ready, self.free_at(source), self.free_at(target))

    def reserve(
        self,
        request_id: str,
        source: str,
        target: str,
        tokens: int,
        ready: float,
    ) -> float:
        """Schedule a transfer and return when it ends, monotonic seconds.

        It replaces any earlier transfer of the same request.
        """
        self.release(request_id)
        begin = self.earliest_start(source, target, ready)
        end = begin + self.transfer_seconds(source, target, tokens)
        transfer = _Transfer(source, target, end)
        self._transfers_by_id[request_id] = transfer
        for engine in (source, target):
            self._transfers_by_engine.setdefault(engine, {})[request_id] = (
                transfer
            )
            self._free_at_by_engine[engine] = end
        return end

    def release(self, request_id: str) -> None:
        """Remove a transfer that has ended or will not take place."""
        transfer = self._transfers_by_id.pop(request_id, None)
        if transfer is not None:
            for engine in (transfer.source, transfer.target):
                remaining = self._transfers_by_engine[engine]
                remaining.pop(request_id, None)
                ends = (other.end for other in remaining.values())
                self._free_at_by_engine[engine] = max(ends, default=0.0)
