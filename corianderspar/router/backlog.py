"""The jobs that wait for engines, in the order of the queue policy."""

import collections
from collections.abc import Callable

from corianderspar.router import jobs
from corianderspar.router import queue_policy
from corianderspar.router import return_times


def needs_as_much(job: jobs.Job, failed: jobs.Job) -> bool:
    """Return whether a job needs no less than one that found no room."""
    return (
        job.prompt_tokens >= failed.prompt_tokens
        and job.output_tokens >= failed.output_tokens
        and set(failed.excluded) <= set(job.excluded)
        and set(failed.excluded_data_centres) <= set(job.excluded_data_centres)
        and failed.version in (None, job.version)
    )


class Backlog:
    """Jobs of one service that wait.

    Parameters
    ----------
    time_to_first_event : callable
        Returns the seconds from the placement of a job to its first event.
    served : mapping
        Tokens in service, by rank and client account.

    Attributes
    ----------
    decode_versions : frozenset of str
        Software versions of the decode engines.
    """

    def __init__(
        self,
        time_to_first_event: Callable[[jobs.Job], float],
        served: queue_policy.Served,
    ) -> None:
        self.decode_versions: frozenset[str] = frozenset()
        self._time_to_first_event = time_to_first_event
        self._jobs_by_id: dict[str, jobs.Job] = {}
        self._entries_by_id: dict[str, queue_policy.Entry] = {}
        self._served = served
        self._return_times = return_times.ReturnTimes()
        self._counts: collections.Counter[int] = collections.Counter()
        self._overtaken: set[str] = set()

    def __len__(self) -> int:
        return len(self._jobs_by_id)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs_by_id

    def add(self, job: jobs.Job) -> None:
        """Let a job wait."""
        self.remove(job.job_id)
        self._jobs_by_id[job.job_id] = job
        self._entries_by_id[job.job_id] = self._new_entry(job)
        self._counts[job.priority] += 1

    def remove(self, job_id: str) -> None:
        """Remove a job if it waits."""
        job = self._jobs_by_id.pop(job_id, None)
        if job is None:
            return
        del self._entries_by_id[job_id]
        self._counts[job.priority] -= 1
        if not self._counts[job.priority]:
            del self._counts[job.priority]
        self._overtaken.discard(job_id)

    def remove_owner(self, owner: str) -> None:
        """Remove all jobs of an incarnation that has ended."""
        for job in list(self._jobs_by_id.values()):
            if job.owner == owner:
                self.remove(job.job_id)

    def shortest_prompt(self) -> int:
        """Return the length of the shortest prompt that waits."""
        return min(
            (job.prompt_tokens for job in self._jobs_by_id.values()), default=0
        )

    def count_by_rank(self) -> collections.Counter[int]:
        """Return the number of jobs that wait, by rank."""
        return self._counts.copy()

    def has_other_rank(self, job: jobs.Job) -> bool:
        """Return whether a job of another rank waits."""
        return any(rank != job.priority for rank in self._counts)

    def misses_deadline(self, job: jobs.Job, now: float) -> bool:
        """Return whether the caller gives up before the first event."""
        return now > self._entry(job).latest_start

    def is_preceded(self, job: jobs.Job) -> bool:
        """Return whether a job that waits goes before a new one."""
        return any(
            self._jobs_by_id[job_id].priority <= job.priority
            for job_id in self._overtaken
        ) or queue_policy.is_preceded(
            self._entry(job), self._competing_entries(job), self._served
        )

    def requests_ahead(self, job: jobs.Job) -> int:
        """Return the number of jobs that are placed before a job."""
        return self._ahead(job).requests

    def must_refuse(
        self,
        job: jobs.Job,
        supply: queue_policy.Supply,
        min_wait: float,
        now: float,
    ) -> bool:
        """Return whether a job that cannot be placed now may not wait.

        Parameters
        ----------
        job : Job
            A new job.
        supply : Supply
            Memory that engines free.
        min_wait : float
            Seconds until engines that are all limited get the job.
        now : float
            Seconds on the scheduler's clock.
        """
        if job.has_partial_answer:
            return False
        entry = self._entry(job)
        if now + min_wait > entry.latest_start:
            return True
        ordered = queue_policy.order(
            self._competing_entries(job), self._served
        )
        return queue_policy.must_refuse(
            entry, ordered, self._served, supply, now
        )

    def refuse(
        self,
        job: jobs.Job,
        supply: queue_policy.Supply,
        min_wait: float,
        now: float,
        reason: str,
    ) -> jobs.Refusal:
        """Return the refusal of a job for which there is no room.

        The parameters are as in `must_refuse`.
        """
        self.remove(job.job_id)
        wait = supply.wait(self._ahead(job).tokens + job.kv_tokens)
        retry_after = self._return_times.next(
            job.priority,
            max(wait, min_wait),
            job.kv_tokens / supply.rate,
            job.return_within,
            now,
        )
        return jobs.Refusal(retry_after, reason)

    def ordered(self) -> list[jobs.Job]:
        """Return the jobs in order, first those that need a version."""
        ordered: list[queue_policy.Entry] = []
        for needs_any in (False, True):
            entries = [
                self._entry(job)
                for job in self._jobs_by_id.values()
                if (self.required_version(job) is None) is needs_any
            ]
            ordered += queue_policy.order(entries, self._served)
        waiting = [self._jobs_by_id[entry.entry_id] for entry in ordered]
        if self._overtaken:
            # Else smaller jobs would take an engine before it is free enough.
            waiting.sort(key=lambda job: job.job_id not in self._overtaken)
        return waiting

    def lost(
        self,
        ordered: list[jobs.Job],
        supply: Callable[[jobs.Job, float], queue_policy.Supply],
        now: float,
    ) -> set[str]:
        """Return the identifiers of jobs that can't be served in time.

        Parameters
        ----------
        ordered : list of Job
            As returned by `ordered`.
        supply : callable
            Returns what engines free for a job.
        now : float
            Seconds on the scheduler's clock.
        """
        by_version: dict[str | None, list[jobs.Job]] = {}
        for job in ordered:
            by_version.setdefault(self.required_version(job), []).append(job)
        lost: set[str] = set()
        for waiting in by_version.values():
            lost |= queue_policy.lost_entries(
                [self._entry(job) for job in waiting],
                supply(waiting[0], now),
                now,
            )
        return lost - {job.job_id for job in ordered if job.has_partial_answer}

    def note_overtaken(self, overtaken: list[jobs.Job]) -> None:
        """Let jobs go first that a job of a lower rank overtook."""
        self._overtaken.update(
            job.job_id for job in overtaken if job.job_id in self._jobs_by_id
        )

    def competes(self, job: jobs.Job, other: jobs.Job) -> bool:
        """Return whether two jobs of the backlog wait for the same engines.

        Engines of a version that a job requires are kept for it, so it does
        not wait for jobs that any engine may run, nor do these wait for it.
        """
        return self.required_version(job) == self.required_version(other)

    def all_required_versions(self) -> set[str]:
        """Return the versions that the jobs that wait require."""
        required = map(self.required_version, self._jobs_by_id.values())
        return {version for version in required if version is not None}

    def required_version(self, job: jobs.Job) -> str | None:
        """Return the version of engine that a job waits for.

        Returns
        -------
        str or None
            None if any engine will do, as while all are of its version.
        """
        if self.decode_versions == {job.version}:
            return None
        return job.version

    def _entry(self, job: jobs.Job) -> queue_policy.Entry:
        known = self._entries_by_id.get(job.job_id)
        return self._new_entry(job) if known is None else known

    def _new_entry(self, job: jobs.Job) -> queue_policy.Entry:
        return queue_policy.Entry(
            job.job_id,
            job.priority,
            job.account,
            job.weight,
            job.kv_tokens,
            job.deadline - self._time_to_first_event(job),
        )

    def _ahead(self, job: jobs.Job) -> queue_policy.Ahead:
        return queue_policy.ahead(
            self._entry(job), self._competing_entries(job), self._served
        )

    def _competing_entries(self, job: jobs.Job) -> list[queue_policy.Entry]:
        """Return what waits for the same engines as a job."""
        required = self.required_version(job)
        return [
            self._entries_by_id[other.job_id]
            for other in self._jobs_by_id.values()
            if self.required_version(other) == required
        ]


