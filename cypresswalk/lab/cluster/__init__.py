"""Several balancers that agree, under faults: real processes, or the same code in virtual time.

`plan` and `random_plans` say what real processes go through, `testbed` runs them, and `checkers`
read what it recorded. `cypresswalk lab together` is the command; docs/operators/fleet.md.
"""
