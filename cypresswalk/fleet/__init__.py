"""Balancers that agree: settings, the server list and servers out by hand in versions, and leases on them; off without `[fleet]`
in the operator file. `member.Member` is the core, without I/O or clock; `driver.Fleet` is all that the program calls. Design:
docs/design/agreement.md; for operators docs/operators/fleet.md."""
