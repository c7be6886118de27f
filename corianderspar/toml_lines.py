"""Line numbers of the tables and keys of a TOML file."""

import re

_HEADER = re.compile(r'^\s*\[+\s*([^\]]+?)\s*\]+')
_KEY = re.compile(r'^\s*([A-Za-z0-9_."\'-]+)\s*=')


def lines_by_path(text: str) -> dict[str, int]:
    r"""Return the line number of each table and key by dotted key path.

    Keys inside an inline table are not listed; `line_of` returns the line
    of the inline table for them.

    Examples
    --------
    >>> lines_by_path('version = 1\n[a.b]\nrate = 2')
    {'version': 1, 'a.b': 2, 'a.b.rate': 3}
    """
    line_numbers: dict[str, int] = {}
    table = ''
    for number, line in enumerate(text.splitlines(), 1):
        header = _HEADER.match(line)
        if header:
            table = _normalize_path(header.group(1))
            line_numbers.setdefault(table, number)
            continue
        key = _KEY.match(line)
        if key:
            path = _normalize_path(key.group(1))
            line_numbers.setdefault(
                f'{table}.{path}' if table else path, number
            )
    return line_numbers


def line_of(line_numbers: dict[str, int], path: str) -> int:
    """Return the line number of a path or of its nearest listed parent.

    The result is 1 if neither the path nor a parent is listed.

    Examples
    --------
    >>> line_of({'a.b': 2}, 'a.b.missing')
    2
    """
    while path:
        if path in line_numbers:
            return line_numbers[path]
        path = path.rpartition('.')[0]
    return 1


def _normalize_path(path: str) -> str:
    return path.replace('"', '').replace("'", '').replace(' ', '')
