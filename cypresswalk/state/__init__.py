"""Persists a balancer's state in the folder that the operator file names; disabled without one.

The program uses `snapshot_writer.SnapshotWriter` alone. `snapshot` defines the persisted records,
`recovery` restores them into a balancer and discounts them by age, `file_format` encodes and
decodes a file, and `store` writes and reads generations of files in a crash-safe order. These four
do no I/O of their own; `disk` accesses the real folder.
"""
