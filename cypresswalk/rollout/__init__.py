"""Rolling releases: how many members may be unavailable at once, and how versions are changed.

`bounds` says how many balancers and servers may be out at once, `release` how far a release is,
`evidence` whether changed members serve as well as the others, `plan` reads the file a release
starts from. `balancer_agent` and `server_agent` decide what the agent on a machine does
(`change_agent` holds what they share, `actions` what they ask for); `agent_host` carries that out
and is the only module here with I/O.
"""
