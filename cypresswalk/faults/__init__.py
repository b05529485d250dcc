"""Fault injection between sockets: a proxy for TCP and UDP, driven by a plan and a seed.

The command is `cypresswalk faults`; tests use `proxy_thread.ProxyThread`. `plan` has the plan's
form, `stream` and `datagram_stream` what each fault does to the bytes (no I/O, no clock), `proxy`
and `datagram_proxy` the sockets.
"""
