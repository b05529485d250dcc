"""A replicated log for a few voters and any number of non-voting members: Raft without I/O.

It follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC
2014) and Ongaro's dissertation (2014), whose sections the modules name. Clock and random numbers
are handed in.

`node.Node` receives messages and time and returns, as a `ready.Ready`, what its owner must write,
send and apply; `store.Store` defines how that is laid out on disk. The design is described in
docs/design/agreement.md.
"""
