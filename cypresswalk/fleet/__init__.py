"""The fleet: balancers that agree on shared state through a Raft group.

Shared are the settings, the endpoint list and the servers out of rotation. The agreed state is
versioned; a balancer acts on a version only while it holds a lease. Disabled unless the operator's
file has a `[fleet]` table.
"""
