"""A whole fleet in virtual time, with faults by a seed; the same seed gives the same run.

The fleet's own code runs down to where threads, sockets and files begin. Its clock, network and
disks are simulated, and so are the processes and hosts that a release changes.

- `world`: balancers, time, and what connects them; `invariants` are checked after every step
- `explorer`: random faults and operators' calls against the agreement
- `balancer_releases`, `server_releases`: releases by agents, among random faults
"""
