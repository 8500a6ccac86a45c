#!/bin/sh
# Builds the stand-ins of the second review's scripts. They need only Python itself;
# the daemons come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
