#!/bin/sh
# Runs formatter, linter, layer check and behave; the last line is the verdict.
set -u
exec "$PY" features/run_tests.py