class Unplaced:
    """The jobs that found no room since engines last freed some.

    Parameters
    ----------
    backlog : Backlog
        The jobs that wait.
    reserve_for_all : bool
        Whether the versions that any job requires are reserved, and not only
        those that the unplaced jobs require.

    Attributes
    ----------
    reserved_versions : set of str
        Versions whose engines only jobs that need them get.
    """

    def __init__(
        self, backlog: Backlog, *, reserve_for_all: bool = False
    ) -> None:
        self.reserved_versions: set[str] = set()
        if reserve_for_all:
            self.reserved_versions = backlog.all_required_versions()
        self._backlog = backlog
        self._tried: list[jobs.Job] = []

    def add(self, job: jobs.Job) -> None:
        """Add a job that found no room."""
        version = self._backlog.required_version(job)
        self._tried.append(job)
        if version is not None:
            self.reserved_versions.add(version)

    def preceding(self, job: jobs.Job) -> list[jobs.Job]:
        """Return the jobs for which engines are kept free of a job.

        While all jobs have one rank, there are none.
        """
        return [
            other
            for other in self._tried
            if other.priority <= job.priority
            and other.job_id in self._backlog
            and self._backlog.has_other_rank(job)
            and self._backlog.competes(other, job)
        ]

    def is_blocked(self, job: jobs.Job) -> bool:
        """Return whether a job needs no less than one that found no room."""
        return any(
            other.priority <= job.priority
            and other.job_id in self._backlog
            and needs_as_much(job, other)
            for other in self._tried
        )
