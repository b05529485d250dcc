"""The balancer program: creates the core, the socket drivers and optional parts, and runs them.

It may import all other packages; none of them imports it, except to call `program.main`.
"""
