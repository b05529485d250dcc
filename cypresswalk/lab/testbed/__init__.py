"""The test bed: simulated servers, list agents, clients and gossip paths on loopback sockets.

One event loop runs all of them, so that what they observe has one order and one clock. The models
(`lab.servers`, `lab.clients`, `lab.endpoint_list`, `lab.edge`) decide; the drivers here read,
write, wait and record observations. This is not the balancer's network code: docs/design/lab.md
says why.
"""
