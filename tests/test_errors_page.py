"""Checks that docs/ERRORS.md lists exactly the error codes of the source.

The codes are found as the first argument of the calls that make a problem.
"""

import ast
from pathlib import Path
import re

from corianderspar import plain_requests

ROOT = Path(__file__).parent.parent
PROBLEM_FUNCTIONS = {
    'Problem',
    'ticket_problem',
    '_problem',
    '_refuse',
    '_refusal',
    '_make_problem',
    'error',
    '_request_error',
}
CODE_PATTERN = re.compile(r'^[a-z]+(_[a-z]+)*$')


def codes_in(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
        first_argument = node.args[0]
        value = getattr(first_argument, 'value', None)
        if (
            name in PROBLEM_FUNCTIONS
            and isinstance(value, str)
            and CODE_PATTERN.match(value)
        ):
            yield value


def test_every_code_is_documented():
    documented = set(
        re.findall(
            r'^\| `([a-z_]+)`', (ROOT / 'docs/ERRORS.md').read_text(), re.M
        )
    )
    used = {f'upstream_{code}' for code in plain_requests.STATUSES_BY_CODE}
    for path in sorted((ROOT / 'corianderspar').rglob('*.py')):
        if not path.name.startswith('naive_'):
            used.update(codes_in(path))
    assert used - documented == set()
    assert documented - used == set()
