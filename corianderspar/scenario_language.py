"""The language of scenarios: its grammar, and scripts read into steps."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import re
from typing import Any
from typing import Literal
from typing import NamedTuple

import lark

from corianderspar import problems

Kind = Literal['account', 'call', 'key', 'load', 'place', 'upstream', 'vm']
KINDS: tuple[Kind, ...] = (
    'account',
    'call',
    'key',
    'load',
    'place',
    'upstream',
    'vm',
)

TERMINALS = r"""
NAME: /[a-z][a-z0-9_.-]*/
PATH: /\/[A-Za-z0-9\/_.~-]*/
SECONDS: /\d+(\.\d+)?s/
NUMBER: /\d+(\.\d+)?/
COMPARE: "==" | "<=" | ">=" | "<" | ">"
TEXT: /"[^"]*"/
UNREPEATABLE: "unrepeatable"
OPEN: "open"
ROLE: "prefill" | "decode"
FORM: "whole" | "stream"
COMMENT: /#.*/
%ignore COMMENT
%ignore /[ \t]+/
"""


class Use(NamedTuple):
    """A name that an earlier step must have made."""

    kind: str
    name: str


class Definition(NamedTuple):
    """A name that a step makes."""

    kind: str
    name: str


class Step(NamedTuple):
    """One kind of step: how it is written and what it does.

    Attributes
    ----------
    syntax : str
        Right side of its grammar rule; each of `KINDS` stands for the use
        of a name, ``new_`` before it for its definition.
    run : callable
        Gets the world and the values in the syntax, in their order; None
        for those left out. An expectation returns what it saw instead of
        what it expected, or an empty text.
    """

    syntax: str
    run: Callable[..., Awaitable[str | None]]

    @property
    def written(self) -> str:
        """The syntax as the page that teaches the language shows it.

        Examples
        --------
        >>> Step('"kill" vm', None).written
        'kill VM'
        """
        marks = re.findall(r'"\w+"|"."|[\w\[\]]+|\s', self.syntax)
        return ''.join(
            mark.strip('"')
            if mark.startswith('"')
            else mark.replace('new_', '').upper()
            for mark in marks
        )


class Statement(NamedTuple):
    """A line of a script.

    Attributes
    ----------
    line : int
        Its number, from 1.
    text : str
        As written.
    step : Step
        What it does.
    values : tuple
        For `Step.run`.
    """

    line: int
    text: str
    step: Step
    values: tuple[Any, ...]


class Language:
    """A grammar made of a table of steps.

    Parameters
    ----------
    steps : iterable of Step
        All that a script may use.
    """

    def __init__(self, steps: Iterable[Step]) -> None:
        self._steps_by_rule = {
            f'step_{number}': step for number, step in enumerate(steps)
        }
        self._parser = lark.Lark(
            self.grammar(), parser='lalr', maybe_placeholders=True
        )
        self._values = _Values()

    def grammar(self) -> str:
        """Return the grammar in lark's form."""
        rules = [f'start: {" | ".join(self._steps_by_rule)}']
        for rule, step in self._steps_by_rule.items():
            rules.append(f'{rule}: {step.syntax}')
        for kind in KINDS:
            rules.append(f'{kind}: NAME')
            rules.append(f'new_{kind}: NAME')
            rules.append(f'{kind}s: {kind}+')
            rules.append(f'new_{kind}s: new_{kind}+')
        rules.append('words: NAME+')
        return '\n'.join(rules) + TERMINALS

    def read(
        self, text: str
    ) -> tuple[list[Statement], list[problems.Finding]]:
        """Read a script.

        Parameters
        ----------
        text : str
            One step a line; ``#`` begins a comment.

        Returns
        -------
        tuple
            The statements that could be read, and findings on all others
            and on names that no earlier step made.
        """
        statements = []
        findings = []
        for line, content in enumerate(text.splitlines(), 1):
            if not content.partition('#')[0].strip():
                continue
            try:
                statements.append(self._read_line(line, content))
            except lark.UnexpectedInput as error:
                findings.append(_finding(line, content, error))
        findings.extend(_unknown_names(statements))
        return statements, sorted(findings, key=_line_of)

    def _read_line(self, line: int, content: str) -> Statement:
        tree = self._values.transform(self._parser.parse(content))
        (rule,) = tree.children
        step = self._steps_by_rule[str(rule.data)]
        return Statement(line, content.strip(), step, tuple(rule.children))


class _Values(lark.Transformer):  # type: ignore[type-arg]
    """Turns terminals and names into typed values."""

    def __default__(self, data: Any, children: Any, meta: Any) -> Any:
        name = str(data)
        if name in KINDS:
            return Use(name, str(children[0]))
        if name.removeprefix('new_') in KINDS:
            return Definition(name.removeprefix('new_'), str(children[0]))
        if name == 'words':
            return tuple(str(child) for child in children)
        if name.endswith('s') and name.removeprefix('new_')[:-1] in KINDS:
            return tuple(children)
        return lark.Tree(data, children, meta)

    def __default_token__(self, token: lark.Token) -> Any:
        if token.type == 'SECONDS':
            return float(token[:-1])
        if token.type == 'NUMBER':
            return float(token)
        if token.type == 'TEXT':
            return str(token)[1:-1]
        return str(token)


def _finding(
    line: int, content: str, error: lark.UnexpectedInput
) -> problems.Finding:
    expected = sorted(
        getattr(error, 'accepts', None)
        or getattr(error, 'expected', None)
        or getattr(error, 'allowed', None)
        or ()
    )
    column = getattr(error, 'column', 1)
    seen = content.strip() if column in (-1, None) else content[column - 1 :]
    return problems.Finding(
        f'line {line}',
        seen.strip() or 'end of line',
        'one of ' + ', '.join(expected) if expected else 'a step',
    )


def _unknown_names(
    statements: Iterable[Statement],
) -> Iterable[problems.Finding]:
    names_by_kind: dict[str, list[str]] = {kind: [] for kind in KINDS}
    for statement in statements:
        for value in _flat(statement.values):
            if isinstance(value, Definition):
                names_by_kind[value.kind].append(value.name)
            if not isinstance(value, Use):
                continue
            known = names_by_kind[value.kind]
            if value.name not in known:
                yield problems.Finding(
                    f'line {statement.line}',
                    value.name,
                    f'a {value.kind} named before: {", ".join(known)}',
                )


def _flat(values: Iterable[Any]) -> Iterable[Any]:
    for value in values:
        plain = isinstance(value, tuple) and not isinstance(
            value, Use | Definition
        )
        if plain:
            yield from value
        else:
            yield value


def _line_of(finding: problems.Finding) -> int:
    return int(finding.place.removeprefix('line '))
