"""Checkers of a cluster's run: each reads the recorded events and returns a line per violation.

They do not depend on the testbed. All times are nanoseconds of one machine's monotonic clock.
"""
