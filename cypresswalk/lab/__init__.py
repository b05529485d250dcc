"""The lab: simulated servers, clients and endpoint list on loopback around real balancers.

`play.play_scenario` plays one scenario, `checker.check` returns the violations of the rules, and
`metrics` and `report` measure how well clients were served. `servers`, `clients`, `endpoint_list`,
`edge` and `checker` use no sockets and no clock; `testbed` and `balancers` contain the drivers.
"""
