#!/bin/sh
# The stand-ins are Python and use the packages of the deploy file's build.
# Checks that they can be loaded.
cd "$(dirname "$0")" && exec python3 -B -c 'import standin'
