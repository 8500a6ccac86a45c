#!/bin/sh
# Checks and compiles the stand-ins of the review's scripts, after the deploy build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/standins python3 -S -c 'import fleet'
python3 -m compileall -q review/standins target/deps/wagtailstep
