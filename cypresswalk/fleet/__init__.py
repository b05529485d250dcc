"""The fleet: balancers that agree on shared state through a Raft group.

The shared state is the settings, the endpoint list and the servers out of rotation. It is
versioned, and a balancer acts on a version only while it holds a lease. The fleet is disabled
unless the operator's file has a `[fleet]` table.
"""
