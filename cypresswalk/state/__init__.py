"""A balancer's persisted state, in a folder that the operator file names; off without one.

`snapshot_writer.SnapshotWriter` is all that the program calls. `snapshot` says what is persisted,
`recovery` how it ages and goes back into a balancer, `file_format` how it stands in a file, `store`
in which order a file is written and read: all without I/O of their own. `disk` is the real folder.
"""
