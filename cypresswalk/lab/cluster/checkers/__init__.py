"""Checkers of a cluster's run: each reads what was recorded, and returns a line for each violation.

They import nothing of the test bed. All times are nanoseconds of one machine's monotonic clock.
"""
