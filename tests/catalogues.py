"""Builders of valid and invalid catalogues for tests."""

from corianderspar import catalogue

DIGEST = 'sha256:' + '0' * 64


def document(version=1, account_count=3):
    names = [f'account{number}' for number in range(account_count)]
    return {
        'version': version,
        'entries_by_name': {
            'shop': {
                'owner': 'orders@shop',
                'service_class': 'guarded',
                'routes_by_name': {
                    'order': {
                        'path': '/shop/order',
                        'kind': 'plain',
                        'target': 'shop',
                        'repeatable': False,
                    }
                },
            }
        },
        'accounts_by_name': {
            name: {
                'rate': 100.0,
                'burst': 500.0,
                'shares_by_data_centre': {'szeged': 0.5, 'baja': 0.5},
                'digests': [f'sha256:{number:064x}'],
            }
            for number, name in enumerate(names)
        },
        'upstreams_by_name': {
            'shop1': {
                'data_centre': 'szeged',
                'address': '10.0.0.1:80',
                'kind': 'plain',
                'pool': 'shop',
            },
            'shop2': {
                'data_centre': 'baja',
                'address': '10.0.0.2:80',
                'kind': 'plain',
                'pool': 'shop',
            },
        },
    }


def valid(version=1, account_count=3):
    return catalogue.parse(document(version, account_count)).ok


def invalid(version=1):
    """Return a catalogue with an account whose shares sum to more than 1."""
    base = valid(version)
    account = base.accounts_by_name['account0']._replace(
        shares_by_data_centre={'szeged': 0.8, 'baja': 0.8}
    )
    accounts_by_name = {**base.accounts_by_name, 'account0': account}
    return base._replace(accounts_by_name=accounts_by_name)
