"""Replicated reservations of idempotency keys, so that no flow with such a key runs twice.

A key is reserved at several balancers before its flow runs. `replica.Replica` holds one balancer's
partitions of the keys and `client.ReservationClient` requests reservations; neither does I/O or
reads a clock. `placement` chooses the members that hold each partition, `store` defines how a
replica's records are laid out on disk, and `driver` runs everything in a thread. The design is
described in docs/design/copies.md.
"""
