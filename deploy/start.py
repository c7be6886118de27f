"""Starts the daemon on the users' platform.

The platform says by SIGHUP that the settings changed, at any time. Until the
daemon listens for it, which takes half a second of loading, the signal would
end the process; the settings are read after that.
"""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from corianderspar.platform.__main__ import main  # noqa: E402

sys.exit(main())
