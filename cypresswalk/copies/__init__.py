"""Replicated idempotency keys: an id that must not run twice is reserved at several balancers.

`replica.Replica` holds one balancer's partitions and `client.ReservationClient` asks for keys, both
without I/O or clock; `placement` says which members hold which partition, `store` how a replica's
records are laid out on disk, and `driver` runs all of it in a thread. The design is described in
docs/design/copies.md.
"""
