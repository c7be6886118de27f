"""A randomized soak of real daemons; run it with `python -m tests.soak`."""
