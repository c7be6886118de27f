"""Adapters to the platform: its protocol, store and settings file.

They translate only; all decisions are made in `corianderspar.router`.
"""

from corianderspar.platform.caller_format import HttpCallerFormat
from corianderspar.platform.settings import load
from corianderspar.platform.store_client import HttpStoreClient
from corianderspar.platform.upstream_calls import HttpUpstreamCalls

__all__ = ['HttpCallerFormat', 'HttpUpstreamCalls', 'HttpStoreClient', 'load']
