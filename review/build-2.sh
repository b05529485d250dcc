#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up: Python of the standard library, so it compiles them.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
