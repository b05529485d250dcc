"""Lab for a fleet of balancers under faults: with real processes, or simulated in virtual time.

`plan` and `random_plans` define the load and the faults for real processes, `testbed` runs them,
and `checkers` check the recorded events. `simulation` runs the fleet's own code in virtual time.
The commands are `cypresswalk lab together`, `explore` and `releases`; see docs/operators/fleet.md.
"""
