"""Crashes of upstreams by requests and parts of prompts, to find poison.

A request may crash each upstream that begins to run it, and so may a part
that requests share in their prompts. A daemon notes the requests whose answers
had not begun, or had just begun, when an upstream crashed, and their parts.
A request as a whole is treated as one more part of its prompt.

Daemons exchange these notes as sets that only grow, so that they agree in
whatever order and how often they hear them:

- A crash is named by the engine's process; its suspects are those noted by
  any daemon.
- A suspect that any daemon saw succeed after the crash is cleared of it: in
  an answer that was complete, or went on well after its begin.

A part that has no success on record is proven by none; one that crashed
`CONVICTION_CRASHES` engines is convicted. Other parts of the same prompts
were present at these crashes, too; a crash that a convicted part explains
does not count for them. A part with earlier successes is convicted only by
crashes at `PROVEN_CONVICTION_TIMES` different times, since many engines may
fail together while they answer prompts with it.

Times are in monotonic seconds of this daemon. They are exchanged as ages.
"""

import collections
from collections.abc import Iterable
import math
import random
from typing import NamedTuple

import xxhash

from corianderspar.router import poison

CONVICTION_CRASHES = 2
PROVEN_CONVICTION_TIMES = 4
SAME_TIME_SECONDS = 2.0  # crashes closer together may have one cause
RETENTION_SECONDS = 600.0  # of a crash, after the last refusal due to it
MAX_CRASHES = 64
MAX_SUSPECTS = 64  # of one crash
MAX_PART_CHARACTERS = 64
MAX_SUCCESSES = 8192  # parts whose last success is kept; the oldest go
MAX_PROBED_PARTS = 256
# Of the crashes in one message, unless one alone is longer. Messages to peers
# that know the same crashes hold none.
MAX_MESSAGE_BYTES = 2048
AGE_UNIT_SECONDS = 0.1

# Until the first probe of a part: of one that is likely to be innocent, and of
# one whose crashes may all have one cause. Others are not probed.
SHORT_PROBE_SECONDS = 1.0
PROBE_SECONDS = 5.0
MAX_PROBE_DOUBLINGS = 5
MAX_FAILED_PROBES = 1
MAX_FAILED_PROVEN_PROBES = 2


class Crash(NamedTuple):
    """A crash of an engine.

    Attributes
    ----------
    at : float
        When a daemon noticed it first.
    kept_at : float
        When a request was last refused due to it.
    suspects : frozenset of str
        Parts that may have caused it, with those cleared since.
    cleared : frozenset of str
        Suspects that succeeded after it.
    is_probe : bool
        Whether a probe was among the requests.
    """

    at: float
    kept_at: float
    suspects: frozenset[str]
    cleared: frozenset[str] = frozenset()
    is_probe: bool = False


class Conviction(NamedTuple):
    """Why requests with a part are refused.

    Attributes
    ----------
    crash_count : int
        Engines that crashed with it, after its last success.
    time_count : int
        Different times at which they crashed.
    newest_at : float
        When the last of them crashed.
    is_proven : bool
        Whether it succeeded before.
    is_tied : bool
        Whether others of its kind, parts or whole requests, are as likely to
        have caused the crashes.
    failed_probes : int
        Probes that crashed an engine.
    """

    crash_count: int
    time_count: int
    newest_at: float
    is_proven: bool
    is_tied: bool
    failed_probes: int


class Probe(NamedTuple):
    """The last probe of a part, and the number of probes so far."""

    number: int
    at: float


class CrashMessage(NamedTuple):
    """A crash in a message between daemons.

    Attributes
    ----------
    age : int
        Time since it was noticed, in units of `AGE_UNIT_SECONDS`.
    kept_age : int
        Time since a request was refused due to it, seconds.
    suspects : tuple of str
        Parts that may have caused it, without those cleared.
    cleared : tuple of str
        Parts that succeeded after it.
    is_probe : bool
        Whether a probe was among the requests.
    """

    age: int
    kept_age: int
    suspects: tuple[str, ...]
    cleared: tuple[str, ...]
    is_probe: bool


