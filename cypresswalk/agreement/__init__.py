"""A log that a few voters agree on and any number of followers copy: Raft (Ongaro and Ousterhout, USENIX ATC 2014; Ongaro's
thesis, 2014) without I/O, clock or chance of its own. `node.Node` is fed messages and time and gives back what to write, then
to send, then to apply; `store` says in which order that stands on disk. Design: docs/design/agreement.md."""
