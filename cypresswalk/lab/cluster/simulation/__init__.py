"""Deterministic simulation of a whole fleet in virtual time, with random faults.

The same seed gives the same run. The fleet's production code runs unchanged down to threads,
sockets and files. Its clock, network and disks are simulated, and so are the processes and hosts
that a release changes.

- `fleet_simulation`: the balancers, virtual time and the network
- `invariants`: the agreement's invariants, checked after every step
- `explorer`: random faults and operators' calls that test the agreement
- `balancer_releases`, `server_releases`: releases by agents, under random faults
"""
