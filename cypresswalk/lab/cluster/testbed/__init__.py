"""A cluster of real balancer processes on loopback, with faults between them.

`run.run_plan` plays a plan. `bed.ClusterTestBed` owns the parts: `balancer_host` the balancers and
their agents, `links` the fault proxies between them, `server_stand_ins` or `server_hosts` the
servers, `endpoint_lists` discovery, `clients` the load, `fleet_calls`, `operator_calls` and
`releases` what operators do. All write into one `recording`; `result` has the checkers read it.

One event loop holds the stand-ins and the proxies; calls to the fleet are made by threads.
"""
