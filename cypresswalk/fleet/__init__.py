"""Balancers that agree by a Raft group on settings, the endpoint list and servers out of rotation.

Agreed state comes in versions, and a balancer acts on one only under a lease. Off without `[fleet]`
in the operator's file.
"""
