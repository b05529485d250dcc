"""Exit codes of `cypresswalk lab` besides 0 and 2."""

BROKEN = 1  # a rule was broken
VOID = 3  # the result is invalid because the machine was too slow
