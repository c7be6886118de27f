"""Normalisation of request paths.

The router and its upstreams must read a path in the same way. Otherwise a
caller could reach a keyed route through the path of an open one.
"""

import re
import string

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import problems

_UNRESERVED = frozenset(string.ascii_letters + string.digits + '-._~')
_LITERAL = frozenset("!$&'()*+,=:@/") | _UNRESERVED
_PERCENT_ESCAPE = re.compile(r'%([0-9A-Fa-f]{2})?')
_SEPARATORS = frozenset('/\\;%?#')


def normalise_path(raw: str) -> Result[str, problems.Problem]:
    """Return the normalised path, which is matched and sent upstream.

    Percent escapes of unreserved characters (RFC 3986) are decoded; empty
    and ``.`` segments are removed. Whatever upstreams are known to interpret
    differently is refused: ``..``, ``;``, backslashes, escaped separators,
    double escapes, control characters and characters outside ASCII.

    Parameters
    ----------
    raw : str
        The path as received, without the query.

    Returns
    -------
    Result
        The normalised path, or the problem ``path_refused``.

    Examples
    --------
    >>> normalise_path('/shop//%2e/orders').ok
    '/shop/orders'
    >>> normalise_path('/open/..;/orders').error.code
    'path_refused'
    """
    if not raw.startswith('/'):
        return _refuse('it must begin with a slash')
    decoded = _decode(raw)
    if decoded is None:
        return _refuse('it holds a character or an escape not allowed')
    segments = decoded.split('/')
    if '..' in segments:
        return _refuse('it holds a parent segment')
    kept = [segment for segment in segments if segment not in ('', '.')]
    path = '/' + '/'.join(kept)
    if kept and segments[-1] in ('', '.'):
        path += '/'
    return Ok(path)


def _decode(raw: str) -> str | None:
    decoded = []
    position = 0
    while position < len(raw):
        char = raw[position]
        if char != '%':
            if char not in _LITERAL:
                return None
            decoded.append(char)
            position += 1
            continue
        escape = _PERCENT_ESCAPE.match(raw, position)
        if escape is None or escape[1] is None:
            return None
        code = int(escape[1], 16)
        if chr(code) in _SEPARATORS or code < 0x20 or code == 0x7F:
            return None
        is_unreserved = chr(code) in _UNRESERVED
        decoded.append(chr(code) if is_unreserved else f'%{code:02X}')
        position = escape.end()
    return ''.join(decoded)


def _refuse(reason: str) -> Result[str, problems.Problem]:
    return Error(
        problems.Problem('path_refused', 400, 'no', f'bad path: {reason}')
    )
