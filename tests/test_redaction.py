"""Tests of the removal of API keys and the normalisation of paths."""

import hypothesis
from hypothesis import strategies
import pytest

from corianderspar import keys
from corianderspar import paths
from corianderspar import redaction

KEY = 'csk_abcdefghijklmnop'
DETERMINISTIC = hypothesis.settings(
    derandomize=True, deadline=None, database=None
)


@pytest.mark.parametrize(
    ('headers', 'query', 'body'),
    [
        ((('Authorization', f'Bearer {KEY}'),), '', b''),
        ((('AUTHORIZATION', f'bearer  {KEY} '),), '', b''),
        ((('X-Api-Key', KEY),), '', b''),
        ((('X_Api_Key', KEY),), '', b''),
        ((('Cookie', f'a=1; api_key={KEY}; b=2'),), '', b''),
        ((), f'a=1&api_key={KEY}&b=2', b''),
        ((), f'%61pi_key={KEY.replace("c", "%63")}', b''),
        ((), '', b'{"api_key": "%s", "n": 1}' % KEY.encode()),
        ((), '', b'{"api_\\u006bey": "\\u0063%s"}' % KEY[1:].encode()),
        (
            (('Content-Type', 'application/x-www-form-urlencoded'),),
            '',
            b'a=1&api_key=%s' % KEY.encode(),
        ),
    ],
)
def test_key_is_removed(headers, query, body):
    result = redaction.redact(headers, '/x', query, body).ok
    assert result.key == KEY
    assert KEY not in str(result._replace(key=None))
    assert 'api_key' not in str(result._replace(key=None)).lower()


@pytest.mark.parametrize(
    ('headers', 'path', 'query', 'body', 'code'),
    [
        ((('X-Api-Key', KEY), ('x-api-key', KEY)), '/', '', b'', 'doubled'),
        ((('X-Api-Key', KEY), ('x_api_key', 'b')), '/', '', b'', 'doubled'),
        ((), '/', f'api_key={KEY}&api_key=b', b'', 'doubled'),
        ((), '/', '', b'{"api_key":"a","api_key":"b"}', 'doubled'),
        ((('X-Api-Key', KEY),), '/', 'api_key=b', b'', 'ambiguous'),
        ((('X-Api-Key', KEY), ('X-Log', KEY)), '/', '', b'', 'elsewhere'),
        ((('X-Api-Key', KEY),), f'/{KEY}', '', b'', 'elsewhere'),
        ((('X-Api-Key', KEY),), '/', f'q=%63{KEY[1:]}', b'', 'elsewhere'),
        (
            (('X-Api-Key', KEY),),
            '/',
            '',
            b'{"prompt": "\\u0063%s"}' % KEY[1:].encode(),
            'elsewhere',
        ),
    ],
)
def test_key_in_two_locations_is_refused(headers, path, query, body, code):
    problem = redaction.redact(headers, path, query, body).error
    assert problem.code == f'key_{code}'
    assert problem.ran == 'no'
    assert KEY not in str(problem)


def test_request_without_key_is_unchanged():
    headers = (('Accept', 'text/plain'), ('Cookie', 'a=1'))
    body = b'{"prompt": "the key of Szeged",  "n": 1.0}'
    result = redaction.redact(headers, '/x', 'a=1&b=&c', body).ok
    assert result == redaction.RedactedRequest(None, headers, 'a=1&b=&c', body)


def test_other_authorization_schemes_are_removed():
    headers = (('Authorization', 'Basic abc'), ('Proxy-Authorization', 'x'))
    result = redaction.redact(headers, '/x', '', b'').ok
    assert result.headers == ()
    assert result.key == ''


def test_key_is_masked_in_log_text():
    key = keys.new_key().key
    assert key not in redaction.mask_keys(f'got {key!r} from')


@pytest.mark.parametrize(
    ('raw', 'path'),
    [
        ('/shop/orders', '/shop/orders'),
        ('//shop///orders', '/shop/orders'),
        ('/shop/./orders/.', '/shop/orders/'),
        ('/%73hop/%2e/orders', '/shop/orders'),
        ('/a%c3%a9', '/a%C3%A9'),
        ('/', '/'),
        ('/./', '/'),
    ],
)
def test_path_is_normalised(raw, path):
    assert paths.normalise_path(raw).ok == path


@pytest.mark.parametrize(
    'raw',
    [
        '',
        'shop',
        '/open/../shop',
        '/open/%2e%2E/shop',
        '/open/.%2e/shop',
        '/open%2fshop',
        '/open%5Cshop',
        '/open\\shop',
        '/open;/shop',
        '/open%3b/shop',
        '/open%252e%252e/shop',
        '/open%00',
        '/open\r\nx',
        '/open?x',
        '/open#x',
        '/open%3fx',
        '/open%zz',
        '/open%2',
        '/ópen',
    ],
)
def test_ambiguous_path_is_refused(raw):
    assert paths.normalise_path(raw).error.code == 'path_refused'


@DETERMINISTIC
@hypothesis.given(strategies.text('/.%2eE5cfF;\\a~', max_size=12))
def test_normalisation_is_idempotent(raw):
    result = paths.normalise_path('/' + raw)
    if result.is_ok():
        assert paths.normalise_path(result.ok).ok == result.ok
        assert '//' not in result.ok
        assert not {'.', '..'} & set(result.ok.split('/'))
