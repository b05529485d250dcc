"""A cluster of real balancer processes on loopback, with faults between them.

`run.run_plan` plays a plan. `bed.ClusterTestBed` owns the parts: `balancer_host` the balancers and
their agents, `links` the fault proxies between them, `server_stand_ins` or `server_members` the
servers, `endpoint_lists` discovery, `clients` the load, `fleet_calls`, `operator_calls` and
`releases` what operators do. `balancer_members` and `server_members` are what a release changes;
`outages` notes which of them were out when; `player` does the plan's steps. All write into one
`recording`; `result` has the checkers read it.

One event loop holds the stand-ins and the proxies; calls to the fleet are made by threads.
"""
