"""Several balancers that agree, and faults between them.

`stage` runs real processes and keeps a history that `judges` reads; `simulation` runs the fleet's
own code in virtual time. For people: `cypresswalk lab together`, `explore` and `releases`;
docs/operators/fleet.md.
"""
