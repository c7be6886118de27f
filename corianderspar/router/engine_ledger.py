"""What the home of a service has reserved at each of its engines."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping

from corianderspar.router import jobs
from corianderspar.router import kv_memory

MIN_REMAINING_SHARE = 0.25  # of the predicted length, also once exceeded


class _DecodeEngine:
    """Reservations at one decode engine, with their sums."""

    def __init__(self) -> None:
        self.reservations_by_id: dict[str, jobs.Reservation] = {}
        self.prompt_tokens = 0
        self.growing = 0  # reservations whose answer has begun
        self.began_at = 0.0  # sum over these

    def count(self, reservation: jobs.Reservation, sign: int) -> None:
        """Add a reservation to the sums, or take it from them."""
        self.prompt_tokens += sign * reservation.job.prompt_tokens
        if reservation.prefilled_at is not None:
            self.growing += sign
            self.began_at += sign * reservation.prefilled_at


class EngineLedger:
    """Reservations by job and by engine.

    Attributes
    ----------
    reservations_by_id : dict of str to Reservation
        Reservations by the identifier of their job; changed by the methods
        only.
    queued_tokens : Counter of str
        Tokens of the prompts that each prefill engine has yet to prefill.
    queued_requests : Counter of str
        Number of these prompts.
    served_tokens : Counter
        KV cache memory that is reserved, in tokens, by rank and client
        account.
    """

    def __init__(self) -> None:
        self.reservations_by_id: dict[str, jobs.Reservation] = {}
        self.queued_tokens: collections.Counter[str] = collections.Counter()
        self.queued_requests: collections.Counter[str] = collections.Counter()
        self.served_tokens: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._decode_engines: dict[str, _DecodeEngine] = {}
        self._external_loads_by_owner: dict[str, dict[str, jobs.Load]] = {}
        self._external_uses: dict[str, list[kv_memory.MemoryUse]] = {}
        # When each prefill engine last ended a prompt.
        self._prefilled_at_by_instance: dict[str, float] = {}

    def add(self, reservation: jobs.Reservation) -> None:
        """Record a reservation."""
        job_id = reservation.job.job_id
        self.reservations_by_id[job_id] = reservation
        engine = self._decode_engines.setdefault(
            reservation.grant.decode, _DecodeEngine()
        )
        engine.reservations_by_id[job_id] = reservation
        engine.count(reservation, 1)
        job = reservation.job
        self.served_tokens[job.priority, job.account] += job.kv_tokens
        if not reservation.is_prefilled:
            prefill = reservation.grant.prefill
            self.queued_tokens[prefill] += reservation.job.prompt_tokens
            self.queued_requests[prefill] += 1

    def remove(self, job_id: str) -> jobs.Reservation | None:
        """Drop a reservation and return it, if there is one."""
        reservation = self.reservations_by_id.pop(job_id, None)
        if reservation is None:
            return None
        engine = self._decode_engines[reservation.grant.decode]
        del engine.reservations_by_id[job_id]
        if engine.reservations_by_id:
            engine.count(reservation, -1)
        else:
            del self._decode_engines[reservation.grant.decode]
        job = reservation.job
        share = job.priority, job.account
        self.served_tokens[share] -= job.kv_tokens
        if not self.served_tokens[share]:
            del self.served_tokens[share]
        self._remove_queued(reservation)
        return reservation

    def remove_owner(self, owner: str) -> None:
        """Drop all reservations and loads of an incarnation."""
        self.set_external_loads(owner, {})
        for reservation in list(self.reservations_by_id.values()):
            if reservation.job.owner == owner:
                self.remove(reservation.job.job_id)

    def mark_prefilled(
        self, job_id: str, now: float
    ) -> tuple[jobs.Reservation, float] | None:
        """Record that a job's prompt has been prefilled.

        Returns
        -------
        (Reservation, float) or None
            The reservation, and the seconds that its engine spent on the
            prompt if it prefills one after another; None if there is no
            reservation.
        """
        reservation = self.reservations_by_id.get(job_id)
        if reservation is None:
            return None
        prefilled = reservation._replace(prefilled_at=now)
        self.reservations_by_id[job_id] = prefilled
        engine = self._decode_engines[reservation.grant.decode]
        engine.count(reservation, -1)
        engine.reservations_by_id[job_id] = prefilled
        engine.count(prefilled, 1)
        self._remove_queued(reservation)
        prefill = reservation.grant.prefill
        began_at = max(
            reservation.granted_at,
            self._prefilled_at_by_instance.get(prefill, 0.0),
        )
        self._prefilled_at_by_instance[prefill] = now
        return reservation, now - began_at

    def set_external_loads(
        self, owner: str, loads: dict[str, jobs.Load]
    ) -> None:
        """Replace what a daemon runs under other schedulers' reservations."""
        if self._external_loads_by_owner.get(owner, {}) == loads:
            return
        if loads:
            self._external_loads_by_owner[owner] = loads
        else:
            del self._external_loads_by_owner[owner]
        uses: dict[str, list[kv_memory.MemoryUse]] = {}
        for by_instance in self._external_loads_by_owner.values():
            for instance, load in by_instance.items():
                # Their progress is unknown; assume that they are nearly done.
                share = load.tokens / max(load.requests, 1)
                uses.setdefault(instance, []).extend(
                    [kv_memory.MemoryUse(share, 0.0)] * load.requests
                )
        self._external_uses = uses

    def retain(self, instances: Collection[str]) -> None:
        """Forget when engines other than these ended their last prompt."""
        for instance in self._prefilled_at_by_instance.keys() - instances:
            del self._prefilled_at_by_instance[instance]

    def loaded_engines(self) -> set[str]:
        """Return the decode engines that have requests."""
        return self._decode_engines.keys() | self._external_uses.keys()

    def requests(self, instance: str) -> int:
        """Return the number of requests at a decode engine."""
        engine = self._decode_engines.get(instance)
        reserved = len(engine.reservations_by_id) if engine else 0
        return reserved + len(self._external_uses.get(instance, ()))

    def held_tokens(self, instance: str, rate: float, now: float) -> float:
        """Return the memory that a decode engine's requests hold.

        Parameters
        ----------
        instance : str
            The engine.
        rate : float
            Tokens per second of one request there.
        now : float
            Seconds on the scheduler's clock.
        """
        held = sum(use.tokens for use in self._external_uses.get(instance, ()))
        engine = self._decode_engines.get(instance)
        if engine is not None:
            seconds = engine.growing * now - engine.began_at
            held += engine.prompt_tokens + seconds * rate
        return held

    def uses(
        self, instance: str, rate: float, now: float
    ) -> list[kv_memory.MemoryUse]:
        """Return the memory use of each request at a decode engine.

        The parameters are those of `held_tokens`.
        """
        engine = self._decode_engines.get(instance)
        uses = (
            [
                _use(reservation, rate, now)
                for reservation in engine.reservations_by_id.values()
            ]
            if engine
            else []
        )
        uses += self._external_uses.get(instance, ())
        return uses

    def _remove_queued(self, reservation: jobs.Reservation) -> None:
        if reservation.is_prefilled:
            return
        prefill = reservation.grant.prefill
        self.queued_tokens[prefill] -= reservation.job.prompt_tokens
        self.queued_requests[prefill] -= 1
        if not self.queued_requests[prefill]:
            del self.queued_requests[prefill]
            del self.queued_tokens[prefill]


