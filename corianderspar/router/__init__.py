"""Routing of opaque requests to plain services and inference engines.

Engines have separate prefill and decode pools. Request bodies are not
parsed: a prompt is known by its size, and the bytes of an answer are passed
on unchanged. `daemon.Daemon` runs all services of one daemon.
"""

from corianderspar.router.daemon import Daemon

__all__ = ['Daemon']
