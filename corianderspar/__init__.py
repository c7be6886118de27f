"""Router for separate prefill and decode pools and plain services."""

from corianderspar.clock import run_virtual
from corianderspar.clock import SystemClock
from corianderspar.clock import VirtualClock
from corianderspar.kernel import Application
from corianderspar.kernel import Identity
from corianderspar.kernel import Incarnation

__all__ = [
    'Application',
    'Identity',
    'Incarnation',
    'SystemClock',
    'VirtualClock',
    'run_virtual',
]
