#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review/standins exec python3 -S "$PWD/review/5/case.py"
