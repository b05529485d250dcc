"""A cluster of real balancer processes on loopback, with injected faults.

`run.run_plan` runs a plan. `cluster_testbed.ClusterTestBed` creates and owns these parts:

- `balancer_host`: the balancer processes and their agents
- `links`: the fault proxies between balancers
- `server_stand_ins`, `server_members`: the servers, in this process or as processes of their own
- `endpoint_lists`: service discovery
- `clients`: the load
- `fleet_calls`, `operator_calls`, `releases`: the calls that operators make
- `balancer_members`, `server_members`: the members that a release changes
- `outages`: when each of these members was unavailable
- `player`: the execution of the plan's steps

All parts write into one `recording`, which `result` passes to the checkers.

The stand-ins and the proxies run in one event loop; threads make the calls to the fleet.
"""
