"""Exit codes of `cypresswalk lab`, beside 0 and 2."""

BROKEN = 1  # a rule was broken
VOID = 3  # the run says nothing, since the machine was late
