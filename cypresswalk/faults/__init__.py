"""Fault injection between sockets: a proxy for TCP and UDP, controlled by a plan and a seed.

The command is `cypresswalk faults`; tests use `proxy_thread.ProxyThread`. `plan` defines the plan's
format, `stream` and `datagram_stream` apply faults to bytes and datagrams (no I/O, no clock), and
`proxy` and `datagram_proxy` handle the sockets.
"""
