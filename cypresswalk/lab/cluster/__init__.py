"""Several balancers that agree, under faults: real processes, or the same code in virtual time.

`plan` and `random_plans` say what real processes go through, `testbed` runs them, and `checkers`
read what it recorded; `simulation` runs the fleet's own code in virtual time. For people:
`cypresswalk lab together`, `explore` and `releases`; docs/operators/fleet.md.
"""