class MemoryUses(Mapping[str, list[kv_memory.MemoryUse]]):
    """Memory uses by decode engine at one time, computed when needed.

    Parameters
    ----------
    ledger : EngineLedger
        What is reserved.
    rate : callable
        Returns the decode rate of an engine at a time.
    now : float
        Seconds on the scheduler's clock.
    """

    def __init__(
        self,
        ledger: EngineLedger,
        rate: Callable[[str, float], float],
        now: float,
    ) -> None:
        self.now = now
        self._ledger = ledger
        self._rate = rate
        self._uses_by_instance: dict[str, list[kv_memory.MemoryUse]] = {}
        self._peaks_by_instance: dict[str, float] = {}

    def __getitem__(self, instance: str) -> list[kv_memory.MemoryUse]:
        """Return the uses at an engine; empty if it has no requests."""
        uses = self._uses_by_instance.get(instance)
        if uses is None:
            rate = self._rate(instance, self.now)
            uses = self._ledger.uses(instance, rate, self.now)
            self._uses_by_instance[instance] = uses
        return uses

    def __iter__(self) -> Iterator[str]:
        """Iterate over the engines that have requests."""
        return iter(self._ledger.loaded_engines())

    def __len__(self) -> int:
        """Return the number of engines that have requests."""
        return len(self._ledger.loaded_engines())

    def peak(self, instance: str) -> float:
        """Return the most memory that an engine's requests will hold."""
        peak = self._peaks_by_instance.get(instance)
        if peak is None:
            peak = kv_memory.peak_memory(self[instance])
            self._peaks_by_instance[instance] = peak
        return peak

    def forget(self, instance: str) -> None:
        """Compute an engine's uses anew, as a job was placed there."""
        self._uses_by_instance.pop(instance, None)
        self._peaks_by_instance.pop(instance, None)


def _use(
    reservation: jobs.Reservation, rate: float, now: float
) -> kv_memory.MemoryUse:
    job = reservation.job
    if reservation.prefilled_at is None:
        return kv_memory.MemoryUse(job.prompt_tokens, job.output_tokens)
    generated = (now - reservation.prefilled_at) * rate
    remaining = max(
        job.output_tokens - generated,
        job.output_tokens * MIN_REMAINING_SHARE,
    )
    return kv_memory.MemoryUse(job.prompt_tokens + generated, remaining)
