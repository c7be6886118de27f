"""The users' platform: its names, formats and calls. Decides nothing."""

from corianderspar.platform.callers import HttpCallers
from corianderspar.platform.engines import HttpEngines
from corianderspar.platform.settings import load
from corianderspar.platform.store import HttpStore

__all__ = ['HttpCallers', 'HttpEngines', 'HttpStore', 'load']
