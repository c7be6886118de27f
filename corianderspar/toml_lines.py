"""Finds the line of a TOML file on which a key path stands."""

import re

_HEADER = re.compile(r'^\s*\[+\s*([^\]]+?)\s*\]+')
_KEY = re.compile(r'^\s*([A-Za-z0-9_."\'-]+)\s*=')


def lines_by_path(text: str) -> dict[str, int]:
    r"""Return the line of each table and key, by dotted key path.

    Keys inside of inline tables have the line of their table.

    Examples
    --------
    >>> lines_by_path('version = 1\n[a.b]\nrate = 2')
    {'version': 1, 'a.b': 2, 'a.b.rate': 3}
    """
    found: dict[str, int] = {}
    table = ''
    for number, content in enumerate(text.splitlines(), 1):
        header = _HEADER.match(content)
        if header:
            table = _plain(header.group(1))
            found.setdefault(table, number)
            continue
        key = _KEY.match(content)
        if key:
            path = _plain(key.group(1))
            found.setdefault(f'{table}.{path}' if table else path, number)
    return found


def line_of(found: dict[str, int], path: str) -> int:
    """Return the line of a path, or of the nearest table around it.

    Examples
    --------
    >>> line_of({'a.b': 2}, 'a.b.missing')
    2
    """
    while path:
        if path in found:
            return found[path]
        path = path.rpartition('.')[0]
    return 1


def _plain(path: str) -> str:
    return path.replace('"', '').replace("'", '').replace(' ', '')
