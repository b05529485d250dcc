"""The lab: a small world of servers, clients, a list and a front on loopback, with real balancers in its middle.

`play.play_day(experiment, variant, seed, folder)` plays one day; `checker.check(observations, rules)` says whether the rules
held; `report` and `compare` say what the day was worth. `servers`, `clients`, `endpoint_list`, `edge` and `checker` know no
socket and no clock; `stage` and `balancers` are the drivers."""
