"""Rolling releases: limits on unavailable members, and version changes wave by wave.

`bounds` computes how many balancers and servers may be out at once, `release` tracks the progress
of a release, `evidence` compares changed members with the others, and `plan` reads the file that
describes a release. `balancer_agent` and `server_agent` contain the logic of the agent on each
machine (`change_agent` is their base class, `actions` defines the actions that they yield).
`agent_host` executes these actions and is the only module here with I/O apart from `plan`, which
reads a file.
"""
