"""Runs scripted scenarios against several daemons on virtual time."""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from corianderspar import clock
from corianderspar import problems
from corianderspar import scenario_invariants
from corianderspar import scenario_language
from corianderspar import scenario_steps
from corianderspar import scenario_world
from corianderspar import timeline

SETTLE_SECONDS = 3.0

LANGUAGE = scenario_language.Language(scenario_steps.STEPS)


class Failure(NamedTuple):
    """An expectation that was not met.

    Attributes
    ----------
    line : int
        Of the script; 0 for what must hold in every scenario.
    expected, seen : str
        The step as written, and what was seen instead.
    """

    line: int
    expected: str
    seen: str

    def __str__(self) -> str:
        """Return the failure as one line."""
        return f'line {self.line}: {self.expected} (seen: {self.seen})'


class Report(NamedTuple):
    """What came of a script.

    Attributes
    ----------
    title, promise : str
        From its header.
    faults : tuple of str
        From its header.
    findings : list of Finding
        What is wrong with the script; if any, nothing was run.
    failures : list of Failure
        Expectations that were not met.
    events : list of Event
        The time line of all daemons, in causal order.
    """

    title: str
    promise: str
    faults: tuple[str, ...]
    findings: list[problems.Finding]
    failures: list[Failure]
    events: list[timeline.Event]

    @property
    def passed(self) -> bool:
        """Whether the script is right and all that it expects held."""
        return not self.findings and not self.failures

    def lines(self) -> Iterator[str]:
        """Return the report as lines of text."""
        verdict = 'passed' if self.passed else 'FAILED'
        yield f'scenario={self.title!r} promise={self.promise} {verdict}'
        yield from map(str, self.findings)
        yield from map(str, self.failures)


def run(text: str, seed: int = 1) -> Report:
    """Run a script.

    Parameters
    ----------
    text : str
        One step a line.
    seed : int
        Of all randomness.

    Returns
    -------
    Report
        The same for the same text and seed.

    Examples
    --------
    >>> print(run('wait 5').findings[0])
    line 1: one of SECONDS (seen: 5)
    """
    statements, findings = LANGUAGE.read(text)
    if findings:
        return Report('', '', (), findings, [], [])
    return clock.run_virtual(_run(statements, seed))


def run_file(path: Path, seed: int = 1) -> Report:
    """Run the script in a file."""
    return run(path.read_text(), seed)


async def _run(
    statements: list[scenario_language.Statement], seed: int
) -> Report:
    world = scenario_world.World(seed)
    failures = []
    try:
        for statement in statements:
            try:
                seen = await statement.step.run(world, *statement.values)
            except (LookupError, ValueError) as error:
                seen = f'{type(error).__name__}: {error}'
            if seen:
                failures.append(Failure(statement.line, statement.text, seen))
        await world.until(world.quiet, SETTLE_SECONDS)
        failures.extend(
            Failure(0, *broken) for broken in scenario_invariants.broken(world)
        )
    finally:
        await world.close()
    return Report(
        world.title,
        world.promise,
        world.faults,
        [],
        failures,
        timeline.merge(world.rings),
    )
