"""Decoding of JSON of which parts can't be read.

Decoders reject a document as a whole for one invalid character, a number such
as NaN, or a part that is nested too deep. Here a document is first cut into
its parts by a scan for strings and brackets, and each part is decoded by
itself. This is much slower, so it is for documents that were rejected.
"""

from collections.abc import Iterator
import json
import re
import typing
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import msgspec

from corianderspar import decoding

MAX_UNREADABLE = 10_000  # elements of an array
MAX_REASON_CHARACTERS = 200

# The repeats are possessive, so that long strings take no memory. The last
# alternative finds the beginning of a string that has no end.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_TOKEN = re.compile(
    _STRING + rb'|([\[{])|([\]}])|(,)|(")',
    re.DOTALL,
)
_OPENING, _CLOSING, _COMMA, _UNENDED = range(1, 5)  # groups of a token
_MEMBER = re.compile(rb'\s*+(%s)\s*+:\s*+' % _STRING, re.DOTALL)

StructT = TypeVar('StructT', bound=msgspec.Struct)


class Partial(NamedTuple):
    """What can be read of an object.

    Attributes
    ----------
    values_by_field : dict of str to object
        Fields that are present and can be read.
    raw_by_field : dict of str to bytes
        All fields that are present, as encoded.
    reason : str
        Why the object is incomplete.
    """

    values_by_field: dict[str, Any]
    raw_by_field: dict[str, bytes]
    reason: str


def split_array(data: bytes) -> Iterator[bytes]:
    """Yield the elements of an array, as encoded.

    Raises
    ------
    ValueError
        If the data are no array, or strings or brackets have no end.
    """
    return _split(data, b'[', b']')


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the values of an object by name, as encoded.

    Members whose name can't be read are left out.

    Raises
    ------
    ValueError
        If the data are no object, or strings or brackets have no end.
    """
    raw_by_name = {}
    for member in _split(data, b'{', b'}'):
        match = _MEMBER.match(member)
        if match is None:
            raise ValueError('member of an object without a name')
        try:
            name = msgspec.json.decode(match[1], type=str)
        except decoding.ERRORS:
            continue
        raw_by_name[name] = member[match.end() :].strip()
    return raw_by_name


def decode_struct(data: bytes, struct_type: type[StructT]) -> StructT:
    """Decode a struct; unreadable elements of its arrays become `Partial`.

    Members of objects that are no fields of their struct are not read.

    Raises
    ------
    ValueError
        If a field is missing or can't be read, or more than
        `MAX_UNREADABLE` elements of an array can't be read.
    """
    found = _decode_fields(data, struct_type)
    if isinstance(found, Partial):
        raise ValueError(found.reason)
    return found


def decode_text(data: bytes) -> str | None:
    """Return a string with its invalid parts; None if it is no string.

    Bytes that are not UTF-8 become surrogates, as by ``surrogateescape``.
    """
    try:
        text = json.loads(
            data.decode('utf-8', 'surrogateescape'), strict=False
        )
    except (ValueError, RecursionError):
        return None
    return text if isinstance(text, str) else None


def encode_text(text: str) -> bytes:
    """Return the bytes of a string that `decode_text` may have returned."""
    try:
        return text.encode('utf-8', 'surrogateescape')
    except UnicodeEncodeError:
        return text.encode('utf-8', 'surrogatepass')


def _decode_fields(
    data: bytes, struct_type: type[StructT]
) -> StructT | Partial:
    try:
        return msgspec.json.decode(data, type=struct_type)
    except decoding.ERRORS as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
    try:
        raw_by_name = split_object(data)
    except ValueError:
        return Partial({}, {}, reason)
    values: dict[str, Any] = {}
    raw_by_field: dict[str, bytes] = {}
    reasons = []
    for field in msgspec.structs.fields(struct_type):
        raw = raw_by_name.get(field.encode_name)
        if raw is None:
            if field.required:
                reasons.append(f'no {field.encode_name}')
            continue
        raw_by_field[field.name] = raw
        try:
            values[field.name] = _decode_value(raw, field.type)
        except decoding.ERRORS as error:
            reasons.append(f'{field.encode_name}: {error}')
    if not reasons:
        return struct_type(**values)
    reason = '; '.join(reasons)[:MAX_REASON_CHARACTERS]
    return Partial(values, raw_by_field, reason)


def _decode_value(data: bytes, value_type: Any) -> Any:
    if typing.get_origin(value_type) is list:
        (element_type,) = typing.get_args(value_type)
        if isinstance(element_type, type(msgspec.Struct)):
            return _decode_array(data, element_type)
    return msgspec.json.decode(data, type=value_type)


def _decode_array(
    data: bytes, struct_type: type[StructT]
) -> list[StructT | Partial]:
    found: list[StructT | Partial] = []
    unreadable = 0
    for element in split_array(data):
        decoded = _decode_fields(element, struct_type)
        if isinstance(decoded, Partial):
            unreadable += 1
            if unreadable > MAX_UNREADABLE:
                raise ValueError(f'{unreadable} unreadable elements')
        found.append(decoded)
    return found


def _split(data: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield what stands between the commas of an array or object."""
    depth = 0
    start = 0
    for match in _TOKEN.finditer(data):
        kind = match.lastindex
        if kind == _OPENING:
            if depth == 0:
                if match[0] != opening or data[: match.start()].strip():
                    break
                start = match.end()
            depth += 1
        elif kind == _CLOSING and depth:
            depth -= 1
            if depth > 0:
                continue
            if match[0] != closing or data[match.end() :].strip():
                break
            last = data[start : match.start()]
            if last.strip():
                yield last
            return
        elif kind == _COMMA and depth == 1:
            yield data[start : match.start()]
            start = match.end()
        elif kind == _UNENDED or depth == 0:
            break
    raise ValueError(
        f'no whole {opening.decode()}{closing.decode()} in {len(data)} bytes'
    )
