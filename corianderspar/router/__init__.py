"""Routing of opaque requests to plain services and to split engines.

The bodies of requests are not read: a prompt is known by its size, an
answer is the upstream's own bytes. `daemon.Daemon` puts the parts together.
"""

from corianderspar.router.daemon import Daemon

__all__ = ['Daemon']
