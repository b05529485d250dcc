"""The testbed: simulated servers, list agents, clients and gossip paths on loopback sockets.

They all run in one event loop, so that their observations have one order and one clock. The models
(`lab.servers`, `lab.clients`, `lab.endpoint_list`, `lab.edge`) make the decisions; the drivers here
read, write, wait and record observations. The testbed does not use the balancer's network code;
docs/design/lab.md explains why.
"""
