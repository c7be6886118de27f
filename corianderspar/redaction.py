"""Takes the caller's key out of everything that goes on or is logged."""

import json
import re
from typing import Any
from typing import NamedTuple
import urllib.parse

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import keys
from corianderspar import paths
from corianderspar import problems

__all__ = ('RedactedRequest', 'normalise_path', 'redact', 'mask_keys')

KEY_HEADERS = ('authorization', 'x-api-key', 'api-key')
DROPPED_HEADERS = (*KEY_HEADERS, 'proxy-authorization')
KEY_FIELDS = ('api_key', 'api-key', 'apikey', 'x-api-key', 'x_api_key')
MASK = '[key]'

Headers = tuple[tuple[str, str], ...]
normalise_path = paths.normalise_path

_KEY_TEXT = re.compile(re.escape(keys.KEY_PREFIX) + r'[A-Za-z0-9_-]{8,}')


class RedactedRequest(NamedTuple):
    """A request without its key.

    Attributes
    ----------
    key : str or None
        The one key that came with it.
    headers : tuple of (str, str)
        Without those that carried a key.
    query : str
        Without the fields that carried a key.
    body : bytes
        Without the fields that carried a key.
    """

    key: str | None
    headers: Headers
    query: str
    body: bytes


class _Found:
    """Keys found so far, by where they stood."""

    def __init__(self) -> None:
        self.values: list[str] = []
        self.places: list[str] = []

    def add(self, place: str, value: str) -> None:
        self.places.append(place)
        self.values.append(value)

    def doubled(self) -> bool:
        return len(set(self.places)) < len(self.places)

    def differing(self) -> bool:
        return len(set(self.values)) > 1


def redact(
    headers: Headers, path: str, query: str, body: bytes
) -> Result[RedactedRequest, problems.Problem]:
    """Take the key out of a request.

    The key may come in ``Authorization`` (scheme Bearer), ``X-Api-Key``, a
    query field, a cookie, or a field of a JSON object or form, each named
    as in `KEY_FIELDS`. All these go, also when they hold no valid key.

    Parameters
    ----------
    headers : tuple of (str, str)
        As they came, in order.
    path : str
        The path, normalised.
    query : str
        The query without its question mark.
    body : bytes
        The whole body.

    Returns
    -------
    Result
        A `RedactedRequest`, or one of the problems ``key_doubled`` (twice in
        one place), ``key_ambiguous`` (two different keys) and
        ``key_elsewhere`` (the key stands also where it can't be taken out).
    """
    found = _Found()
    clean_headers = _redact_headers(headers, found)
    clean_query = _redact_fields(query, found, 'query')
    clean_body = _redact_body(body, _content_type(headers), found)
    if found.doubled():
        return _refuse('key_doubled', 'a field for the key came twice')
    if found.differing():
        return _refuse('key_ambiguous', 'different keys came with it')
    key = found.values[0] if found.values else None
    if key:
        rest = (*clean_headers, ('', path), ('', clean_query))
        if _holds(rest, clean_body, key):
            return _refuse('key_elsewhere', 'the key stands in the request')
    return Ok(RedactedRequest(key, clean_headers, clean_query, clean_body))


def mask_keys(text: str) -> str:
    """Return a text for a log, with whatever looks like a key masked.

    Examples
    --------
    >>> mask_keys('sent csk_0123456789abcdef to')
    'sent [key] to'
    """
    return _KEY_TEXT.sub(MASK, text)


def _redact_headers(headers: Headers, found: _Found) -> Headers:
    kept = []
    for name, value in headers:
        # Some servers read an underscore as a hyphen.
        plain = name.strip().lower().replace('_', '-')
        if plain in KEY_HEADERS:
            key = _header_key(plain, value)
            if key is not None:
                found.add(plain, key)
        elif plain == 'cookie':
            rest = _redact_cookies(value, found)
            if rest:
                kept.append((name, rest))
        elif plain not in DROPPED_HEADERS:
            kept.append((name, value))
    return tuple(kept)


def _header_key(name: str, value: str) -> str | None:
    if name != 'authorization':
        return value.strip()
    scheme, _, rest = value.strip().partition(' ')
    return rest.strip() if scheme.lower() == 'bearer' else ''


def _redact_cookies(value: str, found: _Found) -> str:
    kept = []
    for part in value.split(';'):
        name, _, content = part.strip().partition('=')
        if name.strip().lower() in KEY_FIELDS:
            found.add('cookie', urllib.parse.unquote(content.strip(' "')))
        elif part.strip():
            kept.append(part.strip())
    return '; '.join(kept)


def _redact_fields(query: str, found: _Found, place: str) -> str:
    kept = []
    for part in query.split('&'):
        name, _, value = part.partition('=')
        if urllib.parse.unquote_plus(name).strip().lower() in KEY_FIELDS:
            found.add(place, urllib.parse.unquote_plus(value))
        else:
            kept.append(part)
    return '&'.join(kept)


def _content_type(headers: Headers) -> str:
    for name, value in headers:
        if name.strip().lower() == 'content-type':
            return value.partition(';')[0].strip().lower()
    return ''


def _redact_body(body: bytes, content_type: str, found: _Found) -> bytes:
    if content_type == 'application/x-www-form-urlencoded':
        text = body.decode('latin-1')
        return _redact_fields(text, found, 'body').encode('latin-1')
    pairs = _json_pairs(body)
    if pairs is None:
        return body
    kept: dict[str, Any] = {}
    taken = False
    for name, value in pairs:
        if name.strip().lower() in KEY_FIELDS:
            found.add('body', value if isinstance(value, str) else '')
            taken = True
        else:
            kept[name] = value
    if not taken:
        return body
    return json.dumps(kept, ensure_ascii=False).encode()


class _Pairs(list[tuple[str, Any]]):
    """The fields of a JSON object, doubled names kept."""


def _json_pairs(body: bytes) -> list[tuple[str, Any]] | None:
    # A name may be written with escapes, so the text alone can't tell.
    if b'key' not in body.lower() and b'\\u' not in body:
        return None
    if not body.lstrip(b'\xef\xbb\xbf \t\r\n').startswith(b'{'):
        return None
    try:
        whole = json.loads(body, object_pairs_hook=_Pairs)
    except (ValueError, RecursionError):
        return None
    return [(name, _plain(value)) for name, value in whole]


def _plain(value: Any) -> Any:
    if isinstance(value, _Pairs):
        return {name: _plain(inner) for name, inner in value}
    if isinstance(value, list):
        return [_plain(inner) for inner in value]
    return value


def _holds(texts: Headers, body: bytes, key: str) -> bool:
    for _, text in texts:
        if key in text or key in urllib.parse.unquote_plus(text):
            return True
    if key.encode('utf-8', 'surrogateescape') in body:
        return True
    if b'%' in body and key in urllib.parse.unquote_plus(
        body.decode('latin-1')
    ):
        return True
    if b'\\' not in body:
        return False
    try:
        plain = json.dumps(json.loads(body), ensure_ascii=False)
    except (ValueError, RecursionError):
        return False
    return key in plain


def _refuse(
    code: str, message: str
) -> Result[RedactedRequest, problems.Problem]:
    return Error(problems.Problem(code, 400, 'no', message))
