"""Removes the caller's API key from requests and log texts."""

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
KEY_MASK = '[key]'

Headers = tuple[tuple[str, str], ...]
normalise_path = paths.normalise_path

_KEY_PATTERN = re.compile(re.escape(keys.KEY_PREFIX) + r'[A-Za-z0-9_-]{8,}')


class RedactedRequest(NamedTuple):
    """A request from which the API key was removed.

    Attributes
    ----------
    key : str or None
        The key. Empty if a field for it holds no key; None if the request
        has no such field.
    headers : tuple of (str, str)
        Without those for credentials.
    query : str
        Without the fields for a key.
    body : bytes
        Without the fields for a key.
    """

    key: str | None
    headers: Headers
    query: str
    body: bytes


class _FoundKeys:
    """Keys found so far, and where each of them was found."""

    def __init__(self) -> None:
        self.values: list[str] = []
        self.locations: list[str] = []

    def add(self, location: str, value: str) -> None:
        self.locations.append(location)
        self.values.append(value)

    def has_duplicates(self) -> bool:
        return len(set(self.locations)) < len(self.locations)

    def has_different_keys(self) -> bool:
        return len(set(self.values)) > 1


def redact(
    headers: Headers, path: str, query: str, body: bytes
) -> Result[RedactedRequest, problems.Problem]:
    """Remove the API key from a request.

    The key may come in ``Authorization`` (scheme Bearer), ``X-Api-Key``, a
    query field, a cookie, or a field of a JSON object or form, each named
    as in `KEY_FIELDS`. All of these are removed, even if their value is not
    a valid key.

    Parameters
    ----------
    headers : tuple of (str, str)
        As received, in order.
    path : str
        The normalised path.
    query : str
        The query without its question mark.
    body : bytes
        The whole body.

    Returns
    -------
    Result
        A `RedactedRequest`, or one of the problems ``key_doubled`` (two keys
        in one location), ``key_ambiguous`` (different keys) and
        ``key_elsewhere`` (the key is also where it can't be removed).
    """
    found = _FoundKeys()
    redacted_headers = _redact_headers(headers, found)
    redacted_query = _redact_fields(query, found, 'query')
    redacted_body = _redact_body(body, _content_type(headers), found)
    if found.has_duplicates():
        return _refuse('key_doubled', 'a field for the key came twice')
    if found.has_different_keys():
        return _refuse('key_ambiguous', 'different keys came with it')
    key = found.values[0] if found.values else None
    if key:
        texts = (*redacted_headers, ('', path), ('', redacted_query))
        if _contains_key(texts, redacted_body, key):
            return _refuse('key_elsewhere', 'the key stands in the request')
    return Ok(
        RedactedRequest(key, redacted_headers, redacted_query, redacted_body)
    )


def mask_keys(text: str) -> str:
    """Return a text for a log, with everything that looks like a key masked.

    Examples
    --------
    >>> mask_keys('sent csk_0123456789abcdef to')
    'sent [key] to'
    """
    return _KEY_PATTERN.sub(KEY_MASK, text)


def _redact_headers(headers: Headers, found: _FoundKeys) -> Headers:
    kept = []
    for name, value in headers:
        # Some servers treat an underscore as a hyphen.
        canonical = name.strip().lower().replace('_', '-')
        if canonical in KEY_HEADERS:
            key = _header_key(canonical, value)
            if key is not None:
                found.add(canonical, key)
        elif canonical == 'cookie':
            cookies = _redact_cookies(value, found)
            if cookies:
                kept.append((name, cookies))
        elif canonical not in DROPPED_HEADERS:
            kept.append((name, value))
    return tuple(kept)


def _header_key(name: str, value: str) -> str | None:
    if name != 'authorization':
        return value.strip()
    scheme, _, credentials = value.strip().partition(' ')
    return credentials.strip() if scheme.lower() == 'bearer' else ''


def _redact_cookies(value: str, found: _FoundKeys) -> str:
    kept = []
    for part in value.split(';'):
        name, _, cookie = part.strip().partition('=')
        if name.strip().lower() in KEY_FIELDS:
            found.add('cookie', urllib.parse.unquote(cookie.strip(' "')))
        elif part.strip():
            kept.append(part.strip())
    return '; '.join(kept)


def _redact_fields(query: str, found: _FoundKeys, location: str) -> str:
    kept = []
    for part in query.split('&'):
        name, _, value = part.partition('=')
        if urllib.parse.unquote_plus(name).strip().lower() in KEY_FIELDS:
            found.add(location, urllib.parse.unquote_plus(value))
        else:
            kept.append(part)
    return '&'.join(kept)


def _content_type(headers: Headers) -> str:
    for name, value in headers:
        if name.strip().lower() == 'content-type':
            return value.partition(';')[0].strip().lower()
    return ''


def _redact_body(body: bytes, content_type: str, found: _FoundKeys) -> bytes:
    if content_type == 'application/x-www-form-urlencoded':
        text = body.decode('latin-1')
        return _redact_fields(text, found, 'body').encode('latin-1')
    fields = _parse_json_fields(body)
    if fields is None:
        return body
    kept: dict[str, Any] = {}
    has_key = False
    for name, value in fields:
        if name.strip().lower() in KEY_FIELDS:
            found.add('body', value if isinstance(value, str) else '')
            has_key = True
        else:
            kept[name] = value
    if not has_key:
        return body
    return json.dumps(kept, ensure_ascii=False).encode()


class _JsonFields(list[tuple[str, Any]]):
    """The fields of a JSON object, including duplicate names."""


def _parse_json_fields(body: bytes) -> list[tuple[str, Any]] | None:
    # Don't parse a body that can't have a field for a key. A body with \u
    # escapes may have one, because a name may be written with them.
    if b'key' not in body.lower() and b'\\u' not in body:
        return None
    if not body.lstrip(b'\xef\xbb\xbf \t\r\n').startswith(b'{'):
        return None
    try:
        document = json.loads(body, object_pairs_hook=_JsonFields)
    except (ValueError, RecursionError):
        return None
    return [(name, _to_json_value(value)) for name, value in document]


def _to_json_value(value: Any) -> Any:
    if isinstance(value, _JsonFields):
        return {name: _to_json_value(inner) for name, inner in value}
    if isinstance(value, list):
        return [_to_json_value(inner) for inner in value]
    return value


def _contains_key(texts: Headers, body: bytes, key: str) -> bool:
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
        unescaped = json.dumps(json.loads(body), ensure_ascii=False)
    except (ValueError, RecursionError):
        return False
    return key in unescaped


def _refuse(
    code: str, message: str
) -> Result[RedactedRequest, problems.Problem]:
    return Error(problems.Problem(code, 400, 'no', message))
