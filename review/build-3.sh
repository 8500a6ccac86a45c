#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: plain Python, only checked for syntax here.
# The daemons come from the line `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 - standins-3/*.py 1[1-5]/run.py <<'END'
import pathlib, sys
for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
END
