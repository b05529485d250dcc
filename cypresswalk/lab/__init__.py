"""The lab: simulated servers, clients and endpoint list on loopback around real balancers.

`play.play_scenario` plays one scenario; `checker.check` says whether the rules held; `metrics` and
`report` say how well clients were served. `servers`, `clients`, `endpoint_list`, `edge` and
`checker` know no socket and no clock; `testbed` and `balancers` hold the drivers.
"""
