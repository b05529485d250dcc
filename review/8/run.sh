#!/usr/bin/env bash
# Plays the case once. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec .venv/bin/python -B review/8/case.py
