"""Start the router daemon on the platform.

The platform may send SIGHUP at any time to announce changed settings. Until
the daemon has installed its handler, which takes half a second of imports,
the signal's default action would end the process. It is ignored until then;
no change is lost, because the settings are read afterwards.
"""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from corianderspar.platform.__main__ import main  # noqa: E402

sys.exit(main())
