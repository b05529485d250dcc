"""Raft without I/O: a replicated log for a few voters and any number of non-voting members.

The implementation follows Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm" (USENIX ATC 2014) and Ongaro's dissertation (2014); the modules cite their sections. The
caller passes in the time and the random number generator.

`node.Node` receives messages and the time and returns, as a `ready.Ready`, what its owner must
write, send and apply. `store.Store` defines the layout on disk. docs/design/agreement.md describes
the design.
"""
