#!/bin/sh
# Runs the formatter, linter, layer check and behave. The last line of the output sums
# up the results.
set -u
exec "$PY" features/run_tests.py