class Message(NamedTuple):
    """What a daemon tells a peer.

    Attributes
    ----------
    digest : int
        Equal for daemons that know the same.
    crashes_by_process : dict of str to CrashMessage
        Crashes of engines.
    success_ages_by_part : dict of str to int
        Time since the last success of their suspects, in units of
        `AGE_UNIT_SECONDS`.
    probes_by_part : dict of str to (int, int)
        Number of probes of their suspects, and the time since the last one
        in units of `AGE_UNIT_SECONDS`.
    """

    digest: int
    crashes_by_process: dict[str, CrashMessage] = {}
    success_ages_by_part: dict[str, int] = {}
    probes_by_part: dict[str, tuple[int, int]] = {}


class PartCrashes:
    """Crashes by engine process, and successes and probes by part.

    Attributes
    ----------
    crashes_by_process : dict of str to Crash
        Crashes seen by this daemon or its peers.
    """

    def __init__(self) -> None:
        self.crashes_by_process: dict[str, Crash] = {}
        self._success_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._probes_by_part: dict[str, Probe] = {}
        self._suspects: frozenset[str] = frozenset()
        self._convictions: dict[str, Conviction] | None = {}
        self._digest: int | None = None

    def record_crash(
        self,
        process: str,
        parts: Iterable[str],
        at: float,
        now: float,
        is_probe: bool = False,
    ) -> None:
        """Note the parts of a request that was at an engine's crash."""
        crash = Crash(at, now, frozenset(parts), frozenset(), is_probe)
        self._add(process, crash)

    def record_success(self, parts: Iterable[str], now: float) -> list[str]:
        """Clear parts of an answer that did not crash its engine.

        Returns
        -------
        list of str
            Those that were convicted until then.
        """
        convicted_before = self.convictions()
        succeeded = list(parts)
        for part in succeeded:
            self._record_success(part, now)
        return [part for part in succeeded if part in convicted_before]

    def convictions(self) -> dict[str, Conviction]:
        """Return the convicted parts."""
        if self._convictions is None:
            self._convictions = self._convict()
        return self._convictions

    def suspect_count(self, part: str) -> int:
        """Return the number of crashes of which a part is not cleared."""
        return sum(
            part in crash.suspects and part not in crash.cleared
            for crash in self.crashes_by_process.values()
        )

    def has_suspect(self, parts: Iterable[str]) -> bool:
        """Return whether any of the parts was at a crash."""
        return not self._suspects.isdisjoint(parts)

    def has_success(self, part: str) -> bool:
        """Return whether a part ever succeeded."""
        return part in self._success_at_by_part

    def renew(self, part: str, now: float) -> None:
        """Keep the crashes of a part, since a request was refused."""
        for process, crash in self.crashes_by_process.items():
            if part in crash.suspects:
                self.crashes_by_process[process] = crash._replace(kept_at=now)

    def probe_due_at(self, part: str) -> float:
        """Return when one request with a convicted part may be sent.

        Returns
        -------
        float
            Infinity if it is surely to blame, or its probes have crashed
            enough engines.
        """
        conviction = self.convictions()[part]
        probe = self._probes_by_part.get(part, Probe(0, float('-inf')))
        max_failed = (
            MAX_FAILED_PROVEN_PROBES
            if conviction.is_proven
            else MAX_FAILED_PROBES
        )
        may_be_innocent = conviction.is_proven or conviction.is_tied
        if conviction.failed_probes >= max_failed or (
            conviction.time_count > 1 and not may_be_innocent
        ):
            return float('inf')
        seconds = SHORT_PROBE_SECONDS if may_be_innocent else PROBE_SECONDS
        seconds *= 2.0 ** min(probe.number, MAX_PROBE_DOUBLINGS)
        return max(conviction.newest_at, probe.at) + seconds

    def record_probe(self, part: str, now: float) -> None:
        """Note that a request with a convicted part is sent."""
        number = self._probes_by_part.get(part, Probe(0, now)).number + 1
        self._set_probe(part, Probe(number, now))

    def prune(self, now: float) -> None:
        """Forget crashes that are older than `RETENTION_SECONDS`."""
        for process, crash in list(self.crashes_by_process.items()):
            if now - crash.kept_at > RETENTION_SECONDS:
                del self.crashes_by_process[process]
                self._on_changed()

    def digest(self) -> int:
        """Return a number that is equal for daemons that know the same."""
        if self._digest is None:
            content = (
                sorted(
                    (
                        process,
                        sorted(crash.suspects),
                        sorted(crash.cleared),
                        crash.is_probe,
                    )
                    for process, crash in self.crashes_by_process.items()
                ),
                sorted(self._suspects & self._success_at_by_part.keys()),
                sorted(
                    (part, probe.number)
                    for part, probe in self._probes_by_part.items()
                    if part in self._suspects
                ),
            )
            self._digest = xxhash.xxh64_intdigest(repr(content).encode())
        return self._digest

    def message(self, now: float, rng: random.Random) -> Message:
        """Return what a peer that does not know the same is told.

        If not all crashes fit into `MAX_MESSAGE_BYTES`, the newest comes
        first, then those that convict a part, and the others, at random.
        """
        newest_at = max(
            (crash.at for crash in self.crashes_by_process.values()),
            default=0.0,
        )
        processes = list(self.crashes_by_process)
        rng.shuffle(processes)
        processes.sort(
            key=lambda process: (
                self.crashes_by_process[process].at == newest_at,
                self._convicts(process),
            ),
            reverse=True,
        )
        chosen: dict[str, CrashMessage] = {}
        parts: set[str] = set()
        size = 0
        for process in processes:
            crash = self.crashes_by_process[process]
            size += len(process) + sum(map(len, crash.suspects)) + 16
            if chosen and size > MAX_MESSAGE_BYTES:
                break
            parts |= crash.suspects
            chosen[process] = CrashMessage(
                int((now - crash.at) / AGE_UNIT_SECONDS),
                math.ceil(now - crash.kept_at) + 1,
                tuple(crash.suspects - crash.cleared),
                tuple(crash.cleared),
                crash.is_probe,
            )
        return Message(
            self.digest(),
            chosen,
            {
                part: _age_rounded_up(now, self._success_at_by_part[part])
                for part in parts & self._success_at_by_part.keys()
            },
            {
                part: (probe.number, _age_rounded_up(now, probe.at))
                for part, probe in self._probes_by_part.items()
                if part in parts
            },
        )

    def merge(self, message: Message, now: float) -> None:
        """Add what a peer knows.

        Ages are rounded so that times do not drift while daemons tell them to
        each other: the time of a crash, of which the earliest counts, to a
        later one, all others to an earlier one.
        """
        for process, told in message.crashes_by_process.items():
            crash = Crash(
                now - told.age * AGE_UNIT_SECONDS,
                now - told.kept_age,
                frozenset((*told.suspects, *told.cleared)),
                frozenset(told.cleared),
                told.is_probe,
            )
            if now - crash.kept_at <= RETENTION_SECONDS and all(
                len(part) <= MAX_PART_CHARACTERS for part in crash.suspects
            ):
                self._add(process, crash)
        for part, age in message.success_ages_by_part.items():
            at = now - age * AGE_UNIT_SECONDS
            if part in self._suspects and at > self._success_at_by_part.get(
                part, float('-inf')
            ):
                self._record_success(part, at)
        for part, (number, age) in message.probes_by_part.items():
            known = self._probes_by_part.get(part, Probe(0, 0.0))
            if part in self._suspects and number > known.number:
                self._set_probe(
                    part, Probe(number, now - age * AGE_UNIT_SECONDS)
                )

    def _add(self, process: str, crash: Crash) -> None:
        """Add a crash, or what a daemon knows of one."""
        known = self.crashes_by_process.get(process, crash)
        suspects = known.suspects | crash.suspects
        at = min(known.at, crash.at)
        cleared = known.cleared | crash.cleared
        cleared |= {
            part
            for part in suspects
            if self._success_at_by_part.get(part, float('-inf')) > at
        }
        if len(suspects) > MAX_SUSPECTS:
            # The same ones on all daemons, but others at each crash.
            kept = sorted(
                suspects,
                key=lambda part: (
                    part in cleared,
                    xxhash.xxh64_intdigest(f'{process} {part}'.encode()),
                ),
            )
            suspects = frozenset(kept[:MAX_SUSPECTS])
        merged = Crash(
            at,
            max(known.kept_at, crash.kept_at),
            suspects,
            cleared & suspects,
            known.is_probe or crash.is_probe,
        )
        if self.crashes_by_process.get(process) == merged:
            return
        if (
            process not in self.crashes_by_process
            and len(self.crashes_by_process) >= MAX_CRASHES
        ):
            # One that convicts a part goes only if all do.
            least = min(
                self.crashes_by_process,
                key=lambda each: (
                    self._convicts(each),
                    self.crashes_by_process[each].kept_at,
                ),
            )
            del self.crashes_by_process[least]
        self.crashes_by_process[process] = merged
        self._on_changed()

    def _record_success(self, part: str, at: float) -> None:
        is_first = part not in self._success_at_by_part
        self._success_at_by_part[part] = at
        self._success_at_by_part.move_to_end(part)
        if len(self._success_at_by_part) > MAX_SUCCESSES:
            self._success_at_by_part.popitem(last=False)
        if part not in self._suspects:
            return
        is_cleared = False
        for process, crash in self.crashes_by_process.items():
            if (
                part in crash.suspects
                and part not in crash.cleared
                and at > crash.at
            ):
                self.crashes_by_process[process] = crash._replace(
                    cleared=crash.cleared | {part}
                )
                is_cleared = True
        if is_first or is_cleared:
            self._on_changed()

    def _set_probe(self, part: str, probe: Probe) -> None:
        self._probes_by_part.pop(part, None)
        self._probes_by_part[part] = probe
        if len(self._probes_by_part) > MAX_PROBED_PARTS:
            del self._probes_by_part[next(iter(self._probes_by_part))]
        self._convictions = None
        self._digest = None

    def _on_changed(self) -> None:
        self._suspects = frozenset().union(
            *(crash.suspects for crash in self.crashes_by_process.values())
        )
        self._convictions = None
        self._digest = None

    def _convict(self) -> dict[str, Conviction]:
        processes_by_part: dict[str, set[str]] = {}
        for process, crash in self.crashes_by_process.items():
            for part in crash.suspects - crash.cleared:
                processes_by_part.setdefault(part, set()).add(process)
        convictions: dict[str, Conviction] = {}
        for is_proven in (False, True):
            unexplained = {
                part: processes
                for part, processes in processes_by_part.items()
                if self.has_success(part) == is_proven
            }
            least = (
                PROVEN_CONVICTION_TIMES if is_proven else CONVICTION_CRASHES
            )
            while True:
                weights = {
                    part: self._count_times(processes)
                    if is_proven
                    else len(processes)
                    for part, processes in unexplained.items()
                }
                most = max(weights.values(), default=0)
                if most < least:
                    break
                culprits = [p for p, n in weights.items() if n == most]
                explained: set[str] = set()
                for part in culprits:
                    is_whole = poison.is_whole_request(part)
                    alike = [
                        each
                        for each in culprits
                        if poison.is_whole_request(each) == is_whole
                    ]
                    convictions[part] = self._conviction(
                        part, unexplained[part], is_proven, len(alike) > 1
                    )
                    explained |= unexplained[part]
                for processes in processes_by_part.values():
                    processes -= explained
        return convictions

    def _conviction(
        self, part: str, processes: set[str], is_proven: bool, is_tied: bool
    ) -> Conviction:
        crashes = [self.crashes_by_process[process] for process in processes]
        # A crash does not tell which of its suspects were probed.
        probes = self._probes_by_part.get(part, Probe(0, 0.0)).number
        return Conviction(
            len(crashes),
            self._count_times(processes),
            max(crash.at for crash in crashes),
            is_proven,
            is_tied,
            min(sum(crash.is_probe for crash in crashes), probes),
        )

    def _convicts(self, process: str) -> bool:
        """Return whether a convicted part is a suspect of a crash."""
        return not self.crashes_by_process[process].suspects.isdisjoint(
            self.convictions()
        )

    def _count_times(self, processes: set[str]) -> int:
        """Return at how many different times processes crashed."""
        count = 0
        last = float('-inf')
        for at in sorted(self.crashes_by_process[p].at for p in processes):
            if at - last >= SAME_TIME_SECONDS:
                count += 1
                last = at
        return count


def _age_rounded_up(now: float, at: float) -> int:
    """Return an age that allows for a unit of time until it arrives."""
    return math.ceil((now - at) / AGE_UNIT_SECONDS) + 1
