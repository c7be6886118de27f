import json

from hypothesis import given
from hypothesis import strategies
import pytest

from corianderspar import lenient_json

DOCUMENTS = strategies.recursive(
    strategies.none() | strategies.floats() | strategies.text(),
    lambda parts: (
        strategies.lists(parts)
        | strategies.dictionaries(strategies.text(), parts)
    ),
)


@given(strategies.lists(DOCUMENTS), strategies.booleans())
def test_elements_are_those_that_were_encoded(elements, has_spaces):
    separators = (' ,\n', ' : ') if has_spaces else (',', ':')
    data = json.dumps(elements, separators=separators).encode()
    found = [json.loads(part) for part in lenient_json.split_array(data)]
    assert repr(found) == repr(elements)


@pytest.mark.parametrize(
    'data', [b'', b']', b'[', b'[1', b'["]', b'{}', b'1', b'x[]', b'[][]']
)
def test_data_that_are_no_array_are_not_taken_for_an_empty_one(data):
    with pytest.raises(ValueError, match='no whole|without an end'):
        list(lenient_json.split_array(data))
