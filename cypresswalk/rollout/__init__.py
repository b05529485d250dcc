"""How many balancers and servers may be out at once (`bounds`), and releases: how far one is (`release`, applied by fleet/agreed.py to
entries of the log), whether what was changed serves as well (`evidence`), the file it starts from (`plan`), and the agent on each
machine (`agent`, the one part with I/O)."""
